"""The place of a side's engine among the engines of its service."""

from collections.abc import Callable

from wigeonfront.clock import Clock
from wigeonfront.weights.plan import Place

MIN_REFRESH_SECONDS = 3.0
"""How long a place is cached that has just changed: less than a step."""

MAX_REFRESH_SECONDS = 30.0
"""How long a place is cached that has not changed for a while. Each refresh costs a
call of each side. A stale place is harmless: it only shifts which half of the engines
loads first."""


class EnginePlace:
    """A cached place, refreshed after as long as it has been the same.

    The time between two refreshes is bounded by `MIN_REFRESH_SECONDS` and
    `MAX_REFRESH_SECONDS`.

    Parameters
    ----------
    read : callable
        Returns the place, or ``None`` if it can't be read.
    clock : Clock
    """

    def __init__(self, read: Callable[[], Place | None], clock: Clock) -> None:
        self._read = read
        self._clock = clock
        self._place = Place()
        self._same_since = clock.monotonic()
        self._until = self._same_since

    def find(self) -> Place:
        """Return the place; read it again if the cached one has expired."""
        now = self._clock.monotonic()
        if now >= self._until:
            self._update(self._read(), now)
        return self._place

    def _update(self, place: Place | None, now: float) -> None:
        if place != self._place:
            self._same_since = now
            self._place = place or self._place
        pause = min(
            max(now - self._same_since, MIN_REFRESH_SECONDS), MAX_REFRESH_SECONDS
        )
        self._until = now + pause
