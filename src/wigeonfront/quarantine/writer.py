"""Writes the changes of a process's crash ledger to the store."""

import logging
import threading
from collections.abc import Callable, Sequence

from wigeonfront.clock import Clock
from wigeonfront.coordination.rows import Listing, Put, RowStore, Stored
from wigeonfront.observability.logs import event
from wigeonfront.quarantine.ledger import Change, CrashLedger
from wigeonfront.quarantine.record import CRASH_PREFIX, encode_crash

logger = logging.getLogger(__name__)

MAX_CHANGES_PER_WRITE = 16
"""Largest number of changes in one transaction."""

FIRST_RETRY_SECONDS = 0.2
"""Pause after a failed write; it doubles with each further failure."""

MAX_RETRY_SECONDS = 1.0
"""Longest pause: other entries must learn of a crash within seconds after the store is
reachable again."""

STOP_CHECK_SECONDS = 0.5
"""Longest wait for a change, after which the task checks whether it must stop."""

CLEANUP_INTERVAL_SECONDS = 60.0


class CrashWriter:
    """Writes pending changes of the ledger to the store, and clears expired crashes.

    Parameters
    ----------
    ledger : CrashLedger
    store : RowStore
    leads : callable
        Returns whether this entry is the one that removes expired rows.
    clock : Clock
    """

    def __init__(
        self,
        ledger: CrashLedger,
        store: RowStore,
        leads: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._ledger = ledger
        self._store = store
        self._leads = leads
        self._clock = clock
        self._cleared_at = clock.monotonic()

    def run(self, stop: threading.Event) -> None:
        """Write changes until `stop` is set (a supervisor's task)."""
        pause = FIRST_RETRY_SECONDS
        while not stop.is_set():
            changes = self._ledger.wait_pending(
                MAX_CHANGES_PER_WRITE, STOP_CHECK_SECONDS
            )
            if not changes or self.write(changes):
                pause = FIRST_RETRY_SECONDS
            else:
                stop.wait(pause)
                pause = min(2 * pause, MAX_RETRY_SECONDS)
            self._clear_expired()

    def write(self, changes: Sequence[Change]) -> bool:
        """Write changes; return whether they are certainly in the store.

        Uncertain writes are repeated, which is idempotent. The crashes that other
        entries have written are read at once, because the mirror may lag by seconds.
        """
        puts = tuple(
            Put(change.key, encode_crash(change.crash))
            for change in changes
            if change.crash is not None
        )
        deletes = tuple(change.key for change in changes if change.crash is None)
        outcome = self._store.write((), puts, deletes)
        event(
            logger,
            "crashes_written",
            added=len(puts),
            removed=len(deletes),
            outcome=type(outcome).__name__,
        )
        if not isinstance(outcome, Stored):
            return False
        if puts:
            self._read_crashes()
        self._ledger.mark_written(changes, outcome.revision)
        return True

    def _read_crashes(self) -> None:
        listing = self._store.list(CRASH_PREFIX)
        if isinstance(listing, Listing):
            rows = {row.key: row for row in listing.rows}
            self._ledger.update(rows, listing.revision)

    def _clear_expired(self) -> None:
        now = self._clock.monotonic()
        if now - self._cleared_at < CLEANUP_INTERVAL_SECONDS:
            return
        self._cleared_at = now
        if self._leads():
            self._ledger.clear_expired(self._clock.time())
