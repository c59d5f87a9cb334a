"""Requests with a key: at most one run, whatever becomes of the record's writes."""

import itertools
import threading

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from platform_standins.rows import MemoryRows
from wigeonfront.clock import ManualClock, SystemClock
from wigeonfront.forwarding.attempt import Answered
from wigeonfront.forwarding.idempotency import (
    OWNER_MISSING_SECONDS,
    MOST_ANSWER_BYTES,
    IdempotentRequests,
)
from wigeonfront.forwarding.steps import DropRequest, Fail, ReturnAnswer

ANSWER = ReturnAnswer(Answered(200, (("X-A", "1"),), b"done"))


def keyed(rows, name, live=("n1", "n2"), clock=None):
    return IdempotentRequests(rows, lambda: name, lambda: set(live), clock or SystemClock())


def run(requests, send, key="k", seconds=1.0):
    clock = requests._clock
    return requests.run("route", key, clock.monotonic() + seconds, send)


class Sends:
    """Sends that end as told, and are counted."""

    def __init__(self, ended=ANSWER):
        self.ended = ended
        self.count = 0

    def __call__(self):
        self.count += 1
        return self.ended


def test_a_repeat_anywhere_gets_the_first_answer():
    rows, send = MemoryRows(), Sends()
    for name in ("n1", "n2", "n1"):
        assert run(keyed(rows, name), send) == ANSWER
    assert send.count == 1
    assert run(keyed(rows, "n1"), send, "other") == ANSWER
    assert send.count == 2


@pytest.mark.parametrize(
    ("ended", "sends", "then"),
    [
        # What did not run may be sent again.
        (Fail(503, "no target", 0.2), 2, None),
        # What may have run is not.
        (Fail(502, "cut"), 1, 409),
        (Fail(504, "timeout"), 1, 409),
        (DropRequest(), 1, 409),
        (ReturnAnswer(Answered(500, (), b"bad")), 1, 500),
    ],
)
def test_what_may_have_run_never_runs_again(ended, sends, then):
    rows, send = MemoryRows(), Sends(ended)
    assert run(keyed(rows, "n1"), send) == ended
    again = run(keyed(rows, "n2"), send, seconds=0.3)
    assert send.count == sends
    if then == 409:
        assert again.status == 409
    elif then:
        assert again == ended


def test_a_repeat_waits_for_the_request_that_runs():
    rows = MemoryRows()
    going, go = threading.Event(), threading.Event()

    def slow():
        going.set()
        assert go.wait(5.0)
        return ANSWER

    answers = []
    first = threading.Thread(
        target=lambda: answers.append(run(keyed(rows, "n1"), slow, seconds=5.0))
    )
    first.start()
    assert going.wait(5.0)
    second = threading.Thread(
        target=lambda: answers.append(run(keyed(rows, "n2"), Sends(), seconds=5.0))
    )
    second.start()
    go.set()
    first.join()
    second.join()
    assert answers == [ANSWER, ANSWER]


def test_one_whose_process_is_gone_may_have_run():
    rows = MemoryRows()

    def dies():
        raise SystemExit

    with pytest.raises(SystemExit):
        run(keyed(rows, "n1"), dies)
    again = run(keyed(rows, "n2", live=("n2",)), Sends(), seconds=5.0)
    assert (again.status, "gone" in again.reason) == (409, True)


def test_a_process_that_has_just_started_is_not_taken_for_gone():
    """Others hear of it a moment after it has begun to send."""
    rows, clock = MemoryRows(), ManualClock(10.0)
    first = keyed(rows, "n1", clock=clock)
    claimed = first._claim("keyed/route/k")
    second = keyed(rows, "n2", live=("n2",), clock=clock)
    asleep = clock.sleep

    def answered_meanwhile(seconds):
        asleep(seconds)
        if clock.monotonic() - 10.0 > 0.9 * OWNER_MISSING_SECONDS:
            first._note("keyed/route/k", claimed, ANSWER)

    clock.sleep = answered_meanwhile
    assert run(second, Sends(), seconds=5.0) == ANSWER


@pytest.mark.parametrize("done", [True, False])
def test_a_record_whose_answer_is_lost_is_read_back(done):
    rows, send = MemoryRows(), Sends()
    requests = keyed(rows, "n1")
    run(requests, send, "first")
    rows.faults.lose_writes, rows.faults.lost_are_done = 1, done
    ended = run(requests, send)
    assert send.count == (2 if done else 1)
    assert ended == ANSWER if done else ended.status == 503


def test_without_the_store_nothing_is_sent():
    rows, send = MemoryRows(), Sends()
    requests = keyed(rows, "n1")
    rows.faults.down = True
    assert run(requests, send).status == 503
    assert send.count == 0


def test_an_answer_that_is_too_large_is_told_as_run():
    rows = MemoryRows()
    large = ReturnAnswer(Answered(200, (), b"x" * (MOST_ANSWER_BYTES + 1)))
    send = Sends(large)
    assert run(keyed(rows, "n1"), send) == large
    assert run(keyed(rows, "n2"), send).status == 409
    assert send.count == 1


class KeyedWalk(RuleBasedStateMachine):
    """Processes repeat keys while writes are lost, late or refused."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(10.0)
        self.rows = MemoryRows()
        self.ran = {}
        self.told = {}
        self.numbers = itertools.count()

    @rule(down=st.booleans())
    def store_is_down_or_back(self, down):
        self.rows.faults.down = down

    @rule(done=st.booleans())
    def next_write_gets_no_answer(self, done):
        self.rows.faults.lose_writes = 1
        self.rows.faults.lost_are_done = done

    @rule(
        name=st.sampled_from(("n1", "n2")),
        key=st.sampled_from("abc"),
        outcome=st.sampled_from(("answered", "broken", "not run")),
    )
    def asks(self, name, key, outcome):
        def send():
            number = next(self.numbers)
            if outcome == "not run":
                return Fail(503, "full", 0.1)
            self.ran.setdefault(key, []).append(number)
            if outcome == "broken":
                return Fail(502, "cut")
            return ReturnAnswer(Answered(200, (), b"%d" % number))

        before = len(self.ran.get(key, []))
        requests = keyed(self.rows, name, clock=self.clock)
        ended = run(requests, send, key, seconds=0.5)
        if isinstance(ended, ReturnAnswer):
            self.told.setdefault(key, set()).add(ended.answer.body)
        if isinstance(ended, Fail) and ended.status == 503 and outcome != "not run":
            # It is told as not run: nothing has run now.
            assert len(self.ran.get(key, [])) == before

    @invariant()
    def each_key_ran_once_at_most_and_has_one_answer(self):
        assert all(len(ran) <= 1 for ran in self.ran.values())
        assert all(len(told) <= 1 for told in self.told.values())


TestKeyedWalk = KeyedWalk.TestCase
TestKeyedWalk.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None
)


def test_a_lease_is_renewed_before_records_would_lapse():
    clock, rows = ManualClock(10.0), MemoryRows()
    requests = keyed(rows, "n1", clock=clock)
    run(requests, Sends(), "a")
    first = requests._lease
    clock.advance(299.0)
    run(requests, Sends(), "b")
    assert requests._lease == first
    clock.advance(2.0)
    run(requests, Sends(), "c")
    assert requests._lease != first
