"""Stragglers: how long samples will be, in which order they go, when to hedge.

Samples of a group answer the same prompt, so their lengths resemble each other.
`SiblingLengths` is thread-safe; the rest is pure.
"""

import bisect
import math
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

GROUPS_KEPT = 4096
"""Groups whose lengths are remembered."""

LENGTHS_KEPT = 64
"""Lengths remembered for each group."""

SERVICE_LENGTHS_KEPT = 512
"""Lengths remembered for the service as a whole."""

QUANTILE = 0.8
"""Quantile of the lengths that is predicted; high, as an underestimate stalls."""

MIN_SIBLINGS = 3
"""Sibling lengths needed before they count."""

Sample = TypeVar("Sample")


@dataclass(frozen=True, slots=True)
class LengthPrediction:
    """Predicted length in tokens, and from what."""

    tokens: float
    reason: str
    known: int


class _Lengths:
    """The latest lengths, also kept sorted."""

    def __init__(self, kept: int) -> None:
        self._kept = kept
        self._arrival: list[int] = []
        self._sorted: list[int] = []

    def __len__(self) -> int:
        return len(self._sorted)

    def add(self, tokens: int) -> None:
        self._arrival.append(tokens)
        bisect.insort(self._sorted, tokens)
        if len(self._arrival) > self._kept:
            oldest = self._arrival.pop(0)
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def quantile_above(self, quantile: float, generated: int) -> float | None:
        """Return the quantile of the lengths above `generated`."""
        start = bisect.bisect_right(self._sorted, generated)
        longer = len(self._sorted) - start
        if not longer:
            return None
        return self._sorted[start + min(longer - 1, int(quantile * longer))]


class SiblingLengths:
    """Lengths of finished samples, by group and for the whole service.

    Parameters
    ----------
    quantile : float
        Which quantile is predicted.

    Examples
    --------
    >>> lengths = SiblingLengths(quantile=0.5)
    >>> for tokens in (100, 200, 300):
    ...     lengths.add("prompt-1", tokens)
    >>> lengths.predict("prompt-1", most=1000)
    LengthPrediction(tokens=200, reason='siblings', known=3)
    """

    def __init__(self, quantile: float = QUANTILE) -> None:
        self._quantile = quantile
        self._groups: OrderedDict[str, _Lengths] = OrderedDict()
        self._service = _Lengths(SERVICE_LENGTHS_KEPT)
        self._lock = threading.Lock()

    def add(self, group: str, tokens: int) -> None:
        """Note a finished sample of `group`."""
        with self._lock:
            self._service.add(tokens)
            if not group:
                return
            lengths = self._groups.setdefault(group, _Lengths(LENGTHS_KEPT))
            lengths.add(tokens)
            self._groups.move_to_end(group)
            if len(self._groups) > GROUPS_KEPT:
                self._groups.popitem(last=False)

    def predict(self, group: str, most: int, generated: int = 0) -> LengthPrediction:
        """Predict a sample's whole length.

        Parameters
        ----------
        group : str
            The sample's group.
        most : int
            Its `max_tokens`.
        generated : int
            Tokens that it has so far; only longer siblings count.
        """
        with self._lock:
            siblings = self._groups.get(group)
            if siblings is not None and len(siblings) >= MIN_SIBLINGS:
                length = siblings.quantile_above(self._quantile, generated)
                if length is not None:
                    return LengthPrediction(
                        min(most, length), "siblings", len(siblings)
                    )
            length = self._service.quantile_above(self._quantile, generated)
            known = len(self._service)
        if length is None:
            return LengthPrediction(most, "max_tokens", known)
        return LengthPrediction(min(most, length), "service", known)


def longest_first(
    samples: Iterable[Sample], predicted: Callable[[Sample], float]
) -> list[Sample]:
    """Return `samples` by falling predicted length.

    The longest processing time goes first: a long sample started last would run
    alone at the end of the step (Graham, "Bounds on multiprocessing timing
    anomalies", 1969).
    """
    return sorted(samples, key=predicted, reverse=True)


@dataclass(frozen=True, slots=True)
class RunningSample:
    """A sample that might be hedged.

    Attributes
    ----------
    attempt : str
        The running attempt.
    idempotent : bool
        Others are never hedged.
    elapsed : float
        Seconds since its dispatch.
    expected : float
        Seconds that it was expected to take, from its predicted length and the
        usual seconds per token.
    elsewhere : float
        Seconds that a second attempt is expected to take on the best other side.
    remaining : float
        Seconds to the deadline.
    hedges : int
        Hedges sent for it already.
    slowness : float
        Seconds per token of its side, as a multiple of the median of the service;
        infinite where the side is suspect for another reason.
    """

    attempt: str
    idempotent: bool
    elapsed: float
    expected: float
    elsewhere: float
    remaining: float
    hedges: int = 0
    slowness: float = math.inf


@dataclass(frozen=True, slots=True)
class HedgeSettings:
    """When to hedge.

    Attributes
    ----------
    patience : float
        Multiple of the expected time after which an attempt counts as straggling.
    tail : float
        Largest share of a Lot's samples outstanding; before that a hedge would
        only take capacity from samples that have not run.
    minimum : float
        Least seconds before any hedge.
    slowness : float
        Least slowness of the side. A sample that is long by itself gains nothing
        from a second attempt, which would be as long.
    """

    patience: float = 1.5
    tail: float = 0.2
    minimum: float = 0.5
    slowness: float = 1.3


@dataclass(frozen=True, slots=True)
class HedgeDecision:
    """Whether to hedge, with the reason and figures for the log line."""

    hedge: bool
    reason: str
    figures: Mapping[str, Any] = field(default_factory=dict)


def should_hedge(
    sample: RunningSample,
    outstanding_share: float,
    settings: HedgeSettings = HedgeSettings(),
) -> HedgeDecision:
    """Decide whether a running sample gets a second attempt on another side.

    The caller then spends from its hedge budget, places the second attempt with
    the first one's side excluded, takes whichever ends first and cancels the other.

    Parameters
    ----------
    sample : RunningSample
        The sample.
    outstanding_share : float
        Share of the Lot's samples not yet finished.
    settings : HedgeSettings
        Thresholds.
    """
    refusal = _hedge_refusal(sample, outstanding_share, settings)
    figures = {
        "elapsed": sample.elapsed,
        "expected": sample.expected,
        "elsewhere": sample.elsewhere,
        "slowness": sample.slowness,
        "outstanding_share": outstanding_share,
    }
    return HedgeDecision(not refusal, refusal or "straggling", figures)


def _hedge_refusal(
    sample: RunningSample, outstanding_share: float, settings: HedgeSettings
) -> str:
    if not sample.idempotent:
        return "not_idempotent"
    if sample.hedges:
        return "hedged_already"
    if outstanding_share > settings.tail:
        return "not_in_tail"
    if sample.elapsed < max(settings.minimum, settings.patience * sample.expected):
        return "within_patience"
    if sample.slowness < settings.slowness:
        return "side_not_slow"
    if sample.elsewhere >= sample.remaining:
        return "deadline_too_near"
    return ""
