"""Bodies that are late, malformed, too large or unread, at a server of this process."""

import socket
import threading
import time
from contextlib import closing

import pytest

from platform_standins.server import StandInServer
from rows_fakes import free_address, wait_for
from wigeonfront.http import body, raw
from wigeonfront.http.budget import (
    DEFAULT_MEMORY_BYTES,
    REQUEST_BUDGET,
    fit_budgets,
)
from wigeonfront.http.encoding import parse_address
from wigeonfront.http.raw import ConnectionLimits, RawServer
from wigeonfront.http.source import POLL_SECONDS
from wigeonfront.http.waiting import PROCESS_WAITS

MAX_BYTES = 100_000
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
LENGTH = HEAD + b"Content-Length: %d\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
def serve():
    servers = []

    def start(handler, threads=4, limits=None):
        server = RawServer(free_address(), handler, threads)
        server.set_limits(limits or ConnectionLimits(body_bytes=MAX_BYTES))
        server.bind()
        threading.Thread(target=server.run, args=(None,), daemon=True).start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.close(0.1)
    assert REQUEST_BUDGET.taken == 0
    assert PROCESS_WAITS.count == 0


@pytest.fixture
def recorder(serve):
    """A server that reads each body, and the bodies that it has read."""
    bodies = []

    def run(call):
        bodies.append(call.body(MAX_BYTES))
        call.reply(200, b"ok")

    return serve(run), bodies


def connect(server):
    address = server._server.bind_addr
    return closing(socket.create_connection(address, timeout=10.0))


def answers(caller):
    """Return all that the server sends until it closes the connection."""
    return b"".join(iter(lambda: caller.recv(65_536), b""))


def exchange(server, sent):
    with connect(server) as caller:
        caller.sendall(sent)
        caller.shutdown(socket.SHUT_WR)
        return answers(caller)


def statuses(received):
    return [
        int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:] if part[3:4] == b" "
    ]


NEXT = b"POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nnext"


@pytest.mark.parametrize(
    ("fields", "sent", "status"),
    [
        (b"Content-Length: -1", b"abc", 400),
        (b"Content-Length: +3", b"abc", 400),
        (b"Content-Length: 3\r\nContent-Length: 3", b"abc", 400),
        (b"Content-Length: 3\r\nContent-Length: 30", b"abc", 400),
        (b"Content-Length : 3", b"abc", 400),
        (b"Content-Length: 3\r\nTransfer-Encoding: chunked", b"0\r\n\r\n", 400),
        (b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", b"0\r\n\r\n", 501),
        (b"Transfer-Encoding: chunked, chunked", b"0\r\n\r\n", 400),
        (b"Transfer-Encoding: chunked", b"-1\r\na\r\n", 400),
        (b"Transfer-Encoding: chunked", b"1\r\nab\r\n0\r\n\r\n", 400),
        (b"Transfer-Encoding: chunked", b"186a1\r\n", 413),
        (b"Transfer-Encoding: chunked", b"0\r\nX: " + b"t" * 70_000, 400),
        (b"Content-Length: 100001", b"abc", 413),
    ],
)
def test_a_body_that_is_refused_runs_nothing_and_neither_does_what_follows(
    recorder, fields, sent, status
):
    server, bodies = recorder
    received = exchange(server, HEAD + fields + b"\r\n\r\n" + sent + NEXT)
    assert statuses(received) == [status]
    assert bodies == []


def test_http_1_0_has_no_chunks(recorder):
    server, bodies = recorder
    request = CHUNKED.replace(b"HTTP/1.1", b"HTTP/1.0") + b"1\r\na\r\n0\r\n\r\n"
    assert b" 400 " in exchange(server, request).split(b"\r\n")[0]
    assert bodies == []


@pytest.mark.parametrize(
    "sent",
    [
        LENGTH % MAX_BYTES + b"a" * (MAX_BYTES - 1),
        CHUNKED + b"1\r\na\r\n" * 100,
        CHUNKED + b"1;" + b"a" * 100,
        CHUNKED + b"1\r\na\r\n0\r\nX: 1\r\n",
        HEAD + b"X-Filler: ",
        b"POST /x",
    ],
)
def test_a_request_that_stops_short_is_late_and_did_not_run(serve, monkeypatch, sent):
    monkeypatch.setattr(raw, "DEFAULT_BODY_SECONDS", 0.5)
    ran = []

    def run(call):
        ran.append(call.body(MAX_BYTES))
        call.reply(200)

    server = serve(run, limits=ConnectionLimits(head_seconds=0.5, body_bytes=MAX_BYTES))
    with connect(server) as caller:
        caller.sendall(sent)
        received = answers(caller)
    assert b" 408 " in received.split(b"\r\n")[0]
    assert ran == []


@pytest.mark.parametrize("start", [LENGTH % MAX_BYTES, HEAD + b"X-Filler: "])
def test_single_bytes_do_not_extend_the_time(serve, monkeypatch, start):
    monkeypatch.setattr(raw, "DEFAULT_BODY_SECONDS", 0.5)

    def run(call):
        call.body(MAX_BYTES)

    server = serve(run, limits=ConnectionLimits(head_seconds=0.5, body_bytes=MAX_BYTES))
    began = time.monotonic()
    with connect(server) as caller:
        caller.sendall(start)
        with pytest.raises(OSError):
            while time.monotonic() - began < 10.0:
                caller.sendall(b"a")
                time.sleep(0.05)
    assert time.monotonic() - began < 10.0


def test_a_call_that_stands_still_gives_its_thread_to_another(serve):
    """The only thread of a server waited for the rest of a body."""
    server = serve(lambda call: call.reply(200, call.body(MAX_BYTES)), threads=1)
    with connect(server) as standing:
        standing.sendall(LENGTH % 10 + b"abc")
        wait_for(lambda: PROCESS_WAITS.count == 1)
        assert statuses(exchange(server, LENGTH % 2 + b"ok")) == [200]
        refusal = answers(standing)
    assert statuses(refusal) == [503]
    assert b"Retry-After: " in refusal


def test_a_connection_that_sends_nothing_gives_its_thread_to_another(serve):
    server = serve(lambda call: call.reply(200, call.body(MAX_BYTES)), threads=1)
    with connect(server) as silent:
        wait_for(lambda: PROCESS_WAITS.count == 1)
        assert statuses(exchange(server, LENGTH % 2 + b"ok")) == [200]
        assert answers(silent) == b""


@pytest.fixture
def little_room():
    """Room for one of the bodies of `MAX_BYTES` at a time."""
    fit_budgets(int(1.5 * MAX_BYTES / 0.45))
    yield
    fit_budgets(DEFAULT_MEMORY_BYTES)


def test_a_body_that_stands_still_gives_its_room_to_another(little_room, recorder):
    server, bodies = recorder
    whole = b"b" * MAX_BYTES
    with connect(server) as standing:
        standing.sendall(LENGTH % MAX_BYTES + b"a" * (MAX_BYTES - 1))
        wait_for(lambda: PROCESS_WAITS.count == 1)
        assert statuses(exchange(server, LENGTH % 2 + b"ok")) == [200]
        assert statuses(exchange(server, LENGTH % MAX_BYTES + whole)) == [200]
        refusal = answers(standing)
    assert statuses(refusal) == [503]
    assert bodies == [b"ok", whole]


def test_bodies_beyond_the_budget_are_refused_while_another_runs(little_room, serve):
    began, end = threading.Event(), threading.Event()

    def run(call):
        call.body(MAX_BYTES)
        began.set()
        end.wait(10.0)
        call.reply(200)

    server = serve(run)
    sent = LENGTH % MAX_BYTES + b"a" * MAX_BYTES
    first = []
    running = threading.Thread(target=lambda: first.append(exchange(server, sent)))
    running.start()
    assert began.wait(5.0)
    refusal = exchange(server, sent)
    end.set()
    running.join()
    assert statuses(refusal) == [503]
    assert b"Retry-After: " in refusal
    assert statuses(first[0]) == [200]


def test_one_body_alone_may_exceed_the_budget(recorder):
    server, bodies = recorder
    fit_budgets(MAX_BYTES // 10)
    try:
        sent = LENGTH % MAX_BYTES + b"a" * MAX_BYTES
        assert statuses(exchange(server, sent)) == [200]
    finally:
        fit_budgets(DEFAULT_MEMORY_BYTES)
    assert bodies == [b"a" * MAX_BYTES]


@pytest.mark.parametrize(
    ("size", "answered"),
    [(10, [404, 404]), (body.KEPT_REST_BYTES, [404, 404]), (MAX_BYTES, [404])],
)
def test_an_unread_body_is_not_taken_for_the_next_request(serve, size, answered):
    server = serve(lambda call: call.reply(404))
    sent = LENGTH % size + b"a" * size + b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
    assert statuses(exchange(server, sent)) == answered


def test_a_refusal_does_not_wait_for_a_body_that_never_comes(serve):
    server = serve(lambda call: call.reply(404))
    with connect(server) as caller:
        caller.sendall(LENGTH % 10)
        assert caller.recv(4096).startswith(b"HTTP/1.1 404")


@pytest.mark.parametrize("size", [MAX_BYTES, 50 * MAX_BYTES])
def test_a_caller_that_sends_all_before_it_reads_gets_its_refusal(serve, size):
    """The close of a connection with unread bytes resets it."""
    limits = ConnectionLimits(body_bytes=60 * MAX_BYTES)
    server = serve(lambda call: call.reply(503), limits=limits)
    with connect(server) as caller:
        caller.sendall(LENGTH % size + b"a" * size)
        assert statuses(answers(caller)) == [503]


@pytest.mark.parametrize(("accepted", "asked"), [(True, True), (False, False)])
def test_a_body_is_asked_for_only_if_it_will_be_read(serve, accepted, asked):
    def run(call):
        if accepted:
            call.body(MAX_BYTES)
        call.reply(200 if accepted else 404)

    server = serve(run)
    with connect(server) as caller:
        caller.sendall(HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        first = caller.recv(4096)
        assert first.startswith(b"HTTP/1.1 100 ") is asked
        if asked:
            caller.sendall(b"ok")
            assert caller.recv(4096).startswith(b"HTTP/1.1 200 ")
        else:
            # What comes next may be the body or another request.
            assert b"Connection: close" in first
            assert answers(caller) == b""


def test_a_standin_answers_with_a_body_of_any_size():
    """Answers are written in parts to a caller that reads slowly."""
    data = b"0123456789" * 1_000_000
    server = StandInServer(free_address(), lambda call: call.reply(200, data), 2)
    server.start()
    with closing(socket.create_connection(parse_address(server.address))) as caller:
        caller.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        time.sleep(2 * POLL_SECONDS)
        received = answers(caller)
    server.stop()
    assert received.endswith(b"\r\n\r\n" + data)
