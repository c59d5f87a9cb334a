"""What a run measures."""

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import Any


def quantile(values: list[float], share: float) -> float:
    """Return the value that `share` of `values` do not exceed; NaN for none."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


@dataclass
class TrainerMeasures:
    """One trainer's figures."""

    lots: int = 0
    on_time: int = 0
    steps: int = 0
    idle: float = 0.0
    staleness: list[float] = field(default_factory=list)
    lot_seconds: list[float] = field(default_factory=list)


@dataclass
class Measures:
    """All figures of one run.

    Attributes
    ----------
    call_seconds : list of float
        Latency of the callers' calls that succeeded.
    calls, calls_ok : int
        Calls made and answered in time.
    generated, useful : float
        Tokens produced by engines, and those that reached a caller.
    violations : int
        Samples from weights under the bound, by the engines' own record.
    decisions : Counter
        How often each reason was given.
    goodput : Counter
        Calls answered in time, by the second in which they were made.
    offered : Counter
        Calls made, by second.
    """

    trainers: dict[str, TrainerMeasures] = field(default_factory=dict)
    call_seconds: list[float] = field(default_factory=list)
    calls: int = 0
    calls_ok: int = 0
    calls_unknown: int = 0
    generated: float = 0.0
    useful: float = 0.0
    prefix_lookups: int = 0
    prefix_hits: int = 0
    violations: int = 0
    attempts: int = 0
    hedges: int = 0
    preemptions: int = 0
    swaps: list[float] = field(default_factory=list)
    decisions: Counter[str] = field(default_factory=Counter)
    goodput: Counter[int] = field(default_factory=Counter)
    offered: Counter[int] = field(default_factory=Counter)
    model_seconds: list[float] = field(default_factory=list)

    def summary(self, seconds: float) -> dict[str, Any]:
        """Return the figures of the table; shares between 0 and 1."""
        trainers = self.trainers.values()
        lots = sum(t.lots for t in trainers)
        staleness = [value for t in trainers for value in t.staleness]
        lot_seconds = [value for t in trainers for value in t.lot_seconds]
        return {
            "idle": _mean([t.idle / seconds for t in trainers]),
            "staleness": _mean(staleness),
            "lots_on_time": _ratio(sum(t.on_time for t in trainers), lots),
            "steps": sum(t.steps for t in trainers),
            "lot_p50": quantile(lot_seconds, 0.5),
            "lot_p99": quantile(lot_seconds, 0.99),
            "call_p50": quantile(self.call_seconds, 0.5),
            "call_p99": quantile(self.call_seconds, 0.99),
            "model_p50": quantile(self.model_seconds, 0.5),
            "model_p99": quantile(self.model_seconds, 0.99),
            "calls_ok": _ratio(self.calls_ok, self.calls),
            "calls_unknown": self.calls_unknown,
            "prefix_hits": _ratio(self.prefix_hits, self.prefix_lookups),
            "wasted": 1.0 - _ratio(self.useful, self.generated),
            "attempts": self.attempts,
            "hedges": self.hedges,
            "preemptions": self.preemptions,
            "swap_p100": max(self.swaps, default=math.nan),
            "violations": self.violations,
            "idle_by_trainer": {
                name: t.idle / seconds for name, t in self.trainers.items()
            },
            "steps_by_trainer": {n: t.steps for n, t in self.trainers.items()},
            "decisions": dict(self.decisions.most_common()),
        }

    def seconds_to_normal(self, release: float, share: float, hold: int = 5) -> float:
        """Return seconds from `release` until goodput stays normal.

        Normal is `share` of the calls offered, in each of `hold` seconds in a row.
        """
        last = max(self.offered, default=0)
        for second in range(math.ceil(release), last - hold):
            window = range(second, second + hold)
            if all(self.goodput[s] >= share * self.offered[s] for s in window):
                return second - release
        return math.inf


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else math.nan


def _ratio(part: float, whole: float) -> float:
    return part / whole if whole else math.nan
