"""Divides the slots of engines fairly between trainers while slots are short.

All functions are pure. Owners that know the same demands compute the same shares and
the same quotas, so that together they send no more runs to an engine than it has
slots.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from zlib import crc32

from wigeonfront.capacity.demand import LotDemand

HEADROOM = 1.5
"""Multiple of the slots that a Lot needs to be in time by the estimates of its samples.

The estimates are rough, and the last samples of a Lot can't fill its slots.
"""

MIN_SECONDS_LEFT = 0.5
"""Minimum of the time that a Lot is assumed to have left."""

LEVEL_STEPS = 60
"""Halvings in the search for the fill level; they exhaust the precision of a float."""

PHASE_UNITS = 2**32
PHASE_STEP = int(PHASE_UNITS * (math.sqrt(5) - 1) / 2)
"""Golden ratio in units of `PHASE_UNITS`.

Its multiples modulo 1 are spread evenly over the unit interval, so that rounding
favours each trainer on about as many engines as it puts it at a disadvantage.
"""


@dataclass(frozen=True, slots=True)
class Claim:
    """A demand for slots by one trainer, or by one of its Lots.

    Attributes
    ----------
    key : str
        Name of the claimant.
    weight : float
        Weight of the claimant; above 0.
    wanted : int
        Slots that the claimant could use now.
    needed : int
        Slots with which the claimant's Lots are in time; at most `wanted`.
    """

    key: str
    weight: float
    wanted: int
    needed: int = 0


LotKey = tuple[str, str]
"""Key of a trainer and id of one of its Lots."""


def trainer_claims(demands: Iterable[LotDemand]) -> list[Claim]:
    """Return one claim for each trainer that can use slots now, sorted by trainer.

    Parameters
    ----------
    demands : iterable of LotDemand
        Demands on one service. If the weights of a trainer's Lots differ, as entries
        may use different configuration versions for a moment, the largest counts.
    """
    claims: dict[str, Claim] = {}
    for demand in demands:
        wanted = demand.running + demand.waiting
        if not wanted:
            continue
        known = claims.get(demand.trainer, Claim(demand.trainer, demand.weight, 0))
        claims[demand.trainer] = Claim(
            demand.trainer,
            max(known.weight, demand.weight),
            known.wanted + wanted,
            known.needed + min(wanted, _needed_slots(demand)),
        )
    return [claims[key] for key in sorted(claims)]


def _needed_slots(demand: LotDemand) -> int:
    left = max(demand.due_in, MIN_SECONDS_LEFT)
    return max(1, math.ceil(HEADROOM * demand.seconds / left))


def trainer_shares(claims: Collection[Claim], slots: int) -> dict[str, int]:
    """Return each trainer's share of the slots by its key.

    What trainers need in order to be in time is divided first. A trainer with small
    Lots thus takes no more from the others than it needs. What is left is divided by
    what the trainers can use besides.

    Parameters
    ----------
    claims : collection of Claim
    slots : int
    """
    shares = fair_shares(
        [replace(claim, wanted=claim.needed) for claim in claims], slots
    )
    more = [
        replace(claim, wanted=claim.wanted - shares.get(claim.key, 0))
        for claim in claims
    ]
    left = fair_shares(more, slots - sum(shares.values()))
    return {
        claim.key: shares.get(claim.key, 0) + left.get(claim.key, 0) for claim in claims
    }


def slots_short(claims: Collection[Claim], slots: int) -> bool:
    """Return whether several trainers together want more slots than there are."""
    return len(claims) > 1 and sum(claim.wanted for claim in claims) > slots


def fair_shares(claims: Iterable[Claim], slots: int) -> dict[str, int]:
    """Return the weighted max-min fair share of each claimant, in whole slots.

    No claimant gets more than it wants, and what one doesn't use goes to the others in
    proportion to their weights. Each claimant gets at least one slot. If there are
    fewer slots than claimants, those with the largest weights get one each.

    Parameters
    ----------
    claims : iterable of Claim
    slots : int

    Returns
    -------
    dict of str to int
        Shares by the claimants' keys; they sum to `slots`, or to what is wanted if
        that is less.
    """
    active = [claim for claim in claims if claim.wanted > 0]
    if sum(claim.wanted for claim in active) <= slots:
        return {claim.key: claim.wanted for claim in active}
    if slots < len(active):
        first = sorted(active, key=lambda claim: (-claim.weight, claim.key))
        return {claim.key: int(n < slots) for n, claim in enumerate(first)}
    level = _fill_level(active, slots)
    exact = {claim.key: _filled(claim, level) for claim in active}
    shares = {key: int(share) for key, share in exact.items()}
    wanted = {claim.key: claim.wanted for claim in active}
    by_fraction = sorted(exact, key=lambda key: (shares[key] - exact[key], key))
    missing = slots - sum(shares.values())
    while missing > 0:
        for key in by_fraction:
            if missing > 0 and shares[key] < wanted[key]:
                shares[key] += 1
                missing -= 1
    return shares


def _fill_level(claims: Sequence[Claim], slots: int) -> float:
    """Return the slots for each unit of weight at which the claims use all slots."""
    low, high = 0.0, max(claim.wanted / claim.weight for claim in claims)
    for _ in range(LEVEL_STEPS):
        level = (low + high) / 2
        if sum(_filled(claim, level) for claim in claims) > slots:
            high = level
        else:
            low = level
    return low


def _filled(claim: Claim, level: float) -> float:
    return min(float(claim.wanted), max(1.0, level * claim.weight))


def lot_shares(
    demands: Collection[LotDemand], shares: Mapping[str, int]
) -> dict[LotKey, int]:
    """Return the share of each Lot in the share of its trainer.

    Parameters
    ----------
    demands : collection of LotDemand
        Demands on one service.
    shares : mapping of str to int
        Shares by trainer.

    Returns
    -------
    dict of LotKey to int
        Shares by trainer and Lot, in the order of their keys.
    """
    claims: dict[str, list[Claim]] = {}
    for demand in demands:
        claim = Claim(demand.lot, 1.0, demand.running + demand.waiting)
        claims.setdefault(demand.trainer, []).append(claim)
    found: dict[LotKey, int] = {}
    for trainer in sorted(shares):
        # A trainer that is only assumed to have work keeps its share under no Lot.
        own = claims.get(trainer) or [Claim("", 1.0, shares[trainer])]
        for lot, share in sorted(fair_shares(own, shares[trainer]).items()):
            found[trainer, lot] = share
    return found


def engine_quotas(
    shares: Mapping[LotKey, int], own: Collection[LotKey], engines: Mapping[str, int]
) -> dict[str, int]:
    """Return how many runs of the own Lots each engine takes.

    The slots of each engine are divided in proportion to the shares. The quotas of all
    Lots sum to the engine's slots, and depend on the shares and on which engines are
    registered, not on which of them are available.

    Parameters
    ----------
    shares : mapping of LotKey to int
        Shares of all Lots, in an order that is the same for all owners.
    own : collection of LotKey
        Lots whose quotas are returned.
    engines : mapping of str to int
        Slots of the registered engines, by the engines' ids.
    """
    total = sum(shares.values())
    if not total:
        return {}
    bounds = []
    low = 0
    for key, share in shares.items():
        if key in own:
            bounds.append((low, low + share))
        low += share
    order = sorted(engines, key=lambda id: (crc32(id.encode()), id))
    quotas = {}
    for rank, id in enumerate(order):
        slots, phase = engines[id], rank * PHASE_STEP % PHASE_UNITS
        quotas[id] = sum(
            _points_below(high, slots, total, phase)
            - _points_below(low, slots, total, phase)
            for low, high in bounds
        )
    return quotas


def _points_below(bound: int, slots: int, total: int, phase: int) -> int:
    """Return how many of an engine's slots lie below a bound on a line of shares.

    The slots are spread evenly over the line, which is `total` long. Integers make the
    result the same for all owners.
    """
    units = total * PHASE_UNITS
    return -((phase * total - bound * slots * PHASE_UNITS) // units)
