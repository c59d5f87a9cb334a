"""Calls between entries about a Lot: its submission, its results and its end.

An entry that does not own a Lot asks the owner, which answers from memory and can wait
for a result, instead of polling the store.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.http.client import Answer, NotSent
from wigeonfront.http.pools import Pools
from wigeonfront.http.raw import RawCall
from wigeonfront.observability.logs import event
from wigeonfront.rollout.lot import Lot, SampleResult
from wigeonfront.rollout.lot_answers import Accepted, LotRefused, LotUncertain
from wigeonfront.rollout.progress import count_fitting

logger = logging.getLogger(__name__)

RESULTS_PATH = "/lot-results"
OK = 200
NOT_OWNED = 404

CONNECT_SECONDS = 0.25
ANSWER_SECONDS = 0.5
"""Time for which a reader waits beyond the wait that it asked for. Then it reads the
store."""

MAX_WAIT_SECONDS = 2.0
"""Longest time for which the owner waits for a result."""

ANSWER_BYTES = 1_000_000
"""Text in one answer to a reader."""

SUBMISSION_PATH = "/lot-submissions"
SUBMISSION_SECONDS = 0.5
"""Timeout of the submission of a Lot to another entry: ten times what it takes."""

AVOID_SECONDS = 2.0
"""Time for which an entry that has not accepted a Lot is not asked again: about the
duration of the lease by which it counts as alive."""

MAX_SUBMISSION_BYTES = 64 * 1024 * 1024

END_PATH = "/lot-ends"
END_SECONDS = 0.5
"""Timeout of the call that ends a Lot: ten times what it takes."""


class ResultCall(msgspec.Struct, frozen=True):
    """A request for the results from position `after` on.

    Attributes
    ----------
    lot : str
        Id of the Lot.
    after : int
    wait : float
        Longest time, in seconds, to wait for a result.
    """

    lot: str
    after: int
    wait: float


@dataclass(frozen=True, slots=True)
class OwnedResults:
    """The results that the owner shows, from the requested position on.

    Attributes
    ----------
    total : int
        Number of samples.
    results : list of SampleResult
    whole : bool
        Whether the results end where a batch in the store ends: none was left out for
        its size, and none is on the spool alone.
    """

    total: int
    results: list[SampleResult]
    whole: bool = True


@dataclass(frozen=True, slots=True)
class ResultsInDoubt:
    """There may be results at the requested position that this process can't show.

    Other readers may have read them, so that a page without results would be wrong.
    """

    reason: str


class ResultServer:
    """Answers other entries with the results of Lots that this process owns or owned.

    Parameters
    ----------
    read : callable
        Returns the results of a Lot from a position on, and waits for a result for the
        given seconds. Returns ``None`` if this process does not know them all.
    """

    def __init__(self, read: Callable[[str, int, float], OwnedResults | None]) -> None:
        self._read = read

    def answer(self, call: RawCall) -> None:
        """Answer one call over HTTP."""
        try:
            request = msgspec.json.decode(call.body(65_536), type=ResultCall)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            event(logger, "bad_owner_call", reason=str(error)[:200])
            call.reply(400)
            return
        wait = min(request.wait, MAX_WAIT_SECONDS)
        found = self._read(request.lot, request.after, wait)
        if found is None:
            call.reply(NOT_OWNED)
            return
        count = count_fitting(found.results, ANSWER_BYTES)
        whole = found.whole and count == len(found.results)
        part = OwnedResults(found.total, found.results[:count], whole)
        call.reply(OK, msgspec.msgpack.encode(part))


class SubmissionAnswer(msgspec.Struct, frozen=True):
    """Whether the called entry has accepted the Lot; if not, another one may do so.

    Attributes
    ----------
    kept : bool
    in_doubt : bool
        Whether the Lot may be stored although it is not accepted.
    refused_for : str
        Reason for which the engines can't serve the Lot, so that no other entry should
        accept it either; empty if that is not why it is not kept.
    retry_after : float
        Seconds after which the trainer may submit a refused Lot again.
    """

    kept: bool
    in_doubt: bool = False
    refused_for: str = ""
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class NotTaken:
    """The called entry has certainly not stored the Lot, and another one may."""

    reason: str


Submitted = Accepted | LotRefused | LotUncertain | NotTaken
"""Outcome of a submission to another entry; `LotRefused` only for capacity."""


class SubmissionServer:
    """Accepts Lots that other entries have received.

    Parameters
    ----------
    submit : callable
        Accepts a Lot and owns it.
    """

    def __init__(self, submit: Callable[[Lot], Submitted]) -> None:
        self._submit = submit

    def answer(self, call: RawCall) -> None:
        """Answer one call over HTTP."""
        try:
            lot = msgspec.msgpack.decode(call.body(MAX_SUBMISSION_BYTES), type=Lot)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            event(logger, "bad_submission", reason=str(error)[:200])
            call.reply(400)
            return
        outcome = encode_submitted(self._submit(lot))
        call.reply(OK, msgspec.msgpack.encode(outcome))


@singledispatch
def encode_submitted(outcome: Submitted) -> SubmissionAnswer:
    """Return the answer that tells another entry an outcome."""
    raise TypeError(f"not an outcome of a submission: {outcome!r}")


@encode_submitted.register
def _(outcome: Accepted) -> SubmissionAnswer:
    # A Lot that the store had already may run elsewhere, or have ended.
    return SubmissionAnswer(kept=not outcome.already_kept)


@encode_submitted.register
def _(outcome: LotUncertain) -> SubmissionAnswer:
    return SubmissionAnswer(kept=False, in_doubt=True)


@encode_submitted.register
def _(outcome: NotTaken) -> SubmissionAnswer:
    return SubmissionAnswer(kept=False)


@encode_submitted.register
def _(outcome: LotRefused) -> SubmissionAnswer:
    if not outcome.for_capacity:
        return SubmissionAnswer(kept=False)
    return SubmissionAnswer(
        kept=False, refused_for=outcome.reason, retry_after=outcome.retry_after
    )


def decode_submitted(answer: Answer) -> Submitted:
    """Return the outcome that another entry, perhaps of an older build, has told."""
    if answer.status != OK:
        return NotTaken(f"status {answer.status}")
    try:
        told = msgspec.msgpack.decode(answer.body, type=SubmissionAnswer)
    except msgspec.DecodeError as error:
        return LotUncertain(f"bad answer: {error}")
    if told.kept:
        return Accepted()
    if told.in_doubt:
        return LotUncertain("in doubt at its owner")
    if told.refused_for:
        return LotRefused(told.refused_for, told.retry_after, for_capacity=True)
    return NotTaken("not kept")


class EndServer:
    """Ends Lots that this process owns.

    Parameters
    ----------
    end : callable
        Ends a Lot; returns whether the store has its end.
    """

    def __init__(self, end: Callable[[str], bool]) -> None:
        self._end = end

    def answer(self, call: RawCall) -> None:
        """Answer one call over HTTP."""
        try:
            lot_id = msgspec.msgpack.decode(call.body(65_536), type=str)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            event(logger, "bad_end_call", reason=str(error)[:200])
            call.reply(400)
            return
        call.reply(OK if self._end(lot_id) else NOT_OWNED)


class OwnerClient:
    """Sends calls to the entries that own Lots or should own them.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pools = Pools(CONNECT_SECONDS)
        self._avoided: dict[str, float] = {}

    def avoids(self, address: str) -> bool:
        """Return whether an entry has recently not accepted a Lot when asked."""
        return self._clock.monotonic() < self._avoided.get(address, 0.0)

    def submit(self, address: str, lot: Lot) -> Submitted:
        """Ask another entry to accept a Lot and to own it.

        If that entry neither accepts nor refuses the Lot, the caller accepts the Lot
        itself, which changes nothing if the store has the Lot already.
        """
        body = msgspec.msgpack.encode(lot)
        answer = self._pools.post(address, SUBMISSION_PATH, body, SUBMISSION_SECONDS)
        outcome: Submitted
        if isinstance(answer, Answer):
            outcome = decode_submitted(answer)
        elif isinstance(answer, NotSent):
            outcome = NotTaken(answer.reason)
        else:
            outcome = LotUncertain(answer.reason)
        if isinstance(outcome, NotTaken | LotUncertain):
            self._avoided[address] = self._clock.monotonic() + AVOID_SECONDS
            event(
                logger,
                "owner_declined",
                lot=lot.id,
                owner=address,
                reason=outcome.reason,
            )
        return outcome

    def end(self, address: str, lot_id: str) -> bool:
        """Ask the owner to end a Lot; return whether the store has its end."""
        body = msgspec.msgpack.encode(lot_id)
        answer = self._pools.post(address, END_PATH, body, END_SECONDS)
        return isinstance(answer, Answer) and answer.status == OK

    def read(
        self, address: str, lot_id: str, after: int, wait: float
    ) -> OwnedResults | None:
        """Return the results that the owner shows; ``None`` if it gives no answer."""
        body = msgspec.json.encode(ResultCall(lot_id, after, wait))
        seconds = wait + ANSWER_SECONDS
        answer = self._pools.post(address, RESULTS_PATH, body, seconds)
        if not isinstance(answer, Answer) or answer.status != OK:
            event(logger, "owner_lost", lot=lot_id, owner=address)
            return None
        try:
            return msgspec.msgpack.decode(answer.body, type=OwnedResults)
        except msgspec.DecodeError as error:
            event(logger, "bad_owner_answer", owner=address, reason=str(error))
            return None
