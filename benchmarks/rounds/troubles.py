"""Measures what each trouble costs: ``python -m benchmarks.rounds.troubles --help``.

Each day is played unchanged, without each of its troubles in turn, without the final
fault, and without any trouble. The worth that a play gains is the cost of the trouble.
"""

import argparse
import json
import sys
import tempfile
import tomllib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from benchmarks.days.__main__ import toml_value
from benchmarks.rounds.plays import Figures, Play, play

UNCHANGED = "(as it is)"
NO_TROUBLES = "(no trouble at all)"
FINAL_FAULT = "final fault"


@dataclass(frozen=True, slots=True)
class Variant:
    """A day without some of its troubles.

    Attributes
    ----------
    day : str
        Name of the day.
    without : str
        The troubles that are left out, for the table.
    text : str
        The day as TOML.
    """

    day: str
    without: str
    text: str


def write_day(day: dict) -> str:
    """Return the text of a file with one day of a site file."""
    return "\n".join(f"{key} = {toml_value(value)}" for key, value in day.items())


def variants(day: dict) -> Iterator[Variant]:
    """Yield the variants of a day.

    They are the day itself, and the day without each of its troubles in turn, without
    its final fault, and without any trouble.
    """
    name = day["name"]
    yield Variant(name, UNCHANGED, write_day(day))
    for kind in ("plan", "faults"):
        for number, trouble in enumerate(day.get(kind, [])):
            rest = [other for index, other in enumerate(day[kind]) if index != number]
            label = f"{trouble['kind']} {trouble.get('how', '')}".strip()
            at = trouble.get("at", "")
            yield Variant(name, f"{label} at {at}", write_day(day | {kind: rest}))
    if "closing" in day:
        calm = {key: value for key, value in day.items() if key != "closing"}
        yield Variant(name, FINAL_FAULT, write_day(calm))
        calm |= {"plan": [], "faults": []}
        yield Variant(name, NO_TROUBLES, write_day(calm))


def main(argv: list[str] | None = None) -> int:
    """Play all variants and print a table for each day."""
    parser = argparse.ArgumentParser(prog="benchmarks.rounds.troubles")
    parser.add_argument("--bench", type=Path, required=True, help="the users' program")
    parser.add_argument("--site", type=Path, required=True)
    parser.add_argument("--checkout", type=Path, required=True)
    parser.add_argument("--day", action="append", default=[], help="prefix of the days")
    parser.add_argument(
        "--only", action="append", default=[], help="prefix of the troubles"
    )
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args(argv)
    days = tomllib.loads(arguments.site.read_text())["day"]
    chosen = [
        variant
        for day in days
        if not arguments.day or any(map(day["name"].startswith, arguments.day))
        for variant in variants(day)
        if not arguments.only or any(map(variant.without.startswith, arguments.only))
    ]
    with tempfile.TemporaryDirectory() as folder:

        def run(job: tuple[int, Variant]) -> Figures | None:
            number, variant = job
            path = Path(folder) / f"{variant.day}-{number}.toml"
            path.write_text(variant.text)
            why = f"{variant.day} without {variant.without}"
            what = Play(arguments.site, str(path))
            found = play(arguments.bench, arguments.checkout, what, why)
            return found if isinstance(found, Figures) else None

        with ThreadPoolExecutor(arguments.jobs) as executor:
            played = list(executor.map(run, enumerate(chosen)))
    rows = []
    for variant, figures in zip(chosen, played, strict=True):
        if figures is None:
            print(f"{variant.day:12} {variant.without:44} not played")
            continue
        unserved = figures.parts["unserved"]
        broken = " ".join(figures.broken)
        print(
            f"{variant.day:12} {variant.without:44} {figures.worth:7.3f}"
            f" {unserved:8.4f} {broken}"
        )
        rows.append([variant.day, variant.without, figures.worth, unserved])
    if arguments.json:
        arguments.json.write_text(json.dumps(rows, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
