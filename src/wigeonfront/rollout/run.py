"""A run in progress of a sample on an engine."""

from dataclasses import dataclass

from wigeonfront.rollout.scheduling import PACE_EVENTS
from wigeonfront.rollout.progress import LotProgress, SampleState
from wigeonfront.rollout.sample_run import RunHandle
from wigeonfront.targets.views import TargetView


@dataclass(slots=True)
class Run:
    """One run.

    Attributes
    ----------
    progress : LotProgress
    state : SampleState
    view : TargetView
        The engine as it was when the run was sent there.
    handle : RunHandle
    events : int
        Events since the pace was taken last, with the one at which it was taken.
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
        """The engine that runs it."""
        return self.view.target.id

    def note_event(self, now: float) -> float | None:
        """Count an event; return the pace in seconds an event, once it is due."""
        if not self.events:
            self.paced_at = now
        self.events += 1
        if self.events <= PACE_EVENTS:
            return None
        pace = (now - self.paced_at) / (self.events - 1)
        self.paced_at = now
        self.events = 1
        return pace
