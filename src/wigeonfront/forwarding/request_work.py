"""The state of a plain request while it is forwarded."""

import socket
from dataclasses import dataclass, field

from wigeonfront.forwarding.attempt import Answered, ForwardRequest, NotExecuted
from wigeonfront.forwarding.race import Sent
from wigeonfront.forwarding.steps import SendState


@dataclass(slots=True)
class RequestWork:
    """A request that is being forwarded.

    Attributes
    ----------
    request : ForwardRequest
    service : str
    deadline : float
        Monotonic time at which the answer is due, in seconds.
    caller : socket or None
        Connection of the caller.
    sends_left : int
        Number of further targets to which the request may be sent.
    hedged : bool
        Whether the route allows a second send while the first is awaited.
    objective : float
        Latency objective of the route, in seconds.
    tried : set of str
        Ids of the targets to which it was sent.
    may_have_run : bool
    error_answer : Answered or None
        The last server error that a target returned.
    """

    request: ForwardRequest
    service: str
    deadline: float
    caller: socket.socket | None
    sends_left: int
    hedged: bool
    objective: float
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    error_answer: Answered | None = None

    def state(self, now: float) -> SendState:
        """Return the state on which the next step depends."""
        return SendState(
            self.request.repeatable,
            self.sends_left,
            self.deadline - now,
            self.may_have_run,
        )

    def record(self, sent: Sent) -> None:
        """Record a send that has ended."""
        outcome = sent.outcome
        self.tried.add(sent.view.target.id)
        if isinstance(outcome, Answered):
            self.error_answer = outcome
        if not isinstance(outcome, NotExecuted):
            self.may_have_run = True
        if not (isinstance(outcome, NotExecuted) and outcome.status == 0):
            self.sends_left -= 1
