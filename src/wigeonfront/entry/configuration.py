"""The catalogue as this entry has it in force.

Rows arrive from the key-value service (`wigeonfront.entry.catalogue_watch`), from
operators' edits at this entry and from other entries. Each carries the revision of
its write, and a lower one is never applied, so that the order of arrival doesn't
matter. A row that can't be put in force is kept beside the last good one, which
stays in force.
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
from wigeonfront.logs import event
from wigeonfront.messages import Message, PolicyRow, ServicePolicy
from wigeonfront.platform import Changes, Listing

logger = logging.getLogger(__name__)

MAX_DELETED = 1000
"""Deleted rows that are remembered, so that a peer can't bring them back."""

_DIGEST_BYTES = 8
_NOTHING = msgspec.Raw(b"null")


class CatalogueRow(Message, frozen=True, kw_only=True):
    """A row as entries tell it to each other.

    Attributes
    ----------
    name : str
        Of the catalogue entry.
    revision : int
        Of the row's last write.
    value : Raw
        What was written; JSON null for a deletion.
    good : Raw
        The row in force, where `value` can't be, or JSON null.
    good_revision : int
        Revision of `good`.
    """

    name: str
    revision: int
    value: msgspec.Raw = _NOTHING
    good: msgspec.Raw = _NOTHING
    good_revision: int = 0


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
    revision: int = 0
    value: bytes | None = None
    reason: str = ""
    entry: CatalogueEntry | None = None
    in_force: int = 0
    good: bytes | None = None

    @property
    def deleted(self) -> bool:
        """Whether the last write was a deletion."""
        return self.value is None

    def written(self, value: bytes | None, revision: int) -> "KnownRow":
        """Return this row after a later write."""
        row = None if value is None else catalogue.check(value)
        if isinstance(row, BadRow):
            return replace(self, revision=revision, value=value, reason=row.reason)
        in_force = revision if row is not None else 0
        return KnownRow(self.name, revision, value, "", row, in_force, value)

    def with_good(self, value: bytes, revision: int) -> "KnownRow":
        """Return this row with an earlier good one in force below a bad one."""
        row = catalogue.check(value)
        if not self.reason or revision <= self.in_force or isinstance(row, BadRow):
            return self
        return replace(self, entry=row, in_force=revision, good=value)

    def fingerprint(self) -> int:
        """Return a hash of the revisions; 0 for a deleted row."""
        if self.deleted:
            return 0
        text = f"{self.name}\0{self.revision}\0{self.in_force}".encode()
        return int.from_bytes(blake2b(text, digest_size=_DIGEST_BYTES).digest())

    def message(self) -> CatalogueRow:
        """Return the row as a message."""
        return CatalogueRow(
            name=self.name,
            revision=self.revision,
            value=_raw(self.value),
            good=_raw(self.good if self.reason else None),
            good_revision=self.in_force if self.reason else 0,
        )


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
        self._rows: dict[str, KnownRow] = {}
        self._digest = 0
        self._revision = 0
        self._newest = 0
        self._forgotten = 0
        self._loaded = False
        self._heard_at = clock.monotonic()
        self._policies: dict[str, ServicePolicy] = {}
        self._current: set[str] = set()

    @property
    def revision(self) -> int:
        """Revision up to which all writes are known."""
        return self._revision

    @property
    def newest(self) -> int:
        """Highest revision of a row."""
        return self._newest

    @property
    def digest(self) -> str:
        """Hash of all rows' revisions; equal where the same rows are in force."""
        return f"{self._digest:016x}"

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
        with self._lock:
            return {name: row.reason for name, row in self._rows.items() if row.reason}

    def get(self, name: str) -> CatalogueEntry | None:
        """Return the entry `name` as in force."""
        row = self.known(name)
        return row.entry if row else None

    def known(self, name: str) -> KnownRow | None:
        """Return all that is known of the row `name`."""
        with self._lock:
            return self._rows.get(name)

    def has(self, name: str, revision: int) -> bool:
        """Return whether the write of `name` at `revision` or a later one is known."""
        row = self.known(name)
        return row is not None and row.revision >= revision

    def rows(self) -> dict[str, CatalogueEntry]:
        """Return all entries in force."""
        with self._lock:
            rows = self._rows.items()
            return {name: row.entry for name, row in rows if row.entry is not None}

    def all_known(self) -> list[KnownRow]:
        """Return all rows that are not deleted, by name."""
        with self._lock:
            present = [row for row in self._rows.values() if not row.deleted]
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
        writes = [(_name(row.key), row.value, row.revision) for row in listing.rows]
        present = {name for name, _, _ in writes}
        with self._writing:
            absent = [row.name for row in self.all_known() if row.name not in present]
            writes += [(name, None, listing.revision) for name in absent]
            self._write_all(writes)
            self._reach(listing.revision)
            self._loaded = True

    def take_changes(self, changes: Changes) -> None:
        """Take what a watch saw."""
        writes = [(_name(one.key), one.value, one.revision) for one in changes.changes]
        with self._writing:
            self._write_all(writes)
            self._reach(changes.revision)

    def write(self, name: str, value: bytes | None, revision: int) -> None:
        """Take one row as it was written at `revision`."""
        with self._writing:
            self._write_all([(name, value, revision)])

    # --- between entries -----------------------------------------------------

    def merge(self, rows: Iterable[CatalogueRow]) -> bool:
        """Take rows from another entry; return whether any was news."""
        with self._writing:
            changed = [row.name for row in rows if self._merge_one(row)]
            self._note(changed)
        return bool(changed)

    def since(self, revision: int) -> list[CatalogueRow]:
        """Return the rows written after `revision`, deleted ones too."""
        with self._lock:
            known = [row for row in self._rows.values() if row.revision > revision]
        return [row.message() for row in sorted(known, key=lambda row: row.revision)]

    def vouched(self, revision: int, age: float) -> None:
        """Note that a member with the same rows knows all writes to `revision`.

        Parameters
        ----------
        age : float
            Seconds since that member's rows were confirmed.
        """
        with self._writing:
            self._revision = max(self._revision, revision)
            self._heard_at = max(self._heard_at, self._clock.monotonic() - age)
            self._loaded = True

    # --- helpers, called by one writer at a time -----------------------------

    def _write_all(self, writes: list[tuple[str, bytes | None, int]]) -> None:
        changed = []
        for name, value, revision in writes:
            known = self.known(name) or KnownRow(name)
            if revision > known.revision:
                self._replace(known.written(value, revision))
                changed.append(name)
        self._note(changed)

    def _merge_one(self, row: CatalogueRow) -> bool:
        known = self.known(row.name)
        if known is None and row.revision <= self._forgotten:
            return False
        before = known or KnownRow(row.name)
        after = before
        if row.revision > before.revision:
            after = before.written(_bytes(row.value), row.revision)
        good = _bytes(row.good)
        if good is not None:
            after = after.with_good(good, row.good_revision)
        if after == before:
            return False
        self._replace(after)
        return True

    def _replace(self, row: KnownRow) -> None:
        with self._lock:
            before = self._rows.get(row.name)
            self._digest ^= before.fingerprint() if before else 0
            self._digest ^= row.fingerprint()
            self._rows[row.name] = row
            self._newest = max(self._newest, row.revision)
            self._current.clear()
        _log(row)

    def _note(self, changed: list[str]) -> None:
        if changed:
            self._forget_deleted()
            self._on_change()

    def _forget_deleted(self) -> None:
        with self._lock:
            deleted = [row for row in self._rows.values() if row.deleted]
            if len(deleted) <= MAX_DELETED:
                return
            deleted.sort(key=lambda row: row.revision)
            for row in deleted[: -MAX_DELETED // 2]:
                self._forgotten = max(self._forgotten, row.revision)
                del self._rows[row.name]

    def _reach(self, revision: int) -> None:
        if revision < self._revision:
            # A replica that lags, or a service restored from an old copy.
            event(logger, "key_value_behind", revision=revision, known=self._revision)
            return
        self._revision = revision
        self._heard_at = self._clock.monotonic()

    def _renewed_policy(
        self, service: str, policy: ServicePolicy | None
    ) -> ServicePolicy:
        """Return the policy from the rows now; the same one if they are the same."""
        rows = {
            row.name: PolicyRow(
                revision=row.in_force, weight=row.entry.weight, wave=row.entry.wave
            )
            for row in self._rows.values()
            if row.entry is not None and _draws_rollouts(row.entry, service)
        }
        if policy is not None and policy.rows == rows:
            return policy
        return ServicePolicy(revision=self._newest, rows=rows)


def _draws_rollouts(entry: CatalogueEntry, service: str) -> bool:
    return entry.work_class == "rollout" and service in entry.services


def _name(key: str) -> str:
    return key.removeprefix(catalogue.PREFIX)


def _raw(value: bytes | None) -> msgspec.Raw:
    return _NOTHING if value is None else msgspec.Raw(value)


def _bytes(value: msgspec.Raw) -> bytes | None:
    return None if bytes(value) == b"null" else bytes(value)


def _log(row: KnownRow) -> None:
    event(
        logger,
        "catalogue_bad_row" if row.reason else "catalogue_applied",
        catalogue_entry=row.name,
        revision=row.revision,
        in_force=row.in_force,
        deleted=row.deleted,
        reason=row.reason,
    )
