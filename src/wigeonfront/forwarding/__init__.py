"""Forwarding of callers' requests to targets.

`exchange` sends one request to one target, `open_call` reads its answer, `attempt` is
what certainly happened, `placement` chooses the target, `steps` decides what follows.
`forwarder` and `streams` put them together; `keyed` remembers requests that must not
run twice. They work in their callers' threads and start no tasks.
"""

from wigeonfront.forwarding.attempt import (
    Answered,
    Broken,
    CallerGone,
    ForwardRequest,
    NotExecuted,
    Outcome,
    TimedOut,
)
from wigeonfront.forwarding.connections import Connections
from wigeonfront.forwarding.exchange import Exchange, TargetProtocol
from wigeonfront.forwarding.handle import CallHandle
from wigeonfront.forwarding.open_call import OpenCall

__all__ = [
    "Answered",
    "Broken",
    "CallHandle",
    "CallerGone",
    "Connections",
    "Exchange",
    "ForwardRequest",
    "NotExecuted",
    "OpenCall",
    "Outcome",
    "TargetProtocol",
    "TimedOut",
]
