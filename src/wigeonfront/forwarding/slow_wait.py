"""Tells when a target is awaited for long."""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True)
class SlowWait:
    """Whom to tell that a target is awaited for long.

    Attributes
    ----------
    at : float
        Monotonic time, in seconds, from which the wait counts as long.
    notify : callable
        Called once, in the thread that waits.
    notified : bool
        Whether `notify` was called.
    """

    at: float
    notify: Callable[[], None]
    notified: bool = False

    def check(self, now: float) -> None:
        """Call `notify` if the wait counts as long and it was not called before."""
        if not self.notified and now >= self.at:
            self.notified = True
            self.notify()

    def limit(self, now: float, remaining: float) -> float:
        """Return the seconds to wait, `remaining` at most, until the next check."""
        return remaining if self.notified else min(remaining, self.at - now)
