"""Finds targets that crash under a request, and keeps the request from others."""

import logging
import threading
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.forwarding.attempt import ForwardRequest
from wigeonfront.forwarding.connections import refuses
from wigeonfront.forwarding.fingerprint import fingerprint, host_of
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry
from wigeonfront.quarantine.ledger import CrashLedger
from wigeonfront.quarantine.policy import quarantine_end, sample_retry_at
from wigeonfront.quarantine.record import Crash
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target

logger = logging.getLogger(__name__)

REPLACED_SECONDS = 5.0
"""How long after a lost connection, or before it, the start of a target's next
incarnation shows that the target has crashed: it registers within this time."""

AGREE_SECONDS = 0.1
"""Longest time for which a request that has crashed a target waits until it is known
what other entries have seen of it: many times what the store takes."""


@dataclass(frozen=True, slots=True)
class _Suspicion:
    """A connection that was lost to a target which may live.

    Attributes
    ----------
    crash : Crash
        What it is if the target has ended.
    until : float
        Monotonic time until which that may show.
    """

    crash: Crash
    until: float


class CrashGuard:
    """A `RequestGuard` by the crashes that all entries have seen.

    A lost connection alone is no crash: the network may have reset it, or the target
    may have spoiled its answer. A target has crashed if its machine refuses the next
    connection, or if it is registered anew.

    Parameters
    ----------
    ledger : CrashLedger
    table : TargetTable
    clock : Clock
    metrics : wigeonfront.observability.metrics.Registry
    refuses : callable
        Tells whether no process listens at an address.
    """

    def __init__(
        self,
        ledger: CrashLedger,
        table: TargetTable,
        clock: Clock,
        metrics: Registry,
        refuses: Callable[[str], bool] = refuses,
    ) -> None:
        self._ledger = ledger
        self._table = table
        self._clock = clock
        self._refuses = refuses
        self._lock = threading.Lock()
        self._suspicions: list[_Suspicion] = []
        # Requests under which a target has crashed that run now: fingerprint, target.
        self._suspects_running: list[tuple[str, str]] = []
        # Targets that were replaced lately, with the monotonic time.
        self._replaced: dict[str, float] = {}
        self._crashes = metrics.counter(
            "target_crashes_total", "Targets that crashed under requests.", ("service",)
        )
        self._blocked = metrics.counter(
            "quarantined_total", "Requests that were not sent, as they crash targets."
        )

    def blocked_for(self, request: ForwardRequest) -> float:
        """Return the seconds for which `request` must not be sent; 0 if it may be."""
        return self._blocked_for(request, quarantine_end)

    def sample_blocked_for(self, request: ForwardRequest) -> float:
        """Return the same for the request of a sample, which has a few runs more."""
        return self._blocked_for(request, sample_retry_at)

    def _blocked_for(
        self, request: ForwardRequest, end: Callable[[Collection[Crash]], float]
    ) -> float:
        if self._ledger.empty:
            return 0.0
        digest = fingerprint(request)
        crashes = self._ledger.crashes(digest)
        seconds = end(crashes) - self._clock.time()
        if seconds <= 0:
            return 0.0
        self._blocked.increment()
        event(
            logger,
            "request_quarantined",
            request=request.id,
            fingerprint=digest,
            crashes=len(crashes),
            seconds=seconds,
        )
        return seconds

    def targets_to_avoid(self, request: ForwardRequest) -> Collection[str]:
        """Return the ids of targets that another request may be about to crash.

        What shares a target with it would be taken for the cause as well, and follow
        it from target to target.
        """
        if not self._suspects_running:
            return ()
        digest = fingerprint(request)
        with self._lock:
            return {id for other, id in self._suspects_running if other != digest}

    @contextmanager
    def running(self, request: ForwardRequest, target: Target) -> Iterator[None]:
        """Note, within the context, that `request` is at `target`."""
        digest = "" if self._ledger.empty else fingerprint(request)
        if not digest or not self._ledger.crashes(digest):
            yield
            return
        suspect = digest, target.id
        with self._lock:
            self._suspects_running.append(suspect)
        try:
            yield
        finally:
            with self._lock:
                self._suspects_running.remove(suspect)

    def connection_lost(self, request: ForwardRequest, target: Target, seconds: float) -> None:
        """Note that the connection to `target` was lost under `request`.

        Parameters
        ----------
        seconds : float
            Time since it was sent.
        """
        known = self._table.get(target.id)
        if known is not None and known.draining:
            # It ends as planned, with what it still runs.
            return
        crash = self._crash(request, target, seconds)
        if self._refuses(target.address):
            self._crashed(crash, "refuses connections")
        elif self._suspect(crash):
            return
        else:
            self._crashed(crash, "replaced")
        self._ledger.wait_written(crash, AGREE_SECONDS)

    def target_replaced(self, id: str) -> None:
        """Note that a target runs no more, as another incarnation has registered."""
        now = self._clock.monotonic()
        with self._lock:
            self._replaced[id] = now
            self._drop_old(now)
            found = [one for one in self._suspicions if one.crash.target == id]
            self._suspicions = [one for one in self._suspicions if one not in found]
        for one in found:
            self._crashed(one.crash, "replaced")

    def answered(self, request: ForwardRequest) -> None:
        """Note that a target has answered `request` whole, so it crashes not all."""
        if self._ledger.empty:
            return
        digest = fingerprint(request)
        if self._ledger.clear(digest):
            event(logger, "crashes_cleared", request=request.id, fingerprint=digest)

    def _suspect(self, crash: Crash) -> bool:
        """Remember a loss; return ``False`` if the target is known to be replaced."""
        now = self._clock.monotonic()
        with self._lock:
            self._drop_old(now)
            if crash.target in self._replaced:
                return False
            self._suspicions.append(_Suspicion(crash, now + REPLACED_SECONDS))
            return True

    def _drop_old(self, now: float) -> None:
        self._suspicions = [one for one in self._suspicions if now < one.until]
        self._replaced = {
            id: at for id, at in self._replaced.items() if now < at + REPLACED_SECONDS
        }

    def _crash(self, request: ForwardRequest, target: Target, seconds: float) -> Crash:
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

    def _crashed(self, crash: Crash, evidence: str) -> None:
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
