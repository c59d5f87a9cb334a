"""The crashes that a process knows: those in the store, and its own pending changes."""

import logging
import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from wigeonfront.coordination.rows import Row
from wigeonfront.observability.logs import event
from wigeonfront.quarantine.policy import expires_at
from wigeonfront.quarantine.record import CRASH_PREFIX, Crash, decode_crash

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Change:
    """A row that this process adds to the store or removes from it.

    Attributes
    ----------
    key : str
    crash : Crash or None
        ``None`` to remove the row.
    revision : int
        Revision of the store at which the change was written; 0 while it is pending.
    """

    key: str
    crash: Crash | None
    revision: int = 0


class CrashLedger:
    """Crashes by the fingerprint of their request; safe for use by many threads.

    Changes that this process makes are visible to it at once. Each change is kept until
    the rows that the process reads from the store are at least as new.

    Examples
    --------
    >>> ledger = CrashLedger()
    >>> ledger.add(Crash("f", "i-1", 4.0, 5.0))
    True
    >>> ledger.add(Crash("f", "i-1", 4.5, 5.0))
    False
    >>> [crash.target for crash in ledger.crashes("f")]
    ['i-1']
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._written = threading.Condition(self._lock)
        self._revision = 0
        self._stored: dict[str, Crash] = {}
        self._changes: dict[str, Change] = {}
        # The stored crashes with the changes applied, by fingerprint and key.
        self._known: dict[str, dict[str, Crash]] = {}
        self._malformed_rows: dict[str, int] = {}

    @property
    def empty(self) -> bool:
        """Whether no crash is known."""
        return not self._known

    def crashes(self, fingerprint: str) -> list[Crash]:
        """Return the crashes of a request."""
        with self._lock:
            return list(self._known.get(fingerprint, {}).values())

    def fingerprints(self) -> list[str]:
        """Return the fingerprints of the requests that have crashed targets."""
        with self._lock:
            return list(self._known)

    def add(self, crash: Crash) -> bool:
        """Add a crash; return ``False`` if it is already known."""
        with self._lock:
            if crash.key in self._known.get(crash.fingerprint, {}):
                return False
            self._add_change(Change(crash.key, crash))
            return True

    def clear(self, fingerprint: str) -> bool:
        """Remove the crashes of a request; return whether there were any."""
        with self._lock:
            known = list(self._known.get(fingerprint, {}))
            for key in known:
                self._add_change(Change(key, None))
            return bool(known)

    def clear_expired(self, now: float) -> None:
        """Remove expired crashes; `now` is the Unix time in seconds."""
        for fingerprint in self.fingerprints():
            crashes = self.crashes(fingerprint)
            if crashes and expires_at(crashes) <= now:
                self.clear(fingerprint)

    def update(self, rows: Mapping[str, Row], revision: int) -> None:
        """Replace the stored crashes by the store's rows at a revision.

        Nothing changes if rows of a later revision are known.

        Parameters
        ----------
        rows : mapping of str to Row
            Rows by their keys; rows with another prefix are ignored.
        revision : int
            Revision of the store at which the rows were read.
        """
        crash_rows = {
            key: row for key, row in rows.items() if key.startswith(CRASH_PREFIX)
        }
        crashes = {key: decode_crash(row) for key, row in crash_rows.items()}
        with self._lock:
            if revision < self._revision:
                return
            self._revision = revision
            self._log_malformed(
                row for key, row in crash_rows.items() if crashes[key] is None
            )
            stored = {key: crash for key, crash in crashes.items() if crash is not None}
            confirmed = [
                key
                for key, change in self._changes.items()
                if 0 < change.revision <= revision
            ]
            if stored == self._stored and not confirmed:
                return
            self._stored = stored
            for key in confirmed:
                del self._changes[key]
            self._merge()

    def wait_pending(self, limit: int, seconds: float) -> list[Change]:
        """Return up to `limit` pending changes; wait up to `seconds` for the first."""
        with self._lock:
            if not self._pending():
                self._changed.wait(seconds)
            return self._pending()[:limit]

    def wait_written(self, crash: Crash, seconds: float) -> None:
        """Wait up to `seconds` until a crash has been written to the store."""
        with self._lock:
            self._written.wait_for(lambda: not self._is_pending(crash.key), seconds)

    def mark_written(self, changes: Iterable[Change], revision: int) -> None:
        """Record that changes were written to the store at a revision."""
        with self._lock:
            for change in changes:
                if self._changes.get(change.key) is change:
                    self._changes[change.key] = replace(change, revision=revision)
            self._written.notify_all()

    def _is_pending(self, key: str) -> bool:
        change = self._changes.get(key)
        return change is not None and not change.revision

    def _pending(self) -> list[Change]:
        return [change for change in self._changes.values() if not change.revision]

    def _add_change(self, change: Change) -> None:
        self._changes[change.key] = change
        self._merge()
        self._changed.notify_all()

    def _merge(self) -> None:
        known = dict(self._stored)
        for key, change in self._changes.items():
            known.pop(key, None)
            if change.crash is not None:
                known[key] = change.crash
        self._known = {}
        for key, crash in known.items():
            self._known.setdefault(crash.fingerprint, {})[key] = crash

    def _log_malformed(self, rows: Iterable[Row]) -> None:
        """Log each malformed row once for every revision of it."""
        malformed = {row.key: row.revision for row in rows}
        for key, revision in malformed.items():
            if self._malformed_rows.get(key) != revision:
                event(
                    logger,
                    "bad_row",
                    level=logging.ERROR,
                    key=key,
                    revision=revision,
                    reason="not a crash",
                )
        self._malformed_rows = malformed
