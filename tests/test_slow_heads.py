"""Heads of answers that arrive slowly, or break off after a pause."""

import time
from functools import partial

import pytest

from answer_readers import NOT_WHOLE, READERS, SEALED_HEAD
from raw_targets import ListeningTarget
from test_forwarding import read_request

BODY = b"id: 1\ndata: x\n\n"
WHOLE = SEALED_HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
PAUSE_SECONDS = 0.1
BYTE_SECONDS = 0.0005
CUTS = [1, 12, len(b"HTTP/1.1 200 OK\r\n"), len(SEALED_HEAD) - 2, len(SEALED_HEAD)]


class SteppingTarget(ListeningTarget):
    """Answers each request by a function of the connection, then closes it."""

    def __init__(self, answer):
        super().__init__()
        self._step = answer

    def _answer(self, connection):
        with connection:
            try:
                if read_request(connection):
                    self._step(connection)
            except OSError:
                return


@pytest.fixture
def outcome_of():
    targets = []

    def read(reader, answer):
        targets.append(SteppingTarget(answer))
        return reader(targets[-1].address)()

    yield read
    for target in targets:
        target.close()


def cut_after_pause(cut, connection):
    connection.sendall(WHOLE[:cut])
    time.sleep(PAUSE_SECONDS)


def send_single_bytes(connection):
    for number in range(len(WHOLE)):
        connection.sendall(WHOLE[number : number + 1])
        time.sleep(BYTE_SECONDS)


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("reader", READERS, ids=lambda reader: reader.__name__)
def test_a_head_that_breaks_off_after_a_pause_is_no_answer(outcome_of, reader, cut):
    outcome = outcome_of(reader, partial(cut_after_pause, cut))
    assert type(outcome).__name__ in NOT_WHOLE
    assert getattr(outcome, "reason", "") != "malformed"


@pytest.mark.parametrize("reader", READERS, ids=lambda reader: reader.__name__)
def test_an_answer_in_single_bytes_is_whole(outcome_of, reader):
    outcome = outcome_of(reader, send_single_bytes)
    whole = type(outcome).__name__ not in NOT_WHOLE
    assert whole or getattr(outcome, "reason", "") == "malformed", outcome
