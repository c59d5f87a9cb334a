"""Forwards plain requests: sends them, retries them and keeps their deadlines."""

import logging
import socket
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from wigeonfront.clock import Clock
from wigeonfront.configuration import Route
from wigeonfront.forwarding.attempt import (
    Answered,
    Broken,
    CallerGone,
    ForwardRequest,
    NotExecuted,
    Outcome,
    Superseded,
    TimedOut,
)
from wigeonfront.forwarding.exchange import Exchange
from wigeonfront.forwarding.guard import NO_GUARD, RequestGuard
from wigeonfront.forwarding.handle import CallHandle
from wigeonfront.forwarding.hedging import (
    SPENT,
    SUSPICION_SECONDS,
    UNPROVEN_SECONDS,
    Decision,
    HedgeState,
    KeepWaiting,
    decide,
    second_targets,
    unsuspected_targets,
)
from wigeonfront.forwarding.hedging_state import HedgingState
from wigeonfront.forwarding.open_call import do_nothing
from wigeonfront.forwarding.placement import choose_target, usable_targets
from wigeonfront.forwarding.race import Race, SendPlan, Sent, is_usable
from wigeonfront.forwarding.slow_wait import SlowWait
from wigeonfront.forwarding.steps import (
    DropRequest,
    Fail,
    Retry,
    ReturnAnswer,
    SendState,
    health_evidence,
    max_wait,
    next_step,
    refusal,
)
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Counter, Histogram
from wigeonfront.targets.circuit import Evidence
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.views import TargetView
from wigeonfront.usage.starts import StartLog

logger = logging.getLogger(__name__)

Ended = ReturnAnswer | Fail | DropRequest

MIN_HEDGED_ATTEMPTS = 2
"""Attempts that a route must allow for its requests to be hedged."""


@dataclass(slots=True)
class _Forwarding:
    """A request that is being forwarded.

    Attributes
    ----------
    request : ForwardRequest
    service : str
    deadline : float
        Monotonic time at which the answer is due, in seconds.
    caller : socket or None
        Connection of the caller.
    sends_left : int
        Number of further targets to which the request may be sent.
    hedged : bool
        Whether the route allows a second send while the first is awaited.
    objective : float
        Latency objective of the route, in seconds.
    tried : set of str
        Ids of the targets to which it was sent.
    may_have_run : bool
    error_answer : Answered or None
        The last server error that a target returned.
    """

    request: ForwardRequest
    service: str
    deadline: float
    caller: socket.socket | None
    sends_left: int
    hedged: bool
    objective: float
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    error_answer: Answered | None = None

    def state(self, now: float) -> SendState:
        """Return the state on which the next step depends."""
        return SendState(
            self.request.repeatable,
            self.sends_left,
            self.deadline - now,
            self.may_have_run,
        )

    def record(self, sent: Sent) -> None:
        """Record a send that has ended."""
        outcome = sent.outcome
        self.tried.add(sent.view.target.id)
        if isinstance(outcome, Answered):
            self.error_answer = outcome
        if not isinstance(outcome, NotExecuted):
            self.may_have_run = True
        if not (isinstance(outcome, NotExecuted) and outcome.status == 0):
            self.sends_left -= 1


class Forwarder:
    """Forwards plain requests.

    Parameters
    ----------
    table : TargetTable
    exchange : Exchange
    clock : Clock
    random : random.Random
        Chooses the service if a route splits its traffic.
    failure_domain : str
        Failure domain in which this process runs.
    sends : wigeonfront.observability.metrics.Counter
        Counts sends by outcome.
    seconds : wigeonfront.observability.metrics.Histogram
        Observes the seconds that each send took.
    starts : StartLog
        Records when requests of client accounts begin to run.
    guard : RequestGuard, optional
        Knows which requests must not be sent.
    hedging : HedgingState, optional
        What decides about second sends; without it there are none.
    hedges : wigeonfront.observability.metrics.Counter, optional
        Counts second sends by outcome, and those that the budget denied.
    """

    def __init__(
        self,
        table: TargetTable,
        exchange: Exchange,
        clock: Clock,
        random: Random,
        failure_domain: str,
        sends: Counter,
        seconds: Histogram,
        starts: StartLog,
        guard: RequestGuard = NO_GUARD,
        hedging: HedgingState | None = None,
        hedges: Counter | None = None,
    ) -> None:
        self._table = table
        self._exchange = exchange
        self._clock = clock
        self._random = random
        self._failure_domain = failure_domain
        self._sends = sends
        self._seconds = seconds
        self._starts = starts
        self._guard = guard
        self._hedging = hedging
        self._hedges = hedges

    def forward(
        self,
        request: ForwardRequest,
        route: Route,
        deadline: float,
        caller: socket.socket | None,
    ) -> Ended:
        """Forward a request and return how it ended.

        Parameters
        ----------
        deadline : float
            Monotonic time at which the answer is due.
        """
        work = _Forwarding(
            request,
            route.choose_service(self._random.random()),
            deadline,
            caller,
            max(1, route.max_attempts),
            request.repeatable and route.max_attempts >= MIN_HEDGED_ATTEMPTS,
            route.objective,
        )
        if work.hedged and self._hedging is not None:
            self._hedging.record_first_send(work.service)
        while True:
            blocked = self._guard.blocked_for(request)
            if blocked:
                return refusal("quarantined", work.may_have_run, blocked)
            usable = usable_targets(self._table.views(work.service), work.tried)
            view = self._choose_unsuspected(work, usable) or self._choose(
                request, usable
            )
            if view is None:
                # A target's error tells the caller more than "no target" would.
                if work.error_answer is not None:
                    return ReturnAnswer(work.error_answer)
                return refusal("no target", work.may_have_run)
            ended = self._send_until_ended(work, view, usable)
            for sent in ended:
                work.record(sent)
            outcome = max((sent.outcome for sent in ended), key=_precedence)
            step = next_step(outcome, work.state(self._clock.monotonic()))
            if not isinstance(step, Retry):
                return step
            if (
                work.hedged
                and self._hedging is not None
                and isinstance(outcome, TimedOut)
            ):
                self._hedging.charge_retry(work.service)

    def _send_until_ended(
        self, work: _Forwarding, view: TargetView, usable: Sequence[TargetView]
    ) -> list[Sent]:
        """Send a request to a target, and hedge it if its route and service allow."""
        now = self._clock.monotonic()
        patience = now + max_wait(work.state(now), view.latency)
        # Giving up on a target early is of no use if there is no other target.
        until = patience if len(usable) > 1 else work.deadline
        plan = SendPlan(view, until)
        delay = self._hedge_delay(work, usable)
        if delay is None or now + delay >= until:
            outcome = self.send(
                work.request, view, until, work.caller, reuse_deadline=patience
            )
            return [Sent(view, outcome)]

        def send(
            plan: SendPlan, handle: CallHandle, slow: SlowWait | None = None
        ) -> Outcome:
            return self.send(
                work.request,
                plan.view,
                plan.until,
                work.caller,
                handle=handle,
                reuse_deadline=plan.until,
                slow=slow,
            )

        race = Race(send)
        ended = race.run(
            plan, now + delay, lambda: self._plan_hedge(work, view, now, delay)
        )
        if race.second_plan is not None:
            self._count_hedge(work.service, _hedge_result(ended))
        return ended

    def _hedge_delay(
        self, work: _Forwarding, usable: Sequence[TargetView]
    ) -> float | None:
        """Return the seconds until a hedge is considered; ``None`` for no hedge."""
        if self._hedging is None or not work.hedged:
            return None
        if work.sends_left < MIN_HEDGED_ATTEMPTS or len(usable) < 2:
            return None
        return self._hedging.delay(work.service, work.objective)

    def _plan_hedge(
        self, work: _Forwarding, first: TargetView, started: float, delay: float
    ) -> SendPlan | None:
        """Decide about a hedge now; return its send, or ``None`` for no hedge."""
        if self._hedging is None:
            return None
        now = self._clock.monotonic()
        self._hedging.record_slow(first.target.id)
        tried = {*work.tried, first.target.id}
        others = second_targets(
            usable_targets(self._table.views(work.service), tried),
            self._hedging.slow_targets(UNPROVEN_SECONDS),
            self._hedging.answered_since(started),
        )
        view = self._choose_exclusively(work.request, others)
        sends_left = work.sends_left - 1
        left = SendState(work.request.repeatable, sends_left, work.deadline - now)
        tokens = self._hedging.tokens(work.service)
        state = HedgeState(
            suspect=self._guard.is_suspect(work.request),
            other_available=view is not None,
            may_send=left.repeatable and left.may_send,
            tokens=tokens,
        )
        decision: Decision = decide(state)
        if not isinstance(decision, KeepWaiting) and not self._hedging.take_token(
            work.service
        ):
            decision = SPENT
        if decision == SPENT:
            self._count_hedge(work.service, "denied")
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
            tokens=tokens,
        )
        if isinstance(decision, KeepWaiting) or view is None:
            return None
        return SendPlan(view, now + max_wait(left, view.latency))

    def _count_hedge(self, service: str, outcome: str) -> None:
        if self._hedges is not None:
            self._hedges.increment(service=service, outcome=outcome)

    def _choose_unsuspected(
        self, work: _Forwarding, usable: Sequence[TargetView]
    ) -> TargetView | None:
        """Return a target that is not suspected of being silent.

        ``None`` if no target is suspected, or if there is no other one that no other
        request may crash.
        """
        if self._hedging is None or not work.hedged:
            return None
        slow = self._hedging.slow_targets(SUSPICION_SECONDS)
        if not slow:
            return None
        unsuspected = unsuspected_targets(usable, slow)
        return self._choose_exclusively(work.request, unsuspected)

    def _choose(
        self, request: ForwardRequest, usable: Sequence[TargetView]
    ) -> TargetView | None:
        """Return a target, preferably one that no other request may crash."""
        return self._choose_exclusively(request, usable) or choose_target(
            usable, (), self._failure_domain
        )

    def _choose_exclusively(
        self, request: ForwardRequest, usable: Sequence[TargetView]
    ) -> TargetView | None:
        """Return a target that no other request may crash, if there is one."""
        avoided = self._guard.targets_to_avoid(request)
        return choose_target(usable, avoided, self._failure_domain)

    def send(
        self,
        request: ForwardRequest,
        view: TargetView,
        deadline: float,
        caller: socket.socket | None = None,
        run_seconds: float | None = None,
        handle: CallHandle | None = None,
        reuse_deadline: float | None = None,
        slow: SlowWait | None = None,
    ) -> Outcome:
        """Send a request to one target, and update the target's health and load.

        Parameters
        ----------
        deadline : float
            Monotonic time at which the wait for the answer ends.
        caller, run_seconds, handle, reuse_deadline, slow
            As for `Exchange.open`.
        """
        target = view.target
        started = self._clock.monotonic()
        self._table.record_started(target.id)
        note = self._starts.note(request.account)
        outcome: Outcome = TimedOut()
        try:
            with self._guard.running(request, target):
                outcome = self._exchange.send(
                    request,
                    target,
                    deadline,
                    caller,
                    run_seconds,
                    handle,
                    note.sent if request.account else do_nothing,
                    reuse_deadline,
                    slow,
                )
            if (
                handle is not None
                and handle.cancelled
                and not isinstance(outcome, Answered | NotExecuted)
            ):
                outcome = Superseded() if handle.superseded else CallerGone()
        finally:
            seconds = self._clock.monotonic() - started
            answered = isinstance(outcome, Answered)
            self._table.record_ended(
                target.id,
                self._evidence(
                    outcome,
                    view,
                    started,
                    answer_begun=handle is not None and handle.answer_begun,
                    first=slow is not None,
                    plain=run_seconds is None,
                ),
                seconds if answered else 0.0,
            )
        if isinstance(outcome, NotExecuted):
            note.withdraw()
        if isinstance(outcome, NotExecuted) and outcome.replaced:
            self._table.record_replaced(target.id)
        name = type(outcome).__name__
        self._sends.increment(service=target.service, outcome=name)
        self._seconds.observe(seconds, service=target.service)
        event(
            logger,
            "send",
            request=request.id,
            service=target.service,
            target=target.id,
            load=view.in_flight,
            slots=target.slots,
            latency=view.latency,
            left=deadline - started,
            outcome=name,
            detail=getattr(outcome, "reason", getattr(outcome, "status", "")),
            seconds=seconds,
        )
        return outcome

    def _evidence(
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
        if self._hedging is None:
            return health_evidence(outcome)
        target = view.target
        seconds = self._clock.monotonic() - started
        if isinstance(outcome, Superseded) and not answer_begun:
            # A second send may have been cut before any target could have answered.
            if first or self._hedging.is_long_wait(target.service, seconds):
                return self._hedging.record_cut(target.id, started)
            return "none"
        if isinstance(outcome, Answered | Superseded) or (
            isinstance(outcome, NotExecuted) and outcome.status
        ):
            self._hedging.record_alive(target.id)
        if plain and is_usable(outcome):
            self._hedging.record_latency(target.service, seconds)
        return health_evidence(outcome)


_PRECEDENCE = (Superseded, NotExecuted, TimedOut, Broken, Answered, CallerGone)
"""Outcomes in rising order of their weight for a request that was sent twice."""


def _precedence(outcome: Outcome) -> tuple[bool, int]:
    """Return the rank of an outcome among those of the sends of one request."""
    return is_usable(outcome), _PRECEDENCE.index(type(outcome))


def _hedge_result(ended: Sequence[Sent]) -> str:
    """Return the label under which a second send is counted."""
    if is_usable(ended[-1].outcome):
        return "won" if len(ended) > 1 else "lost"
    return "failed"
