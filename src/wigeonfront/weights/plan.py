"""Rules for when an engine loads another version of its weights; pure functions.

A trainer names version k and requests step k, whose samples may come from version
k - 1. An engine therefore need not load each version and may skip every other one. One
half of the engines of a service loads the even versions and the other half the odd
versions. For each step, half of the engines accept samples at once while the others
load, and each version costs half as many loads as there are engines. While an engine
loads, it starts no sample of that model, but runs in progress continue.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

ALLOWED_LAG = 1
"""Number of versions that an engine may be behind the newest one and still serve the
next step."""

SPREAD_SECONDS = 0.9
"""Time between the loads of two engines of the same half, which is the duration of a
load. A service has capacity for few loads at once; more of them slow each other
down."""

MAX_SPREAD_SECONDS = 2.0
"""Longest time by which a load is delayed for other loads: half of the time of a
step."""

LOAD_SHARE = 0.4
"""Share of the engines of a service that can load at the same time without slowing
each other down."""

MODELS_PER_ENGINE = 2
"""Number of models whose versions one engine follows. An engine that loads every other
version of two models has as many loads as one that loads every version of one model,
which is the share of each engine. An engine that followed all of four models would
load for half of the time."""

ORDER_SECONDS = 0.6
"""Time after which an order without an effect is given again. An order that was not
answered may still be executed later; the number of accepted orders that it expects
keeps the engine from executing it after a newer one."""


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that an engine reports.

    Attributes
    ----------
    versions : mapping of str to int
        Version of the weights by model.
    loading : bool
        Whether the engine executes an order.
    orders : int
        Number of orders that it has accepted since its start.
    running, waiting : int
        Numbers of running and queued requests.
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
    """An order to load a version, which is to be given now.

    Attributes
    ----------
    model : str
    version : int
    reason : str
        Reason for the log.
    keep_runs : bool
        Whether runs in progress continue under the new weights; otherwise the engine
        finishes them first.
    """

    model: str
    version: int
    reason: str
    keep_runs: bool = True


@dataclass(frozen=True, slots=True)
class Place:
    """The place of an engine among those of its service.

    Attributes
    ----------
    rank : int
        Index of the engine, from 0, in an order that is the same in all processes.
    count : int
        Number of engines of the service.
    models : tuple of str
        Models of the service in an order that is the same in all processes.
    """

    rank: int = 0
    count: int = 1
    models: tuple[str, ...] = ()

    @property
    def _divided(self) -> bool:
        """Whether the models are divided among the engines.

        Each model needs engines in both halves, so where there are few engines, each
        one serves all models.
        """
        total = len(self.models)
        return total > MODELS_PER_ENGINE and self.count >= 2 * total

    def serves(self, model: str) -> bool:
        """Return whether an engine at this place follows the versions of `model`."""
        total = len(self.models)
        if model not in self.models or not self._divided:
            return True
        offset = (self.models.index(model) - self.rank) % total
        return offset < MODELS_PER_ENGINE

    def follows(self, version: int) -> bool:
        """Return whether an engine at this place loads `version` without needing it."""
        half = self.rank // len(self.models) if self._divided else self.rank
        return self.count > 1 and version % 2 == half % 2

    @property
    def load_delay(self) -> float:
        """Time from the naming of a version until an engine at this place loads it.

        In seconds.
        """
        parallel_loads = max(1, int(LOAD_SHARE * self.count))
        turn = self.rank // 2 // parallel_loads
        return min(turn * SPREAD_SECONDS, MAX_SPREAD_SECONDS)


def engine_places(
    addresses: Collection[str], models: Collection[str]
) -> dict[str, Place]:
    """Return the place of each engine of a service, by address.

    Parameters
    ----------
    addresses : collection of str
        Addresses of all engines of the service, in which an address may occur twice.
    models : collection of str
        Models of the service.
    """
    ordered = sorted(set(addresses))
    sorted_models = tuple(sorted(models))
    return {
        address: Place(rank, len(ordered), sorted_models)
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
    """Return the order that an engine should get now, or ``None``.

    Parameters
    ----------
    report : EngineReport
    named : list of NamedVersion
        The newest version of each model.
    now : float
        Monotonic time.
    place : Place
    keep_runs : bool
        Whether a sample may be generated under several versions, so that runs in
        progress may continue.
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
    """Return the monotonic time at which the next order is due.

    Positive infinity where no order is due, and negative infinity while the engine
    loads, as its report is to be read again at once.
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
    """Return the versions that an engine lacks among the models that it follows."""
    return [
        newer
        for newer in named
        if _lag(report, newer) > 0 and place.serves(newer.model)
    ]


def _lag(report: EngineReport, named: NamedVersion) -> int:
    return named.version - report.versions.get(named.model, 0)


def _wanted(report: EngineReport, named: NamedVersion, place: Place) -> bool:
    """Return whether an engine is to load a version, at once or after its delay."""
    return _lag(report, named) > ALLOWED_LAG or place.follows(named.version)
