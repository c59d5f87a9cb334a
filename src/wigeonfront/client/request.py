"""`RequestClient`: sends ordinary requests."""

import random
import uuid
from collections.abc import Sequence
from dataclasses import dataclass, replace
from itertools import count
from typing import Any
from urllib.parse import quote

from wigeonfront.client.entries import GRACE_SECONDS, Deadline, Entries
from wigeonfront.client.refusal import BAD_ANSWER, CallRejected, decode, refusal
from wigeonfront.client.watch import (
    CONNECTION_SILENT,
    CallWatch,
    WatchSettings,
    wait_unwatched,
)
from wigeonfront.clock import Clock, SystemClock
from wigeonfront.http import Answer, Lost, NotSent
from wigeonfront.messages import (
    KeyBody,
    KeyReply,
    RequestBody,
    RequestReply,
    from_wire,
)
from wigeonfront.outcomes import Expired, NotRun, Outcome, Unknown

IDEMPOTENCY_HEADER = "Idempotency-Key"
REQUEST_HEADER = "X-Request-Id"
REQUESTS_PATH = "/v1/requests"

# With an error body: the entry refused the call before it took it.
NOT_TAKEN_STATUSES = frozenset({429, 503})
MINT_TRY_SECONDS = 2.0
# A question takes about as much CPU as a request: ask less often than of a Lot.
CHECK_SECONDS = 2.0
SHORTEST_TIMEOUT = 0.001


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
        1, or a higher number when `key` was sent before. The client raises it once a
        submission may have run.
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


@dataclass(frozen=True, slots=True)
class MintedKey:
    """An idempotency key that was never given before."""

    key: str


class RequestClient:
    """Sends ordinary requests.

    Use one instance from one thread; instances are independent.

    Parameters
    ----------
    addresses : sequence of str
        ``host:port`` of the entries, or of the balancer before them.
    clock : Clock, optional
    generator : random.Random, optional
        Source of the jitter.
    watch : WatchSettings, optional
        How a connection that has gone silent is noticed, for requests that may be
        sent again.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        clock: Clock | None = None,
        generator: random.Random | None = None,
        watch: WatchSettings | None = None,
    ) -> None:
        self._entries = Entries(addresses, clock or SystemClock(), generator)
        self._watch = watch or WatchSettings(check_seconds=CHECK_SECONDS)

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
        deadline = Deadline(self._entries.clock, timeout)
        submission = _Submission(request.first_submission)
        watch = self._watch
        doubt = ""
        for tries in count(1):
            answer = self._send(request, submission, deadline, patience, watch)
            end = _request_end(answer)
            doubt = doubt or _doubt(end)
            submission = submission.after(end)
            if not _may_repeat(request, end, doubt):
                return _with_doubt(end, doubt)
            pause = 0.0 if submission.slot_epoch else _retry_after(answer, end)
            if not self._entries.wait(tries, pause, deadline):
                return _with_doubt(end, doubt)
            if answer == Lost(CONNECTION_SILENT):
                watch = watch.slower

    def mint_key(
        self, service: str, catalogue_entry: str, timeout: float = 5.0
    ) -> MintedKey | NotRun | CallRejected:
        """Ask for an idempotency key that was never given before.

        A request with it runs at once even where the records of its key's owner
        were lost before it was minted, also when its submissions aren't numbered.

        Parameters
        ----------
        service, catalogue_entry : str
            Of the request that is to carry the key.
        timeout : float
            Seconds for the whole call.

        Returns
        -------
        MintedKey, NotRun or CallRejected
            `NotRun` when no entry gave a key in time.
        """
        deadline = Deadline(self._entries.clock, timeout)
        body = KeyBody(catalogue_entry=catalogue_entry)
        for tries in count(1):
            wait = min(MINT_TRY_SECONDS, deadline.remaining + GRACE_SECONDS)
            answer = self._entries.entry.call("POST", keys_path(service), body, wait)
            end = _minted(answer)
            if not isinstance(end, NotRun):
                return end
            if not self._entries.wait(tries, end.retry_after, deadline):
                return end

    def _send(
        self,
        request: Request,
        submission: "_Submission",
        deadline: Deadline,
        patience: float | None,
        settings: WatchSettings,
    ) -> Answer | NotSent | Lost:
        wait = deadline.remaining + GRACE_SECONDS
        if patience is not None and request.repeatable:
            wait = min(wait, patience)
        body = _request_body(request, submission, deadline.remaining)
        headers = {REQUEST_HEADER: uuid.uuid4().hex[:16]}
        if request.key:
            headers[IDEMPOTENCY_HEADER] = request.key
        entry = self._entries.entry
        # A kept connection may have been closed by the other end meanwhile, and a
        # request that can't be repeated would then be lost without need.
        call = entry.connection(fresh=not request.repeatable)
        failed = call.send("POST", request_path(request.service), body, headers)
        if failed is not None:
            return failed
        if request.repeatable:
            path = f"{REQUESTS_PATH}/{headers[REQUEST_HEADER]}"
            watch = CallWatch(entry, path, settings, self._entries.clock)
            answer = watch.answer(call, wait)
        else:
            answer = wait_unwatched(call, wait)
        if isinstance(answer, Answer):
            entry.keep(call)
        return answer


@dataclass(frozen=True, slots=True)
class _Submission:
    """Number of a submission, and the proof that its key is newer than a loss."""

    number: int
    slot_epoch: int = 0

    def after(self, end: Outcome | CallRejected) -> "_Submission":
        """Return the next submission.

        Until one may have run, the next is as good as the first.
        """
        if not isinstance(end, NotRun) or end.warning:
            return _Submission(self.number + 1)
        first = self.number == 1
        return _Submission(self.number, end.slot_epoch if first else 0)


def _request_body(
    request: Request, submission: _Submission, remaining: float
) -> RequestBody:
    return RequestBody(
        payload=request.payload,
        catalogue_entry=request.catalogue_entry,
        idempotent=request.idempotent,
        timeout=max(remaining, SHORTEST_TIMEOUT),
        submission=submission.number if request.key else 0,
        slot_epoch=submission.slot_epoch,
        prefix=request.prefix,
        max_tokens=request.max_tokens,
    )


def _minted(answer: Answer | NotSent | Lost) -> MintedKey | NotRun | CallRejected:
    reply = decode(answer.body, KeyReply) if isinstance(answer, Answer) else None
    if reply is not None:
        return MintedKey(reply.key)
    end = refusal(answer)
    if isinstance(end, CallRejected):
        return end
    return NotRun(end.reason, end.retry_after)


def keys_path(service: str) -> str:
    """Return the path at which keys for `service` are minted."""
    return f"/v1/services/{quote(service, safe='')}/keys"


def request_path(service: str) -> str:
    """Return the path to which requests for `service` are posted."""
    return f"/v1/services/{quote(service, safe='')}/requests"


def _request_end(answer: Answer | NotSent | Lost) -> Outcome | CallRejected:
    if isinstance(answer, NotSent):
        return NotRun(answer.reason, 0.0)
    if isinstance(answer, Lost):
        return Unknown(answer.reason)
    reply = decode(answer.body, RequestReply)
    if reply is not None:
        return from_wire(reply.outcome)
    end = refusal(answer)
    if isinstance(end, CallRejected):
        return end
    if answer.status in NOT_TAKEN_STATUSES and end.reason != BAD_ANSWER:
        return NotRun(end.reason, answer.retry_after)
    # Something between client and entry answered; it may have passed the call on.
    return Unknown(end.reason)


def _doubt(end: Outcome | CallRejected) -> str:
    """Return why a submission may have run, or an empty string."""
    if isinstance(end, Unknown):
        return end.reason
    return end.warning if isinstance(end, NotRun) else ""


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
