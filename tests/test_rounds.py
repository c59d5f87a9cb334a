"""What pairs of plays say, without playing any."""

import math
from pathlib import Path

import pytest

from benchmarks.mutations.decisions import MUTATIONS
from benchmarks.rounds.__main__ import FIRST_SEED, chosen_plays
from benchmarks.rounds.ablation import Planner, Task, play_task
from benchmarks.rounds.ablation import table as ablation_table
from benchmarks.rounds.mechanisms import (
    BUILT_FROM,
    MECHANISMS,
    PACKAGE,
    copy_without,
)
from benchmarks.rounds.pairs import Pair, compare, part_differences, table
from benchmarks.rounds.plays import Figures, NotPlayed, Play, read_report
from benchmarks.rounds.results import WHOLE, Result, Results

SITE = Path("site.toml")
ROOT = Path(__file__).parents[1]

REPORT = {
    "G": 0.68,
    "unserved": 0.02,
    "parts": [["whole day", 0.4, 0.96], ["nines", 0.35, 0.57]],
    "prices": [["memory", 18.0, 0.03]],
    "breaks": {"LOST": 2},
    "fault": None,
    "classes": [{"name": "plain", "worth": 1.0}],
}


def pairs_of(*worths):
    return [
        Pair(Play(SITE, "d", 1), Figures(before, {"x": before}), Figures(after))
        for before, after in worths
    ]


def test_a_report_gives_worth_parts_prices_and_broken_rules():
    figures = read_report(REPORT)
    assert (figures.worth, figures.broken) == (0.68, ("LOST 2",))
    assert figures.parts == {
        "whole day": 0.96,
        "nines": 0.57,
        "unserved": 0.02,
        "class plain": 1.0,
        "price memory": 0.03,
    }
    assert read_report(REPORT | {"fault": "ended"}).broken == ("LOST 2", "ended")


@pytest.mark.parametrize(
    ("worths", "gain", "error", "won", "verdict"),
    [
        ([(0.5, 0.6), (0.5, 0.62), (0.5, 0.61)], 0.11, 0.00577, 1.0, "gain"),
        ([(0.6, 0.5), (0.62, 0.5), (0.61, 0.5)], -0.11, 0.00577, 0.0, "loss"),
        ([(0.5, 0.7), (0.7, 0.55)], 0.025, 0.175, 0.5, "no difference shown"),
        ([(0.5, 0.9)], 0.4, math.inf, 1.0, "no difference shown"),
    ],
)
def test_a_gain_is_over_two_standard_errors(worths, gain, error, won, verdict):
    found = compare("d", pairs_of(*worths))
    assert found.gain == pytest.approx(gain)
    assert found.error == pytest.approx(error, rel=0.01)
    assert (found.won, found.verdict) == (won, verdict)


def test_parts_that_differ_and_broken_rules_are_shown():
    pairs = pairs_of((0.5, 0.6), (0.4, 0.6))
    assert part_differences(pairs)[0][:3] == ("x", pytest.approx(0.45), 0.0)
    broken = Pair(pairs[0].what, pairs[0].before, Figures(0.0, {}, ("LOST 1",)))
    assert "0 -> 1" in table([broken, *pairs])


def test_each_day_is_played_with_each_seed(tmp_path):
    path = tmp_path / "s.toml"
    path.write_text('[[day]]\nname = "quiet-1"\n[[day]]\nname = "trouble-1"\n')
    found = chosen_plays([path], ["trouble"], 2, vary=True)
    assert [(one.day, one.seed) for one in found] == [
        ("trouble-1", FIRST_SEED),
        ("trouble-1", FIRST_SEED + 1),
    ]
    assert len(chosen_plays([path], [], 3, vary=False)) == 6
    assert found[0].name == "s/trouble-1#7001"


@pytest.mark.parametrize("mechanism", MECHANISMS, ids=lambda one: one.name)
def test_each_mechanism_has_a_neutral_form_that_still_compiles(mechanism, tmp_path):
    copy = copy_without(mechanism, ROOT, tmp_path)
    changed = copy / PACKAGE / mechanism.file
    compile(changed.read_text(), str(changed), "exec")


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda one: one.change.name)
def test_the_lines_of_each_mutation_stand_there_once(mutation):
    text = (ROOT / PACKAGE / mutation.change.file).read_text()
    assert [text.count(old) for old, _ in mutation.change.changes] == [1] * len(
        mutation.change.changes
    )


def test_a_copy_takes_only_what_is_built(tmp_path):
    """Caches of tools change while a checkout is copied; here one is broken."""
    checkout = copy_without(MECHANISMS[0], ROOT, tmp_path)
    (checkout / ".hypothesis").symlink_to("nowhere")
    copy = copy_without(MECHANISMS[1], checkout, tmp_path)
    found = {path.name for path in copy.iterdir()}
    assert found == {*BUILT_FROM, "journal"}


def plays_of(site, *seeds):
    return [Play(Path(f"{site}.toml"), "d", seed) for seed in seeds]


def result_of(mechanism, site, seed, worth):
    return Result("abc", mechanism, site, "d", seed, Figures(worth, {"nines": worth}))


def test_a_run_goes_on_with_what_its_file_holds(tmp_path):
    path = tmp_path / "results.jsonl"
    first = Results(path)
    first.add(result_of(WHOLE, "a", 1, 0.6))
    first.add(result_of("moves", "a", 1, 0.5))
    again = Results(path)
    assert again.all == first.all
    (pair,) = again.pairs("moves", "a")
    assert (pair.before.worth, pair.after.worth) == (0.6, 0.5)
    played = []

    def play_one(mechanism, what):
        played.append((mechanism, what.seed))
        return Figures(0.7)

    for seed in (1, 2):
        task = Task("moves", Play(Path("a.toml"), "d", seed))
        play_task(task, again, "abc", play_one)
    assert played == [(WHOLE, 2), ("moves", 2)]
    assert len(Results(path).pairs("moves", "a")) == 2


def test_a_day_that_was_not_played_leaves_no_line(tmp_path):
    results = Results(tmp_path / "results.jsonl")
    task = Task("moves", Play(Path("a.toml"), "d", 1))
    line = play_task(task, results, "abc", lambda *_: NotPlayed("too busy"))
    assert "too busy" in line
    assert results.all == []


@pytest.mark.parametrize(
    ("known", "expected"),
    [
        # Nothing is known: the first mechanism on the first site.
        ([], ("moves", "a", 1)),
        # One pair gives no standard error: the others come first.
        ([("moves", "a", 1, 0.1)], ("feeds", "a", 1)),
        # The error of the second is larger against its mean.
        (
            [
                ("moves", "a", 1, 0.1),
                ("moves", "a", 2, 0.11),
                ("feeds", "a", 1, 0.1),
                ("feeds", "a", 2, -0.08),
            ],
            ("feeds", "a", 3),
        ),
    ],
)
def test_what_is_least_known_is_played_next(known, expected, tmp_path):
    results = Results(tmp_path / "results.jsonl")
    for seed in (1, 2, 3):
        results.add(result_of(WHOLE, "a", seed, 0.5))
    for mechanism, site, seed, worth in known:
        results.add(result_of(mechanism, site, seed, 0.5 - worth))
    plays = {"a": plays_of("a", 1, 2, 3)}
    task = Planner(results, ["moves", "feeds"], plays, 12).next()
    assert (task.mechanism, task.what.site.stem, task.what.seed) == expected


def test_no_pair_is_played_twice_or_beyond_the_bound(tmp_path):
    results = Results(tmp_path / "results.jsonl")
    plays = {"a": plays_of("a", 1, 2, 3), "b": plays_of("b", 1)}
    planner = Planner(results, ["moves", "feeds"], plays, 2)
    tasks = []
    while (task := planner.next()) is not None:
        tasks.append(task)
    assert len(set(tasks)) == len(tasks) == planner.total == 6


def test_the_table_shows_what_is_known_at_any_moment(tmp_path):
    results = Results(tmp_path / "results.jsonl")
    results.add(result_of(WHOLE, "a", 1, 0.6))
    assert "moves" not in ablation_table(results)
    results.add(result_of("moves", "a", 1, 0.5))
    assert "moves" in ablation_table(results)
    assert "+0.100" in ablation_table(results)
