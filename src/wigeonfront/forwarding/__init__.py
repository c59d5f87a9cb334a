"""Forwarding of callers' requests to targets.

`exchange` sends one request to one target, `placement` chooses the target, `steps`
decides what follows an outcome, and `forwarder` puts them together for plain requests
and streams.
"""

from wigeonfront.forwarding.connections import Connections
from wigeonfront.forwarding.exchange import (
    Answered,
    Broken,
    CallerGone,
    Exchange,
    ForwardRequest,
    NotExecuted,
    OpenCall,
    Outcome,
    TargetProtocol,
    TimedOut,
)
from wigeonfront.forwarding.handle import CallHandle

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
