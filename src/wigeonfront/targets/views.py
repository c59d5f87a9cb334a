"""What is known of targets at one moment."""

from collections.abc import Mapping
from dataclasses import dataclass

from wigeonfront.targets.target import Target


@dataclass(frozen=True, slots=True)
class EngineState:
    """What one owner of Lots knows of an engine.

    Attributes
    ----------
    target : str
    runs : int
        Its own requests there that have not ended.
    pace : float
        Smoothed seconds for an event of a stream; 0 if unknown.
    age : float
        Seconds since the pace was taken last.
    """

    target: str
    runs: int
    pace: float
    age: float


@dataclass(frozen=True, slots=True)
class OtherOwnersReport:
    """What the other owners know of engines, at one moment.

    Attributes
    ----------
    owners : int
        Owners that were asked, whether they told or not.
    states : list of EngineState
        Those that they told.
    """

    owners: int
    states: list[EngineState]


@dataclass(frozen=True, slots=True)
class TargetView:
    """A target at one moment.

    Attributes
    ----------
    target : Target
    in_flight : int
        Requests of this process that it has not finished.
    latency : float
        Smoothed seconds for an answer, or for an event of a stream; 0 if unknown.
    available : bool
        Its circuit lets requests through.
    draining : bool
    versions : mapping of str to int
        Versions last seen; empty if unknown.
    refused_until : dict of str to float
        Monotonic time until which it takes no work for a model.
    loading : frozenset of str
        Models whose weights it is about to change.
    others : int
        Runs of other owners of Lots there, as far as known.
    """

    target: Target
    in_flight: int
    latency: float
    available: bool
    draining: bool
    versions: Mapping[str, int]
    refused_until: Mapping[str, float]
    loading: frozenset[str] = frozenset()
    others: int = 0

    @property
    def free_slots(self) -> int:
        """Places free of own requests; negative while these wait there."""
        return self.target.slots - self.in_flight

    @property
    def load(self) -> int:
        """Requests there of this process and of other owners."""
        return self.in_flight + self.others
