"""`TrainerClient`: submits Lots, reads their results and acknowledges them."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count
from urllib.parse import quote

from wigeonfront.api.lots import ACKNOWLEDGE_PATH, LOTS_PATH, MAX_WAIT_SECONDS
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
"""Longest time for which the client waits for one answer to a submission."""

ACKNOWLEDGE_SECONDS = 30.0
"""Default timeout of an acknowledgement, with all its retries."""

ACKNOWLEDGE_CALL_SECONDS = 3.0
"""Longest time for which the client waits for one answer to an acknowledgement."""

GONE = 410

ProgressCallback = Callable[[str], None]


def _ignore(progress: object) -> None:
    """Ignore a progress report."""


@dataclass(slots=True)
class _LotReading:
    """The results of a Lot that have been read so far."""

    lot: Lot
    results: list[SampleResult] = field(default_factory=list)

    @property
    def done(self) -> bool:
        """Whether all results that the trainer waits for have been read."""
        if len(self.results) >= len(self.lot.samples):
            return True
        wanted = self.lot.wanted_groups
        read = {result.sample for result in self.results}
        complete_groups = sum(
            read.issuperset(group) for group in self.lot.groups.values()
        )
        return 0 < wanted <= complete_groups


class TrainerClient:
    """Submits and acknowledges the Lots of one trainer.

    Use one instance from one thread; instances are independent.

    Parameters
    ----------
    addresses : sequence of str
        ``host:port`` of the entries, or of the load balancer in front of them.
    trainer : str
        Name of the trainer.
    clock : Clock, optional
    generator : random.Random, optional
        Random generator for the jitter and the first entry.
    progress : callable, optional
        Called with a short text after each call that has to be retried.
    samples_told : callable, optional
        Called with the `LotProgress` after each page of results.
    api_key : str, optional
        API key of the client account; empty for none.

    Raises
    ------
    ValueError
        If there is no address.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        trainer: str,
        clock: Clock | None = None,
        generator: random.Random | None = None,
        progress: ProgressCallback = _ignore,
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
        """Submit `lot` and read its results until the wanted groups are complete.

        If the Lot was submitted earlier, even by another process, the call goes on with
        that Lot.

        Parameters
        ----------
        lot : Lot
        timeout : float
            Seconds for the whole call, after which samples may be given up.

        Returns
        -------
        LotOutcome
        """
        deadline = Deadline(self._entries.clock, timeout)
        failure = self._submit(_encode_lot(self._trainer, lot, timeout), deadline)
        if failure is not None:
            return failure
        return self._read(lot, deadline)

    def acknowledge(
        self, lot: Lot, timeout: float = ACKNOWLEDGE_SECONDS
    ) -> Acknowledged | AcknowledgementUnknown | CallRejected:
        """Acknowledge that the results of `lot` have arrived; retry until confirmed.

        Acknowledging is idempotent and may be repeated at any time. Samples that have
        no result by then are not run any more.
        """
        deadline = Deadline(self._entries.clock, timeout)
        body = LotName(self._trainer, lot.lot)
        for tries in count(1):
            wait = min(ACKNOWLEDGE_CALL_SECONDS, deadline.remaining + GRACE_SECONDS)
            answer = self._entries.call("POST", ACKNOWLEDGE_PATH, body, wait)
            if isinstance(answer, Answer) and answer.status < 300:
                return Acknowledged()
            failure = refusal(answer)
            if isinstance(failure, CallRejected):
                return failure
            if not self._entries.wait(tries, failure.retry_after, deadline):
                return AcknowledgementUnknown(failure.reason)

    def _submit(self, body: LotBody, deadline: Deadline) -> LotOutcome | None:
        """Submit a Lot until an entry accepts it.

        Returns
        -------
        LotOutcome or None
            ``None`` if an entry accepted the Lot, else why none did.
        """
        reached = False
        for tries in count(1):
            wait = min(SUBMIT_SECONDS, deadline.remaining + GRACE_SECONDS)
            answer = self._entries.call("POST", LOTS_PATH, body, wait)
            if isinstance(answer, Answer) and decode(answer.body, LotAccepted):
                return None
            if isinstance(answer, Answer) and answer.status == GONE:
                return LotAlreadyDelivered()
            failure = refusal(answer)
            if isinstance(failure, CallRejected):
                return failure
            reached = reached or failure.reached
            self._progress(f"submission {tries} failed: {failure.reason}")
            if not self._entries.wait(tries, failure.retry_after, deadline):
                if not reached:
                    return LotUnreached(failure.reason)
                return LotRefused(failure.reason, failure.retry_after)

    def _read(self, lot: Lot, deadline: Deadline) -> LotOutcome:
        reading = _LotReading(lot)
        tries = 0
        while not reading.done:
            answer = self._fetch_page(lot, len(reading.results), deadline)
            page = decode(answer.body, LotPage) if isinstance(answer, Answer) else None
            if page is not None and answer.status == 200:
                tries = 0
                reading.results.extend(page.results)
                progress = LotProgress(len(reading.results), len(lot.samples))
                self._samples_told(progress)
                if not reading.done and deadline.remaining <= 0:
                    return self._expired(reading, "deadline")
                continue
            failure = refusal(answer)
            if isinstance(failure, CallRejected):
                return failure
            tries += 1
            self._progress(f"reading of results failed: {failure.reason}")
            if not self._entries.wait(tries, failure.retry_after, deadline):
                return self._expired(reading, failure.reason)
        outcomes = {result.sample: _decode_result(result) for result in reading.results}
        return LotAnswered(outcomes, self._entries.address)

    def _fetch_page(
        self, lot: Lot, after: int, deadline: Deadline
    ) -> Answer | NotSent | Unanswered:
        wait = max(0.0, min(MAX_WAIT_SECONDS, deadline.remaining))
        names = "/".join(quote(name, safe="") for name in (self._trainer, lot.lot))
        path = f"{LOTS_PATH}/{names}?after={after}&wait={wait:.3f}"
        return self._entries.call("GET", path, None, wait + GRACE_SECONDS + 1.0)

    def _expired(self, reading: _LotReading, reason: str) -> LotExpired:
        return LotExpired(reason, len(reading.lot.samples) - len(reading.results))


def _decode_result(result: SampleResult) -> SampleOutcome:
    if result.kind != "completed":
        return GivenUp()
    return Completed(result.text, result.versions, result.score)


def _encode_lot(trainer: str, lot: Lot, timeout: float) -> LotBody:
    return LotBody(
        trainer=trainer,
        lot=lot.lot,
        route=lot.route,
        model=lot.model,
        samples=[_encode_sample(sample) for sample in lot.samples],
        version=lot.version,
        bound=lot.bound,
        wanted_groups=lot.wanted_groups,
        timeout=timeout,
    )


def _encode_sample(sample: Sample) -> SampleBody:
    return SampleBody(
        sample=sample.sample,
        payload=sample.payload,
        group=sample.group,
        max_tokens=sample.max_tokens,
        reward_call=_encode_reward(sample.reward_call),
    )


def _encode_reward(call: RewardCall | None) -> RewardBody | None:
    return RewardBody(call.route, call.path, call.payload) if call else None
