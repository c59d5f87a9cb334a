"""Length predictors that are compared: sibling quantile, time series, oracle."""

import math
from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

from benchmarks.policy.sides import Task
from wigeonfront.policy.stragglers import SiblingLengths

MAX_TOKENS = 700
Z_99 = 2.326
"""One-sided 99% quantile of the normal distribution."""


class Predictor(Protocol):
    """Predicts a sample's length and learns from finished ones."""

    def predict(self, task: Task) -> float:
        """Return the predicted tokens."""

    def learn(self, task: Task) -> None:
        """Take in a finished sample."""


class NoPrediction:
    """Baseline: every sample is as long as `max_tokens` allows."""

    def predict(self, task: Task) -> float:
        """Return the same for all samples."""
        return 200.0 if task.work_class == "rollout" else task.tokens

    def learn(self, task: Task) -> None:
        """Ignore the sample."""


class Oracle:
    """Bound: the true length."""

    def predict(self, task: Task) -> float:
        """Return the true length."""
        return task.tokens

    def learn(self, task: Task) -> None:
        """Ignore the sample."""


class SiblingPrediction:
    """The product's predictor."""

    def __init__(self, quantile: float = 0.8) -> None:
        self._lengths = SiblingLengths(quantile)

    def predict(self, task: Task) -> float:
        """Return the quantile of the sibling lengths."""
        return self._lengths.predict(task.prefix, MAX_TOKENS).tokens

    def learn(self, task: Task) -> None:
        """Note the length."""
        if task.work_class == "rollout":
            self._lengths.add(task.prefix, round(task.tokens))


class TimeSeriesPrediction:
    """The paper's predictor, on lengths in place of memory.

    A straight line is fitted to the peak so far of each group's lengths in order of
    arrival; the prediction is the line at the next point plus `z` standard
    deviations of the residuals.
    """

    def __init__(self, z: float = Z_99, peak: bool = True) -> None:
        self._z = z
        self._peak = peak
        self._series: defaultdict[str, list[float]] = defaultdict(list)

    def predict(self, task: Task) -> float:
        """Return the upper confidence bound at the next point."""
        series = self._series.get(task.prefix) or self._series.get("", [])
        if len(series) < 3:
            return 200.0
        return min(MAX_TOKENS, max(8.0, _upper_bound(series, self._z)))

    def learn(self, task: Task) -> None:
        """Append to the group's series and to that of the service."""
        if task.work_class != "rollout":
            return
        for name in (task.prefix, ""):
            series = self._series[name]
            last = series[-1] if series and self._peak else 0.0
            series.append(max(last, task.tokens))
            del series[:-64]


def _upper_bound(series: list[float], z: float) -> float:
    count = len(series)
    mean_x = (count - 1) / 2
    mean_y = sum(series) / count
    spread = sum((x - mean_x) ** 2 for x in range(count))
    slope = sum((x - mean_x) * (y - mean_y) for x, y in enumerate(series)) / spread
    start = mean_y - slope * mean_x
    residuals = [y - (start + slope * x) for x, y in enumerate(series)]
    sigma = math.sqrt(sum(r * r for r in residuals) / max(1, count - 2))
    return start + slope * count + z * sigma


def make(name: str) -> Predictor:
    """Return the predictor called `name`."""
    makers: dict[str, Callable[[], Predictor]] = {
        "none": NoPrediction,
        "oracle": Oracle,
        "siblings": SiblingPrediction,
        "siblings median": lambda: SiblingPrediction(0.5),
        "siblings 95%": lambda: SiblingPrediction(0.95),
        "time_series": TimeSeriesPrediction,
        "time_series mean": lambda: TimeSeriesPrediction(z=0.0, peak=False),
    }
    return makers[name]()
