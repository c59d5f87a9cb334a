"""A caller that sends crashing and harmless requests, and checks the quarantine."""

import threading
import time
from random import Random

from benchmarks.soak.cluster import Cluster
from platform_standins.deployment import HOST, PLAIN_PREFIX
from wigeonfront.http.client import Answer, NotSent, Pool, Unanswered

CALL_SECONDS = 3.0
PAUSE_SECONDS = 0.15
CRASHING_SHARE = 0.3
"""Share of the requests that crash the target that runs them."""

PROPAGATION_SECONDS = 3.0
"""Time in which every entry must learn of a third crash, also after a fault."""

QUARANTINE_WAIT_SECONDS = 60.0
"""Only a quarantined request gets a longer time to wait before a retry than this."""

CRASHES_TO_QUARANTINE = 3
MAX_RETRIES = 3
"""Targets that a request may still reach once it is quarantined."""

FINAL_CHECK_SECONDS = 6.0
"""Time for which each entry is sent a crashing request repeatedly after the faults.

It is several times what a target takes to restart.
"""

SERVE_TIMEOUT_SECONDS = 10.0
"""Time within which a harmless request must be served after the faults."""

HARMLESS = b"harmless"


class Caller:
    """Sends requests to entries that it draws at random.

    Parameters
    ----------
    cluster : Cluster
    seed : int

    Attributes
    ----------
    violations : list of str
        The broken guarantees that were found so far.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self._cluster = cluster
        self._random = Random(seed)
        self._sent = 0
        self.violations: list[str] = []

    def run(self, stop: threading.Event) -> None:
        """Send requests until `stop` is set."""
        bodies = sorted(self._cluster.crashing_bodies)
        while not stop.wait(PAUSE_SECONDS):
            crashing = self._random.random() < CRASHING_SHARE
            body = self._random.choice(bodies) if crashing else HARMLESS
            self._send(body, self._random.choice(self._cluster.entries).front)

    def finish(self) -> None:
        """Check, after the faults, what each entry still lets through.

        Crashing requests must be quarantined, and harmless ones be served.
        """
        bodies = sorted(self._cluster.crashing_bodies)
        for body in bodies:
            self._crash_until_quarantined(body)
        time.sleep(PROPAGATION_SECONDS)
        for body in bodies:
            self._check_quarantined(body)
        for entry in self._cluster.entries:
            self._check_served(entry.name, entry.front)

    def _crash_until_quarantined(self, body: bytes) -> None:
        """Send a request until it has crashed enough targets to be quarantined.

        It may be refused sooner, as a target that another request crashes counts as a
        crash of all the requests that it ran.
        """
        until = time.monotonic() + SERVE_TIMEOUT_SECONDS
        while time.monotonic() < until:
            if len(self._arrivals(body)) >= CRASHES_TO_QUARANTINE:
                return
            answer = self._call(body, self._random.choice(self._cluster.entries).front)
            if (
                isinstance(answer, Answer)
                and answer.retry_after > QUARANTINE_WAIT_SECONDS
            ):
                return
            time.sleep(PAUSE_SECONDS)
        self.violations.append(
            f"{body!r} was not sent to enough targets to be quarantined"
        )

    def _check_quarantined(self, body: bytes) -> None:
        began = time.monotonic()
        while time.monotonic() < began + FINAL_CHECK_SECONDS:
            for entry in self._cluster.entries:
                self._send(body, entry.front)
            time.sleep(PAUSE_SECONDS)
        late = [at for at in self._arrivals(body) if at >= began]
        if len(late) > MAX_RETRIES:
            self.violations.append(
                f"{body!r} reached {len(late)} targets after its quarantine"
            )

    def _check_served(self, name: str, front: str) -> None:
        until = time.monotonic() + SERVE_TIMEOUT_SECONDS
        while time.monotonic() < until:
            if self._send(HARMLESS, front) == 200:
                return
            time.sleep(PAUSE_SECONDS)
        self.violations.append(f"{name} serves no harmless request")

    def _arrivals(self, body: bytes) -> list[float]:
        return [
            arrival.at
            for target in self._cluster.crashers
            for arrival in list(target.arrivals)
            if arrival.body == body
        ]

    def _send(self, body: bytes, front: str) -> int:
        """Send a request; return its status, or 0 if there was no answer."""
        answer = self._call(body, front)
        return answer.status if isinstance(answer, Answer) else 0

    def _call(self, body: bytes, front: str) -> Answer | NotSent | Unanswered:
        """Send a request with a new attempt id."""
        self._sent += 1
        headers = {"Host": HOST, "Wigeonfront-Attempt-Id": f"caller-{self._sent}"}
        pool = Pool(front, connect_seconds=0.5)
        answer = pool.call(
            "POST", f"{PLAIN_PREFIX}a", body, headers, timeout=CALL_SECONDS
        )
        pool.close()
        return answer
