"""Plots the journal: ``python -m benchmarks.days.plots JOURNAL FOLDER``.

Writes a picture for each site, with the worth of each standard day over the scores.
"""

import argparse
import json
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

SINGLE_SCORE_PREFIX = "fresh"
"""Prefix of the names of days that are generated for a single score."""


@dataclass(frozen=True)
class Score:
    """One scoring of a site by the users' program.

    Attributes
    ----------
    site : str
    at : str
        Start time, as ISO 8601 text.
    lines : int
        Number of lines of the source code that was scored.
    worth : dict of str to float
        Worth of each standard day, by the name of the day.
    """

    site: str
    at: str
    lines: int
    worth: dict[str, float]


def read_scores(journal: Path) -> list[Score]:
    """Return the complete scores of a journal, from the oldest to the newest."""
    scores = []
    for path in sorted(journal.glob("*.json")):
        entry = json.loads(path.read_text())
        if entry.get("cmd") != "score" or not entry.get("days"):
            continue
        # Entries of a variant have the name of its site, but another file.
        if Path(entry["argv"][0]).stem != entry["site"]:
            continue
        worth = {
            day["name"]: day["G"]
            for day in entry["days"]
            if not day["name"].startswith(SINGLE_SCORE_PREFIX)
        }
        scores.append(Score(entry["site"], entry["at"][0], entry["lines"], worth))
    return sorted(scores, key=lambda score: score.at)


def plot(site: str, scores: list[Score], folder: Path) -> Path:
    """Draw the scores of a site; return the path of the picture."""
    # Imported here, as only this command needs matplotlib.
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    numbers = range(1, len(scores) + 1)
    for day in scores[-1].worth:
        axes.plot(numbers, [score.worth.get(day) for score in scores], "o-", label=day)
    axes.set(title=site, xlabel="score, in order of time", ylabel="worth")
    axes.set_ylim(0, 1)
    axes.legend(fontsize="small")
    path = folder / f"{site}.svg"
    figure.savefig(path, bbox_inches="tight")
    pyplot.close(figure)
    return path


def main() -> None:
    """Draw a picture for each site, and print its path."""
    parser = argparse.ArgumentParser(prog="benchmarks.days.plots")
    parser.add_argument("journal", type=Path)
    parser.add_argument("folder", type=Path)
    arguments = parser.parse_args()
    arguments.folder.mkdir(parents=True, exist_ok=True)
    sites: dict[str, list[Score]] = defaultdict(list)
    for score in read_scores(arguments.journal):
        sites[score.site].append(score)
    for site, scores in sites.items():
        print(plot(site, scores, arguments.folder))


if __name__ == "__main__":
    main()
