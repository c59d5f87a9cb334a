"""The platform in memory, for tests and for trying the coordination parts.

`MemoryKeyValue` keeps leases, revisions and watches as the real service does, on
a clock that is passed in. Several clients may share one state, each with its own
switches for faults and its own count of calls.

Examples
--------
>>> from wigeonfront.clock import ManualClock
>>> clock = ManualClock()
>>> key_value = MemoryKeyValue(clock)
>>> lease = key_value.grant_lease(5.0)
>>> key_value.put("members/a", b"{}", expected=0, lease=lease.lease)
Stored(revision=1)
>>> clock.advance(6.0)
>>> key_value.get("members/a")
Absent(revision=2)
>>> key_value.outage = True
>>> key_value.get("members/a")
Unavailable(reason='outage')
>>> key_value.calls["get"]
2
"""

import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

from wigeonfront.clock import Clock, ManualClock
from wigeonfront.platform import (
    Absent,
    Change,
    Changes,
    Conflict,
    Lease,
    LeaseLost,
    Listing,
    Row,
    Stored,
    Throttled,
    Unavailable,
    Uncertain,
    Vm,
)

MAX_VALUE_BYTES = 1_000_000
HISTORY_LENGTH = 10_000

Reply = TypeVar("Reply")


@dataclass(slots=True)
class _Entry:
    value: bytes
    revision: int
    lease: int


@dataclass(slots=True)
class _LeaseState:
    ttl: float
    ends: float


@dataclass
class MemoryState:
    """What the clients of one in-memory service share.

    Attributes
    ----------
    clock : Clock
        Lets leases lapse.
    outage : bool
        The service is down for every client.
    revision : int
        Newest revision.
    """

    clock: Clock
    outage: bool = False
    revision: int = 0
    compacted: int = 0
    rows: dict[str, _Entry] = field(default_factory=dict)
    leases: dict[int, _LeaseState] = field(default_factory=dict)
    history: list[Change] = field(default_factory=list)
    next_lease: int = 1
    lock: threading.RLock = field(default_factory=threading.RLock)

    def write(self, key: str, value: bytes | None, lease: int = 0) -> Stored:
        """Set a key, or delete it where `value` is ``None``."""
        self.revision += 1
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = _Entry(value, self.revision, lease)
        self.history.append(Change(key, value, self.revision))
        if len(self.history) > HISTORY_LENGTH:
            self.compact(self.history[len(self.history) // 2].revision)
        return Stored(self.revision)

    def compact(self, revision: int | None = None) -> None:
        """Forget the changes up to `revision`, or all of them."""
        self.compacted = self.revision if revision is None else revision
        self.history = [
            change for change in self.history if change.revision > self.compacted
        ]

    def end_lease(self, lease: int) -> None:
        """Forget a lease and delete the keys bound to it."""
        del self.leases[lease]
        bound = [key for key, entry in self.rows.items() if entry.lease == lease]
        for key in bound:
            self.write(key, None)

    def lapse(self) -> None:
        """End the leases whose term has passed."""
        now = self.clock.monotonic()
        for lease in [one for one, state in self.leases.items() if state.ends <= now]:
            self.end_lease(lease)


class MemoryKeyValue:
    """`wigeonfront.platform.KeyValue` in memory; one object for each client.

    Parameters
    ----------
    clock : Clock, optional
        Lets leases lapse; a `ManualClock` by default.
    state : MemoryState, optional
        Shared with other clients; a new one by default.

    Attributes
    ----------
    outage : bool
        This client doesn't reach the service.
    lose_answers : int
        So many of the next writes take effect but their answers are lost.
    lose_requests : int
        So many of the next writes are lost on the way, unknown to the client.
    delay_requests : int
        So many of the next writes reach the service only at `deliver_delayed`.
    calls : Counter
        Calls made so far, by method name.
    """

    def __init__(
        self, clock: Clock | None = None, state: MemoryState | None = None
    ) -> None:
        self.state = state or MemoryState(clock or ManualClock())
        self.outage = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.delay_requests = 0
        self._delayed: list[Callable[[], object]] = []
        self.calls: Counter[str] = Counter()

    def client(self) -> "MemoryKeyValue":
        """Return another client of the same service."""
        return MemoryKeyValue(state=self.state)

    def deliver_delayed(self) -> None:
        """Let the service do the delayed writes now; nobody reads the answers."""
        with self.state.lock:
            self.state.lapse()
            while self._delayed:
                self._delayed.pop(0)()

    def get(self, key: str) -> Row | Absent | Unavailable:
        """Read one key."""
        return self._read("get", lambda: self._get(key))

    def list(self, prefix: str) -> Listing | Unavailable:
        """Read all keys below `prefix`."""
        return self._read("list", lambda: self._list(prefix))

    def put(
        self, key: str, value: bytes, expected: int | None = None, lease: int = 0
    ) -> Stored | Conflict | Unavailable | Uncertain:
        """Write a key. `expected` is its revision now, 0 for absent, None for any."""
        return self._write("put", lambda: self._put(key, value, expected, lease))

    def delete(
        self, key: str, expected: int | None = None
    ) -> Stored | Conflict | Unavailable | Uncertain:
        """Delete a key."""
        return self._write("delete", lambda: self._delete(key, expected))

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Return the writes known now; this one does not wait."""
        return self._read("watch", lambda: self._changes(prefix, after))

    def grant_lease(self, ttl: float) -> Lease | Unavailable | Uncertain:
        """Ask for a lease of `ttl` seconds."""
        return self._write("grant_lease", lambda: self._grant(ttl))

    def renew_lease(self, lease: int) -> Lease | LeaseLost | Unavailable:
        """Renew a lease for its full term."""
        reply = self._write("renew_lease", lambda: self._renew(lease))
        return Unavailable(reply.reason) if isinstance(reply, Uncertain) else reply

    def revoke_lease(self, lease: int) -> Stored | LeaseLost | Unavailable | Uncertain:
        """End a lease at once."""
        return self._write("revoke_lease", lambda: self._revoke(lease))

    def _read(self, name: str, call: Callable[[], Reply]) -> Reply | Unavailable:
        with self.state.lock:
            self.calls[name] += 1
            if self.outage or self.state.outage:
                return Unavailable("outage")
            self.state.lapse()
            return call()

    def _write(
        self, name: str, call: Callable[[], Reply]
    ) -> Reply | Unavailable | Uncertain:
        with self.state.lock:
            if self.lose_requests > 0 and not self._down:
                self.calls[name] += 1
                self.lose_requests -= 1
                return Uncertain("request lost")
            if self.delay_requests > 0 and not self._down:
                self.calls[name] += 1
                self.delay_requests -= 1
                self._delayed.append(call)
                return Uncertain("request delayed")
            reply = self._read(name, call)
            if self.lose_answers > 0 and not self._down:
                self.lose_answers -= 1
                return Uncertain("answer lost")
            return reply

    @property
    def _down(self) -> bool:
        return self.outage or self.state.outage

    def _get(self, key: str) -> Row | Absent:
        entry = self.state.rows.get(key)
        if entry is None:
            return Absent(self.state.revision)
        return Row(key, entry.value, entry.revision)

    def _list(self, prefix: str) -> Listing:
        rows = tuple(
            Row(key, entry.value, entry.revision)
            for key, entry in sorted(self.state.rows.items())
            if key.startswith(prefix)
        )
        return Listing(rows, self.state.revision)

    def _conflict(self, key: str, expected: int | None) -> Conflict | None:
        entry = self.state.rows.get(key)
        present = entry.revision if entry else 0
        if expected is None or expected == present:
            return None
        return Conflict(present)

    def _put(
        self, key: str, value: bytes, expected: int | None, lease: int
    ) -> Stored | Conflict | Unavailable:
        if len(value) > MAX_VALUE_BYTES:
            return Unavailable("value too large")
        conflict = self._conflict(key, expected)
        if conflict:
            return conflict
        if lease and lease not in self.state.leases:
            return Unavailable("no such lease")
        return self.state.write(key, bytes(value), lease)

    def _delete(self, key: str, expected: int | None) -> Stored | Conflict:
        conflict = self._conflict(key, expected)
        if conflict:
            return conflict
        if key not in self.state.rows:
            return Stored(self.state.revision)
        return self.state.write(key, None)

    def _changes(self, prefix: str, after: int) -> Changes:
        changes = tuple(
            change
            for change in self.state.history
            if change.revision > after and change.key.startswith(prefix)
        )
        return Changes(changes, self.state.revision, after < self.state.compacted)

    def _grant(self, ttl: float) -> Lease:
        lease = self.state.next_lease
        self.state.next_lease += 1
        ends = self.state.clock.monotonic() + ttl
        self.state.leases[lease] = _LeaseState(ttl, ends)
        return Lease(lease, ttl)

    def _renew(self, lease: int) -> Lease | LeaseLost:
        state = self.state.leases.get(lease)
        if state is None:
            return LeaseLost(lease)
        state.ends = self.state.clock.monotonic() + state.ttl
        return Lease(lease, state.ttl)

    def _revoke(self, lease: int) -> Stored | LeaseLost:
        if lease not in self.state.leases:
            return LeaseLost(lease)
        self.state.end_lease(lease)
        return Stored(self.state.revision)


class MemoryVmList:
    """`wigeonfront.platform.VmList` in memory.

    Attributes
    ----------
    listed : dict
        The VMs by name; edit it to change the list.
    outage : bool
        The list is not reached.
    """

    def __init__(self, vms: tuple[Vm, ...] = ()) -> None:
        self.listed = {vm.name: vm for vm in vms}
        self.outage = False
        self.calls = 0

    def vms(self) -> tuple[Vm, ...] | Unavailable:
        """Return the VMs now listed."""
        self.calls += 1
        if self.outage:
            return Unavailable("outage")
        return tuple(self.listed.values())


class MemoryWeightStore:
    """`wigeonfront.platform.WeightStore` in memory.

    Attributes
    ----------
    versions : dict
        Newest version by model.
    throttle : float
        Above 0: calls are refused for so many seconds.
    outage : bool
        The store is not reached.
    """

    def __init__(self, versions: dict[str, int] | None = None) -> None:
        self.versions = dict(versions or {})
        self.throttle = 0.0
        self.outage = False
        self.calls = 0

    def newest(self, model: str) -> int | Absent | Throttled | Unavailable:
        """Return the newest version published for `model`."""
        self.calls += 1
        if self.outage:
            return Unavailable("outage")
        if self.throttle > 0:
            return Throttled(self.throttle)
        version = self.versions.get(model)
        return Absent() if version is None else version
