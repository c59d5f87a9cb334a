"""What is kept in memory: requests in flight, attempts, keys, and the idle process."""

import subprocess
import sys

from benchmarks.capacity.clients import FakeEntry, RunningLoad
from benchmarks.capacity.data import PAYLOAD, REQUEST, REQUEST_PATH, SIDES
from benchmarks.capacity.figures import Figure, Line, fit, slope_figures
from benchmarks.capacity.fleet import Fleet
from benchmarks.capacity.trial import MIB, Trial

KIB = 1024
IN_FLIGHT = (0, 64, 128, 240)
SLOW_SECONDS = 20.0
ATTEMPTS = (0, 2000, 4000, 8000)
BATCH = 500
THREADS = (16, 64, 256)
ROOMY = ("--queue-limit", 60_000, "--capacity", 1)
FAST = ("--queue-limit", 60_000, "--capacity", 16)
IMPORTS = (
    "",
    "msgspec",
    "urllib3",
    "cheroot.wsgi",
    "hdrh.histogram",
    "wigeonfront.cli",
    "wigeonfront.entry.supervisor",
    "wigeonfront.side.supervisor",
)


def attempts(trial: Trial) -> list[Figure]:
    """Measure the memory of a request in flight and of an attempt that waits."""
    return _in_flight(trial) + _waiting(trial)


def _in_flight(trial: Trial) -> list[Figure]:
    lines = []
    for _ in trial.each():
        points = [(count, _entry_size(trial, count)) for count in IN_FLIGHT]
        lines.append(fit(points))
    note = f"{IN_FLIGHT} requests of 200 B at once, each in a new process"
    unit = "KiB per request"
    return slope_figures("entry", "memory per request in flight", unit, lines, note)


def _entry_size(trial: Trial, count: int) -> float:
    """Return KiB of an entry with `count` requests in flight."""
    with trial.fleet() as fleet:
        fleet.platform()
        target = fleet.target("--seconds", SLOW_SECONDS)
        sides = fleet.sides(SIDES, target, "--capacity", 32)
        fleet.list_sides(sides)
        fleet.entry("entry")
        fleet.wait_connected("entry", SIDES)
        if count:
            address = fleet.address("entry")
            RunningLoad(address, REQUEST_PATH, REQUEST, 1.0, connections=count)
        trial.wait()
        return fleet.usage("entry").memory.rss / KIB


def _waiting(trial: Trial) -> list[Figure]:
    lines = [_side_line(trial, TARGET_SLOW, ROOMY) for _ in trial.each()]
    note = f"{ATTEMPTS} attempts of 200 B waiting for the target"
    unit = "KiB per attempt"
    return slope_figures("side", "memory per waiting attempt", unit, lines, note)


TARGET_SLOW = ("--seconds", 300)


def ledger(trial: Trial) -> list[Figure]:
    """Measure the memory of results not acknowledged and of keys kept."""
    unread = [_side_line(trial, (), FAST, acknowledge=False) for _ in trial.each()]
    keys = [_side_line(trial, (), FAST, key="key-{}") for _ in trial.each()]
    note = f"{ATTEMPTS} finished, answers of 200 B"
    return [
        *slope_figures(
            "side", "memory per unread result", "KiB per result", unread, note
        ),
        *slope_figures("side", "memory per key kept", "KiB per key", keys, note),
    ]


def _side_line(
    trial: Trial,
    target_flags: tuple[object, ...],
    side_flags: tuple[object, ...],
    acknowledge: bool = True,
    key: str = "",
) -> Line:
    """Fit the memory of a side against the attempts that it was sent."""
    with trial.fleet() as fleet:
        fleet.platform()
        fleet.sides(1, fleet.target(*target_flags), *side_flags)
        entry = FakeEntry(fleet.address("side-0"), "entry")
        points = []
        for count in ATTEMPTS:
            while entry.taken < count:
                made = entry.attempts(BATCH, key=key, payload=PAYLOAD, remaining=600.0)
                if entry.dispatch(made, acknowledge):
                    raise RuntimeError("the side refused attempts")
                if not target_flags:
                    entry.wait_outstanding(0)
            if acknowledge:
                entry.dispatch([])
            trial.wait()
            points.append((count, fleet.usage("side-0").memory.rss / KIB))
        entry.close()
        return fit(points)


# --- idle processes ----------------------------------------------------------


def memory(trial: Trial) -> list[Figure]:
    """Measure the resident memory of modules, and of idle daemons."""
    figures = [_import_size(trial, name) for name in IMPORTS]
    with trial.fleet() as fleet:
        fleet.platform()
        target = fleet.target()
        figures += [_side_size(trial, fleet, target, kind) for kind in _KINDS]
        return figures + _thread_sizes(trial, fleet)


_KINDS = ("plain",)


def _import_size(trial: Trial, module: str) -> Figure:
    sizes = []
    for _ in trial.each():
        code = f"import {module}\n" if module else ""
        code += "print(open('/proc/self/smaps_rollup').read())"
        output = subprocess.check_output([sys.executable, "-c", code], text=True)
        rss = next(line for line in output.splitlines() if line.startswith("Rss:"))
        sizes.append(int(rss.split()[1]) * KIB / MIB)
    what = f"import {module}" if module else "bare interpreter"
    return Figure("any", what, "MiB", tuple(sizes), "a process of its own")


def _side_size(trial: Trial, fleet: Fleet, target: str, kind: str) -> Figure:
    sizes = []
    for number in trial.each():
        name = f"side-{kind}-{number}"
        fleet.side(name, target, "--target-kind", kind)
        fleet.wait_healthy(name)
        trial.wait()
        sizes.append(fleet.usage(name).memory.rss / MIB)
        fleet.stop(name)
    return Figure("side", "idle memory", "MiB", tuple(sizes), f"{kind} target")


def _thread_sizes(trial: Trial, fleet: Fleet) -> list[Figure]:
    lines = []
    for _ in trial.each():
        points = []
        for count in THREADS:
            fleet.entry("entry", "--threads", count)
            trial.wait()
            points.append((count, fleet.usage("entry").memory.rss / KIB))
            fleet.stop("entry")
        lines.append(fit(points))
    note = f"{THREADS} callers' threads, no peers"
    return slope_figures(
        "entry", "memory per idle thread", "KiB per thread", lines, note
    )
