"""The crashes that a process knows: those that the store shows, and its own changes."""

import logging
import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from wigeonfront.coordination.rows import Row
from wigeonfront.observability.logs import event
from wigeonfront.quarantine.policy import forget_at
from wigeonfront.quarantine.record import CRASH_PREFIX, Crash, decode_crash

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Change:
    """A row that this process writes or removes.

    Attributes
    ----------
    key : str
    crash : Crash or None
        ``None`` to remove the row.
    revision : int
        Of the store when it was done; 0 before.
    """

    key: str
    crash: Crash | None
    revision: int = 0


class CrashLedger:
    """Crashes by the request; safe for use by many threads.

    What this process has found holds for it at once. Each change is kept until the rows
    that it reads from the store are at least as new.

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
        self._agreed: dict[str, Crash] = {}
        self._changes: dict[str, Change] = {}
        # Both of them together, by the fingerprint and the key.
        self._known: dict[str, dict[str, Crash]] = {}
        self._bad_rows: dict[str, int] = {}

    @property
    def empty(self) -> bool:
        """Whether no crash is known."""
        return not self._known

    def crashes(self, fingerprint: str) -> list[Crash]:
        """Return the crashes under a request."""
        with self._lock:
            return list(self._known.get(fingerprint, {}).values())

    def fingerprints(self) -> list[str]:
        """Return the requests under which targets have crashed."""
        with self._lock:
            return list(self._known)

    def add(self, crash: Crash) -> bool:
        """Note a crash; return ``False`` if it is known."""
        with self._lock:
            if crash.key in self._known.get(crash.fingerprint, {}):
                return False
            self._change(Change(crash.key, crash))
            return True

    def clear(self, fingerprint: str) -> bool:
        """Remove the crashes of a request; return whether there were any."""
        with self._lock:
            known = list(self._known.get(fingerprint, {}))
            for key in known:
                self._change(Change(key, None))
            return bool(known)

    def forget_old(self, now: float) -> None:
        """Remove crashes that decide nothing any more; `now` is the Unix time."""
        for fingerprint in self.fingerprints():
            crashes = self.crashes(fingerprint)
            if crashes and forget_at(crashes) <= now:
                self.clear(fingerprint)

    def update(self, rows: Mapping[str, Row], revision: int) -> None:
        """Take the rows that the store shows at a revision; older ones are ignored.

        Parameters
        ----------
        rows : mapping of str to Row
            By their keys; those of other prefixes are passed over.
        """
        found = {key: row for key, row in rows.items() if key.startswith(CRASH_PREFIX)}
        crashes = {key: decode_crash(row) for key, row in found.items()}
        with self._lock:
            if revision < self._revision:
                return
            self._revision = revision
            self._log_bad(row for key, row in found.items() if crashes[key] is None)
            agreed = {key: crash for key, crash in crashes.items() if crash is not None}
            seen = [
                key
                for key, one in self._changes.items()
                if 0 < change.revision <= revision
            ]
            if agreed == self._agreed and not seen:
                return
            self._agreed = agreed
            for key in seen:
                del self._changes[key]
            self._join()

    def wait_due(self, most: int, seconds: float) -> list[Change]:
        """Return changes that are to be written; wait up to `seconds` for one."""
        with self._lock:
            if not self._due():
                self._changed.wait(seconds)
            return self._due()[:most]

    def wait_written(self, crash: Crash, seconds: float) -> None:
        """Wait until the store has a crash, or until `seconds` have passed."""
        with self._lock:
            self._written.wait_for(lambda: not self._is_due(crash.key), seconds)

    def written(self, changes: Iterable[Change], revision: int) -> None:
        """Note that the store has taken changes at a revision."""
        with self._lock:
            for change in changes:
                if self._changes.get(change.key) is change:
                    self._changes[change.key] = replace(change, revision=revision)
            self._written.notify_all()

    def _is_due(self, key: str) -> bool:
        change = self._changes.get(key)
        return change is not None and not change.revision

    def _due(self) -> list[Change]:
        return [one for one in self._changes.values() if not one.revision]

    def _change(self, change: Change) -> None:
        self._changes[change.key] = change
        self._join()
        self._changed.notify_all()

    def _join(self) -> None:
        known = dict(self._agreed)
        for key, change in self._changes.items():
            known.pop(key, None)
            if change.crash is not None:
                known[key] = change.crash
        self._known = {}
        for key, crash in known.items():
            self._known.setdefault(crash.fingerprint, {})[key] = crash

    def _log_bad(self, rows: Iterable[Row]) -> None:
        """Log each malformed row once for each write of it."""
        bad = {row.key: row.revision for row in rows}
        for key, revision in bad.items():
            if self._bad_rows.get(key) != revision:
                event(
                    logger,
                    "bad_row",
                    level=logging.ERROR,
                    key=key,
                    revision=revision,
                    reason="not a crash",
                )
        self._bad_rows = bad
