"""Runs the deployments on this machine and prints the answers and figures.

Usage, in ``examples`` with wigeonfront installed: ``python -m quickstart.run``.
"""

import argparse
import itertools
import signal
import subprocess
import sys
import tempfile
import threading
import time
import uuid
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from quickstart.cluster import Cluster, Options
from quickstart.processes import ClusterError
from standins.deployment import NAMES, Call, load
from standins.history import History, digest
from standins.recording import record_call
from standins.trainer import MAX_MILLISECONDS, Report, count
from wigeonfront.client import Request, RequestClient
from wigeonfront.outcomes import Completed

CALL_TIMEOUT = 5.0
CALL_PAUSE = 0.05
LOT_TIMEOUT = 20.0
REPORT_GRACE = 2 * LOT_TIMEOUT


class CallReport(msgspec.Struct):
    """What an ordinary user measured.

    Attributes
    ----------
    ends : dict of str to int
        How the calls ended, by outcome.
    foreign : int
        Answers that belong to another call.
    doubled : int
        Calls marked as not idempotent that a target executed more than once.
    p50_ms, p99_ms : float
        Time of completed calls in milliseconds.
    """

    service: str
    catalogue_entry: str
    idempotent: bool
    ends: dict[str, int] = {}
    foreign: int = 0
    doubled: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    example: Any = None


class RunReport(msgspec.Struct):
    """What one deployment's run showed."""

    deployment: str
    processes: int
    start_seconds: float
    trainers: list[Report]
    calls: list[CallReport]
    ended: list[str]
    logs: str

    @property
    def good(self) -> bool:
        """Whether all trainers and callers were served, and served right."""
        trainers = all(each.delivered and not each.wrong for each in self.trainers)
        calls = all(each.ends.get("Completed") for each in self.calls)
        return (
            trainers and calls and not any(c.foreign or c.doubled for c in self.calls)
        )


class Caller(threading.Thread):
    """An ordinary user who makes one call after another until told to stop."""

    def __init__(self, cluster: Cluster, call: Call, stop: threading.Event) -> None:
        super().__init__(daemon=True)
        path = cluster.folder / "history" / f"caller-{call.catalogue_entry}.jsonl"
        self._history = History(str(path), path.stem)
        self._client = RequestClient(
            [cluster.address(name) for name in cluster.entries]
        )
        self._call = call
        self._stop_asked = stop
        self._times = HdrHistogram(1, MAX_MILLISECONDS, 3)
        self.digests: set[str] = set()
        self.report = CallReport(call.service, call.catalogue_entry, call.idempotent)

    def run(self) -> None:
        """Make the calls."""
        for number in itertools.count(1):
            self._call_once({**self._call.payload, "number": number})
            if self._stop_asked.wait(CALL_PAUSE):
                break
        self.report.p50_ms = self._times.get_value_at_percentile(50)
        self.report.p99_ms = self._times.get_value_at_percentile(99)
        self._client.close()

    def _call_once(self, payload: Any) -> None:
        key = uuid.uuid4().hex
        own = digest(payload)
        self.digests.add(own)
        request = Request(
            self._call.service,
            self._call.catalogue_entry,
            payload,
            self._call.idempotent,
            key="" if self._call.idempotent else key,
        )
        began = time.monotonic()
        outcome = record_call(self._history, self._client, request, CALL_TIMEOUT)
        milliseconds = (time.monotonic() - began) * 1000
        count(self.report.ends, type(outcome).__name__)
        if isinstance(outcome, Completed):
            self._times.record_value(max(1, round(milliseconds)))
            self.report.foreign += outcome.payload["digest"] != own
            self.report.example = self.report.example or outcome.payload


def run_deployment(name: str, arguments: argparse.Namespace, folder: Path) -> RunReport:
    """Start one deployment, put load on it, and return what was measured."""
    began = time.monotonic()
    deployment = load(name)
    options = Options(binary=arguments.binary)
    with Cluster(deployment, folder / name, options) as cluster:
        start_seconds = time.monotonic() - began
        stop = threading.Event()
        callers = [Caller(cluster, call, stop) for call in deployment.calls]
        for caller in callers:
            caller.start()
        flags = ("--seconds", arguments.seconds, "--timeout", LOT_TIMEOUT)
        trainers = [cluster.start_trainer(each, *flags) for each in deployment.trainers]
        time.sleep(arguments.seconds / 3)
        for victim in set(arguments.kill).intersection(cluster.names):
            cluster.kill(victim)
        reports = [_report_of(cluster, each, arguments.seconds) for each in trainers]
        stop.set()
        for caller in callers:
            caller.join(2 * CALL_TIMEOUT)
        ended = [each for each in cluster.names if not cluster.alive(each)]
        ended = [each for each in ended if each not in trainers]
        processes = len(cluster.names)
    _count_doubled(folder / name, callers)
    return RunReport(
        name,
        processes,
        start_seconds,
        reports,
        [caller.report for caller in callers],
        ended,
        str(folder / name),
    )


def _report_of(cluster: Cluster, trainer: str, seconds: float) -> Report:
    try:
        cluster.wait_end(trainer, seconds + REPORT_GRACE)
    except subprocess.TimeoutExpired:
        cluster.kill(trainer)
    try:
        path = cluster.folder / f"{trainer}.json"
        return msgspec.json.decode(path.read_bytes(), type=Report)
    except (OSError, msgspec.DecodeError):
        print(f"{trainer} gave no report:\n{cluster.log_end(trainer)}", file=sys.stderr)
        return Report(trainer)


def _count_doubled(folder: Path, callers: list[Caller]) -> None:
    executions: Counter[str] = Counter()
    for path in (folder / "history").glob("target-*.jsonl"):
        for line in path.read_bytes().splitlines():
            event = msgspec.json.decode(line)
            if event["event"] == "execute_start" and not event.get("idempotent", True):
                executions[event["digest"]] += 1
    for caller in callers:
        doubled = [each for each in caller.digests if executions[each] > 1]
        caller.report.doubled = len(doubled)


def show(report: RunReport) -> None:
    """Print `report` for people."""
    print(f"\n== {report.deployment}: {report.processes} processes, ", end="")
    print(f"ready after {report.start_seconds:.1f} s; logs in {report.logs}")
    for each in report.trainers:
        idle = 100 * each.idle / each.elapsed if each.elapsed else 0
        print(
            f"trainer {each.trainer}: {each.delivered} of {each.lots} Lots whole, ",
            end="",
        )
        print(f"{each.samples} samples, {each.wrong} wrong; ends {dict(each.ends)}")
        print(f"  Lot p50 {each.lot_p50:.2f} s, longest {each.lot_max:.2f} s; ", end="")
        print(f"idle {idle:.0f}% of {each.elapsed:.1f} s; ", end="")
        print(f"versions behind: {dict(sorted(each.staleness.items()))}")
        print(f"  e.g. {each.example}")
    for each in report.calls:
        print(
            f"calls {each.service} as {each.catalogue_entry}: {dict(each.ends)}, ",
            end="",
        )
        print(f"p50 {each.p50_ms} ms, p99 {each.p99_ms} ms, ", end="")
        print(f"{each.foreign} foreign answers, {each.doubled} run twice")
        print(f"  e.g. {each.example}")
    for name in report.ended:
        print(f"{name} had ended")


def main() -> int:
    """Run what the flags ask for; return 0 when all were served right."""
    flags = argparse.ArgumentParser("python -m quickstart.run", None, __doc__)
    flags.add_argument("--deployment", choices=[*NAMES, "both"], default="both")
    flags.add_argument("--seconds", type=float, default=8.0, help="time of the load")
    flags.add_argument("--binary", default="", help="single-file program to run")
    flags.add_argument("--kill", action="append", default=[], help="process to kill")
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
