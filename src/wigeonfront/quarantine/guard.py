"""Detects targets that crash while they run a request, and blocks the request."""

import logging
import math
import threading
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.forwarding.attempt import ForwardRequest
from wigeonfront.forwarding.connections import refuses_connections
from wigeonfront.forwarding.fingerprint import fingerprint, host_of
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry
from wigeonfront.quarantine.isolation import IsolationLimit
from wigeonfront.quarantine.ledger import CrashLedger
from wigeonfront.quarantine.policy import (
    accepted_pause,
    needs_isolation,
    quarantine_end,
)
from wigeonfront.quarantine.record import Crash
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target

logger = logging.getLogger(__name__)

REPLACEMENT_WINDOW_SECONDS = 5.0
"""Longest time between a lost connection and the registration of the target's next
incarnation, in either order, for which the target counts as crashed: a restarted target
registers within this time."""

ISOLATION_PAUSE_SECONDS = 0.5
"""Pause until accepted work that has to be isolated asks again whether it may run."""

MAX_WRITE_WAIT_SECONDS = 0.1
"""Longest time for which a request that has crashed a target waits until its crash is
written and the crashes seen by other entries are known: many times what the store
takes."""


@dataclass(frozen=True, slots=True)
class _PossibleCrash:
    """A lost connection to a target that may still be alive.

    Attributes
    ----------
    crash : Crash
        The crash that is recorded if the target turns out to have crashed.
    until : float
        Monotonic time, in seconds, until which a replacement proves the crash.
    """

    crash: Crash
    until: float


class CrashGuard:
    """A `RequestGuard` that uses the crashes seen by all entries.

    A lost connection alone does not prove a crash: the network may have reset it, or
    the target may have sent a malformed answer. A target has crashed if its machine
    refuses the next connection, or if a new incarnation of it registers.

    Parameters
    ----------
    ledger : CrashLedger
    table : TargetTable
    clock : Clock
    metrics : wigeonfront.observability.metrics.Registry
    refuses_connections : callable
        Returns whether no process listens at an address.
    """

    def __init__(
        self,
        ledger: CrashLedger,
        table: TargetTable,
        clock: Clock,
        metrics: Registry,
        refuses_connections: Callable[[str], bool] = refuses_connections,
    ) -> None:
        self._ledger = ledger
        self._table = table
        self._clock = clock
        self._refuses_connections = refuses_connections
        self._lock = threading.Lock()
        self._possible_crashes: list[_PossibleCrash] = []
        # Fingerprint and target id of each running request that has crashed a target.
        self._suspects_running: list[tuple[str, str]] = []
        self._isolation = IsolationLimit()
        # Fingerprint and target id of each isolated run, with the monotonic time at
        # which its crash no longer explains that of another request; infinite while it
        # is in progress.
        self._isolated: dict[tuple[str, str], float] = {}
        # Recently replaced targets, with the monotonic time of their replacement.
        self._replaced: dict[str, float] = {}
        self._crashes = metrics.counter(
            "target_crashes_total", "Targets that crashed under requests.", ("service",)
        )
        self._blocked = metrics.counter(
            "quarantined_total", "Requests that were not sent, as they crash targets."
        )

    def blocked_for(self, request: ForwardRequest) -> float:
        """Return the seconds for which `request` must not be sent; 0 if it may be."""
        if self._ledger.empty:
            return 0.0
        digest = fingerprint(request)
        crashes = self._ledger.crashes(digest)
        seconds = quarantine_end(crashes) - self._clock.time()
        if seconds <= 0:
            return 0.0
        self._note_blocked(request, digest, len(crashes), seconds)
        return seconds

    def _note_blocked(
        self, request: ForwardRequest, digest: str, crashes: int, seconds: float
    ) -> None:
        self._blocked.increment()
        event(
            logger,
            "request_quarantined",
            request=request.id,
            fingerprint=digest,
            crashes=crashes,
            seconds=seconds,
        )

    def needs_isolation(self, request: ForwardRequest) -> bool:
        """Return whether accepted work must run apart from other requests."""
        return not self._ledger.empty and needs_isolation(
            self._ledger.crashes(fingerprint(request))
        )

    @contextmanager
    def accepted_run(self, request: ForwardRequest, target: Target) -> Iterator[float]:
        """Return a context manager that spans the run of accepted work at `target`.

        Its value is 0 if the request may be sent, or the seconds to wait otherwise.
        """
        if self._ledger.empty:
            yield 0.0
            return
        digest = fingerprint(request)
        crashes = self._ledger.crashes(digest)
        seconds = accepted_pause(crashes, self._clock.time())
        isolated = not seconds and needs_isolation(crashes)
        if isolated and not self._isolation.enter():
            isolated, seconds = False, ISOLATION_PAUSE_SECONDS
        if seconds:
            self._note_blocked(request, digest, len(crashes), seconds)
            yield seconds
        elif isolated:
            with self._isolated_run(digest, target), self.running(request, target):
                yield 0.0
        else:
            yield 0.0

    @contextmanager
    def _isolated_run(self, digest: str, target: Target) -> Iterator[None]:
        key = digest, target.id
        with self._lock:
            self._isolated[key] = math.inf
        try:
            yield
        finally:
            with self._lock:
                crashed = self._isolated.get(key) != math.inf
                if not crashed:
                    del self._isolated[key]
            self._isolation.leave(crashed)

    def _explained_by_isolated(self, digest: str, target_id: str) -> bool:
        """Return whether another, isolated request ran at a target that crashed.

        The crash then does not count against the requests beside it.
        """
        now = self._clock.monotonic()
        with self._lock:
            self._isolated = {
                key: until for key, until in self._isolated.items() if now < until
            }
            if (digest, target_id) in self._isolated:
                until = now + REPLACEMENT_WINDOW_SECONDS
                self._isolated[digest, target_id] = until
                return False
            return any(id == target_id for _, id in self._isolated)

    def is_suspect(self, request: ForwardRequest) -> bool:
        """Return whether targets have crashed under `request`."""
        return not self._ledger.empty and bool(
            self._ledger.crashes(fingerprint(request))
        )

    def targets_to_avoid(self, request: ForwardRequest) -> Collection[str]:
        """Return the ids of targets that another request may be about to crash.

        A request that shares a target with such a request would also count as a cause
        of the crash, and would follow it from target to target.
        """
        if not self._suspects_running:
            return ()
        digest = fingerprint(request)
        with self._lock:
            return {id for other, id in self._suspects_running if other != digest}

    @contextmanager
    def running(self, request: ForwardRequest, target: Target) -> Iterator[None]:
        """Return a context manager that spans the run of `request` at `target`."""
        if not self.is_suspect(request):
            yield
            return
        suspect = fingerprint(request), target.id
        with self._lock:
            self._suspects_running.append(suspect)
        try:
            yield
        finally:
            with self._lock:
                self._suspects_running.remove(suspect)

    def connection_lost(
        self, request: ForwardRequest, target: Target, seconds: float
    ) -> None:
        """Record that the connection to `target` was lost during `request`.

        Parameters
        ----------
        seconds : float
            Seconds since the request was sent.
        """
        known = self._table.get(target.id)
        if known is not None and known.draining:
            # A draining target shuts down as planned, together with its requests.
            return
        crash = self._describe_crash(request, target, seconds)
        if self._explained_by_isolated(crash.fingerprint, target.id):
            event(
                logger,
                "crash_not_counted",
                request=request.id,
                fingerprint=crash.fingerprint,
                target=target.id,
            )
            return
        if self._refuses_connections(target.address):
            self._record_crash(crash, "refuses connections")
        elif self._await_replacement(crash):
            return
        else:
            self._record_crash(crash, "replaced")
        self._ledger.wait_written(crash, MAX_WRITE_WAIT_SECONDS)

    def target_replaced(self, id: str) -> None:
        """Record that a new incarnation has replaced the target `id`."""
        now = self._clock.monotonic()
        with self._lock:
            self._replaced[id] = now
            self._discard_expired(now)
            confirmed = [
                possible
                for possible in self._possible_crashes
                if possible.crash.target == id
            ]
            self._possible_crashes = [
                possible
                for possible in self._possible_crashes
                if possible not in confirmed
            ]
        for possible in confirmed:
            self._record_crash(possible.crash, "replaced")

    def answered(self, request: ForwardRequest) -> None:
        """Clear the crashes of `request`, as a target has answered it completely.

        The answer shows that the request does not crash every target.
        """
        if self._ledger.empty:
            return
        digest = fingerprint(request)
        if self._ledger.clear(digest):
            event(logger, "crashes_cleared", request=request.id, fingerprint=digest)

    def _await_replacement(self, crash: Crash) -> bool:
        """Keep a possible crash, which a replacement of the target would prove.

        Return ``False`` without keeping it if the target is already known to be
        replaced.
        """
        now = self._clock.monotonic()
        with self._lock:
            self._discard_expired(now)
            if crash.target in self._replaced:
                return False
            self._possible_crashes.append(
                _PossibleCrash(crash, now + REPLACEMENT_WINDOW_SECONDS)
            )
            return True

    def _discard_expired(self, now: float) -> None:
        self._possible_crashes = [
            possible for possible in self._possible_crashes if now < possible.until
        ]
        self._replaced = {
            id: at
            for id, at in self._replaced.items()
            if now < at + REPLACEMENT_WINDOW_SECONDS
        }

    def _describe_crash(
        self, request: ForwardRequest, target: Target, seconds: float
    ) -> Crash:
        now = self._clock.time()
        path = request.target.partition("?")[0]
        return Crash(
            fingerprint(request),
            target.id,
            now - seconds,
            now,
            target.service,
            request.account,
            f"{request.method} {host_of(request)}{path}",
        )

    def _record_crash(self, crash: Crash, evidence: str) -> None:
        if not self._ledger.add(crash):
            return
        crashes = self._ledger.crashes(crash.fingerprint)
        self._crashes.increment(service=crash.service)
        event(
            logger,
            "target_crashed",
            fingerprint=crash.fingerprint,
            account=crash.account,
            request_line=crash.request,
            service=crash.service,
            target=crash.target,
            evidence=evidence,
            crashes=len(crashes),
            quarantined=quarantine_end(crashes) > 0,
        )
