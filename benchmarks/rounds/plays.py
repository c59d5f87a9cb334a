"""Plays days of a site with the code of a checkout, using the users' program."""

import json
import subprocess
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Play:
    """One day to be played.

    Attributes
    ----------
    site : Path
        Site file.
    day : str
        Name of a day of the site, or path of a file with a day.
    seed : int
        Seed of the program's random numbers; 0 for the seed of the day.
    vary : bool
        Whether the seed also varies the times and numbers of the day's troubles.
    """

    site: Path
    day: str
    seed: int = 0
    vary: bool = False

    @property
    def name(self) -> str:
        """Site, day and seed, for messages."""
        seed = f"#{self.seed}" if self.seed else ""
        return f"{self.site.stem}/{self.day}{seed}"


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures that a play yielded.

    Attributes
    ----------
    worth : float
        The rating of the day by the users' program.
    parts : dict of str to float
        By name: the parts of the worth, the credit of each class of requests, the
        share of requests that was not served, and each price.
    broken : tuple of str
        The rules that were broken, with their counts, and the fault of the play if any.
    """

    worth: float
    parts: dict[str, float] = field(default_factory=dict)
    broken: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class NotPlayed:
    """The program wrote no report; `reason` is the end of its output."""

    reason: str


def read_report(report: dict) -> Figures:
    """Return the figures of a report as the users' program writes it."""
    parts = {name: float(value) for name, _, value in report["parts"]}
    parts["unserved"] = float(report["unserved"])
    for request_class in report["classes"]:
        parts[f"class {request_class['name']}"] = float(request_class["worth"])
    for name, _, price in report["prices"]:
        parts[f"price {name}"] = float(price)
    broken = [f"{rule} {count}" for rule, count in report["breaks"].items()]
    if report["fault"]:
        broken.append(str(report["fault"]))
    return Figures(float(report["G"]), parts, tuple(broken))


def play(
    bench: Path, checkout: Path, what: Play, why: str, flags: Sequence[str] = ()
) -> Figures | NotPlayed:
    """Play a day with the code of `checkout`.

    Parameters
    ----------
    bench : Path
        The users' program.
    checkout : Path
    what : Play
    why : str
        Reason of the play, for the journal.
    flags : sequence of str
        More options of the users' program.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "report.json"
        command = [str(bench), "run", str(what.site), what.day, "--report", str(path)]
        if what.seed:
            command += ["--seed", str(what.seed)]
        if what.vary:
            command.append("--vary")
        command += ["--why", why, *flags]
        done = subprocess.run(
            command, cwd=checkout, capture_output=True, text=True, check=False
        )
        if not path.exists():
            return NotPlayed((done.stdout + done.stderr).strip()[-300:])
        return read_report(json.loads(path.read_text()))
