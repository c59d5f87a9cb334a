"""Calls of the operators' commands to an entry."""

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
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def words(self) -> str:
        """The entry's explanation of a failure."""
        if not isinstance(self.data, dict):
            return f"HTTP {self.status}: {self.data}"
        parts = (self.data.get(name) for name in ("error", "reason", "detail"))
        return ": ".join(str(part) for part in parts if part) or f"HTTP {self.status}"


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No entry got the call."""

    reason: str


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The call was sent and no whole answer came; it may have taken effect."""

    reason: str


def path_of(*parts: str) -> str:
    """Return a path whose later parts are quoted."""
    first, *rest = parts
    return "/".join([first, *(quote(part, safe="") for part in rest)])


def call(
    settings: OperatorSettings, method: str, path: str, body: Any = None
) -> Response | Unreachable | AnswerLost:
    """Call the first entry that can be reached.

    A call that is not a GET is sent to another entry only if it certainly did not
    arrive at the one before.
    """
    reasons = []
    for address in settings.entry:
        answer = call_one(str(address), settings.timeout_seconds, method, path, body)
        if isinstance(answer, Response):
            return answer
        reasons.append(f"{address}: {answer.reason}")
        if isinstance(answer, AnswerLost) and method != "GET":
            return AnswerLost(reasons[-1])
    return Unreachable(", ".join(reasons))


def call_one(
    address: str, timeout: float, method: str, path: str, body: Any = None
) -> Response | Unreachable | AnswerLost:
    """Call the entry at `address`."""
    pool = Pool(address)
    answer = pool.call(method, path, body, timeout=timeout)
    pool.close()
    if isinstance(answer, NotSent):
        return Unreachable(answer.reason)
    if isinstance(answer, Unanswered):
        return AnswerLost(answer.reason)
    return Response(address, answer.status, _data(answer))


def _data(answer: Answer) -> Any:
    try:
        return json.loads(answer.body)
    except ValueError:
        return answer.body.decode("utf-8", "replace")[:500]
