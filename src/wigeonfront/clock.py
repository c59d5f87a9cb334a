"""Clocks, which are passed in so that tests can control the time.

Durations are ``float`` seconds, as in the standard library's `time` module.
"""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """The interface of a clock."""

    def monotonic(self) -> float:
        """Return seconds that never decrease, from an arbitrary origin."""

    def boottime(self) -> float:
        """Return seconds like `monotonic` that also pass while the VM is suspended."""

    def time(self) -> float:
        """Return seconds since the Unix epoch."""

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for `seconds`."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Return `time.monotonic`."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return ``CLOCK_BOOTTIME``, which also advances while the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def time(self) -> float:
        """Return `time.time`."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for `seconds`."""
        time.sleep(seconds)


class ManualClock:
    """A clock that advances only on request, for tests and simulations.

    Parameters
    ----------
    start : float
        First reading, in seconds.

    Examples
    --------
    >>> clock = ManualClock()
    >>> clock.advance(2.5)
    >>> clock.monotonic()
    2.5
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start
        self._lock = threading.Lock()

    def monotonic(self) -> float:
        """Return the current reading."""
        return self._now

    def boottime(self) -> float:
        """Return the current reading."""
        return self._now

    def time(self) -> float:
        """Return the current reading."""
        return self._now

    def sleep(self, seconds: float) -> None:
        """Advance the clock instead of blocking."""
        self.advance(seconds)

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        with self._lock:
            self._now += seconds
