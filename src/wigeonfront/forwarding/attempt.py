"""A request to one target, and the possible outcomes of sending it.

Whether a request may be sent again depends on whether it may have run, so the type of
the outcome says so: after `NotExecuted` it certainly did not run, after `Broken` it may
have run.
"""

from dataclasses import dataclass, field

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A caller's request in the form in which it is sent to a target.

    Attributes
    ----------
    id : str
        Id of the attempt, which the target repeats in its answer.
    method, target : str
        Method and request target (path and query) as the caller sent them.
    headers : tuple of pairs
    body : bytes
    repeatable : bool
        Whether the request may run more than once.
    account : str
        Client account on whose behalf the request is made; empty for none.
    priority : int or None
        Rank at an engine, where 0 runs first; ``None`` leaves the rank to the engine.
    """

    id: str
    method: str
    target: str
    headers: Headers
    body: bytes = field(repr=False)
    repeatable: bool = False
    account: str = ""
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Answered:
    """The target has answered, and its whole answer was read.

    Attributes
    ----------
    status : int
    headers : tuple of pairs
    body : bytes
    framed : bool
        Whether the answer delimits its own body. Otherwise the body ended with the
        close of the connection.
    """

    status: int
    headers: Headers
    body: bytes = field(repr=False)
    framed: bool = True


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The request certainly did not run at the target.

    Attributes
    ----------
    reason : str
    status : int
        Status of the target's answer; 0 if the target was not reached.
    replaced : bool
        Whether another incarnation of the target answered, because the one that the
        request was meant for is gone.
    """

    reason: str
    status: int = 0
    replaced: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
    """No complete answer arrived; the request may have run.

    Attributes
    ----------
    reason : str
    lost : bool
        Whether the connection was closed or reset before the answer was complete.
    cut_off : bool
        Whether that happened after the answer's first byte, or was done by this
        process. Otherwise the target may just have closed an idle connection.
    """

    reason: str
    lost: bool = False
    cut_off: bool = False


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller no longer waits, so the connection to the target was closed."""


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No answer arrived before the deadline; the request may have run.

    Attributes
    ----------
    waited : float
        Seconds between the start of the send and the end of the wait.
    """

    waited: float = 0.0


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another send of the request was answered first, so this one was ended.

    The request may have run.
    """


Outcome = Answered | NotExecuted | Broken | CallerGone | TimedOut | Superseded
