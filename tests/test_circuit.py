from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonfront.clock import ManualClock
from wigeonfront.targets.circuit import Circuits, CircuitSettings

GOOD, BAD, NONE = "success", "failure", "none"
TARGETS = ("a", "b", "c", "d")


def circuits(clock, **settings_):
    made = Circuits(clock, Random(3), CircuitSettings(**settings_))
    made.set_targets(TARGETS)
    return made


def record(made, target, outcomes):
    return [made.record_result(target, outcome) for outcome in outcomes]


@pytest.mark.parametrize(
    ("outcomes", "reason"),
    [
        ([BAD] * 5, "consecutive_failures"),
        ([BAD, BAD, GOOD] * 4, "failure_rate"),
        ([BAD, GOOD, GOOD, GOOD] * 10, None),
        ([BAD] * 4, None),
        ([NONE] * 50, None),
    ],
)
def test_when_a_circuit_opens(outcomes, reason):
    made = circuits(ManualClock())
    changes = [change for change in record(made, "a", outcomes) if change]
    assert [change.reason for change in changes[:1]] == ([reason] if reason else [])
    assert made.is_open("a") == bool(reason)


@pytest.mark.parametrize(
    ("outcome", "state"), [(GOOD, "closed"), (BAD, "open"), (NONE, "half_open")]
)
def test_one_probe_decides(outcome, state):
    clock = ManualClock()
    made = circuits(clock)
    record(made, "a", [BAD] * 5)
    clock.advance(1.0)
    assert not made.is_open("a")
    assert made.record_attempt("a").state == "half_open"
    assert made.is_open("a")
    made.record_result("a", outcome)
    assert made.state("a") == state


@pytest.mark.parametrize(("outcome", "grows"), [(BAD, True), (GOOD, False)])
def test_an_answer_that_begins_closes_the_circuit(outcome, grows):
    """Pauses grow until a request ends well; one that breaks off begins an answer."""
    clock = ManualClock()
    made = circuits(clock, consecutive=1, base_pause=1.0, max_pause=8.0)
    first = made.record_result("a", BAD).pause
    assert made.record_answer_begun("a") is None
    assert made.is_open("a")
    clock.advance(1.0)
    made.record_attempt("a")
    assert made.record_answer_begun("a").state == "closed"
    assert not made.is_open("a")
    opened = [change for change in record(made, "a", [outcome, BAD]) if change]
    assert first <= 1.0
    assert (opened[0].pause > 1.0) == grows


def test_a_lost_probe_does_not_block_for_ever():
    clock = ManualClock()
    made = circuits(clock, probe_timeout=10.0)
    record(made, "a", [BAD] * 5)
    clock.advance(1.0)
    made.record_attempt("a")
    clock.advance(10.0)
    assert not made.is_open("a")


def test_pauses_grow_up_to_their_bound():
    clock = ManualClock()
    made = circuits(clock, base_pause=1.0, max_pause=8.0)
    pauses = [record(made, "a", [BAD] * 5)[-1].pause]
    for _ in range(8):
        clock.advance(8.0)
        made.record_attempt("a")
        pauses.append(made.record_result("a", BAD).pause)
    assert pauses[0] <= 1.0 < pauses[-1] <= 8.0


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.sampled_from(TARGETS), st.booleans()), max_size=120))
def test_no_more_than_a_share_is_ejected(events):
    clock = ManualClock()
    made = circuits(clock, ejected_share=0.5)
    for target, good in events:
        made.record_result(target, GOOD if good else BAD)
        clock.advance(0.1)
        assert sum(made.state(t) != "closed" for t in TARGETS) <= 2


def test_a_single_target_is_never_ejected():
    made = Circuits(ManualClock(), Random(1))
    made.set_targets(["only"])
    record(made, "only", [BAD] * 100)
    assert not made.is_open("only")


def test_targets_that_are_gone_are_forgotten():
    made = circuits(ManualClock())
    record(made, "a", [BAD] * 5)
    made.set_targets(["b"])
    made.set_targets(TARGETS)
    assert made.state("a") == "closed"
