"""Gets the scores of samples of owned Lots whose texts are whole."""

import logging
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration, Route
from wigeonfront.forwarding.handle import CallHandle
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry
from wigeonfront.rollout.lot import RewardCall, SampleResult
from wigeonfront.rollout.progress import LotProgress, SampleState
from wigeonfront.rollout.reward_call import (
    CallBroken,
    CallCancelled,
    CallFailed,
    CallOutcome,
    RewardCaller,
    Scored,
)
from wigeonfront.rollout.reward_scheduling import (
    DueCall,
    choose_call_target,
    due_calls,
    max_wait,
    pause_after,
    slow_after,
)
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.views import TargetView

logger = logging.getLogger(__name__)

IDLE_WAIT_SECONDS = 0.5
"""Longest sleep of the sending thread; the end of a text wakes it."""

SLOT_WAIT_SECONDS = 0.05
"""Pause of the sending thread while calls wait for a slot or for their retry."""

MIN_CALL_SECONDS = 1.0
"""Minimum time limit of a reward call, even if its sample may be given up sooner."""

NO_ROUTE_PAUSE_SECONDS = 0.5
"""Pause before a call is retried whose host and path no route serves now.

It is a quarter of the time until a change of the configuration is in force.
"""

TRUSTED_UNFRAMED_ANSWERS = 2
"""Number of answers without framing from which on such an answer is trusted.

A service may always answer without a length or chunks, but a single such answer may
have been cut off.
"""

FinishSample = Callable[[LotProgress, SampleResult, str], None]


@dataclass(slots=True)
class _Call:
    """A reward call in progress."""

    due: DueCall
    view: TargetView
    route: Route
    handle: CallHandle = field(default_factory=CallHandle)

    @property
    def target_id(self) -> str:
        return self.view.target.id

    @property
    def reward_call(self) -> RewardCall:
        return _reward_call(self.due.state)


class Scoring:
    """Sends the reward calls of samples whose texts are whole.

    Parameters
    ----------
    caller : RewardCaller
    table : TargetTable
    lots : callable
        Returns the owned Lots; called while the lock of `changed` is held.
    finish : callable
        Takes a Lot's progress, a sample's result and the reason for the log; called
        while the lock is held.
    changed : threading.Condition
        Guards the progress of Lots, and is notified when a text has ended.
    configuration : callable
        Returns the configuration in force, or ``None``.
    failure_domain : str
        Failure domain of this process.
    random : random.Random
        Draws the service of a split route.
    clock : Clock
    metrics : wigeonfront.observability.metrics.Registry
    """

    def __init__(
        self,
        caller: RewardCaller,
        table: TargetTable,
        lots: Callable[[], list[LotProgress]],
        finish: FinishSample,
        changed: threading.Condition,
        configuration: Callable[[], Configuration | None],
        failure_domain: str,
        random: Random,
        clock: Clock,
        metrics: Registry,
    ) -> None:
        self._caller = caller
        self._table = table
        self._lots = lots
        self._finish = finish
        self._changed = changed
        self._configuration = configuration
        self._failure_domain = failure_domain
        self._clock = clock
        self._random = random
        self._calls: list[_Call] = []
        self._count = metrics.counter(
            "reward_calls_total", "Sends of reward calls by outcome.", ("outcome",)
        )
        self._seconds = metrics.histogram(
            "reward_call_seconds", "Time of a send of a reward call.", ("outcome",)
        )
        self._score_seconds = metrics.histogram(
            "score_seconds", "Time from a whole text to its score."
        )
        metrics.gauge(
            "reward_calls_running",
            "Reward calls in progress.",
            read=lambda: float(len(self._calls)),
        )

    def run(self, stop: threading.Event) -> None:
        """Send due calls while slots are free (run as a supervised task)."""
        while not stop.is_set():
            with self._changed:
                waiting = self._send_due()
                self._changed.wait(SLOT_WAIT_SECONDS if waiting else IDLE_WAIT_SECONDS)

    def wake(self) -> None:
        """Check at once whether a call can be sent."""
        with self._changed:
            self._changed.notify_all()

    def cancel_calls(self, progress: LotProgress) -> int:
        """Cancel the calls of a stopped Lot, and return how many there were."""
        with self._changed:
            calls = [call for call in self._calls if call.due.progress is progress]
        for call in calls:
            call.handle.cancel()
        return len(calls)

    def _send_due(self) -> bool:
        """Send the due calls, and return whether texts still wait for a score."""
        configuration = self._configuration()
        if configuration is None:
            return False
        full: set[str] = set()
        for due in due_calls(self._lots(), self._clock.monotonic()):
            route = self._route(due, configuration)
            if route is None:
                continue
            service = route.choose_service(self._random.random())
            if service in full:
                continue
            view = self._choose(due.state, service)
            if view is None:
                # For a second send the service need not be full: there may only be no
                # target other than that of the first send.
                if not due.state.call.sends:
                    full.add(service)
                continue
            self._start(_Call(due, view, route), configuration.version)
        return any(
            state.text.whole
            for progress in self._lots()
            for state in progress.open.values()
        )

    def _route(self, due: DueCall, configuration: Configuration) -> Route | None:
        call = _reward_call(due.state)
        path = call.path.partition("?")[0]
        route = configuration.find_route(call.host.lower(), path)
        due.state.call.routed, was_routed = route is not None, due.state.call.routed
        if route is not None:
            return route
        due.state.call.not_before = self._clock.monotonic() + NO_ROUTE_PAUSE_SECONDS
        if was_routed:
            event(
                logger,
                "reward_call_unrouted",
                lot=due.progress.lot.id,
                sample=due.state.sample.id,
                call=call.id,
                host=call.host,
                path=path,
                version=configuration.version,
            )
        return None

    def _choose(self, state: SampleState, service: str) -> TargetView | None:
        own_calls = Counter(call.target_id for call in self._calls)
        asked = {call.target_id for call in self._calls if call.due.state is state}
        others = [
            view for view in self._table.views(service) if view.target.id not in asked
        ]
        return choose_call_target(
            others,
            own_calls,
            state.call.tried,
            self._failure_domain,
            self._clock.monotonic() - state.call.due_since,
        )

    def _start(self, call: _Call, version: int) -> None:
        state = call.due.state
        state.call.sends += 1
        state.call.sent_at = self._clock.monotonic()
        state.call.slow_after = slow_after(call.view.latency)
        self._calls.append(call)
        event(
            logger,
            "reward_call_sent",
            lot=call.due.progress.lot.id,
            sample=state.sample.id,
            call=call.reward_call.id,
            version=version,
            target=call.target_id,
            load=call.view.in_flight,
            slots=call.view.target.slots,
            tries=state.call.tries,
            sends=state.call.sends,
            text_age=self._clock.monotonic() - state.call.due_since,
        )
        threading.Thread(
            target=self._run, args=(call,), name="reward-call", daemon=True
        ).start()

    def _run(self, call: _Call) -> None:
        started = self._clock.monotonic()
        left = max(MIN_CALL_SECONDS, call.due.progress.gives_up_at - started)
        wait = max_wait(
            call.view.latency, call.due.state.call.tries, min(call.route.timeout, left)
        )
        outcome: CallOutcome = CallBroken("crashed")
        try:
            outcome = self._caller.send(
                call.reward_call, call.view, started + wait, left, call.handle
            )
        finally:
            self._ended(call, outcome, self._clock.monotonic() - started)

    def _ended(self, call: _Call, outcome: CallOutcome, seconds: float) -> None:
        name = type(outcome).__name__
        progress, state = call.due.progress, call.due.state
        self._count.increment(outcome=name)
        self._seconds.observe(seconds, outcome=name)
        event(
            logger,
            "reward_call",
            lot=progress.lot.id,
            sample=state.sample.id,
            call=call.reward_call.id,
            target=call.target_id,
            outcome=name,
            detail=getattr(outcome, "reason", ""),
            tries=state.call.tries,
            failures=state.call.failures,
            seconds=seconds,
            text_age=self._clock.monotonic() - state.call.due_since,
        )
        with self._changed:
            self._calls.remove(call)
            state.call.sends -= 1
            if state.sample.id in progress.open and not progress.ended:
                self._settle(call, outcome)
            self._changed.notify_all()

    def _settle(self, call: _Call, outcome: CallOutcome) -> None:
        """Finish the sample, give it up or schedule a retry after a send."""
        progress, state = call.due.progress, call.due.state
        if isinstance(outcome, CallCancelled):
            return
        if isinstance(outcome, Scored):
            state.call.unframed += not outcome.framed
            if outcome.framed or state.call.unframed >= TRUSTED_UNFRAMED_ANSWERS:
                waited = self._clock.monotonic() - state.call.due_since
                self._score_seconds.observe(waited)
                self._finish(progress, completed(state, outcome.score), "scored")
                self._cancel_other_sends(state)
                return
        state.call.tries += 1
        state.call.tried |= {call.target_id}
        now = self._clock.monotonic()
        state.call.not_before = now + pause_after(outcome, state.call.tries)
        if not isinstance(outcome, CallFailed):
            return
        state.call.failures += 1
        # The platform does not define whether the limit of the route or of the Lot
        # applies, so that the sample is given up only past both.
        if state.call.failures >= max(
            call.route.max_attempts, progress.lot.max_attempts
        ):
            result = SampleResult(state.sample.id, completed=False)
            self._finish(progress, result, "failed reward calls")
            self._cancel_other_sends(state)

    def _cancel_other_sends(self, state: SampleState) -> None:
        """Cancel the other send of a sample that has its result."""
        for call in self._calls:
            if call.due.state is state:
                call.handle.cancel()


def completed(state: SampleState, score: str = "") -> SampleResult:
    """Return the result of a sample whose text is whole."""
    return SampleResult(
        state.sample.id,
        True,
        state.text.joined(),
        tuple(sorted(state.text.versions)),
        score,
    )


def _reward_call(state: SampleState) -> RewardCall:
    if state.sample.reward_call is None:
        raise AssertionError("the sample of a text without a score has no reward call")
    return state.sample.reward_call
