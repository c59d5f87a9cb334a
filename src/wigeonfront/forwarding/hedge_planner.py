"""Plans second sends of plain requests from what this process has observed."""

import logging
from collections.abc import Sequence

from wigeonfront.clock import Clock
from wigeonfront.configuration import Route
from wigeonfront.forwarding.attempt import (
    Answered,
    ForwardRequest,
    NotExecuted,
    Outcome,
    Superseded,
)
from wigeonfront.forwarding.guard import RequestGuard
from wigeonfront.forwarding.hedging import (
    SPENT,
    SUSPICION_SECONDS,
    UNPROVEN_SECONDS,
    Decision,
    HedgeState,
    KeepWaiting,
    SendAgain,
    decide,
    second_targets,
    unsuspected_targets,
)
from wigeonfront.forwarding.hedging_state import HedgingState
from wigeonfront.forwarding.placement import choose_target, usable_targets
from wigeonfront.forwarding.race import SendPlan, Sent, is_usable
from wigeonfront.forwarding.request_work import RequestWork
from wigeonfront.forwarding.steps import SendState, health_evidence, max_wait
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Counter
from wigeonfront.targets.circuit import Evidence
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.views import TargetView

logger = logging.getLogger(__name__)

MIN_HEDGED_ATTEMPTS = 2
"""Attempts that a route must allow for its requests to be hedged."""


class HedgePlanner:
    """Plans the second sends of plain requests.

    Parameters
    ----------
    table : TargetTable
    clock : Clock
    guard : RequestGuard
        Knows under which requests targets have crashed.
    failure_domain : str
        Failure domain in which this process runs.
    state : HedgingState or None
        What decides about second sends; without it there are none.
    hedges : wigeonfront.observability.metrics.Counter or None
        Counts second sends by outcome, and those that the budget denied.
    """

    def __init__(
        self,
        table: TargetTable,
        clock: Clock,
        guard: RequestGuard,
        failure_domain: str,
        state: HedgingState | None,
        hedges: Counter | None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._guard = guard
        self._failure_domain = failure_domain
        self._state = state
        self._hedges = hedges

    def hedges(self, request: ForwardRequest, route: Route) -> bool:
        """Return whether `request` may be hedged on `route`."""
        return (
            self._state is not None
            and request.repeatable
            and route.max_attempts >= MIN_HEDGED_ATTEMPTS
        )

    def record_first_send(self, work: RequestWork) -> None:
        """Record the first send of a request, which adds to the budget."""
        if self._state is not None and work.hedged:
            self._state.record_first_send(work.service)

    def charge_retry(self, work: RequestWork) -> None:
        """Charge the budget for a retry after a silent target."""
        if self._state is not None and work.hedged:
            self._state.charge_retry(work.service)

    def record_ended(self, work: RequestWork, ended: Sequence[Sent]) -> None:
        """Count a second send whose request has ended with the sends `ended`."""
        self._count(work, _hedge_result(ended))

    def delay(self, work: RequestWork, usable: Sequence[TargetView]) -> float | None:
        """Return the seconds until a hedge is considered; ``None`` for no hedge."""
        if self._state is None or not work.hedged:
            return None
        if work.sends_left < MIN_HEDGED_ATTEMPTS or len(usable) < 2:
            return None
        return self._state.delay(work.service, work.objective)

    def plan(
        self, work: RequestWork, first: TargetView, started: float, delay: float
    ) -> SendPlan | None:
        """Decide about a hedge now; return its send, or ``None`` for no hedge."""
        if self._state is None:
            return None
        now = self._clock.monotonic()
        self._state.record_slow(first.target.id)
        tried = {*work.tried, first.target.id}
        others = second_targets(
            usable_targets(self._table.views(work.service), tried),
            self._state.slow_targets(UNPROVEN_SECONDS),
            self._state.answered_since(started),
        )
        view = self._choose(work, others)
        sends_left = work.sends_left - 1
        left = SendState(work.request.repeatable, sends_left, work.deadline - now)
        hedge_state = HedgeState(
            suspect=self._guard.is_suspect(work.request),
            other_available=view is not None,
            may_send=left.repeatable and left.may_send,
            tokens=self._state.tokens(work.service),
        )
        decision = self._decide(work, hedge_state)
        event(
            logger,
            "hedge",
            request=work.request.id,
            service=work.service,
            target=first.target.id,
            second=view.target.id if view else "",
            decision=type(decision).__name__,
            reason=getattr(decision, "reason", ""),
            waited=now - started,
            delay=delay,
            other_targets=len(others),
            sends_left=sends_left,
            left=left.seconds_left,
            tokens=hedge_state.tokens,
        )
        if isinstance(decision, KeepWaiting) or view is None:
            return None
        return SendPlan(view, now + max_wait(left, view.latency))

    def _decide(self, work: RequestWork, hedge_state: HedgeState) -> Decision:
        """Return the decision about a hedge; take a token if it is to be sent."""
        decision: Decision = decide(hedge_state)
        if (
            isinstance(decision, SendAgain)
            and self._state is not None
            and not self._state.take_token(work.service)
        ):
            decision = SPENT
        if decision == SPENT:
            self._count(work, "denied")
        return decision

    def choose_unsuspected(
        self, work: RequestWork, usable: Sequence[TargetView]
    ) -> TargetView | None:
        """Return a target that is not suspected of being silent.

        ``None`` if no target is suspected, or if there is no other one that no other
        request may crash.
        """
        if self._state is None or not work.hedged:
            return None
        slow = self._state.slow_targets(SUSPICION_SECONDS)
        if not slow:
            return None
        return self._choose(work, unsuspected_targets(usable, slow))

    def evidence(
        self,
        outcome: Outcome,
        view: TargetView,
        started: float,
        *,
        answer_begun: bool,
        first: bool,
        plain: bool,
    ) -> Evidence:
        """Return what `outcome` says about its target; learn for later hedges.

        Parameters
        ----------
        answer_begun : bool
            Whether the head of an answer has arrived.
        first : bool
            Whether the send is one that may be hedged.
        plain : bool
            Whether the request is a plain one.
        """
        if self._state is None:
            return health_evidence(outcome)
        target = view.target
        seconds = self._clock.monotonic() - started
        if isinstance(outcome, Superseded) and not answer_begun:
            # A second send may have been cut before any target could have answered.
            if first or self._state.is_long_wait(target.service, seconds):
                return self._state.record_cut(target.id, started)
            return "none"
        if isinstance(outcome, Answered | Superseded) or (
            isinstance(outcome, NotExecuted) and outcome.status
        ):
            self._state.record_alive(target.id)
        if plain and is_usable(outcome):
            self._state.record_latency(target.service, seconds)
        return health_evidence(outcome)

    def _choose(
        self, work: RequestWork, views: Sequence[TargetView]
    ) -> TargetView | None:
        return choose_exclusively(
            work.request, views, self._guard, self._failure_domain
        )

    def _count(self, work: RequestWork, outcome: str) -> None:
        if self._hedges is not None:
            self._hedges.increment(service=work.service, outcome=outcome)


def choose_exclusively(
    request: ForwardRequest,
    views: Sequence[TargetView],
    guard: RequestGuard,
    failure_domain: str,
) -> TargetView | None:
    """Return a target that no other request may crash, if there is one."""
    return choose_target(views, guard.targets_to_avoid(request), failure_domain)


def _hedge_result(ended: Sequence[Sent]) -> str:
    """Return the label under which a second send is counted."""
    if is_usable(ended[-1].outcome):
        return "won" if len(ended) > 1 else "lost"
    return "failed"
