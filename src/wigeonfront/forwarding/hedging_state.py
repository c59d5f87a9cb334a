"""What one process observes of services and targets for its decisions about hedges.

The state is kept in memory only. Processes don't share it.
"""

import threading
from dataclasses import dataclass, field

from wigeonfront.clock import Clock
from wigeonfront.forwarding.hedging import (
    SILENCE_TTL_SECONDS,
    UNPROVEN_SECONDS,
    RecentLatencies,
    RetryBudget,
    Silence,
    hedge_delay,
)
from wigeonfront.targets.circuit import Evidence

MAX_ANSWER_TIMES = 1_000
"""Targets whose last answers are remembered."""


@dataclass(slots=True)
class _ServiceState:
    latencies: RecentLatencies = field(default_factory=RecentLatencies)
    budget: RetryBudget = field(default_factory=RetryBudget)


class HedgingState:
    """Latencies and budgets of services and silences of targets; thread-safe.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._services: dict[str, _ServiceState] = {}
        self._silences: dict[str, Silence] = {}
        # Monotonic times of the last answer, and of the last wait for the hedge delay
        # since then, by target.
        self._answered_at: dict[str, float] = {}
        self._slow_at: dict[str, float] = {}

    def delay(self, service: str, objective: float) -> float | None:
        """Return the hedge delay in seconds; ``None`` for no second send.

        Parameters
        ----------
        service : str
        objective : float
            Latency objective of the route in seconds; 0 if it has none.
        """
        with self._lock:
            latencies = self._service(service).latencies
            percentile = latencies.percentile(self._clock.monotonic())
            return hedge_delay(percentile, objective)

    def is_long_wait(self, service: str, seconds: float) -> bool:
        """Return whether answers of `service` are known to take less than `seconds`."""
        delay = self.delay(service, 0.0)
        return delay is not None and seconds >= delay

    def tokens(self, service: str) -> float:
        """Return the number of tokens in the budget of `service`."""
        with self._lock:
            return self._service(service).budget.tokens

    def record_first_send(self, service: str) -> None:
        """Record the first send of a request, which adds to the budget."""
        with self._lock:
            self._service(service).budget.add_first_send()

    def take_token(self, service: str) -> bool:
        """Take a token for a hedge; return ``False`` if the budget is spent."""
        with self._lock:
            return self._service(service).budget.take()

    def charge_retry(self, service: str) -> None:
        """Charge the budget for a retry after a silent target."""
        with self._lock:
            self._service(service).budget.charge()

    def record_alive(self, target_id: str) -> None:
        """Record that the target has answered, even with an error or a refusal."""
        now = self._clock.monotonic()
        with self._lock:
            self._silences.pop(target_id, None)
            self._slow_at.pop(target_id, None)
            self._answered_at[target_id] = now
            if len(self._answered_at) > MAX_ANSWER_TIMES:
                oldest = min(self._answered_at, key=self._answered_at.__getitem__)
                del self._answered_at[oldest]

    def record_slow(self, target_id: str) -> None:
        """Record that a request has waited at the target for the hedge delay."""
        now = self._clock.monotonic()
        with self._lock:
            self._slow_at = {
                id: at
                for id, at in self._slow_at.items()
                if now < at + UNPROVEN_SECONDS
            }
            self._slow_at[target_id] = now

    def slow_targets(self, seconds: float) -> set[str]:
        """Return the ids of the targets that are suspected of being silent.

        Parameters
        ----------
        seconds : float
            For how long a target is suspected if it doesn't answer.
        """
        now = self._clock.monotonic()
        with self._lock:
            return {id for id, at in self._slow_at.items() if now < at + seconds}

    def answered_since(self, at: float) -> set[str]:
        """Return the ids of the targets that have answered since a monotonic time."""
        with self._lock:
            return {id for id, then in self._answered_at.items() if then >= at}

    def record_latency(self, service: str, seconds: float) -> None:
        """Record that a successful answer of `service` took `seconds`."""
        with self._lock:
            latencies = self._service(service).latencies
            latencies.add(self._clock.monotonic(), seconds)

    def record_cut(self, target_id: str, started: float) -> Evidence:
        """Record that a send which got no answer was ended now by this process.

        Parameters
        ----------
        target_id : str
        started : float
            Monotonic time at which the send started.

        Returns
        -------
        Evidence
            ``"failure"`` once the target has been silent for `UNRESPONSIVE_SECONDS`
            over `MIN_SILENT_WAITS` sends.
        """
        now = self._clock.monotonic()
        with self._lock:
            self._silences = {
                id: silence
                for id, silence in self._silences.items()
                if now - silence.until <= SILENCE_TTL_SECONDS
            }
            return self._silences.setdefault(target_id, Silence()).add(started, now)

    def _service(self, name: str) -> _ServiceState:
        return self._services.setdefault(name, _ServiceState())
