"""Informational answers: each request gets its own final answer behind them."""

import time

import pytest

from answer_readers import NOT_WHOLE, READERS, SEALED_HEAD
from raw_targets import ListeningTarget
from test_forwarding import read_request
from wigeonfront.http.client import Answer, Pool, Unanswered

PAUSE_SECONDS = 0.1
BODY = b"id: 1\ndata: x\n\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
WHOLE = SEALED_HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY


class HintingTarget(ListeningTarget):
    """Sends other answers first, and the final one a moment later."""

    def __init__(self, first):
        super().__init__()
        self._first = first

    def _answer(self, connection):
        with connection:
            try:
                number = 0
                while read_request(connection):
                    connection.sendall(self._first)
                    time.sleep(PAUSE_SECONDS)
                    body = b"%d" % number
                    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                    connection.sendall(head % len(body) + body)
                    number += 1
            except OSError:
                return


@pytest.fixture
def make_target():
    made = []

    def make(first):
        made.append(HintingTarget(first))
        return made[-1]

    yield make
    for target in made:
        target.close()


@pytest.mark.parametrize("status", [b"100", b"102", b"103", b"199"])
def test_each_call_gets_its_own_answer_behind_informational_ones(make_target, status):
    # A 103 was taken for the final answer, and the next call got this call's answer.
    target = make_target(b"HTTP/1.1 " + status + b" Hint\r\nLink: </a>\r\n\r\n")
    pool = Pool(target.address)
    answers = [pool.call("GET", "/") for _ in range(4)]
    assert answers == [Answer(200, b"%d" % number) for number in range(4)]


@pytest.mark.parametrize(
    "first",
    [
        pytest.param(
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", id="101"
        ),
        pytest.param(EARLY_HINTS * 10_000, id="more than a head may have"),
    ],
)
def test_an_answer_that_is_not_asked_for_is_broken(make_target, first):
    target = make_target(first)
    pool = Pool(target.address)
    for _ in range(2):
        assert isinstance(pool.call("GET", "/"), Unanswered)


class HintingEngine(ListeningTarget):
    """Sends an early hint and a moment later the answer of `REQUEST`."""

    def _answer(self, connection):
        with connection:
            try:
                while read_request(connection):
                    connection.sendall(EARLY_HINTS)
                    time.sleep(PAUSE_SECONDS)
                    connection.sendall(WHOLE)
            except OSError:
                return


@pytest.mark.parametrize("reader", READERS, ids=lambda reader: reader.__name__)
def test_each_way_of_reading_skips_informational_answers(reader):
    target = HintingEngine()
    try:
        read = reader(target.address)
        outcomes = [read() for _ in range(3)]
    finally:
        target.close()
    for outcome in outcomes:
        whole = type(outcome).__name__ not in NOT_WHOLE
        assert whole or getattr(outcome, "reason", "") == "malformed", outcome
