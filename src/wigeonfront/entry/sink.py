"""The queue on which one caller's thread waits for the ends of its attempts."""

import queue
from dataclasses import dataclass

from wigeonfront.outcomes import Failed, Interrupted, NotRun, Outcome

# The caller's own mistake: no later try can succeed.
KEY_REUSED = "key_used_for_another_request"
KEY_REUSED_STATUS = 422
# What ran came from weights under the asker's bound and was thrown away.
STALE = frozenset({"stale_version", "stale_weights"})


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


def as_told(outcome: Outcome) -> Outcome:
    """Return an attempt's outcome as it counts for the request.

    A reused key is the caller's own error, which no retry helps; discarded work
    from old weights is no failure of the target, and another attempt may do better.
    """
    if isinstance(outcome, NotRun) and outcome.reason == KEY_REUSED:
        return Failed(KEY_REUSED, KEY_REUSED_STATUS)
    if isinstance(outcome, Failed) and outcome.reason in STALE:
        return Interrupted(outcome.reason)
    return outcome
