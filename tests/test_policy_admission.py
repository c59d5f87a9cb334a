import threading

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from wigeonfront.clock import ManualClock, SystemClock
from wigeonfront.outcomes import Expired, NotRun
from wigeonfront.policy.admission import (
    CLASSES,
    Accepted,
    AdmissionItem,
    AdmissionQueue,
    ClassLimit,
)
from wigeonfront.policy.fairness import FairShare


def queue(clock=None, capacity=4, headroom=None, limits=None, **options):
    return AdmissionQueue(
        capacity, headroom or {}, limits or {}, clock or ManualClock(), **options
    )


def item(name, work_class="rollout", deadline=1000.0, **fields):
    return AdmissionItem(name, work_class, deadline, **fields)


def take_all(made):
    taken = []
    while (one := made.take(0)) is not None:
        taken.append(one.id)
    return taken


def measured_queue(**options):
    """Return a queue that has measured 1 s for each token."""
    clock = ManualClock()
    made = queue(clock, capacity=1, **options)
    made.offer(item("first", tokens=1))
    first = made.take(0)
    clock.advance(1.0)
    made.finished(first, 1)
    return made, clock


def test_classes_go_by_urgency():
    made = queue(capacity=10)
    for work_class in reversed(CLASSES):
        made.offer(item(work_class, work_class))
    assert take_all(made) == list(CLASSES)


@pytest.mark.parametrize(
    ("headroom", "capacity", "rollouts"),
    [
        ({}, 4, 4),
        ({"interactive": 1}, 4, 3),
        ({"interactive": 1, "booking": 1}, 4, 2),
        ({"interactive": 9, "booking": 9}, 4, 1),
        ({"interactive": 1}, 1, 1),
    ],
)
def test_rollouts_leave_the_headroom_free(headroom, capacity, rollouts):
    made = queue(capacity=capacity, headroom=headroom)
    for number in range(10):
        made.offer(item(f"r{number}"))
    assert len(take_all(made)) == rollouts


def test_bookings_keep_their_slot_from_interactive_calls():
    made = queue(capacity=3, headroom={"booking": 1})
    for number in range(5):
        made.offer(item(f"i{number}", "interactive"))
    assert len(take_all(made)) == 2
    made.offer(item("b", "booking"))
    assert take_all(made) == ["b"]


@pytest.mark.parametrize(
    ("fields", "order"),
    [
        ([{"tokens": 10}, {"tokens": 500}, {"tokens": 100}], [1, 2, 0]),
        ([{"deadline": 90.0}, {"deadline": 30.0}, {"deadline": 60.0}], [1, 2, 0]),
        ([{"deadline": 60.0, "tokens": 10}, {"deadline": 61.0, "tokens": 900}], [1, 0]),
    ],
)
def test_rollouts_go_by_least_slack(fields, order):
    made = queue()
    for number, changes in enumerate(fields):
        made.offer(item(str(number), **changes))
    assert take_all(made) == [str(number) for number in order]


def test_limits_of_a_class():
    made = queue(limits={"rollout": ClassLimit(queue=3, concurrency=2)})
    answers = [made.offer(item(f"r{n}")) for n in range(4)]
    assert answers[3].reason == "queue_full"
    assert answers[3].retry_after > 0
    assert len(take_all(made)) == 2


@pytest.mark.parametrize(
    ("remaining", "refused"), [(500.0, False), (150.0, True), (50.0, True)]
)
def test_work_that_would_be_late_is_refused_early(remaining, refused):
    made, clock = measured_queue()
    made.offer(item("running", tokens=100))
    made.take(0)
    made.offer(item("waiting", tokens=100))
    now = clock.monotonic()
    answer = made.offer(item("late", deadline=now + remaining, tokens=100))
    assert isinstance(answer, NotRun) == refused
    if refused:
        assert answer.reason == "expected_wait"
        assert answer.retry_after > 0


def test_predictions_that_are_too_long_are_corrected():
    made, clock = measured_queue()
    for number in range(100):
        made.offer(item(f"short-{number}", deadline=1e9, tokens=1000))
        one = made.take(0)
        clock.advance(10.0)
        made.finished(one, 10)
    made.offer(item("running", deadline=1e9, tokens=1000))
    made.take(0)
    made.offer(item("waiting", deadline=1e9, tokens=1000))
    soon = clock.monotonic() + 60.0
    assert isinstance(made.offer(item("soon", deadline=soon, tokens=1000)), Accepted)


def test_one_trainer_is_not_refused_for_anothers_queue():
    made, clock = measured_queue()
    made.offer(item("running", tokens=10, trainer="greedy"))
    made.take(0)
    for number in range(50):
        made.offer(item(f"g{number}", deadline=1e9, tokens=10, trainer="greedy"))
    now = clock.monotonic()
    modest = item("m", deadline=now + 60.0, tokens=10, trainer="modest")
    assert isinstance(made.offer(modest), Accepted)
    greedy = item("g", deadline=now + 60.0, tokens=10, trainer="greedy")
    assert made.offer(greedy).reason == "expected_wait"


def test_trainers_share_by_weight():
    made = queue(capacity=60, weights={"big": 2.0})
    for number in range(60):
        for trainer in ("big", "small"):
            made.offer(item(f"{trainer}-{number}", tokens=1000, trainer=trainer))
    taken = take_all(made)
    assert sum(name.startswith("big") for name in taken) == 40


def test_expired_work_never_starts_and_is_told_at_once():
    clock = ManualClock()
    told = []
    made = queue(clock, on_expired=lambda one, outcome: told.append((one.id, outcome)))
    made.offer(item("old", deadline=5.0))
    made.offer(item("new", deadline=50.0))
    clock.advance(6.0)
    made.sweep()
    assert told == [("old", Expired(started=False))]
    assert take_all(made) == ["new"]


@pytest.mark.parametrize(
    ("work_class", "idempotent", "yields"),
    [
        ("interactive", True, True),
        ("booking", True, True),
        ("rollout", True, False),
        ("interactive", False, False),
    ],
)
def test_who_makes_a_rollout_yield(work_class, idempotent, yields):
    made = queue(capacity=2)
    made.offer(item("urgent", deadline=10.0, idempotent=idempotent))
    made.offer(item("slack", deadline=900.0, idempotent=idempotent))
    take_all(made)
    answer = made.offer(item("new", work_class))
    assert [one.id for one in answer.preempt] == (["slack"] if yields else [])


def test_a_rollout_yields_once():
    made = queue(capacity=1)
    made.offer(item("r"))
    made.take(0)
    assert made.offer(item("i1", "interactive")).preempt
    assert not made.offer(item("i2", "interactive")).preempt


def test_a_swap_hands_back_urgent_work_and_keeps_rollouts():
    made = queue(capacity=1)
    made.offer(item("running", "interactive"))
    made.take(0)
    made.offer(item("waiting", "booking"))
    made.offer(item("r"))
    assert [one.id for one in made.hold_urgent()] == ["waiting"]
    assert made.urgent_running == 1
    assert made.offer(item("new", "interactive")).reason == "swapping"
    made.release_urgent()
    assert isinstance(made.offer(item("new", "interactive")), Accepted)


def test_closing_hands_back_what_has_not_run():
    made = queue(capacity=1)
    for name in ("a", "b"):
        made.offer(item(name))
    running = made.take(0)
    assert {running.id} | {one.id for one in made.close()} == {"a", "b"}
    assert made.offer(item("c")).reason == "leaving"
    assert made.take() is None
    assert made.finished(running, 1) is not None


@pytest.mark.parametrize(
    ("taken", "answers"), [(0, ["queued", "absent"]), (1, ["running", "running"])]
)
def test_cancelling_tells_where_the_item_was(taken, answers):
    made = queue()
    made.offer(item("a"))
    for _ in range(taken):
        made.take(0)
    assert [made.cancel("a") for _ in answers] == answers


def test_a_waiting_worker_is_woken():
    made = queue(SystemClock())
    taken = []
    worker = threading.Thread(target=lambda: taken.append(made.take(30)))
    worker.start()
    made.offer(item("a", deadline=1e12))
    worker.join(30)
    assert [one.id for one in taken] == ["a"]


class QueueMachine(RuleBasedStateMachine):
    """Any order of calls: nothing is lost, doubled or over its bounds."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.dropped = []
        self.queue = queue(
            self.clock,
            capacity=3,
            headroom={"interactive": 1},
            limits=dict.fromkeys(CLASSES, ClassLimit(queue=4)),
            on_expired=lambda one, outcome: self.dropped.append(one.id),
        )
        self.accepted = set()
        self.running = {}
        self.ended = []
        self.count = 0

    @rule(
        work_class=st.sampled_from(CLASSES),
        remaining=st.floats(0.1, 20.0),
        trainer=st.sampled_from("xy"),
        tokens=st.integers(1, 50),
    )
    def offer(self, work_class, remaining, trainer, tokens):
        self.count += 1
        one = item(
            str(self.count),
            work_class,
            self.clock.monotonic() + remaining,
            trainer=trainer,
            tokens=tokens,
        )
        if isinstance(self.queue.offer(one), Accepted):
            self.accepted.add(one.id)

    @rule()
    def take(self):
        one = self.queue.take(0)
        if one is not None:
            assert one.id in self.accepted
            assert one.deadline > self.clock.monotonic()
            self.running[one.id] = one

    @precondition(lambda self: self.running)
    @rule(tokens=st.one_of(st.none(), st.integers(0, 100)))
    def finish(self, tokens):
        name, one = self.running.popitem()
        assert self.queue.finished(one, tokens) is not None
        self.ended.append(name)

    @rule(data=st.data())
    def cancel(self, data):
        name = str(data.draw(st.integers(1, max(1, self.count))))
        if self.queue.cancel(name) == "queued":
            self.ended.append(name)

    @rule(seconds=st.floats(0.0, 5.0))
    def advance(self, seconds):
        self.clock.advance(seconds)
        self.queue.sweep()

    @invariant()
    def every_item_is_in_one_place(self):
        gone = self.ended + self.dropped
        assert len(gone) == len(set(gone))
        assert not set(gone) & set(self.running)
        load = self.queue.load
        waiting = len(self.accepted) - len(gone) - len(self.running)
        assert sum(load.queued.values()) == waiting
        assert sum(load.running.values()) == len(self.running) <= 3
        assert load.running["rollout"] <= 2
        assert load.queued_tokens >= 0


QueueMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
TestQueueMachine = QueueMachine.TestCase


def test_idle_time_earns_no_credit():
    share = FairShare(quantum=0)
    share.activate("a")
    for _ in range(100):
        share.pick({"a": 1.0})
        share.charge("a", 100)
    share.activate("b")
    given_b = 0
    for _ in range(20):
        picked = share.pick({"a": 1.0, "b": 2.0})
        given_b += picked == "b"
        share.charge(picked, 100)
    assert given_b == pytest.approx(10, abs=1)
