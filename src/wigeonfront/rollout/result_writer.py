"""Writes what owned Lots have generated to the store: results and unfinished texts."""

import logging
import threading
from collections.abc import Callable

from wigeonfront.clock import Clock
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Counter
from wigeonfront.rollout.progress import LotProgress
from wigeonfront.rollout.repository import (
    InDoubt,
    Kept,
    LotRepository,
    NotKept,
    OwnerReplaced,
)
from wigeonfront.rollout.scheduling import batch_due, texts_due

logger = logging.getLogger(__name__)

BATCH_WAIT_SECONDS = 0.05
"""Longest sleep of the writing thread while results wait for their batch."""

IDLE_WAIT_SECONDS = 0.5
"""Longest sleep of the writing thread otherwise; a finished sample wakes it."""

STORE_RETRY_SECONDS = 0.3
"""Pause after the store has not accepted a batch. Only one Lot's batch is tried per
pause, however many Lots there are."""

BATCH_BYTES = 500_000
"""Text in one row of results: below the store's limit of a value, also as base64."""

WriteOutcome = Kept | OwnerReplaced | NotKept | InDoubt


class ResultWriter:
    """Writes batches of results and the texts of runs in progress.

    Parameters
    ----------
    repository : LotRepository
    lots : callable
        Returns the owned Lots; called with the lock of `changed` held.
    stop_lot : callable
        Called with the id of a Lot that has another owner and the reason for stopping
        it.
    changed : threading.Condition
        Guards the progress of Lots. It is notified when a result is added and when one
        is written.
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
        self._failed_lot_id = ""

    def run(self, stop: threading.Event) -> None:
        """Write results and texts when they are due (a supervisor's task)."""
        while not stop.is_set():
            if not self._write_due():
                stop.wait(STORE_RETRY_SECONDS)
                continue
            with self._changed:
                unwritten = any(
                    progress.unwritten or progress.in_doubt for progress in self._lots()
                )
                self._changed.wait(
                    BATCH_WAIT_SECONDS if unwritten else IDLE_WAIT_SECONDS
                )

    def write_remaining(self, progress: LotProgress) -> WriteOutcome:
        """Write all results of a Lot that this process no longer runs.

        A batch that `run` writes at the same time is written twice. This is harmless,
        as the write is idempotent.
        """
        while progress.unwritten or progress.in_doubt:
            outcome = self._write(progress)
            if not isinstance(outcome, Kept):
                return outcome
        return Kept(progress.head_revision)

    def _write_due(self) -> bool:
        """Write what is due; return ``False`` after the first failed write.

        A single Lot's write tests whether the store is available again, since each
        unanswered call takes a second. When three Lots were tried one after the other,
        a store that was available again received nothing for up to 3 s, and a loss of
        power then destroyed these results.
        """
        # The Lot whose write failed last comes last, so that it can't delay the others.
        due = sorted(
            self._due_lots(),
            key=lambda progress: progress.lot.id == self._failed_lot_id,
        )
        for progress in due:
            if isinstance(self._write(progress), NotKept | InDoubt):
                self._failed_lot_id = progress.lot.id
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
        """Write one batch of results together with the texts of unfinished samples."""
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
                # Texts that were too long for the row count as saved until they grow.
                progress.batch_kept(position, texts)
                progress.writing_since = None
                progress.flushed_at = self._clock.monotonic()
            progress.write_ended(position, isinstance(outcome, InDoubt))
            self._changed.notify_all()
        if isinstance(outcome, OwnerReplaced):
            self._stop_lot(lot_id, "head row changed")
        return outcome
