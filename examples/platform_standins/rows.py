"""A linearizable row store in memory, with leases, watches and injected faults."""

import threading
import time
from collections import deque
from dataclasses import dataclass, field

from wigeonfront.coordination.rows import (
    Absent,
    Change,
    Changes,
    Expect,
    Lease,
    LeaseLost,
    Listing,
    Mismatch,
    Put,
    Row,
    Stored,
    TransactionOutcome,
    Unavailable,
    Uncertain,
)

MAX_KEPT_CHANGES = 1_000
"""Changes that a watch can still read; older ones are dropped."""


@dataclass
class StoreFaults:
    """Faults that the store injects until they are changed.

    Attributes
    ----------
    down : bool
        Whether the store refuses every call and changes nothing.
    lose_writes : int
        Number of next writes whose answer is lost.
    apply_lost_writes : bool
        Whether the writes whose answer is lost take effect.
    calls : int
        Number of calls so far; not a fault.
    """

    down: bool = False
    lose_writes: int = 0
    apply_lost_writes: bool = True
    calls: int = 0


@dataclass
class _HeldRow:
    row: Row
    lease: int = 0


@dataclass
class MemoryRows:
    """A `RowStore` in memory, safe for use from many threads.

    Attributes
    ----------
    faults : StoreFaults
        Faults to inject.
    revision : int
        Revision of the last write; 0 before the first.
    """

    faults: StoreFaults = field(default_factory=StoreFaults)
    revision: int = 0

    def __post_init__(self) -> None:
        self._lock = threading.Condition()
        self._rows: dict[str, _HeldRow] = {}
        self._log: deque[Change] = deque(maxlen=MAX_KEPT_CHANGES)
        self._compacted = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1

    def get(self, key: str) -> Row | Absent | Unavailable:
        """Read one key."""
        with self._lock:
            if self._refuses_call():
                return Unavailable("down")
            held = self._rows.get(key)
            return held.row if held else Absent(self.revision)

    def list(
        self, prefix: str, after: str = "", stale: bool = False
    ) -> Listing | Unavailable:
        """Read all rows whose keys begin with `prefix` and sort after `after`."""
        with self._lock:
            if self._refuses_call():
                return Unavailable("down")
            rows = [
                held.row
                for key, held in sorted(self._rows.items())
                if key.startswith(prefix) and key > after
            ]
            return Listing(tuple(rows), self.revision)

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for writes below `prefix` since `after`."""
        deadline = time.monotonic() + timeout
        with self._lock:
            while True:
                if self._refuses_call():
                    return Unavailable("down")
                if after < self._compacted:
                    return Changes((), after, compacted=True)
                found = tuple(
                    change
                    for change in self._log
                    if change.revision > after and change.key.startswith(prefix)
                )
                remaining = deadline - time.monotonic()
                if found or remaining <= 0:
                    return Changes(found, self.revision)
                self._lock.wait(min(remaining, 0.05))

    def write(
        self,
        expected: tuple[Expect, ...],
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> TransactionOutcome:
        """Write and delete all rows if every condition holds, otherwise none."""
        with self._lock:
            if self._refuses_call():
                return Unavailable("down")
            if self.faults.lose_writes:
                self.faults.lose_writes -= 1
                if self.faults.apply_lost_writes:
                    self._commit(expected, puts, deletes)
                return Uncertain("lost")
            return self._commit(expected, puts, deletes)

    def grant_lease(self, ttl: float) -> Lease | Unavailable | Uncertain:
        """Ask for a lease of `ttl` seconds."""
        with self._lock:
            if self._refuses_call():
                return Unavailable("down")
            lease = self._next_lease
            self._next_lease += 1
            self._leases[lease] = (time.monotonic() + ttl, ttl)
            return Lease(lease, ttl)

    def renew_lease(self, lease: int) -> Lease | LeaseLost | Unavailable:
        """Renew a lease for its full time to live."""
        with self._lock:
            if self._refuses_call():
                return Unavailable("down")
            if lease not in self._leases:
                return LeaseLost(lease)
            _, ttl = self._leases[lease]
            self._leases[lease] = (time.monotonic() + ttl, ttl)
            return Lease(lease, ttl)

    def revoke_lease(self, lease: int) -> Stored | LeaseLost | Unavailable | Uncertain:
        """End a lease at once."""
        with self._lock:
            if self._refuses_call():
                return Unavailable("down")
            if lease not in self._leases:
                return LeaseLost(lease)
            self._end_lease(lease)
            return Stored(self.revision)

    def put(self, key: str, value: bytes) -> int:
        """Write a row as the operator or a target does; faults have no effect on it."""
        with self._lock:
            self._apply((Put(key, value),), ())
            return self.revision

    def remove(self, key: str) -> None:
        """Delete a row as a target does; faults have no effect on it."""
        with self._lock:
            self._apply((), (key,))

    def compact(self) -> None:
        """Drop the history, so that a watch from an older revision is refused."""
        with self._lock:
            self._compacted = self.revision
            self._log.clear()
            self._lock.notify_all()

    def _refuses_call(self) -> bool:
        self.faults.calls += 1
        self._expire_leases()
        return self.faults.down

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease in [id for id, (end, _) in self._leases.items() if end < now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        keys = tuple(key for key, held in self._rows.items() if held.lease == lease)
        if keys:
            self._apply((), keys)

    def _commit(
        self,
        expected: tuple[Expect, ...],
        puts: tuple[Put, ...],
        deletes: tuple[str, ...],
    ) -> TransactionOutcome:
        revisions = {row.key: self._revision_of(row.key) for row in expected}
        if any(revisions[row.key] != row.revision for row in expected):
            return Mismatch(revisions)
        lost = [put.lease for put in puts if put.lease not in {0, *self._leases}]
        if lost:
            return LeaseLost(lost[0])
        self._apply(puts, deletes)
        return Stored(self.revision)

    def _revision_of(self, key: str) -> int:
        held = self._rows.get(key)
        return held.row.revision if held else 0

    def _apply(self, puts: tuple[Put, ...], deletes: tuple[str, ...]) -> None:
        self.revision += 1
        for put in puts:
            row = Row(put.key, put.value, self.revision)
            self._rows[put.key] = _HeldRow(row, put.lease)
            self._log.append(Change(put.key, put.value, self.revision))
        for key in deletes:
            if self._rows.pop(key, None) is not None:
                self._log.append(Change(key, None, self.revision))
        self._lock.notify_all()
