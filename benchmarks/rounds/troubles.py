"""What each trouble of a day costs: ``python -m benchmarks.rounds.troubles --help``.

Every day is played as it is, without each of its troubles in turn, without the final
fault, and with none. What a play gains is what the trouble took.
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

WHOLE = "(as it is)"
NONE = "(no trouble at all)"
CLOSING = "final fault"


@dataclass(frozen=True, slots=True)
class Variant:
    """A day without some of its troubles."""

    day: str
    without: str
    text: str


def write_day(day: dict) -> str:
    """Return a day of a site file as a file of its own."""
    return "\n".join(f"{key} = {toml_value(value)}" for key, value in day.items())


def variants(day: dict) -> Iterator[Variant]:
    """Yield the day, without each trouble, without its end, and without any."""
    name = day["name"]
    yield Variant(name, WHOLE, write_day(day))
    for kind in ("plan", "faults"):
        for number, trouble in enumerate(day.get(kind, [])):
            rest = [one for index, one in enumerate(day[kind]) if index != number]
            label = f"{trouble['kind']} {trouble.get('how', '')}".strip()
            at = trouble.get("at", "")
            yield Variant(name, f"{label} at {at}", write_day(day | {kind: rest}))
    if "closing" in day:
        calm = {key: value for key, value in day.items() if key != "closing"}
        yield Variant(name, CLOSING, write_day(calm))
        calm |= {"plan": [], "faults": []}
        yield Variant(name, NONE, write_day(calm))


def main(argv: list[str] | None = None) -> int:
    """Play all variants and print a table for each day."""
    parser = argparse.ArgumentParser(prog="benchmarks.rounds.troubles")
    parser.add_argument("--bench", type=Path, required=True, help="the users' program")
    parser.add_argument("--site", type=Path, required=True)
    parser.add_argument("--checkout", type=Path, required=True)
    parser.add_argument("--day", action="append", default=[], help="names begin so")
    parser.add_argument("--only", action="append", default=[], help="troubles begin so")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args(argv)
    days = tomllib.loads(arguments.site.read_text())["day"]
    chosen = [
        one
        for day in days
        if not arguments.day or any(map(day["name"].startswith, arguments.day))
        for one in variants(day)
        if not arguments.only or any(map(one.without.startswith, arguments.only))
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
