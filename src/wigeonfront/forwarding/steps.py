"""Decides what follows the outcome of one send: a retry or an end; pure functions."""

from dataclasses import dataclass
from functools import singledispatch

from wigeonfront.forwarding.attempt import (
    Answered,
    Broken,
    CallerGone,
    NotExecuted,
    Outcome,
    Superseded,
    TimedOut,
)
from wigeonfront.targets.circuit import Evidence

SERVER_ERROR = 500
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

RETRY_AFTER_SECONDS = 0.2
"""Seconds after which a caller may retry a refused request: about the time until a new
registration, or the end of a short queue, is known."""

UNRESPONSIVE_SECONDS = 0.6
"""Wait from which a timeout counts as a failure of the target: several times the work
of a plain service that is slowed down considerably."""

PATIENCE_SHARE = 0.5
"""Share of the remaining time for which a request that may be repeated waits for one
target while it may still be sent to another. A target that accepts requests and never
answers would otherwise use up the whole timeout of a route, and the caller would get a
504."""

PATIENCE_FACTOR = 4.0
"""Multiple of a target's usual latency for which a request waits in any case: if a
whole service is slow because of overload, giving up on a target would only double the
work."""

MIN_RETRY_SECONDS = 0.02
"""Minimum remaining time for a retry; with less, it is not worth a target's work."""


@dataclass(frozen=True, slots=True)
class Retry:
    """Send the request to another target."""

    reason: str


@dataclass(frozen=True, slots=True)
class ReturnAnswer:
    """Return the target's answer."""

    answer: Answered


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer with an error status that this process chooses.

    Attributes
    ----------
    status : int
    reason : str
    retry_after : float
        Seconds for the ``Retry-After`` header; 0 for no header.
    """

    status: int
    reason: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class DropRequest:
    """Send no answer, because the caller has closed its connection."""


Step = Retry | ReturnAnswer | Fail | DropRequest


@dataclass(frozen=True, slots=True)
class SendState:
    """State of a request before or after a send.

    Attributes
    ----------
    repeatable : bool
        Whether the request may run more than once.
    sends_left : int
        Number of further targets to which the request may be sent.
    seconds_left : float
        Seconds until the answer is due.
    may_have_run : bool
        Whether the request may have run in any send so far.
    """

    repeatable: bool
    sends_left: int
    seconds_left: float
    may_have_run: bool = False

    @property
    def may_send(self) -> bool:
        """Whether sends and time are left for another send."""
        return self.sends_left > 0 and self.seconds_left > MIN_RETRY_SECONDS


def max_wait(state: SendState, latency: float) -> float:
    """Return the seconds for which the next send may wait for its answer.

    Parameters
    ----------
    latency : float
        Smoothed latency of the target, in seconds; 0 if unknown.
    """
    if not state.repeatable or state.sends_left <= 1:
        return state.seconds_left
    patience = max(PATIENCE_SHARE * state.seconds_left, PATIENCE_FACTOR * latency)
    return min(patience, state.seconds_left)


@singledispatch
def next_step(outcome: Outcome, state: SendState) -> Step:
    """Return the step that follows `outcome`."""
    raise TypeError(f"not an outcome: {outcome!r}")


@next_step.register
def _(outcome: Answered, state: SendState) -> Step:
    if outcome.status >= SERVER_ERROR and state.repeatable and state.may_send:
        return Retry(f"status {outcome.status}")
    return ReturnAnswer(outcome)


@next_step.register
def _(outcome: NotExecuted, state: SendState) -> Step:
    if state.may_send:
        return Retry(outcome.reason)
    return refusal(outcome.reason, state.may_have_run)


@next_step.register
def _(outcome: Broken, state: SendState) -> Step:
    if state.repeatable and state.may_send:
        return Retry(outcome.reason)
    return Fail(BAD_GATEWAY, outcome.reason)


@next_step.register
def _(outcome: TimedOut, state: SendState) -> Step:
    if state.repeatable and state.may_send:
        return Retry("timeout")
    return Fail(GATEWAY_TIMEOUT, "timeout")


@next_step.register
def _(outcome: CallerGone, state: SendState) -> Step:
    return DropRequest()


def refusal(
    reason: str, may_have_run: bool, retry_after: float = RETRY_AFTER_SECONDS
) -> Fail:
    """Return the failure of a request that cannot be sent to any target now.

    Status 503 promises that the request has not run, so it is used only if no send may
    have run.

    Parameters
    ----------
    retry_after : float
        Seconds after which the caller may retry.
    """
    if may_have_run:
        return Fail(BAD_GATEWAY, reason)
    return Fail(UNAVAILABLE, reason, retry_after)


@singledispatch
def health_evidence(outcome: Outcome) -> Evidence:
    """Return the evidence that `outcome` gives about the health of its target."""
    raise TypeError(f"not an outcome: {outcome!r}")


@health_evidence.register
def _(outcome: Answered) -> Evidence:
    return "failure" if outcome.status >= SERVER_ERROR else "success"


@health_evidence.register
def _(outcome: NotExecuted) -> Evidence:
    # A target that answers with a refusal is alive, even if it is at capacity. One that
    # cannot be reached has failed.
    return "none" if outcome.status else "failure"


@health_evidence.register
def _(outcome: Broken) -> Evidence:
    return "failure"


@health_evidence.register
def _(outcome: TimedOut) -> Evidence:
    # The timeout of a caller or a route may be shorter than the work takes.
    return "failure" if outcome.waited >= UNRESPONSIVE_SECONDS else "none"


@health_evidence.register
def _(outcome: CallerGone) -> Evidence:
    return "none"


@health_evidence.register
def _(outcome: Superseded) -> Evidence:
    return "none"
