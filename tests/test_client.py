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
    LotUnreached,
    MintedKey,
    Request,
    RequestClient,
    Sample,
    TrainerClient,
    WatchSettings,
    entries,
    watch,
)
from wigeonfront.clock import ManualClock
from wigeonfront.http import Answer, Lost, NotSent
from wigeonfront.messages import LotBody
from wigeonfront.outcomes import Completed, Expired, Failed, NotRun, Unknown

ENTRIES = ["10.0.0.1:7700", "10.0.0.2:7700"]
LOT = Lot("step-1", "judge-llm", "scoring", 7, (Sample("a"), Sample("b")))
DONE = {"kind": "completed", "payload": [1], "target": "t"}


def progress(status, entry="entry-1", **fields):
    return answer(200, status=status, entry=entry, **fields)


class ScriptedConnections:
    """Stands in for `Connection`: plays a script of answers and records the calls.

    Questions about an open call have a script of their own.
    """

    def __init__(self, script, clock, questions=()):
        self.script = list(script)
        self.questions = [*questions, progress("in_progress", finished=1, missing=1)]
        self.clock = clock
        self.calls = []
        self.asked = []
        self.open = set()

    def __call__(self, address):
        connection = ScriptedConnection()
        connection.shared, connection.address = self, address
        return connection


class ScriptedConnection:
    idle = True

    def send(self, method, path, body, headers):
        shared = self.shared
        self.body = body
        if method == "GET":
            shared.asked.append((self.address, path))
            self.step = shared.questions.pop(0)
            shared.questions = shared.questions or [self.step]
        else:
            assert not shared.open, "one call at a time"
            shared.calls.append((shared.clock.monotonic(), self.address, body, headers))
            self.step = shared.script.pop(0)
            shared.script = shared.script or [self.step]
            shared.open.add(self)
        if not isinstance(self.step, NotSent):
            return None
        self.close()
        return self.step

    def wait(self, seconds):
        if self.step is silence:
            self.shared.clock.advance(max(0.0, seconds))
        return self.step is not silence

    def receive(self):
        self.close()
        return self.step(self.body) if callable(self.step) else self.step

    def close(self):
        self.shared.open.discard(self)


@pytest.fixture
def play(monkeypatch):
    """Return a function that makes a client whose calls meet a script."""

    def start(kind, *script, questions=(), **options):
        clock = ManualClock(1000.0)
        connections = ScriptedConnections(script, clock, questions)
        monkeypatch.setattr(entries, "Connection", connections)
        options.update(clock=clock, generator=random.Random(1))
        return kind(ENTRIES, **options), connections

    return start


def answer(http_status, retry_after=0.0, **fields):
    return Answer(http_status, msgspec.json.encode(fields), retry_after)


def whole(body):
    samples = [{"sample": each.sample, "outcome": DONE} for each in body.samples]
    return lot_answer(status="complete", samples=samples)(body)


def lot_answer(**fields):
    def make(body):
        named = {"trainer": body.trainer, "lot": body.lot}
        named["submission"] = body.submission
        return answer(200, **(named | fields))

    return make


def silence(body):
    raise AssertionError("nothing arrives")


def reply(kind, http_status=200, **fields):
    return answer(http_status, request="r", outcome={"kind": kind, **fields})


PLAIN = {"idempotent": True}
ONCE = {"idempotent": False}
KEYED = {"idempotent": False, "key": "k"}
KEYED_REQUEST = Request("order-desk", "bookings", **KEYED)
COMPLETED = reply("completed")

RECORDS_LOST = lot_answer(
    status="partial", reason="delivery_records_lost", retry_after=1.0
)

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
    ([answer(429, 2.0, error="too_many"), whole], LotAnswered),
    (
        [lot_answer(status="partial", reason="delivery_records_lost"), whole],
        LotAnswered,
    ),
    ([NotSent("refused")], LotUnreached),
    ([NotSent("refused"), Lost("cut"), NotSent("refused")], LotExpired),
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
    assert all(5.0 <= gap <= 5.0 + entries.LONGEST_PAUSE for gap in gaps)
    assert len(set(gaps)) == len(gaps)


def test_lot_is_posted_at_once_after_delivery_records_were_lost(play):
    trainer, shared = play(TrainerClient, RECORDS_LOST, whole, trainer="t")
    assert trainer.submit_lot(LOT).submission == 2
    assert [call[0] for call in shared.calls] == [1000.0, 1000.0]


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
    assert end == AcknowledgementUnknown("timeout")
    assert pools.clock.monotonic() <= 1010 + client.GRACE_SECONDS


# --- silent connections ------------------------------------------------------

UNKNOWN_CALL = progress("unknown")
ANSWERED_CALL = progress("answered")
IN_PROGRESS = progress("in_progress", finished=1, missing=1)
OLDER_ENTRY = answer(404, error="no_such_path")
REFUSED = [NotSent("refused")] * 2
CHECK = watch.CHECK_SECONDS
GRACE = watch.ANSWER_GRACE_SECONDS
ASK = watch.ASK_SECONDS

# Answers to the questions about a silent call, and how long it is kept open.
WATCH_TABLE = [
    ([ANSWERED_CALL], CHECK + GRACE),
    ([UNKNOWN_CALL], CHECK + GRACE),
    ([IN_PROGRESS, IN_PROGRESS, ANSWERED_CALL], 3 * CHECK + GRACE),
    ([silence] * 3, 3 * (CHECK + ASK)),
    ([NotSent("refused")] * 3, 3 * CHECK),
    ([*REFUSED, IN_PROGRESS, *REFUSED, ANSWERED_CALL], 6 * CHECK + GRACE),
    ([OLDER_ENTRY], 10.0),
    # Behind a balancer another entry may be met.
    ([IN_PROGRESS, progress("unknown", "entry-2"), UNKNOWN_CALL], 3 * CHECK + GRACE),
    ([IN_PROGRESS, *[progress("unknown", "entry-2")] * 20], 10.0),
]


@pytest.mark.parametrize(
    ("kind", "call", "answered"),
    [
        (TrainerClient, lambda trainer: trainer.submit_lot(LOT, 30), whole),
        (RequestClient, lambda caller: caller.call(KEYED_REQUEST, 30, 10), COMPLETED),
    ],
)
@pytest.mark.parametrize(("questions", "seconds"), WATCH_TABLE)
def test_silent_call_is_given_up(play, kind, call, answered, questions, seconds):
    options = {"watch": WatchSettings()}
    if kind is TrainerClient:
        options["trainer"] = "t1"
    made, shared = play(kind, silence, answered, questions=questions, **options)
    assert isinstance(call(made), LotAnswered | Completed)
    (first, entry, *_), (second, other, *_) = shared.calls
    # The pause before the next try.
    assert seconds <= second - first <= seconds + entries.FIRST_PAUSE
    assert {address for address, _ in shared.asked} == {entry} != {other}


def test_balancer_is_believed_once_each_known_entry_has_no_such_call(play):
    questions = [progress("in_progress", "b"), ANSWERED_CALL]
    questions += [UNKNOWN_CALL, progress("unknown", "b")]
    trainer, shared = play(
        TrainerClient, silence, silence, whole, questions=questions, trainer="t1"
    )
    trainer._entries._all[1:] = []
    trainer._entries._next = 0
    trainer.submit_lot(LOT, timeout=60)
    times = [call[0] for call in shared.calls]
    # The second call is kept open for two questions, and for twice the grace.
    assert times[2] - times[1] == pytest.approx(2 * CHECK + 2 * GRACE, abs=0.1)


def test_progress_of_just_this_submission_is_asked_and_told(play):
    told = []
    lot = replace(LOT, lot="a/b c", first_submission=4)
    trainer, shared = play(
        TrainerClient,
        silence,
        whole,
        questions=[
            progress("in_progress", finished=1, missing=1),
            ANSWERED_CALL,
        ],
        trainer="t1",
        samples_told=told.append,
    )
    trainer.submit_lot(lot)
    assert shared.asked[0][1] == "/v1/lots/t1/a%2Fb%20c?submission=4"
    assert told == [watch.LotProgress(4, 1, 1)]


def test_request_that_may_not_be_repeated_is_not_given_up(play):
    questions = [ANSWERED_CALL]
    caller, shared = play(RequestClient, silence, questions=questions)
    end = caller.call(Request("order-desk", "bookings", **ONCE), timeout=10)
    assert (end, len(shared.calls), shared.asked) == (Unknown("timeout"), 1, [])


# --- requests ----------------------------------------------------------------


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


@pytest.mark.parametrize(
    ("script", "submissions"),
    [
        ([silence, silence, COMPLETED], [1, 2, 3]),
        # What certainly did not run leaves the next one the first.
        ([NotSent("refused"), NOT_RUN, COMPLETED], [1, 1, 1]),
        ([OVERLOADED, Lost("cut"), NOT_RUN, COMPLETED], [1, 1, 2, 2]),
        (
            [NOT_RUN, NotSent("refused"), WARNED, Lost("cut"), COMPLETED],
            [1, 1, 1, 2, 3],
        ),
    ],
)
def test_key_and_submission_are_sent(play, script, submissions):
    caller, shared = play(RequestClient, *script)
    caller.call(KEYED_REQUEST, timeout=30, patience=2)
    assert [call[2].submission for call in shared.calls] == submissions
    assert {call[3]["Idempotency-Key"] for call in shared.calls} == {"k"}
    names = [call[3]["X-Request-Id"] for call in shared.calls]
    assert len(set(names)) == len(names)


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([answer(200, key="a/k.3")], MintedKey("a/k.3")),
        ([Lost("cut"), NOT_RUN, answer(200, key="k")], MintedKey("k")),
        ([answer(403, error="no_such_catalogue_entry")], CallRejected),
        ([NotSent("refused")], NotRun),
    ],
)
def test_minted_key(play, script, expected):
    caller, _ = play(RequestClient, *script)
    end = caller.mint_key("order-desk", "bookings", timeout=5)
    assert end == expected or type(end) is expected


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


CUT_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"trainer"'


def http_answer(message):
    body = message.body
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def read_post(connection):
    head, _, body = connection.recv(65_536).partition(b"\r\n\r\n")
    assert head.startswith(b"POST")
    while b"}]}" not in body:
        body += connection.recv(65_536)
    return msgspec.json.decode(body, type=LotBody)


@pytest.mark.parametrize("silent", [False, True])
def test_connection_is_closed_before_the_lot_is_posted_again(silent):
    """A cut or silent POST is not accepted; its connection ends before the next."""
    listener = socket.create_server(("127.0.0.1", 0))
    closed_first = []

    def serve():
        first, _ = listener.accept()
        read_post(first)
        if silent:
            asking, _ = listener.accept()
            asking.recv(65_536)
            asking.sendall(http_answer(ANSWERED_CALL))
        else:
            first.sendall(CUT_ANSWER)
            first.shutdown(socket.SHUT_WR)
        while first.recv(65_536):
            pass
        closed_first.append(True)
        second, _ = listener.accept()
        second.sendall(http_answer(whole(read_post(second))))
        second.close()

    server = threading.Thread(target=serve, daemon=True)
    server.start()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    settings = WatchSettings(check_seconds=0.01 if silent else 10, grace_seconds=0.01)
    trainer = TrainerClient([address], "t1", watch=settings)
    end = trainer.submit_lot(LOT, timeout=20)
    trainer.close()
    server.join(10)
    listener.close()
    assert isinstance(end, LotAnswered)
    assert (end.submission, closed_first) == (2, [True])
