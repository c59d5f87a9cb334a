"""When an engine is moved to another version of its weights; pure functions.

A trainer names version k and asks for step k, whose samples may come from version
k - 1. An engine therefore need not follow each version: it may skip every other one.
The engines of a service are halved: one half follows the even versions, the other the
odd ones, so that for each step half of the engines take samples at once while the
others load, and each version costs half as many loads as there are engines. While an
engine loads, it starts no sample of that model, but runs in progress go on.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

ALLOWED_LAG = 1
"""Versions that an engine may be behind the newest and still serve the next step."""

SPREAD_SECONDS = 0.9
"""Time between the loads of two engines of the same half, which is what a load takes:
a service has few free places for loads, and more at once slow each other down."""

MAX_SPREAD_SECONDS = 2.0
"""Longest time by which a load is put off for others: half of the time of a step."""

LOAD_SHARE = 0.4
"""Share of a service's engines that load together without slowing each other down."""

MODELS_PER_ENGINE = 2
"""Models whose versions one engine follows. Following every other version of two models
costs as many loads as following every version of one, which is each engine's part; an
engine that follows all of four loads half of the time."""

ORDER_SECONDS = 0.6
"""Time after an order without an effect before it is given again; an order that was
not answered may still be carried out, and its expected number keeps it from following
a newer one."""


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself.

    Attributes
    ----------
    versions : mapping of str to int
        Version of each model.
    loading : bool
        An order is in progress.
    orders : int
        Orders that it has accepted since its start.
    running, waiting : int
        Requests.
    draining : bool
    """

    versions: Mapping[str, int] = field(default_factory=dict)
    loading: bool = False
    orders: int = 0
    running: int = 0
    waiting: int = 0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """A version that a trainer has named.

    Attributes
    ----------
    model : str
    version : int
    named_at : float
        Monotonic time at which this process learned of it.
    """

    model: str
    version: int
    named_at: float


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """An order to be given now.

    Attributes
    ----------
    model : str
    version : int
    reason : str
    keep_runs : bool
        Runs in progress go on under the new weights; else they end first.
    """

    model: str
    version: int
    reason: str
    keep_runs: bool = True


@dataclass(frozen=True, slots=True)
class Place:
    """Where an engine stands among those of its service.

    Attributes
    ----------
    rank : int
        From 0, in an order that all agree on.
    count : int
    models : tuple of str
        Models of the service, in an order that all agree on.
    """

    rank: int = 0
    count: int = 1
    models: tuple[str, ...] = ()

    @property
    def _divided(self) -> bool:
        """Whether the models are divided among the engines.

        Each model must still have engines in both halves, so few engines serve all.
        """
        total = len(self.models)
        return total > MODELS_PER_ENGINE and self.count >= 2 * total

    def serves(self, model: str) -> bool:
        """Tell whether an engine at this place follows the versions of `model`."""
        total = len(self.models)
        if model not in self.models or not self._divided:
            return True
        offset = (self.models.index(model) - self.rank) % total
        return offset < MODELS_PER_ENGINE

    def follows(self, version: int) -> bool:
        """Tell whether an engine at this place loads `version` without need."""
        half = self.rank // len(self.models) if self._divided else self.rank
        return self.count > 1 and version % 2 == half % 2

    @property
    def load_delay(self) -> float:
        """Seconds after a naming at which an engine at this place loads."""
        at_once = max(1, int(LOAD_SHARE * self.count))
        turn = self.rank // 2 // at_once
        return min(turn * SPREAD_SECONDS, MAX_SPREAD_SECONDS)


def engine_places(
    addresses: Collection[str], models: Collection[str]
) -> dict[str, Place]:
    """Return where each engine of a service stands, by its address.

    Parameters
    ----------
    addresses : collection of str
        Of all engines of the service; one may stand twice.
    models : collection of str
        Models of the service.
    """
    ordered = sorted(set(addresses))
    agreed = tuple(sorted(models))
    return {
        address: Place(rank, len(ordered), agreed)
        for rank, address in enumerate(ordered)
    }


def loading_engines(places: Mapping[str, Place], model: str, version: int) -> list[str]:
    """Return the addresses of the engines that load a version once it is named."""
    return [
        address
        for address, place in places.items()
        if model in place.models and place.serves(model) and place.follows(version)
    ]


def next_move(
    report: EngineReport,
    named: list[NamedVersion],
    now: float,
    place: Place,
    keep_runs: bool = True,
) -> MoveOrder | None:
    """Return the order that an engine should get now, if any.

    Parameters
    ----------
    named : list of NamedVersion
        The newest of each model.
    now : float
        Monotonic time.
    place : Place
    keep_runs : bool
        Samples may come from several versions.
    """
    if report.loading or report.draining:
        return None
    for newer in _behind(report, named, place):
        if _lag(report, newer) > ALLOWED_LAG + 1:
            return MoveOrder(newer.model, newer.version, "far too old", keep_runs)
    for newer in _behind(report, named, place):
        if _wanted(report, newer, place) and now >= newer.named_at + place.load_delay:
            reason = f"{_lag(report, newer)} behind"
            return MoveOrder(newer.model, newer.version, reason, keep_runs)
    return None


def next_due(report: EngineReport, named: list[NamedVersion], place: Place) -> float:
    """Return the monotonic time at which the next order is due; infinite for none.

    An engine that loads is to be looked at again at once.
    """
    if report.loading:
        return -math.inf
    if report.draining:
        return math.inf
    due = [
        newer.named_at + place.load_delay
        for newer in _behind(report, named, place)
        if _wanted(report, newer, place)
    ]
    return min(due, default=math.inf)


def _behind(
    report: EngineReport, named: list[NamedVersion], place: Place
) -> list[NamedVersion]:
    """Return the versions that an engine lacks, of the models that it follows."""
    return [newer for newer in named if _lag(report, newer) > 0 and place.serves(newer.model)]


def _lag(report: EngineReport, named: NamedVersion) -> int:
    return named.version - report.versions.get(named.model, 0)


def _wanted(report: EngineReport, named: NamedVersion, place: Place) -> bool:
    """Tell whether an engine is to load a version, at once or in its turn."""
    return _lag(report, named) > ALLOWED_LAG or place.follows(named.version)
