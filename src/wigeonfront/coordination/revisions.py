"""Revisioned configuration: rows that never go back, and who has them in force.

Examples
--------
>>> from wigeonfront.platform import Change
>>> store = RevisionedStore(lambda value: int(value))
>>> store.apply(Change("limit", b"5", 10))
Applied(key='limit', revision=10)
>>> store.apply(Change("limit", b"4", 9))
Stale(key='limit', revision=10)
>>> store.apply(Change("limit", b"five", 11)).key
'limit'
>>> store.get("limit"), store.seen, store.revision, list(store.rejected)
(5, 11, 0, ['limit'])
>>> in_force = InForce()
>>> in_force.set_members(["entry-1", "entry-2"], revision=12)
>>> in_force.acknowledge("entry-1", 11)
>>> in_force.waiting_for(11)
('entry-2',)
"""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from wigeonfront.platform import Change, Changes, Listing, Row

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class Applied:
    """The row is in force at this revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Stale:
    """The row is not newer than the one known; nothing was changed."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The row can't be decoded; the last good one stays in force."""

    key: str
    revision: int
    reason: str


@dataclass(slots=True)
class _Record(Generic[Value]):
    """The newest good row or deletion of a key, and a bad row if that is newer."""

    good: Change
    value: Value | None = None
    bad: Change | None = None
    reason: str = ""

    @property
    def revision(self) -> int:
        return self.good.revision if self.bad is None else self.bad.revision

    @property
    def is_present(self) -> bool:
        return self.bad is not None or self.good.value is not None

    def rows(self) -> list[Change]:
        """Return what another node needs to come to the same record."""
        known = [self.good] if self.good.revision else []
        return known + ([self.bad] if self.bad else [])


class RevisionedStore(Generic[Value]):
    """Rows by key, fed by watches, listings and peers in any order.

    For each key the newest good row is in force, whatever the order in which rows
    come. A bad row that is newer is kept beside it and reported; nodes that started
    after it was written get the last good row from a peer.

    All methods may be called from any thread.

    Parameters
    ----------
    decode : callable
        Turns a row's bytes into its value, or raises `ValueError` with the reason
        (as `msgspec.ValidationError` is).
    """

    def __init__(self, decode: Callable[[bytes], Value]) -> None:
        self._decode = decode
        self._lock = threading.RLock()
        self._records: dict[str, _Record[Value]] = {}
        self._floor = 0
        self._revision = 0
        self._seen = 0

    @property
    def revision(self) -> int:
        """Every row up to this revision is known: to be acknowledged and polled from.

        Single rows don't raise it, as those between may be missing.
        """
        return self._revision

    @property
    def seen(self) -> int:
        """Highest revision of any row seen."""
        return self._seen

    @property
    def rejected(self) -> dict[str, Rejected]:
        """Keys whose newest row is not in force, with the reason."""
        with self._lock:
            return {
                key: Rejected(key, record.revision, record.reason)
                for key, record in self._records.items()
                if record.bad is not None
            }

    def get(self, key: str) -> Value | None:
        """Return the value in force, or ``None``."""
        record = self._records.get(key)
        return None if record is None else record.value

    def items(self) -> dict[str, Value]:
        """Return all values in force, by key."""
        with self._lock:
            return {
                key: record.value
                for key, record in self._records.items()
                if record.value is not None
            }

    def apply(self, change: Change) -> Applied | Stale | Rejected:
        """Take in one row or deletion."""
        with self._lock:
            self._seen = max(self._seen, change.revision)
            record = self._records.get(change.key)
            if record is None:
                record = _Record(Change(change.key, None, 0))
                if change.revision <= self._floor:
                    return Stale(change.key, self._floor)
            if change.revision <= record.good.revision:
                return Stale(change.key, record.good.revision)
            return self._take(change, record)

    def apply_changes(
        self, changes: Changes, after: int
    ) -> tuple[Applied | Rejected, ...]:
        """Take in what a watch or a peer returned; return what was new.

        Parameters
        ----------
        changes : Changes
            After ``compacted`` ones a listing is needed too.
        after : int
            The revision after which they were asked for.
        """
        with self._lock:
            replies = [self.apply(change) for change in changes.changes]
            if after <= self._revision and not changes.compacted:
                self._revision = max(self._revision, changes.revision)
            return tuple(one for one in replies if not isinstance(one, Stale))

    def apply_listing(self, listing: Listing) -> tuple[Applied | Rejected, ...]:
        """Take in all rows as of one revision.

        A key that is not among them and was not written later is deleted.
        """
        with self._lock:
            listed = {row.key for row in listing.rows}
            changes = [Change(row.key, row.value, row.revision) for row in listing.rows]
            changes += [
                Change(key, None, listing.revision)
                for key, record in self._records.items()
                if key not in listed and record.is_present
            ]
            replies = [self.apply(change) for change in changes]
            self._drop_tombstones(listing.revision)
            self._revision = max(self._revision, listing.revision)
            self._seen = max(self._seen, listing.revision)
            return tuple(one for one in replies if not isinstance(one, Stale))

    def listing(self) -> Listing:
        """Return the rows as they came, for a peer that starts.

        A key whose newest row is bad has its last good one listed before it.
        """
        with self._lock:
            rows = tuple(
                Row(row.key, row.value, row.revision)
                for _, record in sorted(self._records.items())
                for row in record.rows()
                if row.value is not None
            )
            return Listing(rows, self._revision)

    def changes_after(self, revision: int) -> Changes:
        """Return rows and deletions newer than `revision`, for a peer that polls.

        Keys with a bad row are always among them, as their last good row may have
        become known here after the bad one.
        """
        with self._lock:
            newer = [
                row
                for record in self._records.values()
                if record.revision > revision or record.bad is not None
                for row in record.rows()
            ]
            newer.sort(key=lambda change: change.revision)
            return Changes(tuple(newer), self._revision, revision < self._floor)

    def _take(
        self, change: Change, record: _Record[Value]
    ) -> Applied | Stale | Rejected:
        try:
            value = None if change.value is None else self._decode(change.value)
        except ValueError as error:
            return self._reject(change, record, str(error))
        if record.bad is not None and record.bad.revision < change.revision:
            record.bad = None
        record.good = change
        record.value = value
        self._records[change.key] = record
        return Applied(change.key, change.revision)

    def _reject(
        self, change: Change, record: _Record[Value], reason: str
    ) -> Stale | Rejected:
        if change.revision <= record.revision:
            return Stale(change.key, record.revision)
        record.bad = change
        record.reason = reason
        self._records[change.key] = record
        return Rejected(change.key, change.revision, reason)

    def _drop_tombstones(self, revision: int) -> None:
        """Forget deletions; `_floor` keeps older rows out from now on."""
        self._floor = max(self._floor, revision)
        self._records = {
            key: record
            for key, record in self._records.items()
            if record.is_present or record.revision > self._floor
        }


class InForce:
    """Which members have which revision, to tell when one is in force.

    A revision is in force once every member that may act has acknowledged it. A
    member whose row is gone from a listing read after the write has fenced itself,
    and one that joins later starts from the newest revision.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._members: frozenset[str] = frozenset()
        self._members_revision = 0
        self._acknowledged: dict[str, int] = {}

    def set_members(self, members: Iterable[str], revision: int) -> None:
        """Say which members there are, as listed at `revision` of the service."""
        with self._lock:
            if revision < self._members_revision:
                return
            self._members = frozenset(members)
            self._members_revision = revision
            self._acknowledged = {
                name: acknowledged
                for name, acknowledged in self._acknowledged.items()
                if name in self._members
            }

    def acknowledge(self, member: str, revision: int) -> None:
        """Say that `member` acts on `revision` and on none older from now on."""
        with self._lock:
            known = self._acknowledged.get(member, 0)
            self._acknowledged[member] = max(known, revision)

    def restart(self, member: str) -> None:
        """Forget what a member acknowledged, as a new incarnation has begun."""
        with self._lock:
            self._acknowledged.pop(member, None)

    def is_in_force(self, revision: int) -> bool:
        """Tell whether nobody acts on less than `revision`."""
        with self._lock:
            return self._members_revision >= revision and not self._waiting(revision)

    def waiting_for(self, revision: int) -> tuple[str, ...]:
        """Return the members known that have not acknowledged `revision`."""
        with self._lock:
            return self._waiting(revision)

    def _waiting(self, revision: int) -> tuple[str, ...]:
        return tuple(
            name
            for name in sorted(self._members)
            if self._acknowledged.get(name, 0) < revision
        )
