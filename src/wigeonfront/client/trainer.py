"""`TrainerClient`: submits and acknowledges Lots."""

import random
from collections.abc import Callable, Sequence
from itertools import count
from urllib.parse import quote

from wigeonfront.client.entries import GRACE_SECONDS, Deadline, Entries
from wigeonfront.client.lot import (
    Acknowledged,
    AcknowledgementUnknown,
    Lot,
    LotAlreadyDelivered,
    LotAnswered,
    LotExpired,
    LotOutcome,
    LotRefused,
    LotSuperseded,
    LotUnreached,
)
from wigeonfront.client.refusal import Again, CallRejected, decode, refusal
from wigeonfront.client.watch import (
    CONNECTION_SILENT,
    CallWatch,
    LotProgress,
    WatchSettings,
)
from wigeonfront.clock import Clock, SystemClock
from wigeonfront.http import Answer, Lost, NotSent
from wigeonfront.messages import (
    RECORDS_LOST,
    LotAcknowledgement,
    LotBody,
    LotReply,
    LotSample,
    ProgressReply,
    from_wire,
)

LOTS_PATH = "/v1/lots"
ACKNOWLEDGE_PATH = "/v1/lots/acknowledge"

ACKNOWLEDGE_SECONDS = 30.0
ACKNOWLEDGE_TRY_SECONDS = 3.0
# Of a Lot's deadline, how long one POST may be open.
PATIENCE_SHARE = 1 / 3
SHORTEST_TIMEOUT = 0.001

Words = Callable[[str], None]


def _ignore(told: object) -> None:
    """Take no notice of progress."""


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
        Told of the `LotProgress` about every second while a POST is open.
    watch : WatchSettings, optional
        How a connection that has gone silent is noticed.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        trainer: str,
        clock: Clock | None = None,
        generator: random.Random | None = None,
        progress: Words = _ignore,
        samples_told: Callable[[LotProgress], None] = _ignore,
        watch: WatchSettings | None = None,
    ) -> None:
        self._entries = Entries(addresses, clock or SystemClock(), generator)
        self._trainer = trainer
        self._progress = progress
        self._samples_told = samples_told
        self._watch = watch or WatchSettings()
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
        deadline = Deadline(self._entries.clock, timeout)
        patience = patience or timeout * PATIENCE_SHARE
        submission = lot.first_submission
        watch = self._watch
        reached = False
        for tries in count(1):
            remaining = max(deadline.remaining, SHORTEST_TIMEOUT)
            body = _lot_body(self._trainer, lot, submission, remaining)
            wait = min(patience, deadline.remaining + GRACE_SECONDS)
            end = self._post(body, wait, watch)
            if not isinstance(end, Again):
                return end
            reached = reached or end.reached
            self._progress(f"submission {submission}: {end.reason}")
            if not self._entries.wait(tries, end.retry_after, deadline, end.at_once):
                return _give_up(end, submission, reached)
            if end.reason == CONNECTION_SILENT:
                watch = watch.slower
            submission += 1

    def acknowledge(
        self, lot: Lot, timeout: float = ACKNOWLEDGE_SECONDS
    ) -> Acknowledged | AcknowledgementUnknown | CallRejected:
        """Say that `lot` has arrived, until an entry confirms it.

        Acknowledging is idempotent: it may be repeated at any time.
        """
        deadline = Deadline(self._entries.clock, timeout)
        body = LotAcknowledgement(
            trainer=self._trainer, lot=lot.lot, service=lot.service
        )
        for tries in count(1):
            wait = min(ACKNOWLEDGE_TRY_SECONDS, deadline.remaining + GRACE_SECONDS)
            answer = self._entries.entry.call("POST", ACKNOWLEDGE_PATH, body, wait)
            if isinstance(answer, Answer) and answer.status < 300:
                return Acknowledged()
            end = refusal(answer)
            if isinstance(end, CallRejected):
                return end
            if not self._entries.wait(tries, end.retry_after, deadline):
                return AcknowledgementUnknown(end.reason)

    def _post(
        self, body: LotBody, wait: float, settings: WatchSettings
    ) -> LotOutcome | Again:
        answer = self._answer(body, wait, settings)
        if not isinstance(answer, Answer):
            return refusal(answer)
        reply = decode(answer.body, LotReply)
        if reply is None:
            return refusal(answer)
        if not _belongs(reply, body):
            self._discarded += 1
            return Again("foreign_or_cut_answer")
        return _lot_outcome(reply, self._entries.entry.address, answer.retry_after)

    def _answer(
        self, body: LotBody, wait: float, settings: WatchSettings
    ) -> Answer | NotSent | Lost:
        """Post `body` on a connection of its own, closed in any case."""
        entry = self._entries.entry
        call = entry.connection()
        failed = call.send("POST", LOTS_PATH, body, {})
        if failed is not None:
            return failed

        def told(reply: ProgressReply) -> None:
            progress = LotProgress(body.submission, reply.finished, reply.missing)
            self._samples_told(progress)

        clock = self._entries.clock
        watch = CallWatch(entry, progress_path(body), settings, clock, told)
        try:
            return watch.answer(call, wait)
        finally:
            call.close()


def progress_path(body: LotBody) -> str:
    """Return where the progress of this very POST is asked."""
    trainer, lot = (quote(name, safe="") for name in (body.trainer, body.lot))
    return f"{LOTS_PATH}/{trainer}/{lot}?submission={body.submission}"


def _lot_body(trainer: str, lot: Lot, submission: int, timeout: float) -> LotBody:
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
        trainer=trainer,
        lot=lot.lot,
        submission=submission,
        service=lot.service,
        catalogue_entry=lot.catalogue_entry,
        version=lot.version,
        bound=lot.bound,
        timeout=timeout,
        samples=samples,
    )


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
) -> LotOutcome | Again:
    if reply.status == "complete":
        outcomes = {each.sample: from_wire(each.outcome) for each in reply.samples}
        return LotAnswered(outcomes, reply.submission, entry)
    if reply.status == "already_delivered":
        return LotAlreadyDelivered()
    if reply.status == "superseded":
        return LotSuperseded(reply.submission)
    if reply.reason == RECORDS_LOST:
        # The entry can say nothing of this submission; of the next one it can.
        return Again(reply.reason, missing=reply.missing, at_once=True)
    return Again(
        reply.reason or reply.status,
        max(reply.retry_after, header_retry_after),
        reply.missing,
        refused=reply.status == "not_run",
    )


def _give_up(
    end: Again, submission: int, reached: bool
) -> LotExpired | LotRefused | LotUnreached:
    if not reached:
        return LotUnreached(end.reason, submission)
    if end.refused:
        return LotRefused(end.reason, end.retry_after, submission)
    return LotExpired(end.reason, end.missing, submission)
