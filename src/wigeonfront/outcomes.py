"""Outcomes of attempts and requests, as values.

Every request ends in exactly one of the first five classes below; `http_status`
says how each is told to a caller. An attempt may also end as `Interrupted`.
"""

from dataclasses import dataclass
from functools import singledispatch
from typing import Any


@dataclass(frozen=True, slots=True)
class VersionSpan:
    """A range of tokens and the weight version that produced it.

    Attributes
    ----------
    version : int
        Weight version; a later version is a larger number.
    start, end : int
        Token positions, ``start`` inclusive and ``end`` exclusive.
    """

    version: int
    start: int
    end: int


@dataclass(frozen=True, slots=True)
class Completed:
    """The target ran the request and the answer is whole.

    Attributes
    ----------
    payload : Any
        The target's answer, JSON data.
    versions : tuple of VersionSpan
        Every weight version that took part; empty for a plain service.
    target : str
        Name of the target that finished it.
    """

    payload: Any
    versions: tuple[VersionSpan, ...] = ()
    target: str = ""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run on any target.

    Attributes
    ----------
    reason : str
        A short machine-readable word, such as ``overloaded``.
    retry_after : float
        Seconds after which the caller may come back.
    warning : str
        Says what is not certain about *earlier* submissions of the same key.
    slot_epoch : int
        Where records of earlier keys are lost: a caller that has never sent its
        key before says so with this number. 0 elsewhere.
    """

    reason: str
    retry_after: float = 1.0
    warning: str = ""
    slot_epoch: int = 0


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run; it is not run again.

    Attributes
    ----------
    reason : str
        What was lost.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The target ran the request and reported an error.

    Attributes
    ----------
    reason : str
        The target's error.
    status : int
        HTTP status that the target gave, or 502.
    """

    reason: str
    status: int = 502


@dataclass(frozen=True, slots=True)
class Expired:
    """The deadline passed. `started` says whether a target had begun.

    Attributes
    ----------
    started : bool
        ``False`` means that the request certainly did not run.
    retry_after : float
        Seconds after which the caller may come back.
    """

    started: bool
    retry_after: float = 1.0


@dataclass(frozen=True, slots=True)
class Interrupted:
    """A generation ended early; what it produced can be resumed elsewhere.

    It travels between the system's processes and never to a caller.

    Attributes
    ----------
    reason : str
        ``cancelled``, ``stream_cut`` or ``preempted``.
    tokens : tuple
        Tokens produced so far.
    versions : tuple of VersionSpan
        Which versions produced them.
    """

    reason: str
    tokens: tuple[Any, ...] = ()
    versions: tuple[VersionSpan, ...] = ()


Outcome = Completed | NotRun | Unknown | Failed | Expired | Interrupted


@singledispatch
def http_status(outcome: Outcome) -> int:
    """Return the HTTP status that tells `outcome` to a caller.

    Parameters
    ----------
    outcome : Outcome
        The end of a request.

    Returns
    -------
    int
        200 completed, 503 not run, 409 unknown, 504 expired, or the target's
        own status for a failure.
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


@http_status.register
def _(outcome: Interrupted) -> int:
    return 502
