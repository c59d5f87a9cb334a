"""Forwarding of callers' requests to targets.

`exchange` sends one request to one target and `open_call` reads its answer. `attempt`
holds the request and the possible outcomes of a send, `placement` chooses the target
and `steps` decides what follows an outcome. `forwarder` and `streams` combine them for
plain requests and for streams. `hedging` decides when a plain request is sent to a
second target, `hedging_state` keeps what it is decided by, `hedge_planner` plans the
send, and `race` makes both sends.
`idempotency` records requests that must not run twice. All of them work in their
callers' threads; only a second send takes a thread of its own.
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
