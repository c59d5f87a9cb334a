"""Outcomes of requests and of samples.

Every request has exactly one of the outcomes `Completed`, `NotRun`, `Unknown`, `Failed`
and `Expired`; `http_status` returns the HTTP status by which a caller learns of it. The
outcome of a sample is `Completed` or `GivenUp`.
"""

from dataclasses import dataclass
from functools import singledispatch
from typing import Any


@dataclass(frozen=True, slots=True)
class Completed:
    """The target ran the request and its answer is complete.

    Attributes
    ----------
    payload : Any
        The target's answer: JSON data, or the text of a sample.
    versions : tuple of int
        The weight versions that generated the answer; empty for a plain service.
    score : str
        Result of the sample's reward call; empty where the sample has none.
    """

    payload: Any
    versions: tuple[int, ...] = ()
    score: str = ""


@dataclass(frozen=True, slots=True)
class GivenUp:
    """The sample was given up: it failed too often, or its time had passed."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run on any target; this is certain.

    Attributes
    ----------
    reason : str
    retry_after : float
        Seconds after which the caller may retry.
    """

    reason: str
    retry_after: float = 1.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run; the service does not repeat it.

    Attributes
    ----------
    reason : str
        What was lost, such as the connection to the target.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The target ran the request and reported an error.

    Attributes
    ----------
    reason : str
        The error that the target reported.
    status : int
        HTTP status of the target's answer.
    """

    reason: str
    status: int = 500


@dataclass(frozen=True, slots=True)
class Expired:
    """The deadline passed; a target may have started to run the request.

    Attributes
    ----------
    retry_after : float
        Seconds after which the caller may retry.
    """

    retry_after: float = 1.0


Outcome = Completed | NotRun | Unknown | Failed | Expired


@singledispatch
def http_status(outcome: Outcome) -> int:
    """Return the HTTP status by which a caller learns of `outcome`.

    Returns
    -------
    int
        200 for `Completed`, 503 for `NotRun`, 409 for `Unknown`, 504 for `Expired`,
        and the target's own status for `Failed`.

    Raises
    ------
    TypeError
        When `outcome` is no request outcome.
    """
    raise TypeError(f"not an outcome: {outcome!r}")


@http_status.register
def _(outcome: Completed) -> int:
    return 200


@http_status.register
def _(outcome: NotRun) -> int:
    return 503


@http_status.register
def _(outcome: Unknown) -> int:
    return 409


@http_status.register
def _(outcome: Failed) -> int:
    return outcome.status


@http_status.register
def _(outcome: Expired) -> int:
    return 504
