"""The HTTP server: aborted calls, failing handlers and idle connections."""

import socket
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
