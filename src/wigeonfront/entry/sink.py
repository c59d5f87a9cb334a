"""The queue on which one caller's thread waits for the ends of its attempts."""

import queue
from dataclasses import dataclass

from wigeonfront.outcomes import Outcome


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt ended with `outcome` at `side`."""

    attempt: str
    outcome: Outcome
    side: str


class QueueSink:
    """A sink that one thread reads."""

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[Ended] = queue.SimpleQueue()

    def put(self, attempt: str, outcome: Outcome, side: str) -> None:
        """Take the one outcome of an attempt."""
        self._queue.put(Ended(attempt, outcome, side))

    def get(self, timeout: float) -> Ended | None:
        """Wait up to `timeout` seconds for the next end."""
        try:
            return self._queue.get(timeout=max(0.0, timeout))
        except queue.Empty:
            return None
