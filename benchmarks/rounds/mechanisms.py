"""The mechanisms that the ablation disables, each with its neutral form.

A neutral form replaces a few lines of the code, so that the mechanism has no effect.
`copy_without` applies it to a copy of a checkout.
"""

import shutil
from dataclasses import dataclass
from pathlib import Path

PACKAGE = Path("src/wigeonfront")

BUILT_FROM = ("src", "deploy", "pyproject.toml", "README.md")
"""Paths that the users' program needs to build and play the code.

Nothing else is copied, as other files may change during the copy.
"""

IGNORED_FILES = shutil.ignore_patterns("__pycache__", "*.egg-info")


@dataclass(frozen=True, slots=True)
class Mechanism:
    """A mechanism and the changes to the code that disable it.

    Attributes
    ----------
    name : str
        The key of the mechanism in results files and for ``--only``.
    file : str
        Path in the package.
    changes : tuple of pairs
        A text that the file contains once, and its replacement.
    """

    name: str
    file: str
    changes: tuple[tuple[str, str], ...]

    def apply(self, checkout: Path) -> None:
        """Replace the lines in a checkout by the neutral form.

        Raises
        ------
        ValueError
            If the file does not contain a text exactly once, as the changes do not
            match the code any more.
        """
        path = checkout / PACKAGE / self.file
        text = path.read_text()
        for old, new in self.changes:
            if text.count(old) != 1:
                raise ValueError(
                    f"{self.name}: {self.file} has {old!r} {text.count(old)} times"
                )
            text = text.replace(old, new)
        path.write_text(text)


SCHEDULING = "rollout/scheduling.py"

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
    Mechanism("moves", SCHEDULING, (("MAX_MOVES = 3", "MAX_MOVES = 0"),)),
    Mechanism(
        "pace of engines", SCHEDULING, (("(view.latency or typical) *", "typical *"),)
    ),
    Mechanism(
        "runs and paces told",
        "rollout/engine_loads.py",
        (("MAX_ASKED_OWNERS = 3", "MAX_ASKED_OWNERS = 0"),),
    ),
    Mechanism(
        "probes of loading engines",
        "node/entry.py",
        (("if target.address in loading:", "if target.address in ():"),),
    ),
    Mechanism("group bonus", SCHEDULING, (("GROUP_BONUS = 2", "GROUP_BONUS = 0"),)),
    Mechanism(
        "priorities at engines",
        SCHEDULING,
        (("URGENT_TOKENS = (2000, 1000, 500)", "URGENT_TOKENS = ()"),),
    ),
    Mechanism(
        "long samples first",
        SCHEDULING,
        (("UNRANKED), sample.latest_start)", "UNRANKED), 0.0)"),),
    ),
    Mechanism(
        "kept texts",
        SCHEDULING,
        (("SNAPSHOT_EVENTS = 8", "SNAPSHOT_EVENTS = 10**9"),),
    ),
    Mechanism(
        "texts of ended Lots",
        "rollout/recent_texts.py",
        (("MAX_RECENT_TEXTS = 2_000", "MAX_RECENT_TEXTS = 0"),),
    ),
    Mechanism("batches", SCHEDULING, (("BATCH_SECONDS = 1.0", "BATCH_SECONDS = 0.0"),)),
    Mechanism(
        "feeds",
        "coordination/feed.py",
        (
            (
                "        return list(seeds[: seeds.index(own_member.address)])\n",
                "        return []\n",
            ),
        ),
    ),
    Mechanism(
        "tree of feeds",
        "coordination/feed.py",
        (("    return [*parent, *rotated_seeds]", "    return rotated_seeds"),),
    ),
    Mechanism(
        "relay",
        "node/store_view.py",
        (
            (
                "return [address for address in candidates if address != own]",
                "return []",
            ),
        ),
    ),
    Mechanism(
        "owner calls",
        "rollout/known_lots.py",
        (
            (
                'return "" if ended and not near else member.address',
                'return ""',
            ),
        ),
    ),
    Mechanism(
        "rest of replaced targets",
        "targets/table.py",
        (("REPLACED_SECONDS = 4.0", "REPLACED_SECONDS = 0.0"),),
    ),
    Mechanism(
        "half of the time for one target",
        "forwarding/steps.py",
        (("PATIENCE_SHARE = 0.5", "PATIENCE_SHARE = 1.0"),),
    ),
    Mechanism(
        "circuits",
        "targets/table.py",
        (
            (
                "    consecutive=2,\n    rate=0.5,",
                "    consecutive=10**9,\n    rate=2.0,",
            ),
        ),
    ),
    Mechanism(
        "bound on reward calls",
        "rollout/reward_scheduling.py",
        (("OWN_SHARE = 1 / 3", "OWN_SHARE = 1.0"),),
    ),
    Mechanism(
        "order of reward calls",
        "rollout/reward_scheduling.py",
        (("    due.sort(key=_urgency)\n", ""),),
    ),
    Mechanism(
        "other targets for reward calls",
        "rollout/reward_scheduling.py",
        (("choose_target(fresh or with_room, ()", "choose_target(with_room, ()"),),
    ),
    Mechanism(
        "second sends of reward calls",
        "rollout/progress.py",
        (("MAX_SENDS = 2", "MAX_SENDS = 1"),),
    ),
    Mechanism(
        "claims at once",
        "rollout/ownership.py",
        (
            (
                "restarted = head.owner == NO_OWNER or machine in replaced",
                "restarted = head.owner == NO_OWNER",
            ),
        ),
    ),
    Mechanism(
        "one Lot that asks for all",
        "rollout/result_writer.py",
        (
            (
                "                self._failed_lot_id = progress.lot.id\n"
                "                return False\n",
                "                self._failed_lot_id = progress.lot.id\n",
            ),
        ),
    ),
    Mechanism(
        "order of groups where places are short",
        "rollout/overload.py",
        (("    if _fits(lots, work, slots, now):", "    if True:"),),
    ),
    Mechanism(
        "one owner for each trainer",
        "rollout/ownership.py",
        (("    return eligible[name] if name else None", "    return None"),),
    ),
    Mechanism(
        "long leases of idle entries",
        "coordination/membership.py",
        (("IDLE_TERM_SECONDS = 20.0", "IDLE_TERM_SECONDS = 0.0"),),
    ),
    Mechanism(
        "orders by entries",
        "coordination/assignment.py",
        (("    return min(wanted, entries)", "    return 0"),),
    ),
    Mechanism(
        "short wait for first events",
        SCHEDULING,
        (("FIRST_EVENT_SECONDS = 1.0", "FIRST_EVENT_SECONDS = 3.0"),),
    ),
)


def copy_checkout(checkout: Path, copy: Path) -> Path:
    """Copy the paths in `BUILT_FROM` from `checkout` to `copy`, and return `copy`.

    An existing copy is replaced.
    """
    shutil.rmtree(copy, ignore_errors=True)
    copy.parent.mkdir(parents=True, exist_ok=True)
    for name in BUILT_FROM:
        part = checkout / name
        if part.is_dir():
            shutil.copytree(part, copy / name, ignore=IGNORED_FILES)
        else:
            shutil.copy(part, copy / name)
    # The users' program writes the journal entries of plays to this folder.
    (copy / "journal").mkdir()
    return copy


def copy_without(mechanism: Mechanism, checkout: Path, folder: Path) -> Path:
    """Return a copy of `checkout`, in `folder`, with a mechanism disabled."""
    copy = copy_checkout(checkout, folder / mechanism.name.replace(" ", "-"))
    mechanism.apply(copy)
    return copy
