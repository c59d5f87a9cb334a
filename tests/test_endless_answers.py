"""Answers without an end, by each way in which a process reads answers."""

import itertools
import socket
import threading
import time
from dataclasses import replace

import pytest

from rows_fakes import make_forwarder_by, make_lot
from test_forwarding import make_exchange
from wigeonfront.clock import SystemClock
from wigeonfront.forwarding import Broken, CallHandle, ForwardRequest
from wigeonfront.http import bounded
from wigeonfront.http.bounded import PROCESS_BUDGET, fit_budget
from wigeonfront.http.client import Pool
from wigeonfront.platform.engine_calls import PlatformEngine
from wigeonfront.platform.json_client import JsonClient
from wigeonfront.platform.lot_calls import PlatformSamples
from wigeonfront.platform.metadata_store import MetadataStore
from wigeonfront.rollout import sample_run
from wigeonfront.rollout.events import EventReader, Text
from wigeonfront.rollout.lot import RewardCall
from wigeonfront.rollout.reward_call import RewardCaller
from wigeonfront.rollout.run_outcomes import RunBroken
from wigeonfront.rollout.sample_run import RunHandle, SampleRunner
from wigeonfront.targets.target import Target

SECONDS = 0.6
"""Deadline of each call."""

BUDGET_BYTES = 4 * 1024 * 1024
SOCKET_BYTES = 8 * 1024 * 1024
"""More than the buffers of a loopback connection hold."""

HEAD = (
    b"HTTP/1.1 200 OK\r\nWigeonfront-Attempt-Id: r1\r\nWigeonfront-Server-Seal: s\r\n"
)
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


class EndlessTarget:
    """Answers each request without an end, until the caller closes the connection."""

    def __init__(self, first, piece, pause):
        self._answer = first, piece, pause
        self.sent = 0
        self.closed = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._send, args=(connection,), daemon=True).start()

    def _send(self, connection):
        first, piece, pause = self._answer
        try:
            connection.recv(65_536)
            connection.sendall(first)
            for _ in itertools.count():
                connection.sendall(piece)
                self.sent += len(piece)
                time.sleep(pause)
        except OSError:
            self.closed.set()

    def close(self):
        self._listener.close()


@pytest.fixture(params=ENDLESS.values(), ids=list(ENDLESS))
def target(request):
    made = EndlessTarget(*request.param)
    yield made
    made.close()


@pytest.fixture(autouse=True)
def small_budget():
    """Give this process so little memory that the shared limit is reached first."""
    fit_budget(4 * BUDGET_BYTES)
    yield
    PROCESS_BUDGET.resize(bounded.DEFAULT_BUDGET_BYTES)


REQUEST = ForwardRequest("r1", "POST", "/a", (("Host", "h"),), b"in", True, "")


def plain(address):
    _, exchange = make_exchange()
    until = time.monotonic() + SECONDS
    return exchange.send(REQUEST, Target("i-1", "s", address, "z", 4), until)


def hedged(address):
    _, exchange = make_exchange()
    until = time.monotonic() + SECONDS
    target = Target("i-1", "s", address, "z", 4)
    return exchange.send(REQUEST, target, until, handle=CallHandle())


def streamed(address):
    _, exchange = make_exchange()
    until = time.monotonic() + SECONDS
    target = Target("i-1", "s", address, "z", 4)
    opened = exchange.open(REQUEST, target, until)
    if not hasattr(opened, "pieces"):
        return opened
    try:
        for _ in opened.pieces(SECONDS):
            pass
    except Exception as error:
        opened.close()
        return Broken(type(error).__name__)
    return opened


def sample(address):
    _, exchange = make_exchange()
    runner = SampleRunner(exchange, PlatformSamples(), SystemClock())
    lot = make_lot()
    request = replace(lot.samples[0], id="r1")
    target = Target("i-1", "s", address, "z", 4)
    return runner.run(
        lot,
        request,
        Text(),
        target,
        SECONDS,
        RunHandle(SECONDS),
        lambda version: None,
    )


def reward_call(address):
    _, exchange = make_exchange()
    targets = [Target("i-1", "s", address, "z", 4)]
    forwarder, table, _ = make_forwarder_by(exchange, SystemClock(), targets, "z")
    (view,) = table.views("s")
    caller = RewardCaller(forwarder, PlatformSamples())
    until = time.monotonic() + SECONDS
    call = RewardCall("r1", "h.example", "/score", b"in")
    return caller.send(call, view, until, 20.0, CallHandle())


def process(address):
    return Pool(address, read_seconds=SECONDS / 2).call("POST", "/x", b"in")


def json_service(address):
    return JsonClient(address, read_timeout=SECONDS / 2).post("/x", None)


def store(address):
    return MetadataStore(address).get("op/a")


def engine_order(address):
    return PlatformEngine(address, "n1").report()


WAYS = [
    plain,
    hedged,
    streamed,
    sample,
    reward_call,
    process,
    json_service,
    store,
    engine_order,
]
NOT_WHOLE = {
    *("Broken", "TimedOut", "NotExecuted", "CallBroken", "CallRefused"),
    *("RunBroken", "RunSilent", "RunRefused", "Unanswered", "Unavailable"),
}
LONGEST = {store: 4.5, engine_order: 6.5}
"""Seconds of the calls whose timeouts are fixed: a read is tried twice."""


@pytest.mark.parametrize("way", WAYS, ids=lambda way: way.__name__)
def test_an_answer_without_an_end_is_read_neither_for_ever_nor_without_a_limit(
    target, way
):
    """Endless bytes held their caller, or filled its memory."""
    began = time.monotonic()
    outcome = way(target.address)
    assert time.monotonic() - began < LONGEST.get(way, SECONDS) + 0.5
    assert target.sent < BUDGET_BYTES + SOCKET_BYTES
    assert type(outcome).__name__ in NOT_WHOLE
    assert PROCESS_BUDGET.taken == 0
    assert target.closed.wait(1.0)


def test_a_text_without_an_end_is_read_up_to_a_limit(monkeypatch):
    """The events are whole and in order, but there is always one more."""
    monkeypatch.setattr(sample_run, "MAX_TEXT_BYTES", 100_000)
    events = b"".join(b"id: %d\ndata: x\n\n" % (n + 1) for n in range(20_000))
    endless = EndlessTarget(HEAD + b"Connection: close\r\n\r\n" + events, b"", 0.05)
    assert sample(endless.address) == RunBroken("ProtocolError")
    endless.close()


def test_an_event_without_an_end_is_refused():
    reader = EventReader(b"version:")
    with pytest.raises(ValueError, match="more than"):
        for _ in range(1000):
            reader.feed(b"data: " + LETTERS)


def test_an_engine_that_sends_bytes_but_no_whole_event_is_silent(monkeypatch):
    monkeypatch.setattr(sample_run, "EVENT_SECONDS", 0.3)
    slow = EndlessTarget(HEAD + b"Connection: close\r\n\r\n", b"a", 0.05)
    assert sample(slow.address) == RunBroken("no whole event")
    slow.close()


def test_short_answers_arrive_while_long_ones_take_the_whole_budget():
    whole = EndlessTarget(HEAD + b"Content-Length: 2\r\n\r\nok", b"", 0.05)
    assert PROCESS_BUDGET.take(BUDGET_BYTES)
    try:
        assert plain(whole.address).body == b"ok"
    finally:
        PROCESS_BUDGET.release(BUDGET_BYTES)
        whole.close()
