"""What pairs of plays say, without playing any."""

import math
from pathlib import Path

import pytest

from benchmarks.rounds.__main__ import FIRST_SEED, chosen_plays
from benchmarks.rounds.ablation import (
    BUILT_FROM,
    MECHANISMS,
    PACKAGE,
    copy_without,
)
from benchmarks.rounds.pairs import Pair, compare, part_differences, table
from benchmarks.rounds.plays import Figures, Play, read_report

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


def test_a_copy_takes_only_what_is_built(tmp_path):
    """Caches of tools change while a checkout is copied; here one is broken."""
    checkout = copy_without(MECHANISMS[0], ROOT, tmp_path)
    (checkout / ".hypothesis").symlink_to("nowhere")
    copy = copy_without(MECHANISMS[1], checkout, tmp_path)
    found = {path.name for path in copy.iterdir()}
    assert found == {*BUILT_FROM, "journal"}
