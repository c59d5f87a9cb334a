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

DEFAULT_PATIENCE_SHARE = 1 / 3
"""Default share of the timeout for which the client waits for one answer to a
repeatable request, because the connection may have gone silent."""

NOT_RUN_STATUSES = frozenset({429, 503})
MIN_TIMEOUT_SECONDS = 0.001


@dataclass(frozen=True, slots=True)
class Request:
    """A single request.

    Attributes
    ----------
    route : str
        Name of the route in the configuration, which says whether its requests are
        idempotent.
    payload : Any
        JSON data that the target gets.
    path : str
        Path below the route's prefix.
    idempotent : bool
        ``False`` if the request may run at most once.
    model : str
        Model of the engine; empty for plain services.
    max_tokens : int
        Expected upper bound of the number of generated tokens; 0 if unknown.
    key : str
        Idempotency key. With a key, the client may send a request that is not
        idempotent again after a lost answer. Without a key, it does so only if the
        request certainly did not run.
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
        """Whether the request may be sent again after a lost answer."""
        return self.idempotent or bool(self.key)


@dataclass(frozen=True, slots=True)
class MintedKey:
    """A new idempotency key.

    Attributes
    ----------
    key : str
    """

    key: str


class RequestClient:
    """Sends single requests.

    Use one instance from one thread; instances are independent.

    Parameters
    ----------
    addresses : sequence of str
        ``host:port`` of the entries, or of the load balancer in front of them.
    clock : Clock, optional
    generator : random.Random, optional
        Random generator for the jitter and the first entry.
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
        clock: Clock | None = None,
        generator: random.Random | None = None,
        api_key: str = "",
    ) -> None:
        self._entries = Entries(addresses, clock or SystemClock(), generator, api_key)

    def close(self) -> None:
        """Close all connections."""
        self._entries.close()

    def mint_key(self) -> MintedKey:
        """Return an idempotency key that has not been used before."""
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
            Longest time in seconds for which the client waits for an answer before it
            sends a repeatable request again; a third of `timeout` by default.

        Returns
        -------
        Outcome or CallRejected
            `NotRun` only if no send of the request in this call can have run.
        """
        deadline = Deadline(self._entries.clock, timeout)
        patience = patience or timeout * DEFAULT_PATIENCE_SHARE
        unknown_reason = ""
        for tries in count(1):
            answer = self._send(request, deadline, patience)
            end = _outcome_of(answer)
            if isinstance(end, Unknown):
                unknown_reason = unknown_reason or end.reason
            if not _may_retry(request, end, unknown_reason):
                return _final_outcome(end, unknown_reason)
            retry_after = getattr(end, "retry_after", 0.0)
            if not self._entries.wait(tries, retry_after, deadline):
                return _final_outcome(end, unknown_reason)

    def _send(
        self, request: Request, deadline: Deadline, patience: float
    ) -> Answer | NotSent | Unanswered:
        left = max(deadline.remaining, MIN_TIMEOUT_SECONDS)
        wait = min(left, patience) if request.repeatable else left
        headers = {REQUEST_HEADER: uuid.uuid4().hex[:16]}
        if request.key:
            headers[IDEMPOTENCY_HEADER] = request.key
        # With a key, the request goes on at the entry after this client stops waiting.
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


def _outcome_of(answer: Answer | NotSent | Unanswered) -> Outcome | CallRejected:
    if isinstance(answer, NotSent):
        return NotRun(answer.reason, 0.0)
    if isinstance(answer, Unanswered):
        return Unknown(answer.reason)
    reply = decode(answer.body, RequestReply)
    if reply is not None:
        return _decode_outcome(reply.outcome)
    failure = refusal(answer)
    if isinstance(failure, CallRejected):
        return failure
    if answer.status in NOT_RUN_STATUSES and failure.reason != BAD_ANSWER:
        return NotRun(failure.reason, answer.retry_after)
    # A proxy between client and entry may have answered after it forwarded the call.
    return Unknown(failure.reason)


def _decode_outcome(body: OutcomeBody) -> Outcome:
    if body.kind == "completed":
        return Completed(body.payload)
    if body.kind == "not_run":
        return NotRun(body.reason, body.retry_after)
    if body.kind == "failed":
        return Failed(body.reason, body.status)
    if body.kind == "expired":
        return Expired(body.retry_after)
    return Unknown(body.reason)


def _may_retry(
    request: Request, end: Outcome | CallRejected, unknown_reason: str
) -> bool:
    if isinstance(end, NotRun):
        return request.repeatable or not unknown_reason
    return isinstance(end, Unknown | Expired) and request.repeatable


def _final_outcome(
    end: Outcome | CallRejected, unknown_reason: str
) -> Outcome | CallRejected:
    """Return `end`, or `Unknown` if an earlier send of the request may have run."""
    return (
        Unknown(unknown_reason) if unknown_reason and isinstance(end, NotRun) else end
    )
