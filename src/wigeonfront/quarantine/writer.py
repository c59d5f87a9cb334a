"""Writes the crashes that this process has found into the store."""

import logging
import threading
from collections.abc import Callable, Sequence

from wigeonfront.clock import Clock
from wigeonfront.coordination.rows import Listing, Put, RowStore, Stored
from wigeonfront.observability.logs import event
from wigeonfront.quarantine.ledger import Change, CrashLedger
from wigeonfront.quarantine.record import CRASH_PREFIX, encode_crash

logger = logging.getLogger(__name__)

MOST_CHANGES = 16
"""Changes in one transaction."""

RETRY_SECONDS = 0.2
"""Pause after a write that failed; it doubles."""

MOST_RETRY_SECONDS = 1.0
"""Longest pause: other entries must know of a crash within seconds of the store's
return."""

LOOK_SECONDS = 0.5
"""Longest wait for a crash, after which the task looks whether it is to end."""

FORGET_PAUSE_SECONDS = 60.0


class CrashWriter:
    """Keeps the store's rows as the ledger has them.

    Parameters
    ----------
    ledger : CrashLedger
    store : RowStore
    leads : callable
        Returns whether this entry is the one that removes old rows.
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
        self._forgot_at = clock.monotonic()

    def run(self, stop: threading.Event) -> None:
        """Write changes until told to stop (a supervisor's task)."""
        pause = RETRY_SECONDS
        while not stop.is_set():
            changes = self._ledger.wait_due(MOST_CHANGES, LOOK_SECONDS)
            if not changes or self.write(changes):
                pause = RETRY_SECONDS
            else:
                stop.wait(pause)
                pause = min(2 * pause, MOST_RETRY_SECONDS)
            self._forget_old()

    def write(self, changes: Sequence[Change]) -> bool:
        """Write changes; return whether the store has certainly taken them.

        One whose fate is unknown is written again, which changes nothing. What others
        have written is read at once, as the mirror may be behind by seconds.
        """
        puts = tuple(
            Put(one.key, encode_crash(one.crash))
            for one in changes
            if one.crash is not None
        )
        deletes = tuple(one.key for one in changes if one.crash is None)
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
            self._read()
        self._ledger.written(changes, outcome.revision)
        return True

    def _read(self) -> None:
        listing = self._store.list(CRASH_PREFIX)
        if isinstance(listing, Listing):
            rows = {row.key: row for row in listing.rows}
            self._ledger.update(rows, listing.revision)

    def _forget_old(self) -> None:
        now = self._clock.monotonic()
        if now - self._forgot_at < FORGET_PAUSE_SECONDS:
            return
        self._forgot_at = now
        if self._leads():
            self._ledger.forget_old(self._clock.time())
