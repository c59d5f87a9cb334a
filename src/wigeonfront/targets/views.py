"""Immutable snapshots of what this process knows about targets."""

from collections.abc import Mapping
from dataclasses import dataclass

from wigeonfront.targets.target import Target


@dataclass(frozen=True, slots=True)
class EngineState:
    """What one owner of Lots knows about an engine.

    Attributes
    ----------
    target : str
        Id of the engine.
    runs : int
        In-flight requests of this owner at the engine.
    pace : float
        Smoothed seconds per event of a stream; 0 if unknown.
    age : float
        Seconds since the last measurement of the pace.
    """

    target: str
    runs: int
    pace: float
    age: float


@dataclass(frozen=True, slots=True)
class OtherOwnersReport:
    """What the other owners of Lots report about engines, at one moment.

    Attributes
    ----------
    owners : int
        Number of owners that were asked, including those that did not answer.
    states : list of EngineState
        The states that the owners reported.
    """

    owners: int
    states: list[EngineState]


@dataclass(frozen=True, slots=True)
class TargetView:
    """The state of a target at one moment, for placement decisions.

    Attributes
    ----------
    target : Target
    in_flight : int
        Requests of this process that the target has not finished.
    latency : float
        Smoothed seconds per answer, or per event of a stream; 0 if unknown.
    available : bool
        Whether the circuit breaker lets requests through and no other incarnation has
        answered lately at the target's address.
    draining : bool
        Whether the target accepts no new work.
    versions : mapping of str to int
        Version last seen of each model; empty if unknown.
    refused_until : dict of str to float
        Monotonic time until which the target gets no work for a model.
    loading : frozenset of str
        Models of which the target is about to load other weights.
    others : int
        Runs of other owners of Lots at the target, as far as this process knows.
        Runs are included that they are assumed to have sent since their reports.
    suspected_by : tuple of str
        Entries whose reports say that the target fails, as far as they count.
    suspected : bool
        Whether the target is to be chosen last because of these reports: false while
        a request may try it.
    reported : int
        Runs of other owners of Lots at the target by their last reports.
    reported_lately : int
        The most in the last two reports, so that a slot which another owner uses
        again at once counts as taken.
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
    suspected_by: tuple[str, ...] = ()
    suspected: bool = False
    reported: int = 0
    reported_lately: int = 0

    @property
    def free_slots(self) -> int:
        """Slots not used by this process; negative while its requests queue there."""
        return self.target.slots - self.in_flight

    @property
    def load(self) -> int:
        """Requests of this process and of other owners at the target."""
        return self.in_flight + self.others
