"""A caller whose requests crash targets, and what must be served beside them."""

import threading
import time
from random import Random

from benchmarks.soak.cluster import Cluster
from platform_standins.deployment import HOST, PLAIN_PREFIX
from wigeonfront.http.client import Answer, NotSent, Pool, Unanswered

CALL_SECONDS = 3.0
PAUSE_SECONDS = 0.15
CRASHING_SHARE = 0.3

CONTACT_SECONDS = 3.0
"""Time after a third crash, or a fault, from which every entry must know of it."""

LONG_SECONDS = 60.0
"""Time after which only a request that is quarantined is told to come again."""

CRASHES_TO_QUARANTINE = 3
MOST_RETRIES = 3
"""Targets that a request may reach after that."""

LAST_SECONDS = 6.0
"""Time in which each entry gets a crashing request again and again in the end: several
times what a target takes to be back."""

SERVED_SECONDS = 10.0
"""Time within which a harmless request must be served in the end."""

HARMLESS = b"harmless"


class Caller:
    """Sends requests to entries drawn at random.

    Parameters
    ----------
    cluster : Cluster
    seed : int
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self._cluster = cluster
        self._random = Random(seed)
        self._sent = 0
        self.violations: list[str] = []

    def run(self, stop: threading.Event) -> None:
        """Send until told to stop."""
        bodies = sorted(self._cluster.crashing_bodies)
        while not stop.wait(PAUSE_SECONDS):
            crashing = self._random.random() < CRASHING_SHARE
            body = self._random.choice(bodies) if crashing else HARMLESS
            self._send(body, self._random.choice(self._cluster.entries).front)

    def finish(self) -> None:
        """Check, after the faults, what each entry still lets through."""
        bodies = sorted(self._cluster.crashing_bodies)
        for body in bodies:
            self._crash_enough(body)
        time.sleep(CONTACT_SECONDS)
        for body in bodies:
            self._check_kept_away(body)
        for entry in self._cluster.entries:
            self._check_served(entry.name, entry.front)

    def _crash_enough(self, body: bytes) -> None:
        """Send a request until it has crashed as many targets as quarantine it.

        It may be refused sooner: a target that another request crashes counts for all
        that it ran.
        """
        until = time.monotonic() + SERVED_SECONDS
        while time.monotonic() < until:
            if len(self._arrivals(body)) >= CRASHES_TO_QUARANTINE:
                return
            answer = self._call(body, self._random.choice(self._cluster.entries).front)
            if isinstance(answer, Answer) and answer.retry_after > LONG_SECONDS:
                return
            time.sleep(PAUSE_SECONDS)
        self.violations.append(f"{body!r} did not reach its targets")

    def _check_kept_away(self, body: bytes) -> None:
        began = time.monotonic()
        while time.monotonic() < began + LAST_SECONDS:
            for entry in self._cluster.entries:
                self._send(body, entry.front)
            time.sleep(PAUSE_SECONDS)
        late = [at for at in self._arrivals(body) if at >= began]
        if len(late) > MOST_RETRIES:
            self.violations.append(f"{body!r} reached {len(late)} targets more")

    def _check_served(self, name: str, front: str) -> None:
        until = time.monotonic() + SERVED_SECONDS
        while time.monotonic() < until:
            if self._send(HARMLESS, front) == 200:
                return
            time.sleep(PAUSE_SECONDS)
        self.violations.append(f"{name} serves no harmless request")

    def _arrivals(self, body: bytes) -> list[float]:
        return [
            one.at
            for target in self._cluster.crashers
            for one in list(target.arrivals)
            if one.body == body
        ]

    def _send(self, body: bytes, front: str) -> int:
        """Send a request; return its status, 0 if it got no answer."""
        answer = self._call(body, front)
        return answer.status if isinstance(answer, Answer) else 0

    def _call(self, body: bytes, front: str) -> Answer | NotSent | Unanswered:
        """Send a request under a new id."""
        self._sent += 1
        headers = {"Host": HOST, "Wigeonfront-Attempt-Id": f"caller-{self._sent}"}
        pool = Pool(front, connect_seconds=0.5)
        answer = pool.call(
            "POST", f"{PLAIN_PREFIX}a", body, headers, timeout=CALL_SECONDS
        )
        pool.close()
        return answer
