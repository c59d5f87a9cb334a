"""Runs the example deployments on this machine and prints what was measured.

Usage, in ``examples`` with wigeonfront installed: ``python -m quickstart.run``.
"""

import argparse
import signal
import sys
import tempfile
import time
from pathlib import Path

import msgspec
from tqdm import tqdm

from quickstart.cluster import Cluster, ClusterError
from quickstart.example import NAMES, load
from quickstart.load import (
    CALL_SECONDS,
    LOT_SECONDS,
    Caller,
    CallerReport,
    Trainer,
    TrainerReport,
)

LOT_ROUTE = "rollouts"
PROGRESS_SECONDS = 0.25


class UsageReport(msgspec.Struct):
    """What the platform was told of the usage of client accounts."""

    windows: int
    requests: int
    accounts: int
    contradictions: int


class RunReport(msgspec.Struct):
    """What one deployment's run showed."""

    deployment: str
    processes: int
    start_seconds: float
    trainers: list[TrainerReport]
    callers: list[CallerReport]
    ended: list[str]
    logs: str
    usage: UsageReport | None = None

    @property
    def good(self) -> bool:
        """Whether all trainers and callers were served, and served right."""
        trainers = all(
            each.lots and not each.wrong and not each.late for each in self.trainers
        )
        callers = all(
            each.ends.get("Completed") and not each.foreign and not each.doubled
            for each in self.callers
        )
        usage = self.usage is None or (
            self.usage.requests and not self.usage.contradictions
        )
        return bool(trainers and callers and usage and not self.ended)


def run_deployment(name: str, arguments: argparse.Namespace, folder: Path) -> RunReport:
    """Start one deployment, put load on it, and return what was measured."""
    began = time.monotonic()
    example = load(name)
    logs = folder / name
    logs.mkdir()
    with Cluster(example, logs, arguments.binary) as cluster:
        start_seconds = time.monotonic() - began
        callers = [Caller(cluster, each, example.model) for each in example.callers]
        trainers = [
            Trainer(cluster, each, LOT_ROUTE, example.model)
            for each in example.trainers
        ]
        for thread in (*callers, *trainers):
            thread.start()
        _wait(name, trainers, arguments.seconds)
        for thread in (*trainers, *callers):
            thread.stop_asked.set()
        for trainer in trainers:
            trainer.join(2 * LOT_SECONDS)
        for caller in callers:
            caller.join(2 * CALL_SECONDS)
        return RunReport(
            name,
            cluster.size,
            start_seconds,
            [each.report for each in trainers],
            [each.report for each in callers],
            cluster.ended,
            str(logs),
            usage_of(cluster) if example.usage_window else None,
        )


def usage_of(cluster: Cluster) -> UsageReport:
    """Return what the platform has been told of usage so far."""
    checker = cluster.duties.checker
    reports = list(checker.reports.values())
    return UsageReport(
        len(reports),
        sum(sum(counts.values()) for counts in reports),
        len({account for counts in reports for account in counts}),
        len(checker.violations),
    )


def _wait(name: str, trainers: list[Trainer], seconds: float) -> None:
    """Wait for the load's time, and show how many samples have come."""
    end = time.monotonic() + seconds
    with tqdm(desc=name, unit="sample", file=sys.stderr) as bar:
        while time.monotonic() < end:
            time.sleep(PROGRESS_SECONDS)
            bar.update(sum(each.report.samples for each in trainers) - bar.n)


def show(report: RunReport) -> None:
    """Print `report` for people."""
    print(f"\n== {report.deployment}: {report.processes} processes, ", end="")
    print(f"ready after {report.start_seconds:.1f} s; logs in {report.logs}")
    for each in report.trainers:
        print(
            f"trainer {each.name}: {each.lots} Lots, {each.samples} samples, "
            f"median {each.median_seconds:.2f} s; {each.given_up} given up, "
            f"{each.wrong} wrong, {each.late} late"
        )
    for each in report.callers:
        print(
            f"caller {each.name}: {each.ends}, p50 {each.p50_ms} ms, "
            f"p99 {each.p99_ms} ms; {each.foreign} foreign, {each.doubled} run twice"
        )
    if report.usage is not None:
        each = report.usage
        print(
            f"usage: {each.windows} windows, {each.requests} requests of "
            f"{each.accounts} accounts; {each.contradictions} contradictions"
        )
    for name in report.ended:
        print(f"{name} had ended")


def main() -> int:
    """Run what the flags ask for; return 0 when all were served right."""
    flags = argparse.ArgumentParser("python -m quickstart.run", None, __doc__)
    flags.add_argument("--deployment", choices=[*NAMES, "both"], default="both")
    flags.add_argument("--seconds", type=float, default=8.0, help="time of the load")
    flags.add_argument("--binary", default="", help="single-file program to run")
    flags.add_argument("--json", action="store_true", help="print JSON")
    arguments = flags.parse_args()
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    names = NAMES if arguments.deployment == "both" else (arguments.deployment,)
    folder = Path(tempfile.mkdtemp(prefix="wigeonfront-"))
    reports = []
    for name in names:
        try:
            reports.append(run_deployment(name, arguments, folder))
        except ClusterError as error:
            print(f"{name} could not be run: {error}", file=sys.stderr)
            return 1
        if not arguments.json:
            show(reports[-1])
    if arguments.json:
        print(msgspec.json.encode(reports).decode())
    return 0 if all(report.good for report in reports) else 1


if __name__ == "__main__":
    sys.exit(main())
