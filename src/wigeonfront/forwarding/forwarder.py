"""Forwards plain requests: sends them, retries them and keeps their deadlines."""

import logging
import socket
from collections.abc import Sequence
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
from wigeonfront.forwarding.hedge_planner import HedgePlanner, choose_exclusively
from wigeonfront.forwarding.hedging_state import HedgingState
from wigeonfront.forwarding.open_call import do_nothing
from wigeonfront.forwarding.placement import choose_target, usable_targets
from wigeonfront.forwarding.race import Race, SendPlan, Sent, is_usable
from wigeonfront.forwarding.request_work import RequestWork
from wigeonfront.forwarding.slow_wait import SlowWait
from wigeonfront.forwarding.steps import (
    DropRequest,
    Fail,
    Retry,
    ReturnAnswer,
    max_wait,
    next_step,
    refusal,
)
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Counter, Histogram
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.views import TargetView
from wigeonfront.usage.starts import StartLog

logger = logging.getLogger(__name__)

Ended = ReturnAnswer | Fail | DropRequest


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
        self._planner = HedgePlanner(
            table, clock, guard, failure_domain, hedging, hedges
        )

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
        work = RequestWork(
            request,
            route.choose_service(self._random.random()),
            deadline,
            caller,
            max(1, route.max_attempts),
            self._planner.hedges(request, route),
            route.objective,
        )
        self._planner.record_first_send(work)
        while True:
            blocked = self._guard.blocked_for(request)
            if blocked:
                return refusal("quarantined", work.may_have_run, blocked)
            usable = usable_targets(self._table.views(work.service), work.tried)
            view = self._choose(work, usable)
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
            if isinstance(outcome, TimedOut):
                self._planner.charge_retry(work)

    def _send_until_ended(
        self, work: RequestWork, view: TargetView, usable: Sequence[TargetView]
    ) -> list[Sent]:
        """Send a request to a target, and hedge it if its route and service allow."""
        now = self._clock.monotonic()
        patience = now + max_wait(work.state(now), view.latency)
        # Giving up on a target early is of no use if there is no other target.
        until = patience if len(usable) > 1 else work.deadline
        plan = SendPlan(view, until)
        delay = self._planner.delay(work, usable)
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
            plan, now + delay, lambda: self._planner.plan(work, view, now, delay)
        )
        if race.second_plan is not None:
            self._planner.record_ended(work, ended)
        return ended

    def _choose(
        self, work: RequestWork, usable: Sequence[TargetView]
    ) -> TargetView | None:
        """Return a target, preferably one that no other request may crash."""
        return (
            self._planner.choose_unsuspected(work, usable)
            or choose_exclusively(
                work.request, usable, self._guard, self._failure_domain
            )
            or choose_target(usable, (), self._failure_domain)
        )

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
                self._planner.evidence(
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


_PRECEDENCE = (Superseded, NotExecuted, TimedOut, Broken, Answered, CallerGone)
"""Outcomes in rising order of their weight for a request that was sent twice."""


def _precedence(outcome: Outcome) -> tuple[bool, int]:
    """Return the rank of an outcome among those of the sends of one request."""
    return is_usable(outcome), _PRECEDENCE.index(type(outcome))
