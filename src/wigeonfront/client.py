"""Clients: `TrainerClient` for Lots and `RequestClient` for ordinary requests.

Both try the entries in turn and never wait longer than the deadline that they were
given, by more than `GRACE_SECONDS`. A refusal's ``Retry-After`` is honoured: the
next try comes no sooner, plus a random share of a growing pause (full jitter).
When that would be past the deadline, the refusal is returned at once. How a call
ends is a value.

Examples
--------
>>> trainer = TrainerClient(["127.0.0.1:7700"], "trainer-1")
>>> sample = Sample("frame-1", {"frame": 1})
>>> lot = Lot("step-1", "judge-llm", "scoring", version=7, samples=(sample,))
>>> answer = trainer.submit_lot(lot, timeout=300)  # doctest: +SKIP
>>> if isinstance(answer, LotAnswered):  # doctest: +SKIP
...     train(answer.outcomes)
...     trainer.acknowledge(lot)
"""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import count
from typing import Any
from urllib.parse import quote

import msgspec

from wigeonfront.clock import Clock, SystemClock
from wigeonfront.http import Answer, Lost, NotSent, Pool
from wigeonfront.messages import (
    ErrorReply,
    LotAcknowledgement,
    LotBody,
    LotReply,
    LotSample,
    RequestBody,
    RequestReply,
    from_wire,
)
from wigeonfront.outcomes import Expired, NotRun, Outcome, Unknown

LOTS_PATH = "/v1/lots"
ACKNOWLEDGE_PATH = "/v1/lots/acknowledge"
IDEMPOTENCY_HEADER = "Idempotency-Key"

# The entry answers at the deadline; its answer needs a moment to arrive.
GRACE_SECONDS = 0.5
FIRST_PAUSE = 0.05
LONGEST_PAUSE = 2.0
ACKNOWLEDGE_SECONDS = 30.0
ACKNOWLEDGE_TRY_SECONDS = 3.0
# Of a Lot's deadline, how long one POST may stay silent.
PATIENCE_SHARE = 1 / 3
BAD_ANSWER = "bad_answer"
# With an error body: the entry refused the call before it took it.
NOT_TAKEN_STATUSES = frozenset({429, 503})
RETRIED_STATUSES = frozenset({408, 429, *range(500, 600)})


# --- what is asked -----------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Sample:
    """One sample of a Lot.

    Attributes
    ----------
    sample : str
        Identifier, unique within the Lot.
    payload : Any
        JSON data handed to the engine.
    group : str
        Samples of a group share a prompt.
    max_tokens : int
        Most tokens to generate.
    """

    sample: str
    payload: Any = None
    group: str = ""
    max_tokens: int = 64


@dataclass(frozen=True, slots=True)
class Lot:
    """A Lot to submit.

    Attributes
    ----------
    lot : str
        Identifier, never used again by this trainer.
    service, catalogue_entry : str
        Where the samples run and on whose account.
    version : int
        The trainer's present weight version.
    samples : tuple of Sample
    bound : int
        How many versions older than `version` a sample's weights may be.
    first_submission : int
        Number of the first POST. A trainer that has restarted and submits the
        same Lot again gives a number above all that it used before.
    """

    lot: str
    service: str
    catalogue_entry: str
    version: int
    samples: tuple[Sample, ...]
    bound: int = 0
    first_submission: int = 1


# --- how it ends -------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class LotAnswered:
    """The whole Lot is here; acknowledge it once it is safe.

    Attributes
    ----------
    outcomes : dict of str to Outcome
        The outcome of every sample.
    submission : int
        The POST that was answered.
    entry : str
        Address of the entry that answered.
    """

    outcomes: Mapping[str, Outcome]
    submission: int
    entry: str


@dataclass(frozen=True, slots=True)
class LotAlreadyDelivered:
    """The Lot was acknowledged before; nothing is delivered again."""


@dataclass(frozen=True, slots=True)
class LotSuperseded:
    """Somebody posted the same Lot with a higher submission."""

    submission: int


@dataclass(frozen=True, slots=True)
class LotExpired:
    """The deadline passed; finished samples are kept for a later submission.

    Attributes
    ----------
    reason : str
        How the last POST ended.
    missing : int
        Samples that were not finished, as far as an entry said so.
    submissions : int
        Number of the last POST; a later submission takes a higher one.
    """

    reason: str
    missing: int
    submissions: int


@dataclass(frozen=True, slots=True)
class LotRefused:
    """The Lot was refused and the deadline leaves no time for another try.

    Attributes
    ----------
    reason : str
    retry_after : float
        Seconds after which to come back.
    submissions : int
        Number of the last POST.
    """

    reason: str
    retry_after: float
    submissions: int


@dataclass(frozen=True, slots=True)
class CallRejected:
    """The call itself is wrong; to repeat it is of no use.

    Attributes
    ----------
    status : int
        HTTP status.
    error, detail : str
        The entry's words.
    """

    status: int
    error: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The Lot is acknowledged."""


@dataclass(frozen=True, slots=True)
class AcknowledgementUnknown:
    """No entry confirmed in time; acknowledging again is safe."""

    reason: str


LotOutcome = (
    LotAnswered
    | LotAlreadyDelivered
    | LotSuperseded
    | LotExpired
    | LotRefused
    | CallRejected
)
Progress = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class _Again:
    """A try that settled nothing: come back, no sooner than `retry_after`."""

    reason: str
    retry_after: float = 0.0
    missing: int = 0
    refused: bool = False


# --- tries -------------------------------------------------------------------


class _Deadline:
    """The time left for a call, over all its tries."""

    def __init__(self, clock: Clock, seconds: float) -> None:
        self._clock = clock
        self._end = clock.monotonic() + seconds

    @property
    def remaining(self) -> float:
        """Seconds left, negative once passed."""
        return self._end - self._clock.monotonic()


class _Entries:
    """The entries in turn, with the pauses between tries."""

    def __init__(
        self, addresses: Sequence[str], clock: Clock, generator: random.Random | None
    ) -> None:
        if not addresses:
            raise ValueError("no entry address given")
        self._generator = generator or random.Random()
        self._pools = [Pool(str(address)) for address in addresses]
        self._next = self._generator.randrange(len(self._pools))
        self.clock = clock

    @property
    def pool(self) -> Pool:
        """The connections to the entry whose turn it is."""
        return self._pools[self._next]

    def wait(self, tries: int, retry_after: float, deadline: _Deadline) -> bool:
        """Go to the next entry and wait before the next try.

        Parameters
        ----------
        tries : int
            Tries made so far without success.
        retry_after : float
            Least seconds to wait.
        deadline : _Deadline

        Returns
        -------
        bool
            ``False``, without a wait, if the next try would come too late.
        """
        rounds = max(0, tries - len(self._pools))
        ceiling = min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** min(rounds, 10))
        pause = retry_after + self._generator.uniform(0, ceiling)
        if pause >= deadline.remaining:
            return False
        self._next = (self._next + 1) % len(self._pools)
        self.clock.sleep(pause)
        return True

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools:
            pool.close()


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
    """

    def __init__(
        self,
        addresses: Sequence[str],
        trainer: str,
        clock: Clock | None = None,
        generator: random.Random | None = None,
        progress: Progress = lambda words: None,
    ) -> None:
        self._entries = _Entries(addresses, clock or SystemClock(), generator)
        self._trainer = trainer
        self._progress = progress
        self._discarded = 0

    @property
    def discarded(self) -> int:
        """Answers not accepted: cut, or not for this Lot and submission."""
        return self._discarded

    def close(self) -> None:
        """Close all connections."""
        self._entries.close()

    def submit_lot(
        self, lot: Lot, timeout: float = 300.0, patience: float | None = None
    ) -> LotOutcome:
        """Post `lot` until it is answered whole or the deadline passes.

        One POST is open at a time: it has ended, and its connection is closed,
        before the Lot is posted with the next submission number.

        Parameters
        ----------
        lot : Lot
        timeout : float
            Seconds for the whole call.
        patience : float, optional
            Longest wait for the answer to one POST, in seconds; a third of
            `timeout` by default. A Lot that is posted again finds its finished
            samples, so an impatient client wastes little.

        Returns
        -------
        LotOutcome
        """
        deadline = _Deadline(self._entries.clock, timeout)
        patience = patience or timeout * PATIENCE_SHARE
        submission = lot.first_submission
        for tries in count(1):
            body = self._body(lot, submission, max(deadline.remaining, 0.001))
            wait = min(patience, deadline.remaining + GRACE_SECONDS)
            end = self._post(body, wait)
            if not isinstance(end, _Again):
                return end
            self._progress(f"submission {submission}: {end.reason}")
            if not self._entries.wait(tries, end.retry_after, deadline):
                return _give_up(end, submission)
            submission += 1

    def acknowledge(
        self, lot: Lot, timeout: float = ACKNOWLEDGE_SECONDS
    ) -> Acknowledged | AcknowledgementUnknown | CallRejected:
        """Say that `lot` has arrived, until an entry confirms it.

        Acknowledging is idempotent: it may be repeated at any time.
        """
        deadline = _Deadline(self._entries.clock, timeout)
        body = LotAcknowledgement(
            trainer=self._trainer, lot=lot.lot, service=lot.service
        )
        for tries in count(1):
            wait = min(ACKNOWLEDGE_TRY_SECONDS, deadline.remaining + GRACE_SECONDS)
            answer = self._entries.pool.call(
                "POST", ACKNOWLEDGE_PATH, body, timeout=wait
            )
            if isinstance(answer, Answer) and answer.status < 300:
                return Acknowledged()
            end = _refusal(answer)
            if isinstance(end, CallRejected):
                return end
            if not self._entries.wait(tries, end.retry_after, deadline):
                return AcknowledgementUnknown(end.reason)

    def _body(self, lot: Lot, submission: int, timeout: float) -> LotBody:
        samples = [
            LotSample(
                sample=each.sample,
                payload=each.payload,
                group=each.group,
                max_tokens=each.max_tokens,
            )
            for each in lot.samples
        ]
        return LotBody(
            trainer=self._trainer,
            lot=lot.lot,
            submission=submission,
            service=lot.service,
            catalogue_entry=lot.catalogue_entry,
            version=lot.version,
            bound=lot.bound,
            timeout=timeout,
            samples=samples,
        )

    def _post(self, body: LotBody, wait: float) -> LotOutcome | _Again:
        pool = self._entries.pool
        answer = pool.call("POST", LOTS_PATH, body, timeout=wait)
        if not isinstance(answer, Answer):
            return _refusal(answer)
        reply = _decode(answer.body, LotReply)
        if reply is None:
            return _refusal(answer)
        if not _belongs(reply, body):
            self._discarded += 1
            return _Again("foreign_or_cut_answer")
        return _lot_outcome(reply, pool.address, answer.retry_after)


def _decode(body: bytes, kind: type) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError:
        return None


def _belongs(reply: LotReply, body: LotBody) -> bool:
    """Return whether `reply` answers just this POST, and wholly if complete."""
    named = (reply.trainer, reply.lot, reply.submission)
    if named != (body.trainer, body.lot, body.submission):
        return False
    if reply.status != "complete":
        return True
    answered = sorted(each.sample for each in reply.samples)
    return answered == sorted(each.sample for each in body.samples)


def _lot_outcome(
    reply: LotReply, entry: str, header_retry_after: float
) -> LotOutcome | _Again:
    if reply.status == "complete":
        outcomes = {each.sample: from_wire(each.outcome) for each in reply.samples}
        return LotAnswered(outcomes, reply.submission, entry)
    if reply.status == "already_delivered":
        return LotAlreadyDelivered()
    if reply.status == "superseded":
        return LotSuperseded(reply.submission)
    return _Again(
        reply.reason or reply.status,
        max(reply.retry_after, header_retry_after),
        reply.missing,
        refused=reply.status == "not_run",
    )


def _give_up(end: _Again, submission: int) -> LotExpired | LotRefused:
    if end.refused:
        return LotRefused(end.reason, end.retry_after, submission)
    return LotExpired(end.reason, end.missing, submission)


def _refusal(answer: Answer | NotSent | Lost) -> _Again | CallRejected:
    """Return what an answer without a usable body means."""
    if not isinstance(answer, Answer):
        return _Again(answer.reason)
    reply = _decode(answer.body, ErrorReply) or ErrorReply(error=BAD_ANSWER)
    if answer.status in RETRIED_STATUSES:
        return _Again(reply.error, answer.retry_after, refused=True)
    if answer.status < 400:
        return _Again(reply.error)
    return CallRejected(answer.status, reply.error, reply.detail)


# --- ordinary requests -------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Request:
    """One request to a service.

    Attributes
    ----------
    service, catalogue_entry : str
        Where it runs and on whose account.
    payload : Any
        JSON data.
    idempotent : bool
        ``False``: it may run at most once.
    key : str
        Idempotency key. With it a request that is not idempotent may be sent
        again when its answer is lost; without, only when it certainly didn't run.
    first_submission : int
        1, or a higher number when `key` was sent before.
    prefix : str
        Requests of the same prefix share cached prompt tokens.
    max_tokens : int
    """

    service: str
    catalogue_entry: str
    payload: Any = None
    idempotent: bool = True
    key: str = ""
    first_submission: int = 1
    prefix: str = ""
    max_tokens: int = 64

    @property
    def repeatable(self) -> bool:
        """Whether it may be sent again after a lost answer."""
        return self.idempotent or bool(self.key)


class RequestClient:
    """Sends ordinary requests.

    Parameters
    ----------
    addresses : sequence of str
        ``host:port`` of the entries, or of the balancer before them.
    clock : Clock, optional
    generator : random.Random, optional
        Source of the jitter.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        clock: Clock | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self._entries = _Entries(addresses, clock or SystemClock(), generator)

    def close(self) -> None:
        """Close all connections."""
        self._entries.close()

    def call(
        self, request: Request, timeout: float = 30.0, patience: float | None = None
    ) -> Outcome | CallRejected:
        """Send `request` until it has an outcome or the deadline passes.

        Parameters
        ----------
        request : Request
        timeout : float
            Seconds for the whole call.
        patience : float, optional
            Longest wait for one answer, in seconds, before the request is sent
            again if it may be; the whole of `timeout` by default.

        Returns
        -------
        Outcome or CallRejected
            `NotRun` only if no submission of this call can have run.
        """
        deadline = _Deadline(self._entries.clock, timeout)
        doubt = ""
        submission = request.first_submission
        slot_epoch = 0
        for tries in count(1):
            answer = self._send(request, submission, slot_epoch, deadline, patience)
            end = _request_end(answer)
            doubt = doubt or _doubt(end)
            if not isinstance(end, NotRun) or end.warning:
                # Until a submission may have run, the next is as good as the first.
                submission += 1
            if not _may_repeat(request, end, doubt):
                return _with_doubt(end, doubt)
            slot_epoch = _slot_epoch(end, submission)
            retry_after = 0.0 if slot_epoch else _retry_after(answer, end)
            if not self._entries.wait(tries, retry_after, deadline):
                return _with_doubt(end, doubt)

    def _send(
        self,
        request: Request,
        submission: int,
        slot_epoch: int,
        deadline: _Deadline,
        patience: float | None,
    ) -> Answer | NotSent | Lost:
        body = RequestBody(
            payload=request.payload,
            catalogue_entry=request.catalogue_entry,
            idempotent=request.idempotent,
            timeout=max(deadline.remaining, 0.001),
            submission=submission if request.key else 0,
            slot_epoch=slot_epoch,
            prefix=request.prefix,
            max_tokens=request.max_tokens,
        )
        wait = deadline.remaining + GRACE_SECONDS
        if patience is not None and request.repeatable:
            wait = min(wait, patience)
        headers = {IDEMPOTENCY_HEADER: request.key} if request.key else None
        if not request.repeatable:
            # A kept connection may have been closed by the other end meanwhile,
            # and the request would then be lost without need.
            self._entries.pool.reset()
        return self._entries.pool.call(
            "POST", request_path(request.service), body, headers, wait
        )


def request_path(service: str) -> str:
    """Return the path to which requests for `service` are posted."""
    return f"/v1/services/{quote(service, safe='')}/requests"


def _request_end(answer: Answer | NotSent | Lost) -> Outcome | CallRejected:
    if isinstance(answer, NotSent):
        return NotRun(answer.reason, 0.0)
    if isinstance(answer, Lost):
        return Unknown(answer.reason)
    reply = _decode(answer.body, RequestReply)
    if reply is not None:
        return from_wire(reply.outcome)
    refusal = _refusal(answer)
    if isinstance(refusal, CallRejected):
        return refusal
    if answer.status in NOT_TAKEN_STATUSES and refusal.reason != BAD_ANSWER:
        return NotRun(refusal.reason, answer.retry_after)
    # Something between client and entry answered; it may have passed the call on.
    return Unknown(refusal.reason)


def _doubt(end: Outcome | CallRejected) -> str:
    """Return why a submission may have run, or an empty string."""
    if isinstance(end, Unknown):
        return end.reason
    return end.warning if isinstance(end, NotRun) else ""


def _slot_epoch(end: Outcome | CallRejected, submission: int) -> int:
    """Return the number that proves a first submission to be newer than a loss."""
    return end.slot_epoch if isinstance(end, NotRun) and submission == 1 else 0


def _retry_after(answer: Answer | NotSent | Lost, end: Any) -> float:
    header = answer.retry_after if isinstance(answer, Answer) else 0.0
    return max(header, getattr(end, "retry_after", 0.0))


def _may_repeat(request: Request, end: Outcome | CallRejected, doubt: str) -> bool:
    if isinstance(end, NotRun):
        return request.repeatable or not doubt
    return isinstance(end, Unknown) and request.repeatable


def _with_doubt(end: Outcome | CallRejected, doubt: str) -> Outcome | CallRejected:
    """Return `end`, made to say that an earlier submission may have run."""
    if doubt and isinstance(end, NotRun):
        return Unknown(doubt)
    if doubt and isinstance(end, Expired):
        return replace(end, started=True)
    return end
