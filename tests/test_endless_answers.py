"""Answers without an end, by each way in which a process reads answers."""

import itertools
import threading
import time

import pytest

from answer_readers import (
    NOT_WHOLE,
    READERS,
    SEALED_HEAD,
    SECONDS,
    engine_order,
    plain,
    sample,
    store,
)
from raw_targets import ListeningTarget
from wigeonfront.http.budget import (
    ANSWER_BUDGET,
    DEFAULT_MEMORY_BYTES,
    fit_budgets,
)
from wigeonfront.rollout import sample_run
from wigeonfront.rollout.events import EventReader
from wigeonfront.rollout.run_outcomes import RunBroken

BUDGET_BYTES = 4 * 1024 * 1024
SOCKET_BYTES = 8 * 1024 * 1024
"""More than the buffers of a loopback connection hold."""

HEAD = SEALED_HEAD
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LINES = b"X-Filler: 0123456789\r\n" * 500
LETTERS = b"a" * 16_384

# What is sent once, what is sent for ever, and the pause between two pieces.
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", LETTERS, 0.0),
    "header lines": (HEAD, LINES, 0.0),
    "header line": (HEAD + b"X-Filler: ", LETTERS, 0.0),
    "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 400, 0.0),
    "chunk size line": (CHUNKED + b"1;", LETTERS, 0.0),
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", LINES, 0.0),
    "body with length": (HEAD + b"Content-Length: 999999999999\r\n\r\n", LETTERS, 0.0),
    "body without length": (HEAD + b"Connection: close\r\n\r\n", LETTERS, 0.0),
    "chunked body": (CHUNKED, b"4000\r\n" + LETTERS + b"\r\n", 0.0),
    "head by bytes": (HEAD, b"a", 0.1),
    "body by bytes": (HEAD + b"Content-Length: 999999\r\n\r\n", b"a", 0.1),
    "refusal by bytes": (
        b"HTTP/1.1 503 Busy\r\nWigeonfront-Not-Executed: 1\r\n"
        b"Content-Length: 999999\r\n\r\n",
        b"a",
        0.05,
    ),
}


class EndlessTarget(ListeningTarget):
    """Answers each request without an end, until the caller closes the connection."""

    def __init__(self, first, piece, pause):
        super().__init__()
        self._script = first, piece, pause
        self.sent = 0
        self.closed = threading.Event()

    def _answer(self, connection):
        first, piece, pause = self._script
        try:
            connection.recv(65_536)
            connection.sendall(first)
            for _ in itertools.count():
                connection.sendall(piece)
                self.sent += len(piece)
                time.sleep(pause)
        except OSError:
            self.closed.set()


@pytest.fixture(params=ENDLESS.values(), ids=list(ENDLESS))
def target(request):
    made = EndlessTarget(*request.param)
    yield made
    made.close()


@pytest.fixture(autouse=True)
def small_budget():
    """Give this process so little memory that the shared limit is reached first."""
    fit_budgets(4 * BUDGET_BYTES)
    yield
    fit_budgets(DEFAULT_MEMORY_BYTES)


LONGEST = {store: 4.5, engine_order: 6.5}
"""Seconds of the calls whose timeouts are fixed: a read is tried twice."""


@pytest.mark.parametrize("reader", READERS, ids=lambda reader: reader.__name__)
def test_an_answer_without_an_end_is_read_neither_for_ever_nor_without_a_limit(
    target, reader
):
    """Endless bytes held their caller, or filled its memory."""
    read = reader(target.address)
    began = time.monotonic()
    outcome = read()
    assert time.monotonic() - began < LONGEST.get(reader, SECONDS) + 0.5
    assert target.sent < BUDGET_BYTES + SOCKET_BYTES
    assert type(outcome).__name__ in NOT_WHOLE
    assert ANSWER_BUDGET.taken == 0
    assert target.closed.wait(1.0)


def test_a_text_without_an_end_is_read_up_to_a_limit(monkeypatch):
    """The events are whole and in order, but there is always one more."""
    monkeypatch.setattr(sample_run, "MAX_TEXT_BYTES", 100_000)
    events = b"".join(b"id: %d\ndata: x\n\n" % (n + 1) for n in range(20_000))
    endless = EndlessTarget(HEAD + b"Connection: close\r\n\r\n" + events, b"", 0.05)
    assert sample(endless.address)() == RunBroken("ProtocolError")
    endless.close()


def test_an_event_without_an_end_is_refused():
    reader = EventReader(b"version:")
    with pytest.raises(ValueError, match="more than"):
        for _ in range(1000):
            reader.feed(b"data: " + LETTERS)


def test_an_engine_that_sends_bytes_but_no_whole_event_is_silent(monkeypatch):
    monkeypatch.setattr(sample_run, "EVENT_SECONDS", 0.3)
    slow = EndlessTarget(HEAD + b"Connection: close\r\n\r\n", b"a", 0.05)
    assert sample(slow.address)() == RunBroken("no whole event")
    slow.close()


def test_short_answers_arrive_while_long_ones_take_the_whole_budget():
    whole = EndlessTarget(HEAD + b"Content-Length: 2\r\n\r\nok", b"", 0.05)
    assert ANSWER_BUDGET.take(BUDGET_BYTES)
    try:
        assert plain(whole.address)().body == b"ok"
    finally:
        ANSWER_BUDGET.release(BUDGET_BYTES)
        whole.close()
