"""Answers the platform's calls to an entry about Lots.

A Lot belongs to the client account that submitted it. Calls of other accounts are
answered as if the Lot did not exist.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch
from typing import Any
from urllib.parse import parse_qs

from wigeonfront.accounts import Admitted
from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration, Route, RouteKind
from wigeonfront.http.raw import RawCall
from wigeonfront.observability.logs import event
from wigeonfront.platform import headers as names
from wigeonfront.platform.lot_calls import BadLot, decode_lot, encode_page
from wigeonfront.rollout.lot import Lot
from wigeonfront.rollout.lot_answers import (
    RETRY_SECONDS,
    Accepted,
    LotPage,
    LotRefused,
    LotUnavailable,
    LotUncertain,
    LotUnknown,
)
from wigeonfront.rollout.lots import Lots
from wigeonfront.rollout.scope import SEPARATOR, scoped_name

logger = logging.getLogger(__name__)

MAX_WAIT_SECONDS = 1.0

LOT_COPIES = 2
"""Copies of a Lot that its submission holds at once: the body and the samples, and then
the samples and their encoded form for the store."""

LOT_PATH = "/lots/"
SAMPLE_PATH = "/items/"


@dataclass(frozen=True, slots=True)
class _EncodedPage:
    body: bytes
    empty: bool


class LotFront:
    """Answers the calls of the platform's trainers.

    Parameters
    ----------
    lots : Lots
    clock : Clock
    """

    def __init__(self, lots: Lots, clock: Clock) -> None:
        self._lots = lots
        self._clock = clock

    def is_lot_call(self, call: RawCall) -> bool:
        """Return whether a call is about a Lot that was submitted before."""
        if call.path.startswith(LOT_PATH):
            return call.method in ("GET", "DELETE")
        return call.path.startswith(SAMPLE_PATH) and call.method == "GET"

    def submit(
        self,
        call: RawCall,
        route: Route,
        configuration: Configuration,
        admitted: Admitted,
        deadline: float,
    ) -> None:
        """Read a Lot until a monotonic time, store it, and start running it."""
        name = call.header(names.ATTEMPT_ID)
        lot_id = _lot_id_of(name, configuration, admitted)
        lot = self._read_lot(call, lot_id, route, configuration, admitted, deadline)
        if isinstance(lot, BadLot) or call.method != "POST" or not name:
            event(logger, "bad_lot", lot=lot_id, reason=getattr(lot, "reason", ""))
            call.reply(400)
            return
        _answer(self._lots.submit(lot), call)

    def _read_lot(
        self,
        call: RawCall,
        lot_id: str,
        route: Route,
        configuration: Configuration,
        admitted: Admitted,
        deadline: float,
    ) -> Lot | BadLot:
        """Return the Lot in the body of a call; the body itself is not kept."""
        body = call.body(configuration.limits.body_bytes, deadline, LOT_COPIES)
        now = self._clock.time()
        return decode_lot(lot_id, route, body, now, admitted.account)

    def answer(
        self, call: RawCall, configuration: Configuration, admitted: Admitted
    ) -> None:
        """Answer a call for which `is_lot_call` returns true."""
        if call.path.startswith(SAMPLE_PATH):
            name, operation = call.path.removeprefix(SAMPLE_PATH), self._body(call)
        else:
            name = call.path.removeprefix(LOT_PATH)
            operation = self._lots.end if call.method == "DELETE" else self._read(call)
        outcome = operation(_lot_id_of(name, configuration, admitted))
        if isinstance(outcome, LotUnknown) and _may_be_unscoped(name, configuration):
            outcome = operation(name)
        if _is_without_results(outcome):
            _log_call(call, name, outcome)
        _answer(outcome, call, 200)

    def _read(self, call: RawCall) -> Callable[[str], Any]:
        """Return a function that reads the results that `call` asks for.

        Its parameter is the id of the Lot.
        """
        after = int(_query(call, "after") or 0)
        wait_ms = call.header(names.WAIT_MS)
        wait = int(wait_ms) / 1000 if wait_ms.isdigit() else 0.0

        def read(lot_id: str) -> _EncodedPage | LotUnknown | LotUnavailable:
            page = self._lots.read(lot_id, after, min(wait, MAX_WAIT_SECONDS))
            if not isinstance(page, LotPage):
                return page
            encoded = encode_page(page.total, after, page.results)
            return _EncodedPage(encoded, empty=not page.results)

        return read

    def _body(self, call: RawCall) -> Callable[[str], Any]:
        """Return a function that reads the body of the sample that `call` asks for.

        Its parameter is the id of the Lot.
        """
        sample_id = _query(call, "id")
        return lambda lot_id: self._lots.body(lot_id, sample_id)


def accepts_lots(route: Route, host: str) -> bool:
    """Return whether Lots for `host` are submitted on a route."""
    return route.host == host and route.kind is RouteKind.LOTS


def _lot_id_of(name: str, configuration: Configuration, admitted: Admitted) -> str:
    if configuration.accounts is None:
        return name
    return scoped_name(admitted.account, name)


def _may_be_unscoped(name: str, configuration: Configuration) -> bool:
    """Return whether a Lot may have been submitted before there were accounts."""
    return configuration.accounts is not None and SEPARATOR not in name


def _is_without_results(outcome: object) -> bool:
    """Return whether a caller gets no results. Only such calls are logged."""
    if isinstance(outcome, _EncodedPage):
        return outcome.empty
    return isinstance(outcome, LotUnknown | LotUnavailable)


def _log_call(call: RawCall, lot_id: str, outcome: object) -> None:
    event(
        logger,
        "lot_call",
        lot=lot_id,
        method=call.method,
        target=call.target,
        outcome=type(outcome).__name__.removeprefix("_"),
        reason=getattr(outcome, "reason", ""),
    )


def _query(call: RawCall, name: str) -> str:
    values = parse_qs(call.query).get(name)
    return values[-1] if values else ""


@singledispatch
def _answer(outcome: object, call: RawCall, accepted: int = 202) -> None:
    """Answer a call by its outcome; `accepted` is the status of a success."""
    raise TypeError(f"not an outcome of a Lot call: {outcome!r}")


@_answer.register
def _(outcome: bytes, call: RawCall, accepted: int = 202) -> None:
    call.reply(accepted, outcome)


@_answer.register
def _(outcome: _EncodedPage, call: RawCall, accepted: int = 202) -> None:
    call.reply(accepted, outcome.body, (("Content-Type", "application/json"),))


@_answer.register
def _(outcome: Accepted, call: RawCall, accepted: int = 202) -> None:
    call.reply(accepted)


@_answer.register
def _(outcome: LotRefused, call: RawCall, accepted: int = 202) -> None:
    call.reply(503, headers=(("Retry-After", f"{outcome.retry_after:.3g}"),))


@_answer.register
def _(outcome: LotUncertain, call: RawCall, accepted: int = 202) -> None:
    # The Lot may run. 503 would say that none of its samples do.
    call.reply(504)


@_answer.register
def _(outcome: LotUnknown, call: RawCall, accepted: int = 202) -> None:
    call.reply(404)


@_answer.register
def _(outcome: LotUnavailable, call: RawCall, accepted: int = 202) -> None:
    call.reply(503, headers=(("Retry-After", f"{RETRY_SECONDS:g}"),))
