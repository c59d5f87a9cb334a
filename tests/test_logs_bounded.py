import logging
import sys
import threading
import time

import pytest

from wigeonfront.observability import logs


class BlockedStream:
    """An output whose reader doesn't read until `unblocked` is set."""

    def __init__(self):
        self.unblocked = threading.Event()
        self.lines = []

    def write(self, text):
        self.unblocked.wait(5.0)
        self.lines += text.splitlines()

    def flush(self):
        pass


@pytest.mark.parametrize("lines", [10, 2 * logs.QUEUE_LINES + 500])
def test_a_blocked_output_does_not_delay_logging_and_drops_are_counted(lines):
    stream = BlockedStream()
    handler = logs.BoundedHandler(stream)
    record = logging.LogRecord("x", logging.INFO, "", 0, "event=%d", (1,), None)
    start = time.monotonic()
    for _ in range(lines):
        handler.emit(record)
    assert time.monotonic() - start < 1.0
    stream.unblocked.set()
    handler.drain(3.0)
    handler.emit(record)
    handler.drain(3.0)
    dropped = [line for line in stream.lines if "log_lines_dropped" in line]
    written = len(stream.lines) - len(dropped)
    assert bool(dropped) == (lines > 2 * logs.QUEUE_LINES)
    # The writer may write lines, and the count of dropped ones, during the loop.
    assert written + sum(map(count_of, dropped)) == lines + 1


class RefusingStream(BlockedStream):
    """An output that refuses some writes, such as a file on a full disk."""

    def __init__(self):
        super().__init__()
        self.refusals = 2

    def write(self, text):
        if self.refusals:
            self.refusals -= 1
            raise OSError("no space")
        self.lines += text.splitlines()


def test_lines_that_the_output_refused_are_counted_and_later_ones_written():
    # One write that the output refused ended all logging of the process.
    stream = RefusingStream()
    handler = logs.BoundedHandler(stream)
    record = logging.LogRecord("x", logging.INFO, "", 0, "event=%d", (1,), None)
    for _ in range(3):
        handler.emit(record)
        handler.drain(3.0)
    assert stream.lines == ["event=1", "event=log_lines_dropped count=2"]


def count_of(line):
    return int(line.rpartition("=")[2])


class SlowStream(BlockedStream):
    """An output that writes each batch after a delay, so that lines are dropped."""

    def write(self, text):
        time.sleep(0.002)
        self.lines += text.splitlines()


@pytest.fixture
def frequent_thread_switches():
    """Switch threads so often that a switch occurs between any two steps."""
    interval_before = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    yield
    sys.setswitchinterval(interval_before)


@pytest.mark.usefixtures("frequent_thread_switches")
@pytest.mark.parametrize("threads", [2, 8])
def test_each_line_of_many_threads_is_written_or_counted_as_dropped(
    threads, monkeypatch
):
    monkeypatch.setattr(logs, "QUEUE_LINES", 50)
    stream = SlowStream()
    handler = logs.BoundedHandler(stream)
    record = logging.LogRecord("x", logging.INFO, "", 0, "event=%d", (1,), None)
    lines_per_thread = 4_000

    def emit():
        for _ in range(lines_per_thread):
            handler.emit(record)

    emitters = [threading.Thread(target=emit) for _ in range(threads)]
    for emitter in emitters:
        emitter.start()
    for emitter in emitters:
        emitter.join()
    handler.drain(3.0)
    # Lines that were dropped after the last batch are reported with the next line.
    handler.emit(record)
    handler.drain(3.0)
    dropped = [line for line in stream.lines if "log_lines_dropped" in line]
    written = len(stream.lines) - len(dropped)
    assert dropped
    assert written + sum(map(count_of, dropped)) == threads * lines_per_thread + 1


@pytest.mark.usefixtures("frequent_thread_switches")
def test_drain_returns_only_after_the_last_line_is_written():
    for _ in range(100):
        stream = SlowStream()
        handler = logs.BoundedHandler(stream)
        record = logging.LogRecord("x", logging.INFO, "", 0, "event=%d", (1,), None)
        handler.emit(record)
        handler.drain(3.0)
        assert stream.lines == ["event=1"]
