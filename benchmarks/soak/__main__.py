"""Runs the soak for a range of seeds: ``python -m benchmarks.soak --seeds 1-50``."""

import argparse
import sys
import threading
import time
from dataclasses import dataclass

from benchmarks.soak.caller import Caller
from benchmarks.soak.cluster import RESTART_SECONDS, STOP_SECONDS, Cluster, Options
from benchmarks.soak.trainer import Trainer
from wigeonfront.http.client import Answer, Pool

SETTLE_SECONDS = 25.0
"""Time after the last fault within which every accepted Lot must be complete."""

READY_SECONDS = 15.0
"""Time within which all entries must answer, and a first Lot be accepted."""

OPTIONS = Options()


@dataclass(frozen=True)
class SeedResult:
    """What the run of one seed yielded."""

    seed: int
    lots: int
    accepted: int
    calls: int
    faults: list[str]
    violations: list[str]
    folder: str


def run_seed(seed: int, seconds: float, options: Options = OPTIONS) -> SeedResult:
    """Run the soak with one seed, injecting faults for `seconds`."""
    cluster = Cluster(seed, options)
    trainer = Trainer(cluster, seed)
    stop = threading.Event()
    caller = Caller(cluster, seed)
    loops = [trainer.run, *([caller.run] if options.crashing else [])]
    threads = [
        threading.Thread(target=loop, args=(stop,), daemon=True) for loop in loops
    ]
    try:
        cluster.start()
        wait_ready(cluster)
        for thread in threads:
            thread.start()
        wait_accepted(trainer)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(cluster.random.uniform(0.05, 1.2))
            cluster.inject()
        stop.set()
        for thread in threads:
            thread.join()
        cluster.end_faults()
        # A terminated process answers calls until it stops: the entries count as
        # ready only after it has stopped and been restarted.
        time.sleep(STOP_SECONDS + RESTART_SECONDS)
        wait_ready(cluster)
        trainer.finish(SETTLE_SECONDS)
        if options.crashing:
            caller.finish()
    finally:
        stop.set()
        cluster.close()
    return SeedResult(
        seed,
        len(trainer.lots),
        sum(lot.accepted for lot in trainer.lots),
        trainer.calls,
        cluster.injected,
        [*trainer.violations, *caller.violations],
        str(cluster.folder),
    )


def wait_ready(cluster: Cluster) -> None:
    """Wait until every entry answers calls."""
    deadline = time.monotonic() + READY_SECONDS
    for entry in cluster.entries:
        while time.monotonic() < deadline:
            answer = Pool(entry.front, 0.3).call("GET", "/ready-probe", timeout=1.0)
            if isinstance(answer, Answer) and answer.status == 404:
                break
            time.sleep(0.1)


def wait_accepted(trainer: Trainer) -> None:
    """Wait until a Lot is accepted.

    An outage that comes first could last for all of a short run, and no Lot would be
    accepted in it.
    """
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        if any(lot.accepted for lot in trainer.lots):
            return
        time.sleep(0.01)


def main() -> int:
    """Run the seeds and print a line for each; return how many had violations."""
    parser = argparse.ArgumentParser(prog="benchmarks.soak")
    parser.add_argument(
        "--seeds", default="1-3", help="one seed, or a range first-last"
    )
    parser.add_argument("--seconds", type=float, default=10.0, help="time with faults")
    parser.add_argument(
        "--one-version",
        action="store_true",
        help="each sample must come from one version, and engines change theirs",
    )
    parser.add_argument(
        "--scored",
        action="store_true",
        help="samples have reward calls, and targets restart with the same id",
    )
    parser.add_argument(
        "--disks",
        action="store_true",
        help="storage processes accept results, and disks are lost",
    )
    parser.add_argument(
        "--full-disks",
        action="store_true",
        help="disks refuse data for a while; only with --disks",
    )
    parser.add_argument(
        "--clocks", action="store_true", help="wall clocks differ and jump"
    )
    parser.add_argument(
        "--crashing",
        action="store_true",
        help="some requests crash the targets that run them; not with --scored",
    )
    parser.add_argument(
        "--hostile",
        action="store_true",
        help="crowds of callers send without an end, or stop short and stay",
    )
    parser.add_argument(
        "--processes", type=int, default=OPTIONS.entries, help="number of entries"
    )
    arguments = parser.parse_args()
    if arguments.crashing and arguments.scored:
        parser.error("--crashing cannot be combined with --scored")
    if arguments.full_disks and not arguments.disks:
        parser.error("--full-disks needs --disks")
    options = Options(
        arguments.one_version,
        arguments.scored,
        arguments.disks,
        arguments.clocks,
        arguments.crashing,
        arguments.processes,
        arguments.full_disks,
        arguments.hostile,
    )
    first, _, last = arguments.seeds.partition("-")
    failed_seeds = 0
    for seed in range(int(first), int(last or first) + 1):
        result = run_seed(seed, arguments.seconds, options)
        failed_seeds += bool(result.violations)
        print(
            f"seed={seed} lots={result.lots} accepted={result.accepted} "
            f"calls={result.calls} faults={len(result.faults)} "
            f"violations={len(result.violations)}",
            flush=True,
        )
        for violation in result.violations:
            print(f"  {violation}")
        if result.violations:
            print(f"  faults: {' '.join(result.faults)}; logs in {result.folder}")
    return failed_seeds


if __name__ == "__main__":
    sys.exit(main())
