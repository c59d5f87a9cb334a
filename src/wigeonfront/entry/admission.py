"""Admission at an entry: catalogue limits and overload, before any work is done.

A call is counted in against its catalogue entry's limits, within the share that
this entry process holds, and against the overload control of its service and
class. A refusal is the caller's final answer, with when to come back.
"""

import logging
from dataclasses import dataclass

from wigeonfront.catalogue import CatalogueEntry
from wigeonfront.clock import Clock
from wigeonfront.logs import event
from wigeonfront.outcomes import Expired, NotRun, Outcome
from wigeonfront.policy.limits import LimitEnforcer
from wigeonfront.policy.overload import OverloadControl

logger = logging.getLogger(__name__)

# What a side says when it has no room; other refusals are not a sign of overload.
OVERLOAD_REASONS = frozenset({"queue_full", "expected_wait", "target_full"})


@dataclass(frozen=True, slots=True)
class Ticket:
    """A call that was let in; `EntryAdmission.finished` must follow."""

    catalogue_entry: str
    row: CatalogueEntry
    service: str
    cost: int
    begun: float


class EntryAdmission:
    """Lets calls in, or refuses them early.

    Parameters
    ----------
    limits : LimitEnforcer
        Holds this entry's granted share of each catalogue entry's limits.
    clock : Clock
    """

    def __init__(self, limits: LimitEnforcer, clock: Clock) -> None:
        self._limits = limits
        self._overload = OverloadControl(clock)
        self._clock = clock

    def admit(
        self,
        request: str,
        catalogue_entry: str,
        row: CatalogueEntry,
        service: str,
        remaining: float,
        cost: int = 1,
    ) -> Ticket | NotRun | Expired:
        """Count `cost` requests or samples in, or refuse them all.

        Parameters
        ----------
        request : str
            For the log line of a refusal.
        remaining : float
            Seconds to the caller's deadline.
        """
        limited = self._limits.admit(catalogue_entry, cost)
        if isinstance(limited, NotRun):
            self._log(request, catalogue_entry, service, limited.reason)
            return limited
        offered = self._overload.offer(service, row.work_class, remaining, cost)
        if isinstance(offered, NotRun | Expired):
            self._limits.finished(catalogue_entry, cost)
            reason = getattr(offered, "reason", "expired")
            self._log(request, catalogue_entry, service, reason)
            return offered
        return Ticket(catalogue_entry, row, service, cost, self._clock.monotonic())

    def finished(self, ticket: Ticket, outcome: Outcome | None) -> None:
        """Count a call out; `outcome` is ``None`` for a Lot."""
        self._limits.finished(ticket.catalogue_entry, ticket.cost)
        refused = isinstance(outcome, NotRun) and outcome.reason in OVERLOAD_REASONS
        self._overload.finished(
            ticket.service,
            ticket.row.work_class,
            None if refused else 0.0,
            self._clock.monotonic() - ticket.begun,
            ticket.cost,
        )

    def _log(self, request: str, name: str, service: str, reason: str) -> None:
        event(
            logger,
            "not_admitted",
            request=request,
            catalogue_entry=name,
            service=service,
            reason=reason,
        )
