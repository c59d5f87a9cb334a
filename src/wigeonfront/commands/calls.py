"""Calls to entries, which the operators' commands make."""

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from wigeonfront.http.client import Answer, NotSent, Pool, Unanswered
from wigeonfront.settings import OperatorSettings


@dataclass(frozen=True, slots=True)
class Response:
    """An entry's answer.

    Attributes
    ----------
    entry : str
        Address of the entry.
    status : int
        HTTP status.
    data : Any
        The body's JSON data, or its text where it is not JSON.
    """

    entry: str
    status: int
    data: Any

    @property
    def successful(self) -> bool:
        """Whether the HTTP status is 2xx."""
        return 200 <= self.status < 300

    @property
    def explanation(self) -> str:
        """The entry's explanation of a failure, as one line of text."""
        if not isinstance(self.data, dict):
            return f"HTTP {self.status}: {self.data}"
        parts = (self.data.get(name) for name in ("error", "reason", "detail"))
        return ": ".join(str(part) for part in parts if part) or f"HTTP {self.status}"


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No entry received the call."""

    reason: str


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The call was sent, but no complete answer came; it may have taken effect."""

    reason: str


def quoted_path(*parts: str) -> str:
    """Return `parts` joined to a path; all but the first are percent-encoded."""
    first, *rest = parts
    return "/".join([first, *(quote(part, safe="") for part in rest)])


def call(
    settings: OperatorSettings, method: str, path: str, body: Any = None
) -> Response | Unreachable | AnswerLost:
    """Call the first entry that can be reached.

    A call other than GET is sent to the next entry only when it is certain that it
    did not arrive at the one before.
    """
    reasons = []
    for address in settings.entry:
        answer = call_entry(str(address), settings.timeout_seconds, method, path, body)
        if isinstance(answer, Response):
            return answer
        reasons.append(f"{address}: {answer.reason}")
        if isinstance(answer, AnswerLost) and method != "GET":
            return AnswerLost(reasons[-1])
    return Unreachable(", ".join(reasons))


def call_entry(
    address: str, timeout: float, method: str, path: str, body: Any = None
) -> Response | Unreachable | AnswerLost:
    """Call the entry at `address`, which must answer within `timeout` seconds."""
    pool = Pool(address)
    answer = pool.call(method, path, body, timeout=timeout)
    pool.close()
    if isinstance(answer, NotSent):
        return Unreachable(answer.reason)
    if isinstance(answer, Unanswered):
        return AnswerLost(answer.reason)
    return Response(address, answer.status, _decode_body(answer))


def _decode_body(answer: Answer) -> Any:
    try:
        return json.loads(answer.body)
    except ValueError:
        return answer.body.decode("utf-8", "replace")[:500]
