"""What pairs of plays say: mean difference, its standard error, pairs won."""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import mean, stdev

from benchmarks.rounds.plays import Figures, Play

LEAST_GAIN_ERRORS = 2.0
"""Standard errors by which a mean gain must lie above zero to count as one."""

LEAST_SHOWN = 0.002
"""Mean difference of a part from which it is shown."""


@dataclass(frozen=True, slots=True)
class Pair:
    """The same day played by the code before and by the code that is tried."""

    what: Play
    before: Figures
    after: Figures

    @property
    def gain(self) -> float:
        """What the change adds to the day's worth."""
        return self.after.worth - self.before.worth


@dataclass(frozen=True, slots=True)
class Comparison:
    """Pairs of one day, of one site, or of all.

    Attributes
    ----------
    name : str
    count : int
    before, after : float
        Mean worth.
    gain : float
        Mean difference.
    error : float
        Its standard error; infinite for a single pair.
    won : float
        Share of pairs in which the change did better.
    broken_before, broken_after : int
        Plays that broke a rule.
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
        """Whether the difference is more than luck."""
        if self.gain > LEAST_GAIN_ERRORS * self.error:
            return "gain"
        if self.gain < -LEAST_GAIN_ERRORS * self.error:
            return "loss"
        return "no difference shown"


def compare(name: str, pairs: Sequence[Pair]) -> Comparison:
    """Return what `pairs` say."""
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
    """Return name, mean before and after, and standard error, of parts that differ."""
    names = {name for pair in pairs for name in (*pair.before.parts, *pair.after.parts)}
    rows = []
    for name in sorted(names):
        before = [pair.before.parts.get(name, 0.0) for pair in pairs]
        after = [pair.after.parts.get(name, 0.0) for pair in pairs]
        gains = [new - old for old, new in zip(before, after, strict=True)]
        error = stdev(gains) / math.sqrt(len(gains)) if len(gains) > 1 else math.inf
        if abs(mean(gains)) >= LEAST_SHOWN:
            rows.append((name, mean(before), mean(after), error))
    return rows


def table(pairs: Sequence[Pair]) -> str:
    """Return the figures as text."""
    lines = [
        f"{'':36}{'pairs':>6}{'before':>8}{'after':>8}{'gain':>8}{'error':>8}"
        f"{'won':>6}{'broken':>9}"
    ]
    for one in by_day_and_site(pairs):
        broken = f"{one.broken_before} -> {one.broken_after}"
        lines.append(
            f"{one.name:36}{one.count:6}{one.before:8.3f}{one.after:8.3f}"
            f"{one.gain:+8.3f}{one.error:8.3f}{one.won:6.2f}{broken:>9}  {one.verdict}"
        )
    lines.append("")
    for name, before, after, error in part_differences(pairs):
        gain = after - before
        lines.append(f"{name:36}{before:14.4f}{after:8.4f}{gain:+8.4f}{error:8.4f}")
    return "\n".join(lines)
