"""When circuits open, how long they stay open, and how probes close them."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonfront.clock import ManualClock
from wigeonfront.targets.circuit import Circuits, CircuitSettings

SUCCESS, FAILURE, NONE = "success", "failure", "none"
TARGETS = ("a", "b", "c", "d")


def make_circuits(clock, **thresholds):
    circuits = Circuits(clock, Random(3), CircuitSettings(**thresholds))
    circuits.set_targets(TARGETS)
    return circuits


def record_all(circuits, target, outcomes):
    return [circuits.record_result(target, outcome) for outcome in outcomes]


@pytest.mark.parametrize(
    ("outcomes", "reason"),
    [
        ([FAILURE] * 5, "consecutive_failures"),
        ([FAILURE, FAILURE, SUCCESS] * 4, "failure_rate"),
        ([FAILURE, SUCCESS, SUCCESS, SUCCESS] * 10, None),
        ([FAILURE] * 4, None),
        ([NONE] * 50, None),
    ],
)
def test_circuit_opens_after_consecutive_failures_or_at_a_rate(outcomes, reason):
    circuits = make_circuits(ManualClock())
    changes = [change for change in record_all(circuits, "a", outcomes) if change]
    assert [change.reason for change in changes[:1]] == ([reason] if reason else [])
    assert circuits.is_open("a") == bool(reason)


@pytest.mark.parametrize(
    ("outcome", "state"), [(SUCCESS, "closed"), (FAILURE, "open"), (NONE, "half_open")]
)
def test_one_probe_decides_the_state_of_the_circuit(outcome, state):
    clock = ManualClock()
    circuits = make_circuits(clock)
    record_all(circuits, "a", [FAILURE] * 5)
    clock.advance(1.0)
    assert not circuits.is_open("a")
    assert circuits.record_attempt("a").state == "half_open"
    assert circuits.is_open("a")
    circuits.record_result("a", outcome)
    assert circuits.state("a") == state


@pytest.mark.parametrize(("outcome", "grows"), [(FAILURE, True), (SUCCESS, False)])
def test_answer_that_begins_closes_the_circuit(outcome, grows):
    """Pauses grow until a request succeeds, as an answer that began may still break."""
    clock = ManualClock()
    circuits = make_circuits(clock, consecutive=1, base_pause=1.0, max_pause=8.0)
    first_pause = circuits.record_result("a", FAILURE).pause
    assert circuits.record_answer_begun("a") is None
    assert circuits.is_open("a")
    clock.advance(1.0)
    circuits.record_attempt("a")
    assert circuits.record_answer_begun("a").state == "closed"
    assert not circuits.is_open("a")
    openings = [
        change for change in record_all(circuits, "a", [outcome, FAILURE]) if change
    ]
    assert first_pause <= 1.0
    assert (openings[0].pause > 1.0) == grows


def test_probe_without_a_result_blocks_only_until_its_timeout():
    clock = ManualClock()
    circuits = make_circuits(clock, probe_timeout=10.0)
    record_all(circuits, "a", [FAILURE] * 5)
    clock.advance(1.0)
    circuits.record_attempt("a")
    clock.advance(10.0)
    assert not circuits.is_open("a")


def test_pauses_grow_up_to_their_maximum():
    clock = ManualClock()
    circuits = make_circuits(clock, base_pause=1.0, max_pause=8.0)
    pauses = [record_all(circuits, "a", [FAILURE] * 5)[-1].pause]
    for _ in range(8):
        clock.advance(8.0)
        circuits.record_attempt("a")
        pauses.append(circuits.record_result("a", FAILURE).pause)
    assert pauses[0] <= 1.0 < pauses[-1] <= 8.0


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.sampled_from(TARGETS), st.booleans()), max_size=120))
def test_only_a_share_of_the_targets_is_ejected(events):
    clock = ManualClock()
    circuits = make_circuits(clock, ejected_share=0.5)
    for target, succeeds in events:
        circuits.record_result(target, SUCCESS if succeeds else FAILURE)
        clock.advance(0.1)
        assert sum(circuits.state(name) != "closed" for name in TARGETS) <= 2


def test_single_target_of_a_service_is_never_ejected():
    circuits = Circuits(ManualClock(), Random(1))
    circuits.set_targets(["only"])
    record_all(circuits, "only", [FAILURE] * 100)
    assert not circuits.is_open("only")


def test_circuits_of_removed_targets_are_dropped():
    circuits = make_circuits(ManualClock())
    record_all(circuits, "a", [FAILURE] * 5)
    circuits.set_targets(["b"])
    circuits.set_targets(TARGETS)
    assert circuits.state("a") == "closed"
