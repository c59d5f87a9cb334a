"""Log lines and metrics about the runs of samples."""

import logging

from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry
from wigeonfront.rollout.run import Run
from wigeonfront.rollout.run_outcomes import RunOutcome, detail

logger = logging.getLogger(__name__)


class RunLog:
    """Writes log lines and metrics about runs.

    Parameters
    ----------
    metrics : wigeonfront.observability.metrics.Registry
    """

    def __init__(self, metrics: Registry) -> None:
        self._count = metrics.counter(
            "sample_runs_total", "Runs of samples by how they ended.", ("outcome",)
        )
        self._seconds = metrics.histogram(
            "sample_run_seconds", "Duration of runs.", ("outcome",)
        )

    def sent(self, run: Run) -> None:
        """Log the start of a run."""
        state = run.state
        event(
            logger,
            "sample_sent",
            lot=run.progress.lot.id,
            sample=state.sample.id,
            target=run.view.target.id,
            load=run.view.in_flight,
            others=run.view.others,
            slots=run.view.target.slots,
            after=state.text.last_id,
            expected_tokens=state.sample.expected_tokens,
            failures=state.failures,
        )

    def moved(self, run: Run, pace: float) -> None:
        """Log that a slow run is moved to another engine.

        Parameters
        ----------
        run : Run
        pace : float
            Seconds per event over the run's last events.
        """
        event(
            logger,
            "sample_moved",
            lot=run.progress.lot.id,
            sample=run.state.sample.id,
            target=run.target_id,
            pace=pace,
            events=run.state.text.last_id,
            moves=run.state.moves,
        )

    def ended(self, run: Run, outcome: RunOutcome, seconds: float, events: int) -> None:
        """Log and count the outcome of a run.

        Parameters
        ----------
        run : Run
        outcome : RunOutcome
        seconds : float
            Duration of the run.
        events : int
            Events that the run generated.
        """
        state = run.state
        name = type(outcome).__name__
        self._count.increment(outcome=name)
        self._seconds.observe(seconds, outcome=name)
        event(
            logger,
            "sample_run",
            lot=run.progress.lot.id,
            sample=state.sample.id,
            target=run.target_id,
            outcome=name,
            detail=detail(outcome),
            events=events,
            total_events=state.text.last_id,
            versions=",".join(map(str, sorted(state.text.versions))),
            seconds=seconds,
        )
