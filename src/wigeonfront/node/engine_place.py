"""Where a side's engine stands among those of its service."""

from collections.abc import Callable

from wigeonfront.clock import Clock
from wigeonfront.weights.plan import Place

MIN_REFRESH_SECONDS = 3.0
"""How long a place is used that was new when it was read: less than a step."""

MAX_REFRESH_SECONDS = 30.0
"""The same for one that has long been the same. Each reading of the list of engines
costs a call of each side; the place of a gone engine only shifts which half loads."""


class EnginePlace:
    """A place that is read again after as long as it has been the same.

    Parameters
    ----------
    read : callable
        Returns the place, or ``None`` where it can't be read.
    clock : Clock
    """

    def __init__(self, read: Callable[[], Place | None], clock: Clock) -> None:
        self._read = read
        self._clock = clock
        self._place = Place()
        self._same_since = clock.monotonic()
        self._until = self._same_since

    def find(self) -> Place:
        """Return the place, read anew if it is too old."""
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
