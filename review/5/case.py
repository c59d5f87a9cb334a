"""Workers break off a few answers within their head."""

import os
import secrets
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from random import Random

import standin2_http11 as http11
from standin2_desk import Desk, desk_body, desk_seal
from standin2_world import ZONES, CannotRun, Record, World

FOLDER = Path("review/5")
HOST = "desk.example"
SERVICE = "order-desk"
WORKERS = 5
SLOTS = 6
RUN_MEAN_SECONDS = 0.0375
CLIENTS = 16
THINK_SECONDS = 0.05
DEADLINE_MS = 2_000
RUN_SECONDS = 45.0
CUT_SHARE, CUT_WORKERS = 0.02, 2
CUT_SECONDS, PAUSE_SECONDS = 5.0, 3.0

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "booking",
            "host": HOST,
            "prefix": "/booking/",
            "kind": "idempotent",
            "service": SERVICE,
            "timeoutMs": 2_000,
            "targetLatencyMs": 192,
            "maxAttempts": 2,
            "priority": 2,
        }
    ],
    "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 96}],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 33_554_432,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    },
}


class Clients:
    """Clients that send requests one after the other and check the answers.

    Parameters
    ----------
    fronts : list of str
    record : Record
    """

    def __init__(self, fronts: list[str], record: Record) -> None:
        self._fronts = fronts
        self._record = record
        self._lock = threading.Lock()
        self.statuses: Counter[int] = Counter()
        self.broken: list[str] = []

    def run(self, number: int, until: float) -> None:
        """Send requests until a monotonic time."""
        while time.monotonic() < until:
            self._send(self._fronts[number % len(self._fronts)])
            time.sleep(THINK_SECONDS)

    def _send(self, front: str) -> None:
        id = secrets.token_hex(8)
        headers = {
            "Host": HOST,
            "Wigeonfront-Attempt-Id": id,
            "Wigeonfront-Deadline-Ms": str(DEADLINE_MS),
        }
        seconds = DEADLINE_MS / 1000
        got = http11.call(front, "POST", "/booking/1", headers, b"book", seconds)
        status = got.status if got is not None else 0
        wrong = got is not None and status // 100 == 2 and not self._is_right(id, got)
        text = f"answer {id} from {front}: {status or 'none'}"
        if wrong and got is not None:
            seal = got.headers.get("wigeonfront-server-seal")
            text += f", seal {seal!r}, {len(got.body)} bytes: MIXED"
        self._record.write(text)
        with self._lock:
            self.statuses[status] += 1
            if wrong:
                self.broken.append(id)

    def _is_right(self, id: str, got: http11.Message) -> bool:
        """Return whether a success has a worker's seal and its whole body."""
        seal = got.headers.get("wigeonfront-server-seal")
        seals = [desk_seal(f"i-{number}", id) for number in range(WORKERS)]
        return seal in seals and got.whole and got.body == desk_body(id)


def disrupt(desks: list[Desk], until: float) -> None:
    """Have two workers of five break off a few answers, for five seconds in eight."""
    turn = 0
    while time.monotonic() < until:
        for place in range(CUT_WORKERS):
            desks[(turn + place) % len(desks)].cut_share = CUT_SHARE
        turn += 1
        time.sleep(CUT_SECONDS)
        for desk in desks:
            desk.cut_share = 0.0
        time.sleep(PAUSE_SECONDS)


def main() -> int:
    """Run the case; return 1 if the rule was broken, 0 if it held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(os.environ.get("RECORD", FOLDER / "record.txt")))
    world = World(CONFIGURATION)
    random = Random()
    desks = [
        Desk(world.host(), f"i-{n}", SLOTS, RUN_MEAN_SECONDS, random, record.write)
        for n in range(WORKERS)
    ]
    for number, desk in enumerate(desks):
        world.register(
            desk.name,
            {
                "service": SERVICE,
                "address": desk.address,
                "zone": ZONES[number % len(ZONES)],
                "version": "v1",
                "slotCount": SLOTS,
                "state": "ready",
                "coldLeftMs": 0,
            },
        )
    with world:
        clients = Clients(world.fronts, record)
        until = time.monotonic() + RUN_SECONDS
        if trouble:
            threading.Thread(target=disrupt, args=(desks, until), daemon=True).start()
        threads = [
            threading.Thread(target=clients.run, args=(number, until))
            for number in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    summary = (
        f"{clients.statuses.total()} requests, answers "
        f"{dict(sorted(clients.statuses.items()))}; {sum(d.cuts for d in desks)} "
        f"answers broken off; {len(clients.broken)} successes that aren't whole"
    )
    record.write(summary)
    print(summary)
    if not clients.statuses[200]:
        raise CannotRun("nothing was served")
    return 1 if clients.broken else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (CannotRun, OSError) as error:
        print("cannot run:", error)
        sys.exit(2)
