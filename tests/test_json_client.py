"""JSON calls: what is certain of a call's effect."""

import socket

import pytest

from platform_standins.server import StandInServer
from rows_fakes import free_address
from wigeonfront.coordination.rows import Unavailable
from wigeonfront.platform.json_client import (
    Answer,
    JsonClient,
    Unanswered,
    Unsent,
    parse_retry_after,
    read,
)


class Service:
    """Answers each call with the next step of a script; the last one stays."""

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
def service():
    made = []

    def make(*steps):
        made.append(Service(*steps))
        return made[-1]

    yield make
    for one in made:
        one.served.stop()


def client_of(address, **options):
    return JsonClient(address, connect_timeout=0.3, read_timeout=0.3, **options)


def test_an_answer_is_returned_whole(service):
    one = service((429, b"[1]", ("Retry-After", "2.5")))
    client = client_of(one.served.address)
    assert client.post("/p", {"x": 1}) == Answer(429, b"[1]", 2.5)
    assert one.bodies == [b'{"x":1}']
    client.close()


def test_a_read_whose_connection_was_cut_is_made_once_more(service):
    one = service("cut", (200, b"[1]"))
    client = client_of(one.served.address)
    assert read(client.get("/p", {"a": "b c"}), list[int]) == [1]
    assert len(one.bodies) == 2


def test_a_write_is_sent_once(service):
    one = service("cut")
    client = client_of(one.served.address)
    assert client.post("/p", {}) == Unanswered("cut")
    assert client.delete("/p") == Unanswered("cut")
    assert len(one.bodies) == 2


def test_without_a_connection_nothing_was_sent():
    client = client_of(free_address())
    assert isinstance(client.post("/p", {}), Unsent)
    assert isinstance(read(client.get("/p"), int), Unavailable)


@pytest.mark.parametrize("resets", [False, True])
def test_a_silent_service_is_not_waited_for(resets):
    with socket.create_server(("127.0.0.1", 0)) as silent:
        client = client_of(f"127.0.0.1:{silent.getsockname()[1]}", resets=resets)
        pool = client._pool
        assert isinstance(client.post("/p", {}), Unanswered)
        # Its other connections may be as silent.
        assert client._pool is not pool


@pytest.mark.parametrize("body", [b"", b"{", b'"x"', b"\xff"])
def test_a_malformed_answer_gives_nothing(service, body):
    client = client_of(service((200, body)).served.address)
    assert read(client.get("/p"), list[int]) == Unavailable("malformed")


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("2", 2.0), ("0", 0.0), (None, 1.0), ("-1", 1.0), ("1e9", 1.0), ("nan", 1.0)],
)
def test_retry_after(text, seconds):
    assert parse_retry_after(text) == seconds
