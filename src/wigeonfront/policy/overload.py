"""Overload control at an entry: how much of each class is let in per service.

`OverloadControl` is thread-safe. Each (service, class) has a limit on requests in
flight. An interval in which even the least queue delay was above the target lowers
the limit in proportion; an interval in which the limit was in use raises it. The
least delay is used because a burst raises the mean but only a standing queue raises
the least (Nichols and Jacobson, "Controlling queue delay", 2012). An interval is at
least one smoothed latency long, since a move shows no sooner.

The limit is a guard with a high target: the sides' own admission keeps the queues
short, and a limit that also reacts to their refusals left capacity unused
(measured, `docs/POLICY.md`).
"""

import threading
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from wigeonfront.clock import Clock
from wigeonfront.messages import WorkClass
from wigeonfront.outcomes import Expired, NotRun

MIN_RETRY_AFTER = 0.1
MAX_RETRY_AFTER = 30.0


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """How the limit moves.

    Attributes
    ----------
    initial, minimum, maximum : float
        Bounds on requests in flight.
    target_delay : float
        Seconds of standing queue delay that is accepted.
    interval : float
        Least seconds between two moves of the limit.
    decrease : float
        Least factor of one move down.
    increase : float
        Share of the limit that is added when it was in use.
    """

    initial: float = 256
    minimum: float = 2
    maximum: float = 65_536
    target_delay: float = 4.0
    interval: float = 0.5
    decrease: float = 0.5
    increase: float = 0.25


DEFAULT_SETTINGS: Mapping[WorkClass, OverloadSettings] = {
    "interactive": OverloadSettings(),
    "booking": OverloadSettings(),
    "rollout": OverloadSettings(initial=4096, target_delay=30.0, interval=5.0),
}
"""Rollouts are meant to queue: their deadlines are minutes away."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """Let in; `finished` must follow."""

    figures: Mapping[str, Any] = field(default_factory=dict)
    reason: str = "below_limit"


@dataclass(slots=True)
class _Control:
    settings: OverloadSettings
    limit: float
    in_flight: int = 0
    peak: int = 0
    least_delay: float = float("inf")
    latency: float = 0.0
    next_move: float = 0.0

    @property
    def factor(self) -> float:
        """By how much the limit should move down; 1 or more without overload."""
        settings = self.settings
        if self.least_delay == float("inf"):
            return 1.0
        service = max(0.0, self.latency - self.least_delay)
        wanted = service + settings.target_delay
        return max(settings.decrease, wanted / (service + self.least_delay or 1.0))


class OverloadControl:
    """Limits on requests in flight, per service and class.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    settings : mapping of str to OverloadSettings
        For each class.
    """

    def __init__(
        self,
        clock: Clock,
        settings: Mapping[WorkClass, OverloadSettings] = DEFAULT_SETTINGS,
    ) -> None:
        self._clock = clock
        self._settings = dict(settings)
        self._controls: dict[tuple[str, WorkClass], _Control] = {}
        self._lock = threading.Lock()

    def offer(
        self, service: str, work_class: WorkClass, remaining: float, cost: int = 1
    ) -> Admitted | NotRun | Expired:
        """Let `cost` requests in, or refuse them early.

        Parameters
        ----------
        service, work_class : str
            Which limit.
        remaining : float
            Seconds to the caller's deadline.
        cost : int
            Requests, or samples of a Lot.
        """
        with self._lock:
            control = self._control(service, work_class)
            self._move(control)
            if remaining <= 0:
                return Expired(started=False)
            # An idle service takes any cost: a Lot may be larger than the limit.
            if control.in_flight and control.in_flight + cost > control.limit:
                return NotRun("overloaded", self._retry_after(control))
            control.in_flight += cost
            control.peak = max(control.peak, control.in_flight)
            return Admitted(self._figures(control))

    def finished(
        self,
        service: str,
        work_class: WorkClass,
        queue_delay: float | None,
        latency: float = 0.0,
        cost: int = 1,
    ) -> None:
        """Note the end of requests that were let in.

        Parameters
        ----------
        queue_delay : float or None
            Seconds that the request waited before its target ran it; ``None`` when
            no target took it.
        latency : float
            Seconds from admission to the end.
        """
        with self._lock:
            control = self._control(service, work_class)
            control.in_flight = max(0, control.in_flight - cost)
            if queue_delay is not None:
                control.least_delay = min(control.least_delay, queue_delay)
                control.latency += 0.1 * (latency - control.latency)
            self._move(control)

    def limit(self, service: str, work_class: WorkClass) -> float:
        """Return the present limit on requests in flight."""
        with self._lock:
            return self._control(service, work_class).limit

    def _control(self, service: str, work_class: WorkClass) -> _Control:
        key = (service, work_class)
        if key not in self._controls:
            settings = self._settings.get(work_class, OverloadSettings())
            self._controls[key] = _Control(
                settings,
                settings.initial,
                next_move=self._clock.monotonic() + settings.interval,
            )
        return self._controls[key]

    def _move(self, control: _Control) -> None:
        now = self._clock.monotonic()
        if now < control.next_move:
            return
        settings = control.settings
        if control.factor < 1.0:
            lowered = control.limit * control.factor
            control.limit = max(settings.minimum, lowered)
        elif control.peak >= control.limit / 2:
            raised = control.limit + max(1.0, control.limit * settings.increase)
            control.limit = min(settings.maximum, raised)
        control.peak = control.in_flight
        control.least_delay = float("inf")
        control.next_move = now + max(settings.interval, control.latency)

    def _retry_after(self, control: _Control) -> float:
        """Return the time in which the excess drains, at the smoothed latency."""
        excess = control.in_flight / max(1.0, control.limit)
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, control.latency * excess))

    def _figures(self, control: _Control) -> dict[str, Any]:
        return {
            "in_flight": control.in_flight,
            "limit": control.limit,
            "latency": control.latency,
        }
