"""Measures the worth of mechanisms: ``python -m benchmarks.rounds.ablation --help``.

Each mechanism has a neutral form (`benchmarks.rounds.mechanisms`), which plays the same
days with the same seeds as the unchanged code. The table has the mean difference that
the mechanism makes, with its standard error. Each play is a line of a results file: a
run that was stopped continues from the file, and ``--show`` prints and draws the plays
that it has so far.
"""

import argparse
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from benchmarks.rounds.__main__ import chosen_plays
from benchmarks.rounds.mechanisms import (
    MECHANISMS,
    Mechanism,
    copy_checkout,
    copy_without,
)
from benchmarks.rounds.pairs import Comparison, Pair, compare
from benchmarks.rounds.plays import Figures, NotPlayed, Play, play
from benchmarks.rounds.results import ALL_MECHANISMS, Result, Results

MIN_PAIRS = 2
"""Smallest number of pairs whose mean has a standard error."""

PlayOne = Callable[[str, Play], Figures | NotPlayed]


@dataclass(frozen=True, slots=True)
class Task:
    """A pair to be played: the day with all mechanisms, and without one of them."""

    mechanism: str
    what: Play


def uncertainty(pairs: Sequence[Pair], planned: int) -> tuple[float, float]:
    """Return a sort key for how little is known about a mechanism on a site.

    The mechanism with the largest key is played next. The first part of the key is the
    standard error in relation to the gain and to the number of pairs, and the second
    prefers fewer pairs.

    Parameters
    ----------
    pairs : sequence of Pair
        The pairs that were played.
    planned : int
        Number of pairs that are being played.
    """
    count = len(pairs) + planned
    if len(pairs) < MIN_PAIRS or count < MIN_PAIRS:
        return float("inf"), -count
    found = compare("", pairs)
    return found.error / max(abs(found.gain), 1e-6) / count, -count


class Planner:
    """Chooses the pairs to play, so that the most uncertain mechanism comes next.

    Parameters
    ----------
    results : Results
    mechanisms : sequence of str
    plays : dict of str to list of Play
        The plays of each site, with the most important site first.
    max_pairs : int
        Maximum number of pairs of one mechanism on one site.
    """

    def __init__(
        self,
        results: Results,
        mechanisms: Sequence[str],
        plays: dict[str, list[Play]],
        max_pairs: int,
    ) -> None:
        self._results = results
        self._mechanisms = mechanisms
        self._plays = plays
        self._max_pairs = max_pairs
        self._lock = threading.Lock()
        self._begun: set[Task] = set()

    @property
    def total(self) -> int:
        """Number of pairs to play, including those that were played."""
        per_mechanism = sum(
            min(len(plays), self._max_pairs) for plays in self._plays.values()
        )
        return per_mechanism * len(self._mechanisms)

    def next(self) -> Task | None:
        """Return the pair to play next, and record that it is being played.

        The result is None if there is no pair left to play.
        """
        with self._lock:
            best: Task | None = None
            best_key = (0.0, 0.0)
            for site in self._plays:
                for mechanism in self._mechanisms:
                    task, key = self._next_task(mechanism, site)
                    if task is not None and (best is None or key > best_key):
                        best, best_key = task, key
            if best is not None:
                self._begun.add(best)
            return best

    def _next_task(
        self, mechanism: str, site: str
    ) -> tuple[Task | None, tuple[float, float]]:
        """Return the next pair of a mechanism on a site, and its `uncertainty`."""
        pairs = self._results.pairs(mechanism, site)
        played = {(pair.what.day, pair.what.seed) for pair in pairs}
        begun = {
            (task.what.day, task.what.seed)
            for task in self._begun
            if task.mechanism == mechanism and task.what.site.stem == site
        }
        open_tasks = [
            Task(mechanism, what)
            for what in self._plays[site][: self._max_pairs]
            if (what.day, what.seed) not in played | begun
        ]
        key = uncertainty(pairs, len(begun - played))
        return (open_tasks[0] if open_tasks else None), key


def play_task(task: Task, results: Results, commit: str, play_one: PlayOne) -> str:
    """Play those plays of a pair that are not in the results yet.

    Returns
    -------
    str
        A line about the pair.
    """
    site, what = task.what.site.stem, task.what
    worths = []
    for mechanism in (ALL_MECHANISMS, task.mechanism):
        figures: Figures | NotPlayed | None
        figures = results.find(mechanism, site, what.day, what.seed)
        if figures is None:
            figures = play_one(mechanism, what)
            if isinstance(figures, NotPlayed):
                return f"{what.name}: not played: {figures.reason}"
            result = Result(commit, mechanism, site, what.day, what.seed, figures)
            results.add(result)
        worths.append(f"{figures.worth:.3f} {' '.join(figures.broken)}".strip())
    return f"{what.name} without {task.mechanism}: {worths[0]} -> {worths[1]}"


def table_row(found: Comparison) -> str:
    """Return the line of a mechanism, whose worth is the loss without it."""
    verdict = {"loss": "worth it", "gain": "harms"}.get(found.verdict, "not shown")
    if found.broken_after > found.broken_before:
        verdict += ", guards a rule"
    return (
        f"{found.name:34}{found.count:6}{found.before:8.3f}{found.after:9.3f}"
        f"{-found.gain:+8.3f}{found.error:8.3f}{1 - found.won:6.2f}"
        f"{found.broken_after:8}  {verdict}"
    )


def table(results: Results) -> str:
    """Return a table of the mechanisms that were played, for each site."""
    rows = []
    for site in dict.fromkeys(result.site for result in results.all):
        rows.append(
            f"{site:34}{'pairs':>6}{'with':>8}{'without':>9}{'worth':>8}"
            f"{'error':>8}{'won':>6}{'broken':>8}"
        )
        for mechanism in MECHANISMS:
            pairs = results.pairs(mechanism.name, site)
            if pairs:
                rows.append(table_row(compare(mechanism.name, pairs)))
    return "\n".join(rows)


def draw(results: Results, path: Path) -> None:
    """Draw the worth of each mechanism on each site, with two standard errors."""
    # Imported here, as only this command needs matplotlib.
    from matplotlib import pyplot

    sites = list(dict.fromkeys(result.site for result in results.all))
    names = [mechanism.name for mechanism in MECHANISMS]
    figure, axes = pyplot.subplots(figsize=(8, 9))
    for number, site in enumerate(sites):
        compared = [
            (index + 0.15 * number, compare(name, pairs))
            for index, name in enumerate(names)
            if len(pairs := results.pairs(name, site)) >= MIN_PAIRS
        ]
        worths = [-comparison.gain for _, comparison in compared]
        errors = [2 * comparison.error for _, comparison in compared]
        positions = [position for position, _ in compared]
        axes.errorbar(worths, positions, xerr=errors, fmt="o", label=site, capsize=2)
    axes.axvline(0, color="k", linewidth=0.8)
    axes.set(yticks=range(len(names)), yticklabels=names, xlabel="worth of a day")
    axes.legend(fontsize="small")
    figure.savefig(path, bbox_inches="tight")
    pyplot.close(figure)


def commit_of(checkout: Path) -> str:
    """Return the abbreviated hash of the commit that is checked out."""
    command = ["git", "-C", str(checkout), "rev-parse", "--short", "HEAD"]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout[
        :-1
    ]


def parse(argv: list[str] | None) -> argparse.Namespace:
    """Return the options of the command; exits with status 2 if they are wrong."""
    parser = argparse.ArgumentParser(prog="benchmarks.rounds.ablation")
    parser.add_argument(
        "--results", type=Path, required=True, help="file with the plays"
    )
    parser.add_argument(
        "--show", action="store_true", help="play nothing, and show the plays so far"
    )
    parser.add_argument("--plot", type=Path, help="file for the picture")
    parser.add_argument("--bench", type=Path, help="the users' program")
    parser.add_argument("--site", type=Path, action="append", default=[])
    parser.add_argument("--checkout", type=Path)
    parser.add_argument(
        "--folder", type=Path, help="folder for the copies of the checkout"
    )
    parser.add_argument("--day", action="append", default=[], help="prefix of the days")
    parser.add_argument(
        "--only", action="append", default=[], help="prefix of the mechanisms"
    )
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument(
        "--pairs",
        type=int,
        default=12,
        help="maximum number of pairs of a mechanism on a site",
    )
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument(
        "--budget", type=float, default=1e6, help="time to play, in minutes"
    )
    parser.add_argument(
        "--no-cpu", action="store_true", help="do not count processor time"
    )
    parser.add_argument(
        "--small", action="store_true", help="play the small variants of the days"
    )
    arguments = parser.parse_args(argv)
    needed = (arguments.bench, arguments.checkout, arguments.folder, arguments.site)
    if not arguments.show and not all(needed):
        parser.error("--bench, --checkout, --folder and --site are needed to play")
    return arguments


def run(arguments: argparse.Namespace, results: Results) -> None:
    """Play pairs until all are played or the time budget is used up."""
    chosen = [
        mechanism
        for mechanism in MECHANISMS
        if not arguments.only or any(map(mechanism.name.startswith, arguments.only))
    ]
    copies = make_copies(chosen, arguments.checkout, arguments.folder)
    flags = [
        flag
        for flag, wanted in (
            ("--no-cpu", arguments.no_cpu),
            ("--small", arguments.small),
        )
        if wanted
    ]
    plays = {
        site.stem: chosen_plays([site], arguments.day, arguments.seeds, vary=False)
        for site in arguments.site
    }
    planner = Planner(
        results, [mechanism.name for mechanism in chosen], plays, arguments.pairs
    )
    commit = commit_of(arguments.checkout)
    began = time.monotonic()
    deadline = began + 60 * arguments.budget

    def play_one(mechanism: str, what: Play) -> Figures | NotPlayed:
        why = f"ablation, without {mechanism or 'nothing'}: {what.name}"
        return play(arguments.bench, copies[mechanism], what, why, flags)

    def work(number: int) -> None:
        while time.monotonic() < deadline and (task := planner.next()) is not None:
            line = play_task(task, results, commit, play_one)
            minutes = (time.monotonic() - began) / 60
            print(
                f"{minutes:.0f} min, {len(results.all)} plays so far, "
                f"{planner.total} pairs to play in all; {line}",
                file=sys.stderr,
                flush=True,
            )

    with ThreadPoolExecutor(arguments.jobs) as executor:
        list(executor.map(work, range(arguments.jobs)))


def make_copies(
    mechanisms: Sequence[Mechanism], checkout: Path, folder: Path
) -> dict[str, Path]:
    """Copy the checkout once as it is and once without each mechanism.

    Returns
    -------
    dict of str to Path
        The copies, by the name of the mechanism that each lacks.
    """
    copies = {ALL_MECHANISMS: copy_checkout(checkout, folder / "whole")}
    for mechanism in mechanisms:
        copies[mechanism.name] = copy_without(mechanism, checkout, folder)
    return copies


def main(argv: list[str] | None = None) -> int:
    """Play the pairs that are missing, and print the table."""
    arguments = parse(argv)
    results = Results(arguments.results)
    if not arguments.show:
        run(arguments, results)
    print(table(results))
    if arguments.plot:
        draw(results, arguments.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
