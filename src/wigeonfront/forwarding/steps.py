"""What follows the outcome of one send: another target, or an end; pure functions."""

from dataclasses import dataclass
from functools import singledispatch

from wigeonfront.forwarding.attempt import (
    Answered,
    Broken,
    CallerGone,
    NotExecuted,
    Outcome,
    TimedOut,
)
from wigeonfront.targets.circuit import Evidence

SERVER_ERROR = 500
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

RETRY_AFTER_SECONDS = 0.2
"""When a caller may come back after a refusal: about the time in which a registration
or the end of a short queue is known."""

SILENT_SECONDS = 0.6
"""Wait from which no answer speaks against a target: several times the work of a plain
service that is slowed by much."""

PATIENCE_SHARE = 0.5
"""Share of the time left for which a request that may be repeated waits for one target
while it may be sent to another: a target that takes requests and falls silent would
otherwise use up all of a route's time, and the caller gets a 504."""

PATIENCE_FACTOR = 4.0
"""Multiple of a target's usual time that it is waited for in any case: where a whole
service is slow from too much work, leaving a target would only double the work."""

LEAST_RETRY_SECONDS = 0.02
"""Time that another send needs at least; less is not worth a target's work."""


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
    """Answer with a status of our own.

    Attributes
    ----------
    status : int
    reason : str
    retry_after : float
        Seconds; 0 to give none.
    """

    status: int
    reason: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class DropRequest:
    """The caller has gone; nobody is to be answered."""


Step = Retry | ReturnAnswer | Fail | DropRequest


@dataclass(frozen=True, slots=True)
class SendState:
    """A request's situation after a send.

    Attributes
    ----------
    repeatable : bool
    sends_left : int
        Targets that it may still be sent to.
    seconds_left : float
        Until its answer is due.
    may_have_run : bool
        An earlier send may have run.
    """

    repeatable: bool
    sends_left: int
    seconds_left: float
    may_have_run: bool = False

    @property
    def may_send(self) -> bool:
        """Whether there is room for another send."""
        return self.sends_left > 0 and self.seconds_left > LEAST_RETRY_SECONDS


def most_wait(state: SendState, latency: float) -> float:
    """Return the seconds for which the next send may wait for its answer.

    Parameters
    ----------
    latency : float
        Smoothed seconds that the target takes for an answer; 0 if unknown.
    """
    if not state.repeatable or state.sends_left <= 1:
        return state.seconds_left
    patience = max(PATIENCE_SHARE * state.seconds_left, PATIENCE_FACTOR * latency)
    return min(patience, state.seconds_left)


@singledispatch
def next_step(outcome: Outcome, state: SendState) -> Step:
    """Return what follows `outcome`."""
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
    """Return the end of a request that no target can take now.

    503 promises that the request has not run, so it is said only where no send may
    have run.

    Parameters
    ----------
    retry_after : float
        Seconds after which the caller may come back.
    """
    if may_have_run:
        return Fail(BAD_GATEWAY, reason)
    return Fail(UNAVAILABLE, reason, retry_after)


@singledispatch
def health_evidence(outcome: Outcome) -> Evidence:
    """Return what `outcome` says about the health of its target."""
    raise TypeError(f"not an outcome: {outcome!r}")


@health_evidence.register
def _(outcome: Answered) -> Evidence:
    return "failure" if outcome.status >= SERVER_ERROR else "success"


@health_evidence.register
def _(outcome: NotExecuted) -> Evidence:
    # A target that answers is alive, if full; one that can't be reached is not.
    return "none" if outcome.status else "failure"


@health_evidence.register
def _(outcome: Broken) -> Evidence:
    return "failure"


@health_evidence.register
def _(outcome: TimedOut) -> Evidence:
    # A caller's or a route's time may be shorter than the work takes.
    return "failure" if outcome.waited >= SILENT_SECONDS else "none"


@health_evidence.register
def _(outcome: CallerGone) -> Evidence:
    return "none"
