"""Tests which reward call goes first, to which target, and when it is retried."""

import pytest

from wigeonfront.rollout.events import Text
from wigeonfront.rollout.lot import Lot, RewardCall, Sample, SampleResult
from wigeonfront.rollout.progress import LotProgress
from wigeonfront.rollout.reward_call import (
    CallBroken,
    CallFailed,
    CallRefused,
)
from wigeonfront.rollout.reward_scheduling import (
    MAX_PAUSE_SECONDS,
    MIN_WAIT_SECONDS,
    SLOW_SECONDS,
    choose_call_target,
    due_calls,
    max_own_calls,
    max_wait,
    pause_after,
    slow_after,
)
from wigeonfront.targets.target import Target
from wigeonfront.targets.views import TargetView


def sample(id, group):
    return Sample(id, "/x", (), b"", group, reward_call=RewardCall(f"c-{id}", "h", "/"))


def progress_of(**groups):
    """Return the progress of a Lot, given when the text of each sample became whole.

    The times are listed by group; ``None`` stands for a sample that still runs, and
    "done" for a sample with a result.
    """
    samples = [
        (sample(f"{group}{number}", group), since)
        for group, times in groups.items()
        for number, since in enumerate(times)
    ]
    progress = LotProgress(Lot("l", "h", "/", tuple(s for s, _ in samples)), 1, [])
    for item, since in samples:
        state = progress.open[item.id]
        if since == "done":
            progress.finish(SampleResult(item.id, True))
        elif since is not None:
            state.text = Text([b"x"], {1})
            state.mark_text_whole(since)
    return progress


def due_ids(progress, now=10.0):
    return [due.state.sample.id for due in due_calls([progress], now)]


@pytest.mark.parametrize(
    ("groups", "expected"),
    [
        # The call that makes a group whole goes first, however late its text was.
        ({"a": [1, 1], "b": [5, "done"]}, ["b0", "a0", "a1"]),
        # Among equals, the call that has waited longest goes first.
        ({"a": [3], "b": [2]}, ["b0", "a0"]),
        # A text in progress has no call yet.
        ({"a": [None, 1]}, ["a1"]),
        ({"a": [None]}, []),
    ],
)
def test_calls_go_first_whose_groups_lack_the_fewest_results(groups, expected):
    assert due_ids(progress_of(**groups)) == expected


def test_calls_in_progress_or_paused_or_of_an_ended_lot_are_not_due():
    progress = progress_of(a=[1, 1, 1])
    progress.open["a0"].call.sends = 1
    progress.open["a0"].call.sent_at = 10.0
    progress.open["a0"].call.slow_after = 5.0
    progress.open["a1"].call.not_before = 10.5
    assert due_ids(progress) == ["a2"]
    assert due_ids(progress, 10.6) == ["a1", "a2"]
    progress.ended = True
    assert due_ids(progress) == []


@pytest.mark.parametrize(
    ("sends", "sent_at", "due"),
    [(0, 0.0, True), (1, 9.6, False), (1, 9.4, True), (2, 1.0, False)],
)
def test_a_second_send_is_made_only_while_the_first_is_slow(sends, sent_at, due):
    progress = progress_of(a=[1])
    call = progress.open["a0"].call
    call.sends, call.sent_at, call.slow_after = sends, sent_at, SLOW_SECONDS
    assert (due_ids(progress) == ["a0"]) is due


@pytest.mark.parametrize(("latency", "expected"), [(0.0, 0.5), (0.1, 0.5), (0.8, 2.0)])
def test_the_threshold_for_slow_sends_follows_the_targets_latency(latency, expected):
    assert slow_after(latency) == pytest.approx(expected)


def view(id, in_flight=0, slots=6, draining=False, available=True):
    target = Target(id, "s", "h:1", "z", slots)
    return TargetView(target, in_flight, 0.2, available, draining, {}, {})


@pytest.mark.parametrize(
    ("views", "own", "tried", "expected"),
    [
        ([view("a", 1), view("b")], {}, (), "b"),
        ([view("a"), view("b", 3)], {"a": 2}, (), "b"),
        ([view("a"), view("b", 3)], {}, {"a"}, "b"),
        # Once every target was tried, any may be chosen again.
        ([view("a"), view("b", 3)], {}, {"a", "b"}, "a"),
        # A tried target with a free slot is better than waiting.
        ([view("a"), view("b")], {"b": 2}, {"a"}, "a"),
        ([view("a"), view("b")], {"a": 2, "b": 2}, (), None),
        ([view("a", draining=True)], {}, (), None),
        ([view("a", available=False), view("b", 5)], {}, (), "b"),
        ([], {}, (), None),
    ],
)
def test_a_call_prefers_targets_with_free_slots_that_it_has_not_tried(
    views, own, tried, expected
):
    chosen = choose_call_target(views, own, tried, "z")
    assert (chosen and chosen.target.id) == expected


@pytest.mark.parametrize(
    ("slots", "waited", "limit"),
    [
        (0, 0.0, 1),
        (1, 9.0, 1),
        (2, 0.0, 1),
        (6, 0.0, 2),
        (6, 1.0, 4),
        (6, 2.0, 6),
        (6, 60.0, 6),
        (12, 0.0, 4),
        (12, -1.0, 4),
    ],
)
def test_slots_are_left_for_callers_until_a_call_has_waited(slots, waited, limit):
    assert max_own_calls(slots, waited) == limit


@pytest.mark.parametrize(
    ("latency", "tries", "longest", "expected"),
    [
        (0.0, 0, 3.0, MIN_WAIT_SECONDS),
        (0.4, 0, 3.0, 2.0),
        (0.0, 1, 3.0, 2 * MIN_WAIT_SECONDS),
        (0.0, 5, 3.0, 3.0),
        (0.0, 2000, 30.0, 30.0),
        (0.4, 0, 0.7, 0.7),
    ],
)
def test_the_timeout_doubles_with_each_try_up_to_its_limit(
    latency, tries, longest, expected
):
    assert max_wait(latency, tries, longest) == expected


@pytest.mark.parametrize(
    ("outcome", "tries", "min_pause", "max_pause"),
    [
        (CallFailed("status 500"), 1, 0.0, 0.0),
        (CallBroken("reset"), 1, 0.0, 0.0),
        (CallBroken("reset"), 2, 0.1, 0.3),
        (CallRefused("full"), 1, 0.05, 0.2),
        (CallRefused("full"), 4, 0.5, 1.0),
        (CallRefused("full"), 500, MAX_PAUSE_SECONDS, MAX_PAUSE_SECONDS),
        (CallBroken("reset"), 500, MAX_PAUSE_SECONDS, MAX_PAUSE_SECONDS),
    ],
)
def test_pauses_between_tries_grow(outcome, tries, min_pause, max_pause):
    assert min_pause <= pause_after(outcome, tries) <= max_pause
