"""Answers the platform's calls to an entry: plain requests, streams and Lots.

The front finds the route of a call, checks its API key, passes it to the core, and
answers with the status that stands for the outcome. It makes no other decisions.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch

from wigeonfront.accounts import Admission, Admitted, Unauthenticated, Undecided
from wigeonfront.accounts.gate import AccountGate
from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration, Route, RouteKind
from wigeonfront.forwarding.attempt import ForwardRequest
from wigeonfront.forwarding.forwarder import Ended, Forwarder
from wigeonfront.forwarding.steps import DropRequest, Fail, ReturnAnswer
from wigeonfront.forwarding.streams import StreamForwarder
from wigeonfront.http.raw import RawCall
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Counter, Histogram
from wigeonfront.platform import headers as names
from wigeonfront.platform.lot_front import LotFront, accepts_lots
from wigeonfront.platform.target_calls import forwarded_headers

logger = logging.getLogger(__name__)

DEFAULT_DEADLINE_SECONDS = 30.0
UNREADY_RETRY_SECONDS = "0.5"


@dataclass(frozen=True, slots=True)
class FrontMetrics:
    """Metrics of the front: answers by status, and durations of calls in seconds."""

    answers: Counter
    seconds: Histogram


class Front:
    """Answers the calls of the platform's callers and trainers.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force, or ``None`` if none is known yet.
    forwarder : Forwarder
    streams : StreamForwarder
    lots : LotFront
    gate : AccountGate
    clock : Clock
    metrics : FrontMetrics
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration | None],
        forwarder: Forwarder,
        streams: StreamForwarder,
        lots: LotFront,
        gate: AccountGate,
        clock: Clock,
        metrics: FrontMetrics,
    ) -> None:
        self._configuration = configuration
        self._forwarder = forwarder
        self._streams = streams
        self._lots = lots
        self._gate = gate
        self._clock = clock
        self._metrics = metrics

    def handle(self, call: RawCall) -> None:
        """Answer one call."""
        started = self._clock.monotonic()
        configuration = self._configuration()
        if configuration is None:
            call.reply(503, headers=(("Retry-After", UNREADY_RETRY_SECONDS),))
            return
        host = call.header("Host").lower()
        route = configuration.find_route(host, call.path)
        routes = [route] if route else self._lot_routes(call, configuration, host)
        if not routes:
            self._answer_unknown_route(call, configuration, host)
            return
        admission = self._admit(call, configuration, routes)
        if not isinstance(admission, Admitted):
            _refuse(admission, call)
        elif route is not None:
            self._answer_on_route(call, route, configuration, admission, started)
        else:
            self._lots.answer(call, configuration, admission)
            self._observe_seconds("lots", started)

    def _lot_routes(
        self, call: RawCall, configuration: Configuration, host: str
    ) -> list[Route]:
        """Return the routes to which the Lot of a call may belong.

        Empty if the call is not about a Lot that was submitted before.
        """
        if not self._lots.is_lot_call(call):
            return []
        return [route for route in configuration.routes if accepts_lots(route, host)]

    def _admit(
        self, call: RawCall, configuration: Configuration, routes: list[Route]
    ) -> Admission:
        return self._gate.check(
            configuration.accounts,
            configuration.version,
            all(route.public for route in routes),
            call.header(names.AUTHORIZATION),
        )

    def _answer_unknown_route(
        self, call: RawCall, configuration: Configuration, host: str
    ) -> None:
        event(
            logger,
            "no_route",
            request=call.header(names.ATTEMPT_ID),
            host=host,
            path=call.path,
            version=configuration.version,
            outdated=self._gate.outdated,
        )
        if self._gate.outdated:
            # Another entry may know the route.
            _refuse(Undecided("unknown_route", ""), call)
        else:
            call.reply(404)

    def _answer_on_route(
        self,
        call: RawCall,
        route: Route,
        configuration: Configuration,
        admitted: Admitted,
        started: float,
    ) -> None:
        deadline = self._deadline(call, started)
        if route.kind is RouteKind.LOTS:
            self._lots.submit(call, route, configuration, admitted, deadline)
        else:
            if route.kind is not RouteKind.STREAMING:
                deadline = min(deadline, started + route.timeout)
            body = call.body(configuration.limits.body_bytes, deadline)
            keyed = configuration.accounts is not None
            request = _request(call, route, body, admitted, keyed)
            version = configuration.version
            if route.kind is RouteKind.STREAMING:
                self._streams.forward(request, route, started, deadline, call)
            else:
                self._forward_plain(call, request, route, version, deadline, started)
        self._observe_seconds(route.kind.value, started)

    def _observe_seconds(self, kind: str, started: float) -> None:
        self._metrics.seconds.observe(self._clock.monotonic() - started, kind=kind)

    # --- plain requests ------------------------------------------------------

    def _deadline(self, call: RawCall, started: float) -> float:
        """Return the monotonic time by which the caller wants an answer."""
        text = call.header(names.DEADLINE_MS)
        seconds = int(text) / 1000 if text.isdigit() else DEFAULT_DEADLINE_SECONDS
        return started + seconds

    def _forward_plain(
        self,
        call: RawCall,
        request: ForwardRequest,
        route: Route,
        version: int,
        deadline: float,
        started: float,
    ) -> None:
        ended = self._forwarder.forward(request, route, deadline, call.socket)
        status = _answer(ended, call, request.id)
        self._metrics.answers.increment(kind=route.kind.value, status=status)
        event(
            logger,
            "answer",
            request=request.id,
            route=route.name,
            version=version,
            account=request.account,
            status=status,
            reason=getattr(ended, "reason", ""),
            seconds=self._clock.monotonic() - started,
        )


def _request(
    call: RawCall, route: Route, body: bytes, admitted: Admitted, keyed: bool
) -> ForwardRequest:
    repeatable = route.repeatable or route.resumable
    return ForwardRequest(
        call.header(names.ATTEMPT_ID),
        call.method,
        call.target,
        forwarded_headers(call.headers, keyed),
        body,
        repeatable,
        admitted.account,
        route.stream_priority(admitted.priority),
    )


@singledispatch
def _refuse(admission: Admission, call: RawCall) -> None:
    """Answer a call that is not admitted."""
    raise TypeError(f"not a refusal: {admission!r}")


@_refuse.register
def _(admission: Unauthenticated, call: RawCall) -> None:
    call.reply(401, headers=(("WWW-Authenticate", "Bearer"),))


@_refuse.register
def _(admission: Undecided, call: RawCall) -> None:
    call.reply(503, headers=(("Retry-After", f"{admission.retry_after:g}"),))


@singledispatch
def _answer(ended: Ended, call: RawCall, id: str) -> int:
    """Answer a plain request; return the status, 0 if the caller gets no answer."""
    raise TypeError(f"not the end of a request: {ended!r}")


@_answer.register
def _(ended: ReturnAnswer, call: RawCall, id: str) -> int:
    answer = ended.answer
    call.reply(answer.status, answer.body, answer.headers)
    return answer.status


@_answer.register
def _(ended: Fail, call: RawCall, id: str) -> int:
    headers = [(names.ATTEMPT_ID, id)]
    if ended.retry_after:
        headers.append(("Retry-After", f"{ended.retry_after:g}"))
    call.reply(ended.status, b"", headers)
    return ended.status


@_answer.register
def _(ended: DropRequest, call: RawCall, id: str) -> int:
    call.abort()
    return 0
