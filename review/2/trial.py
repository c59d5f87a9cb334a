"""Requests of some seconds at an entry that gets a planned stop meanwhile."""

import os
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from standin_client import Reply, call
from standin_record import Record
from standin_store import PlatformStore
from standin_system import Program, System, check_build, free_host
from standin_worker import PlainWorker

ZONES = ("hall-a", "hall-b", "hall-c")
SERVICE = "studio-portal"
GRACE_SECONDS = 8.0
WORK_SECONDS = 4.0
SENT_BEFORE = (1.0, 0.5, 0.1)
"""Times before the stop at which a request is sent."""

RESTART_SECONDS = 1.0

NOT_ANSWERED = Reply(-1)

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "report",
            "host": "portal.example",
            "prefix": "/report/",
            "kind": "non_idempotent",
            "service": SERVICE,
            "timeoutMs": 10000,
            "targetLatencyMs": 5000,
            "maxAttempts": 2,
            "priority": 1,
        }
    ],
    "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 96}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1048576,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


@dataclass
class Sent:
    """A request, and what its client got."""

    id: str
    sent_at: float
    reply: Reply = NOT_ANSWERED
    ended_at: float = 0.0


def main() -> int:
    """Run the trial and return the exit code."""
    check_build()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).parent)
    store = PlatformStore(free_host())
    store.start()
    store.put("op/config", CONFIGURATION)
    workers = [
        PlainWorker(
            free_host(),
            store,
            f"i-portal{number}",
            SERVICE,
            zone,
            6,
            3,
            WORK_SECONDS,
            lambda worker, id: record.note(f"run {id} at {worker}"),
        )
        for number, zone in enumerate(ZONES)
    ]
    for worker in workers:
        worker.start()
    system = System(store.address, ZONES, disks=False)
    try:
        if not system.start():
            record.conclude("could not run: the entries are not ready")
            return 2
        time.sleep(4.0)
        sent: list[Sent] = []
        stops: dict[str, float] = {}
        for entry in system.entries:
            _stop_once(entry, record, sent, stops, trouble)
        return _judge(sent, stops, record)
    finally:
        system.stop()
        for worker in workers:
            worker.stop()
        store.stop()


def _stop_once(
    entry: Program,
    record: Record,
    sent: list[Sent],
    stops: dict[str, float],
    trouble: bool,
) -> None:
    """Send requests to an entry, stop it as planned, and start it again."""
    began = time.monotonic()
    stop_at = began + max(SENT_BEFORE)
    threads = []
    for number, before in enumerate(SENT_BEFORE):
        request = Sent(f"{entry.zone}-{number}", stop_at - before)
        sent.append(request)
        threads.append(threading.Thread(target=_send, args=(entry, request, record)))
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, stop_at - time.monotonic()))
    stops[entry.zone] = stop_at
    if trouble:
        record.note(f"SIGTERM to {entry.name}")
        entry.signal(signal.SIGTERM)
        try:
            entry.process.wait(GRACE_SECONDS)
            record.note(f"{entry.name} ended by itself")
        except subprocess.TimeoutExpired:
            entry.kill()
            record.note(f"{entry.name} was killed after the grace time")
    for thread in threads:
        thread.join()
    if trouble:
        time.sleep(RESTART_SECONDS)
        entry.start()
        while not entry.is_ready():
            time.sleep(0.1)


def _send(entry: Program, request: Sent, record: Record) -> None:
    time.sleep(max(0.0, request.sent_at - time.monotonic()))
    headers = {
        "Host": "portal.example",
        "Wigeonfront-Attempt-Id": request.id,
        "Wigeonfront-Deadline-Ms": "10000",
    }
    record.note(f"sent {request.id} to {entry.name}")
    body = request.id.encode()
    reply = call(entry.front, "POST", f"/report/{request.id}", headers, body, 12.0)
    request.reply, request.ended_at = reply, time.monotonic()
    told = reply.status or "nothing: the connection was closed"
    record.note(f"answered {request.id}: {told}")


def _judge(sent: list[Sent], stops: dict[str, float], record: Record) -> int:
    """Apply the rule LOST, and return the exit code."""
    lost = [request for request in sent if request.reply.status == 0]
    for request in lost:
        after = request.ended_at - stops[request.id.rpartition("-")[0]]
        record.note(f"LOST: {request.id} was cut {after:.1f} s after the SIGTERM")
    answered = sum(request.reply.status == 200 for request in sent)
    record.conclude(
        f"{len(sent)} requests sent, {answered} answered, "
        f"{len(lost)} ended without an answer"
    )
    if lost:
        return 1
    return 0 if answered == len(sent) else 2


if __name__ == "__main__":
    sys.exit(main())
