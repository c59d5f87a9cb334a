"""Interprets unsuccessful answers: whether the client may retry the call."""

from dataclasses import dataclass
from typing import TypeVar

import msgspec

from wigeonfront.api.messages import ErrorReply
from wigeonfront.http.client import Answer, NotSent, Unanswered

BAD_ANSWER = "bad_answer"
RETRIED_STATUSES = frozenset({408, 429, *range(500, 600)})

Decoded = TypeVar("Decoded")


@dataclass(frozen=True, slots=True)
class CallRejected:
    """The call itself is wrong, and a retry would be rejected as well.

    Attributes
    ----------
    status : int
        HTTP status.
    error : str
        Error code from the entry.
    detail : str
        Explanation from the entry.
    """

    status: int
    error: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class RetryLater:
    """The call failed, but a retry may succeed.

    Attributes
    ----------
    reason : str
    retry_after : float
        Minimum seconds before the retry.
    reached : bool
        ``False`` if the call certainly reached no entry.
    """

    reason: str
    retry_after: float = 0.0
    reached: bool = True


def decode(body: bytes, kind: type[Decoded]) -> Decoded | None:
    """Return `body` decoded as a message of type `kind`; ``None`` if it is invalid."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def refusal(answer: Answer | NotSent | Unanswered) -> RetryLater | CallRejected:
    """Return whether a call without a successful answer may be retried."""
    if not isinstance(answer, Answer):
        return RetryLater(answer.reason, reached=isinstance(answer, Unanswered))
    reply = decode(answer.body, ErrorReply) or ErrorReply(BAD_ANSWER)
    if answer.status in RETRIED_STATUSES:
        return RetryLater(reply.detail or reply.error, answer.retry_after)
    if answer.status < 400:
        return RetryLater(reply.error)
    return CallRejected(answer.status, reply.error, reply.detail)
