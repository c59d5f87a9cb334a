"""Tests of the clients against entries with scripted answers."""

import random
from dataclasses import replace

import msgspec
import pytest

from platform_standins.server import StandInServer
from rows_fakes import free_address
from wigeonfront import client
from wigeonfront.clock import ManualClock
from wigeonfront.outcomes import Completed, Expired, Failed, GivenUp, NotRun, Unknown

LOT = client.Lot(
    "l 1",
    "lots",
    "m",
    version=7,
    bound=1,
    samples=(
        client.Sample("a", {"x": 1}, group="g"),
        client.Sample("b", group="g", reward_call=client.RewardCall("score", "p")),
        client.Sample("c"),
    ),
)


class ScriptedEntry:
    """An entry that answers each call with the next scripted answer.

    It repeats the last one; the answer ``cut`` closes the connection without a reply.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.server = StandInServer(free_address(), self._answer, threads=4)
        self.server.start()

    @property
    def address(self):
        return self.server.address

    def _answer(self, call):
        body = call.body(1_000_000)
        data = msgspec.json.decode(body) if body else None
        self.calls.append((call.method, call.target, data, call.headers))
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer == "cut":
            call.abort()
            return
        status, document, *after = answer
        headers = [("Retry-After", str(after[0]))] if after else []
        call.reply_json(status, document, headers)


@pytest.fixture
def entries():
    started = []

    def make(*answers):
        started.append(ScriptedEntry(*answers))
        return started[-1]

    yield make
    for entry in started:
        entry.server.stop()


def result(sample, kind="completed", **fields):
    return {"sample": sample, "kind": kind, **fields}


def page(*results, total=3, after=0):
    document = {
        "total": total,
        "results": list(results),
        "next": after + len(results),
    }
    return 200, document


ACCEPTED = (202, {"lot": "l 1", "samples": 3})
WHOLE = (
    page(result("a", text="t", versions=[6, 7]), result("b", score="s", text="u")),
    page(result("c", "given_up"), after=2),
)


def trainer(*addresses, clock=None, **options):
    return client.TrainerClient(
        addresses, "t", clock or ManualClock(), random.Random(1), **options
    )


def test_lot_is_submitted_read_page_by_page_and_acknowledged(entries):
    reports = []
    entry = entries(ACCEPTED, *WHOLE, (200, {"trainer": "t", "lot": "l 1"}))
    trainer_client = trainer(entry.address, samples_told=reports.append)
    answer = trainer_client.submit_lot(LOT)
    assert answer.outcomes == {
        "a": Completed("t", (6, 7)),
        "b": Completed("u", (), "s"),
        "c": GivenUp(),
    }
    assert isinstance(trainer_client.acknowledge(LOT), client.Acknowledged)
    trainer_client.close()
    submitted, first, second, acknowledged = entry.calls
    body = submitted[2]
    assert (body["version"], body["bound"], body["model"]) == (7, 1, "m")
    assert body["samples"][1]["reward_call"]["route"] == "score"
    assert first[1].startswith("/v1/lots/t/l%201?after=0")
    assert second[1].startswith("/v1/lots/t/l%201?after=2")
    assert acknowledged[2] == {"trainer": "t", "lot": "l 1"}
    assert [progress.finished for progress in reports] == [2, 3]


def test_trainer_waits_only_for_the_wanted_groups(entries):
    entry = entries(ACCEPTED, WHOLE[0])
    wanted = replace(LOT, wanted_groups=1)
    answer = trainer(entry.address).submit_lot(wanted)
    assert set(answer.outcomes) == {"a", "b"}


@pytest.mark.parametrize(
    ("answers", "kind"),
    [
        (["cut", ACCEPTED, *WHOLE], client.LotAnswered),
        ([(503, {"error": "not_run"}, 0.2), ACCEPTED, *WHOLE], client.LotAnswered),
        ([(504, {"error": "unknown"}), ACCEPTED, *WHOLE], client.LotAnswered),
        ([ACCEPTED, "cut", (503, {"error": "x"}), *WHOLE], client.LotAnswered),
        ([(410, {"error": "already_delivered"})], client.LotAlreadyDelivered),
        ([(422, {"error": "bad_field", "detail": "d"})], client.CallRejected),
        ([(503, {"error": "not_run"}, 0.2)], client.LotRefused),
        ([ACCEPTED, (503, {"error": "x"}, 1.0)], client.LotExpired),
        ([ACCEPTED, (404, {"error": "no_such_lot"})], client.CallRejected),
    ],
)
def test_outcome_of_a_lot(entries, answers, kind):
    entry = entries(*answers)
    trainer_client = trainer(entry.address, entry.address)
    end = trainer_client.submit_lot(LOT, timeout=8.0)
    assert isinstance(end, kind), end
    trainer_client.close()


def test_lot_is_unreached_if_no_entry_answers():
    trainer_client = trainer(free_address(), free_address())
    end = trainer_client.submit_lot(LOT, timeout=2.0)
    assert isinstance(end, client.LotUnreached)
    unknown = trainer_client.acknowledge(LOT, timeout=1.0)
    assert isinstance(unknown, client.AcknowledgementUnknown)


def test_retry_after_beyond_the_deadline_ends_the_call_at_once(entries):
    entry = entries((503, {"error": "not_run", "detail": "full"}, 60))
    clock = ManualClock()
    end = trainer(entry.address, clock=clock).submit_lot(LOT, timeout=5.0)
    assert (end.reason, end.retry_after) == ("full", 60)
    assert clock.monotonic() == 0.0
    assert len(entry.calls) == 1


# --- requests ----------------------------------------------------------------


def outcome(http_status, kind, **fields):
    return http_status, {"request": "r", "outcome": {"kind": kind, **fields}}


DONE = outcome(200, "completed", payload={"y": 2})
BOOKING = client.Request("booking", {"x": 1}, idempotent=False)
KEYED = client.Request("booking", {"x": 1}, idempotent=False, key="k")
PLAIN = client.Request("plain", {"x": 1}, path="p")
NOT_RUN = outcome(503, "not_run", reason="full", retry_after=0.1)


@pytest.mark.parametrize(
    ("request_", "answers", "expected", "sends"),
    [
        (PLAIN, [DONE], Completed({"y": 2}), 1),
        (PLAIN, ["cut", DONE], Completed({"y": 2}), 2),
        (PLAIN, [NOT_RUN, DONE], Completed({"y": 2}), 2),
        (
            PLAIN,
            [outcome(418, "failed", reason="no", status=418)],
            Failed("no", 418),
            1,
        ),
        (BOOKING, [NOT_RUN, NOT_RUN, DONE], Completed({"y": 2}), 3),
        (BOOKING, ["cut"], Unknown, 1),
        (BOOKING, [outcome(409, "unknown", reason="cut")], Unknown("cut"), 1),
        (BOOKING, [outcome(504, "expired", retry_after=1.0)], Expired(1.0), 1),
        (KEYED, ["cut", DONE], Completed({"y": 2}), 2),
        (KEYED, [outcome(409, "unknown", reason="x"), DONE], Completed({"y": 2}), 2),
        # An earlier send may have run, so the last refusal does not mean "not run".
        (KEYED, ["cut", NOT_RUN], Unknown, None),
        (PLAIN, [NOT_RUN], NotRun("full", 0.1), None),
        (PLAIN, [(404, {"error": "no_route"})], client.CallRejected, 1),
        (BOOKING, [(503, {"error": "not_ready"}), DONE], Completed({"y": 2}), 2),
        # A proxy answered, and it may have forwarded the call.
        (BOOKING, [(503, {"message": "proxy"})], Unknown, 1),
    ],
)
def test_outcome_of_a_request(entries, request_, answers, expected, sends):
    entry = entries(*answers)
    request_client = client.RequestClient(
        [entry.address], ManualClock(), random.Random(1)
    )
    actual = request_client.call(request_, timeout=3.0)
    request_client.close()
    assert (
        isinstance(actual, expected)
        if isinstance(expected, type)
        else actual == expected
    )
    assert sends is None or len(entry.calls) == sends
    keys = {dict(headers).get("Idempotency-Key", "") for *_, headers in entry.calls}
    assert keys == {request_.key}


def test_minted_keys_are_unique():
    request_client = client.RequestClient(["127.0.0.1:1"])
    assert request_client.mint_key() != request_client.mint_key()


def test_client_without_an_address_raises():
    with pytest.raises(ValueError, match="address"):
        client.RequestClient([])
