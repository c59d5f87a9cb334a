"""The fault matrix: each fault at each step of a request, a Lot, a swap and a stop.

A step brings work to a known point by slow stand-ins and slow relays, then injects
the faults. While they hold, the keyed bookings are sent again through the other
entry, and once more after all is healed. `run_cell` returns what broke.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tests import histories

from benchmarks.fault_bench import (
    CAPACITY,
    ENGINE,
    ENTRY,
    OTHER,
    PLAIN,
    Bench,
    Ends,
    Work,
    page,
)
from quickstart.cluster import KEY_VALUE, WEIGHT_STORE
from standins.recording import LOST
from wigeonfront.client import LotAnswered
from wigeonfront.outcomes import Completed

HOLD_SECONDS = 1.5
RUN_SECONDS = 1.0
LONG_TOKENS = 64
SLOW_SECONDS = 0.2
LAST_SUBMISSION = 1000

Inject = Callable[[], None]


# --- faults -------------------------------------------------------------------


def _lose_answers(bench: Bench) -> None:
    for target, path in zip(bench.targets, ("/generate", "/call"), strict=True):
        bench.order(target, kind="lost_answer", path_prefix=path, count=2)
    bench.order(KEY_VALUE, kind="lost_answer", path_prefix="/kv/put", count=1)


def _half_swap(bench: Bench) -> None:
    bench.order(bench.targets[0], kind="half_load", count=1)
    bench.publish()
    bench.announce(OTHER, f"announcing-{bench.version}")


def _slow(bench: Bench) -> None:
    bench.delay(
        bench.relays(*bench.victims) + bench.target_relays(*bench.victims), SLOW_SECONDS
    )


FAULTS: dict[str, Callable[[Bench], None]] = {
    "none": lambda bench: None,
    "kill-entry": lambda bench: bench.kill(bench.entry),
    "kill-side": lambda bench: bench.kill(*bench.victims),
    "kill-target": lambda bench: bench.kill(*bench.targets),
    "freeze-entry": lambda bench: bench.freeze(bench.entry),
    "freeze-side": lambda bench: bench.freeze(*bench.victims),
    "freeze-target": lambda bench: bench.freeze(*bench.targets),
    "cut": lambda bench: bench.cut(bench.relays(*bench.victims)),
    "partition": lambda bench: bench.partition(bench.relays(*bench.victims)),
    "silent-results": lambda bench: bench.silence(bench.relays(*bench.victims), True),
    "silent-dispatches": lambda bench: bench.silence(
        bench.relays(*bench.victims), False
    ),
    "cut-target": lambda bench: bench.cut(bench.target_relays(*bench.victims)),
    "silent-target": lambda bench: bench.silence(
        bench.target_relays(*bench.victims), True
    ),
    "slow": _slow,
    "lost-answer": _lose_answers,
    "kv-outage": lambda bench: bench.order(KEY_VALUE, kind="down", close=True),
    "half-swap": _half_swap,
}


# --- steps --------------------------------------------------------------------


def before(bench: Bench, name: str, inject: Inject) -> Work:
    """Inject before the dispatch of a request, before a Lot begins."""
    work = Work(bench, name)
    inject()
    work.send()
    return work


def queued(bench: Bench, name: str, inject: Inject) -> Work:
    """Inject while requests wait at the sides, because the targets are full."""
    blocking = [
        Work(bench, f"{name}-blocking-{number}", RUN_SECONDS, samples=0)
        for number in range(CAPACITY)
    ]
    for each in blocking:
        each.send()
    work = Work(bench, name, samples=4 * CAPACITY, tokens=LONG_TOKENS)
    bench.wait(lambda: bench.load(PLAIN)["queued"] > 0, "full")
    work.send()
    bench.wait(lambda: bench.load(ENGINE)["queued"] > 0, "samples queued")
    inject()
    work.also = blocking
    return work


def running(bench: Bench, name: str, inject: Inject) -> Work:
    """Inject while requests run at their targets and samples at the engines."""
    work = Work(bench, name, RUN_SECONDS, tokens=LONG_TOKENS)
    work.send()

    def reached() -> bool:
        return bench.ran(work.request_digests) == 5 or work.requests_ended

    bench.wait(reached, "requests running")
    bench.wait(lambda: bench.ran(work.sample_digests) > 0, "samples running")
    inject()
    return work


def result(bench: Bench, name: str, inject: Inject) -> Work:
    """Inject with results on their way and a Lot about to take its right."""
    bench.delay(bench.relays(*bench.sides), SLOW_SECONDS)
    work = Work(bench, name)
    work.send()
    _wait_all_ran(bench, work)
    inject()
    return work


def write(bench: Bench, name: str, inject: Inject) -> Work:
    """Inject while the answers are on their way to the callers."""
    bench.delay([bench.caller_relay(ENTRY)], SLOW_SECONDS)
    work = Work(bench, name)
    work.send()
    _wait_all_ran(bench, work)
    bench.wait(lambda: bench.in_flight(ENTRY) == 0, "answers written")
    inject()
    return work


def acknowledge(bench: Bench, name: str, inject: Inject) -> Work:
    """Inject when the Lot has arrived, before its trainer acknowledges it."""
    work = Work(bench, name)
    work.may_acknowledge.clear()
    work.send()
    bench.wait(work.answered.is_set, "lot answered")
    inject()
    work.may_acknowledge.set()
    return work


def swap_ordered(bench: Bench, name: str, inject: Inject) -> Work:
    """Inject while an engine loads the version that the Lot names."""
    bench.order(WEIGHT_STORE, kind="slow", path_prefix="/models/", delay=SLOW_SECONDS)
    return _swapping(bench, name, inject, "load_start")


def swap_read_back(bench: Bench, name: str, inject: Inject) -> Work:
    """Inject when an engine has loaded, before its side reads its state back."""
    bench.order(bench.targets[0], kind="slow", path_prefix="/state", delay=SLOW_SECONDS)
    return _swapping(bench, name, inject, "loaded")


def stop_entry(bench: Bench, name: str, inject: Inject) -> Work:
    """Inject during a planned stop of the entry, with requests running."""

    def stop() -> None:
        bench.stop(ENTRY)
        inject()

    return running(bench, name, stop)


def stop_side(bench: Bench, name: str, inject: Inject) -> Work:
    """Inject during a planned stop of sides, with requests running."""

    def stop() -> None:
        bench.stop(*bench.victims)
        inject()

    return running(bench, name, stop)


def _wait_all_ran(bench: Bench, work: Work) -> None:
    own = work.request_digests | work.sample_digests

    def reached() -> bool:
        ran = bench.ran(own, "execute_end") == len(own)
        return ran or (work.requests_ended and work.answered.is_set())

    bench.wait(reached, "all ran")


def _swapping(bench: Bench, name: str, inject: Inject, event: str) -> Work:
    version = bench.publish()
    work = Work(bench, name, tokens=LONG_TOKENS)
    work.send()

    def reached() -> bool:
        found = bench.recorded(event, f"target-{ENGINE}-*")
        return any(each["version"] == version for each in found)

    bench.wait(reached, event)
    inject()
    return work


STEPS: dict[str, Callable[[Bench, str, Inject], Work]] = {
    "before": before,
    "queued": queued,
    "running": running,
    "result": result,
    "write": write,
    "acknowledge": acknowledge,
    "swap-ordered": swap_ordered,
    "swap-read-back": swap_read_back,
    "stop-entry": stop_entry,
    "stop-side": stop_side,
}


# --- cells --------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Cell:
    """One cell of the matrix: faults that come together at a step."""

    step: str
    faults: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.step}/{'+'.join(self.faults)}"


@dataclass(slots=True)
class CellReport:
    """What came of a cell; `broken` is empty when all held."""

    cell: Cell
    broken: list[str] = field(default_factory=list)
    ends: Ends | None = None
    seconds: float = 0.0


def run_cell(bench: Bench, cell: Cell, name: str) -> CellReport:
    """Run one cell; `name` is unique in the bench."""
    report = CellReport(cell)
    began = time.monotonic()

    def inject() -> None:
        for fault in cell.faults:
            FAULTS[fault](bench)

    bench.aim(name)
    work = STEPS[cell.step](bench, name, inject)
    work.book(OTHER, 2)
    time.sleep(0 if cell.faults == ("none",) else HOLD_SECONDS)
    bench.heal()
    codes = bench.await_exits()
    bench.settle()
    work.book(OTHER, 3)
    work.post_lot_again(OTHER, LAST_SUBMISSION)
    report.ends = work.join()
    report.broken += _not_served(report.ends)
    report.broken += [f"exit code {code}" for code in codes if code]
    if not isinstance(page(bench, name), Completed):
        report.broken.append("no page after the faults")
    report.broken += [f"{one.rule}: {one.detail}" for one in bench.violations()]
    report.seconds = time.monotonic() - began
    return report


def _not_served(ends: Ends) -> list[str]:
    """Return who was left without an answer after all was healed."""
    last = [sent[-1] for sent in ends.bookings]
    broken = [
        f"booking {number} lost" for number, end in enumerate(last) if end == LOST
    ]
    if ends.lot is not None and not isinstance(ends.lot, LotAnswered):
        broken.append(f"lot ended as {ends.lot}")
    return broken


def check_all(bench: Bench) -> list[histories.Violation]:
    """Judge the bench's whole history once more."""
    return histories.check(histories.read(bench.histories))
