"""The catalogue as this entry has it in force.

Rows arrive from the key-value service (`wigeonfront.entry.watch`), from operators'
edits at this entry and from other entries, in any order; `RevisionedStore` keeps the
newest good one of each in force. A digest of the revisions tells whether two entries
have the same rows.
"""

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from hashlib import blake2b

import msgspec

from wigeonfront import catalogue
from wigeonfront.catalogue import BadRow, CatalogueEntry
from wigeonfront.clock import Clock
from wigeonfront.coordination.revisions import Applied, Rejected, RevisionedStore
from wigeonfront.logs import event
from wigeonfront.messages import Message, PolicyRow, ServicePolicy
from wigeonfront.platform import Change, Changes, Listing

logger = logging.getLogger(__name__)

_DIGEST_BYTES = 8
_DELETED = msgspec.Raw(b"null")


class CatalogueRow(Message, frozen=True, kw_only=True):
    """A row as entries tell it to each other.

    Of a row that can't be put in force, the last good one is told as well.

    Attributes
    ----------
    name : str
        Of the catalogue entry.
    revision : int
        Of this write.
    value : Raw
        What was written; JSON null for a deletion.
    """

    name: str
    revision: int
    value: msgspec.Raw = _DELETED


@dataclass(frozen=True, slots=True)
class KnownRow:
    """What this entry knows of one catalogue entry.

    Attributes
    ----------
    name : str
    revision : int
        Of the last write.
    value : bytes or None
        What was written; ``None`` for a deletion.
    reason : str
        Why `value` can't be put in force, or empty.
    entry : CatalogueEntry or None
        What is in force.
    in_force : int
        Revision of `entry`; 0 where there is none.
    good : bytes or None
        The row that `entry` was read from.
    """

    name: str
    revision: int
    value: bytes | None
    reason: str = ""
    entry: CatalogueEntry | None = None
    in_force: int = 0
    good: bytes | None = None

    @property
    def deleted(self) -> bool:
        """Whether the last write was a deletion."""
        return self.value is None

    def messages(self) -> list[CatalogueRow]:
        """Return the row as messages, the last good one first."""
        last = _message(self.name, self.value, self.revision)
        if not self.reason or self.good is None:
            return [last]
        return [_message(self.name, self.good, self.in_force), last]


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """All rows at one moment."""

    rows: dict[str, KnownRow]
    digest: str
    newest: int


class Catalogue:
    """Rows in force; all methods may be called from any thread.

    Parameters
    ----------
    clock : Clock
    on_change : callable
        Called after rows have changed, before the change counts as in force.
    """

    def __init__(
        self, clock: Clock, on_change: Callable[[], None] = lambda: None
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        # A change counts once `on_change` has returned: writers go one by one.
        self._writing = threading.Lock()
        self._lock = threading.Lock()
        self._store = RevisionedStore(_decoded)
        self._snapshot = _Snapshot({}, "", 0)
        self._loaded = False
        self._heard_at = clock.monotonic()
        self._policies: dict[str, ServicePolicy] = {}
        self._current: set[str] = set()

    @property
    def revision(self) -> int:
        """Revision up to which all writes are known."""
        return self._store.revision

    @property
    def newest(self) -> int:
        """Highest revision of a row."""
        return self._snapshot.newest

    @property
    def digest(self) -> str:
        """Hash of all rows' revisions; equal where the same rows are in force."""
        return self._snapshot.digest

    @property
    def loaded(self) -> bool:
        """Whether the whole catalogue was read at least once."""
        return self._loaded

    @property
    def age(self) -> float:
        """Seconds since the key-value service last confirmed the rows."""
        return self._clock.monotonic() - self._heard_at

    @property
    def bad_rows(self) -> dict[str, str]:
        """Rows not in force, and why."""
        rows = self._snapshot.rows.values()
        return {row.name: row.reason for row in rows if row.reason}

    def get(self, name: str) -> CatalogueEntry | None:
        """Return the entry `name` as in force."""
        return self._store.get(name)

    def known(self, name: str) -> KnownRow | None:
        """Return all that is known of the row `name`."""
        return self._snapshot.rows.get(name)

    def has(self, name: str, revision: int) -> bool:
        """Return whether the write of `name` at `revision` or a later one is known."""
        row = self.known(name)
        # Of a deletion nothing is left after a listing.
        return (self.revision if row is None else row.revision) >= revision

    def rows(self) -> dict[str, CatalogueEntry]:
        """Return all entries in force."""
        return self._store.items()

    def all_known(self) -> list[KnownRow]:
        """Return all rows that are not deleted, by name."""
        present = [row for row in self._snapshot.rows.values() if not row.deleted]
        return sorted(present, key=lambda row: row.name)

    def policy(self, service: str) -> ServicePolicy:
        """Return what the sides of `service` follow."""
        with self._lock:
            policy = self._policies.get(service)
            if policy is None or service not in self._current:
                policy = self._renewed_policy(service, policy)
                self._policies[service] = policy
                self._current.add(service)
            return policy

    # --- from the key-value service ------------------------------------------

    def take_listing(self, listing: Listing) -> None:
        """Take all rows of the service; rows that it doesn't list are deleted."""
        rows = tuple(replace(row, key=_name(row.key)) for row in listing.rows)
        with self._writing:
            self._note_heard(listing.revision)
            self._note(self._store.apply_listing(Listing(rows, listing.revision)))
            self._loaded = True

    def take_changes(self, changes: Changes) -> None:
        """Take what a watch saw."""
        rows = tuple(replace(one, key=_name(one.key)) for one in changes.changes)
        with self._writing:
            self._note_heard(changes.revision)
            known = Changes(rows, changes.revision, changes.compacted)
            # All writes up to the watch's start were known when it was sent.
            self._note(self._store.apply_changes(known, self.revision))

    def write(self, name: str, value: bytes | None, revision: int) -> None:
        """Take one row as it was written at `revision`."""
        with self._writing:
            self._note([self._store.apply(Change(name, value, revision))])

    # --- between entries -----------------------------------------------------

    def merge(self, rows: Iterable[CatalogueRow]) -> bool:
        """Take rows from another entry; return whether any was news."""
        with self._writing:
            replies = [self._store.apply(_change(row)) for row in rows]
            return self._note(replies)

    def messages(self, name: str, revision: int) -> list[CatalogueRow]:
        """Return the row `name` if its write at `revision` is known, else nothing."""
        row = self.known(name)
        if row is not None and row.revision >= revision:
            return row.messages()
        # Of a deletion nothing is left after a listing.
        gone = row is None and self.revision >= revision
        return [_message(name, None, revision)] if gone else []

    def since(self, revision: int) -> list[CatalogueRow]:
        """Return the rows written after `revision`, deleted ones too."""
        changes = self._store.changes_after(revision).changes
        return [_message(one.key, one.value, one.revision) for one in changes]

    def vouched(self, revision: int, age: float) -> None:
        """Note that a member with the same rows knows all writes to `revision`.

        Parameters
        ----------
        age : float
            Seconds since that member's rows were confirmed.
        """
        with self._writing:
            self._store.apply_changes(Changes((), revision), self._store.revision)
            self._heard_at = max(self._heard_at, self._clock.monotonic() - age)
            self._loaded = True

    # --- helpers, called by one writer at a time -----------------------------

    def _note(self, replies: Iterable[object]) -> bool:
        """Put what has changed in force; return whether anything has."""
        changed = [one for one in replies if isinstance(one, Applied | Rejected)]
        if not changed:
            return False
        newest = max(one.revision for one in changed)
        with self._lock:
            self._snapshot = self._new_snapshot(max(newest, self._snapshot.newest))
            self._current.clear()
        for reply in changed:
            _log(reply)
        self._on_change()
        return True

    def _new_snapshot(self, newest: int) -> _Snapshot:
        entries = self._store.items()
        rejected = self._store.rejected
        rows: dict[str, KnownRow] = {}
        digest = 0
        # By revision, so that a bad row comes after the good one in force.
        for change in self._store.changes_after(0).changes:
            bad = rejected.get(change.key)
            if bad is not None and bad.revision == change.revision:
                rows[change.key] = _bad_row(change, bad, rows.get(change.key))
            else:
                rows[change.key] = _good_row(change, entries.get(change.key))
            if change.value is not None:
                digest ^= _fingerprint(change)
        return _Snapshot(rows, f"{digest:016x}", newest)

    def _note_heard(self, revision: int) -> None:
        if revision < self.revision:
            # A replica that lags, or a service restored from an old copy.
            event(logger, "key_value_behind", revision=revision, known=self.revision)
            return
        self._heard_at = self._clock.monotonic()

    def _renewed_policy(
        self, service: str, policy: ServicePolicy | None
    ) -> ServicePolicy:
        """Return the policy from the rows now; the same one if they are the same."""
        rows = {
            row.name: PolicyRow(
                revision=row.in_force, weight=row.entry.weight, wave=row.entry.wave
            )
            for row in self._snapshot.rows.values()
            if row.entry is not None and _draws_rollouts(row.entry, service)
        }
        if policy is not None and policy.rows == rows:
            return policy
        return ServicePolicy(revision=self._snapshot.newest, rows=rows)


def _draws_rollouts(entry: CatalogueEntry, service: str) -> bool:
    return entry.work_class == "rollout" and service in entry.services


def _name(key: str) -> str:
    return key.removeprefix(catalogue.PREFIX)


def _decoded(value: bytes) -> CatalogueEntry:
    """Return the entry in a row; `ValueError` says why there is none."""
    row = catalogue.check(value)
    if isinstance(row, BadRow):
        raise ValueError(row.reason)
    return row


def _message(name: str, value: bytes | None, revision: int) -> CatalogueRow:
    raw = _DELETED if value is None else msgspec.Raw(value)
    return CatalogueRow(name=name, revision=revision, value=raw)


def _change(row: CatalogueRow) -> Change:
    value = bytes(row.value)
    return Change(row.name, None if value == bytes(_DELETED) else value, row.revision)


def _good_row(change: Change, entry: CatalogueEntry | None) -> KnownRow:
    in_force = 0 if change.value is None else change.revision
    return KnownRow(
        change.key, change.revision, change.value, "", entry, in_force, change.value
    )


def _bad_row(change: Change, bad: Rejected, good: KnownRow | None) -> KnownRow:
    known = good or KnownRow(change.key, change.revision, change.value)
    return replace(
        known, revision=change.revision, value=change.value, reason=bad.reason
    )


def _fingerprint(change: Change) -> int:
    text = f"{change.key}\0{change.revision}".encode()
    return int.from_bytes(blake2b(text, digest_size=_DIGEST_BYTES).digest())


def _log(reply: Applied | Rejected) -> None:
    event(
        logger,
        "catalogue_applied" if isinstance(reply, Applied) else "catalogue_bad_row",
        catalogue_entry=reply.key,
        revision=reply.revision,
        reason=getattr(reply, "reason", ""),
    )
