"""Plays the days: ``python -m benchmarks.days --bench PROGRAM --site FILE``.

A day has the traffic of the site's first day. `--set alone` plays one day for each
trouble, which comes twice. `--set pairs` plays as many days with two troubles each,
drawn with `--seed`. The table has the worth of each day, the share of the requests that
was served, and the rules that were broken.
"""

import argparse
import random
import re
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from benchmarks.days.kinds import TROUBLES, Trouble

FIRST_AT, SECOND_AT = 4.0, 17.0
"""Seconds from the start of traffic at which a day's troubles come."""

FINAL_FAULTS = (
    "",
    '{ kind = "power_off_all", down_s = 1.2, how = "all" }',
    '{ kind = "kill_all", down_s = 1.2 }',
    '{ kind = "wipe_after_ack", down_s = 1.0, how = "all oldest" }',
)
"""Final faults of the days, used in turn."""

COPIED_KEYS = ("groups_x", "one", "zero", "goal", "floor_classes", "floor_zones")
WORTH_PATTERN = re.compile(r"^worth (-?[\d.]+)", re.MULTILINE)
ROW_PATTERN = re.compile(r"^\S+ +\d+/\d+ +(\S+) +\S+ +(\S+) ", re.MULTILINE)
BROKEN_PATTERN = re.compile(r"^rules broken: .*$|^.*\bfault: .*$", re.MULTILINE)


NOT_DEPLOYED = "is not open"
"""Output of the users' program for a trouble that this deployment cannot have.

The deployment lacks the contract that the trouble is about.
"""


@dataclass(frozen=True)
class DayResult:
    """The outcome of one day, as the users' program printed it."""

    name: str
    worth: str
    served: str
    broken: list[str]


def toml_value(value: object) -> str:
    """Return a value as TOML on one line."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, dict):
        fields = ", ".join(
            f"{key} = {toml_value(field)}" for key, field in value.items()
        )
        return f"{{ {fields} }}"
    if isinstance(value, list):
        return f"[{', '.join(map(toml_value, value))}]"
    return str(value)


def write_day(base: dict, troubles: list[Trouble], closing: str, seed: int) -> str:
    """Return a day with the given troubles as TOML.

    Parameters
    ----------
    base : dict
        The day of the site whose traffic the new day copies.
    troubles : list of Trouble
        Two; the first comes at `FIRST_AT`, the second at `SECOND_AT`.
    closing : str
        The final fault as TOML; may be empty.
    seed : int
    """
    name = "-and-".join(dict.fromkeys(trouble.name for trouble in troubles))
    times = (FIRST_AT, SECOND_AT)
    entries = [
        (trouble.planned, {"at": at} | trouble.fields)
        for trouble, at in zip(troubles, times, strict=True)
    ]
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
    if closing:
        lines.append(f"closing = {closing}")
    lines += [f"{key} = {toml_value(base[key])}" for key in COPIED_KEYS if key in base]
    plan = [fields for planned, fields in entries if planned]
    faults = [fields for planned, fields in entries if not planned]
    lines.append(f"plan = {toml_value(plan)}")
    lines.append(f"faults = {toml_value(faults)}")
    lines.append(f"traffic = {toml_value(base['traffic'])}")
    return "\n".join(lines) + "\n"


def choose_days(set_name: str, seed: int) -> list[tuple[list[Trouble], str]]:
    """Return the troubles and the final fault of each day of a set."""
    if set_name == "alone":
        chosen = [[trouble, trouble] for trouble in TROUBLES]
    else:
        rng = random.Random(seed)
        chosen = [rng.sample(TROUBLES, 2) for _ in TROUBLES]
    return [
        (troubles, FINAL_FAULTS[number % len(FINAL_FAULTS)])
        for number, troubles in enumerate(chosen)
    ]


def play(bench: str, site: str, day: Path, why: str) -> DayResult:
    """Have the users' program play a day.

    Its output is written to a ``.log`` file beside the day.

    Parameters
    ----------
    bench : str
        Path of the users' program.
    site : str
        Path of the site file.
    day : Path
    why : str
        Reason of the play, for the journal.
    """
    command = [bench, "run", site, str(day), "--why", why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    text = done.stdout + done.stderr
    (day.with_suffix(".log")).write_text(text)
    row, worth = ROW_PATTERN.search(text), WORTH_PATTERN.search(text)
    broken = [found.group(0).strip()[:160] for found in BROKEN_PATTERN.finditer(text)]
    if NOT_DEPLOYED in text:
        return DayResult(day.stem, "-", "not in force here", [])
    if row is None:
        broken.append(text.strip()[-160:].replace("\n", " "))
    return DayResult(
        day.stem,
        worth.group(1) if worth else "-",
        row.group(2) if row else "-",
        broken,
    )


def main() -> int:
    """Play a set of days; return the number of days that broke a rule."""
    parser = argparse.ArgumentParser(prog="benchmarks.days")
    parser.add_argument("--bench", required=True, help="the users' program")
    parser.add_argument("--site", required=True, help="a site file")
    parser.add_argument("--set", choices=("alone", "pairs"), default="alone")
    parser.add_argument("--only", default="", help="prefix of the days to play")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--folder", help="folder for the days and their output")
    arguments = parser.parse_args()
    base = tomllib.loads(Path(arguments.site).read_text())["day"][0]
    folder = Path(arguments.folder or tempfile.mkdtemp(prefix="days-"))
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for number, (troubles, closing) in enumerate(
        choose_days(arguments.set, arguments.seed)
    ):
        text = write_day(base, troubles, closing, arguments.seed * 1000 + number)
        path = folder / f"{tomllib.loads(text)['name']}.toml"
        path.write_text(text)
        if path.stem.startswith(arguments.only):
            paths.append(path)
    with ThreadPoolExecutor(arguments.jobs) as executor:
        results = executor.map(
            lambda path: play(
                arguments.bench, arguments.site, path, f"own day {path.stem}"
            ),
            paths,
        )
        failed = 0
        for result in results:
            failed += bool(result.broken)
            mark = "; ".join(result.broken) or "-"
            print(f"{result.name:40} {result.worth:>7} {result.served:>17} {mark}")
            sys.stdout.flush()
    print(f"{len(paths)} days, {failed} broke a rule; in {folder}")
    return failed


if __name__ == "__main__":
    sys.exit(main())
