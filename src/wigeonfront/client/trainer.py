"""`TrainerClient`: submits Lots, reads their results and acknowledges them."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count
from urllib.parse import quote

from wigeonfront.api.lots import ACKNOWLEDGE_PATH, LOTS_PATH, MOST_WAIT_SECONDS
from wigeonfront.api.messages import (
    LotAccepted,
    LotBody,
    LotName,
    LotPage,
    RewardBody,
    SampleBody,
    SampleResult,
)
from wigeonfront.client.entries import GRACE_SECONDS, Deadline, Entries
from wigeonfront.client.lot import (
    Acknowledged,
    AcknowledgementUnknown,
    Lot,
    LotAlreadyDelivered,
    LotAnswered,
    LotExpired,
    LotOutcome,
    LotProgress,
    LotRefused,
    LotUnreached,
    RewardCall,
    Sample,
    SampleOutcome,
)
from wigeonfront.client.refusal import CallRejected, decode, refusal
from wigeonfront.clock import Clock, SystemClock
from wigeonfront.http.client import Answer, NotSent, Unanswered
from wigeonfront.outcomes import Completed, GivenUp

SUBMIT_SECONDS = 5.0
"""Longest wait for one answer to a submission."""

ACKNOWLEDGE_SECONDS = 30.0
ACKNOWLEDGE_TRY_SECONDS = 3.0

GONE = 410

Words = Callable[[str], None]


def _ignore(told: object) -> None:
    """Take no notice of progress."""


@dataclass(slots=True)
class _Reading:
    """What has been read of a Lot."""

    lot: Lot
    results: list[SampleResult] = field(default_factory=list)

    @property
    def done(self) -> bool:
        """Whether all that the trainer waits for is here."""
        if len(self.results) >= len(self.lot.samples):
            return True
        wanted = self.lot.wanted_groups
        read = {one.sample for one in self.results}
        whole = sum(read.issuperset(group) for group in self.lot.groups.values())
        return 0 < wanted <= whole


class TrainerClient:
    """Submits and acknowledges the Lots of one trainer.

    Use one instance from one thread; instances are independent.

    Parameters
    ----------
    addresses : sequence of str
        ``host:port`` of the entries, or of the balancer before them.
    trainer : str
        The trainer's name.
    clock : Clock, optional
    generator : random.Random, optional
        Source of the jitter.
    progress : callable, optional
        Told in a few words how each try ended that settled nothing.
    samples_told : callable, optional
        Told of the `LotProgress` after each page of results.
    api_key : str, optional
        Of the client account.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        trainer: str,
        clock: Clock | None = None,
        generator: random.Random | None = None,
        progress: Words = _ignore,
        samples_told: Callable[[LotProgress], None] = _ignore,
        api_key: str = "",
    ) -> None:
        self._entries = Entries(addresses, clock or SystemClock(), generator, api_key)
        self._trainer = trainer
        self._progress = progress
        self._samples_told = samples_told

    def close(self) -> None:
        """Close all connections."""
        self._entries.close()

    def submit_lot(self, lot: Lot, timeout: float = 300.0) -> LotOutcome:
        """Submit `lot` and read its results until the wanted groups are whole.

        A Lot that was submitted before, also by another process, is gone on with.

        Parameters
        ----------
        lot : Lot
        timeout : float
            Seconds for the whole call; samples may be given up after it.

        Returns
        -------
        LotOutcome
        """
        deadline = Deadline(self._entries.clock, timeout)
        refused = self._submit(_body(self._trainer, lot, timeout), deadline)
        if refused is not None:
            return refused
        return self._read(lot, deadline)

    def acknowledge(
        self, lot: Lot, timeout: float = ACKNOWLEDGE_SECONDS
    ) -> Acknowledged | AcknowledgementUnknown | CallRejected:
        """Say that `lot` has arrived, until an entry confirms it.

        Acknowledging is idempotent: it may be repeated at any time. What has no result
        by then is not run any more.
        """
        deadline = Deadline(self._entries.clock, timeout)
        body = LotName(self._trainer, lot.lot)
        for tries in count(1):
            wait = min(ACKNOWLEDGE_TRY_SECONDS, deadline.remaining + GRACE_SECONDS)
            answer = self._entries.call("POST", ACKNOWLEDGE_PATH, body, wait)
            if isinstance(answer, Answer) and answer.status < 300:
                return Acknowledged()
            end = refusal(answer)
            if isinstance(end, CallRejected):
                return end
            if not self._entries.wait(tries, end.retry_after, deadline):
                return AcknowledgementUnknown(end.reason)

    def _submit(self, body: LotBody, deadline: Deadline) -> LotOutcome | None:
        """Submit a Lot until it is kept; return why it is not."""
        reached = False
        for tries in count(1):
            wait = min(SUBMIT_SECONDS, deadline.remaining + GRACE_SECONDS)
            answer = self._entries.call("POST", LOTS_PATH, body, wait)
            if isinstance(answer, Answer) and decode(answer.body, LotAccepted):
                return None
            if isinstance(answer, Answer) and answer.status == GONE:
                return LotAlreadyDelivered()
            end = refusal(answer)
            if isinstance(end, CallRejected):
                return end
            reached = reached or end.reached
            self._progress(f"submission {tries}: {end.reason}")
            if not self._entries.wait(tries, end.retry_after, deadline):
                if not reached:
                    return LotUnreached(end.reason)
                return LotRefused(end.reason, end.retry_after)

    def _read(self, lot: Lot, deadline: Deadline) -> LotOutcome:
        reading = _Reading(lot)
        tries = 0
        while not reading.done:
            answer = self._page(lot, len(reading.results), deadline)
            page = decode(answer.body, LotPage) if isinstance(answer, Answer) else None
            if page is not None and answer.status == 200:
                tries = 0
                reading.results.extend(page.results)
                told = LotProgress(len(reading.results), len(lot.samples))
                self._samples_told(told)
                if not reading.done and deadline.remaining <= 0:
                    return self._expired(reading, "deadline")
                continue
            end = refusal(answer)
            if isinstance(end, CallRejected):
                return end
            tries += 1
            self._progress(f"reading: {end.reason}")
            if not self._entries.wait(tries, end.retry_after, deadline):
                return self._expired(reading, end.reason)
        outcomes = {one.sample: _outcome(one) for one in reading.results}
        return LotAnswered(outcomes, self._entries.address)

    def _page(
        self, lot: Lot, after: int, deadline: Deadline
    ) -> Answer | NotSent | Unanswered:
        wait = max(0.0, min(MOST_WAIT_SECONDS, deadline.remaining))
        names = "/".join(quote(name, safe="") for name in (self._trainer, lot.lot))
        path = f"{LOTS_PATH}/{names}?after={after}&wait={wait:.3f}"
        return self._entries.call("GET", path, None, wait + GRACE_SECONDS + 1.0)

    def _expired(self, reading: _Reading, reason: str) -> LotExpired:
        return LotExpired(reason, len(reading.lot.samples) - len(reading.results))


def _outcome(result: SampleResult) -> SampleOutcome:
    if result.kind != "completed":
        return GivenUp()
    return Completed(result.text, result.versions, result.score)


def _body(trainer: str, lot: Lot, timeout: float) -> LotBody:
    return LotBody(
        trainer=trainer,
        lot=lot.lot,
        route=lot.route,
        model=lot.model,
        samples=[_sample(one) for one in lot.samples],
        version=lot.version,
        bound=lot.bound,
        wanted_groups=lot.wanted_groups,
        timeout=timeout,
    )


def _sample(sample: Sample) -> SampleBody:
    return SampleBody(
        sample=sample.sample,
        payload=sample.payload,
        group=sample.group,
        max_tokens=sample.max_tokens,
        reward_call=_reward(sample.reward_call),
    )


def _reward(call: RewardCall | None) -> RewardBody | None:
    return RewardBody(call.route, call.path, call.payload) if call else None
