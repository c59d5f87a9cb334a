"""Entry processes: the product's placement, retries, overload and hedging."""

import itertools
import math
from dataclasses import replace
from random import Random
from typing import Any

from benchmarks.policy.loop import EventLoop
from benchmarks.policy.measures import Measures
from benchmarks.policy.predictors import Predictor
from benchmarks.policy.sides import Attempt, Report, Side, Task
from benchmarks.policy.variants import STRATEGIES, Variant
from wigeonfront.outcomes import Completed, Expired, Failed, NotRun, Outcome
from wigeonfront.policy.circuit import Circuits
from wigeonfront.policy.overload import OverloadControl
from wigeonfront.policy.placement import PlacementRequest, Refused, SideView
from wigeonfront.policy.retries import (
    MOVED,
    Attempted,
    GiveUp,
    Retry,
    RetryBudget,
    may_retry,
)
from wigeonfront.policy.stragglers import RunningSample, should_hedge

ROLLOUT_ATTEMPTS = 1000
CALL_ATTEMPTS = 3
PLAIN_RETRY_DELAY = 0.05
HEDGE_PERIOD = 0.25
LATENCY_SMOOTHING = 0.1


class Entry:
    """An entry process."""

    def __init__(
        self,
        loop: EventLoop,
        name: str,
        failure_domain: str,
        services: dict[str, list[Side]],
        variant: Variant,
        predictor: Predictor,
        latency: float,
        random: Random,
        measures: Measures,
    ) -> None:
        self._loop = loop
        self._name = name
        self._failure_domain = failure_domain
        self._services = services
        self._variant = variant
        self._predictor = predictor
        self._latency = latency
        self._random = random
        self._measures = measures
        self._numbers = itertools.count()
        self.strategy: Any = STRATEGIES[variant.placement]()
        self._reports: dict[str, Report] = {}
        self._sent: dict[str, dict[str, tuple[float, float]]] = {}
        self._sent_tokens: dict[str, float] = {}
        self._token_seconds: dict[str, float] = {}
        self._circuits = {s: self._make_circuits(s) for s in services}
        self._retries = {s: RetryBudget() for s in services}
        self._hedges = {s: RetryBudget(variant.hedge_ratio) for s in services}
        self.overload = OverloadControl(loop)
        self._lots: list[list[Task]] = []
        self._backlog: list[Task] = []
        self._outstanding: dict[str, int] = {}
        if variant.hedging:
            loop.every(HEDGE_PERIOD, self._hedge_all, HEDGE_PERIOD)

    def _make_circuits(self, service: str) -> Circuits:
        circuits = Circuits(self._loop, self._random)
        circuits.set_targets(side.name for side in self._services[service])
        return circuits

    # --- load reports --------------------------------------------------------

    def take_report(self, side: str, report: Report) -> None:
        """Take in a side's load report."""
        self._reports[side] = report
        sent = self._sent.get(side, {})
        seen = [
            a for a, (_, at) in sent.items() if at + self._latency < report.composed
        ]
        for attempt_id in seen:
            self._unsend(side, attempt_id)

    def _note_not_serving(self, side: str) -> None:
        """Correct the last report by a refusal, which is newer."""
        if side in self._reports:
            self._reports[side] = replace(self._reports[side], serving=False)

    def _unsend(self, side: str, attempt_id: str) -> None:
        tokens, _ = self._sent.get(side, {}).pop(attempt_id, (0.0, 0.0))
        self._sent_tokens[side] = self._sent_tokens.get(side, 0.0) - tokens

    def _views(self, service: str) -> list[SideView]:
        return [self._view(service, side) for side in self._services[service]]

    def _view(self, service: str, side: Side) -> SideView:
        report = self._reports.get(side.name)
        view = SideView(
            side.name,
            side.failure_domain,
            capacity=side.capacity,
            sent_tokens=max(0.0, self._sent_tokens.get(side.name, 0.0)),
            latency=self._token_seconds.get(side.name, 0.0),
        )
        if self._variant.circuits:
            view.circuit_open = self._circuits[service].is_open(side.name)
        if report is not None:
            view.running = report.running
            view.queued = report.queued
            view.queued_tokens = report.queued_tokens
            view.version = report.version
            view.serving = report.serving
            view.age = self._loop.monotonic() - report.composed
        return view

    # --- requests ------------------------------------------------------------

    def submit(self, task: Task) -> None:
        """Take one request of an ordinary caller."""
        now = self._loop.monotonic()
        task.started = now
        if self._variant.overload:
            answer = self.overload.offer(
                task.service, task.work_class, task.deadline - now
            )
            if isinstance(answer, (NotRun, Expired)):
                self._measures.decisions["overload:refused"] += 1
                task.finished = True
                task.done(task, answer)
                return
        self._retries[task.service].earn()
        self._loop.after(task.deadline - now, self._expire, task)
        self._dispatch(task)

    def submit_lot(self, tasks: list[Task]) -> None:
        """Take a Lot; it ends when each of its tasks has."""
        now = self._loop.monotonic()
        for task in tasks:
            task.started = now
            task.predicted = self._predictor.predict(task)
            self._hedges[task.service].earn()
        if self._variant.prediction != "none":
            tasks = sorted(tasks, key=lambda task: task.predicted, reverse=True)
        self._lots.append(tasks)
        if self._variant.window:
            self._backlog.extend(tasks)
            self._pump_backlog()
            return
        for task in tasks:
            self._dispatch(task)

    def _pump_backlog(self) -> None:
        """Late binding: send rollouts only to sides that have room."""
        while self._backlog:
            full = {
                side.name
                for side in self._services[self._backlog[0].service]
                if self._outstanding.get(side.name, 0)
                >= self._variant.window * side.capacity
            }
            if len(full) == len(self._services[self._backlog[0].service]):
                return
            for task in self._backlog:
                task.predicted = self._predictor.predict(task)
            self._backlog.sort(key=lambda t: t.deadline - 0.02 * t.predicted)
            task = self._backlog.pop(0)
            task.tried = set(full)
            self._dispatch(task)

    def _dispatch(self, task: Task, hedge: bool = False) -> bool:
        if task.finished:
            return False
        views = self._views(task.service)
        if task.work_class != "rollout":
            task.predicted = task.tokens
        excluded = frozenset(task.tried | {a.side.name for a in task.active.values()})
        request = PlacementRequest(
            request=task.id,
            service=task.service,
            work_class=task.work_class,  # type: ignore[arg-type]
            prefix=task.prefix,
            tokens=max(1.0, task.predicted - task.prior),
            min_version=task.min_version,
            failure_domain=self._failure_domain,
            excluded=excluded,
        )
        placed = self.strategy(request, views, self._random)
        self._measures.decisions[f"placement:{placed.reason}"] += 1
        if isinstance(placed, Refused):
            if not hedge:
                task.tried.clear()
                self._settle(task, placed.outcome)
            return False
        side = next(s for s in self._services[task.service] if s.name == placed.side)
        self._send(task, side)
        return True

    def _send(self, task: Task, side: Side) -> None:
        now = self._loop.monotonic()
        task.attempts += 1
        self._measures.attempts += 1
        attempt = Attempt(
            id=f"{self._name}-{next(self._numbers)}",
            task=task,
            side=side,
            sent_at=now,
            prior=task.prior,
            reply=self._on_reply,
        )
        task.active[attempt.id] = attempt
        tokens = max(1.0, task.predicted - task.prior)
        self._sent.setdefault(side.name, {})[attempt.id] = (tokens, now)
        self._sent_tokens[side.name] = self._sent_tokens.get(side.name, 0.0) + tokens
        if task.work_class == "rollout":
            self._outstanding[side.name] = self._outstanding.get(side.name, 0) + 1
        self._circuits[task.service].sent(side.name)
        self._loop.after(self._latency, side.receive, attempt)

    def _on_reply(self, attempt: Attempt, outcome: Outcome) -> None:
        task, side = attempt.task, attempt.side.name
        self._unsend(side, attempt.id)
        if task.active.pop(attempt.id, None) is None:
            return  # Cancelled while its result was on the way.
        if task.work_class == "rollout":
            self._outstanding[side] -= 1
        self._circuits[task.service].record(side, outcome)
        if isinstance(outcome, NotRun) and outcome.reason in MOVED:
            self._note_not_serving(side)
        if isinstance(outcome, Completed):
            self._measure_latency(attempt)
        if not task.finished:
            task.prior = max(task.prior, attempt.prior)
            self._resolve(task, attempt, outcome)
        self._pump_backlog()

    def _resolve(self, task: Task, attempt: Attempt, outcome: Outcome) -> None:
        if isinstance(outcome, Completed):
            self._measures.useful += attempt.prior + attempt.generated
            self._predictor.learn(task)
            self._finish(task, outcome, attempt.queue_delay)
        elif not task.active:
            if isinstance(outcome, Failed) or task.work_class != "rollout":
                task.tried = {attempt.side.name}
            self._settle(task, outcome)

    def _measure_latency(self, attempt: Attempt) -> None:
        running = self._loop.monotonic() - attempt.received_at - attempt.queue_delay
        sample = running / max(1.0, attempt.generated)
        old = self._token_seconds.get(attempt.side.name, sample)
        new = old + LATENCY_SMOOTHING * (sample - old)
        self._token_seconds[attempt.side.name] = new

    def _settle(self, task: Task, outcome: Outcome) -> None:
        """Retry a task that failed, or end it."""
        remaining = task.deadline - self._loop.monotonic()
        rollout = task.work_class == "rollout"
        limit = ROLLOUT_ATTEMPTS if rollout else CALL_ATTEMPTS
        attempted = Attempted(task.idempotent, max(1, task.attempts), limit)
        decision = may_retry(outcome, attempted, remaining, self._random)
        decision = self._charge(task, decision)
        if isinstance(decision, GiveUp):
            self._finish(task, outcome, None)
            return
        delay = decision.delay if self._variant.budget else PLAIN_RETRY_DELAY
        if rollout and isinstance(outcome, NotRun):
            delay += min(outcome.retry_after, 1.0)
        self._loop.after(delay, self._dispatch, task)

    def _charge(self, task: Task, decision: Retry | GiveUp) -> Retry | GiveUp:
        if task.work_class == "rollout" or not self._variant.budget:
            return decision
        if isinstance(decision, GiveUp) or not decision.budgeted:
            return decision
        if not self._retries[task.service].spend():
            return GiveUp("budget_spent")
        return decision

    def _expire(self, task: Task) -> None:
        if not task.finished:
            self._finish(task, Expired(started=bool(task.active)), None)

    def _finish(self, task: Task, outcome: Outcome, queue_delay: float | None) -> None:
        task.finished = True
        if task.work_class != "rollout" and self._variant.overload:
            now = self._loop.monotonic()
            if isinstance(outcome, Expired):
                queue_delay = now - task.started
            self.overload.finished(
                task.service, task.work_class, queue_delay, now - task.started
            )
        self._cancel_rest(task)
        task.done(task, outcome)

    def _cancel_rest(self, task: Task) -> None:
        if not (self._variant.admission or self._variant.hedging):
            return
        for attempt in list(task.active.values()):
            self._unsend(attempt.side.name, attempt.id)
            if task.work_class == "rollout":
                self._outstanding[attempt.side.name] -= 1
            self._loop.after(self._latency, attempt.side.cancel, attempt.id)
            attempt.reply = lambda attempt, outcome: None
        task.active.clear()

    # --- hedging -------------------------------------------------------------

    def _hedge_all(self) -> None:
        views = self._views("model")
        for tasks in self._lots:
            waiting = [task for task in tasks if not task.finished]
            share = len(waiting) / len(tasks)
            for task in waiting:
                self._consider_hedge(task, share, views)
        self._lots = [t for t in self._lots if not all(task.finished for task in t)]

    def _consider_hedge(self, task: Task, share: float, views: list[SideView]) -> None:
        if len(task.active) != 1:
            return
        attempt = next(iter(task.active.values()))
        now = self._loop.monotonic()
        token_seconds = self._usual_token_seconds()
        wait = min(
            (v.load for v in views if v.name != attempt.side.name and v.serving),
            default=0.0,
        )
        expected = task.predicted * token_seconds
        sample = RunningSample(
            attempt=attempt.id,
            idempotent=task.idempotent,
            elapsed=now - attempt.sent_at,
            expected=expected,
            elsewhere=wait * token_seconds + expected,
            remaining=task.deadline - now,
            hedges=task.hedges,
            slowness=self._slowness(attempt.side.name),
        )
        if not should_hedge(sample, share).hedge:
            return
        if not self._hedges[task.service].spend():
            self._measures.decisions["hedge:budget_spent"] += 1
            return
        task.hedges += 1
        if self._dispatch(task, hedge=True):
            self._measures.hedges += 1

    def _slowness(self, side: str) -> float:
        if not self._variant.hedge_only_slow:
            return math.inf
        usual = self._usual_token_seconds()
        return self._token_seconds.get(side, usual) / usual

    def _usual_token_seconds(self) -> float:
        known = sorted(
            seconds
            for side in self._services["model"]
            if (seconds := self._token_seconds.get(side.name))
        )
        return known[len(known) // 2] if known else 0.03
