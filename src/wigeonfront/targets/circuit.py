"""Circuits: targets that fail are left alone for a while.

One `Circuits` object per service and entry, thread-safe. A circuit opens after
failures in a row or at a failure rate, stays open for a pause with full jitter that
doubles with each opening, then lets one probe through. At most a share of the
service is ejected at once, so that a fault common to all targets does not take the
whole service out.
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
        Failures in a row that open a circuit.
    rate : float
        Share of failures, over `window`, that opens a circuit.
    min_results : float
        Least results within the window for the rate to count.
    window : float
        Seconds over which results lose their weight.
    base_pause, max_pause : float
        Bounds in seconds of the pause, which doubles with each opening.
    probe_timeout : float
        Seconds after which a probe without a result no longer blocks the next.
    ejected_share : float
        Largest share of the service's targets with an open circuit.
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
    """A circuit changed its state; for one log line."""

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
    """The circuits of one service's targets, as seen by one entry.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    random : random.Random
        Source of jitter.
    settings : CircuitSettings
        Thresholds.
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
        """Say which targets the service has; others are forgotten."""
        with self._lock:
            self._circuits = {
                target: self._circuits.get(target, _Circuit()) for target in targets
            }

    def is_open(self, target: str) -> bool:
        """Tell whether `target` may not be chosen now.

        After its pause an open circuit lets the next attempt through as a probe;
        `sent` says that it has gone.
        """
        with self._lock:
            circuit = self._circuits.get(target)
            if circuit is None or circuit.state == "closed":
                return False
            return self._clock.monotonic() < circuit.until

    def record_attempt(self, target: str) -> CircuitChange | None:
        """Note that an attempt goes to `target`; it may be a circuit's probe."""
        with self._lock:
            circuit = self._circuits.get(target)
            now = self._clock.monotonic()
            if circuit is None or circuit.state == "closed" or now < circuit.until:
                return None
            circuit.state = "half_open"
            circuit.until = now + self._settings.probe_timeout
            return CircuitChange(target, "half_open", "probe")

    def record_result(self, target: str, found: Evidence) -> CircuitChange | None:
        """Take evidence about `target`; return a change of state."""
        if found == "none":
            return self._release_probe(target)
        with self._lock:
            circuit = self._circuits.setdefault(target, _Circuit())
            circuit.decay(self._clock.monotonic(), self._settings.window)
            circuit.results += 1
            if found == "success":
                return self._record_success(target, circuit)
            return self._record_failure(target, circuit)

    def record_answer_begun(self, target: str) -> CircuitChange | None:
        """Note that a request has begun to be answered; a probe closes the circuit.

        What is streamed lasts for seconds, in which the target would stay empty. The
        next pause still doubles until a request has ended in success.
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
        """Let another probe go at once: the last one proved nothing."""
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
        ejected = sum(c.state != "closed" for c in self._circuits.values())
        allowed = math.floor(self._settings.ejected_share * len(self._circuits))
        return ejected < allowed


def jittered(ceiling: float, random: Random) -> float:
    """Return a pause between half of `ceiling` and `ceiling`.

    A circuit's pause keeps a floor, because a pause near zero would send the probe
    to a target that has just failed.
    """
    return ceiling * random.uniform(0.5, 1.0)
