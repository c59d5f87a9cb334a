"""Runs the Lots that this process owns.

One thread sends waiting samples, one writes results to the store (`ResultWriter`), one
writes results to the spool while the store does not take them (`ResultSpooler`), and
one sends reward calls (`Scoring`). Each run and each reward call has a thread of its
own. All share the `LotProgress` objects, which the lock of `LotRunner` guards.
"""

import logging
import threading
from collections.abc import Callable
from random import Random

from wigeonfront.capacity import DemandBook, trainer_key
from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration
from wigeonfront.coordination.membership import Presence
from wigeonfront.http.budget import LOT_BUDGET
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry
from wigeonfront.rollout.after_run import GiveUp, TextWhole, next_step, outcome_of
from wigeonfront.rollout.engine_shares import RunUsage, ShareMonitor, TrainerShare
from wigeonfront.rollout.events import Text
from wigeonfront.rollout.initial_state import EMPTY_STATE, InitialState, create_progress
from wigeonfront.rollout.lot import Lot, SampleResult
from wigeonfront.rollout.overload import WorkEstimate
from wigeonfront.rollout.owner_calls import OwnedResults, ResultsInDoubt
from wigeonfront.rollout.picking import Picker
from wigeonfront.rollout.placement import OverloadMonitor, SamplePlacer
from wigeonfront.rollout.progress import LotProgress, SampleState
from wigeonfront.rollout.recent_texts import IncompleteSamples, RecentTexts
from wigeonfront.rollout.repository import LotRepository
from wigeonfront.rollout.result_writer import ResultWriter
from wigeonfront.rollout.reward_call import RewardCaller
from wigeonfront.rollout.run import Run
from wigeonfront.rollout.run_log import RunLog
from wigeonfront.rollout.run_outcomes import (
    RunBroken,
    RunCancelled,
    RunCompleted,
    RunOutcome,
    RunSilent,
    evidence,
)
from wigeonfront.rollout.sample_run import RunHandle, SampleRunner
from wigeonfront.rollout.scheduling import (
    SNAPSHOT_EVENTS,
    EngineRoom,
    OpenSample,
    expected_seconds,
    first_event_wait,
)
from wigeonfront.rollout.scoring import Scoring, completed
from wigeonfront.rollout.spooling import ResultSpooler
from wigeonfront.spool import SpoolClient, SpoolMember
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.views import TargetView

logger = logging.getLogger(__name__)

IDLE_WAIT_SECONDS = 0.5
"""Longest sleep of the sending thread; each change that concerns it wakes it."""

SLOT_WAIT_SECONDS = 0.05
"""Pause of the sending thread while samples wait for a slot."""

DOUBT_WAIT_SECONDS = 0.3
"""Minimum time for which a reader waits for the answer to a write in doubt.

The write may have put the results that the reader asks for into the store. The wait is
many times what a write takes.
"""

MIN_RUN_SECONDS = 1.0
"""Minimum time limit of a run, even if its sample may be given up sooner."""


class LotRunner:
    """Runs owned Lots.

    Parameters
    ----------
    repository : LotRepository
    table : TargetTable
    samples : SampleRunner
    reward_caller : RewardCaller
    spool : SpoolClient
    configuration : callable
        Returns the configuration in force, or ``None``.
    failure_domain : str
        Failure domain of this process.
    random : random.Random
        Draws the services of split routes.
    clock : Clock
    metrics : wigeonfront.observability.metrics.Registry
    presence : callable, optional
        Returns the `Presence` of this process.
    demands : DemandBook, optional
        Demands of all owners' Lots.

    Attributes
    ----------
    result_writer : ResultWriter
        Writes what the runs generate to the store.
    spooler : ResultSpooler
        Writes results to disks while the store does not take them.
    scoring : Scoring
        Gets the scores of whole texts.
    """

    def __init__(
        self,
        repository: LotRepository,
        table: TargetTable,
        samples: SampleRunner,
        reward_caller: RewardCaller,
        spool: SpoolClient,
        configuration: Callable[[], Configuration | None],
        failure_domain: str,
        random: Random,
        clock: Clock,
        metrics: Registry,
        presence: Callable[[], Presence] = Presence,
        demands: DemandBook | None = None,
    ) -> None:
        self._presence = presence
        self._table = table
        self._samples = samples
        self._configuration = configuration
        self._placer = SamplePlacer(table, configuration, clock)
        self._overload = OverloadMonitor(self._placer)
        self._shares = ShareMonitor(
            demands or DemandBook(clock), self._placer, clock, metrics
        )
        self._picker = Picker(self._placer, self._overload, self._shares, clock)
        self._clock = clock
        self._lock = threading.RLock()
        self._work = threading.Condition(self._lock)
        self._results = threading.Condition(self._lock)
        self._lots: dict[str, LotProgress] = {}
        # Key: client account and id of the sample.
        self._runs: dict[tuple[str, str], Run] = {}
        # Revision of the head row under which this process last ran each Lot.
        self._run_revisions: dict[str, int] = {}
        self._recent = RecentTexts()
        self._incomplete = IncompleteSamples()
        self._log = RunLog(metrics)
        self.result_writer = ResultWriter(
            repository,
            lambda: list(self._lots.values()),
            self.stop_lot,
            self._results,
            clock,
            metrics.counter(
                "result_batches_total", "Writes of results by outcome.", ("outcome",)
            ),
        )
        self.spooler = ResultSpooler(
            spool, lambda: list(self._lots.values()), self._results, clock
        )
        self.scoring = Scoring(
            reward_caller,
            table,
            lambda: list(self._lots.values()),
            self._finish,
            threading.Condition(self._lock),
            configuration,
            failure_domain,
            random,
            clock,
            metrics,
        )
        metrics.gauge(
            "samples_running", "Runs in progress.", lambda: float(len(self._runs))
        )

    @property
    def work(self) -> WorkEstimate:
        """Ratio of the time that runs take to the expected time."""
        return self._overload.work

    # --- Start and end of Lots -----------------------------------------------

    def adopt(
        self, lot: Lot, head_revision: int, left: InitialState = EMPTY_STATE
    ) -> None:
        """Begin to run a Lot that this process owns.

        The call has no effect if the Lot is known under this or a later revision.

        Parameters
        ----------
        lot : Lot
        head_revision : int
            Revision of the Lot's head row; 0 while the row is not written.
        left : InitialState, optional
            Results and texts that an earlier owner left.
        """
        now = self._clock.monotonic()
        with self._lock:
            known = self._lots.get(lot.id)
            if known is not None and known.head_revision >= head_revision:
                return
            progress = create_progress(
                lot, head_revision, left, self._recent, now, self._clock.time()
            )
            progress.presence_revision = self._presence().since_revision
            progress.required_groups = self._incomplete.groups_left(lot)
            if known is not None:
                LOT_BUDGET.release(known.lot.body_bytes)
            LOT_BUDGET.add(lot.body_bytes)
            self._lots[lot.id] = progress
            self._run_revisions[lot.id] = head_revision
            whole = [state for state in progress.open.values() if state.text.whole]
            for state in whole:
                self._text_ended(progress, state)
            self._work.notify_all()
            # Results from a disk are shown only after the store has them.
            self._results.notify_all()

    def note_head_written(self, lot_id: str, head_revision: int) -> None:
        """Note the revision at which a deferred Lot's head row was written."""
        with self._lock:
            progress = self._lots.get(lot_id)
            if progress is not None and progress.deferred:
                progress.head_revision = head_revision
                self._run_revisions[lot_id] = head_revision
                self._results.notify_all()

    def deferred(self) -> list[tuple[Lot, tuple[SpoolMember, ...]]]:
        """Return the Lots whose head rows are still to be written, with their disks."""
        with self._lock:
            return [
                (progress.lot, progress.spools)
                for progress in self._lots.values()
                if progress.deferred
            ]

    def owned(self, lot_id: str) -> LotProgress | None:
        """Return the Lot's progress if this process runs it."""
        with self._lock:
            return self._lots.get(lot_id)

    def has_run(self, lot_id: str, head_revision: int) -> bool:
        """Return whether this process has run a Lot under this or a later revision.

        Parameters
        ----------
        lot_id : str
        head_revision : int
            Revision of the Lot's head row.
        """
        with self._lock:
            return self._run_revisions.get(lot_id, -1) >= head_revision

    def owned_ids(self) -> set[str]:
        """Return the ids of the owned Lots."""
        with self._lock:
            return set(self._lots)

    def has_open_lots(self) -> bool:
        """Return whether an owned Lot has samples whose results the store lacks."""
        with self._lock:
            return any(not progress.finished for progress in self._lots.values())

    def stop_lot(self, lot_id: str, reason: str) -> LotProgress | None:
        """End all runs and reward calls of a Lot, and remove it from the owned Lots.

        Parameters
        ----------
        lot_id : str
        reason : str
            Reason for the log.

        Returns
        -------
        LotProgress or None
            Progress of the Lot; ``None`` if this process does not run it.
        """
        with self._lock:
            progress = self._lots.pop(lot_id, None)
            if progress is None:
                return None
            LOT_BUDGET.release(progress.lot.body_bytes)
            progress.ended = True
            self._incomplete.note(progress)
            runs = [run for run in self._runs.values() if run.progress is progress]
            for id, state in progress.open.items():
                if state.text.last_id:
                    self._recent.keep(progress.lot.account, id, state.text.copy())
            self._results.notify_all()
        for run in runs:
            run.handle.cancel()
        calls = self.scoring.cancel_calls(progress)
        event(
            logger,
            "lot_stopped",
            lot=lot_id,
            reason=reason,
            runs=len(runs),
            reward_calls=calls,
        )
        return progress

    def texts_of(self, progress: LotProgress) -> dict[str, Text]:
        """Return the texts of a stopped Lot's unfinished samples, by their ids."""
        with self._lock:
            return {
                id: state.text.copy()
                for id, state in progress.open.items()
                if state.text.last_id
            }

    def read(
        self, lot_id: str, after: int, wait: float
    ) -> OwnedResults | ResultsInDoubt | None:
        """Return the results from `after` on that the store or the disks have.

        Return ``None`` if this process does not run the Lot.

        Parameters
        ----------
        lot_id : str
        after : int
            Position from which results are returned.
        wait : float
            Maximum time in seconds to wait for a result.
        """
        now = self._clock.monotonic()
        deadline, doubt_deadline = now + wait, now + max(wait, DOUBT_WAIT_SECONDS)
        with self._lock:
            while True:
                progress = self._lots.get(lot_id)
                if progress is None:
                    return None
                total = len(progress.lot.samples)
                shown = progress.durable
                doubtful = len(shown) <= after < progress.possibly_read
                until = doubt_deadline if doubtful else deadline
                remaining = until - self._clock.monotonic()
                if remaining <= 0 and doubtful:
                    return ResultsInDoubt("results that may be read are not kept")
                if len(shown) > after or after >= total or remaining <= 0:
                    whole = len(shown) <= len(progress.kept)
                    return OwnedResults(total, shown[after:], whole)
                self._results.wait(remaining)

    # --- Sending of samples --------------------------------------------------

    def send_loop(self, stop: threading.Event) -> None:
        """Send waiting samples while slots are free (run as a supervised task)."""
        while not stop.is_set():
            with self._lock:
                started = self._send_waiting()
                if not started:
                    self._work.wait(self._pause())

    def engine_shares(self) -> list[TrainerShare]:
        """Return what is known about each trainer's use of engine slots."""
        return self._shares.status()

    def wake(self) -> None:
        """Check at once whether more samples can be sent."""
        with self._lock:
            self._work.notify_all()

    def _pause(self) -> float:
        waiting = any(
            state.wants_run
            for progress in self._lots.values()
            for state in progress.open.values()
        )
        return SLOT_WAIT_SECONDS if waiting else IDLE_WAIT_SECONDS

    def _send_waiting(self) -> bool:
        configuration = self._configuration()
        if configuration is None:
            return False
        self._give_up_late()
        picks = self._picker.picks(
            self._lots.values(), self._runs.values(), configuration
        )
        started = False
        for pick in picks:
            self._start(pick.waiting, pick.view)
            started = True
        return started

    def _start(self, waiting: OpenSample, view: TargetView) -> None:
        state = waiting.state
        state.running = True
        first_event_seconds = first_event_wait(view, state.silent_runs)
        handle = RunHandle(first_event_seconds, state.isolated)
        run = Run(waiting.progress, state, view, handle)
        self._runs[run.key] = run
        self._table.record_started(view.target.id, state.sample.model)
        self._log.sent(run)
        threading.Thread(
            target=self._run, args=(run,), name="sample-run", daemon=True
        ).start()

    def _give_up_late(self) -> None:
        """Give up the waiting samples of Lots whose time limit has passed."""
        now = self._clock.monotonic()
        for progress in self._lots.values():
            if now < progress.gives_up_at or not progress.open:
                continue
            for state in list(progress.open.values()):
                if not state.running and not state.call.sends:
                    self._finish(progress, _terminated(state), "too late")

    # --- Life of a run -------------------------------------------------------

    def _run(self, run: Run) -> None:
        lot = run.progress.lot
        state = run.state
        started = self._clock.monotonic()
        events_before = state.text.last_id
        outcome: RunOutcome = RunBroken("crashed")
        try:
            outcome = self._samples.run(
                lot,
                state.sample,
                state.text,
                run.view.target,
                max(MIN_RUN_SECONDS, run.progress.gives_up_at - started),
                run.handle,
                lambda version: self._on_event(run, version),
            )
        finally:
            seconds = self._clock.monotonic() - started
            events = state.text.last_id - events_before
            self._ended(run, outcome, seconds, events)

    def _on_event(self, run: Run, version: int) -> None:
        """Note an event; measure the run's pace when it is due and move a slow run."""
        now = self._clock.monotonic()
        state = run.state
        if state.text.last_id - state.snapshot_id >= SNAPSHOT_EVENTS:
            state.snapshot = state.text.copy()
        if not run.events:
            self._table.record_accepted(run.target_id, state.sample.model)
            self._table.record_version(run.target_id, state.sample.model, version)
        pace = run.note_event(now)
        if pace is None:
            return
        self._table.record_pace(run.target_id, pace)
        running = OpenSample(run.progress, run.state)
        if run.handle.moved or not self._placer.should_move(running, run.view, pace):
            return
        room = self._room(run)
        if room and not self._placer.should_move(running, run.view, pace, room):
            return
        run.state.moves += 1
        self._log.moved(run, pace)
        run.handle.move()

    def _room(self, run: Run) -> EngineRoom | None:
        """Return the engines' room for a run's trainer if the slots are divided."""
        service = run.view.target.service
        trainer = trainer_key(run.progress.lot)
        allotment = self._shares.allotment(service, trainer)
        if allotment is None:
            return None
        with self._lock:
            trainers = {id: trainer_key(owned.lot) for id, owned in self._lots.items()}
            usage = RunUsage(self._runs.values(), trainers)
        return EngineRoom(allotment.quotas, usage.of(service, trainer))

    def _ended(
        self, run: Run, outcome: RunOutcome, seconds: float, events: int
    ) -> None:
        state = run.state
        outcome = outcome_of(run, outcome)
        state.silent_runs += isinstance(outcome, RunSilent)
        self._table.record_ended(run.target_id, evidence(outcome))
        self._log.ended(run, outcome, seconds, events)
        with self._lock:
            if isinstance(outcome, RunCompleted) and events == state.text.last_id:
                self._overload.work.note(expected_seconds(state), seconds)
            if self._runs.get(run.key) is run:
                del self._runs[run.key]
            state.running = False
            if events:
                state.waiting_since = self._clock.monotonic()
            if not isinstance(outcome, RunCancelled) and not run.progress.ended:
                self._settle(run, outcome)
            self._work.notify_all()

    def _settle(self, run: Run, outcome: RunOutcome) -> None:
        state, progress = run.state, run.progress
        step = next_step(outcome, run, self._table, self._clock.monotonic())
        if isinstance(step, TextWhole):
            self._text_ended(progress, state)
        elif isinstance(step, GiveUp):
            self._finish(progress, _terminated(state), step.reason)

    def _text_ended(self, progress: LotProgress, state: SampleState) -> None:
        """Finish a sample whose text is whole, or request its score first."""
        if state.sample.reward_call is None:
            self._finish(progress, completed(state), "completed")
            return
        state.mark_text_whole(self._clock.monotonic())
        self.scoring.wake()

    def _finish(self, progress: LotProgress, result: SampleResult, reason: str) -> None:
        if not progress.finish(result):
            return
        event(
            logger,
            "sample_finished",
            lot=progress.lot.id,
            sample=result.id,
            completed=result.completed,
            reason=reason,
            open=len(progress.open),
            whole_groups=progress.whole_groups,
            wanted_groups=progress.wanted_groups,
        )
        self._results.notify_all()


def _terminated(state: SampleState) -> SampleResult:
    return SampleResult(state.sample.id, completed=False)
