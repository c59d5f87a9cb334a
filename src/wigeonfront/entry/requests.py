"""Single requests: one caller's thread, from admission to its one answer."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from wigeonfront.clock import Clock
from wigeonfront.entry.directory import Directory
from wigeonfront.entry.dispatch import Dispatcher, Work
from wigeonfront.entry.sink import Ended, QueueSink, as_told
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
from wigeonfront.policy.stragglers import HedgeSettings, RunningSample, should_hedge

logger = logging.getLogger(__name__)

CALLER_CHECK_SECONDS = 0.25
# A side's own word on an expired attempt is more exact than this entry's.
EXPIRY_GRACE_SECONDS = 0.25
RETRY_SECONDS = 1.0
# Expected time of a request while nothing has been measured.
UNKNOWN_SECONDS = 1.0
HEDGING = HedgeSettings()


@dataclass(slots=True)
class _Race:
    """The attempts of one try, and where their ends come in."""

    begun: float
    running: dict[str, str] = field(default_factory=dict)
    sink: QueueSink = field(default_factory=QueueSink)
    hedged: bool = False


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
    retry_ratio, hedge_ratio : float
        Retries and hedges as shares of first attempts.
    """

    def __init__(
        self,
        directory: Directory,
        dispatcher: Dispatcher,
        slots: SlotTables,
        clock: Clock,
        max_attempts: int,
        retry_ratio: float,
        hedge_ratio: float,
    ) -> None:
        self._directory = directory
        self._dispatcher = dispatcher
        self._slots = slots
        self._clock = clock
        self._max_attempts = max_attempts
        self._budget = RetryBudget(retry_ratio)
        self._hedges = RetryBudget(hedge_ratio)
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
        self._hedges.earn()
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
        if isinstance(outcome, NotRun) and outcome.slot_epoch:
            return GiveUp("only the caller knows whether the key is new")
        if verdict.budgeted and not self._budget.spend():
            return GiveUp("retry_budget_spent")
        return verdict

    def _try_once(self, work: Work, caller_gone: Callable[[], bool]) -> Outcome:
        if work.deadline <= self._clock.monotonic():
            return Expired(started=work.may_have_run)
        side = self._choose(work)
        if isinstance(side, NotRun):
            work.attempts += 1
            return side
        race = _Race(self._clock.monotonic())
        self._start(work, side, race)
        return self._await(work, race, caller_gone)

    def _start(self, work: Work, side: str, race: "_Race") -> None:
        attempt = self._dispatcher.attempt(work)
        race.running[attempt.attempt] = side
        work.tried.add(side)
        self._dispatcher.send(side, [attempt], race.sink)

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
        self, work: Work, race: "_Race", caller_gone: Callable[[], bool]
    ) -> Outcome:
        """Return the first answer, or the last end if there is none."""
        while True:
            remaining = work.deadline + EXPIRY_GRACE_SECONDS - self._clock.monotonic()
            if remaining <= 0:
                self._cancel(work, race)
                return Expired(started=True)
            ended = race.sink.get(min(CALLER_CHECK_SECONDS, remaining))
            if ended is not None:
                outcome = self._take(work, race, ended)
                if outcome is not None:
                    return outcome
            elif caller_gone():
                self._cancel(work, race)
                return Unknown("caller_gone")
            else:
                self._hedge(work, race)

    def _take(self, work: Work, race: "_Race", ended: Ended) -> Outcome | None:
        """Note an attempt's end; return it unless another attempt still runs."""
        race.running.pop(ended.attempt, None)
        outcome = as_told(ended.outcome)
        self._directory.record(work.service, ended.side, outcome)
        work.may_have_run |= not _certainly_not_run(outcome)
        if isinstance(outcome, Interrupted):
            work.keep_prior(outcome)
        if isinstance(outcome, Completed):
            seconds = self._clock.monotonic() - race.begun
            self._directory.measure(ended.side, seconds, _size(outcome))
            self._cancel(work, race)
            return outcome
        return None if race.running else outcome

    def _hedge(self, work: Work, race: "_Race") -> None:
        """Send a second attempt elsewhere when the first takes unusually long."""
        elapsed = self._clock.monotonic() - race.begun
        # Nothing is hedged as early as this, so the sides need not be read.
        if not work.idempotent or race.hedged or elapsed < HEDGING.minimum:
            return
        attempt, slow_side = next(iter(race.running.items()))
        expected = self._directory.expected_seconds(work.service, work.max_tokens)
        running = RunningSample(
            attempt=attempt,
            idempotent=True,
            elapsed=elapsed,
            expected=expected or UNKNOWN_SECONDS,
            elsewhere=expected,
            remaining=work.deadline - self._clock.monotonic(),
        )
        decision = should_hedge(running, 0.0, HEDGING)
        if not decision.hedge or not self._hedges.spend():
            return
        race.hedged = True
        placed = self._dispatcher.place(work, frozenset(work.tried))
        if not isinstance(placed, Placed):
            return
        event(
            logger,
            "hedged",
            request=work.request,
            side=placed.side,
            slow_side=slow_side,
            reason=decision.reason,
            **decision.figures,
        )
        self._start(work, placed.side, race)

    def _cancel(self, work: Work, race: "_Race") -> None:
        """Stop the attempts that run; how far they came isn't waited for."""
        for attempt, side in race.running.items():
            work.may_have_run = True
            self._dispatcher.cancel(side, [attempt])

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


def _size(outcome: Completed) -> int:
    """Return the tokens generated; 1 for a call of a plain service."""
    return outcome.versions[-1].end if outcome.versions else 1


def _certainly_not_run(outcome: Outcome) -> bool:
    if isinstance(outcome, Expired):
        return not outcome.started
    return isinstance(outcome, NotRun)
