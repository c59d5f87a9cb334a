"""Random faults for minutes on real processes, under a mixed load.

Usage: ``PYTHONPATH=src:examples python -m benchmarks.faults --seed 1 --minutes 3``.
With ``--matrix`` every fault is injected at every step instead. It prints counts and
what was served during each fault, and exits with 1 if a rule of the history checker
was broken. It ends only processes that it started.
"""

import argparse
import random
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from pathlib import Path

import msgspec
from tests import histories

from benchmarks.fault_bench import (
    BOOKINGS,
    CALLER,
    ENGINE,
    ENTRY,
    OTHER,
    PAGES,
    PLAIN,
    POST_SECONDS,
    ROLLOUTS,
    Bench,
    small,
)
from benchmarks.fault_matrix import FAULTS, STEPS, Cell, run_cell
from quickstart.processes import ClusterError
from standins.deployment import Trainer
from standins.recording import record_call, record_post
from wigeonfront.client import Request, RequestClient
from wigeonfront.outcomes import Completed, NotRun, Outcome

BEATS = ("--beat-seconds", "0.25")
HOLD_SECONDS = (0.5, 4.0)
CALM_SECONDS = (0.5, 3.0)
PAIR_SHARE = 0.3
DUPLICATE_SHARE = 0.3
REPEAT_SHARE = 0.2
MOST_REPEATS = 4
CALL_SECONDS = 0.05
LONG_CALL_SECONDS = 0.5
PAUSE_SECONDS = 0.1
BOOKERS, READERS = 4, 3
TRAINERS = ("trainer-a", "trainer-b")
TRAINER_GRACE = 90.0
LOT_FLAGS = ("--timeout", 30, "--train-seconds", 0.5, "--ahead", 1)
QUIET = "no fault"


class Figures(msgspec.Struct):
    """What was sent while a fault held, and how it ended.

    Attributes
    ----------
    episodes : int
        Times that the fault was injected.
    sent : int
        Submissions of requests made meanwhile.
    ends : dict of str to int
        Their ends, by outcome.
    longest : float
        Longest time to a completed answer, in seconds.
    recovery : float
        Longest time from the end of the fault until all sides served again.
    """

    episodes: int = 0
    sent: int = 0
    ends: dict[str, int] = {}
    longest: float = 0.0
    recovery: float = 0.0


class Report(msgspec.Struct):
    """The counts of a run.

    Attributes
    ----------
    requests, lots : int
        Submissions of requests; Lots.
    ends, lot_ends : dict of str to int
        How they ended.
    keys, keys_answered : int
        Bookings with a key, and those of which some submission was completed.
    violations : list of str
    faults : dict of str to Figures
    """

    seed: int
    minutes: float
    requests: int = 0
    lots: int = 0
    ends: dict[str, int] = {}
    lot_ends: dict[str, int] = {}
    keys: int = 0
    keys_answered: int = 0
    executions: int = 0
    violations: list[str] = []
    faults: dict[str, Figures] = {}
    folder: str = ""


@dataclass(frozen=True, slots=True)
class Episode:
    """One injection: which faults held from when to when."""

    name: str
    begun: float
    ended: float
    recovery: float


# --- load ---------------------------------------------------------------------


class Load:
    """Callers, each a thread; trainers, each a process.

    Parameters
    ----------
    bench : Bench
    seed : int
    seconds : float
        For how long the trainers begin Lots.
    """

    def __init__(self, bench: Bench, seed: int, seconds: float) -> None:
        self._bench = bench
        self._stop = threading.Event()
        self._history = bench.history(CALLER)
        self._numbers = count(1)
        tasks = [self._book] * BOOKERS + [self._read] * READERS
        self._threads = [
            threading.Thread(target=task, args=(random.Random(f"{seed}/{number}"),))
            for number, task in enumerate(tasks)
        ]
        self._trainers = [
            bench.cluster.start_trainer(
                _trainer(name), "--seconds", seconds, *LOT_FLAGS
            )
            for name in TRAINERS
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Let everything that is under way end."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        for trainer in self._trainers:
            self._bench.cluster.wait_end(trainer, TRAINER_GRACE)

    def _payload(self, generator: random.Random) -> dict[str, float]:
        seconds = generator.choice((CALL_SECONDS, CALL_SECONDS, LONG_CALL_SECONDS))
        return {"number": next(self._numbers), "seconds": seconds}

    def _book(self, generator: random.Random) -> None:
        while not self._stop.is_set():
            key = f"booking-{next(self._numbers)}" if generator.random() < 0.8 else ""
            payload = self._payload(generator)
            request = Request(PLAIN, BOOKINGS, payload, idempotent=False, key=key)
            if key and generator.random() < DUPLICATE_SHARE:
                self._book_twice(request)
            else:
                self._book_with_repeats(request, generator)
            self._stop.wait(PAUSE_SECONDS)

    def _book_twice(self, request: Request) -> None:
        """Send a booking through both entries at once."""
        second = threading.Thread(target=self._post, args=(request, OTHER, 2))
        second.start()
        self._post(request, ENTRY, 1)
        second.join()

    def _book_with_repeats(self, request: Request, generator: random.Random) -> None:
        """Send a booking again while it has no answer, and at times after that."""
        submission, slot_epoch = 1, 0
        for _ in range(MOST_REPEATS):
            entry = generator.choice((ENTRY, OTHER))
            end = self._post(request, entry, submission, slot_epoch)
            again = isinstance(end, Completed) and generator.random() < REPEAT_SHARE
            if not request.key or (isinstance(end, Completed) and not again):
                return
            first = isinstance(end, NotRun) and submission == 1
            submission = 1 if first else submission + 1
            slot_epoch = end.slot_epoch if first else 0
            self._stop.wait(PAUSE_SECONDS)

    def _post(
        self, request: Request, entry: str, submission: int, slot_epoch: int = 0
    ) -> Outcome | str:
        address = self._bench.address(entry)
        return record_post(
            self._history, address, request, POST_SECONDS, submission, entry, slot_epoch
        )

    def _read(self, generator: random.Random) -> None:
        client = RequestClient(self._bench.addresses, generator=generator)
        while not self._stop.is_set():
            request = Request(PLAIN, PAGES, self._payload(generator))
            record_call(self._history, client, request, POST_SECONDS)
            self._stop.wait(PAUSE_SECONDS)
        client.close()


def _trainer(name: str) -> Trainer:
    return Trainer(
        name=name,
        service=ENGINE,
        catalogue_entry=ROLLOUTS,
        bound=2,
        samples=16,
        group=4,
    )


# --- faults -------------------------------------------------------------------


def _half_load(bench: Bench) -> None:
    bench.order(bench.targets[0], kind="half_load", count=1)


RANDOM_FAULTS: dict[str, Callable[[Bench], None]] = FAULTS | {
    "half-swap": _half_load,
    "stop-entry": lambda bench: bench.stop(bench.entry),
    "stop-side": lambda bench: bench.stop(*bench.victims),
    "kv-lost-writes": lambda bench: bench.order("key-value", kind="lost_answer"),
    "kv-slow": lambda bench: bench.order("key-value", kind="slow", delay=1.0),
}


def inject_for(bench: Bench, generator: random.Random, seconds: float) -> list[Episode]:
    """Inject random faults for so long, and return what was done."""
    until = time.monotonic() + seconds
    engines = [side for side in bench.sides if side.startswith(ENGINE)]
    plain = [side for side in bench.sides if side.startswith(PLAIN)]
    episodes = []
    while time.monotonic() < until:
        bench.entry = generator.choice((ENTRY, OTHER))
        bench.victims = generator.choice(engines), generator.choice(plain)
        size = 2 if generator.random() < PAIR_SHARE else 1
        episodes.append(_episode(bench, generator, size))
        time.sleep(generator.uniform(*CALM_SECONDS))
    return episodes


def _episode(bench: Bench, generator: random.Random, size: int) -> Episode:
    names = sorted(generator.sample(sorted(set(RANDOM_FAULTS) - {"none"}), size))
    begun = time.time()
    for name in names:
        # A stand-in that the first fault has frozen takes no order for the second.
        with suppress(ClusterError):
            RANDOM_FAULTS[name](bench)
    time.sleep(generator.uniform(*HOLD_SECONDS))
    ended = time.time()
    bench.heal()
    bench.await_exits()
    bench.settle(idle=False)
    return Episode("+".join(names), begun, ended, time.time() - ended)


# --- report -------------------------------------------------------------------


def make_report(
    bench: Bench, episodes: list[Episode], seed: int, minutes: float
) -> Report:
    """Judge and count what was recorded."""
    events = histories.read(bench.histories)
    history = histories.History(events)
    requests = [one for one in history.submissions if not one.invoke.lot]
    lots = [one for one in history.submissions if one.invoke.lot]
    report = Report(seed, minutes, len(requests), len(lots))
    report.ends = dict(Counter(one.kind for one in requests))
    report.lot_ends = dict(Counter(one.kind for one in lots))
    keyed = {one.invoke.key for one in requests if one.invoke.key}
    done = {one.invoke.key for one in requests if one.kind == "Completed"}
    report.keys, report.keys_answered = len(keyed), len(done & keyed)
    report.executions = sum(len(starts) for starts in history.starts.values())
    found = histories.check(events)
    report.violations = [f"{one.rule}: {one.detail}" for one in found]
    report.faults = _by_fault(requests, episodes)
    report.folder = str(bench.cluster.folder)
    return report


def _by_fault(
    requests: list[histories.Submission], episodes: list[Episode]
) -> dict[str, Figures]:
    figures = {QUIET: Figures()}
    for episode in episodes:
        own = figures.setdefault(episode.name, Figures())
        own.episodes += 1
        own.recovery = max(own.recovery, episode.recovery)
    for one in requests:
        for name in list(_faults_of(one, episodes)) or [QUIET]:
            _count(figures[name], one)
    return figures


def _faults_of(one: histories.Submission, episodes: list[Episode]) -> Iterator[str]:
    for episode in episodes:
        if episode.begun <= one.invoke.time < episode.ended + episode.recovery:
            yield episode.name


def _count(figures: Figures, one: histories.Submission) -> None:
    figures.sent += 1
    figures.ends = {**figures.ends, one.kind: figures.ends.get(one.kind, 0) + 1}
    if one.kind == "Completed":
        figures.longest = max(figures.longest, one.until - one.invoke.time)


def show(report: Report) -> None:
    """Print the report as text."""
    print(f"seed {report.seed}, {report.minutes} min; logs in {report.folder}")
    print(f"requests {report.requests}: {report.ends}")
    print(f"keyed bookings {report.keys}, answered {report.keys_answered}")
    print(f"Lots {report.lots}: {report.lot_ends}; executions {report.executions}")
    print(f"{'fault':34} times sent done unknown not-run lost longest recovery")
    for name, one in sorted(report.faults.items()):
        ends = Counter(one.ends)
        expired = ends["Expired"]
        print(
            f"{name:34} {one.episodes:5} {one.sent:4} {ends['Completed']:4} "
            f"{ends['Unknown'] + expired:7} {ends['NotRun']:7} {ends['Lost']:4} "
            f"{one.longest:6.2f}s {one.recovery:7.2f}s"
        )
    print(f"violations: {len(report.violations)}")
    for violation in report.violations[:20]:
        print(f"  {violation}")


def run_random(arguments: argparse.Namespace, folder: Path) -> bool:
    """Run random faults; return whether everything held."""
    seconds = arguments.minutes * 60
    deployment = small(arguments.engines, arguments.plain)
    with Bench(deployment, folder, BEATS, BEATS, relayed_callers=False) as bench:
        load = Load(bench, arguments.seed, seconds)
        try:
            generator = random.Random(arguments.seed)
            episodes = inject_for(bench, generator, seconds)
        finally:
            load.stop()
        report = make_report(bench, episodes, arguments.seed, arguments.minutes)
    show(report)
    if arguments.json:
        Path(arguments.json).write_bytes(msgspec.json.encode(report))
    return not report.violations


def run_matrix(arguments: argparse.Namespace, folder: Path) -> bool:
    """Run every fault at every step; return whether everything held."""
    cells = [Cell(step, (fault,)) for fault in FAULTS for step in STEPS]
    broken = 0
    deployment = small(arguments.engines, arguments.plain)
    with Bench(deployment, folder, BEATS, BEATS) as bench:
        for number, cell in enumerate(cells):
            report = run_cell(bench, cell, f"cell-{number}")
            broken += bool(report.broken)
            verdict = "; ".join(report.broken) or "holds"
            print(f"{cell!s:34} {report.seconds:5.1f} s  {verdict}", flush=True)
    print(f"{len(cells)} cells, {broken} broken; logs in {folder}")
    return not broken


def main() -> int:
    """Run what the flags ask for; return 0 when everything held."""
    flags = argparse.ArgumentParser("python -m benchmarks.faults", None, __doc__)
    flags.add_argument("--seed", type=int, default=1)
    flags.add_argument("--minutes", type=float, default=2.0)
    flags.add_argument("--engines", type=int, default=3)
    flags.add_argument("--plain", type=int, default=3)
    flags.add_argument("--matrix", action="store_true", help="run the whole matrix")
    flags.add_argument("--json", default="", help="file for the report")
    arguments = flags.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="wigeonfront-faults-"))
    run = run_matrix if arguments.matrix else run_random
    return 0 if run(arguments, folder) else 1


if __name__ == "__main__":
    sys.exit(main())
