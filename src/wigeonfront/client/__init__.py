"""Clients: `TrainerClient` for Lots and `RequestClient` for single requests.

Both try the entries in turn and return at most `GRACE_SECONDS` after the deadline. Each
call to an entry is short, so that the client detects a connection that has gone silent
within a few seconds. The client honours the ``Retry-After`` of a refusal: before the
next retry it waits for that time and for a random part of an exponential backoff (full
jitter). If the retry would come after the deadline, the client returns the refusal at
once. Outcomes are return values; the client raises no exception for a failed call.

Examples
--------
>>> trainer = TrainerClient(["127.0.0.1:7700"], "trainer-1")
>>> sample = Sample("frame-1", {"frame": 1})
>>> lot = Lot("step-1", "scoring", "judge", version=7, samples=(sample,))
>>> answer = trainer.submit_lot(lot, timeout=300)  # doctest: +SKIP
>>> if isinstance(answer, LotAnswered):  # doctest: +SKIP
...     train(answer.outcomes)
...     trainer.acknowledge(lot)
"""

from wigeonfront.client.entries import GRACE_SECONDS
from wigeonfront.client.lot import (
    Acknowledged,
    AcknowledgementUnknown,
    Lot,
    LotAlreadyDelivered,
    LotAnswered,
    LotExpired,
    LotOutcome,
    LotProgress,
    LotRefused,
    LotUnreached,
    RewardCall,
    Sample,
)
from wigeonfront.client.refusal import CallRejected
from wigeonfront.client.request import MintedKey, Request, RequestClient
from wigeonfront.client.trainer import TrainerClient

__all__ = [
    "GRACE_SECONDS",
    "Acknowledged",
    "AcknowledgementUnknown",
    "CallRejected",
    "Lot",
    "LotAlreadyDelivered",
    "LotAnswered",
    "LotExpired",
    "LotOutcome",
    "LotProgress",
    "LotRefused",
    "LotUnreached",
    "MintedKey",
    "Request",
    "RequestClient",
    "RewardCall",
    "Sample",
    "TrainerClient",
]
