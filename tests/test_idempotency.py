"""Requests with an idempotency key run at most once, even if store writes are lost."""

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
    MAX_ANSWER_BYTES,
    OWNER_MISSING_SECONDS,
    IdempotentRequests,
)
from wigeonfront.forwarding.steps import DropRequest, Fail, ReturnAnswer

ANSWER = ReturnAnswer(Answered(200, (("X-A", "1"),), b"done"))


def make_requests(rows, name, live=("n1", "n2"), clock=None):
    return IdempotentRequests(
        rows, lambda: name, lambda: set(live), clock or SystemClock()
    )


def run(requests, send, key="k", seconds=1.0):
    clock = requests._clock
    return requests.run("route", key, clock.monotonic() + seconds, send)


class CountedSends:
    """A ``send`` callable that returns a fixed outcome and counts its calls."""

    def __init__(self, ended=ANSWER):
        self.ended = ended
        self.count = 0

    def __call__(self):
        self.count += 1
        return self.ended


def test_a_repeat_at_any_process_gets_the_first_answer():
    rows, send = MemoryRows(), CountedSends()
    for name in ("n1", "n2", "n1"):
        assert run(make_requests(rows, name), send) == ANSWER
    assert send.count == 1
    assert run(make_requests(rows, "n1"), send, "other") == ANSWER
    assert send.count == 2


@pytest.mark.parametrize(
    ("ended", "sends", "repeat_status"),
    [
        # A request that did not run may be sent again.
        (Fail(503, "no target", 0.2), 2, None),
        # A request that may have run is not sent again.
        (Fail(502, "cut"), 1, 409),
        (Fail(504, "timeout"), 1, 409),
        (DropRequest(), 1, 409),
        (ReturnAnswer(Answered(500, (), b"bad")), 1, 500),
    ],
)
def test_a_request_that_may_have_run_is_not_sent_again(ended, sends, repeat_status):
    rows, send = MemoryRows(), CountedSends(ended)
    assert run(make_requests(rows, "n1"), send) == ended
    repeated = run(make_requests(rows, "n2"), send, seconds=0.3)
    assert send.count == sends
    if repeat_status == 409:
        assert repeated.status == 409
    elif repeat_status:
        assert repeated == ended


def test_a_repeat_waits_for_the_running_request():
    rows = MemoryRows()
    sending, finish = threading.Event(), threading.Event()

    def send_slowly():
        sending.set()
        assert finish.wait(5.0)
        return ANSWER

    answers = []
    first = threading.Thread(
        target=lambda: answers.append(
            run(make_requests(rows, "n1"), send_slowly, seconds=5.0)
        )
    )
    first.start()
    assert sending.wait(5.0)
    second = threading.Thread(
        target=lambda: answers.append(
            run(make_requests(rows, "n2"), CountedSends(), seconds=5.0)
        )
    )
    second.start()
    finish.set()
    first.join()
    second.join()
    assert answers == [ANSWER, ANSWER]


def test_a_repeat_gets_409_if_the_sending_process_is_gone():
    rows = MemoryRows()

    def end_process():
        raise SystemExit

    with pytest.raises(SystemExit):
        run(make_requests(rows, "n1"), end_process)
    repeated = run(make_requests(rows, "n2", live=("n2",)), CountedSends(), seconds=5.0)
    assert (repeated.status, "gone" in repeated.reason) == (409, True)


def test_a_process_that_has_just_started_does_not_count_as_gone():
    """Other processes learn of it shortly after it has begun to send."""
    rows, clock = MemoryRows(), ManualClock(10.0)
    first = make_requests(rows, "n1", clock=clock)
    claimed = first._claim("keyed/route/k")
    second = make_requests(rows, "n2", live=("n2",), clock=clock)
    original_sleep = clock.sleep

    def sleep_while_first_is_answered(seconds):
        original_sleep(seconds)
        if clock.monotonic() - 10.0 > 0.9 * OWNER_MISSING_SECONDS:
            first._record_outcome("keyed/route/k", claimed, ANSWER)

    clock.sleep = sleep_while_first_is_answered
    assert run(second, CountedSends(), seconds=5.0) == ANSWER


@pytest.mark.parametrize("done", [True, False])
def test_an_uncertain_write_of_a_record_is_read_back(done):
    rows, send = MemoryRows(), CountedSends()
    requests = make_requests(rows, "n1")
    run(requests, send, "first")
    rows.faults.lose_writes, rows.faults.apply_lost_writes = 1, done
    ended = run(requests, send)
    assert send.count == (2 if done else 1)
    assert ended == ANSWER if done else ended.status == 503


def test_nothing_is_sent_while_the_store_is_unavailable():
    rows, send = MemoryRows(), CountedSends()
    requests = make_requests(rows, "n1")
    rows.faults.down = True
    assert run(requests, send).status == 503
    assert send.count == 0


def test_a_repeat_of_an_answer_too_large_to_record_gets_409():
    rows = MemoryRows()
    large = ReturnAnswer(Answered(200, (), b"x" * (MAX_ANSWER_BYTES + 1)))
    send = CountedSends(large)
    assert run(make_requests(rows, "n1"), send) == large
    assert run(make_requests(rows, "n2"), send).status == 409
    assert send.count == 1


class IdempotencyMachine(RuleBasedStateMachine):
    """Processes repeat keys while store writes fail or lose their answers."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(10.0)
        self.rows = MemoryRows()
        self.runs = {}
        self.answers_returned = {}
        self.numbers = itertools.count()

    @rule(down=st.booleans())
    def set_store_down(self, down):
        self.rows.faults.down = down

    @rule(done=st.booleans())
    def lose_answer_of_next_write(self, done):
        self.rows.faults.lose_writes = 1
        self.rows.faults.apply_lost_writes = done

    @rule(
        name=st.sampled_from(("n1", "n2")),
        key=st.sampled_from("abc"),
        outcome=st.sampled_from(("answered", "broken", "not run")),
    )
    def send_request(self, name, key, outcome):
        def send():
            number = next(self.numbers)
            if outcome == "not run":
                return Fail(503, "full", 0.1)
            self.runs.setdefault(key, []).append(number)
            if outcome == "broken":
                return Fail(502, "cut")
            return ReturnAnswer(Answered(200, (), b"%d" % number))

        before = len(self.runs.get(key, []))
        requests = make_requests(self.rows, name, clock=self.clock)
        ended = run(requests, send, key, seconds=0.5)
        if isinstance(ended, ReturnAnswer):
            self.answers_returned.setdefault(key, set()).add(ended.answer.body)
        if isinstance(ended, Fail) and ended.status == 503 and outcome != "not run":
            # The answer says that the request did not run, so it must not have run.
            assert len(self.runs.get(key, [])) == before

    @invariant()
    def each_key_runs_at_most_once_and_has_one_answer(self):
        assert all(len(runs) <= 1 for runs in self.runs.values())
        assert all(len(bodies) <= 1 for bodies in self.answers_returned.values())


TestIdempotencyMachine = IdempotencyMachine.TestCase
TestIdempotencyMachine.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None
)


def test_a_new_lease_is_granted_before_records_would_expire():
    clock, rows = ManualClock(10.0), MemoryRows()
    requests = make_requests(rows, "n1", clock=clock)
    run(requests, CountedSends(), "a")
    first = requests._lease
    clock.advance(299.0)
    run(requests, CountedSends(), "b")
    assert requests._lease == first
    clock.advance(2.0)
    run(requests, CountedSends(), "c")
    assert requests._lease != first
