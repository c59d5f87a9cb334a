"""Keeps what owned Lots have generated: finished results, and texts of long runs."""

import logging
import threading
from collections.abc import Callable

from wigeonfront.clock import Clock
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Counter
from wigeonfront.rollout.order import batch_due, texts_due
from wigeonfront.rollout.progress import LotProgress
from wigeonfront.rollout.repository import (
    InDoubt,
    Kept,
    LotRepository,
    NotKept,
    OwnerReplaced,
)

logger = logging.getLogger(__name__)

BATCH_WAIT_SECONDS = 0.05
"""Pause of the keeping thread while results wait for their batch."""

IDLE_WAIT_SECONDS = 0.5
"""Longest sleep of the keeping thread; a finished sample wakes it."""

STORE_RETRY_SECONDS = 0.3
"""Pause after the store did not take a batch; one Lot asks, whatever the number."""

BATCH_BYTES = 500_000
"""Text in one row of results: under the store's limit for a value, also as base64."""

WriteOutcome = Kept | OwnerReplaced | NotKept | InDoubt


class ResultWriter:
    """Writes batches of results and the texts of runs in progress.

    Parameters
    ----------
    repository : LotRepository
    lots : callable
        Returns the owned Lots; called with the lock of `changed` held.
    stop_lot : callable
        Gives up a Lot that has another owner, with the reason.
    changed : threading.Condition
        Guards the progress of Lots, and is notified when a result is kept or waits.
    clock : Clock
    batches : wigeonfront.observability.metrics.Counter
        Counts writes by outcome.
    """

    def __init__(
        self,
        repository: LotRepository,
        lots: Callable[[], list[LotProgress]],
        stop_lot: Callable[[str, str], object],
        changed: threading.Condition,
        clock: Clock,
        batches: Counter,
    ) -> None:
        self._repository = repository
        self._lots = lots
        self._stop_lot = stop_lot
        self._changed = changed
        self._clock = clock
        self._batches = batches
        self._failed = ""

    def run(self, stop: threading.Event) -> None:
        """Keep what is due (a supervisor's task)."""
        while not stop.is_set():
            if not self._write_due():
                stop.wait(STORE_RETRY_SECONDS)
                continue
            with self._changed:
                unkept = any(
                    progress.unkept or progress.in_doubt for progress in self._lots()
                )
                self._changed.wait(BATCH_WAIT_SECONDS if unkept else IDLE_WAIT_SECONDS)

    def write_remaining(self, progress: LotProgress) -> WriteOutcome:
        """Keep all finished results of a Lot that is no longer run here.

        A batch that `run` is writing at the same moment is written twice, which is
        harmless: it takes effect once.
        """
        while progress.unkept or progress.in_doubt:
            outcome = self._write(progress)
            if not isinstance(outcome, Kept):
                return outcome
        return Kept(progress.head_revision)

    def _write_due(self) -> bool:
        """Keep what is due; return ``False`` once the store takes no part.

        One Lot finds out whether the store is back: each call that is not answered
        takes a second, and with three Lots one after the other a store that was back
        kept nothing for up to 3 s, which a loss of power then took.
        """
        # The one that failed last goes last, so that it can't hold up the others.
        due = sorted(self._due_lots(), key=lambda progress: progress.lot.id == self._failed)
        for progress in due:
            if isinstance(self._write(progress), NotKept | InDoubt):
                self._failed = progress.lot.id
                return False
        return True

    def _due_lots(self) -> list[LotProgress]:
        now = self._clock.monotonic()
        with self._changed:
            return [
                progress
                for progress in self._lots()
                if not progress.deferred
                and (batch_due(progress, now) or texts_due(progress, now))
            ]

    def _write(self, progress: LotProgress) -> WriteOutcome:
        """Keep one batch, with the texts of the runs that go on."""
        lot_id = progress.lot.id
        with self._changed:
            batch = progress.begin_batch(BATCH_BYTES)
            if progress.writing_since is None:
                progress.writing_since = self._clock.monotonic()
            position = len(progress.kept)
            texts = progress.snapshots()
            progress.write_sent()
        outcome = self._repository.append(
            lot_id, progress.head_revision, position, batch, texts
        )
        name = type(outcome).__name__
        self._batches.increment(outcome=name)
        event(
            logger,
            "results_kept",
            lot=lot_id,
            position=position,
            count=len(batch),
            texts=len(texts),
            outcome=name,
            detail=getattr(outcome, "reason", ""),
        )
        with self._changed:
            if isinstance(outcome, Kept):
                # What was too much for the row counts as kept until it has grown.
                progress.batch_kept(position, texts)
                progress.writing_since = None
                progress.flushed_at = self._clock.monotonic()
            progress.write_ended(position, isinstance(outcome, InDoubt))
            self._changed.notify_all()
        if isinstance(outcome, OwnerReplaced):
            self._stop_lot(lot_id, "head row changed")
        return outcome
