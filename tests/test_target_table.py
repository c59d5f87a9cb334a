import random

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.targets.table import (
    CIRCUIT_SETTINGS,
    LATENCY_TTL_SECONDS,
    EXPECTED_LOAD_SECONDS,
    MAX_CANDIDATES,
    PROBE_SECONDS,
    REPLACED_SECONDS,
    TargetTable,
)
from wigeonfront.targets.target import Target
from wigeonfront.targets.views import EngineState, OtherOwnersReport

MODEL, OTHER = "m", "o"


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table(clock):
    table = TargetTable(clock, random.Random(1))
    table.set_targets([Target("e", "s", "h:1", "z", 6, versions={MODEL: 1})])
    return table


def takes(table, clock, model=MODEL):
    (view,) = table.views("s")
    return view.refused_until.get(model, 0.0) <= clock.monotonic()


def test_after_a_refusal_one_request_at_a_time_finds_out(table, clock):
    table.record_started("e", MODEL)
    table.record_refused("e", MODEL)
    assert not takes(table, clock)
    assert takes(table, clock, OTHER)
    clock.advance(PROBE_SECONDS)
    assert takes(table, clock)
    table.record_started("e", MODEL)
    assert not takes(table, clock)
    table.record_accepted("e", MODEL)
    for _ in range(3):
        assert takes(table, clock)
        table.record_started("e", MODEL)


def test_an_engine_that_is_to_load_gets_one_request_at_a_time(table, clock):
    table.expect_load("e", MODEL, 2)
    assert takes(table, clock)
    table.record_started("e", MODEL)
    assert not takes(table, clock)
    table.record_started("e", OTHER)
    assert takes(table, clock, OTHER)
    table.record_accepted("e", MODEL)
    assert takes(table, clock)


def closing(table):
    return table.views("s")[0].loading


def test_an_engine_is_closing_until_it_has_the_version(table, clock):
    table.expect_load("e", MODEL, 3)
    table.record_accepted("e", MODEL)
    table.record_version("e", MODEL, 2)
    assert closing(table) == {MODEL}
    table.record_version("e", MODEL, 3)
    assert closing(table) == frozenset()
    table.expect_load("e", MODEL, 5)
    clock.advance(EXPECTED_LOAD_SECONDS)
    assert closing(table) == frozenset()


def test_a_target_that_was_replaced_rests_until_its_registration_ends(table, clock):
    table.record_replaced("e")
    assert not table.views("s")[0].available
    clock.advance(REPLACED_SECONDS)
    assert table.views("s")[0].available


@pytest.mark.parametrize(
    ("call", "arguments"), [("record_refused", ()), ("expect_load", (2,)), ("record_accepted", ())]
)
def test_a_target_that_is_gone_is_passed_over(table, call, arguments):
    getattr(table, call)("gone", MODEL, *arguments)
    assert [view.target.id for view in table.views("s")] == ["e"]


def latency(table):
    return table.views("s")[0].latency


def test_a_slow_target_is_tried_again_after_some_time(table, clock):
    table.record_pace("e", 0.2)
    clock.advance(LATENCY_TTL_SECONDS - 1)
    assert latency(table) == 0.2
    clock.advance(1)
    assert latency(table) == 0.0
    table.record_pace("e", 0.05)
    assert latency(table) == 0.05


@pytest.mark.parametrize(("age", "taken"), [(1.0, 1), (5.0, 0)])
def test_only_newer_paces_of_others_count(table, clock, age, taken):
    clock.advance(20.0)
    table.record_pace("e", 0.04)
    clock.advance(3.0)
    told = [EngineState("e", 0, 0.06, age), EngineState("gone", 0, 0.05, 0.0)]
    table.set_other_owners(OtherOwnersReport(1, told))
    assert latency(table) == (0.06 if taken else 0.04)
    (state,) = table.engine_states()
    assert state == EngineState("e", 0, latency(table), age if taken else 3.0)


def test_runs_of_other_owners_count_as_load(table):
    table.record_started("e", MODEL)
    told = [EngineState("e", 2, 0.0, 0.0), EngineState("e", 1, 0.0, 0.0)]
    table.set_other_owners(OtherOwnersReport(2, told))
    assert table.views("s")[0].load == 4
    assert [state.runs for state in table.engine_states()] == [1]
    table.set_other_owners(OtherOwnersReport(2, []))
    assert table.views("s")[0].load == 1


@pytest.mark.parametrize(
    ("owners", "model", "load"),
    [(0, MODEL, 3), (1, MODEL, 5), (3, MODEL, 5), (1, "", 3)],
)
def test_another_owner_is_taken_to_send_alike_until_it_tells(
    table, owners, model, load
):
    table.record_started("e", MODEL)
    table.set_other_owners(OtherOwnersReport(owners, []))
    for _ in range(2):
        table.record_started("e", model)
    assert table.views("s")[0].load == load
    table.set_other_owners(OtherOwnersReport(owners, []))
    assert table.views("s")[0].load == 3


def test_a_probe_that_generates_closes_the_circuit(table, clock):
    """The run itself may go on for seconds, in which its engine would stay empty."""
    # The only target of a service is never left alone.
    others = [Target(id, "s", f"h:{id}", "z", 6) for id in ("2", "3")]
    table.set_targets([*table.all_targets(), *others])
    for _ in range(CIRCUIT_SETTINGS.consecutive):
        table.record_started("e", MODEL)
        table.record_ended("e", "failure")
    assert not table.views("s")[0].available
    clock.advance(CIRCUIT_SETTINGS.max_pause)
    assert table.views("s")[0].available
    table.record_started("e", MODEL)
    assert not table.views("s")[0].available
    table.record_accepted("e", MODEL)
    assert table.views("s")[0].available


@pytest.mark.parametrize(("seen", "registered", "known"), [(5, 1, 5), (3, 1, 3)])
def test_answers_tell_an_engines_version_sooner_than_registrations(
    table, seen, registered, known
):
    table.record_version("e", MODEL, seen)
    table.set_targets([Target("e", "s", "h:1", "z", 6, versions={MODEL: registered})])
    (view,) = table.views("s")
    assert view.versions[MODEL] == known


def test_an_engine_that_went_back_is_known_as_such(table):
    """An order carried out late, after a restart, takes an engine back."""
    table.record_version("e", MODEL, 5)
    table.record_version("e", MODEL, 3)
    (view,) = table.views("s")
    assert view.versions[MODEL] == 3


@pytest.mark.parametrize("count", [20, MAX_CANDIDATES, 3_000])
def test_a_process_looks_at_few_targets_of_a_large_service(count):
    """The same ones each time, and others than another process."""
    clock = ManualClock(100.0)
    targets = [Target(f"t{n}", "s", f"h:{n}", "z", 6) for n in range(count)]
    found = []
    for name in ("n1", "n2"):
        table = TargetTable(clock, random.Random(1), name)
        table.set_targets(targets)
        first = [view.target.id for view in table.views("s", MAX_CANDIDATES)]
        table.set_targets(targets[::-1])
        again = [view.target.id for view in table.views("s", MAX_CANDIDATES)]
        assert len(first) == min(count, MAX_CANDIDATES)
        assert set(first) == set(again)
        assert len(table.views("s")) == count
        found.append(set(first))
    shared = len(found[0] & found[1])
    assert shared == count if count <= MAX_CANDIDATES else shared < MAX_CANDIDATES / 4
