from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonfront.clock import ManualClock
from wigeonfront.policy.waves import (
    Peers,
    Swap,
    SwapSchedule,
    Wait,
    WaveSettings,
    drained,
    may_swap,
    rank,
    start_offset,
)

NAMES = tuple(f"side-{i}" for i in range(6))


def schedule(clock, name="side-0", **options):
    return SwapSchedule(name, "judge-llm", WaveSettings(**options), clock, Random(2))


@pytest.mark.parametrize(
    ("width", "store_rate", "offsets"),
    [
        (0.17, 0.0, [0, 5, 10, 15, 20, 25]),
        (0.34, 0.0, [0, 0, 5, 5, 10, 10]),
        (0.5, 0.0, [0, 0, 0, 5, 5, 5]),
        (1.0, 0.0, [0, 0, 0, 0, 0, 0]),
        (1.0, 0.5, [0, 2, 4, 6, 8, 10]),
        (0.34, 0.1, [0, 10, 20, 30, 40, 50]),
        (0.01, 0.0, [0, 5, 10, 15, 20, 25]),
    ],
)
def test_waves_keep_their_width_and_the_rate_of_the_store(width, store_rate, offsets):
    wave = WaveSettings(width=width, swap_seconds=5.0, store_rate=store_rate)
    assert [start_offset(place, 6, wave) for place in range(6)] == offsets


def test_every_side_computes_the_same_ranks_and_they_change_with_the_version():
    ranks = [rank(name, "m", 7, NAMES) for name in NAMES]
    assert sorted(ranks) == list(range(6))
    assert ranks == [rank(name, "m", 7, NAMES[::-1]) for name in NAMES]
    assert len({rank("side-0", "m", version, NAMES) for version in range(40)}) > 3


@pytest.mark.parametrize(
    ("place", "elapsed", "serving", "unusable", "reason"),
    [
        (0, 0.0, 6, False, "turn"),
        (2, 0.0, 6, False, "later_wave"),
        (2, 5.0, 6, False, "turn"),
        (2, 5.0, None, False, "turn"),
        (2, 5.0, 3, False, "serving_floor"),
        (2, 500.0, 3, False, "floor_patience_over"),
        (5, 0.0, 1, True, "engine_unusable"),
    ],
)
def test_when_a_side_may_swap(place, elapsed, serving, unusable, reason):
    wave = WaveSettings(width=0.34, swap_seconds=5.0, floor=0.5)
    decision = may_swap(place, elapsed, Peers(NAMES, serving), wave, unusable=unusable)
    assert decision.reason == reason
    if isinstance(decision, Wait):
        assert decision.seconds > 0


def test_a_schedule_swaps_to_the_newest_version_and_then_rests():
    clock = ManualClock()
    made = schedule(clock, width=1.0)
    assert made.decide(0, Peers(NAMES)) is None or made.newest == -1
    assert made.learned(4) and not made.learned(3) and not made.learned(4)
    assert made.decide(0, Peers(NAMES)).version == 4
    assert made.decide(4, Peers(NAMES)) is None


@settings(derandomize=True, deadline=None, max_examples=40)
@given(st.sampled_from(NAMES), st.floats(0.1, 10.0), st.sampled_from([0.17, 0.34, 1.0]))
def test_versions_that_come_fast_starve_no_side(name, period, width):
    clock = ManualClock()
    made = schedule(clock, name, width=width, swap_seconds=5.0)
    last = start_offset(5, 6, WaveSettings(width=width, swap_seconds=5.0))
    version = 0
    while clock.monotonic() <= last:
        version += 1
        made.learned(version)
        clock.advance(period)
    assert isinstance(made.decide(0, Peers(NAMES)), Swap)


def test_failed_loads_are_spaced_out():
    clock = ManualClock()
    made = schedule(clock, width=1.0)
    made.learned(1)
    pause = made.failed(retry_after=3.0)
    assert pause >= 3.0
    assert made.decide(0, Peers(NAMES)).reason == "after_failure"
    clock.advance(pause)
    assert isinstance(made.decide(-1, Peers(NAMES)), Swap)
    assert all(made.failed() <= 30.0 for _ in range(40))


@pytest.mark.parametrize(
    ("running", "waited", "expected"),
    [(0, 0.0, True), (2, 0.5, False), (2, 2.0, True)],
)
def test_a_swap_waits_for_urgent_work_but_not_for_ever(running, waited, expected):
    assert drained(running, waited, WaveSettings(drain_seconds=2.0)) == expected
