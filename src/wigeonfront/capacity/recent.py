"""Remembers what trainers demanded lately, for the moment before reports arrive.

Trainers may ask for steps within milliseconds of each other, while reports of other
owners are up to a quarter of a second old. Until an owner has heard of the others
after the start of its own Lot, it assumes that each trainer seen lately has a Lot like
its last one. Otherwise each owner would take all slots.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from wigeonfront.capacity.demand import ReportedDemand
from wigeonfront.capacity.shares import Claim, trainer_claims

RECENT_SECONDS = 30.0
"""Age up to which a trainer's last demand is remembered: several steps."""

ASSUMED_SECONDS = 0.35
"""Maximum time for which trainers are assumed to have Lots like their last ones.

In this time a round of the exchange starts and ends. It bounds the time for which
slots stay empty for a trainer that does not come.
"""

REPORT_DELAY_SECONDS = 0.05
"""Time after the start of a Lot from which another owner's report knows its own Lot
that started at the same moment."""


@dataclass(frozen=True, slots=True)
class _Seen:
    claim: Claim
    lots: frozenset[str]
    owner: str
    at: float


class RecentTrainers:
    """The last demands of trainers on one service; not thread-safe."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}
        self._own_lots: frozenset[str] = frozenset()
        self._started_at = -1e9

    def note(self, demands: Collection[ReportedDemand], now: float) -> None:
        """Record what is known at present.

        Parameters
        ----------
        demands : collection of ReportedDemand
            Demands on the service.
        now : float
            Monotonic time.
        """
        own = frozenset(found.demand.lot for found in demands if not found.owner)
        if own - self._own_lots:
            self._started_at = now
        self._own_lots = own
        for claim in trainer_claims(found.demand for found in demands):
            of_trainer = [
                found for found in demands if found.demand.trainer == claim.key
            ]
            lots = frozenset(found.demand.lot for found in of_trainer)
            known = self._seen.get(claim.key)
            # A Lot wants most when it starts.
            if known and known.lots & lots and known.claim.wanted > claim.wanted:
                claim = replace(known.claim, weight=claim.weight)
            self._seen[claim.key] = _Seen(claim, lots, of_trainer[0].owner, now)
        self._seen = {
            trainer: seen
            for trainer, seen in self._seen.items()
            if now - seen.at <= RECENT_SECONDS
        }

    def assumed(
        self,
        present: Collection[str],
        reported_at: Callable[[str], float],
        now: float,
    ) -> list[Claim]:
        """Return the claims of trainers that may have a Lot not yet reported.

        Parameters
        ----------
        present : collection of str
            Trainers whose demand is known.
        reported_at : callable
            Returns the monotonic time of the last report of an owner.
        now : float
            Monotonic time.
        """
        if now - self._started_at > ASSUMED_SECONDS:
            return []
        due = self._started_at + REPORT_DELAY_SECONDS
        return [
            seen.claim
            for trainer, seen in sorted(self._seen.items())
            if trainer not in present and seen.owner and reported_at(seen.owner) < due
        ]
