"""Clients: `TrainerClient` for Lots and `RequestClient` for ordinary requests.

Both try the entries in turn and never wait longer than the deadline that they were
given, by more than `GRACE_SECONDS`. While a call is open, its entry is asked on new
connections how it stands, so that a connection that has gone silent is noticed
within a few seconds (`wigeonfront.client.watch`). A refusal's ``Retry-After`` is
honoured: the next try comes no sooner, plus a random share of a growing pause (full
jitter). When that would be past the deadline, the refusal is returned at once. How a
call ends is a value.

Examples
--------
>>> trainer = TrainerClient(["127.0.0.1:7700"], "trainer-1")
>>> sample = Sample("frame-1", {"frame": 1})
>>> lot = Lot("step-1", "judge-llm", "scoring", version=7, samples=(sample,))
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
    LotRefused,
    LotSuperseded,
    LotUnreached,
    Sample,
)
from wigeonfront.client.refusal import CallRejected
from wigeonfront.client.request import (
    IDEMPOTENCY_HEADER,
    MintedKey,
    Request,
    RequestClient,
    request_path,
)
from wigeonfront.client.trainer import ACKNOWLEDGE_PATH, LOTS_PATH, TrainerClient
from wigeonfront.client.watch import LotProgress, WatchSettings

__all__ = [
    "ACKNOWLEDGE_PATH",
    "GRACE_SECONDS",
    "IDEMPOTENCY_HEADER",
    "LOTS_PATH",
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
    "LotSuperseded",
    "LotUnreached",
    "MintedKey",
    "Request",
    "RequestClient",
    "Sample",
    "TrainerClient",
    "WatchSettings",
    "request_path",
]
