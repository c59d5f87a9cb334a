"""The calls of ``/v1`` about single requests and streams."""

import secrets
from functools import singledispatch
from urllib.parse import quote

import msgspec

from wigeonfront.accounts import Admitted
from wigeonfront.api.callers import Callers, scoped
from wigeonfront.api.errors import Refused
from wigeonfront.api.lots import EngineHeaders, named_route
from wigeonfront.api.messages import OutcomeBody, RequestBody, RequestReply, decode_body
from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration, Route, RouteKind
from wigeonfront.forwarding.attempt import ForwardRequest
from wigeonfront.forwarding.forwarder import Ended, Forwarder
from wigeonfront.forwarding.idempotency import IdempotentRequests
from wigeonfront.forwarding.steps import DropRequest, Fail, ReturnAnswer
from wigeonfront.forwarding.streams import StreamForwarder
from wigeonfront.http.raw import RawCall
from wigeonfront.outcomes import (
    Completed,
    Expired,
    Failed,
    NotRun,
    Outcome,
    Unknown,
    http_status,
)

REQUESTS_PATH = "/v1/requests"
IDEMPOTENCY_HEADER = "Idempotency-Key"
REQUEST_HEADER = "X-Request-Id"

MOST_KEY_LENGTH = 100
"""Characters of an idempotency key: with its route it is a key of the store."""

RETRY_SECONDS = 1.0

SUCCESSES = range(200, 300)
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class RequestCalls:
    """Answers callers.

    Parameters
    ----------
    forwarder : Forwarder
    streams : StreamForwarder
    idempotent_requests : IdempotentRequests
    engines : EngineHeaders
    callers : Callers
    clock : Clock
    """

    def __init__(
        self,
        forwarder: Forwarder,
        streams: StreamForwarder,
        idempotent_requests: IdempotentRequests,
        engines: EngineHeaders,
        callers: Callers,
        clock: Clock,
    ) -> None:
        self._forwarder = forwarder
        self._streams = streams
        self._idempotent_requests = idempotent_requests
        self._engines = engines
        self._callers = callers
        self._clock = clock

    def answer(self, call: RawCall, configuration: Configuration) -> None:
        """Forward a request; answer with its outcome, or with its stream."""
        started = self._clock.monotonic()
        body = decode_body(call.body(configuration.limits.body_bytes), RequestBody)
        route = named_route(
            configuration,
            body.route,
            RouteKind.IDEMPOTENT,
            RouteKind.NON_IDEMPOTENT,
            RouteKind.STREAMING,
        )
        id = call.header(REQUEST_HEADER) or secrets.token_hex(8)
        admitted = self._callers.admit(call, configuration, [route])
        request = self._forwarded(id, body, route, admitted)
        deadline = started + min(body.timeout, route.timeout)
        if route.kind is RouteKind.STREAMING:
            self._streams.forward(request, route, started, deadline, call)
            return
        key = _key_of(call)
        if not key or route.repeatable:
            ended = self._forwarder.forward(request, route, deadline, call.socket)
        else:
            scope = scoped(admitted, configuration, key)
            ended = self._run_once(request, route, deadline, scope)
        if isinstance(ended, DropRequest):
            call.abort()
            return
        outcome = outcome_of(ended)
        headers = _retry_headers(outcome)
        reply = RequestReply(id, _told(outcome))
        call.reply_json(http_status(outcome), reply, headers)

    def _forwarded(
        self, id: str, body: RequestBody, route: Route, admitted: Admitted
    ) -> ForwardRequest:
        data = msgspec.json.encode(body.payload)
        headers = [("Host", route.host), ("Content-Type", "application/json")]
        if body.model:
            more = self._engines.sample_headers(body.model, body.max_tokens, data)
            headers.extend(more)
        path = route.prefix + quote(body.path, safe="/")
        repeatable = route.repeatable or route.resumable
        return ForwardRequest(
            id,
            "POST",
            path,
            tuple(headers),
            data,
            repeatable,
            admitted.account,
            route.stream_priority(admitted.priority),
        )

    def _run_once(
        self, request: ForwardRequest, route: Route, deadline: float, key: str
    ) -> Ended:
        """Run a request that others with its key may repeat.

        It goes on without its caller, who may ask for it again.
        """
        return self._idempotent_requests.run(
            route.name,
            key,
            deadline,
            lambda: self._forwarder.forward(request, route, deadline, None),
        )


def _key_of(call: RawCall) -> str:
    key = call.header(IDEMPOTENCY_HEADER)
    if len(key) > MOST_KEY_LENGTH:
        raise Refused(400, "bad_key", f"at most {MOST_KEY_LENGTH} characters")
    return quote(key, safe="")


@singledispatch
def outcome_of(ended: Ended) -> Outcome:
    """Return a request's end as an outcome."""
    raise TypeError(f"not an end: {ended!r}")


@outcome_of.register
def _(ended: ReturnAnswer) -> Outcome:
    answer = ended.answer
    payload = _json_or_text(answer.body)
    if answer.status in SUCCESSES:
        return Completed(payload)
    return Failed(str(payload)[:500], answer.status)


@outcome_of.register
def _(ended: Fail) -> Outcome:
    if ended.status == UNAVAILABLE:
        return NotRun(ended.reason, ended.retry_after or RETRY_SECONDS)
    if ended.status == GATEWAY_TIMEOUT:
        return Expired(ended.retry_after or RETRY_SECONDS)
    return Unknown(ended.reason)


def _json_or_text(body: bytes) -> object:
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return body.decode("utf-8", "replace")


@singledispatch
def _told(outcome: Outcome) -> OutcomeBody:
    raise TypeError(f"not an outcome: {outcome!r}")


@_told.register
def _(outcome: Completed) -> OutcomeBody:
    return OutcomeBody("completed", payload=outcome.payload)


@_told.register
def _(outcome: NotRun) -> OutcomeBody:
    return OutcomeBody(
        "not_run", reason=outcome.reason, retry_after=outcome.retry_after
    )


@_told.register
def _(outcome: Unknown) -> OutcomeBody:
    return OutcomeBody("unknown", reason=outcome.reason)


@_told.register
def _(outcome: Failed) -> OutcomeBody:
    return OutcomeBody("failed", reason=outcome.reason, status=outcome.status)


@_told.register
def _(outcome: Expired) -> OutcomeBody:
    return OutcomeBody("expired", retry_after=outcome.retry_after)


def _retry_headers(outcome: Outcome) -> list[tuple[str, str]]:
    after = getattr(outcome, "retry_after", 0.0)
    return [("Retry-After", f"{after:g}")] if after else []
