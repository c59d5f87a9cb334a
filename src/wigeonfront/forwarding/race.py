"""Sends a request to one target, and to a second one if the first is slow.

The first send runs in the caller's thread, which needs no further thread unless a
second send is made.
"""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

from wigeonfront.forwarding.attempt import Answered, Broken, CallerGone, Outcome
from wigeonfront.forwarding.handle import CallHandle
from wigeonfront.forwarding.slow_wait import SlowWait
from wigeonfront.forwarding.steps import SERVER_ERROR
from wigeonfront.observability.logs import event
from wigeonfront.targets.views import TargetView

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class SendPlan:
    """A send that is to be made.

    Attributes
    ----------
    view : TargetView
        The target.
    until : float
        Monotonic time at which the wait for the answer ends, in seconds.
    """

    view: TargetView
    until: float


@dataclass(frozen=True, slots=True)
class Sent:
    """A send that has ended."""

    view: TargetView
    outcome: Outcome


SendTo = Callable[[SendPlan, CallHandle, SlowWait | None], Outcome]


class Race:
    """Up to two sends of one request, of which the first whole answer is used.

    Parameters
    ----------
    send : callable
        Sends the request as planned and returns the outcome.
    """

    def __init__(self, send: SendTo) -> None:
        self._send = send
        self._first_handle = CallHandle()
        self._second_handle = CallHandle()
        self._second_plan: SendPlan | None = None
        self._second_outcome: Outcome = Broken("send failed")
        self._second_ended = threading.Event()

    @property
    def second_plan(self) -> SendPlan | None:
        """The second send; ``None`` if there was none."""
        return self._second_plan

    def run(
        self,
        first: SendPlan,
        slow_at: float,
        plan_second: Callable[[], SendPlan | None],
    ) -> list[Sent]:
        """Send the request and return the sends that decide how it goes on.

        A send that is ended because the other one was answered is reset at once. If the
        caller has gone, both are.

        Parameters
        ----------
        first : SendPlan
        slow_at : float
            Monotonic time, in seconds, at which `plan_second` is called if the first
            send is still without an answer.
        plan_second : callable
            Returns the second send, or ``None`` for none.
        """
        slow = SlowWait(slow_at, lambda: self._start_second(plan_second()))
        outcome: Outcome = CallerGone()
        try:
            outcome = self._send(first, self._first_handle, slow)
        finally:
            if ends_request(outcome):
                self._end_second(outcome)
        sent = Sent(first.view, outcome)
        if self._second_plan is None or ends_request(outcome):
            return [sent]
        self._second_ended.wait()
        return [sent, Sent(self._second_plan.view, self._second_outcome)]

    def _end_second(self, first: Outcome) -> None:
        if is_usable(first):
            self._second_handle.supersede()
        else:
            self._second_handle.cancel()

    def _start_second(self, plan: SendPlan | None) -> None:
        if plan is None:
            return
        thread = threading.Thread(
            target=self._run_second, args=(plan,), name="second-send", daemon=True
        )
        try:
            thread.start()
        except RuntimeError as error:
            # The process has no thread left, so only the first send is awaited.
            event(
                logger,
                "second_send_failed",
                level=logging.ERROR,
                target=plan.view.target.id,
                reason=repr(error),
            )
            return
        self._second_plan = plan

    def _run_second(self, plan: SendPlan) -> None:
        try:
            self._second_outcome = self._send(plan, self._second_handle, None)
        except Exception as error:
            event(
                logger,
                "second_send_failed",
                level=logging.ERROR,
                target=plan.view.target.id,
                reason=repr(error),
            )
        finally:
            self._second_ended.set()
        if is_usable(self._second_outcome):
            self._first_handle.supersede()
        elif isinstance(self._second_outcome, CallerGone):
            # The first send may still wait for a connection, without watching the
            # caller.
            self._first_handle.cancel()


def is_usable(outcome: Outcome) -> bool:
    """Return whether `outcome` is an answer other than a server error."""
    return isinstance(outcome, Answered) and outcome.status < SERVER_ERROR


def ends_request(outcome: Outcome) -> bool:
    """Return whether no other send of the request is awaited after `outcome`."""
    return is_usable(outcome) or isinstance(outcome, CallerGone)
