"""A discrete event loop on a virtual clock."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class Timer:
    """A pending action that can be cancelled."""

    __slots__ = ("_action", "_arguments")

    def __init__(self, action: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
        self._action: Callable[..., Any] | None = action
        self._arguments = arguments

    def cancel(self) -> None:
        """Drop the action."""
        self._action = None

    def fire(self) -> None:
        """Run the action unless it was cancelled."""
        if self._action is not None:
            self._action(*self._arguments)


class EventLoop:
    """Runs actions in order of virtual time; serves as the policies' clock."""

    def __init__(self) -> None:
        self._now = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Timer]] = []

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def sleep(self, seconds: float) -> None:
        """Refuse: nothing may block inside the loop."""
        raise RuntimeError("the event loop has no threads to block")

    def after(self, delay: float, action: Callable[..., Any], *arguments: Any) -> Timer:
        """Run `action` after `delay` seconds."""
        timer = Timer(action, arguments)
        moment = self._now + max(0.0, delay)
        heapq.heappush(self._heap, (moment, next(self._order), timer))
        return timer

    def every(self, period: float, action: Callable[[], Any], first: float) -> None:
        """Run `action` each `period` seconds, starting after `first`."""

        def tick() -> None:
            action()
            self.after(period, tick)

        self.after(first, tick)

    def run(self, until: float) -> None:
        """Run all actions up to the virtual time `until`."""
        while self._heap and self._heap[0][0] <= until:
            self._now, _, timer = heapq.heappop(self._heap)
            timer.fire()
        self._now = until
