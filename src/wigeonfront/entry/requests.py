"""Single requests: one caller's thread, from admission to its one answer."""

import logging
import random
from collections.abc import Callable
from dataclasses import replace

from wigeonfront.clock import Clock
from wigeonfront.entry.directory import Directory
from wigeonfront.entry.dispatch import Dispatcher, Work
from wigeonfront.entry.sink import QueueSink
from wigeonfront.entry.slots import SlotTables
from wigeonfront.logs import event
from wigeonfront.outcomes import (
    Completed,
    Expired,
    Interrupted,
    NotRun,
    Outcome,
    Unknown,
)
from wigeonfront.policy.placement import Placed
from wigeonfront.policy.retries import Attempted, GiveUp, RetryBudget, may_retry

logger = logging.getLogger(__name__)

CALLER_CHECK_SECONDS = 0.25
# A side's own word on an expired attempt is more exact than this entry's.
EXPIRY_GRACE_SECONDS = 0.25
RETRY_SECONDS = 1.0


class Requests:
    """Answers single requests.

    Parameters
    ----------
    directory : Directory
    dispatcher : Dispatcher
    slots : SlotTables
        Owners of idempotency keys.
    clock : Clock
    max_attempts : int
        Most attempts of one request.
    retry_ratio : float
        Retries as a share of first attempts.
    """

    def __init__(
        self,
        directory: Directory,
        dispatcher: Dispatcher,
        slots: SlotTables,
        clock: Clock,
        max_attempts: int,
        retry_ratio: float,
    ) -> None:
        self._directory = directory
        self._dispatcher = dispatcher
        self._slots = slots
        self._clock = clock
        self._max_attempts = max_attempts
        self._budget = RetryBudget(retry_ratio)
        self._random = random.Random()

    def run(self, work: Work, caller_gone: Callable[[], bool]) -> Outcome:
        """Run `work` to its end and return the one outcome for its caller.

        Parameters
        ----------
        work : Work
        caller_gone : callable
            Tells whether the caller has closed its connection.
        """
        self._budget.earn()
        while True:
            outcome = self._try_once(work, caller_gone)
            verdict = self._verdict(work, outcome)
            if isinstance(verdict, GiveUp):
                return self._final(work, outcome, verdict.reason)
            event(
                logger,
                "retry",
                request=work.request,
                after=type(outcome).__name__,
                reason=getattr(outcome, "reason", ""),
                delay=verdict.delay,
            )
            if isinstance(outcome, Interrupted):
                work.keep_prior(outcome)
            self._clock.sleep(verdict.delay)
            if caller_gone():
                return self._final(work, NotRun("caller_gone"), "caller_gone")

    def _verdict(self, work: Work, outcome: Outcome):
        attempted = Attempted(
            work.idempotent, max(1, work.attempts), self._max_attempts
        )
        remaining = work.deadline - self._clock.monotonic()
        verdict = may_retry(outcome, attempted, remaining, self._random)
        if isinstance(verdict, GiveUp):
            return verdict
        if verdict.budgeted and not self._budget.spend():
            return GiveUp("retry_budget_spent")
        return verdict

    def _try_once(self, work: Work, caller_gone: Callable[[], bool]) -> Outcome:
        if work.deadline <= self._clock.monotonic():
            return Expired(started=work.attempts > 0)
        side = self._choose(work)
        if isinstance(side, NotRun):
            work.attempts += 1
            return side
        attempt = self._dispatcher.attempt(work)
        sink = QueueSink()
        self._dispatcher.send(side, [attempt], sink)
        outcome = self._await(work, attempt.attempt, side, sink, caller_gone)
        self._directory.record(work.service, side, outcome)
        work.tried.add(side)
        work.may_have_run |= not _certainly_not_run(outcome)
        return outcome

    def _choose(self, work: Work) -> str | NotRun:
        if work.key and not work.idempotent:
            return self._choose_owner(work)
        decision = self._dispatcher.place(work, frozenset(work.tried))
        if isinstance(decision, Placed):
            return decision.side
        if work.tried:
            work.tried.clear()
        return decision.outcome

    def _choose_owner(self, work: Work) -> str | NotRun:
        owner = self._slots.owner(work.service, work.key)
        if owner is None:
            return NotRun("no_slot_owner", RETRY_SECONDS)
        work.epoch = owner.epoch
        event(
            logger,
            "placed",
            request=work.request,
            service=work.service,
            side=owner.side,
            reason="slot_owner",
            slot=owner.slot,
            epoch=owner.epoch,
            attempt=work.attempts + 1,
        )
        return owner.side

    def _await(
        self,
        work: Work,
        attempt: str,
        side: str,
        sink: QueueSink,
        caller_gone: Callable[[], bool],
    ) -> Outcome:
        while True:
            remaining = work.deadline + EXPIRY_GRACE_SECONDS - self._clock.monotonic()
            if remaining <= 0:
                self._dispatcher.cancel(side, [attempt])
                return Expired(started=True)
            ended = sink.get(min(CALLER_CHECK_SECONDS, remaining))
            if ended is not None:
                return ended.outcome
            if caller_gone():
                self._dispatcher.cancel(side, [attempt])
                return Unknown("caller_gone")

    def _final(self, work: Work, outcome: Outcome, reason: str) -> Outcome:
        """Return what the caller is told; it is always one of the five outcomes."""
        if isinstance(outcome, Interrupted):
            outcome = Unknown(outcome.reason)
        if work.may_have_run and _certainly_not_run(outcome):
            # The last attempt did not run, but an earlier one may have.
            outcome = Unknown(getattr(outcome, "reason", "expired"))
        if isinstance(outcome, NotRun) and outcome.retry_after <= 0:
            outcome = replace(outcome, retry_after=RETRY_SECONDS)
        event(
            logger,
            "answered",
            request=work.request,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
            gave_up="" if isinstance(outcome, Completed) else reason,
            attempts=work.attempts,
        )
        return outcome


def _certainly_not_run(outcome: Outcome) -> bool:
    if isinstance(outcome, Expired):
        return not outcome.started
    return isinstance(outcome, NotRun)
