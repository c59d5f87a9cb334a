"""Metrics: values, the text format, and the limit on series."""

import random
import threading

import pytest

from wigeonfront.observability.metrics import (
    BOUND_UNITS,
    MAX_SERIES,
    OVERFLOW_LABEL,
    UNIT_SECONDS,
    Registry,
)


def test_counters_and_gauges_are_rendered_as_text():
    registry = Registry()
    counter = registry.counter("replies_total", "Replies\nby status.", ("status",))
    counter.increment(status=200)
    counter.increment(2, status=200)
    counter.increment(status='a"b\\c\nd')
    registry.gauge("queued", "Waiting.", lambda: 2)
    registry.gauge("threads", "Threads.", lambda: 7.5)
    assert registry.render_text().splitlines() == [
        "# HELP queued Waiting.",
        "# TYPE queued gauge",
        "queued 2",
        r"# HELP replies_total Replies\nby status.",
        "# TYPE replies_total counter",
        'replies_total{status="200"} 3',
        r'replies_total{status="a\"b\\c\nd"} 1',
        "# HELP threads Threads.",
        "# TYPE threads gauge",
        "threads 7.5",
    ]


def test_a_large_counter_is_rendered_with_all_digits():
    registry = Registry()
    registry.counter("bytes_total", "Bytes.").increment(12_345_678_901)
    assert "bytes_total 12345678901" in registry.render_text().splitlines()


def test_the_buckets_of_a_histogram_count_the_observed_values():
    generator = random.Random(7)
    values = sorted(generator.expovariate(20) for _ in range(5000))
    registry = Registry()
    histogram = registry.histogram("wait_seconds", "Wait.", ("service",))
    for value in values:
        histogram.observe(value, service="judge-llm")
    (reading,) = histogram.collect().values()
    for units, count in zip(BOUND_UNITS, reading.below, strict=True):
        assert count == sum(int(value / UNIT_SECONDS) < units for value in values)
    assert reading.total == pytest.approx(sum(values))
    assert reading.count == len(values)


@pytest.mark.parametrize("seconds", [0.0, -1.0, 1e-9, 3600.0, 1e9])
def test_a_histogram_counts_values_outside_its_range(seconds):
    registry = Registry()
    registry.histogram("wait_seconds", "Wait.").observe(seconds)
    text = registry.render_text().splitlines()
    assert 'wait_seconds_bucket{le="+Inf"} 1' in text
    assert "wait_seconds_count 1" in text


def test_the_number_of_series_is_limited():
    registry = Registry()
    counter = registry.counter("requests_total", "Requests.", ("caller",))
    for number in range(2 * MAX_SERIES):
        counter.increment(caller=f"caller-{number}")
    readings = counter.collect()
    assert len(readings) == MAX_SERIES
    assert sum(readings.values()) == 2 * MAX_SERIES
    assert readings[(OVERFLOW_LABEL,)] == MAX_SERIES + 1


def test_concurrent_increments_are_all_counted():
    registry = Registry()
    counter = registry.counter("requests_total", "Requests.")
    histogram = registry.histogram("wait_seconds", "Wait.")

    def record():
        for _ in range(500):
            counter.increment()
            histogram.observe(0.001)

    threads = [threading.Thread(target=record) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert counter.collect() == {(): 4000}
    assert histogram.collect()[()].count == 4000


def test_a_metric_name_can_be_declared_only_once():
    registry = Registry()
    registry.counter("requests_total", "Requests.")
    with pytest.raises(ValueError, match="declared twice"):
        registry.gauge("requests_total", "Requests.", lambda: 0)
