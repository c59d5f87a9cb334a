"""`RequestClient`: sends single requests."""

import random
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count
from typing import Any

from wigeonfront.api.messages import OutcomeBody, RequestBody, RequestReply
from wigeonfront.api.requests import IDEMPOTENCY_HEADER, REQUEST_HEADER, REQUESTS_PATH
from wigeonfront.client.entries import GRACE_SECONDS, Deadline, Entries
from wigeonfront.client.refusal import BAD_ANSWER, CallRejected, decode, refusal
from wigeonfront.clock import Clock, SystemClock
from wigeonfront.http.client import Answer, NotSent, Unanswered
from wigeonfront.outcomes import Completed, Expired, Failed, NotRun, Outcome, Unknown

PATIENCE_SHARE = 1 / 3
"""Share of its time for which one send of a repeatable request is waited for: a
connection may have gone silent."""

NOT_TAKEN_STATUSES = frozenset({429, 503})
SHORTEST_TIMEOUT = 0.001


@dataclass(frozen=True, slots=True)
class Request:
    """One request.

    Attributes
    ----------
    route : str
        By its name in the configuration; it says whether requests are idempotent.
    payload : Any
        JSON data.
    path : str
        Below the route's prefix.
    idempotent : bool
        ``False``: it may run at most once.
    model : str
        Of an engine; empty for plain services.
    max_tokens : int
        Most tokens that an engine generates; 0 for its own bound.
    key : str
        Idempotency key. With it a request that is not idempotent may be sent
        again when its answer is lost; without, only when it certainly didn't run.
    """

    route: str
    payload: Any = None
    path: str = ""
    idempotent: bool = True
    model: str = ""
    max_tokens: int = 0
    key: str = ""

    @property
    def repeatable(self) -> bool:
        """Whether it may be sent again after a lost answer."""
        return self.idempotent or bool(self.key)


@dataclass(frozen=True, slots=True)
class MintedKey:
    """An idempotency key that was never given before."""

    key: str


class RequestClient:
    """Sends single requests.

    Use one instance from one thread; instances are independent.

    Parameters
    ----------
    addresses : sequence of str
        ``host:port`` of the entries, or of the balancer before them.
    clock : Clock, optional
    generator : random.Random, optional
        Source of the jitter.
    api_key : str, optional
        Of the client account.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        clock: Clock | None = None,
        generator: random.Random | None = None,
        api_key: str = "",
    ) -> None:
        self._entries = Entries(addresses, clock or SystemClock(), generator, api_key)

    def close(self) -> None:
        """Close all connections."""
        self._entries.close()

    def mint_key(self) -> MintedKey:
        """Return an idempotency key that was never given before."""
        return MintedKey(uuid.uuid4().hex)

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
            Longest wait for one answer, in seconds, before a repeatable request is
            sent again; a third of `timeout` by default.

        Returns
        -------
        Outcome or CallRejected
            `NotRun` only if no send of this call can have run.
        """
        deadline = Deadline(self._entries.clock, timeout)
        patience = patience or timeout * PATIENCE_SHARE
        doubt = ""
        for tries in count(1):
            answer = self._send(request, deadline, patience)
            end = _end(answer)
            if isinstance(end, Unknown):
                doubt = doubt or end.reason
            if not _may_repeat(request, end, doubt):
                return _with_doubt(end, doubt)
            pause = getattr(end, "retry_after", 0.0)
            if not self._entries.wait(tries, pause, deadline):
                return _with_doubt(end, doubt)

    def _send(
        self, request: Request, deadline: Deadline, patience: float
    ) -> Answer | NotSent | Unanswered:
        left = max(deadline.remaining, SHORTEST_TIMEOUT)
        wait = min(left, patience) if request.repeatable else left
        headers = {REQUEST_HEADER: uuid.uuid4().hex[:16]}
        if request.key:
            headers[IDEMPOTENCY_HEADER] = request.key
        # A keyed request goes on at its entry though this wait for it ends.
        body = RequestBody(
            request.route,
            request.path,
            request.payload,
            left,
            request.model,
            request.max_tokens,
        )
        return self._entries.call(
            "POST", REQUESTS_PATH, body, wait + GRACE_SECONDS, headers
        )


def _end(answer: Answer | NotSent | Unanswered) -> Outcome | CallRejected:
    if isinstance(answer, NotSent):
        return NotRun(answer.reason, 0.0)
    if isinstance(answer, Unanswered):
        return Unknown(answer.reason)
    reply = decode(answer.body, RequestReply)
    if reply is not None:
        return _outcome(reply.outcome)
    end = refusal(answer)
    if isinstance(end, CallRejected):
        return end
    if answer.status in NOT_TAKEN_STATUSES and end.reason != BAD_ANSWER:
        return NotRun(end.reason, answer.retry_after)
    # Something between client and entry answered; it may have passed the call on.
    return Unknown(end.reason)


def _outcome(body: OutcomeBody) -> Outcome:
    if body.kind == "completed":
        return Completed(body.payload)
    if body.kind == "not_run":
        return NotRun(body.reason, body.retry_after)
    if body.kind == "failed":
        return Failed(body.reason, body.status)
    if body.kind == "expired":
        return Expired(body.retry_after)
    return Unknown(body.reason)


def _may_repeat(request: Request, end: Outcome | CallRejected, doubt: str) -> bool:
    if isinstance(end, NotRun):
        return request.repeatable or not doubt
    return isinstance(end, Unknown | Expired) and request.repeatable


def _with_doubt(end: Outcome | CallRejected, doubt: str) -> Outcome | CallRejected:
    """Return `end`, made to say that an earlier send may have run."""
    return Unknown(doubt) if doubt and isinstance(end, NotRun) else end
