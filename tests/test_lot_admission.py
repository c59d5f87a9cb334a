"""Paths of a submission: whom it is refused by, and that a refused Lot never runs."""

import msgspec
import pytest

from admission_fakes import SERVICE, Entry, demand_of, make_lot
from deployed import Deployment
from platform_standins.ports import free_port
from test_api import LOT as LOT_OF_V1
from test_api import Api
from test_entry_node import submit
from test_settings import ENTRY
from wigeonfront.capacity.admission import PLACE_GRACE_SECONDS, DoesNotFit, Fit
from wigeonfront.clock import ManualClock
from wigeonfront.coordination.membership import Member
from wigeonfront.http.client import Answer
from wigeonfront.node.loading import node_settings
from wigeonfront.rollout import lot_admission
from wigeonfront.rollout.head import Head
from wigeonfront.rollout.lot_admission import DOUBT_SECONDS
from wigeonfront.rollout.lot_answers import Accepted, LotRefused, LotUncertain
from wigeonfront.rollout.overload import RATIO_WEIGHT, WorkEstimate
from wigeonfront.rollout.owner_calls import (
    NotTaken,
    SubmissionAnswer,
    decode_submitted,
    encode_submitted,
)
from wigeonfront.rollout.ownership import preferred_owner
from wigeonfront.rollout.repository import LotRepository
from wigeonfront.settings import EntrySettings, Rejected, load

LOT = make_lot("lot")


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def entry(clock):
    return Entry("n1", clock, {})


def crowd(entry, trainers="bc", lots=9):
    """Have other trainers demand more than the engines can do for a long time."""
    now = entry.clock.monotonic()
    entry.book.set_own(
        demand_of(make_lot(f"{trainer}{n}", trainer, groups=40), now, now)
        for trainer in trainers
        for n in range(lots)
    )


BIG = {"groups": 1, "size": 40, "seconds": 1.0}


def is_stored(entry, lot_id="lot"):
    return isinstance(LotRepository(entry.rows, 1_000_000).head(lot_id), Head)


def test_a_lot_that_can_not_be_served_is_refused_and_leaves_no_trace(entry):
    crowd(entry)
    outcome = entry.lots.submit(make_lot("lot", **BIG))
    assert isinstance(outcome, LotRefused)
    assert outcome.for_capacity
    assert 0 < outcome.retry_after <= 8.0
    assert not is_stored(entry)
    assert not entry.runner.lots
    (shown,) = entry.lots.refused_lots()
    assert (shown.lot, shown.service) == ("lot", SERVICE)
    assert shown.needed > shown.available
    counted = 'lot_admissions_total{service="engines",outcome="refused"} 1'
    assert counted in entry.metrics.render_text()


def make_pace_unknown(entry):
    entry.admission._work = WorkEstimate()


def store_it(entry):
    LotRepository(entry.rows, 1_000_000).accept(make_lot("lot", **BIG), "n9.x")


def report_it(entry):
    lot = make_lot("lot", **BIG)
    entry.book.set_reported("n9", [demand_of(lot, 100.0, 100.0)])


def set_doubt(entry):
    entry.doubt = "a disk was not reached"


def forget_registrations(entry):
    entry.targets_known = False


def lose_engines(entry):
    entry.set_engines(0)
    entry.clock.advance(6.0)
    entry.admission.observe()
    crowd(entry)


@pytest.mark.parametrize(
    ("change", "already_kept"),
    [
        # Little is known.
        (make_pace_unknown, False),
        (forget_registrations, False),
        (lose_engines, False),
        # The Lot is accepted already, or may be.
        (store_it, True),
        (report_it, False),
        (set_doubt, False),
    ],
)
def test_a_lot_is_accepted_whatever_the_load(entry, change, already_kept):
    crowd(entry)
    change(entry)
    assert entry.lots.submit(make_lot("lot", **BIG)) == Accepted(already_kept)
    assert is_stored(entry)


def test_without_the_setting_all_lots_are_accepted(clock):
    entry = Entry("n1", clock, {}, admission=False)
    crowd(entry)
    assert entry.lots.submit(make_lot("lot", **BIG)) == Accepted()
    assert entry.lots.refused_lots() == []


def test_a_lasting_absence_of_engines_refuses(entry):
    entry.set_engines(0)
    entry.clock.advance(30.0)
    entry.admission.observe()
    outcome = entry.lots.submit(LOT)
    assert (outcome.reason, is_stored(entry)) == ("no engine", False)


def test_a_repeated_submission_is_accepted_after_the_load_has_grown(entry):
    lot = make_lot("lot", **BIG)
    assert entry.lots.submit(lot) == Accepted()
    crowd(entry)
    assert entry.lots.submit(lot) == Accepted()
    entry.runner.lots.clear()
    assert entry.lots.submit(lot) == Accepted(already_kept=True)


@pytest.mark.parametrize("applied", [False, True])
def test_a_lot_in_doubt_is_not_refused(entry, applied):
    """Its write may take effect late."""
    lot = make_lot("lot", **BIG)
    entry.rows.faults.lose_writes = 9
    entry.rows.faults.apply_lost_writes = False
    assert isinstance(entry.lots.submit(lot), LotUncertain)
    crowd(entry)
    entry.rows.faults.lose_writes = 0
    if applied:
        store_it(entry)
    entry.rows.faults.down = True
    assert isinstance(entry.lots.submit(lot), LotUncertain)
    entry.rows.faults.down = False
    entry.clock.advance(DOUBT_SECONDS / 2)
    entry.admission.observe()
    assert entry.lots.submit(lot) == Accepted(already_kept=applied)


def test_a_lot_that_is_not_kept_may_be_refused_later(entry):
    lot = make_lot("lot", **BIG)
    entry.rows.faults.down = True
    outcome = entry.lots.submit(lot)
    assert isinstance(outcome, LotRefused)
    assert not outcome.for_capacity
    entry.rows.faults.down = False
    crowd(entry)
    assert entry.lots.submit(lot).for_capacity


@pytest.mark.parametrize("doubt_first", [False, True])
def test_of_two_attempts_at_once_the_one_in_doubt_counts(entry, doubt_first):
    """The attempts of a caller that did not wait overlap."""
    lot = make_lot("lot", **BIG)
    for _ in range(2):
        entry.admission.admit(lot, lambda: True)
    crowd(entry)
    for in_doubt in (doubt_first, not doubt_first):
        entry.admission.settled(lot.id, kept=False, in_doubt=in_doubt)
    entry.admission.observe()
    assert entry.lots.submit(lot) == Accepted()


def deployment(clock, lot, **fields):
    """Return the preferred owner of a Lot and another entry."""
    entries = {}
    rows = Entry("n0", clock, {}).rows
    made = [Entry(name, clock, entries, rows, **fields) for name in ("n1", "n2")]
    members = [Member(e.name, e.name, e.name, False, "z", 1.0) for e in made]
    name = preferred_owner(lot, members, "z").name
    return sorted(made, key=lambda entry: entry.name != name)


@pytest.mark.parametrize(
    ("crowded", "lose_answer", "down", "expected"),
    [
        ((), False, False, Accepted),
        ((0,), False, False, LotRefused),
        # The preferred owner knows best.
        ((1,), False, False, Accepted),
        # Its answer is lost: it may have accepted the Lot.
        ((0, 1), True, False, Accepted),
        ((), True, False, Accepted),
        ((), True, True, LotUncertain),
        ((), False, True, LotRefused),
    ],
)
def test_submission_at_another_entry(clock, crowded, lose_answer, down, expected):
    lot = make_lot("lot", **BIG)
    made = deployment(clock, lot)
    for index in crowded:
        crowd(made[index])
    _, other = made
    other.owners.lose_answers = lose_answer
    other.rows.faults.down = down
    outcome = other.lots.submit(lot)
    assert isinstance(outcome, expected)
    other.rows.faults.down = False
    runs = [entry for entry in made if entry.runner.lots]
    assert len(runs) == (expected is Accepted)
    assert is_stored(other) == (expected is Accepted)


def test_a_lot_in_doubt_at_the_entry_that_asks_is_not_refused(clock):
    lot = make_lot("lot", **BIG)
    owner, other = deployment(clock, lot)
    del other.owners._entries[owner.name]
    other.rows.faults.lose_writes = 9
    assert isinstance(other.lots.submit(lot), LotUncertain)
    other.rows.faults.lose_writes = 0
    other.owners._entries[owner.name] = owner
    crowd(owner)
    assert isinstance(other.lots.submit(lot), Accepted)


@pytest.mark.parametrize(
    ("outcome", "told"),
    [
        (Accepted(), Accepted()),
        (Accepted(already_kept=True), NotTaken("not kept")),
        (NotTaken("leaving"), NotTaken("not kept")),
        (LotRefused("store"), NotTaken("not kept")),
        (LotUncertain("lost"), LotUncertain("in doubt at its owner")),
        (LotRefused("full", 2.5, True), LotRefused("full", 2.5, True)),
    ],
)
def test_outcomes_between_entries(outcome, told):
    body = msgspec.msgpack.encode(encode_submitted(outcome))
    assert decode_submitted(Answer(200, body)) == told


class OlderAnswer(msgspec.Struct):
    kept: bool


@pytest.mark.parametrize("kept", [False, True])
def test_older_builds_understand_and_are_understood(kept):
    body = msgspec.msgpack.encode(OlderAnswer(kept))
    told = decode_submitted(Answer(200, body))
    assert told == (Accepted() if kept else NotTaken("not kept"))
    refused = SubmissionAnswer(False, refused_for="full", retry_after=1.0)
    body = msgspec.msgpack.encode(refused)
    assert msgspec.msgpack.decode(body, type=OlderAnswer) == OlderAnswer(False)


@pytest.mark.parametrize(
    ("answer", "kind"),
    [(Answer(500, b""), NotTaken), (Answer(200, b"\xc1"), LotUncertain)],
)
def test_bad_answers_of_other_entries(answer, kind):
    assert isinstance(decode_submitted(answer), kind)


# --- turns -------------------------------------------------------------------


def half_full(entry):
    """Leave room for one Lot of 20 s more, but not for two."""
    lot = make_lot("of-b", "b", groups=40)
    now = entry.clock.monotonic()
    entry.book.set_own([demand_of(lot, now, now)])


TURN = {"groups": 1, "size": 18, "seconds": 1.0}


@pytest.mark.parametrize("at", ["same", "other"])
def test_a_refused_lot_keeps_its_place(clock, at):
    """A later Lot of another trainer is not accepted in its stead."""
    entries = {}
    first = Entry("n1", clock, entries, trainers="abcde")
    second = first if at == "same" else Entry("n2", clock, {}, trainers="abcde")
    crowd(first)
    refused = first.lots.submit(make_lot("old", "a", **TURN))
    assert refused.for_capacity
    clock.advance(0.1)
    for entry in (first, second):
        half_full(entry)
    if second is not first:
        second.book.set_reported("n1", first.book.own())
    late = make_lot("late", "d", **TURN)
    assert second.lots.submit(late).for_capacity
    if second is not first:
        first.book.set_reported("n2", second.book.own())
    assert first.lots.submit(make_lot("old", "a", **TURN)) == Accepted()
    assert second.lots.submit(late).for_capacity


def test_a_place_lapses_when_its_lot_does_not_return(entry):
    crowd(entry)
    refused = entry.lots.submit(make_lot("old", "a", **TURN))
    entry.clock.advance(refused.retry_after + PLACE_GRACE_SECONDS + 0.1)
    entry.admission.observe()
    half_full(entry)
    assert entry.book.refused(SERVICE) == []
    assert entry.lots.submit(make_lot("late", "c", **TURN)) == Accepted()


def test_a_refused_lot_is_due_as_counted_from_its_first_submission(entry):
    crowd(entry)
    lot = make_lot("lot", **TURN, submitted_at=100.0)
    assert entry.lots.submit(lot).for_capacity
    entry.book.set_own([])
    entry.clock.advance(1.5)
    again = make_lot("lot", **TURN, submitted_at=101.5)
    assert entry.lots.submit(again) == Accepted()
    assert entry.runner.lots["lot"].submitted_at == pytest.approx(100.0)


def test_a_refused_lot_demands_no_slots_and_is_reported(entry):
    crowd(entry)
    entry.lots.submit(make_lot("lot", **TURN))
    entry.clock.advance(1.0)
    assert "lot" not in {found.lot for found in entry.book.demands(SERVICE)}
    (reported,) = [found for found in entry.book.own() if found.lot == "lot"]
    assert reported.refused_for == pytest.approx(1.0)


# --- at the border -----------------------------------------------------------


def test_trainers_and_operators_see_a_refusal(monkeypatch):
    deployed = Deployment()
    address = f"127.0.0.1:{free_port('127.0.0.1')}"
    try:
        made = deployed.add_entry("n1", lot_admission=True, api_address=address)
        api = Api(made)
        for _ in range(round(1 / RATIO_WEIGHT)):
            made._runner.work.note(1.0, 1.0)
        refusal = DoesNotFit("engines are taken", 2.5, Fit(9.0, 4.0))
        monkeypatch.setattr(lot_admission, "decide", lambda *_: refusal)
        answer = submit(made, "l1")
        assert (answer.status, answer.retry_after) == (503, 2.5)
        assert sum(len(engine.run_counts) for engine in deployed.engines) == 0
        status = api.call("GET", "/v1/status")[1]
        (refused,) = status["refused_lots"]
        assert (refused["lot"], refused["reason"]) == ("l1", "engines are taken")
        events = api.call("GET", "/v1/explain/l1")[1]["events"]
        assert "lot_refused" in {found["event"] for found in events}
        answer = api.call("POST", "/v1/lots", LOT_OF_V1)
        assert (answer[0], answer[1]["error"]) == (503, "not_run")
        assert answer[1]["retry_after"] == 2.5
        monkeypatch.undo()
        assert submit(made, "l1").status == 202
    finally:
        deployed.close()


@pytest.mark.parametrize(
    ("flags", "environ", "expected"),
    [
        ({}, {}, False),
        ({"lot_admission": "yes"}, {}, True),
        ({}, {"WIGEONFRONT_LOT_ADMISSION": "yes"}, True),
        ({"lot_admission": "no"}, {"WIGEONFRONT_LOT_ADMISSION": "yes"}, False),
    ],
)
def test_admission_is_a_setting_of_entries(flags, environ, expected):
    given = load(EntrySettings, ENTRY | flags, environ)
    assert node_settings(given, None).lot_admission is expected


def test_a_bad_value_of_the_setting_is_refused():
    given = load(EntrySettings, ENTRY | {"lot_admission": "perhaps"}, {})
    assert isinstance(given, Rejected)
