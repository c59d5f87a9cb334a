"""Answers that settle nothing, and those that reject the call."""

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
class Again:
    """A try that settled nothing: come back, no sooner than `retry_after`.

    Attributes
    ----------
    reason : str
    retry_after : float
        Seconds.
    reached : bool
        ``False`` when the call certainly reached no entry.
    """

    reason: str
    retry_after: float = 0.0
    reached: bool = True


def decode(body: bytes, kind: type[Decoded]) -> Decoded | None:
    """Return `body` as a message of `kind`, or ``None`` when it isn't one."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def refusal(answer: Answer | NotSent | Unanswered) -> Again | CallRejected:
    """Return what an answer without a usable body means."""
    if not isinstance(answer, Answer):
        return Again(answer.reason, reached=isinstance(answer, Unanswered))
    reply = decode(answer.body, ErrorReply) or ErrorReply(BAD_ANSWER)
    if answer.status in RETRIED_STATUSES:
        return Again(reply.detail or reply.error, answer.retry_after)
    if answer.status < 400:
        return Again(reply.error)
    return CallRejected(answer.status, reply.error, reply.detail)
