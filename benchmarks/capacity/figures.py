"""Figures: repeated values with their median and spread, slopes, tables."""

from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from statistics import linear_regression, median
from typing import Any

DIGITS = 3


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    Attributes
    ----------
    role : str
        Whose it is: ``entry``, ``side`` or another process.
    name, unit : str
        What was measured.
    values : tuple of float
        One for each repetition.
    note : str
        Under which conditions.
    """

    role: str
    name: str
    unit: str
    values: tuple[float, ...]
    note: str = ""

    @property
    def median(self) -> float:
        """The middle one of the values."""
        return median(self.values)

    @property
    def spread(self) -> tuple[float, float]:
        """The lowest and the highest value."""
        return min(self.values), max(self.values)

    def to_json(self) -> dict[str, Any]:
        """Return the figure as JSON data."""
        low, high = self.spread
        return asdict(self) | {"median": self.median, "low": low, "high": high}


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line fitted by least squares."""

    slope: float
    intercept: float


def fit(points: Iterable[tuple[float, float]]) -> Line:
    """Return the line through `points`, pairs of size and cost."""
    sizes, costs = zip(*points, strict=True)
    slope, intercept = linear_regression(sizes, costs)
    return Line(slope, intercept)


def slope_figures(
    role: str,
    name: str,
    unit: str,
    lines: Sequence[Line],
    note: str = "",
    base: str = "without any",
) -> list[Figure]:
    """Return the slope and the intercept of repeated fits as two figures."""
    slopes = tuple(line.slope for line in lines)
    intercepts = tuple(line.intercept for line in lines)
    whole = unit.partition(" per ")[0]
    return [
        Figure(role, name, unit, slopes, note),
        Figure(role, f"{name}, {base}", whole, intercepts, note),
    ]


def table(figures: Sequence[Figure]) -> str:
    """Return `figures` as a text table."""
    rows = [("role", "figure", "median", "low", "high", "unit", "conditions")]
    for figure in figures:
        numbers = (figure.median, *figure.spread)
        shown = tuple(f"{number:.{DIGITS}g}" for number in numbers)
        rows.append((figure.role, figure.name, *shown, figure.unit, figure.note))
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = zip(row, widths, strict=True)
        lines.append("  ".join(cell.ljust(width) for cell, width in cells).rstrip())
    return "\n".join(lines)
