"""Decides what happens to a sample after one of its runs."""

from dataclasses import dataclass
from functools import singledispatch

from wigeonfront.rollout.run import Run
from wigeonfront.rollout.run_outcomes import (
    RunBroken,
    RunCancelled,
    RunCompleted,
    RunFailed,
    RunImpossible,
    RunMoved,
    RunOutcome,
    RunQuarantined,
    RunRefused,
    RunSilent,
    RunTooOld,
)
from wigeonfront.targets.table import TargetTable

FAILED_PAUSE_SECONDS = 0.1
"""Pause before a failed sample is retried."""


@dataclass(frozen=True, slots=True)
class TextWhole:
    """The sample's text is whole and fits its Lot."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The sample is given up and gets no more runs."""

    reason: str


@dataclass(frozen=True, slots=True)
class Requeue:
    """The sample waits for another run, which continues its text."""


NextStep = TextWhole | GiveUp | Requeue


def outcome_of(run: Run, outcome: RunOutcome) -> RunOutcome:
    """Return a run's outcome, corrected by what this process knows of its cause."""
    if run.handle.cancelled:
        return RunCancelled()
    if run.handle.moved and isinstance(outcome, RunBroken):
        return RunMoved()
    if isinstance(outcome, RunSilent):
        return RunSilent(full=run.view.load >= run.view.target.slots)
    return outcome


@singledispatch
def next_step(
    outcome: RunOutcome, run: Run, table: TargetTable, now: float
) -> NextStep:
    """Record what a run showed, and return what happens to its sample next.

    Parameters
    ----------
    outcome : RunOutcome
    run : Run
    table : TargetTable
        Records what the run showed about the engine.
    now : float
        Monotonic time.
    """
    run.state.avoid = run.target_id
    return Requeue()


@next_step.register
def _(outcome: RunCompleted, run: Run, table: TargetTable, now: float) -> NextStep:
    if _fits(run):
        return TextWhole()
    run.state.discard_text()
    return Requeue()


@next_step.register
def _(outcome: RunImpossible, run: Run, table: TargetTable, now: float) -> NextStep:
    return GiveUp("impossible")


@next_step.register
def _(outcome: RunFailed, run: Run, table: TargetTable, now: float) -> NextStep:
    run.state.failures += 1
    run.state.avoid = run.target_id
    run.state.not_before = now + FAILED_PAUSE_SECONDS
    if run.state.failures >= run.progress.lot.max_attempts:
        return GiveUp("failed attempts")
    return Requeue()


@next_step.register
def _(outcome: RunQuarantined, run: Run, table: TargetTable, now: float) -> NextStep:
    run.state.not_before = now + outcome.seconds
    run.state.isolated = outcome.isolated
    return Requeue()


@next_step.register
def _(outcome: RunRefused, run: Run, table: TargetTable, now: float) -> NextStep:
    if outcome.replaced:
        table.record_replaced(run.target_id)
    elif outcome.reached:
        table.record_refused(run.target_id, run.state.sample.model)
    return Requeue()


@next_step.register
def _(outcome: RunTooOld, run: Run, table: TargetTable, now: float) -> NextStep:
    table.record_version(run.target_id, run.state.sample.model, outcome.version)
    # A text that another engine can continue is kept; see `SamplePlacer`.
    if not _fits(run):
        run.state.discard_text()
    return Requeue()


def _fits(run: Run) -> bool:
    lot = run.progress.lot
    return run.state.text.fits(lot.min_version, lot.single_version)
