"""Retries after the outcome of a send, and the choice of the target."""

import pytest

from wigeonfront.forwarding import (
    Answered,
    Broken,
    CallerGone,
    NotExecuted,
    TimedOut,
)
from wigeonfront.forwarding.placement import choose_target
from wigeonfront.forwarding.steps import (
    DropRequest,
    Fail,
    Retry,
    ReturnAnswer,
    SendState,
    health_evidence,
    max_wait,
    next_step,
)
from wigeonfront.targets.target import Target
from wigeonfront.targets.views import TargetView

GOOD = Answered(200, (), b"x")
BAD = Answered(500, (), b"x")


def state(repeatable=True, sends=1, seconds=1.0, may_have_run=True):
    return SendState(repeatable, sends, seconds, may_have_run)


@pytest.mark.parametrize(
    ("outcome", "situation", "kind", "status"),
    [
        (GOOD, state(), ReturnAnswer, 0),
        (BAD, state(), Retry, 0),
        (BAD, state(sends=0), ReturnAnswer, 0),
        (BAD, state(repeatable=False), ReturnAnswer, 0),
        (Answered(404, (), b""), state(), ReturnAnswer, 0),
        (NotExecuted("full", 503), state(), Retry, 0),
        (NotExecuted("full", 503), state(repeatable=False), Retry, 0),
        # 503 promises that the request did not run, so it needs certainty.
        (NotExecuted("full", 503), state(sends=0, may_have_run=False), Fail, 503),
        (NotExecuted("full", 503), state(sends=0, may_have_run=True), Fail, 502),
        (Broken("reset"), state(), Retry, 0),
        (Broken("reset"), state(repeatable=False), Fail, 502),
        (Broken("reset"), state(sends=0), Fail, 502),
        (Broken("reset"), state(seconds=0.0), Fail, 502),
        (TimedOut(), state(), Retry, 0),
        (TimedOut(), state(repeatable=False), Fail, 504),
        (TimedOut(), state(seconds=0.0), Fail, 504),
        (CallerGone(), state(), DropRequest, 0),
    ],
)
def test_next_step_after_an_outcome(outcome, situation, kind, status):
    step = next_step(outcome, situation)
    assert isinstance(step, kind)
    if status:
        assert step.status == status
        assert bool(step.retry_after) == (status == 503)


@pytest.mark.parametrize(
    ("outcome", "evidence"),
    [
        (GOOD, "success"),
        (BAD, "failure"),
        (Broken("x"), "failure"),
        (NotExecuted("full", 503), "none"),
        (NotExecuted("no connection"), "failure"),
        (TimedOut(0.3), "none"),
        (TimedOut(1.2), "failure"),
        (CallerGone(), "none"),
    ],
)
def test_health_evidence_of_an_outcome(outcome, evidence):
    assert health_evidence(outcome) == evidence


@pytest.mark.parametrize(
    ("situation", "latency", "seconds"),
    [
        (state(sends=2, seconds=1.5), 0.0, 0.75),
        (state(sends=2, seconds=1.5), 0.05, 0.75),
        # A service that is slow as a whole gets no additional work from retries.
        (state(sends=2, seconds=1.5), 0.3, 1.2),
        (state(sends=2, seconds=1.5), 0.9, 1.5),
        (state(sends=1, seconds=0.75), 0.05, 0.75),
        (state(repeatable=False, sends=2, seconds=1.5), 0.05, 1.5),
    ],
)
def test_longest_wait_for_one_target(situation, latency, seconds):
    assert max_wait(situation, latency) == pytest.approx(seconds)


def view(id, domain="here", in_flight=0, latency=0.03, **fields):
    target = Target(id, "s", "1.2.3.4:5", domain, slots=6)
    values = {
        "available": True,
        "draining": False,
        "versions": {},
        "refused_until": {},
    }
    return TargetView(target, in_flight, latency=latency, **(values | fields))


@pytest.mark.parametrize(
    ("views", "excluded", "chosen"),
    [
        ([view("far", "there"), view("near")], (), "near"),
        ([view("far", "there"), view("near", in_flight=9)], (), "far"),
        ([view("slow", latency=0.3), view("quick", "there")], (), "quick"),
        ([view("a", draining=True), view("b", "there")], (), "b"),
        ([view("a", available=False), view("b", in_flight=20)], (), "b"),
        ([view("a", suspected=True), view("b", "there", in_flight=20)], (), "b"),
        ([view("a", available=False), view("b", suspected=True)], (), "b"),
        ([view("a", available=False)], (), "a"),
        ([view("a"), view("b", in_flight=20)], ("a",), "b"),
        ([view("a")], ("a",), None),
        ([view("a", draining=True)], (), None),
        ([], (), None),
    ],
)
def test_the_target_with_the_shortest_expected_wait_is_chosen(views, excluded, chosen):
    found = choose_target(views, excluded, "here")
    assert (found.target.id if found else None) == chosen
