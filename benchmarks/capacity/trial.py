"""How long, how often and with which seed a measurement is made."""

import tempfile
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from benchmarks.capacity.figures import Figure
from benchmarks.capacity.fleet import Fleet
from benchmarks.capacity.procfs import Usage

MIB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Trial:
    """The terms of one run of the benchmark.

    Attributes
    ----------
    seconds : float
        Length of each window of measurement.
    settle : float
        Pause between a change and the window.
    repeats : int
        How often each figure is taken.
    seed : int
        Of the times at which load generators make their calls.
    """

    seconds: float = 10.0
    settle: float = 3.0
    repeats: int = 3
    seed: int = 1

    def fleet(self) -> Fleet:
        """Return a new fleet with logs in a new temporary folder."""
        return Fleet(Path(tempfile.mkdtemp(prefix="wigeonfront-capacity-")))

    def wait(self) -> None:
        """Let a change settle."""
        time.sleep(self.settle)

    def window(self) -> None:
        """Let the time of a window pass."""
        time.sleep(self.seconds)

    def pause(self, seconds: float) -> None:
        """Let `seconds` pass."""
        time.sleep(seconds)

    def each(self) -> Iterable[int]:
        """Return the numbers of the repetitions."""
        return range(self.repeats)


Experiment = Callable[[Trial], list[Figure]]


@dataclass(frozen=True, slots=True)
class Spent:
    """What a process spent between two looks at it.

    Attributes
    ----------
    cpu, seconds : float
        Processor time and length of the time between.
    end : Usage
        The later look.
    """

    cpu: float
    seconds: float
    end: Usage

    @property
    def share(self) -> float:
        """Share of a core, in percent."""
        return 100 * self.cpu / self.seconds


def spend(fleet: Fleet, names: Sequence[str], act: Callable[[], None]) -> list[Spent]:
    """Return what each of the processes spends while `act` runs."""
    before = [fleet.usage(name) for name in names]
    act()
    after = [fleet.usage(name) for name in names]
    return [
        Spent(late.cpu - early.cpu, late.at - early.at, late)
        for early, late in zip(before, after, strict=True)
    ]
