"""Runs the example deployments on this machine and prints their measurements.

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
from quickstart.example import EXAMPLE_NAMES, read_example
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
    """Usage of client accounts that was reported to the platform.

    Attributes
    ----------
    windows : int
        Windows that were reported.
    requests : int
        Requests in all windows.
    accounts : int
        Client accounts in all windows.
    contradictions : int
        Violations that the platform's stand-in found.
    """

    windows: int
    requests: int
    accounts: int
    contradictions: int


class RunReport(msgspec.Struct):
    """Measurements of the run of one deployment.

    Attributes
    ----------
    processes : int
        Number of processes that were started.
    start_seconds : float
        Time until all entries were ready.
    ended : list of str
        Processes that ended by themselves.
    logs : str
        Folder of the processes' logs.
    usage : UsageReport, optional
        ``None`` where usage isn't counted.
    """

    deployment: str
    processes: int
    start_seconds: float
    trainers: list[TrainerReport]
    callers: list[CallerReport]
    ended: list[str]
    logs: str
    usage: UsageReport | None = None

    @property
    def succeeded(self) -> bool:
        """Whether the run shows no fault.

        All trainers and callers got answers and no wrong ones, usage was reported
        without contradictions where it is counted, and no process ended by itself.
        """
        trainers = all(
            trainer.lots and not trainer.wrong and not trainer.late
            for trainer in self.trainers
        )
        callers = all(
            caller.ends.get("Completed") and not caller.foreign and not caller.doubled
            for caller in self.callers
        )
        usage = self.usage is None or (
            self.usage.requests and not self.usage.contradictions
        )
        return bool(trainers and callers and usage and not self.ended)


def run_deployment(name: str, arguments: argparse.Namespace, folder: Path) -> RunReport:
    """Start a deployment, put load on it, and return the measurements.

    Raises
    ------
    ClusterError
        If a process ends or is not ready in time.
    """
    began = time.monotonic()
    example = read_example(name)
    logs = folder / name
    logs.mkdir()
    with Cluster(example, logs, arguments.binary) as cluster:
        start_seconds = time.monotonic() - began
        callers = [Caller(cluster, config, example.model) for config in example.callers]
        trainers = [
            Trainer(cluster, config, LOT_ROUTE, example.model)
            for config in example.trainers
        ]
        for thread in (*callers, *trainers):
            thread.start()
        _wait_for_load(name, trainers, arguments.seconds)
        for thread in (*trainers, *callers):
            thread.stop_asked.set()
        for trainer in trainers:
            trainer.join(2 * LOT_SECONDS)
        for caller in callers:
            caller.join(2 * CALL_SECONDS)
        return RunReport(
            name,
            cluster.process_count,
            start_seconds,
            [trainer.report for trainer in trainers],
            [caller.report for caller in callers],
            cluster.ended_processes,
            str(logs),
            read_usage(cluster) if example.usage_window else None,
        )


def read_usage(cluster: Cluster) -> UsageReport:
    """Return the usage that has been reported to the platform so far."""
    checker = cluster.duties.checker
    reports = list(checker.reports.values())
    return UsageReport(
        len(reports),
        sum(sum(counts.values()) for counts in reports),
        len({account for counts in reports for account in counts}),
        len(checker.violations),
    )


def _wait_for_load(name: str, trainers: list[Trainer], seconds: float) -> None:
    """Wait for `seconds`, and show the number of samples that have come."""
    end = time.monotonic() + seconds
    with tqdm(desc=name, unit="sample", file=sys.stderr) as bar:
        while time.monotonic() < end:
            time.sleep(PROGRESS_SECONDS)
            bar.update(sum(trainer.report.samples for trainer in trainers) - bar.n)


def show(report: RunReport) -> None:
    """Print `report` in readable form."""
    print(f"\n== {report.deployment}: {report.processes} processes, ", end="")
    print(f"ready after {report.start_seconds:.1f} s; logs in {report.logs}")
    for trainer in report.trainers:
        print(
            f"trainer {trainer.name}: {trainer.lots} Lots, {trainer.samples} samples, "
            f"median {trainer.median_seconds:.2f} s; {trainer.given_up} samples given "
            f"up, {trainer.wrong} wrong; {trainer.late} Lots late"
        )
    for caller in report.callers:
        print(
            f"caller {caller.name}: {caller.ends}, p50 {caller.p50_ms} ms, "
            f"p99 {caller.p99_ms} ms; {caller.foreign} wrong answers, "
            f"{caller.doubled} repeated runs"
        )
    if report.usage is not None:
        usage = report.usage
        print(
            f"usage: {usage.windows} windows, {usage.requests} requests of "
            f"{usage.accounts} client accounts; {usage.contradictions} contradictions"
        )
    for name in report.ended:
        print(f"process {name} ended during the run")


def main() -> int:
    """Run the deployments that the flags ask for.

    Returns
    -------
    int
        Exit code: 0 if all deployments succeeded, otherwise 1.
    """
    flags = argparse.ArgumentParser("python -m quickstart.run", None, __doc__)
    flags.add_argument("--deployment", choices=[*EXAMPLE_NAMES, "both"], default="both")
    flags.add_argument(
        "--seconds", type=float, default=8.0, help="duration of the load"
    )
    flags.add_argument("--binary", default="", help="single-file program to run")
    flags.add_argument("--json", action="store_true", help="print JSON")
    arguments = flags.parse_args()
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    names = EXAMPLE_NAMES if arguments.deployment == "both" else (arguments.deployment,)
    folder = Path(tempfile.mkdtemp(prefix="wigeonfront-"))
    reports = []
    for name in names:
        try:
            reports.append(run_deployment(name, arguments, folder))
        except ClusterError as error:
            print(f"{name} could not be started: {error}", file=sys.stderr)
            return 1
        if not arguments.json:
            show(reports[-1])
    if arguments.json:
        print(msgspec.json.encode(reports).decode())
    return 0 if all(report.succeeded for report in reports) else 1


if __name__ == "__main__":
    sys.exit(main())
