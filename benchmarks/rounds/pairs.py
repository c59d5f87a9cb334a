"""Comparison of pairs of plays: mean gain, its standard error, share of pairs won."""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import mean, stdev

from benchmarks.rounds.plays import Figures, Play

MIN_GAIN_ERRORS = 2.0
"""Number of standard errors by which a mean gain must exceed zero to count."""

MIN_SHOWN_DIFFERENCE = 0.002
"""Smallest mean difference of a part of the worth that the table shows."""


@dataclass(frozen=True, slots=True)
class Pair:
    """Plays of the same day with the code before and after a change.

    Attributes
    ----------
    what : Play
        The day, site and seed of both plays.
    before, after : Figures
    """

    what: Play
    before: Figures
    after: Figures

    @property
    def gain(self) -> float:
        """Difference in worth that the change makes."""
        return self.after.worth - self.before.worth


@dataclass(frozen=True, slots=True)
class Comparison:
    """The comparison of the pairs of one day, one site, or all sites.

    Attributes
    ----------
    name : str
        Of the day or site.
    count : int
        Number of pairs.
    before, after : float
        Mean worth.
    gain : float
        Mean difference.
    error : float
        Standard error of the gain; infinite for a single pair.
    won : float
        Share of the pairs in which the code after the change has the higher worth.
    broken_before, broken_after : int
        Number of plays that broke a rule.
    """

    name: str
    count: int
    before: float
    after: float
    gain: float
    error: float
    won: float
    broken_before: int
    broken_after: int

    @property
    def verdict(self) -> str:
        """Whether the difference is a significant gain or loss, or not significant."""
        if self.gain > MIN_GAIN_ERRORS * self.error:
            return "gain"
        if self.gain < -MIN_GAIN_ERRORS * self.error:
            return "loss"
        return "no difference shown"


def compare(name: str, pairs: Sequence[Pair]) -> Comparison:
    """Return the comparison of `pairs`."""
    gains = [pair.gain for pair in pairs]
    error = stdev(gains) / math.sqrt(len(gains)) if len(gains) > 1 else math.inf
    return Comparison(
        name=name,
        count=len(pairs),
        before=mean(pair.before.worth for pair in pairs),
        after=mean(pair.after.worth for pair in pairs),
        gain=mean(gains),
        error=error,
        won=mean(gain > 0 for gain in gains),
        broken_before=sum(bool(pair.before.broken) for pair in pairs),
        broken_after=sum(bool(pair.after.broken) for pair in pairs),
    )


def by_day_and_site(pairs: Iterable[Pair]) -> list[Comparison]:
    """Return a comparison for each day, each site, and all pairs."""
    pairs = list(pairs)
    groups: dict[str, list[Pair]] = defaultdict(list)
    for pair in pairs:
        groups[f"{pair.what.site.stem} {pair.what.day}"].append(pair)
    for pair in pairs:
        groups[f"{pair.what.site.stem}, all"].append(pair)
    found = [compare(name, group) for name, group in groups.items()]
    if len({pair.what.site for pair in pairs}) > 1:
        found.append(compare("all", pairs))
    return found


def part_differences(pairs: Sequence[Pair]) -> list[tuple[str, float, float, float]]:
    """Return the parts of the worth that differ.

    Returns
    -------
    list of tuple
        Name, mean before, mean after, and standard error of the difference.
    """
    names = {name for pair in pairs for name in (*pair.before.parts, *pair.after.parts)}
    rows = []
    for name in sorted(names):
        before = [pair.before.parts.get(name, 0.0) for pair in pairs]
        after = [pair.after.parts.get(name, 0.0) for pair in pairs]
        gains = [new - old for old, new in zip(before, after, strict=True)]
        error = stdev(gains) / math.sqrt(len(gains)) if len(gains) > 1 else math.inf
        if abs(mean(gains)) >= MIN_SHOWN_DIFFERENCE:
            rows.append((name, mean(before), mean(after), error))
    return rows


def table(pairs: Sequence[Pair]) -> str:
    """Return the comparisons and the parts that differ as a text table."""
    lines = [
        f"{'':36}{'pairs':>6}{'before':>8}{'after':>8}{'gain':>8}{'error':>8}"
        f"{'won':>6}{'broken':>9}"
    ]
    for found in by_day_and_site(pairs):
        broken = f"{found.broken_before} -> {found.broken_after}"
        lines.append(
            f"{found.name:36}{found.count:6}{found.before:8.3f}{found.after:8.3f}"
            f"{found.gain:+8.3f}{found.error:8.3f}{found.won:6.2f}{broken:>9}"
            f"  {found.verdict}"
        )
    lines.append("")
    for name, before, after, error in part_differences(pairs):
        gain = after - before
        lines.append(f"{name:36}{before:14.4f}{after:8.4f}{gain:+8.4f}{error:8.4f}")
    return "\n".join(lines)
