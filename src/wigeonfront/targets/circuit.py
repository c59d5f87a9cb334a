"""Circuit breakers: a failing target gets no requests for a while.

Each entry has one thread-safe `Circuits` object per service. A circuit opens after a
number of consecutive failures or at a failure rate. It stays open for a jittered pause,
whose bound doubles with each opening, and then lets one probe through. Only a share of
a service's targets is ejected at once, so that a fault common to all targets doesn't
take the whole service out.
"""

import math
import threading
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Literal

from wigeonfront.clock import Clock

State = Literal["closed", "open", "half_open"]
Evidence = Literal["success", "failure", "none"]


@dataclass(frozen=True, slots=True)
class CircuitSettings:
    """When circuits open and for how long.

    Attributes
    ----------
    consecutive : int
        Number of consecutive failures that open a circuit.
    rate : float
        Share of failures, over `window`, that opens a circuit.
    min_results : float
        Number of results within the window from which on the rate counts.
    window : float
        Time constant in seconds with which older results lose weight exponentially.
    base_pause, max_pause : float
        Upper bound in seconds of the first pause, which doubles with each opening, and
        the limit of its growth.
    probe_timeout : float
        Seconds after which a probe without a result no longer blocks the next one.
    ejected_share : float
        Maximum share of the service's targets whose circuits aren't closed.
    """

    consecutive: int = 5
    rate: float = 0.5
    min_results: float = 10
    window: float = 10.0
    base_pause: float = 1.0
    max_pause: float = 15.0
    probe_timeout: float = 10.0
    ejected_share: float = 0.5


@dataclass(frozen=True, slots=True)
class CircuitChange:
    """A change of a circuit's state, for one log line.

    Attributes
    ----------
    target : str
        Id of the target.
    state : {"closed", "open", "half_open"}
        The new state.
    reason : str
        Why the state changed, such as ``consecutive_failures`` or ``probe``.
    consecutive : int
        Number of consecutive failures, for a circuit that opens.
    rate : float
        Failure rate, for a circuit that opens.
    pause : float
        Seconds until the first probe, for a circuit that opens.
    """

    target: str
    state: State
    reason: str
    consecutive: int = 0
    rate: float = 0.0
    pause: float = 0.0


@dataclass(slots=True)
class _Circuit:
    state: State = "closed"
    consecutive: int = 0
    openings: int = 0
    until: float = 0.0
    failures: float = 0.0
    results: float = 0.0
    updated: float = 0.0

    def decay(self, now: float, window: float) -> None:
        factor = math.exp((self.updated - now) / window)
        self.failures *= factor
        self.results *= factor
        self.updated = now

    @property
    def rate(self) -> float:
        return self.failures / self.results if self.results else 0.0


class Circuits:
    """The circuit breakers of one service's targets in one entry.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    random : random.Random
        Source of the jitter in pauses.
    settings : CircuitSettings
        Thresholds and pauses.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        settings: CircuitSettings = CircuitSettings(),
    ) -> None:
        self._clock = clock
        self._random = random
        self._settings = settings
        self._circuits: dict[str, _Circuit] = {}
        self._lock = threading.Lock()

    def set_targets(self, targets: Iterable[str]) -> None:
        """Set the targets of the service; drop the circuits of all others."""
        with self._lock:
            self._circuits = {
                target: self._circuits.get(target, _Circuit()) for target in targets
            }

    def is_open(self, target: str) -> bool:
        """Return whether the circuit rejects requests to `target` now.

        After its pause an open circuit lets the next attempt through as a probe, which
        `record_attempt` records.
        """
        with self._lock:
            circuit = self._circuits.get(target)
            if circuit is None or circuit.state == "closed":
                return False
            return self._clock.monotonic() < circuit.until

    def record_attempt(self, target: str) -> CircuitChange | None:
        """Record an attempt at `target`, a probe if the circuit's pause is over."""
        with self._lock:
            circuit = self._circuits.get(target)
            now = self._clock.monotonic()
            if circuit is None or circuit.state == "closed" or now < circuit.until:
                return None
            circuit.state = "half_open"
            circuit.until = now + self._settings.probe_timeout
            return CircuitChange(target, "half_open", "probe")

    def record_result(self, target: str, evidence: Evidence) -> CircuitChange | None:
        """Record the result of an attempt at `target`; return a change of state.

        Parameters
        ----------
        target : str
        evidence : {"success", "failure", "none"}
            What the result says about the target's health.
        """
        if evidence == "none":
            return self._release_probe(target)
        with self._lock:
            circuit = self._circuits.setdefault(target, _Circuit())
            circuit.decay(self._clock.monotonic(), self._settings.window)
            circuit.results += 1
            if evidence == "success":
                return self._record_success(target, circuit)
            return self._record_failure(target, circuit)

    def record_answer_begun(self, target: str) -> CircuitChange | None:
        """Record that `target` has begun an answer; after a probe the circuit closes.

        A stream lasts for seconds, during which the target would otherwise get no
        requests. The next pause still doubles until a request has succeeded.
        """
        with self._lock:
            circuit = self._circuits.get(target)
            if circuit is None or circuit.state != "half_open":
                return None
            now = self._clock.monotonic()
            self._circuits[target] = _Circuit(openings=circuit.openings, updated=now)
            return CircuitChange(target, "closed", "probe_answering")

    def state(self, target: str) -> State:
        """Return the state of the circuit of `target`."""
        with self._lock:
            circuit = self._circuits.get(target)
            return circuit.state if circuit else "closed"

    def _release_probe(self, target: str) -> None:
        """Allow another probe at once, as the last one gave no evidence."""
        with self._lock:
            circuit = self._circuits.get(target)
            if circuit is not None and circuit.state == "half_open":
                circuit.until = self._clock.monotonic()

    def _record_success(self, target: str, circuit: _Circuit) -> CircuitChange | None:
        circuit.consecutive = 0
        if circuit.state == "closed":
            circuit.openings = 0
        if circuit.state != "half_open":
            return None
        self._circuits[target] = _Circuit(updated=circuit.updated)
        return CircuitChange(target, "closed", "probe_succeeded")

    def _record_failure(self, target: str, circuit: _Circuit) -> CircuitChange | None:
        circuit.consecutive += 1
        circuit.failures += 1
        if circuit.state == "half_open":
            return self._open(target, circuit, "probe_failed")
        if circuit.state == "open":
            return None
        if circuit.consecutive >= self._settings.consecutive:
            return self._open(target, circuit, "consecutive_failures")
        if (
            circuit.results >= self._settings.min_results
            and circuit.rate >= self._settings.rate
        ):
            return self._open(target, circuit, "failure_rate")
        return None

    def _open(
        self, target: str, circuit: _Circuit, reason: str
    ) -> CircuitChange | None:
        if circuit.state == "closed" and not self._may_eject():
            return None
        ceiling = self._settings.base_pause * 2**circuit.openings
        pause = jittered(min(ceiling, self._settings.max_pause), self._random)
        circuit.state = "open"
        circuit.openings += 1
        circuit.until = self._clock.monotonic() + pause
        return CircuitChange(
            target, "open", reason, circuit.consecutive, circuit.rate, pause
        )

    def _may_eject(self) -> bool:
        ejected = sum(circuit.state != "closed" for circuit in self._circuits.values())
        allowed = math.floor(self._settings.ejected_share * len(self._circuits))
        return ejected < allowed


def jittered(ceiling: float, random: Random) -> float:
    """Return a random pause between half of `ceiling` and `ceiling`.

    The lower bound is needed because a pause near zero would send the probe to a target
    that has just failed.
    """
    return ceiling * random.uniform(0.5, 1.0)
