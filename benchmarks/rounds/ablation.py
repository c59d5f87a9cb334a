"""What each mechanism is worth: ``python -m benchmarks.rounds.ablation --help``.

Every mechanism has a neutral form, a few replaced lines. Each is put into a copy of a
checkout and played on the same days and seeds as the checkout itself; the table gives
the mean difference that the mechanism makes, with its standard error.
"""

import argparse
import json
import shutil
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from benchmarks.rounds.__main__ import chosen_plays
from benchmarks.rounds.pairs import Pair, by_day_and_site
from benchmarks.rounds.plays import Figures, NotPlayed, Play, play

PACKAGE = Path("src/wigeonfront")

BUILT_FROM = ("src", "deploy", "pyproject.toml", "README.md")
"""What the users' program builds and plays: the rest may change while it is copied."""

LEFT_OUT = shutil.ignore_patterns("__pycache__", "*.egg-info")


@dataclass(frozen=True, slots=True)
class Mechanism:
    """A mechanism and the lines that take it out.

    Attributes
    ----------
    name : str
    file : str
        Below the package.
    changes : tuple of pairs
        Text that stands there once, and what takes its place.
    """

    name: str
    file: str
    changes: tuple[tuple[str, str], ...]

    def take_out(self, checkout: Path) -> None:
        """Put the neutral form into a checkout.

        Raises
        ------
        ValueError
            When a text does not stand there once: the list is out of date.
        """
        path = checkout / PACKAGE / self.file
        text = path.read_text()
        for old, new in self.changes:
            if text.count(old) != 1:
                raise ValueError(f"{self.name}: {old!r} is {text.count(old)} times")
            text = text.replace(old, new)
        path.write_text(text)


ORDER = "rollout/order.py"

MECHANISMS = (
    Mechanism(
        "halves of engines",
        "weights/plan.py",
        (("return self.count > 1 and version % 2 == half % 2", "return True"),),
    ),
    Mechanism(
        "two models an engine",
        "weights/plan.py",
        (("MODELS_PER_ENGINE = 2", "MODELS_PER_ENGINE = 99"),),
    ),
    Mechanism("moves", ORDER, (("MOST_MOVES = 3", "MOST_MOVES = 0"),)),
    Mechanism(
        "pace of engines", ORDER, (("(view.latency or typical) *", "typical *"),)
    ),
    Mechanism(
        "runs and paces told", "rollout/engine_loads.py", (("ASKED = 3", "ASKED = 0"),)
    ),
    Mechanism(
        "probes of loading engines",
        "node/entry.py",
        (("            for address in loading:", "            for address in ():"),),
    ),
    Mechanism("group bonus", ORDER, (("GROUP_BONUS = 2", "GROUP_BONUS = 0"),)),
    Mechanism(
        "priorities at engines",
        ORDER,
        (("URGENT_TOKENS = (2000, 1000, 500)", "URGENT_TOKENS = ()"),),
    ),
    Mechanism(
        "long samples first",
        ORDER,
        (("    waiting.sort(key=lambda one: one.latest_start)\n", ""),),
    ),
    Mechanism(
        "kept texts",
        ORDER,
        (("SNAPSHOT_EVENTS = 8", "SNAPSHOT_EVENTS = 10**9"),),
    ),
    Mechanism(
        "texts of ended Lots",
        "rollout/runner.py",
        (("MOST_RECENT_TEXTS = 2_000", "MOST_RECENT_TEXTS = 0"),),
    ),
    Mechanism("batches", ORDER, (("BATCH_SECONDS = 1.0", "BATCH_SECONDS = 0.0"),)),
    Mechanism(
        "feeds",
        "node/entry.py",
        (
            (
                "            return seeds[: seeds.index(own)]\n",
                "            return []\n",
            ),
        ),
    ),
    Mechanism(
        "relay",
        "node/entry.py",
        (
            (
                "return [address for address in candidates if address != own]",
                "return []",
            ),
        ),
    ),
    Mechanism(
        "owner calls",
        "rollout/lots.py",
        (("                return member.address\n", '                return ""\n'),),
    ),
    Mechanism(
        "rest of replaced targets",
        "target_table.py",
        (("REPLACED_SECONDS = 4.0", "REPLACED_SECONDS = 0.0"),),
    ),
    Mechanism(
        "half of the time for one target",
        "forwarding/steps.py",
        (("PATIENCE_SHARE = 0.5", "PATIENCE_SHARE = 1.0"),),
    ),
    Mechanism(
        "circuits",
        "target_table.py",
        (
            (
                "    consecutive=2,\n    rate=0.5,",
                "    consecutive=10**9,\n    rate=2.0,",
            ),
        ),
    ),
    Mechanism(
        "bound on reward calls",
        "rollout/reward_order.py",
        (("OWN_SHARE = 1 / 3", "OWN_SHARE = 1.0"),),
    ),
    Mechanism(
        "order of reward calls",
        "rollout/reward_order.py",
        (("    due.sort(key=_urgency)\n", ""),),
    ),
    Mechanism(
        "other targets for reward calls",
        "rollout/reward_order.py",
        (("choose_target(fresh or with_room, ()", "choose_target(with_room, ()"),),
    ),
)


def copy_without(mechanism: Mechanism, checkout: Path, folder: Path) -> Path:
    """Return a copy of `checkout` in which a mechanism is neutral."""
    copy = folder / mechanism.name.replace(" ", "-")
    shutil.rmtree(copy, ignore_errors=True)
    for name in BUILT_FROM:
        part = checkout / name
        if part.is_dir():
            shutil.copytree(part, copy / name, ignore=LEFT_OUT)
        else:
            shutil.copy(part, copy / name)
    # Plays leave their entries in the journal of the checkout.
    (copy / "journal").mkdir()
    mechanism.take_out(copy)
    return copy


def row(name: str, pairs: Sequence[Pair]) -> str:
    """Return a mechanism's line: what is lost without it is its worth."""
    (found,) = [one for one in by_day_and_site(pairs) if one.name.endswith(", all")]
    verdict = {"loss": "worth it", "gain": "harms"}.get(found.verdict, "not shown")
    return (
        f"{name:34}{found.count:6}{found.before:8.3f}{found.after:9.3f}"
        f"{-found.gain:+8.3f}{found.error:8.3f}{1 - found.won:6.2f}"
        f"{found.broken_after:8}  {verdict}"
    )


def main(argv: list[str] | None = None) -> int:
    """Play all and print the table."""
    parser = argparse.ArgumentParser(prog="benchmarks.rounds.ablation")
    parser.add_argument("--bench", type=Path, required=True, help="the users' program")
    parser.add_argument("--site", type=Path, required=True)
    parser.add_argument("--checkout", type=Path, required=True)
    parser.add_argument("--folder", type=Path, required=True, help="for the copies")
    parser.add_argument("--day", action="append", default=[], help="names begin so")
    parser.add_argument("--only", action="append", default=[], help="names begin so")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--vary", action="store_true")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args(argv)
    plays = chosen_plays(
        [arguments.site], arguments.day, arguments.seeds, arguments.vary
    )
    chosen = [
        one
        for one in MECHANISMS
        if not arguments.only or any(map(one.name.startswith, arguments.only))
    ]
    trees = [("", arguments.checkout)]
    for mechanism in chosen:
        copy = copy_without(mechanism, arguments.checkout, arguments.folder)
        trees.append((mechanism.name, copy))

    def run(job: tuple[str, Path, Play]) -> Figures | NotPlayed:
        name, tree, what = job
        why = f"ablation, without {name or 'nothing'}: {what.name}"
        return play(arguments.bench, tree, what, why)

    jobs = [(name, tree, what) for name, tree in trees for what in plays]
    found: dict[str, list[Figures | NotPlayed]] = {}
    with ThreadPoolExecutor(arguments.jobs) as executor:
        for (name, _, what), figures in zip(jobs, executor.map(run, jobs), strict=True):
            found.setdefault(name, []).append(figures)
            worth = getattr(figures, "worth", "not played")
            print(
                f"{name or '(all)'} {what.name}: {worth}", file=sys.stderr, flush=True
            )
    print(
        f"{arguments.site.stem:34}{'pairs':>6}{'with':>8}{'without':>9}{'worth':>8}"
        f"{'error':>8}{'won':>6}{'broken':>8}"
    )
    for mechanism in chosen:
        pairs = [
            Pair(what, before, after)
            for what, before, after in zip(
                plays, found[""], found[mechanism.name], strict=True
            )
            if isinstance(before, Figures) and isinstance(after, Figures)
        ]
        if pairs:
            print(row(mechanism.name, pairs))
    if arguments.json:
        worths = {
            name: [getattr(one, "worth", None) for one in figures]
            for name, figures in found.items()
        }
        arguments.json.write_text(json.dumps(worths, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
