"""Submissions with their ends on record, for the history checker.

`record_lot` and `record_call` go through the product's clients, as trainers and
callers do; `record_post` sends one submission to one entry, so that tests can make
repeats and races themselves.
"""

import uuid
from typing import Any

import msgspec

from standins.history import History, digest
from wigeonfront.client import (
    IDEMPOTENCY_HEADER,
    LOTS_PATH,
    CallRejected,
    Lot,
    LotAnswered,
    LotOutcome,
    Request,
    RequestClient,
    TrainerClient,
    request_path,
)
from wigeonfront.http import Answer, NotSent, Pool
from wigeonfront.messages import (
    LotBody,
    LotReply,
    RequestBody,
    RequestReply,
    from_wire,
)
from wigeonfront.outcomes import NotRun, Outcome

LOST = "Lost"
NOT_SENT = "NotSent"
ANSWER_GRACE = 2.0


def record_call(
    history: History, client: RequestClient, request: Request, timeout: float
) -> Outcome | CallRejected:
    """Send `request` through `client`; the client repeats it where it may."""
    fields = _request_fields(request)
    history.write("invoke", **fields)
    outcome = client.call(request, timeout)
    kind = type(outcome).__name__
    history.write("response", id=fields["id"], kind=kind, outcome=outcome)
    return outcome


def record_post(
    history: History,
    address: str,
    request: Request,
    timeout: float,
    submission: int = 1,
    entry: str = "",
    slot_epoch: int = 0,
) -> Outcome | str:
    """Send one submission to the entry at `address`.

    Returns
    -------
    Outcome or str
        `NotRun` where it did not reach the entry, ``"Lost"`` where no whole
        answer came.
    """
    fields = _request_fields(request)
    history.write("invoke", entry=entry, submission=submission, **fields)
    body = RequestBody(
        payload=request.payload,
        catalogue_entry=request.catalogue_entry,
        idempotent=request.idempotent,
        timeout=timeout,
        submission=submission if request.key else 0,
        slot_epoch=slot_epoch,
        max_tokens=request.max_tokens,
    )
    headers = {IDEMPOTENCY_HEADER: request.key} if request.key else None
    answer = _post(address, request_path(request.service), body, headers, timeout)
    outcome = _request_outcome(answer)
    kind = outcome if isinstance(outcome, str) else type(outcome).__name__
    if isinstance(answer, NotSent):
        kind = NOT_SENT  # No entry has said anything.
    recorded = {} if kind == LOST else {"outcome": outcome}
    history.write("response", id=fields["id"], kind=kind, **recorded)
    return outcome


def record_lot(
    history: History,
    client: TrainerClient,
    lot: Lot,
    timeout: float,
    patience: float | None = None,
) -> LotOutcome:
    """Submit `lot` through `client`, and record each sample that it brings."""
    fields = {"lot": lot.lot, **_lot_fields(lot)}
    history.write("invoke", **fields)
    outcome = client.submit_lot(lot, timeout, patience)
    kind = type(outcome).__name__
    history.write("response", lot=lot.lot, kind=kind)
    if isinstance(outcome, LotAnswered):
        _record_samples(history, lot.lot, outcome.outcomes)
    return outcome


def record_lot_post(
    history: History,
    address: str,
    trainer: str,
    lot: Lot,
    timeout: float,
    entry: str = "",
) -> LotReply | str:
    """Post `lot` once, with the submission `lot.first_submission`."""
    name = uuid.uuid4().hex
    history.write("invoke", id=name, lot=lot.lot, entry=entry, **_lot_fields(lot))
    body = LotBody(
        trainer=trainer,
        lot=lot.lot,
        submission=lot.first_submission,
        service=lot.service,
        catalogue_entry=lot.catalogue_entry,
        version=lot.version,
        bound=lot.bound,
        timeout=timeout,
        samples=[msgspec.to_builtins(sample) for sample in lot.samples],
    )
    answer = _post(address, LOTS_PATH, body, None, timeout)
    reply = _decoded(answer, LotReply)
    kind = LOST if reply is None else reply.status
    if isinstance(answer, NotSent):
        kind = NOT_SENT
    elif kind == "not_run":
        kind = NotRun.__name__
    complete = kind == "complete"
    shown = LotAnswered.__name__ if complete else kind
    history.write("response", id=name, lot=lot.lot, kind=shown)
    if complete:
        outcomes = {each.sample: from_wire(each.outcome) for each in reply.samples}
        _record_samples(history, lot.lot, outcomes)
    return reply or kind


def _request_fields(request: Request) -> dict[str, Any]:
    return {
        "id": uuid.uuid4().hex,
        "digest": digest(request.payload),
        "idempotent": request.idempotent,
        "key": request.key,
    }


def _lot_fields(lot: Lot) -> dict[str, Any]:
    return {
        "service": lot.service,
        "version": lot.version,
        "bound": lot.bound,
        "samples": {sample.sample: digest(sample.payload) for sample in lot.samples},
        "sizes": {sample.sample: sample.max_tokens for sample in lot.samples},
    }


def _record_samples(history: History, lot: str, outcomes: dict[str, Outcome]) -> None:
    for name, outcome in outcomes.items():
        kind = type(outcome).__name__
        history.write("sample", lot=lot, sample=name, kind=kind, outcome=outcome)


def _post(
    address: str, path: str, body: Any, headers: dict[str, str] | None, timeout: float
) -> Any:
    pool = Pool(address)
    try:
        return pool.call("POST", path, body, headers, timeout + ANSWER_GRACE)
    finally:
        pool.close()


def _decoded(answer: Any, kind: type) -> Any:
    if not isinstance(answer, Answer):
        return None
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.DecodeError:
        return None


def _request_outcome(answer: Any) -> Outcome | str:
    if isinstance(answer, NotSent):
        return NotRun(answer.reason)
    reply = _decoded(answer, RequestReply)
    return LOST if reply is None else from_wire(reply.outcome)
