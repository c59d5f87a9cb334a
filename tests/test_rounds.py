"""Comparison of plays, mechanisms and mutations, without playing any day."""

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
from benchmarks.rounds.results import ALL_MECHANISMS, Result, Results

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


def test_a_report_has_worth_parts_prices_and_broken_rules():
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
def test_a_gain_exceeds_two_standard_errors(worths, gain, error, won, verdict):
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
    assert [(play.day, play.seed) for play in found] == [
        ("trouble-1", FIRST_SEED),
        ("trouble-1", FIRST_SEED + 1),
    ]
    assert len(chosen_plays([path], [], 3, vary=False)) == 6
    assert found[0].name == "s/trouble-1#7001"


@pytest.mark.parametrize("mechanism", MECHANISMS, ids=lambda mechanism: mechanism.name)
def test_each_mechanism_has_a_neutral_form_that_still_compiles(mechanism, tmp_path):
    copy = copy_without(mechanism, ROOT, tmp_path)
    changed = copy / PACKAGE / mechanism.file
    compile(changed.read_text(), str(changed), "exec")


@pytest.mark.parametrize(
    "mutation", MUTATIONS, ids=lambda mutation: mutation.change.name
)
def test_the_source_has_the_lines_of_each_mutation_once(mutation):
    text = (ROOT / PACKAGE / mutation.change.file).read_text()
    assert [text.count(old) for old, _ in mutation.change.changes] == [1] * len(
        mutation.change.changes
    )


def test_a_copy_has_only_the_paths_that_are_built(tmp_path):
    """Caches of tools may change during a copy; here a cache is a broken link."""
    checkout = copy_without(MECHANISMS[0], ROOT, tmp_path)
    (checkout / ".hypothesis").symlink_to("nowhere")
    copy = copy_without(MECHANISMS[1], checkout, tmp_path)
    found = {path.name for path in copy.iterdir()}
    assert found == {*BUILT_FROM, "journal"}


def plays_of(site, *seeds):
    return [Play(Path(f"{site}.toml"), "d", seed) for seed in seeds]


def result_of(mechanism, site, seed, worth):
    return Result("abc", mechanism, site, "d", seed, Figures(worth, {"nines": worth}))


def test_a_run_continues_with_the_plays_in_its_file(tmp_path):
    path = tmp_path / "results.jsonl"
    first = Results(path)
    first.add(result_of(ALL_MECHANISMS, "a", 1, 0.6))
    first.add(result_of("moves", "a", 1, 0.5))
    reopened = Results(path)
    assert reopened.all == first.all
    (pair,) = reopened.pairs("moves", "a")
    assert (pair.before.worth, pair.after.worth) == (0.6, 0.5)
    played = []

    def play_one(mechanism, what):
        played.append((mechanism, what.seed))
        return Figures(0.7)

    for seed in (1, 2):
        task = Task("moves", Play(Path("a.toml"), "d", seed))
        play_task(task, reopened, "abc", play_one)
    assert played == [(ALL_MECHANISMS, 2), ("moves", 2)]
    assert len(Results(path).pairs("moves", "a")) == 2


def test_a_day_that_was_not_played_adds_no_result(tmp_path):
    results = Results(tmp_path / "results.jsonl")
    task = Task("moves", Play(Path("a.toml"), "d", 1))
    line = play_task(task, results, "abc", lambda *_: NotPlayed("too busy"))
    assert "too busy" in line
    assert results.all == []


@pytest.mark.parametrize(
    ("known", "expected"),
    [
        # Without any play, the first mechanism on the first site comes first.
        ([], ("moves", "a", 1)),
        # A mechanism without a pair precedes one with a single pair.
        ([("moves", "a", 1, 0.1)], ("feeds", "a", 1)),
        # The second mechanism has the larger error in relation to its mean.
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
def test_the_most_uncertain_mechanism_is_played_next(known, expected, tmp_path):
    results = Results(tmp_path / "results.jsonl")
    for seed in (1, 2, 3):
        results.add(result_of(ALL_MECHANISMS, "a", seed, 0.5))
    for mechanism, site, seed, worth in known:
        results.add(result_of(mechanism, site, seed, 0.5 - worth))
    plays = {"a": plays_of("a", 1, 2, 3)}
    task = Planner(results, ["moves", "feeds"], plays, 12).next()
    assert (task.mechanism, task.what.site.stem, task.what.seed) == expected


def test_no_pair_is_played_twice_or_beyond_the_maximum(tmp_path):
    results = Results(tmp_path / "results.jsonl")
    plays = {"a": plays_of("a", 1, 2, 3), "b": plays_of("b", 1)}
    planner = Planner(results, ["moves", "feeds"], plays, 2)
    tasks = []
    while (task := planner.next()) is not None:
        tasks.append(task)
    assert len(set(tasks)) == len(tasks) == planner.total == 6


def test_the_table_shows_the_plays_so_far(tmp_path):
    results = Results(tmp_path / "results.jsonl")
    results.add(result_of(ALL_MECHANISMS, "a", 1, 0.6))
    assert "moves" not in ablation_table(results)
    results.add(result_of("moves", "a", 1, 0.5))
    assert "moves" in ablation_table(results)
    assert "+0.100" in ablation_table(results)
