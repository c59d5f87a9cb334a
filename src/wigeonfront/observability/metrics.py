"""Metrics of a process: counters, gauges and histograms.

`Registry.render_text` writes the Prometheus text exposition format, version 0.0.4. The
format's own client library would add 2.6 MB of resident memory to each process.

A histogram counts durations from 10 microseconds to an hour in an
`hdrh.histogram.HdrHistogram`. With one significant digit, a bucket is at most a 16th of
its value wide. With 4-byte counters, each series takes 2.8 KB of resident memory; two
digits would take 13 KB, and three digits with 8-byte counters 189 KB (mean of 200
series in one process).
"""

import threading
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from functools import singledispatch
from itertools import islice
from typing import Any

from hdrh.histogram import HdrHistogram

UNIT_SECONDS = 1e-5
MAX_UNITS = 360_000_000
SIGNIFICANT_DIGITS = 1
WORD_BYTES = 4
MAX_SERIES = 256
OVERFLOW_LABEL = "other"
# Upper bounds of the exported buckets. Powers of two are bucket bounds of the
# `HdrHistogram`, so that the counts below them are exact.
BOUND_UNITS = tuple(2**exponent for exponent in range(5, 29))

LabelValues = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Distribution:
    """Counts of one series of a histogram; durations are in seconds.

    Attributes
    ----------
    count : int
        Number of observed values.
    total : float
        Sum of the observed values.
    below : tuple of int
        Number of values below each of `BOUND_UNITS`; cumulative.
    """

    count: int
    total: float
    below: tuple[int, ...]


Reading = float | Distribution


class _Metric:
    """A named metric with one series for each combination of label values.

    At most `MAX_SERIES` series are kept, so that a caller that sends ever new names
    can't exhaust the memory. Further series are counted together under
    `OVERFLOW_LABEL`.
    """

    kind = ""

    def __init__(self, name: str, help: str, labels: tuple[str, ...]) -> None:
        self.name = name
        self.help = help
        self.labels = labels
        self._lock = threading.Lock()
        self._series: dict[LabelValues, Any] = {}

    def _key(self, labels: Mapping[str, object]) -> LabelValues:
        values = tuple(str(labels[name]) for name in self.labels)
        if values in self._series or len(self._series) < MAX_SERIES - 1:
            return values
        return (OVERFLOW_LABEL,) * len(self.labels)

    def collect(self) -> dict[LabelValues, Reading]:
        """Return the reading of each series."""
        with self._lock:
            return dict(self._series)


class Counter(_Metric):
    """A count that only increases."""

    kind = "counter"

    def increment(self, amount: float = 1, **labels: object) -> None:
        """Add `amount` to the series of `labels`.

        Parameters
        ----------
        amount : float
            Amount to add; not negative.
        **labels
            A value for each label of the metric.
        """
        with self._lock:
            key = self._key(labels)
            self._series[key] = self._series.get(key, 0) + amount


class Gauge(_Metric):
    """A value that increases and decreases, read when the metrics are collected.

    Parameters
    ----------
    read : callable
        Returns the current value.
    """

    kind = "gauge"

    def __init__(self, name: str, help: str, read: Callable[[], float]) -> None:
        super().__init__(name, help, ())
        self._read = read

    def collect(self) -> dict[LabelValues, Reading]:
        """Return the current value as the only series."""
        return {(): self._read()}


class GaugeFamily(_Metric):
    """Values that increase and decrease, read when the metrics are collected.

    Parameters
    ----------
    read : callable
        Returns the current values by the values of the labels. At most `MAX_SERIES`
        of them are collected.
    """

    kind = "gauge"

    def __init__(
        self,
        name: str,
        help: str,
        labels: tuple[str, ...],
        read: Callable[[], dict[LabelValues, float]],
    ) -> None:
        super().__init__(name, help, labels)
        self._read = read

    def collect(self) -> dict[LabelValues, Reading]:
        """Return the current values."""
        return dict(islice(sorted(self._read().items()), MAX_SERIES))


class Histogram(_Metric):
    """A distribution of durations in seconds."""

    kind = "histogram"

    def observe(self, seconds: float, **labels: object) -> None:
        """Count one duration; the buckets count one over an hour as an hour."""
        units = min(max(int(seconds / UNIT_SECONDS), 1), MAX_UNITS)
        with self._lock:
            key = self._key(labels)
            series = self._series.get(key)
            if series is None:
                series = self._series[key] = _HistogramSeries()
            series.record(units, seconds)

    def collect(self) -> dict[LabelValues, Reading]:
        """Return the reading of each series."""
        with self._lock:
            return {key: series.read() for key, series in self._series.items()}


class _HistogramSeries:
    """The durations of one series of a histogram."""

    __slots__ = ("_counts", "_total")

    def __init__(self) -> None:
        self._counts = HdrHistogram(
            1, MAX_UNITS, SIGNIFICANT_DIGITS, word_size=WORD_BYTES
        )
        self._total = 0.0

    def record(self, units: int, seconds: float) -> None:
        self._counts.record_value(units)
        self._total += seconds

    def read(self) -> Distribution:
        return Distribution(
            count=self._counts.get_total_count(),
            total=self._total,
            below=tuple(self._cumulative()),
        )

    def _cumulative(self) -> Iterator[int]:
        cumulative_count = 0
        low = 0
        for bound in BOUND_UNITS:
            cumulative_count += self._count_between(low, bound)
            low = bound
            yield cumulative_count

    def _count_between(self, low: int, high: int) -> int:
        first = self._counts.get_counts_array_index(low)
        last = self._counts.get_counts_array_index(high)
        indexes = range(first, last)
        return sum(map(self._counts.get_count_at_index, indexes))


class Registry:
    """The metrics of one process; all methods may be called from any thread.

    Examples
    --------
    >>> registry = Registry()
    >>> replies = registry.counter("replies_total", "Replies.", ("status",))
    >>> replies.increment(status=200)
    >>> print(registry.render_text(), end="")
    # HELP replies_total Replies.
    # TYPE replies_total counter
    replies_total{status="200"} 1
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._metrics: dict[str, _Metric] = {}

    def counter(self, name: str, help: str, labels: tuple[str, ...] = ()) -> Counter:
        """Declare a counter; its name should end in ``_total``."""
        return self._add(Counter(name, help, labels))

    def gauge(self, name: str, help: str, read: Callable[[], float]) -> Gauge:
        """Declare a gauge; `read` returns its value."""
        return self._add(Gauge(name, help, read))

    def gauges(
        self,
        name: str,
        help: str,
        labels: tuple[str, ...],
        read: Callable[[], dict[LabelValues, float]],
    ) -> GaugeFamily:
        """Declare a gauge with labels; `read` returns its values by their labels."""
        return self._add(GaugeFamily(name, help, labels, read))

    def histogram(
        self, name: str, help: str, labels: tuple[str, ...] = ()
    ) -> Histogram:
        """Declare a histogram of seconds; its name should end in ``_seconds``."""
        return self._add(Histogram(name, help, labels))

    def _add(self, metric: Any) -> Any:
        with self._lock:
            if metric.name in self._metrics:
                raise ValueError(f"metric declared twice: {metric.name}")
            self._metrics[metric.name] = metric
        return metric

    def _all(self) -> list[_Metric]:
        with self._lock:
            return sorted(self._metrics.values(), key=lambda metric: metric.name)

    def render_text(self) -> str:
        """Return all metrics in the Prometheus text exposition format."""
        lines: list[str] = []
        for metric in self._all():
            lines.append(f"# HELP {metric.name} {_escape_help(metric.help)}")
            lines.append(f"# TYPE {metric.name} {metric.kind}")
            for values, reading in sorted(metric.collect().items()):
                pairs = list(zip(metric.labels, values, strict=True))
                lines.extend(_text_lines(reading, metric.name, pairs))
        return "\n".join(lines) + "\n"


# --- formats -----------------------------------------------------------------

_Pairs = list[tuple[str, str]]


@singledispatch
def _text_lines(reading: float, name: str, pairs: _Pairs) -> list[str]:
    return [f"{name}{_label_text(pairs)} {_number(reading)}"]


@_text_lines.register
def _(reading: Distribution, name: str, pairs: _Pairs) -> list[str]:
    bounds = [f"{units * UNIT_SECONDS:.6g}" for units in BOUND_UNITS]
    counts = [*reading.below, reading.count]
    lines = [
        f"{name}_bucket{_label_text([*pairs, ('le', bound)])} {count}"
        for bound, count in zip([*bounds, "+Inf"], counts, strict=True)
    ]
    lines.append(f"{name}_sum{_label_text(pairs)} {_number(reading.total)}")
    lines.append(f"{name}_count{_label_text(pairs)} {reading.count}")
    return lines


def _number(value: float) -> str:
    return f"{value:.15g}"


def _label_text(pairs: _Pairs) -> str:
    if not pairs:
        return ""
    return "{" + ",".join(f'{name}="{_escape(text)}"' for name, text in pairs) + "}"


def _escape_help(text: str) -> str:
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def _escape(text: str) -> str:
    return _escape_help(text).replace('"', '\\"')
