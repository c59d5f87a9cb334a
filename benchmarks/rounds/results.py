"""A file of plays, one on each line, from which a stopped run can continue."""

import json
import threading
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from benchmarks.rounds.pairs import Pair
from benchmarks.rounds.plays import Figures, Play

ALL_MECHANISMS = ""
"""The value of `Result.mechanism` for the unchanged code."""


@dataclass(frozen=True, slots=True)
class Result:
    """One play and its figures.

    Attributes
    ----------
    commit : str
        Commit of the checkout from which the played code was copied.
    mechanism : str
        Name of the mechanism that was disabled; `ALL_MECHANISMS` for none.
    site, day : str
        Names of the site and the day.
    seed : int
    figures : Figures
    """

    commit: str
    mechanism: str
    site: str
    day: str
    seed: int
    figures: Figures


class Results:
    """The plays in a file. Several threads may add plays.

    Parameters
    ----------
    path : Path
        Created with the first result.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lock = threading.Lock()
        self._all = list(_read(path)) if path.exists() else []

    @property
    def all(self) -> list[Result]:
        """All plays, in the order in which they were added."""
        with self._lock:
            return list(self._all)

    def add(self, result: Result) -> None:
        """Add a play, and append it to the file at once."""
        with self._lock:
            self._all.append(result)
            with self._path.open("a") as file:
                file.write(_line(result) + "\n")

    def find(self, mechanism: str, site: str, day: str, seed: int) -> Figures | None:
        """Return the figures of a play, or None if it was not played yet."""
        for result in self.all:
            if (result.mechanism, result.site, result.day, result.seed) == (
                mechanism,
                site,
                day,
                seed,
            ):
                return result.figures
        return None

    def pairs(self, mechanism: str, site: str) -> list[Pair]:
        """Return the pairs of plays with all mechanisms and without `mechanism`."""
        results = self.all
        unchanged = {
            (result.day, result.seed): result.figures
            for result in results
            if (result.mechanism, result.site) == (ALL_MECHANISMS, site)
        }
        return [
            Pair(
                Play(Path(f"{site}.toml"), result.day, result.seed),
                unchanged[result.day, result.seed],
                result.figures,
            )
            for result in results
            if (result.mechanism, result.site) == (mechanism, site)
            and (result.day, result.seed) in unchanged
        ]


def _line(result: Result) -> str:
    figures = result.figures
    return json.dumps(
        {
            "commit": result.commit,
            "mechanism": result.mechanism,
            "site": result.site,
            "day": result.day,
            "seed": result.seed,
            "worth": figures.worth,
            "parts": figures.parts,
            "broken": figures.broken,
        }
    )


def _read(path: Path) -> Iterator[Result]:
    for line in path.read_text().splitlines():
        row = json.loads(line)
        figures = Figures(row["worth"], row["parts"], tuple(row["broken"]))
        yield Result(
            row["commit"],
            row["mechanism"],
            row["site"],
            row["day"],
            row["seed"],
            figures,
        )
