"""Sends one reward call to one target and returns its outcome."""

from dataclasses import dataclass
from functools import singledispatch
from typing import Protocol

from wigeonfront.forwarding.attempt import (
    Answered,
    Broken,
    CallerGone,
    ForwardRequest,
    NotExecuted,
    Outcome,
    Superseded,
    TimedOut,
)
from wigeonfront.forwarding.forwarder import Forwarder
from wigeonfront.forwarding.guard import NO_GUARD, RequestGuard
from wigeonfront.forwarding.handle import CallHandle
from wigeonfront.rollout.lot import RewardCall
from wigeonfront.targets.views import TargetView

SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class Scored:
    """The target returned a score.

    Attributes
    ----------
    score : str
    framed : bool
        The answer had a length or chunks, so that a cut-off answer is noticed.
    """

    score: str
    framed: bool = True


@dataclass(frozen=True, slots=True)
class CallFailed:
    """The target answered with a failure, which counts as a failed attempt."""

    reason: str


@dataclass(frozen=True, slots=True)
class CallRefused:
    """The target did not execute the call."""

    reason: str


@dataclass(frozen=True, slots=True)
class CallBroken:
    """No usable answer arrived."""

    reason: str


@dataclass(frozen=True, slots=True)
class CallCancelled:
    """The call was cancelled, as the score is no longer needed."""

    reason: str = ""


CallOutcome = Scored | CallFailed | CallRefused | CallBroken | CallCancelled


class RewardProtocol(Protocol):
    """Format of reward calls; implemented by the platform's adapter."""

    def reward_request(self, call: RewardCall) -> ForwardRequest:
        """Return the request to a target for a sample's score."""

    def score(self, answer: Answered) -> str:
        """Return the score in a target's answer; empty if there is none."""


class RewardCaller:
    """Sends reward calls through the forwarder that plain requests use.

    Parameters
    ----------
    forwarder : Forwarder
    protocol : RewardProtocol
    guard : RequestGuard, optional
        Delays and isolates the calls under which targets crashed.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        protocol: RewardProtocol,
        guard: RequestGuard = NO_GUARD,
    ) -> None:
        self._forwarder = forwarder
        self._protocol = protocol
        self._guard = guard

    def send(
        self,
        call: RewardCall,
        view: TargetView,
        deadline: float,
        run_seconds: float,
        handle: CallHandle,
    ) -> CallOutcome:
        """Send `call` to one target.

        Parameters
        ----------
        call : RewardCall
        view : TargetView
            The target.
        deadline : float
            Monotonic time at which the wait for an answer ends.
        run_seconds : float
            Time that the target may spend on the call.
        handle : CallHandle
            Allows other threads to cancel the call.
        """
        request = self._protocol.reward_request(call)
        with self._guard.accepted_run(request, view.target) as blocked:
            if blocked:
                return CallRefused("quarantined")
            outcome = self._forwarder.send(
                request, view, deadline, run_seconds=run_seconds, handle=handle
            )
        if handle.cancelled:
            return CallCancelled()
        if isinstance(outcome, Answered):
            return self._read(outcome)
        return _without_answer(outcome)

    def _read(self, answer: Answered) -> CallOutcome:
        score = self._protocol.score(answer)
        if score:
            return Scored(score, answer.framed)
        if answer.status == SERVER_ERROR:
            return CallFailed(f"status {answer.status}")
        return CallBroken(f"status {answer.status}")


@singledispatch
def _without_answer(outcome: Outcome) -> CallOutcome:
    raise TypeError(f"not an outcome: {outcome!r}")


@_without_answer.register
def _(outcome: NotExecuted) -> CallOutcome:
    return CallRefused(outcome.reason)


@_without_answer.register
def _(outcome: Broken) -> CallOutcome:
    return CallBroken(outcome.reason)


@_without_answer.register
def _(outcome: TimedOut) -> CallOutcome:
    return CallBroken("timeout")


@_without_answer.register
def _(outcome: CallerGone | Superseded) -> CallOutcome:
    return CallCancelled()
