"""How long work takes at a target, measured from what has finished there.

Callers may predict a length by `max_tokens`, several times the real one; taken at
its word that would refuse work that could well be done in time. So the ratio of real
to predicted tokens is measured for each class, beside the seconds per token.
"""

from collections import defaultdict

from wigeonfront.messages import WorkClass
from wigeonfront.policy.waiting import AdmissionItem

SMOOTHING = 0.1
"""Weight of the newest sample."""

ASSUMED_TOKEN_SECONDS = 0.02
"""Seconds per token for ordering, before any was measured."""


class ServiceEstimate:
    """Smoothed figures of one target; not thread-safe, its owner holds a lock."""

    def __init__(self) -> None:
        self._token_seconds = 0.0
        self._ratios: defaultdict[WorkClass, float] = defaultdict(lambda: 1.0)

    @property
    def token_seconds(self) -> float:
        """Seconds per token of one slot; 0 before the first measurement."""
        return self._token_seconds

    def ratio(self, work_class: WorkClass) -> float:
        """Return real tokens for each predicted one."""
        return self._ratios[work_class]

    def measure(self, item: AdmissionItem, tokens: float, seconds: float) -> None:
        """Take in a finished item that produced `tokens` in `seconds`."""
        if tokens <= 0:
            return
        ratio = self._ratios[item.work_class]
        ratio += SMOOTHING * (tokens / item.tokens - ratio)
        self._ratios[item.work_class] = ratio
        sample = seconds / tokens
        weight = SMOOTHING if self._token_seconds else 1.0
        self._token_seconds += weight * (sample - self._token_seconds)

    def seconds(self, item: AdmissionItem) -> float:
        """Return how long `item` is expected to run; 0 if nothing is known."""
        return item.tokens * self._ratios[item.work_class] * self._token_seconds

    def latest_start(self, item: AdmissionItem) -> float:
        """Return when `item` must start to be on time, by its own prediction."""
        token_seconds = self._token_seconds or ASSUMED_TOKEN_SECONDS
        return item.deadline - item.tokens * token_seconds

    def tokens_left(self, item: AdmissionItem, now: float) -> float:
        """Return the predicted tokens of a running item less what time has done."""
        if not self._token_seconds or item.started is None:
            return item.tokens
        done = (now - item.started) / self._token_seconds
        return max(1.0, item.tokens - done)

    def slack(self, item: AdmissionItem, now: float) -> float:
        """Return the seconds that a running item could lose and be on time."""
        return item.deadline - now - self.tokens_left(item, now) * self._token_seconds
