"""Finds targets that crash under a request, and keeps the request from others."""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.forwarding.attempt import ForwardRequest
from wigeonfront.forwarding.connections import refuses
from wigeonfront.forwarding.fingerprint import fingerprint, host_of
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry
from wigeonfront.quarantine.ledger import CrashLedger
from wigeonfront.quarantine.policy import CRASHES_TO_QUARANTINE, quarantine_end
from wigeonfront.quarantine.record import Crash
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target

logger = logging.getLogger(__name__)

REPLACED_SECONDS = 5.0
"""How long after a lost connection, or before it, the start of a target's next
incarnation shows that the target has crashed: it registers within this time."""


@dataclass(frozen=True, slots=True)
class _Suspicion:
    """A connection that was lost to a target which may live."""

    request: ForwardRequest
    target: Target
    until: float


class CrashGuard:
    """A `wigeonfront.forwarding.guard.RequestGuard` that all entries share.

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
        if self._ledger.empty:
            return 0.0
        digest = fingerprint(request)
        crashed_at = self._ledger.crashed_at(digest)
        seconds = quarantine_end(crashed_at) - self._clock.time()
        if seconds <= 0:
            return 0.0
        self._blocked.increment()
        event(
            logger,
            "request_quarantined",
            request=request.id,
            fingerprint=digest,
            crashes=len(crashed_at),
            seconds=seconds,
        )
        return seconds

    def lost(self, request: ForwardRequest, target: Target) -> None:
        """Note that the connection to `target` was lost under `request`."""
        known = self._table.get(target.id)
        if known is not None and known.draining:
            # It ends as planned, with what it still runs.
            return
        if self._refuses(target.address):
            self._crashed(request, target, "refuses connections")
        elif not self._suspect(request, target):
            self._crashed(request, target, "replaced")

    def replaced(self, id: str) -> None:
        """Note that a target runs no more, as another incarnation has registered."""
        now = self._clock.monotonic()
        with self._lock:
            self._replaced[id] = now
            self._drop_old(now)
            found = [one for one in self._suspicions if one.target.id == id]
            self._suspicions = [one for one in self._suspicions if one not in found]
        for one in found:
            self._crashed(one.request, one.target, "replaced")

    def answered(self, request: ForwardRequest) -> None:
        """Note that a target has answered `request` whole, so it crashes not all."""
        if self._ledger.empty:
            return
        digest = fingerprint(request)
        if self._ledger.forget(digest):
            event(logger, "crashes_cleared", request=request.id, fingerprint=digest)

    def _suspect(self, request: ForwardRequest, target: Target) -> bool:
        """Remember a loss; return ``False`` if the target is known to be replaced."""
        now = self._clock.monotonic()
        with self._lock:
            self._drop_old(now)
            if target.id in self._replaced:
                return False
            until = now + REPLACED_SECONDS
            self._suspicions.append(_Suspicion(request, target, until))
            return True

    def _drop_old(self, now: float) -> None:
        self._suspicions = [one for one in self._suspicions if now < one.until]
        self._replaced = {
            id: at for id, at in self._replaced.items() if now < at + REPLACED_SECONDS
        }

    def _crashed(self, request: ForwardRequest, target: Target, evidence: str) -> None:
        path = request.target.partition("?")[0]
        crash = Crash(
            fingerprint(request),
            target.id,
            self._clock.time(),
            target.service,
            request.account,
            f"{request.method} {host_of(request)}{path}",
        )
        if not self._ledger.add(crash):
            return
        crashes = len(self._ledger.crashed_at(crash.fingerprint))
        self._crashes.increment(service=target.service)
        event(
            logger,
            "target_crashed",
            request=request.id,
            fingerprint=crash.fingerprint,
            account=crash.account,
            path=path,
            service=target.service,
            target=target.id,
            evidence=evidence,
            crashes=crashes,
            quarantined=crashes >= CRASHES_TO_QUARANTINE,
        )
