"""Calls between entries about a Lot: its submission to its owner, results, its end.

An entry that does not own a Lot asks the owner, which answers from memory and can wait
for a result, in place of asking the store again and again.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.http.client import Answer
from wigeonfront.http.pools import Pools
from wigeonfront.http.raw import RawCall
from wigeonfront.observability.logs import event
from wigeonfront.rollout.lot import Lot, SampleResult
from wigeonfront.rollout.progress import count_fitting

logger = logging.getLogger(__name__)

RESULTS_PATH = "/lot-results"
OK = 200
NOT_OWNED = 404

CONNECT_SECONDS = 0.25
ANSWER_SECONDS = 0.5
"""How much longer than it asked to a reader waits before it asks the store."""

MAX_WAIT_SECONDS = 2.0

ANSWER_BYTES = 1_000_000
"""Text in one answer: what a reader is given at once."""

SUBMISSION_PATH = "/lot-submissions"
SUBMISSION_SECONDS = 0.5
"""Longest wait for another entry to keep a Lot, ten times what it takes."""

AVOID_SECONDS = 2.0
"""How long an entry that has kept no Lot when asked is not asked again: about the term
of the lease by which it counts as alive."""

MAX_SUBMISSION_BYTES = 64 * 1024 * 1024

END_PATH = "/lot-ends"
END_SECONDS = 0.5
"""Longest wait for the owner to end a Lot, ten times what it takes."""


class ResultCall(msgspec.Struct, frozen=True):
    """A reading of results from position `after` on, which may wait for one."""

    lot: str
    after: int
    wait: float


@dataclass(frozen=True, slots=True)
class OwnedResults:
    """What the owner has kept from the asked position on.

    Attributes
    ----------
    total : int
        Number of samples.
    results : list of SampleResult
    whole : bool
        They end where a batch of the store ends: nothing was left out for its size,
        and nothing is on the spool alone.
    """

    total: int
    results: list[SampleResult]
    whole: bool = True


@dataclass(frozen=True, slots=True)
class ResultsInDoubt:
    """There may be results at the asked position that this process can't show.

    Others may have read them, so that a page without results would be wrong.
    """

    reason: str


class ResultServer:
    """Answers other entries about Lots that are or were owned here.

    Parameters
    ----------
    read : callable
        Returns a Lot's results from a position on, waiting for one if asked to, or
        ``None`` where they are not all known here.
    """

    def __init__(self, read: Callable[[str, int, float], OwnedResults | None]) -> None:
        self._read = read

    def answer(self, call: RawCall) -> None:
        """Answer one call over HTTP."""
        try:
            asked = msgspec.json.decode(call.body(65_536), type=ResultCall)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            event(logger, "bad_owner_call", reason=str(error)[:200])
            call.reply(400)
            return
        wait = min(asked.wait, MAX_WAIT_SECONDS)
        found = self._read(asked.lot, asked.after, wait)
        if found is None:
            call.reply(NOT_OWNED)
            return
        count = count_fitting(found.results, ANSWER_BYTES)
        whole = found.whole and count == len(found.results)
        part = OwnedResults(found.total, found.results[:count], whole)
        call.reply(OK, msgspec.msgpack.encode(part))


class SubmissionAnswer(msgspec.Struct, frozen=True):
    """Whether the asked entry has kept the Lot; if not, another one may try."""

    kept: bool


class SubmissionServer:
    """Takes Lots that other entries have received.

    Parameters
    ----------
    submit : callable
        Keeps a Lot and owns it; returns whether it is kept.
    """

    def __init__(self, submit: Callable[[Lot], bool]) -> None:
        self._submit = submit

    def answer(self, call: RawCall) -> None:
        """Answer one call over HTTP."""
        try:
            lot = msgspec.msgpack.decode(call.body(MAX_SUBMISSION_BYTES), type=Lot)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            event(logger, "bad_submission", reason=str(error)[:200])
            call.reply(400)
            return
        kept = self._submit(lot)
        call.reply(OK, msgspec.msgpack.encode(SubmissionAnswer(kept)))


class EndServer:
    """Ends Lots that are owned here.

    Parameters
    ----------
    end : callable
        Ends a Lot; returns whether its end is kept.
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
    """Asks owners.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pools = Pools(CONNECT_SECONDS)
        self._avoided: dict[str, float] = {}

    def is_avoided(self, address: str) -> bool:
        """Tell whether an entry has lately kept no Lot when asked."""
        return self._clock.monotonic() < self._avoided.get(address, 0.0)

    def submit(self, address: str, lot: Lot) -> bool:
        """Ask another entry to keep a Lot and to own it.

        Returns
        -------
        bool
            ``False`` where it has not, or may have: the Lot is then kept here, which
            changes nothing if it is there already.
        """
        body = msgspec.msgpack.encode(lot)
        answer = self._pools.post(address, SUBMISSION_PATH, body, SUBMISSION_SECONDS)
        reason = ""
        if not isinstance(answer, Answer):
            reason = answer.reason
        elif answer.status != OK:
            reason = f"status {answer.status}"
        elif not _is_kept(answer):
            reason = "not kept"
        if reason:
            self._avoided[address] = self._clock.monotonic() + AVOID_SECONDS
            event(logger, "owner_declined", lot=lot.id, owner=address, reason=reason)
        return not reason

    def end(self, address: str, lot_id: str) -> bool:
        """Ask the owner to end a Lot; return whether its end is kept."""
        body = msgspec.msgpack.encode(lot_id)
        answer = self._pools.post(address, END_PATH, body, END_SECONDS)
        return isinstance(answer, Answer) and answer.status == OK

    def read(
        self, address: str, lot_id: str, after: int, wait: float
    ) -> OwnedResults | None:
        """Return the owner's kept results; ``None`` if it can't tell."""
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


def _is_kept(answer: Answer) -> bool:
    try:
        return msgspec.msgpack.decode(answer.body, type=SubmissionAnswer).kept
    except msgspec.DecodeError:
        return False
