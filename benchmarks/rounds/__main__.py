"""Compares two checkouts: ``python -m benchmarks.rounds --help``.

A change is kept if its mean gain is more than two standard errors. It is also kept if
callers get more in a test that plays the load, and no site loses worth. Single plays of
the same version differ by 0.2 and more, so both versions play each day with several
seeds.
"""

import argparse
import json
import sys
import tomllib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict
from pathlib import Path

from benchmarks.rounds.pairs import Pair, table
from benchmarks.rounds.plays import Figures, NotPlayed, Play, play

FIRST_SEED = 7001


def chosen_plays(
    sites: list[Path], days: list[str], seeds: int, vary: bool
) -> list[Play]:
    """Return the plays of all sites, ordered by site, seed and day.

    Parameters
    ----------
    sites : list of Path
        Site files.
    days : list of str
        Prefixes of the names of days; empty for all days.
    seeds : int
        Number of seeds, from `FIRST_SEED` on.
    vary : bool
        Whether seeds vary the troubles too.
    """
    found = []
    for site in sites:
        names = [day["name"] for day in tomllib.loads(site.read_text())["day"]]
        for number in range(seeds):
            for name in names:
                if not days or any(name.startswith(prefix) for prefix in days):
                    found.append(Play(site, name, FIRST_SEED + number, vary))
    return found


def play_pairs(arguments: argparse.Namespace, plays: list[Play]) -> Iterator[Pair]:
    """Play each day with both versions, and yield the pairs as they are completed.

    A day that a version could not play is reported on stderr and left out.
    """

    def play_both(what: Play) -> tuple[Play, list[Figures | NotPlayed]]:
        found = []
        for label, checkout in (
            ("before", arguments.before),
            ("after", arguments.after),
        ):
            why = f"pair {what.name}, {label}: {arguments.why}"
            found.append(play(arguments.bench, checkout, what, why))
        return what, found

    with ThreadPoolExecutor(arguments.jobs) as executor:
        for number, (what, figures) in enumerate(executor.map(play_both, plays), 1):
            before, after = figures
            if isinstance(before, NotPlayed) or isinstance(after, NotPlayed):
                reasons = [
                    outcome.reason
                    for outcome in figures
                    if isinstance(outcome, NotPlayed)
                ]
                print(f"{what.name}: not played: {reasons}", file=sys.stderr)
                continue
            pair = Pair(what, before, after)
            print(
                f"{number}/{len(plays)} {what.name}: {before.worth:.3f} -> "
                f"{after.worth:.3f} {' '.join(after.broken)}",
                file=sys.stderr,
                flush=True,
            )
            yield pair


def plot(pairs: list[Pair], path: Path) -> None:
    """Draw the worth of each pair: with the code after over that before."""
    # Imported here, as only this command needs matplotlib.
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(5, 5))
    for day in sorted({pair.what.day for pair in pairs}):
        of_day = [pair for pair in pairs if pair.what.day == day]
        before = [pair.before.worth for pair in of_day]
        after = [pair.after.worth for pair in of_day]
        axes.plot(before, after, "o", label=day)
    axes.plot([0, 1], [0, 1], "k:", linewidth=0.8)
    axes.set(xlabel="worth before", ylabel="worth after", xlim=(0, 1), ylim=(0, 1))
    axes.legend(fontsize="small")
    figure.savefig(path, bbox_inches="tight")
    pyplot.close(figure)


def main(argv: list[str] | None = None) -> int:
    """Play the pairs and print the comparison."""
    parser = argparse.ArgumentParser(prog="benchmarks.rounds")
    parser.add_argument("--bench", type=Path, required=True, help="the users' program")
    parser.add_argument("--site", type=Path, action="append", required=True)
    parser.add_argument(
        "--before", type=Path, required=True, help="a checkout of the code before"
    )
    parser.add_argument(
        "--after", type=Path, required=True, help="a checkout of the code after"
    )
    parser.add_argument("--day", action="append", default=[], help="prefix of the days")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument(
        "--vary", action="store_true", help="vary the troubles by the seed too"
    )
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", required=True, help="the change, for the journal")
    parser.add_argument("--json", type=Path, help="file for the figures")
    parser.add_argument("--plot", type=Path, help="file for the picture")
    arguments = parser.parse_args(argv)
    plays = chosen_plays(arguments.site, arguments.day, arguments.seeds, arguments.vary)
    pairs = list(play_pairs(arguments, plays))
    if not pairs:
        print("no pair was played", file=sys.stderr)
        return 1
    print(table(pairs))
    if arguments.json:
        rows = [asdict(pair) for pair in pairs]
        arguments.json.write_text(json.dumps(rows, default=str, indent=1))
    if arguments.plot:
        plot(pairs, arguments.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
