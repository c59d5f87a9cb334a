"""What a process observes of engines and demand: usable slots, and the drain rate.

The classes are not thread-safe. Times are monotonic seconds that the caller passes in.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from wigeonfront.capacity.demand import LotDemand
from wigeonfront.targets.views import TargetView

SLOTS_SECONDS = 4.0
"""Time for which slots that are no longer usable still count.

An engine that is ejected after failures, or replaced after a restart, is back by then.
"""

RATE_SECONDS = 5.0
"""Time over which the drain rate is measured: several samples of a usual length."""


@dataclass(frozen=True, slots=True)
class _Slots:
    at: float
    count: int


class SlotWatch:
    """The usable slots of one service over the last seconds."""

    def __init__(self) -> None:
        self._recent: deque[_Slots] = deque()
        self._usable_at: float | None = None

    def observe(self, views: Iterable[TargetView], now: float) -> None:
        """Record the state of the service's engines."""
        count = sum(
            view.target.slots for view in views if view.available and not view.draining
        )
        if count:
            self._usable_at = now
        self._recent.append(_Slots(now, count))
        while now - self._recent[0].at > SLOTS_SECONDS:
            self._recent.popleft()

    @property
    def slots(self) -> int | None:
        """The most slots that were usable lately; ``None`` before an observation."""
        return max((seen.count for seen in self._recent), default=None)

    def absent_for(self, now: float) -> float | None:
        """Return the seconds since an engine was usable; ``None`` if none ever was."""
        return None if self._usable_at is None else now - self._usable_at


@dataclass(frozen=True, slots=True)
class _Finished:
    since: float
    at: float
    seconds: float


class DrainRate:
    """The speed at which the owners of a service's Lots finish engine work."""

    def __init__(self) -> None:
        self._left: dict[str, float] = {}
        self._observed_at: float | None = None
        self._finished: deque[_Finished] = deque()

    def observe(self, demands: Iterable[LotDemand], now: float) -> None:
        """Record the demands of all owners' Lots.

        A Lot that is no longer listed counts as neither finished nor open: it may have
        been ended, given up, or left out with a report that was lost.
        """
        left = {demand.lot: demand.seconds for demand in demands}
        finished = sum(
            max(0.0, before - left[lot])
            for lot, before in self._left.items()
            if lot in left
        )
        if self._observed_at is not None:
            self._finished.append(_Finished(self._observed_at, now, finished))
        self._left, self._observed_at = left, now
        while self._finished and now - self._finished[0].at > RATE_SECONDS:
            self._finished.popleft()

    @property
    def rate(self) -> float:
        """Seconds of engine work finished per second lately; 0 if unknown."""
        if not self._finished:
            return 0.0
        seconds = self._finished[-1].at - self._finished[0].since
        done = sum(finished.seconds for finished in self._finished)
        return done / seconds if seconds > 0 else 0.0
