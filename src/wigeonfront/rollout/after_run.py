"""What becomes of a sample after a run of it."""

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
"""Pause before a failed sample is sent again."""


QUARANTINE_LOOK_SECONDS = 5.0
"""Longest pause until it is looked again whether a sample is still quarantined."""


@dataclass(frozen=True, slots=True)
class TextWhole:
    """The sample's text is whole and fits its Lot."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The sample gets no more runs."""

    reason: str


@dataclass(frozen=True, slots=True)
class RunAgain:
    """The sample waits for another run; what its text has is gone on from."""


NextStep = TextWhole | GiveUp | RunAgain


def outcome_of(run: Run, outcome: RunOutcome) -> RunOutcome:
    """Return a run's outcome, with what its process knows of why it ended so."""
    if run.handle.cancelled:
        return RunCancelled()
    if run.handle.moved and isinstance(outcome, RunBroken):
        return RunMoved()
    if isinstance(outcome, RunSilent):
        return RunSilent(full=run.view.load >= run.view.target.slots)
    return outcome


@singledispatch
def settle(outcome: RunOutcome, run: Run, table: TargetTable, now: float) -> NextStep:
    """Note what a run showed, and return what becomes of its sample.

    Parameters
    ----------
    outcome : RunOutcome
    run : Run
    table : TargetTable
        Learns what the run says of the engine.
    now : float
        Monotonic time.
    """
    run.state.avoid = run.target_id
    return RunAgain()


@settle.register
def _(outcome: RunCompleted, run: Run, table: TargetTable, now: float) -> NextStep:
    if _fits(run):
        return TextWhole()
    run.state.forget_text()
    return RunAgain()


@settle.register
def _(outcome: RunImpossible, run: Run, table: TargetTable, now: float) -> NextStep:
    return GiveUp("impossible")


@settle.register
def _(outcome: RunFailed, run: Run, table: TargetTable, now: float) -> NextStep:
    run.state.failures += 1
    run.state.avoid = run.target_id
    run.state.not_before = now + FAILED_PAUSE_SECONDS
    if run.state.failures >= run.progress.lot.max_attempts:
        return GiveUp("failed attempts")
    return RunAgain()


@settle.register
def _(outcome: RunQuarantined, run: Run, table: TargetTable, now: float) -> NextStep:
    run.state.not_before = now + min(outcome.seconds, QUARANTINE_LOOK_SECONDS)
    return RunAgain()


@settle.register
def _(outcome: RunRefused, run: Run, table: TargetTable, now: float) -> NextStep:
    if outcome.replaced:
        table.record_replaced(run.target_id)
    elif outcome.reached:
        table.record_refused(run.target_id, run.state.sample.model)
    return RunAgain()


@settle.register
def _(outcome: RunTooOld, run: Run, table: TargetTable, now: float) -> NextStep:
    table.record_version(run.target_id, run.state.sample.model, outcome.version)
    # What another engine can go on from is kept; see `SamplePlacer`.
    if not _fits(run):
        run.state.forget_text()
    return RunAgain()


def _fits(run: Run) -> bool:
    lot = run.progress.lot
    return run.state.text.fits(lot.min_version, lot.single_version)
