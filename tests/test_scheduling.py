import pytest

from wigeonfront.rollout.events import Text
from wigeonfront.rollout.lot import Lot, Sample, SampleResult
from wigeonfront.rollout.progress import LotProgress, SubmissionTimes
from wigeonfront.rollout.scheduling import (
    BATCH_SECONDS,
    FIRST_EVENT_SECONDS,
    MAX_FIRST_EVENT_SECONDS,
    TEXT_SECONDS,
    EngineRoom,
    OpenSample,
    WeightNeeds,
    batch_due,
    choose_engine,
    engine_priority,
    engines_in_quota,
    first_event_wait,
    has_room,
    has_shared_room,
    should_move,
    texts_due,
    waiting_samples,
)
from wigeonfront.targets.target import Target
from wigeonfront.targets.views import TargetView

MODEL = "m"


def sample(id, group="g", tokens=100):
    return Sample(id, "/x", (), b"", group, MODEL, tokens)


def progress(samples, wanted=0, submitted=0.0, **fields):
    lot = Lot(
        "lot",
        "h",
        "/p/",
        tuple(samples),
        model=MODEL,
        target_groups=wanted,
        due_seconds=7.5,
        **fields,
    )
    return LotProgress(lot, 1, [], SubmissionTimes(submitted, submitted))


def engine(id, in_flight=0, others=0, version=None, latency=0.0, **fields):
    target = Target(id, "s", "1.2.3.4:5", "z", slots=6)
    values = {
        "available": True,
        "draining": False,
        "versions": {} if version is None else {MODEL: version},
        "refused_until": {},
    }
    return TargetView(target, in_flight + others, latency, **(values | fields))


def test_samples_are_sorted_by_latest_start():
    old = progress([sample("a", tokens=100), sample("b", tokens=4000)])
    young = progress([sample("c", tokens=100), sample("d", tokens=9000)], submitted=1.0)
    order = [waiting.state.sample.id for waiting in waiting_samples([young, old], 0.0)]
    assert order == ["d", "b", "a", "c"]


def test_running_and_paused_samples_are_not_sent():
    lot = progress([sample("a"), sample("b"), sample("c")])
    lot.open["a"].running = True
    lot.open["b"].not_before = 5.0
    assert [waiting.state.sample.id for waiting in waiting_samples([lot], 1.0)] == ["c"]
    assert len(waiting_samples([lot], 5.0)) == 2


@pytest.mark.parametrize(
    ("views", "group", "avoid", "chosen"),
    [
        ([engine("a", 3), engine("b", 1)], (), "", "b"),
        ([engine("a", 1), engine("b", 0, others=4)], (), "", "a"),
        ([engine("a", 6), engine("b", 6)], (), "", None),
        # The engine that runs the group is chosen if it is not much fuller.
        ([engine("a", 3), engine("b", 2)], ("a",), "", "a"),
        ([engine("a", 5), engine("b", 2)], ("a",), "", "b"),
        # Weights that are known to be too old are left out; unknown ones are not.
        ([engine("a", version=2), engine("b", 5, version=3)], (), "", "b"),
        ([engine("a"), engine("b", 5, version=3)], (), "", "a"),
        ([engine("a", version=2)], (), "", None),
        ([engine("a", refused_until={MODEL: 9.0}), engine("b", 5)], (), "", "b"),
        ([engine("a", draining=True), engine("b", 5)], (), "", "b"),
        ([engine("a", available=False), engine("b", 5)], (), "", "b"),
        ([engine("a", available=False)], (), "", None),
        ([engine("a"), engine("b", 5)], (), "a", "b"),
        ([engine("a")], (), "a", "a"),
        # Engines differ in speed and slow down as they fill.
        ([engine("a", latency=0.06), engine("b", latency=0.05)], (), "", "b"),
        ([engine("a", latency=0.06), engine("b", 4, latency=0.05)], (), "", "b"),
        ([engine("a", latency=0.06), engine("b", 5, latency=0.05)], (), "", "a"),
        ([engine("a", latency=0.06), engine("b"), engine("c", 5)], (), "", "a"),
        # A slow engine gets samples only while no other has a free slot.
        ([engine("a", latency=0.2), engine("b", 5, latency=0.04)], (), "", "b"),
        ([engine("a", latency=0.2), engine("b", 6, latency=0.04)], (), "", "a"),
    ],
)
def test_the_engine_that_runs_a_sample_fastest_is_chosen(views, group, avoid, chosen):
    found = choose_engine(
        views, WeightNeeds(MODEL, 3), frozenset(group), avoid, now=1.0
    )
    assert (found.target.id if found else None) == chosen


OLD, NEW = engine("old", version=3), engine("new", 4, version=4)
CLOSING = engine("closing", version=3, loading=frozenset({MODEL}))


@pytest.mark.parametrize(
    ("views", "needs", "chosen"),
    [
        ([CLOSING, NEW], WeightNeeds(MODEL, 3), "closing"),
        ([CLOSING, NEW], WeightNeeds(MODEL, 3, single_version=True), "new"),
        ([CLOSING, OLD], WeightNeeds(MODEL, 3, single_version=True), "old"),
        ([CLOSING], WeightNeeds(MODEL, 3, single_version=True), None),
        ([OLD, NEW], WeightNeeds(MODEL, 3, True, text_version=4), "new"),
        ([CLOSING, NEW], WeightNeeds(MODEL, 3, True, text_version=3), "closing"),
        ([OLD], WeightNeeds(MODEL, 3, True, text_version=4), None),
        ([engine("unknown"), NEW], WeightNeeds(MODEL, 3, True, text_version=4), "new"),
    ],
)
def test_a_single_version_sample_gets_an_engine_that_keeps_its_version(
    views, needs, chosen
):
    found = choose_engine(views, needs, frozenset(), "", now=1.0)
    assert (found.target.id if found else None) == chosen


@pytest.mark.parametrize(
    ("single", "versions", "bound"),
    [(True, {4}, 4), (False, {4}, 0), (True, set(), 0)],
)
def test_a_text_binds_only_single_version_samples_to_a_version(single, versions, bound):
    lot = progress([sample("a")], single_version=single, min_version=3)
    state = lot.open["a"]
    state.text = Text([b"x"] * len(versions), versions)
    assert OpenSample(lot, state).needs == WeightNeeds(MODEL, 3, single, bound)


QUICK = engine("quick", latency=0.04)
FULL = engine("full", 6, latency=0.04)
SLOW = engine("slow", latency=0.09)


@pytest.mark.parametrize(
    ("pace", "tokens", "moves", "others", "moved"),
    [
        # Far slower than the others: it moves even if they have no free slot.
        (0.10, 3000, 0, (QUICK, QUICK), True),
        (0.10, 3000, 0, (FULL, FULL), True),
        (0.10, 3000, 0, (SLOW, SLOW, FULL), False),
        (0.10, 9000, 0, (SLOW, SLOW, FULL), False),
        # A move to a faster engine with a free slot must save half a second.
        (0.07, 3000, 0, (QUICK, FULL), True),
        (0.07, 3000, 0, (FULL, FULL), False),
        (0.05, 3000, 0, (QUICK,), True),
        (0.045, 3000, 0, (QUICK,), False),
        (0.07, 600, 0, (QUICK,), False),
        (0.10, 3000, 0, (SLOW, SLOW, QUICK), True),
        # No move of a short rest, beyond the limit, or without a known pace.
        (0.10, 100, 0, (QUICK, QUICK), False),
        (0.10, 3000, 3, (QUICK, QUICK), False),
        (0.10, 3000, 0, (), False),
        (0.10, 3000, 0, (engine("new"),), False),
    ],
)
def test_a_run_is_moved_if_it_ends_clearly_sooner_elsewhere(
    pace, tokens, moves, others, moved
):
    assert should_move(others, pace, tokens, pace / 50, moves) is moved


@pytest.mark.parametrize(
    ("quota", "runs", "moved"), [(2, 1, True), (2, 2, False), (0, 0, False)]
)
def test_a_run_is_moved_to_slots_of_its_trainer_only(quota, runs, moved):
    others = [engine("b", latency=0.05)]
    room = EngineRoom({"b": quota}, {"b": runs})
    assert should_move(others, 0.08, 3000, 0.08 / 50, 0)
    assert should_move(others, 0.08, 3000, 0.08 / 50, 0, room) is moved


@pytest.mark.parametrize(
    ("quota", "runs", "others", "starved", "found"),
    [
        (1, 0, 0, False, ["a"]),
        (1, 1, 0, False, ["a", "b"]),
        (0, 0, 6, False, ["b"]),
        (1, 0, 6, False, ["b"]),
        (1, 0, 6, True, ["a", "b"]),
    ],
)
def test_engines_within_the_quota_go_first(quota, runs, others, starved, found):
    views = [
        engine("a", reported=others, reported_lately=others),
        engine("b"),
    ]
    room = EngineRoom({"a": quota}, {"a": runs}, starved)
    assert [chosen.target.id for chosen in engines_in_quota(views, room)] == found


@pytest.mark.parametrize(
    ("tokens", "priority"), [(0, 5), (499, 5), (500, 4), (1000, 3), (2000, 2)]
)
def test_long_samples_get_a_higher_priority_at_engines(tokens, priority):
    assert engine_priority(tokens) == priority


def finish(lot, *ids):
    for id in ids:
        assert lot.finish(SampleResult(id, True, b"t", (3,)))


def test_results_are_written_at_once_when_the_wanted_groups_are_whole():
    groups = [sample(f"{g}{n}", group=g) for g in "xyz" for n in "12"]
    lot = progress(groups, wanted=2)
    lot.flushed_at = 10.0
    finish(lot, "x1", "x2", "y1")
    assert not batch_due(lot, 10.1)
    assert batch_due(lot, 10.0 + BATCH_SECONDS)
    finish(lot, "y2")
    assert batch_due(lot, 10.1)


def test_nothing_is_written_without_results_or_after_the_end():
    lot = progress([sample("a")])
    assert not batch_due(lot, 99.0)
    finish(lot, "a")
    lot.ended = True
    assert not batch_due(lot, 99.0)


@pytest.mark.parametrize(
    ("events", "saved", "elapsed", "ended", "due"),
    [
        (8, 0, TEXT_SECONDS, False, True),
        (8, 8, TEXT_SECONDS, False, False),
        (16, 8, TEXT_SECONDS, False, True),
        (0, 0, TEXT_SECONDS, False, False),
        (8, 0, TEXT_SECONDS / 2, False, False),
        (8, 0, TEXT_SECONDS, True, False),
    ],
)
def test_snapshots_of_growing_texts_are_written_periodically(
    events, saved, elapsed, ended, due
):
    lot = progress([sample("a")])
    lot.flushed_at, lot.ended = 10.0, ended
    lot.open["a"].snapshot = Text([b"x"] * events, {1}) if events else None
    lot.open["a"].saved = saved
    assert texts_due(lot, 10.0 + elapsed) is due


def test_the_extent_of_a_written_snapshot_is_recorded():
    lot = progress([sample("a"), sample("b")])
    lot.open["a"].snapshot = Text([b"x"] * 8, {1})
    texts = lot.snapshots()
    assert set(texts) == {"a"}
    lot.batch_kept(len(lot.kept), texts)
    assert lot.open["a"].saved == 8


def test_a_batch_in_doubt_is_written_again_unchanged():
    lot = progress([sample("a"), sample("b")])
    finish(lot, "a")
    first = lot.begin_batch(1000)
    finish(lot, "b")
    assert lot.begin_batch(1000) is first
    lot.batch_kept(len(lot.kept))
    assert [result.id for result in lot.kept] == ["a"]
    assert [result.id for result in lot.begin_batch(1000)] == ["b"]


def test_a_batch_is_limited_in_bytes_but_holds_one_result_at_least():
    lot = progress([sample("a"), sample("b"), sample("c")])
    finish(lot, "a", "b", "c")
    assert len(lot.begin_batch(2)) == 2
    lot.batch_kept(len(lot.kept))
    assert len(lot.begin_batch(0)) == 1


def test_a_sample_gets_only_one_result():
    lot = progress([sample("a")])
    finish(lot, "a")
    assert not lot.finish(SampleResult("a", False))
    assert not lot.finish(SampleResult("unknown", False))


@pytest.mark.parametrize(
    ("in_flight", "others", "silent_runs", "expected"),
    [
        (0, 0, 0, FIRST_EVENT_SECONDS),
        (3, 0, 1, 2 * FIRST_EVENT_SECONDS),
        (0, 0, 9, MAX_FIRST_EVENT_SECONDS),
        # On a full engine the run may only wait for a slot.
        (4, 0, 0, MAX_FIRST_EVENT_SECONDS),
        (2, 2, 0, MAX_FIRST_EVENT_SECONDS),
    ],
)
def test_the_first_event_timeout_is_shorter_on_an_engine_with_a_free_slot(
    in_flight, others, silent_runs, expected
):
    target = Target("e", "s", "h:1", "z", 4)
    view = TargetView(target, in_flight, 0.0, True, False, {}, {}, others=others)
    assert first_event_wait(view, silent_runs) == expected


@pytest.mark.parametrize(
    ("own", "others", "alone", "shared"),
    [
        (0, 0, True, True),
        (0, 6, True, True),
        (2, 4, True, True),
        (3, 3, True, False),
        (3, 2, True, True),
        (6, 0, False, False),
    ],
)
def test_while_slots_are_short_an_owner_may_use_half_of_an_engine(
    own, others, alone, shared
):
    target = Target("e", "s", "h:1", "z", 6)
    view = TargetView(target, own, 0.0, True, False, {}, {}, others=others)
    assert has_room(view) is alone
    assert has_shared_room(view) is shared
