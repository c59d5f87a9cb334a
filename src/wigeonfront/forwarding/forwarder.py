"""Forwards plain requests: sends them, retries them and keeps their deadlines."""

import logging
import socket
from collections.abc import Sequence
from random import Random

from wigeonfront.clock import Clock
from wigeonfront.configuration import Route
from wigeonfront.forwarding.attempt import (
    Answered,
    ForwardRequest,
    NotExecuted,
    Outcome,
    TimedOut,
)
from wigeonfront.forwarding.exchange import Exchange
from wigeonfront.forwarding.guard import NO_GUARD, RequestGuard
from wigeonfront.forwarding.handle import CallHandle
from wigeonfront.forwarding.open_call import do_nothing
from wigeonfront.forwarding.placement import choose_target, usable_targets
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
        service = route.choose_service(self._random.random())
        tried: set[str] = set()
        may_have_run = False
        error_answer: Answered | None = None
        sends_left = max(1, route.max_attempts)
        while True:
            blocked = self._guard.blocked_for(request)
            if blocked:
                return refusal("quarantined", may_have_run, blocked)
            usable = usable_targets(self._table.views(service), tried)
            view = self._choose(request, usable)
            if view is None:
                # A target's error tells the caller more than "no target" would.
                if error_answer is not None:
                    return ReturnAnswer(error_answer)
                return refusal("no target", may_have_run)
            now = self._clock.monotonic()
            state = SendState(request.repeatable, sends_left, deadline - now)
            patience = now + max_wait(state, view.latency)
            # Giving up on a target early is of no use if there is no other target.
            until = patience if len(usable) > 1 else deadline
            outcome = self.send(request, view, until, caller, reuse_deadline=patience)
            tried.add(view.target.id)
            if isinstance(outcome, Answered):
                error_answer = outcome
            if not isinstance(outcome, NotExecuted):
                may_have_run = True
            if not (isinstance(outcome, NotExecuted) and outcome.status == 0):
                sends_left -= 1
            left = deadline - self._clock.monotonic()
            state = SendState(request.repeatable, sends_left, left, may_have_run)
            step = next_step(outcome, state)
            if not isinstance(step, Retry):
                return step

    def _choose(
        self, request: ForwardRequest, usable: Sequence[TargetView]
    ) -> TargetView | None:
        """Return a target, preferably one that no other request may crash."""
        avoided = self._guard.targets_to_avoid(request)
        return choose_target(usable, avoided, self._failure_domain) or choose_target(
            usable, (), self._failure_domain
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
    ) -> Outcome:
        """Send a request to one target, and update the target's health and load.

        Parameters
        ----------
        deadline : float
            Monotonic time at which the wait for the answer ends.
        caller, run_seconds, handle, reuse_deadline
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
                )
        finally:
            seconds = self._clock.monotonic() - started
            answered = isinstance(outcome, Answered)
            self._table.record_ended(
                target.id, health_evidence(outcome), seconds if answered else 0.0
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
