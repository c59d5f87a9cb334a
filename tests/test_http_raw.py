"""The HTTP server: aborted calls, failing handlers and idle connections."""

import socket
import struct
import threading

import pytest

from platform_standins.server import StandInServer
from rows_fakes import free_address
from wigeonfront.http import raw
from wigeonfront.http.client import Answer, Pool, Unanswered


def serve(handler):
    server = StandInServer(free_address(), handler, threads=4)
    server.start()
    return server


def lose_caller(call):
    """Fail as a handler whose caller closes the connection."""
    raise ConnectionResetError


@pytest.fixture
def errors(monkeypatch):
    messages = []
    monkeypatch.setattr(
        raw,
        "_log_server_error",
        lambda message="", *rest, **more: messages.append(message),
    )
    return messages


@pytest.mark.parametrize(
    ("handler", "expected"),
    [
        (lambda call: call.reply(200, b"x"), Answer),
        (lambda call: call.abort(), Unanswered),
        (lose_caller, Unanswered),
    ],
)
def test_an_aborted_call_has_no_answer_and_logs_no_error(errors, handler, expected):
    server = serve(handler)
    answer = Pool(server.address).call("GET", "/x", timeout=2.0)
    server.stop()
    assert isinstance(answer, expected)
    assert [message for message in errors if message] == []


def test_a_failing_handler_answers_with_500():
    def fail(call):
        raise KeyError("x")

    server = serve(fail)
    assert Pool(server.address).call("GET", "/x", timeout=2.0).status == 500
    server.stop()


def test_a_body_that_is_cut_off_logs_no_handler_error(caplog):
    served = threading.Event()

    def read(call):
        try:
            call.body(100)
        finally:
            served.set()

    server = serve(read)
    host, port = server.address.split(":")
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
    assert served.wait(2.0)
    server.stop()
    assert "handler_failed" not in caplog.text


def test_idle_connections_of_many_callers_stay_open():
    """By default the library keeps only ten idle connections."""
    peers = set()

    def answer(call):
        peers.add(call.socket.getpeername())
        call.reply(200)

    server = serve(answer)
    pools = [Pool(server.address) for _ in range(60)]
    for _ in range(3):
        for pool in pools:
            assert pool.call("GET", "/x").status == 200
    assert len(peers) == 60
    for pool in pools:
        pool.close()
    server.stop()


CHUNKED = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUESTS = {
    "length": b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789",
    "no body": b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
    "chunked": CHUNKED + b"4\r\n0123\r\n06;a=b\r\n456789\r\n0\r\n\r\n",
    "trailers": CHUNKED + b"0a\r\n0123456789\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n",
}


@pytest.fixture
def recorder():
    """A server that records the body of each request that it runs."""
    bodies = []

    def run(call):
        bodies.append(call.body(100))
        call.reply(200, b"ok")

    server = serve(run)
    yield server, bodies
    server.stop()


def send_request(address, data, end):
    """Send `data`, end the sending side, and wait until the server has closed."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=2.0) as caller:
        caller.sendall(data)
        if end == "reset":
            linger = struct.pack("ii", 1, 0)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return b""
        caller.shutdown(socket.SHUT_WR)
        return b"".join(iter(lambda: caller.recv(4096), b""))


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("name", REQUESTS)
def test_a_request_cut_at_any_byte_does_not_run(recorder, name, end):
    """A chunked body ran although its last line, or a part of it, had not arrived."""
    server, bodies = recorder
    ran = []
    for cut in range(1, len(REQUESTS[name])):
        send_request(server.address, REQUESTS[name][:cut], end)
        if bodies:
            ran.append((cut, bodies.pop()))
    server.stop()
    assert ran == []
    assert bodies == []


@pytest.mark.parametrize("name", REQUESTS)
def test_a_whole_request_runs_once_and_the_next_one_too(recorder, name):
    server, bodies = recorder
    answers = send_request(server.address, REQUESTS[name] * 2, "close")
    body = b"" if name == "no body" else b"0123456789"
    assert bodies == [body, body]
    assert answers.count(b"HTTP/1.1 200 OK") == 2
