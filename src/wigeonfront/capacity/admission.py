"""Decides whether a new Lot can be served, and when a refused one may return.

The load that this answers: trainers submit more Lots than the engines can run. Every
accepted Lot then takes slots from the others, and its trainer learns only at the
deadline that nothing comes.

A group is of use to its trainer if it is whole in time, and each group counts alone. So
a Lot is refused only if not even one of its groups could be whole while it is of use,
although its trainer had its share of the slots. Where something is unknown, the Lot is
accepted. This module holds decisions and data only.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from wigeonfront.capacity.demand import LotDemand

ESTIMATE_ERROR = 1.25
"""Factor by which expected work may be too high. Only what is surely needed counts.

The estimates of single samples scatter by half, those of groups of four by a quarter.
"""

MIN_RETRY_SECONDS = 0.3
"""Shortest time after which a refused Lot may return: demand changes no faster."""

PLACE_GRACE_SECONDS = 2.0
"""Time for which a refused Lot keeps its place beyond its time to return.

Callers add a random part to that time, and reach another entry if one is away.
"""


@dataclass(frozen=True, slots=True)
class GroupWork:
    """Work of one group of a Lot.

    Attributes
    ----------
    seconds : float
        Seconds of engine slots that all samples of the group take together.
    longest : float
        Seconds that its longest sample takes.
    """

    seconds: float
    longest: float


@dataclass(frozen=True, slots=True)
class Claim:
    """A Lot that asks to be accepted.

    Attributes
    ----------
    trainer : str
        Key of the trainer; see `wigeonfront.capacity.demand.trainer_key`.
    weight : float
        Weight of the trainer when slots are short; above 0.
    useful_for : float or None
        Seconds from now until whole groups are of no more use; ``None`` if they are
        always of use.
    groups : tuple of GroupWork
        The groups that may become the wanted ones.
    """

    trainer: str
    weight: float
    useful_for: float | None
    groups: tuple[GroupWork, ...]


@dataclass(frozen=True, slots=True)
class Capacity:
    """What is known of the engines of a service.

    Attributes
    ----------
    slots : int or None
        Slots of the usable engines; ``None`` if they are not known at present.
    absent_for : float or None
        Seconds for which the service has had no usable engine; ``None`` if it has one,
        or if none was ever seen.
    drain_rate : float
        Seconds of engine work that all owners finish per second; 0 if unknown.
    """

    slots: int | None
    absent_for: float | None = None
    drain_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Fit:
    """The figures on which a decision is based, in seconds of engine slots.

    Attributes
    ----------
    needed : float
        Least work until the first group is whole, that of the trainer's earlier Lots
        included.
    available : float
        The trainer's share of the slots while the Lot is of use.
    """

    needed: float = 0.0
    available: float = 0.0


NO_FIT = Fit()


@dataclass(frozen=True, slots=True)
class Fits:
    """The Lot may be accepted.

    Attributes
    ----------
    reason : str
    fit : Fit
    known : bool
        Whether an earlier submission of the Lot was accepted, or may have been.
    """

    reason: str
    fit: Fit = NO_FIT
    known: bool = False


@dataclass(frozen=True, slots=True)
class DoesNotFit:
    """The Lot can't be served at present.

    Attributes
    ----------
    reason : str
    retry_after : float
        Seconds after which the trainer may submit the Lot again.
    fit : Fit
    """

    reason: str
    retry_after: float
    fit: Fit = NO_FIT


def decide(
    claim: Claim, capacity: Capacity, demands: Sequence[LotDemand]
) -> Fits | DoesNotFit:
    """Return whether at least one group of a Lot can be whole while it is of use.

    Parameters
    ----------
    claim : Claim
    capacity : Capacity
    demands : sequence of LotDemand
        Demands of the accepted Lots of the service, and of the refused Lots that go
        before this one; see `with_turns`.
    """
    useful_for = claim.useful_for
    if useful_for is None:
        return Fits("without a due time")
    if not claim.groups:
        return Fits("without samples")
    if useful_for <= 0:
        return DoesNotFit("too late for its trainer", MIN_RETRY_SECONDS)
    if capacity.slots is None:
        return Fits("engines unknown")
    if capacity.slots <= 0:
        return _decide_without_engines(useful_for, capacity)
    slots = float(capacity.slots)
    available = _share(claim, slots, demands, useful_for)
    earlier = _earlier_work(claim, slots, demands, useful_for)
    in_time = [
        group for group in claim.groups if group.longest <= ESTIMATE_ERROR * useful_for
    ]
    shortest = min(group.seconds for group in in_time or claim.groups)
    fit = Fit(earlier + shortest / ESTIMATE_ERROR, available)
    if not in_time:
        return DoesNotFit("no group can end in time", MIN_RETRY_SECONDS, fit)
    if fit.needed <= available:
        return Fits("fits", fit)
    excess = fit.needed - available
    quickest = min(group.longest for group in in_time)
    return DoesNotFit(
        "engines are taken",
        _retry_after(excess, capacity, useful_for - quickest),
        fit,
    )


def with_turns(
    places: Iterable[LotDemand], capacity: Capacity, demands: Sequence[LotDemand]
) -> list[LotDemand]:
    """Return the demands of accepted Lots and of the refused ones that go first.

    A refused Lot that would still be refused now holds nothing back, as it would leave
    slots unused.

    Parameters
    ----------
    places : iterable of LotDemand
        Refused Lots, each with the work of a single group, in the order of their turns.
    capacity : Capacity
    demands : sequence of LotDemand
        Demands of the accepted Lots.
    """
    counted = list(demands)
    for place in places:
        longest = place.seconds / max(1, place.waiting)
        group = GroupWork(place.seconds, longest)
        claim = Claim(place.trainer, place.weight, place.gives_up_in, (group,))
        if isinstance(decide(claim, capacity, counted), Fits):
            counted.append(place)
    return counted


def _decide_without_engines(useful_for: float, capacity: Capacity) -> Fits | DoesNotFit:
    """Decide on a Lot of a service without a usable engine.

    An absence is expected to last as long again as it has lasted.
    """
    absent_for = capacity.absent_for
    if absent_for is None or absent_for < useful_for:
        return Fits("engines may be back in time")
    return DoesNotFit("no engine", max(MIN_RETRY_SECONDS, useful_for / 2))


def _retry_after(excess: float, capacity: Capacity, useful_for: float) -> float:
    """Return the seconds after which work of `excess` slot seconds is finished.

    Parameters
    ----------
    excess : float
    capacity : Capacity
    useful_for : float
        Seconds from now until a start is of no more use.
    """
    rate = capacity.drain_rate or float(capacity.slots or 1)
    return max(MIN_RETRY_SECONDS, min(excess / rate, useful_for))


def fair_share(
    total: float, weight: float, rivals: Iterable[tuple[float, float]]
) -> float:
    """Return the part of `total` that a trainer gets beside its rivals.

    A rival that wants less than its share leaves the rest to the others.

    Parameters
    ----------
    total : float
        Seconds of engine slots.
    weight : float
        Weight of the trainer.
    rivals : iterable of pairs
        Weight of each rival, and the seconds of engine slots that it wants.

    Examples
    --------
    >>> fair_share(12.0, 1.0, [(1.0, 50.0), (1.0, 2.0)])
    5.0
    """
    rivals = sorted(rivals, key=lambda rival: rival[1] / rival[0])
    weights = weight + sum(rival_weight for rival_weight, _ in rivals)
    for rival_weight, wanted in rivals:
        if wanted * weights >= total * rival_weight:
            break
        total -= wanted
        weights -= rival_weight
    return total * weight / weights


def _share(
    claim: Claim, slots: float, demands: Sequence[LotDemand], seconds: float
) -> float:
    """Return the slot seconds that the Lot's trainer gets in the next `seconds`."""
    wanted: dict[str, float] = {}
    weights: dict[str, float] = {}
    for demand in demands:
        if demand.trainer != claim.trainer:
            work = _work_within(demand, slots, seconds)
            wanted[demand.trainer] = wanted.get(demand.trainer, 0.0) + work
            weights[demand.trainer] = demand.weight
    rivals = [(weights[trainer], work) for trainer, work in wanted.items()]
    return fair_share(slots * seconds, claim.weight, rivals)


def _earlier_work(
    claim: Claim, slots: float, demands: Sequence[LotDemand], useful_for: float
) -> float:
    """Return the slot seconds that the trainer's earlier Lots take of its share.

    What is left of a Lot when it is given up takes nothing from later Lots.
    """
    earlier = [demand for demand in demands if demand.trainer == claim.trainer]
    work = 0.0
    for demand in sorted(earlier, key=lambda demand: demand.gives_up_in):
        until = max(0.0, min(demand.gives_up_in, useful_for))
        most = max(work, _share(claim, slots, demands, until))
        work = min(work + _work_within(demand, slots, useful_for), most)
    return work


def _work_within(demand: LotDemand, slots: float, seconds: float) -> float:
    """Return the slot seconds that a Lot surely takes in the next `seconds`."""
    until = max(0.0, min(demand.gives_up_in, seconds))
    samples = demand.running + demand.waiting
    return min(demand.seconds / ESTIMATE_ERROR, until * min(samples, slots))
