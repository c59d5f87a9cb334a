"""Variants: which policies a run uses, and the plain baselines of each."""

import itertools
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from wigeonfront.clock import Clock
from wigeonfront.coordination.rendezvous import ranked
from wigeonfront.outcomes import Expired, NotRun
from wigeonfront.policy import placement
from wigeonfront.policy.admission import Accepted, AdmissionItem, QueueLoad


@dataclass(frozen=True)
class Variant:
    """One policy for each decision.

    Attributes
    ----------
    placement : str
        Key of `STRATEGIES`.
    admission : bool
        `AdmissionQueue`, or else first in, first out without bound.
    headroom_interactive, headroom_booking : int
        Slots kept for a class.
    preempt : bool
        Rollouts yield to waiting higher classes.
    overload : bool
        The entry refuses early.
    circuits : bool
        Targets that fail are left alone.
    budget : bool
        Retries are a share of traffic, and wait.
    hedging : bool
        Stragglers get a second attempt.
    prediction : str
        ``siblings``, ``time_series``, ``none`` or ``oracle``.
    fair : bool
        Weighted fair share among trainers.
    width : float
        Share of the sides that swaps at once.
    window : float
        Rollouts sent to a side before results, as a multiple of its capacity; 0
        for no bound.
    hedge_ratio : float
        Hedges allowed for each sample.
    hedge_only_slow : bool
        Samples at sides of usual speed are not hedged.
    drain : float
        Seconds that a swap waits for urgent work.
    hand_back : bool
        Urgent work waiting at a side that swaps goes elsewhere.
    """

    name: str
    placement: str = "choose"
    admission: bool = True
    headroom_interactive: int = 2
    headroom_booking: int = 1
    preempt: bool = True
    overload: bool = True
    circuits: bool = True
    budget: bool = True
    hedging: bool = True
    prediction: str = "siblings"
    fair: bool = True
    width: float = 0.34
    window: float = 2.0
    hedge_ratio: float = 0.05
    hedge_only_slow: bool = True
    drain: float = 2.0
    hand_back: bool = True


PRODUCT = Variant("product")
PLAIN = Variant(
    "plain",
    placement="random",
    admission=False,
    preempt=False,
    overload=False,
    circuits=False,
    budget=False,
    hedging=False,
    prediction="none",
    fair=False,
    width=1.0,
    window=0.0,
    drain=0.0,
    hand_back=False,
)


class LeastLoaded:
    """Baseline: the least load as reported and sent, with no randomness."""

    def __call__(
        self,
        request: placement.PlacementRequest,
        sides: list[placement.SideView],
        random: Random,
    ) -> placement.Placed | placement.Refused:
        """Place on the side of least load."""
        candidates = placement.eligible(request, sides)
        if isinstance(candidates, placement.Refused):
            return candidates
        best = min(candidates, key=lambda side: (side.load, side.name))
        return placement.Placed(best.name, "least_loaded")


def two_choices_only(
    request: placement.PlacementRequest,
    sides: list[placement.SideView],
    random: Random,
) -> placement.Placed | placement.Refused:
    """Baseline: the better of two, without affinity."""
    bare = placement.PlacementRequest(
        request=request.request,
        service=request.service,
        tokens=request.tokens,
        min_version=request.min_version,
        failure_domain=request.failure_domain,
        excluded=request.excluded,
    )
    return placement.choose(bare, sides, random)


class StrictAffinity:
    """Baseline: the first side by rendezvous, whatever its load."""

    def __call__(
        self,
        request: placement.PlacementRequest,
        sides: list[placement.SideView],
        random: Random,
    ) -> placement.Placed | placement.Refused:
        """Place on the head of the rendezvous order."""
        candidates = placement.eligible(request, sides)
        if isinstance(candidates, placement.Refused) or not request.prefix:
            return placement.choose(request, sides, random)
        names = [side.name for side in candidates]
        return placement.Placed(ranked(request.prefix, names)[0], "strict_affinity")


class CacheDirectory:
    """Alternative: sides believed to hold the prefix, by cache events.

    Events come late and with gaps, so the directory errs both ways.
    """

    def __init__(self) -> None:
        self._holders: defaultdict[str, set[str]] = defaultdict(set)

    def on_event(self, side: str, prefix: str, stored: bool) -> None:
        """Take in a cache event."""
        if stored:
            self._holders[prefix].add(side)
        else:
            self._holders[prefix].discard(side)

    def __call__(
        self,
        request: placement.PlacementRequest,
        sides: list[placement.SideView],
        random: Random,
    ) -> placement.Placed | placement.Refused:
        """Place on the least loaded holder unless it is over the mean load."""
        candidates = placement.eligible(request, sides)
        if isinstance(candidates, placement.Refused):
            return candidates
        holders = self._holders.get(request.prefix, set())
        mean = sum(side.load for side in candidates) / len(candidates)
        bound = placement.AFFINITY_LOAD_FACTOR * mean
        known = [
            side
            for side in candidates
            if side.name in holders
            and (side.has_free_slot(request.tokens) or side.load <= bound)
        ]
        if known:
            best = min(known, key=lambda side: side.load)
            return placement.Placed(best.name, "cache_event")
        return two_choices_only(request, sides, random)


STRATEGIES: dict[str, Callable[[], Any]] = {
    "choose": lambda: placement.choose,
    "random": placement.RandomPlacement,
    "round_robin": placement.RoundRobinPlacement,
    "least_loaded": LeastLoaded,
    "two_choices": lambda: two_choices_only,
    "strict_affinity": StrictAffinity,
    "cache_events": CacheDirectory,
    "bound 1.0": lambda: placement.AffinityPlacement(1.0, 1),
    "bound 1.1": lambda: placement.AffinityPlacement(1.1, 1),
    "bound 1.25": lambda: placement.AffinityPlacement(1.25, 1),
    "bound 1.5": lambda: placement.AffinityPlacement(1.5, 1),
    "bound 1.0, 2 heads": lambda: placement.AffinityPlacement(1.0, 2),
    "bound 1.25, 2 heads": lambda: placement.AffinityPlacement(1.25, 2),
    "bound 1.5, 2 heads": lambda: placement.AffinityPlacement(1.5, 2),
    "bound 1.25, 3 heads": lambda: placement.AffinityPlacement(1.25, 3),
}


class FifoQueue:
    """Baseline for `AdmissionQueue`: first in, first out, no bound, no classes."""

    def __init__(
        self,
        capacity: int,
        clock: Clock,
        on_expired: Callable[[AdmissionItem, Expired], None],
    ) -> None:
        self._capacity = capacity
        self._clock = clock
        self._on_expired = on_expired
        self._waiting: deque[AdmissionItem] = deque()
        self._running: dict[str, AdmissionItem] = {}
        self._order = itertools.count()

    def offer(self, item: AdmissionItem) -> Accepted | NotRun:
        """Queue the item."""
        self._waiting.append(item)
        return Accepted(0.0, "queued")

    def take(self, timeout: float | None = None) -> AdmissionItem | None:
        """Return the oldest item if a slot is free, expired or not."""
        if not self._waiting or len(self._running) >= self._capacity:
            return None
        item = self._waiting.popleft()
        item.started = self._clock.monotonic()
        self._running[item.id] = item
        return item

    def finished(self, item: AdmissionItem, tokens: float | None = None) -> None:
        """Free the slot."""
        self._running.pop(item.id, None)

    def cancel(self, item_id: str) -> str:
        """Withdraw a waiting item."""
        for item in self._waiting:
            if item.id == item_id:
                self._waiting.remove(item)
                return "queued"
        return "running" if item_id in self._running else "absent"

    def sweep(self) -> None:
        """Keep expired work: this baseline runs it for nobody."""

    @property
    def load(self) -> QueueLoad:
        """The load now."""
        return QueueLoad(
            running={"interactive": len(self._running)},
            queued={"interactive": len(self._waiting)},
            queued_tokens=sum(item.tokens for item in self._waiting),
            running_tokens=sum(item.tokens for item in self._running.values()),
            token_seconds=0.0,
        )
