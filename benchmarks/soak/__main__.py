"""Plays seeds of the soak: ``python -m benchmarks.soak --seeds 1-50``."""

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
"""Time after the last fault in which every accepted Lot must be whole."""

READY_SECONDS = 15.0

OPTIONS = Options()


@dataclass(frozen=True)
class Played:
    """What one seed gave."""

    seed: int
    lots: int
    accepted: int
    calls: int
    faults: list[str]
    violations: list[str]
    folder: str


def play(seed: int, seconds: float, options: Options = OPTIONS) -> Played:
    """Play one seed for `seconds` of faults."""
    cluster = Cluster(seed, options)
    trainer = Trainer(cluster, seed)
    stop = threading.Event()
    caller = Caller(cluster, seed)
    runs = [trainer.run, *([caller.run] if options.crashing else [])]
    threads = [threading.Thread(target=run, args=(stop,), daemon=True) for run in runs]
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
        cluster.calm()
        # A process that was told to stop is still answering calls.
        time.sleep(STOP_SECONDS + RESTART_SECONDS)
        wait_ready(cluster)
        trainer.finish(SETTLE_SECONDS)
        if options.crashing:
            caller.finish()
    finally:
        stop.set()
        cluster.close()
    return Played(
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
    """Wait until a Lot is accepted: an outage may last for all of a short play."""
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        if any(lot.accepted for lot in trainer.lots):
            return
        time.sleep(0.01)


def main() -> int:
    """Play the seeds and print a line for each; return how many broke a promise."""
    parser = argparse.ArgumentParser(prog="benchmarks.soak")
    parser.add_argument("--seeds", default="1-3", help="one seed, or first-last")
    parser.add_argument("--seconds", type=float, default=10.0, help="faults of a seed")
    parser.add_argument(
        "--one-version",
        action="store_true",
        help="samples must come from one version, and engines change theirs",
    )
    parser.add_argument(
        "--scored",
        action="store_true",
        help="samples have reward calls; targets restart under their ids",
    )
    parser.add_argument(
        "--disks",
        action="store_true",
        help="storage processes take results; disks are lost",
    )
    parser.add_argument(
        "--clocks", action="store_true", help="times of day differ, and jump"
    )
    parser.add_argument(
        "--crashing",
        action="store_true",
        help="some requests crash the targets that run them; not with --scored",
    )
    parser.add_argument(
        "--processes", type=int, default=OPTIONS.entries, help="entries"
    )
    arguments = parser.parse_args()
    if arguments.crashing and arguments.scored:
        parser.error("--crashing does not go with --scored")
    options = Options(
        arguments.one_version,
        arguments.scored,
        arguments.disks,
        arguments.clocks,
        arguments.crashing,
        arguments.processes,
    )
    first, _, last = arguments.seeds.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        played = play(seed, arguments.seconds, options)
        broken += bool(played.violations)
        print(
            f"seed={seed} lots={played.lots} accepted={played.accepted} "
            f"calls={played.calls} faults={len(played.faults)} "
            f"violations={len(played.violations)}",
            flush=True,
        )
        for violation in played.violations:
            print(f"  {violation}")
        if played.violations:
            print(f"  faults: {' '.join(played.faults)}; logs in {played.folder}")
    return broken


if __name__ == "__main__":
    sys.exit(main())
