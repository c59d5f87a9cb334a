"""Which groups a trainer waits for, and that only these run while slots are divided."""

import pytest

from wigeonfront.rollout.lot import Lot, Sample, SampleResult
from wigeonfront.rollout.lot_demand import lot_demand, waited_groups
from wigeonfront.rollout.overload import ranks_in_overload
from wigeonfront.rollout.progress import LotProgress, SubmissionTimes
from wigeonfront.rollout.recent_texts import IncompleteSamples
from wigeonfront.rollout.scheduling import waiting_samples

SECONDS = {"a": 1.0, "b": 2.0, "c": 3.0, "d": 4.0, "e": 5.0}


def progress_of(groups="abcd", wanted=2, lot_id="l", account="", required=()):
    samples = tuple(
        Sample(f"{group}-{n}", "/x", (), b"", group, "m", 100)
        for group in groups
        for n in range(2)
    )
    lot = Lot(lot_id, "h", "/", samples, "m", 0, wanted, 0.0, 7.5, account=account)
    progress = LotProgress(lot, 1, [], SubmissionTimes())
    progress.required_groups = frozenset(required)
    return progress


def finish(progress, *samples):
    for sample in samples:
        progress.finish(SampleResult(sample, completed=True))


def seconds(state):
    return SECONDS[state.sample.group]


@pytest.mark.parametrize(
    ("required", "finished", "waited"),
    [
        ("", [], "ab"),
        ("d", [], "ad"),
        ("cd", [], "cd"),
        # More groups are required than the trainer waits for: all of them count.
        ("bcd", [], "bcd"),
        ("d", ["a-0", "a-1"], "d"),
        # A whole group that isn't required can't stand in for a required one.
        ("d", ["a-0", "a-1", "b-0", "b-1"], "d"),
        ("d", ["d-0", "d-1"], "a"),
        ("", ["c-0", "c-1"], "a"),
        ("", ["c-0", "c-1", "d-0", "d-1"], ""),
    ],
)
def test_required_groups_are_waited_for_and_the_shortest_others(
    required, finished, waited
):
    progress = progress_of(required=required)
    finish(progress, *finished)
    assert sorted(waited_groups(progress, seconds)) == list(waited)


def test_a_group_that_only_waits_for_scores_is_waited_for_without_demand():
    progress = progress_of(wanted=1)
    for id in ("d-0", "d-1"):
        progress.open[id].text.whole = True
    assert waited_groups(progress, seconds) == {"d": []}


class Routed:
    """The part of a route that a demand is made of."""

    share_weight = 1.0

    class Share:
        service = "engines"

    shares = (Share,)


def test_the_demand_counts_only_groups_that_are_waited_for():
    progress = progress_of(required="d")
    progress.open["b-0"].running = True
    waited = waited_groups(progress, seconds)
    demand = lot_demand(progress, waited, Routed(), 0.0, seconds)
    assert (demand.running, demand.waiting, demand.seconds) == (1, 4, 10.0)


def test_samples_that_no_engine_can_run_now_demand_nothing():
    progress = progress_of(wanted=1)
    progress.open["a-0"].running = True
    waited = waited_groups(progress, seconds)
    demand = lot_demand(progress, waited, Routed(), 0.0, seconds, lambda sample: False)
    assert (demand.running, demand.waiting, demand.seconds) == (1, 0, 1.0)


@pytest.mark.parametrize(
    ("lot_id", "account", "left"),
    [("later", "", "bc"), ("earlier", "", ""), ("later", "other", "")],
)
def test_groups_that_an_earlier_lot_left_incomplete_are_required(lot_id, account, left):
    earlier = progress_of("abc", lot_id="earlier")
    finish(earlier, "a-0", "a-1", "b-0")
    samples = IncompleteSamples()
    samples.note(earlier)
    later = progress_of("abcd", lot_id=lot_id, account=account)
    assert samples.groups_left(later.lot) == frozenset(left)


def test_required_groups_stay_required_until_they_are_whole():
    samples = IncompleteSamples()
    samples.note(progress_of("ab", lot_id="first"))
    again = progress_of("abc", lot_id="second")
    again.required_groups = samples.groups_left(again.lot)
    finish(again, "a-0", "a-1")
    samples.note(again)
    assert samples.groups_left(again.lot) == frozenset("b")
    assert samples.groups_left(progress_of("abc", lot_id="third").lot) == frozenset(
        "bc"
    )


@pytest.mark.parametrize("slots", [2.5, 0.5])
def test_a_required_group_goes_before_a_shorter_one_that_nobody_waits_for(slots):
    progress = progress_of(groups="abcde", wanted=4, required="e")
    ranks = ranks_in_overload([progress], slots, 0.0, seconds)
    groups = [s.state.sample.group for s in waiting_samples([progress], 0.0, ranks)]
    assert groups.index("e") < groups.index("d")
