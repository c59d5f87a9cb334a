import socket
import threading

import pytest

from platform_standins.server import StandInServer
from rows_fakes import free_address
from wigeonfront.http import raw
from wigeonfront.http.client import Answer, Lost, Pool


def serve(handler):
    server = StandInServer(free_address(), handler, threads=4)
    server.start()
    return server


def lose_caller(call):
    raise ConnectionResetError


@pytest.fixture
def errors(monkeypatch):
    seen = []
    monkeypatch.setattr(
        raw, "_log_server_error", lambda message="", *rest, **more: seen.append(message)
    )
    return seen


@pytest.mark.parametrize(
    ("handler", "expected"),
    [
        (lambda call: call.reply(200, b"x"), Answer),
        (lambda call: call.abort(), Lost),
        (lose_caller, Lost),
    ],
)
def test_a_call_that_is_cut_off_has_no_answer_and_is_no_error(
    errors, handler, expected
):
    server = serve(handler)
    answer = Pool(server.address).call("GET", "/x", timeout=2.0)
    server.stop()
    assert isinstance(answer, expected)
    assert [message for message in errors if message] == []


def test_a_handler_that_fails_is_answered_with_500():
    def fail(call):
        raise KeyError("x")

    server = serve(fail)
    assert Pool(server.address).call("GET", "/x", timeout=2.0).status == 500
    server.stop()


def test_a_call_that_is_cut_in_its_body_is_no_error(caplog):
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


def test_many_callers_keep_their_connections():
    """More than the ten that the library keeps by default."""
    seen = set()

    def answer(call):
        seen.add(call.socket.getpeername())
        call.reply(200)

    server = serve(answer)
    pools = [Pool(server.address) for _ in range(60)]
    for _ in range(3):
        for pool in pools:
            assert pool.call("GET", "/x").status == 200
    assert len(seen) == 60
    for pool in pools:
        pool.close()
    server.stop()
