"""`JsonClient`: which calls may have taken effect, and which are retried."""

import socket

import pytest

from platform_standins.server import StandInServer
from rows_fakes import free_address
from wigeonfront.coordination.rows import Unavailable
from wigeonfront.platform.json_client import (
    Answer,
    JsonClient,
    NotSent,
    Unanswered,
    parse_retry_after,
    read,
)


class Service:
    """Answers each call with the next step of a script, and repeats the last step."""

    def __init__(self, *steps):
        self.steps = list(steps)
        self.bodies = []
        self.served = StandInServer(free_address(), self._answer, threads=4)
        self.served.start()

    def _answer(self, call):
        self.bodies.append(call.body(10_000))
        step = self.steps.pop(0) if len(self.steps) > 1 else self.steps[0]
        if step == "cut":
            call.abort()
        else:
            status, body, *headers = step
            call.reply(status, body, headers)


@pytest.fixture
def make_service():
    services = []

    def make(*steps):
        services.append(Service(*steps))
        return services[-1]

    yield make
    for started in services:
        started.served.stop()


def client_of(address, **options):
    return JsonClient(address, connect_timeout=0.3, read_timeout=0.3, **options)


def test_status_body_and_retry_after_of_an_answer_are_returned(make_service):
    service = make_service((429, b"[1]", ("Retry-After", "2.5")))
    client = client_of(service.served.address)
    assert client.post("/p", {"x": 1}) == Answer(429, b"[1]", 2.5)
    assert service.bodies == [b'{"x":1}']
    client.close()


def test_a_read_is_retried_once_if_its_connection_is_closed(make_service):
    service = make_service("cut", (200, b"[1]"))
    client = client_of(service.served.address)
    assert read(client.get("/p", {"a": "b c"}), list[int]) == [1]
    assert len(service.bodies) == 2


def test_a_write_is_not_retried_if_its_connection_is_closed(make_service):
    service = make_service("cut")
    client = client_of(service.served.address)
    assert client.post("/p", {}) == Unanswered("cut")
    assert client.delete("/p") == Unanswered("cut")
    assert len(service.bodies) == 2


def test_a_call_without_a_connection_is_not_sent():
    client = client_of(free_address())
    assert isinstance(client.post("/p", {}), NotSent)
    assert isinstance(read(client.get("/p"), int), Unavailable)


@pytest.mark.parametrize("reset_on_close", [False, True])
def test_a_timeout_drops_all_connections(reset_on_close):
    with socket.create_server(("127.0.0.1", 0)) as silent:
        client = client_of(
            f"127.0.0.1:{silent.getsockname()[1]}", reset_on_close=reset_on_close
        )
        pool = client._pool
        assert isinstance(client.post("/p", {}), Unanswered)
        # The other connections may be silent as well.
        assert client._pool is not pool


@pytest.mark.parametrize("body", [b"", b"{", b'"x"', b"\xff"])
def test_a_malformed_answer_is_unavailable(make_service, body):
    client = client_of(make_service((200, body)).served.address)
    assert read(client.get("/p"), list[int]) == Unavailable("malformed")


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("2", 2.0), ("0", 0.0), (None, 1.0), ("-1", 1.0), ("1e9", 1.0), ("nan", 1.0)],
)
def test_retry_after_in_seconds_or_the_default(text, seconds):
    assert parse_retry_after(text) == seconds
