"""Lots: one trainer's thread, from its POST to the whole answer.

The thread keeps a bounded number of samples at each side, places the rest as
room appears, hedges stragglers in the tail, and answers once every sample is
there. Just before it writes, it takes the Lot's delivery right from the side that
owns the Lot's slot, so that no other submission of the Lot is delivered as well.
Samples carry the Lot's key, so a repeated Lot finds those that are finished.
"""

import logging
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from wigeonfront.clock import Clock
from wigeonfront.entry.directory import Directory
from wigeonfront.entry.dispatch import Dispatcher, Work
from wigeonfront.entry.sink import Ended, QueueSink, as_told
from wigeonfront.entry.slots import SlotTables
from wigeonfront.logs import event
from wigeonfront.messages import (
    RECORDS_LOST,
    Attempt,
    DeliveryRequest,
    LotBody,
    LotReply,
    LotSample,
    SampleReply,
    to_wire,
)
from wigeonfront.outcomes import Completed, Failed, Interrupted, NotRun, Outcome
from wigeonfront.policy.placement import Placed, SideView
from wigeonfront.policy.retries import RetryBudget, backoff
from wigeonfront.policy.stragglers import (
    HedgeSettings,
    RunningSample,
    SiblingLengths,
    longest_first,
    should_hedge,
)

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.1
AHEAD_FACTOR = 2
# An engine's own errors for one sample, after which the sample is told as failed.
MAX_SAMPLE_FAILURES = 5
DELIVERY_PAUSE = 0.1
RETRY_SECONDS = 1.0
NO_VERSION = "no_version_named"
FINAL_STATUSES = ("superseded", "already_delivered")


@dataclass(slots=True)
class _Sample:
    sample: LotSample
    work: Work
    running: dict[str, str] = field(default_factory=dict)
    started: float = 0.0
    expected: float = 0.0
    hedges: int = 0
    tries: int = 0
    failures: int = 0
    not_before: float = 0.0
    outcome: Completed | Failed | None = None


@dataclass(frozen=True, slots=True)
class LotTerms:
    """What the catalogue says about a Lot's account."""

    catalogue_entry: str
    min_version: int


class Lots:
    """Answers Lots.

    Parameters
    ----------
    directory : Directory
    dispatcher : Dispatcher
    slots : SlotTables
    clock : Clock
    hedge_ratio : float
        Hedges as a share of samples.
    """

    def __init__(
        self,
        directory: Directory,
        dispatcher: Dispatcher,
        slots: SlotTables,
        clock: Clock,
        hedge_ratio: float,
    ) -> None:
        self.directory = directory
        self.dispatcher = dispatcher
        self.slots = slots
        self.clock = clock
        self.lengths = SiblingLengths()
        self.hedges = RetryBudget(hedge_ratio)

    def run(
        self,
        body: LotBody,
        terms: LotTerms,
        holder: str,
        caller_gone: Callable[[], bool],
        told: Callable[[int], None] = lambda missing: None,
    ) -> LotReply | None:
        """Run a Lot to its answer.

        Parameters
        ----------
        body : LotBody
        terms : LotTerms
        holder : str
            Identifier of this very POST.
        caller_gone : callable
            Tells whether the trainer has closed its connection.
        told : callable, optional
            Told how many samples are missing, each time that one is finished.

        Returns
        -------
        LotReply or None
            ``None`` when the trainer has gone.
        """
        return _LotRun(self, body, terms, holder, caller_gone, told).run()


class _LotRun:
    """One POST of one Lot."""

    def __init__(
        self,
        lots: Lots,
        body: LotBody,
        terms: LotTerms,
        holder: str,
        caller_gone: Callable[[], bool],
        told: Callable[[int], None],
    ) -> None:
        self._lots = lots
        self._body = body
        self._terms = terms
        self._holder = holder
        self._caller_gone = caller_gone
        self._told = told
        self._clock = lots.clock
        self._random = random.Random()
        self._deadline = self._clock.monotonic() + body.timeout
        self._sink = QueueSink()
        self._samples = [self._make(sample) for sample in body.samples]
        self._by_attempt: dict[str, _Sample] = {}
        self._at_side: dict[str, int] = {}
        self._missing = len(self._samples)
        self._waiting = deque(longest_first(self._samples, self._predicted))
        self._seconds_per_token = 0.0
        self._begun = False

    def run(self) -> LotReply | None:
        for _ in self._samples:
            self._lots.hedges.earn()
        standing = self._begin()
        if standing in FINAL_STATUSES:
            return self._reply(standing)
        if standing == "unavailable":
            return self._reply("partial", reason=RECORDS_LOST)
        event(
            logger,
            "lot_begun",
            request=self._holder,
            lot=self._body.key,
            submission=self._body.submission,
            samples=self._missing,
            min_version=self._terms.min_version,
        )
        while self._missing and self._remaining() > 0:
            self._place_waiting()
            self._take_ended(min(TICK_SECONDS, self._remaining()))
            if self._caller_gone():
                self._abandon("caller_gone", keep=True)
                return None
            self._hedge()
        if self._missing:
            self._abandon("expired", keep=False)
            return self._reply("partial", reason="expired")
        return self._finish()

    # --- samples -------------------------------------------------------------

    def _make(self, sample: LotSample) -> _Sample:
        body = self._body
        work = Work(
            request=f"{self._holder}/{sample.sample}",
            service=body.service,
            payload=sample.payload,
            work_class="rollout",
            deadline=self._deadline,
            key=f"{body.key}/{sample.sample}",
            trainer=self._terms.catalogue_entry,
            prefix=sample.group or f"{body.key}/{sample.sample}",
            max_tokens=sample.max_tokens,
            min_version=self._terms.min_version,
        )
        return _Sample(sample, work)

    def _predicted(self, sample: _Sample) -> float:
        lengths = self._lots.lengths
        return lengths.predict(sample.sample.group, sample.sample.max_tokens).tokens

    def _place_waiting(self) -> None:
        """Send what there is room for, one dispatch for each side."""
        if not self._waiting:
            return
        now = self._clock.monotonic()
        views = self._lots.directory.views(self._body.service)
        room = self._room(views)
        batches: dict[str, list[Attempt]] = {}
        put_back = []
        while self._waiting and any(free > 0 for free in room.values()):
            sample = self._waiting.popleft()
            if sample.not_before > now:
                put_back.append(sample)
                continue
            full = frozenset(side for side, free in room.items() if free <= 0)
            side = self._place(sample, full, views)
            if side is None:
                put_back.append(sample)
                break
            room[side] = room.get(side, 0) - 1
            batches.setdefault(side, []).append(self._start(sample, side))
        self._waiting.extendleft(reversed(put_back))
        for side, attempts in batches.items():
            self._lots.dispatcher.send(side, attempts, self._sink)

    def _room(self, views: list[SideView]) -> dict[str, int]:
        return {
            view.name: AHEAD_FACTOR * view.capacity - self._at_side.get(view.name, 0)
            for view in views
            if view.connected and view.serving and not view.leaving
        }

    def _place(
        self,
        sample: _Sample,
        excluded: frozenset[str],
        views: list[SideView] | None = None,
    ) -> str | None:
        decision = self._lots.dispatcher.place(sample.work, excluded, views)
        return decision.side if isinstance(decision, Placed) else None

    def _start(self, sample: _Sample, side: str) -> Attempt:
        attempt = self._lots.dispatcher.attempt(sample.work)
        sample.running[attempt.attempt] = side
        sample.started = self._clock.monotonic()
        sample.expected = self._predicted(sample) * self._seconds_per_token
        self._by_attempt[attempt.attempt] = sample
        self._at_side[side] = self._at_side.get(side, 0) + 1
        return attempt

    def _take_ended(self, timeout: float) -> None:
        """Wait for one end and take all that have come, to place them together."""
        ended = self._sink.get(timeout)
        while ended is not None:
            self._take(ended)
            ended = self._sink.get(0.0)

    def _take(self, ended: Ended) -> None:
        sample = self._by_attempt.pop(ended.attempt, None)
        if sample is None:
            return
        self._at_side[ended.side] -= 1
        sample.running.pop(ended.attempt, None)
        self._lots.directory.record(self._body.service, ended.side, ended.outcome)
        if sample.outcome is not None:
            return
        outcome = _as_told(ended.outcome)
        if isinstance(outcome, Failed):
            sample.failures += 1
        if self._is_final(sample, outcome):
            self._complete(sample, outcome, ended.side)
        else:
            self._again(sample, outcome, ended.side)

    def _is_final(self, sample: _Sample, outcome: Outcome) -> bool:
        """Tell whether `outcome` answers its sample, from new enough weights."""
        if isinstance(outcome, Failed):
            poisoned = sample.failures >= MAX_SAMPLE_FAILURES
            return outcome.status < 500 or poisoned
        if not isinstance(outcome, Completed):
            return False
        oldest = self._terms.min_version
        return all(span.version >= oldest for span in outcome.versions)

    def _complete(
        self, sample: _Sample, outcome: Completed | Failed, side: str
    ) -> None:
        sample.outcome = outcome
        self._missing -= 1
        self._told(self._missing)
        self._cancel_others(sample)
        if isinstance(outcome, Completed):
            self._measure(sample, len(outcome.payload["tokens"]), side)

    def _measure(self, sample: _Sample, tokens: int, side: str) -> None:
        self._lots.lengths.add(sample.sample.group, tokens)
        seconds = self._clock.monotonic() - sample.started
        self._lots.directory.measure(side, seconds, tokens)
        figure = seconds / max(1, tokens)
        change = 0.1 if self._seconds_per_token else 1.0
        self._seconds_per_token += change * (figure - self._seconds_per_token)

    def _again(self, sample: _Sample, outcome: Outcome, side: str) -> None:
        """Queue a sample again unless another attempt of it still runs."""
        if isinstance(outcome, Interrupted):
            sample.work.keep_prior(outcome)
        sample.tries += 1
        event(
            logger,
            "sample_again",
            request=sample.work.request,
            side=side,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
            tries=sample.tries,
        )
        if sample.running:
            return
        pause = backoff(min(sample.tries, 6), self._random)
        if isinstance(outcome, NotRun):
            pause = max(pause, min(outcome.retry_after, RETRY_SECONDS) / 2)
        sample.not_before = self._clock.monotonic() + pause
        self._waiting.append(sample)

    # --- stragglers ----------------------------------------------------------

    def _hedge(self) -> None:
        if self._waiting or not self._missing:
            return
        share = self._missing / len(self._samples)
        if share > HedgeSettings().tail:
            return
        for sample in self._samples:
            if sample.outcome is None and len(sample.running) == 1:
                self._hedge_one(sample, share)

    def _hedge_one(self, sample: _Sample, share: float) -> None:
        attempt, side = next(iter(sample.running.items()))
        running = RunningSample(
            attempt=attempt,
            idempotent=True,
            elapsed=self._clock.monotonic() - sample.started,
            expected=sample.expected,
            elsewhere=sample.expected,
            remaining=self._remaining(),
            hedges=sample.hedges,
        )
        decision = should_hedge(running, share)
        if not decision.hedge or not self._lots.hedges.spend():
            return
        other = self._place(sample, frozenset({side}))
        if other is None:
            return
        event(
            logger,
            "hedged",
            request=sample.work.request,
            side=other,
            slow_side=side,
            reason=decision.reason,
            **decision.figures,
        )
        sample.hedges += 1
        self._lots.dispatcher.send(other, [self._start(sample, other)], self._sink)

    def _cancel_others(self, sample: _Sample) -> None:
        for attempt, side in list(sample.running.items()):
            self._lots.dispatcher.cancel(side, [attempt])
            self._drop(sample, attempt, side)

    def _abandon(self, reason: str, keep: bool) -> None:
        """Stop waiting; `keep` lets the samples run on for a repeated POST."""
        event(logger, "lot_left", request=self._holder, reason=reason)
        if keep:
            return
        by_side: dict[str, list[str]] = {}
        for sample in self._samples:
            for attempt, side in list(sample.running.items()):
                by_side.setdefault(side, []).append(attempt)
                self._drop(sample, attempt, side)
        for side, attempts in by_side.items():
            self._lots.dispatcher.cancel(side, attempts)

    def _drop(self, sample: _Sample, attempt: str, side: str) -> None:
        sample.running.pop(attempt, None)
        self._by_attempt.pop(attempt, None)
        self._at_side[side] -= 1

    # --- delivery ------------------------------------------------------------

    def _finish(self) -> LotReply | None:
        """Take the delivery right, then return the whole answer."""
        while True:
            status = self._begin() if not self._begun else self._take_right()
            if status == "taken":
                return self._reply("complete")
            if status in FINAL_STATUSES:
                return self._reply(status)
            if status == "unavailable":
                return self._reply("partial", reason=RECORDS_LOST)
            if self._remaining() <= 0:
                return self._reply("partial", reason="delivery_owner_unreachable")
            if self._caller_gone():
                return None
            if status != "granted":
                self._clock.sleep(DELIVERY_PAUSE)

    def _begin(self) -> str:
        """Register this submission with the Lot's owner."""
        status = self._deliver("begin")
        self._begun = status == "granted"
        return status

    def _take_right(self) -> str:
        status = self._deliver("take")
        if status == "granted":
            return "taken"
        if status == "unavailable":
            # The owner has changed since the submission was registered.
            self._begun = False
            return "not_begun"
        return status

    def _deliver(self, step: str) -> str:
        owner = self._lots.slots.owner(self._body.service, self._body.key)
        peer = self._lots.directory.reach(owner.side) if owner else None
        if peer is None:
            return "unreachable"
        request = DeliveryRequest(
            step=step,
            key=self._body.key,
            service=self._body.service,
            submission=self._body.submission,
            holder=self._holder,
            epoch=owner.epoch,
        )
        reply = peer.deliver(request)
        status = "unreachable" if reply is None else reply.status
        event(
            logger,
            "delivery",
            request=self._holder,
            lot=self._body.key,
            step=step,
            side=owner.side,
            status=status,
        )
        return status

    def _reply(self, status: str, reason: str = "") -> LotReply:
        body = self._body
        event(
            logger,
            "lot_answered",
            request=self._holder,
            lot=body.key,
            status=status,
            missing=self._missing,
        )
        samples = []
        if status == "complete":
            samples = [
                SampleReply(sample=one.sample.sample, outcome=to_wire(one.outcome))
                for one in self._samples
            ]
        return LotReply(
            trainer=body.trainer,
            lot=body.lot,
            submission=body.submission,
            status=status,
            samples=samples,
            missing=self._missing,
            reason=reason,
            retry_after=RETRY_SECONDS if status == "partial" else 0.0,
        )

    def _remaining(self) -> float:
        return self._deadline - self._clock.monotonic()


def _as_told(outcome: Outcome) -> Outcome:
    """Return an attempt's outcome as it counts for a sample.

    A sample must name the weights that produced it; an engine that names none, as
    for an answer without tokens, has failed it.
    """
    if isinstance(outcome, Completed) and not outcome.versions:
        return Failed(NO_VERSION)
    return as_told(outcome)
