"""What a target table records and shows about targets in its views."""

import random

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.targets.table import (
    CIRCUIT_SETTINGS,
    EXPECTED_LOAD_SECONDS,
    LATENCY_TTL_SECONDS,
    MAX_CANDIDATES,
    PROBE_SECONDS,
    REPLACED_SECONDS,
    TargetTable,
)
from wigeonfront.targets.target import Target
from wigeonfront.targets.views import EngineState, OtherOwnersReport

MODEL, OTHER_MODEL = "m", "o"


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table(clock):
    table = TargetTable(clock, random.Random(1))
    table.set_targets([Target("e", "s", "h:1", "z", 6, versions={MODEL: 1})])
    return table


def accepts_requests(table, clock, model=MODEL):
    (view,) = table.views("s")
    return view.refused_until.get(model, 0.0) <= clock.monotonic()


def test_after_a_refusal_one_request_at_a_time_probes_the_target(table, clock):
    table.record_started("e", MODEL)
    table.record_refused("e", MODEL)
    assert not accepts_requests(table, clock)
    assert accepts_requests(table, clock, OTHER_MODEL)
    clock.advance(PROBE_SECONDS)
    assert accepts_requests(table, clock)
    table.record_started("e", MODEL)
    assert not accepts_requests(table, clock)
    table.record_accepted("e", MODEL)
    for _ in range(3):
        assert accepts_requests(table, clock)
        table.record_started("e", MODEL)


def test_engine_that_is_to_load_gets_one_request_at_a_time(table, clock):
    table.expect_load("e", MODEL, 2)
    assert accepts_requests(table, clock)
    table.record_started("e", MODEL)
    assert not accepts_requests(table, clock)
    table.record_started("e", OTHER_MODEL)
    assert accepts_requests(table, clock, OTHER_MODEL)
    table.record_accepted("e", MODEL)
    assert accepts_requests(table, clock)


def loading_models(table):
    return table.views("s")[0].loading


def test_engine_is_loading_until_it_answers_with_the_version(table, clock):
    table.expect_load("e", MODEL, 3)
    table.record_accepted("e", MODEL)
    table.record_version("e", MODEL, 2)
    assert loading_models(table) == {MODEL}
    table.record_version("e", MODEL, 3)
    assert loading_models(table) == frozenset()
    table.expect_load("e", MODEL, 5)
    clock.advance(EXPECTED_LOAD_SECONDS)
    assert loading_models(table) == frozenset()


def test_replaced_target_is_unavailable_until_its_registration_ends(table, clock):
    table.record_replaced("e")
    assert not table.views("s")[0].available
    clock.advance(REPLACED_SECONDS)
    assert table.views("s")[0].available


@pytest.mark.parametrize(
    ("method", "arguments"),
    [("record_refused", ()), ("expect_load", (2,)), ("record_accepted", ())],
)
def test_records_about_unknown_targets_are_ignored(table, method, arguments):
    getattr(table, method)("gone", MODEL, *arguments)
    assert [view.target.id for view in table.views("s")] == ["e"]


def latency(table):
    return table.views("s")[0].latency


def test_latency_counts_as_unknown_after_its_ttl(table, clock):
    table.record_pace("e", 0.2)
    clock.advance(LATENCY_TTL_SECONDS - 1)
    assert latency(table) == 0.2
    clock.advance(1)
    assert latency(table) == 0.0
    table.record_pace("e", 0.05)
    assert latency(table) == 0.05


@pytest.mark.parametrize(("age", "newer"), [(1.0, 1), (5.0, 0)])
def test_reported_pace_counts_only_if_it_is_newer(table, clock, age, newer):
    clock.advance(20.0)
    table.record_pace("e", 0.04)
    clock.advance(3.0)
    reported = [EngineState("e", 0, 0.06, age), EngineState("gone", 0, 0.05, 0.0)]
    table.set_other_owners(OtherOwnersReport(1, reported))
    assert latency(table) == (0.06 if newer else 0.04)
    (state,) = table.engine_states()
    assert state == EngineState("e", 0, latency(table), age if newer else 3.0)


def test_reported_runs_of_other_owners_count_as_load(table):
    table.record_started("e", MODEL)
    reported = [EngineState("e", 2, 0.0, 0.0), EngineState("e", 1, 0.0, 0.0)]
    table.set_other_owners(OtherOwnersReport(2, reported))
    assert table.views("s")[0].load == 4
    assert [state.runs for state in table.engine_states()] == [1]
    table.set_other_owners(OtherOwnersReport(2, []))
    assert table.views("s")[0].load == 1


@pytest.mark.parametrize(
    ("owners", "model", "load"),
    [(0, MODEL, 3), (1, MODEL, 5), (3, MODEL, 5), (1, "", 3)],
)
def test_other_owners_are_assumed_to_send_as_many_runs_until_they_report(
    table, owners, model, load
):
    table.record_started("e", MODEL)
    table.set_other_owners(OtherOwnersReport(owners, []))
    for _ in range(2):
        table.record_started("e", model)
    assert table.views("s")[0].load == load
    table.set_other_owners(OtherOwnersReport(owners, []))
    assert table.views("s")[0].load == 3


def test_probe_whose_answer_begins_closes_the_circuit(table, clock):
    """The run may go on for seconds, in which the engine would otherwise stay idle."""
    # A circuit never ejects the only target of a service.
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


@pytest.mark.parametrize(("answered", "registered", "known"), [(5, 1, 5), (3, 1, 3)])
def test_version_of_an_answer_counts_rather_than_a_registered_one(
    table, answered, registered, known
):
    table.record_version("e", MODEL, answered)
    table.set_targets([Target("e", "s", "h:1", "z", 6, versions={MODEL: registered})])
    (view,) = table.views("s")
    assert view.versions[MODEL] == known


def test_engine_may_return_to_an_older_version(table):
    """An order that is executed late, after a restart, takes an engine back."""
    table.record_version("e", MODEL, 5)
    table.record_version("e", MODEL, 3)
    (view,) = table.views("s")
    assert view.versions[MODEL] == 3


@pytest.mark.parametrize("count", [20, MAX_CANDIDATES, 3_000])
def test_limited_views_of_a_large_service_show_the_same_targets_each_time(count):
    """Different processes see different targets."""
    clock = ManualClock(100.0)
    targets = [Target(f"t{n}", "s", f"h:{n}", "z", 6) for n in range(count)]
    seen_by_process = []
    for name in ("n1", "n2"):
        table = TargetTable(clock, random.Random(1), name)
        table.set_targets(targets)
        first = [view.target.id for view in table.views("s", MAX_CANDIDATES)]
        table.set_targets(targets[::-1])
        again = [view.target.id for view in table.views("s", MAX_CANDIDATES)]
        assert len(first) == min(count, MAX_CANDIDATES)
        assert set(first) == set(again)
        assert len(table.views("s")) == count
        seen_by_process.append(set(first))
    shared = len(seen_by_process[0] & seen_by_process[1])
    assert shared == count if count <= MAX_CANDIDATES else shared < MAX_CANDIDATES / 4
