"""The state of one run of a sample on an engine."""

from dataclasses import dataclass

from wigeonfront.rollout.progress import LotProgress, SampleState
from wigeonfront.rollout.sample_run import RunHandle
from wigeonfront.rollout.scheduling import PACE_EVENTS
from wigeonfront.targets.views import TargetView


@dataclass(slots=True)
class Run:
    """A run in progress.

    Attributes
    ----------
    progress : LotProgress
    state : SampleState
    view : TargetView
        The engine as it was when the run was sent there.
    handle : RunHandle
    events : int
        Events since the last measurement of the pace, including the event at which
        it took place.
    paced_at : float
        Monotonic time of that event.
    """

    progress: LotProgress
    state: SampleState
    view: TargetView
    handle: RunHandle
    events: int = 0
    paced_at: float = 0.0

    @property
    def key(self) -> tuple[str, str]:
        """The client account and the id of the sample."""
        return self.progress.lot.account, self.state.sample.id

    @property
    def target_id(self) -> str:
        """The id of the engine that runs the sample."""
        return self.view.target.id

    def note_event(self, now: float) -> float | None:
        """Count an event, and return the pace when its measurement is due.

        Parameters
        ----------
        now : float
            Monotonic time.

        Returns
        -------
        float or None
            Seconds per event since the last measurement; ``None`` between measurements.
        """
        if not self.events:
            self.paced_at = now
        self.events += 1
        if self.events <= PACE_EVENTS:
            return None
        pace = (now - self.paced_at) / (self.events - 1)
        self.paced_at = now
        self.events = 1
        return pace
