"""Clients against scripted answers: what is sent again, and how calls end."""

import random
import socket
import threading
from dataclasses import replace
from itertools import pairwise

import msgspec
import pytest

from wigeonfront import client
from wigeonfront.client import (
    Acknowledged,
    AcknowledgementUnknown,
    CallRejected,
    Lot,
    LotAlreadyDelivered,
    LotAnswered,
    LotExpired,
    LotRefused,
    LotSuperseded,
    Request,
    RequestClient,
    Sample,
    TrainerClient,
)
from wigeonfront.clock import ManualClock
from wigeonfront.http import Answer, Lost, NotSent
from wigeonfront.messages import LotBody
from wigeonfront.outcomes import Completed, Expired, Failed, NotRun, Unknown

ENTRIES = ["10.0.0.1:7700", "10.0.0.2:7700"]
LOT = Lot("step-1", "judge-llm", "scoring", 7, (Sample("a"), Sample("b")))
DONE = {"kind": "completed", "payload": [1], "target": "t"}


class ScriptedPools:
    """Stands in for `Pool`: plays a script of answers and records the calls."""

    def __init__(self, script, clock):
        self.script = list(script)
        self.clock = clock
        self.calls = []
        self.open = 0

    def __call__(self, address):
        pool = ScriptedPool()
        pool.shared, pool.address = self, address
        return pool


class ScriptedPool:
    def reset(self):
        pass

    def call(self, method, path, body=None, headers=None, timeout=None):
        shared = self.shared
        assert not shared.open, "one call at a time"
        shared.open += 1
        shared.calls.append((shared.clock.monotonic(), self.address, body, headers))
        step = shared.script.pop(0) if len(shared.script) > 1 else shared.script[0]
        answer = step(body, timeout, shared.clock) if callable(step) else step
        shared.open -= 1
        return answer


@pytest.fixture
def play(monkeypatch):
    """Return a function that makes a client whose calls meet a script."""

    def start(kind, *script, **options):
        clock = ManualClock(1000.0)
        pools = ScriptedPools(script, clock)
        monkeypatch.setattr(client, "Pool", pools)
        options.update(clock=clock, generator=random.Random(1))
        return kind(ENTRIES, **options), pools

    return start


def answer(http_status, retry_after=0.0, **fields):
    return Answer(http_status, msgspec.json.encode(fields), retry_after)


def whole(body, timeout, clock):
    samples = [{"sample": each.sample, "outcome": DONE} for each in body.samples]
    return lot_answer(status="complete", samples=samples)(body, timeout, clock)


def lot_answer(**fields):
    def make(body, timeout, clock):
        named = {"trainer": body.trainer, "lot": body.lot}
        named["submission"] = body.submission
        return answer(200, **(named | fields))

    return make


def silence(body, timeout, clock):
    clock.advance(timeout)
    return Lost("ReadTimeoutError")


LOT_TABLE = [
    ([whole], LotAnswered),
    ([NotSent("refused"), whole], LotAnswered),
    ([Lost("ProtocolError"), whole], LotAnswered),
    ([Answer(200, b'{"trainer": "trai'), whole], LotAnswered),
    ([Answer(502, b"<html>"), whole], LotAnswered),
    ([lot_answer(status="complete", samples=[]), whole], LotAnswered),
    ([lot_answer(status="complete", trainer="other"), whole], LotAnswered),
    ([lot_answer(status="complete", submission=9), whole], LotAnswered),
    ([lot_answer(status="not_run", retry_after=2.0), whole], LotAnswered),
    ([answer(503, 1.0, error="overloaded"), whole], LotAnswered),
    ([lot_answer(status="superseded")], LotSuperseded),
    ([lot_answer(status="already_delivered")], LotAlreadyDelivered),
    ([lot_answer(status="partial", missing=1)], LotExpired),
    ([silence], LotExpired),
    ([lot_answer(status="not_run", reason="full", retry_after=100.0)], LotRefused),
    ([answer(422, error="bad_field", detail="$.version")], CallRejected),
    ([answer(404, error="unknown_service")], CallRejected),
]


@pytest.mark.parametrize(("script", "ending"), LOT_TABLE)
def test_lot_ends(play, script, ending):
    trainer, pools = play(TrainerClient, *script, trainer="t1")
    end = trainer.submit_lot(LOT, timeout=60)
    assert isinstance(end, ending)
    # Every POST has the next submission, goes to the other entry and keeps to
    # the one deadline.
    submissions = [call[2].submission for call in pools.calls]
    assert submissions == list(range(1, len(submissions) + 1))
    turns = [call[1] for call in pools.calls]
    assert all(a != b for a, b in pairwise(turns))
    for when, _, body, _ in pools.calls:
        assert when + body.timeout <= 1060 + 1e-6
    assert pools.clock.monotonic() <= 1060 + client.GRACE_SECONDS


def test_answered_lot_has_an_outcome_for_every_sample(play):
    trainer, _ = play(TrainerClient, Lost("cut"), whole, trainer="t1")
    end = trainer.submit_lot(LOT)
    assert dict(end.outcomes) == {
        "a": Completed([1], (), "t"),
        "b": Completed([1], (), "t"),
    }
    assert (end.submission, trainer.discarded) == (2, 0)


def test_foreign_answers_are_counted(play):
    foreign = lot_answer(status="complete", lot="step-0")
    trainer, _ = play(TrainerClient, foreign, foreign, whole, trainer="t1")
    assert isinstance(trainer.submit_lot(LOT), LotAnswered)
    assert trainer.discarded == 2


def test_retry_after_is_a_lower_bound(play):
    refusal = lot_answer(status="not_run", retry_after=5.0)
    trainer, pools = play(TrainerClient, refusal, refusal, refusal, whole, trainer="t")
    trainer.submit_lot(LOT)
    times = [call[0] for call in pools.calls]
    gaps = [later - sooner for sooner, later in pairwise(times)]
    assert all(5.0 <= gap <= 5.0 + client.LONGEST_PAUSE for gap in gaps)
    assert len(set(gaps)) == len(gaps)


def test_refusal_beyond_the_deadline_is_told_at_once(play):
    refusal = lot_answer(status="not_run", reason="full", retry_after=61.0)
    trainer, pools = play(TrainerClient, refusal, trainer="t1")
    assert trainer.submit_lot(LOT, timeout=60) == LotRefused("full", 61.0, 1)
    assert pools.clock.monotonic() == 1000.0


def test_restarted_trainer_goes_on_with_a_higher_submission(play):
    trainer, pools = play(TrainerClient, whole, trainer="t1")
    end = trainer.submit_lot(replace(LOT, first_submission=41))
    assert end.submission == pools.calls[0][2].submission == 41


@pytest.mark.parametrize(
    ("script", "expected", "calls"),
    [
        ([answer(200)], Acknowledged(), 1),
        ([Lost("cut"), NotSent("refused"), answer(200)], Acknowledged(), 3),
        ([answer(503, 1.0, error="unavailable"), answer(200)], Acknowledged(), 2),
        ([answer(404, error="x")], CallRejected(404, "x"), 1),
    ],
)
def test_acknowledge_until_known(play, script, expected, calls):
    trainer, pools = play(TrainerClient, *script, trainer="t1")
    assert trainer.acknowledge(LOT) == expected
    assert len(pools.calls) == calls


def test_acknowledge_gives_up_at_its_deadline(play):
    trainer, pools = play(TrainerClient, silence, trainer="t1")
    end = trainer.acknowledge(LOT, timeout=10)
    assert end == AcknowledgementUnknown("ReadTimeoutError")
    assert pools.clock.monotonic() <= 1010 + client.GRACE_SECONDS


# --- requests ----------------------------------------------------------------


def reply(kind, http_status=200, **fields):
    return answer(http_status, request="r", outcome={"kind": kind, **fields})


PLAIN = {"idempotent": True}
ONCE = {"idempotent": False}
KEYED = {"idempotent": False, "key": "k"}
COMPLETED = reply("completed")
NOT_RUN = reply("not_run", 503, reason="full", retry_after=1.0)
WARNED = reply("not_run", 503, reason="moved", warning="may have run")
LOST_KEY = reply(
    "not_run", 503, reason="moved", warning="may have run", retry_after=600.0
)
UNKNOWN = reply("unknown", 409, reason="side_restarted")
OVERLOADED = answer(503, 1.0, error="overloaded")

REQUEST_TABLE = [
    # request, script, ending, calls
    (PLAIN, [COMPLETED], Completed(None), 1),
    (PLAIN, [Lost("cut"), COMPLETED], Completed(None), 2),
    (PLAIN, [UNKNOWN, COMPLETED], Completed(None), 2),
    (PLAIN, [reply("failed", 500, reason="bug", status=500)], Failed("bug", 500), 1),
    (ONCE, [COMPLETED], Completed(None), 1),
    (ONCE, [NotSent("refused"), COMPLETED], Completed(None), 2),
    (ONCE, [NOT_RUN, COMPLETED], Completed(None), 2),
    (ONCE, [OVERLOADED, COMPLETED], Completed(None), 2),
    (ONCE, [WARNED, COMPLETED], Unknown("may have run"), 1),
    (ONCE, [Lost("cut"), COMPLETED], Unknown("cut"), 1),
    (ONCE, [Answer(503, b"<html>"), COMPLETED], Unknown("bad_answer"), 1),
    (ONCE, [Answer(502, b'{"error": "bad"}'), COMPLETED], Unknown("bad"), 1),
    (ONCE, [Answer(200, b"{}"), COMPLETED], Unknown("bad_answer"), 1),
    (ONCE, [UNKNOWN, COMPLETED], Unknown("side_restarted"), 1),
    (KEYED, [Lost("cut"), COMPLETED], Completed(None), 2),
    (KEYED, [UNKNOWN, COMPLETED], Completed(None), 2),
    (KEYED, [Lost("cut"), WARNED, COMPLETED], Completed(None), 3),
    (KEYED, [WARNED, COMPLETED], Completed(None), 2),
    (KEYED, [Lost("cut"), LOST_KEY, COMPLETED], Unknown("cut"), 2),
    (KEYED, [LOST_KEY, COMPLETED], Unknown("may have run"), 1),
    (KEYED, [Lost("cut"), NOT_RUN, COMPLETED], Completed(None), 3),
    (PLAIN, [reply("expired", 504, started=False)], Expired(False, 0.0), 1),
    (KEYED, [Lost("cut"), reply("expired", 504)], Expired(True, 0.0), 2),
    (PLAIN, [answer(422, error="bad_field")], CallRejected(422, "bad_field"), 1),
]


@pytest.mark.parametrize(
    ("request_fields", "script", "expected", "calls"), REQUEST_TABLE
)
def test_request_ends(play, request_fields, script, expected, calls):
    caller, pools = play(RequestClient, *script)
    end = caller.call(Request("order-desk", "bookings", **request_fields))
    assert end == expected
    assert len(pools.calls) == calls


@pytest.mark.parametrize("fields", [PLAIN, ONCE, KEYED])
@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([NOT_RUN], NotRun),
        ([NotSent("refused")], NotRun),
        ([Lost("cut"), NOT_RUN], Unknown),
        ([silence], Unknown),
    ],
)
def test_not_run_is_said_only_when_no_submission_can_have_run(
    play, fields, script, expected
):
    caller, pools = play(RequestClient, *script)
    end = caller.call(Request("order-desk", "bookings", **fields), timeout=10)
    assert isinstance(end, expected)
    assert pools.clock.monotonic() <= 1010 + client.GRACE_SECONDS


def test_key_and_rising_submission_are_sent(play):
    caller, pools = play(RequestClient, silence, silence, COMPLETED)
    request = Request("order-desk", "bookings", idempotent=False, key="k")
    caller.call(request, timeout=30, patience=2)
    sent = [(call[2].submission, call[3]) for call in pools.calls]
    assert sent == [(number, {"Idempotency-Key": "k"}) for number in (1, 2, 3)]


def test_submission_stays_first_until_one_may_have_run(play):
    script = [NOT_RUN, NotSent("refused"), WARNED, Lost("cut"), COMPLETED]
    caller, pools = play(RequestClient, *script)
    caller.call(Request("order-desk", "bookings", idempotent=False, key="k"))
    assert [call[2].submission for call in pools.calls] == [1, 1, 1, 2, 3]


def test_first_submission_is_proved_newer_than_a_loss(play):
    lost = reply("not_run", 503, reason="key_records_lost", slot_epoch=7)
    caller, pools = play(RequestClient, lost, Lost("cut"), lost, COMPLETED)
    end = caller.call(Request("order-desk", "bookings", idempotent=False, key="k"))
    sent = [(call[2].submission, call[2].slot_epoch) for call in pools.calls]
    assert sent == [(1, 0), (1, 7), (2, 0), (2, 0)]
    assert end == Completed(None)


def test_service_is_quoted_in_the_path():
    assert client.request_path("a/b c") == "/v1/services/a%2Fb%20c/requests"


# --- a real connection -------------------------------------------------------


def test_connection_is_closed_before_the_lot_is_posted_again():
    """A cut answer is not accepted; its connection has ended before the repost."""
    listener = socket.create_server(("127.0.0.1", 0))
    closed_first = []

    def serve():
        first, _ = listener.accept()
        first.recv(65_536)
        first.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"trainer"')
        first.shutdown(socket.SHUT_WR)
        while first.recv(65_536):
            pass
        closed_first.append(True)
        second, _ = listener.accept()
        body = b""
        while b"}]}" not in body:
            body += second.recv(65_536)
        sent = msgspec.json.decode(body.split(b"\r\n\r\n", 1)[1], type=LotBody)
        reply_body = whole(sent, 0, None).body
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(reply_body)}\r\n\r\n"
        second.sendall(head.encode() + reply_body)
        second.close()

    server = threading.Thread(target=serve, daemon=True)
    server.start()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    trainer = TrainerClient([address], "t1")
    end = trainer.submit_lot(LOT, timeout=20)
    trainer.close()
    server.join(10)
    listener.close()
    assert isinstance(end, LotAnswered)
    assert (end.submission, closed_first) == (2, [True])
