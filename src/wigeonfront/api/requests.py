"""The calls to ``/v1`` that forward single requests and streams."""

import secrets
from functools import singledispatch
from urllib.parse import quote

import msgspec

from wigeonfront.accounts import Admitted
from wigeonfront.api.authentication import CallAuthenticator, scoped_id
from wigeonfront.api.errors import ApiError
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

MAX_KEY_LENGTH = 100
"""Longest idempotency key in characters. The key becomes part of a key of the store."""

RETRY_SECONDS = 1.0

SUCCESSES = range(200, 300)
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class RequestCalls:
    """Answers the calls of callers that send single requests.

    Parameters
    ----------
    forwarder : Forwarder
    streams : StreamForwarder
    idempotent_requests : IdempotentRequests
    engines : EngineHeaders
    authenticator : CallAuthenticator
    clock : Clock
    """

    def __init__(
        self,
        forwarder: Forwarder,
        streams: StreamForwarder,
        idempotent_requests: IdempotentRequests,
        engines: EngineHeaders,
        authenticator: CallAuthenticator,
        clock: Clock,
    ) -> None:
        self._forwarder = forwarder
        self._streams = streams
        self._idempotent_requests = idempotent_requests
        self._engines = engines
        self._authenticator = authenticator
        self._clock = clock

    def answer(self, call: RawCall, configuration: Configuration) -> None:
        """Forward a request and answer with its outcome or its stream."""
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
        admitted = self._authenticator.admit(call, configuration, [route])
        request = self._make_request(id, body, route, admitted)
        deadline = started + min(body.timeout, route.timeout)
        if route.kind is RouteKind.STREAMING:
            self._streams.forward(request, route, started, deadline, call)
            return
        key = _idempotency_key(call)
        if not key or route.repeatable:
            ended = self._forwarder.forward(request, route, deadline, call.socket)
        else:
            scope = scoped_id(admitted, configuration, key)
            ended = self._run_once(request, route, deadline, scope)
        if isinstance(ended, DropRequest):
            call.abort()
            return
        outcome = outcome_of(ended)
        headers = _retry_headers(outcome)
        reply = RequestReply(id, _encode_outcome(outcome))
        call.reply_json(http_status(outcome), reply, headers)

    def _make_request(
        self, id: str, body: RequestBody, route: Route, admitted: Admitted
    ) -> ForwardRequest:
        data = msgspec.json.encode(body.payload)
        headers = [("Host", route.host), ("Content-Type", "application/json")]
        if body.model:
            engine_headers = self._engines.sample_headers(
                body.model, body.max_tokens, data
            )
            headers.extend(engine_headers)
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
        """Run a request at most once for its idempotency key.

        The request goes on if its caller disconnects, because the caller may repeat the
        call with the same key.
        """
        return self._idempotent_requests.run(
            route.name,
            key,
            deadline,
            lambda: self._forwarder.forward(request, route, deadline, None),
        )


def _idempotency_key(call: RawCall) -> str:
    key = call.header(IDEMPOTENCY_HEADER)
    if len(key) > MAX_KEY_LENGTH:
        raise ApiError(400, "bad_key", f"at most {MAX_KEY_LENGTH} characters")
    return quote(key, safe="")


@singledispatch
def outcome_of(ended: Ended) -> Outcome:
    """Return the outcome for the way in which a forwarded request ended."""
    raise TypeError(f"not an end of a request: {ended!r}")


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
def _encode_outcome(outcome: Outcome) -> OutcomeBody:
    raise TypeError(f"not an outcome: {outcome!r}")


@_encode_outcome.register
def _(outcome: Completed) -> OutcomeBody:
    return OutcomeBody("completed", payload=outcome.payload)


@_encode_outcome.register
def _(outcome: NotRun) -> OutcomeBody:
    return OutcomeBody(
        "not_run", reason=outcome.reason, retry_after=outcome.retry_after
    )


@_encode_outcome.register
def _(outcome: Unknown) -> OutcomeBody:
    return OutcomeBody("unknown", reason=outcome.reason)


@_encode_outcome.register
def _(outcome: Failed) -> OutcomeBody:
    return OutcomeBody("failed", reason=outcome.reason, status=outcome.status)


@_encode_outcome.register
def _(outcome: Expired) -> OutcomeBody:
    return OutcomeBody("expired", retry_after=outcome.retry_after)


def _retry_headers(outcome: Outcome) -> list[tuple[str, str]]:
    retry_after = getattr(outcome, "retry_after", 0.0)
    return [("Retry-After", f"{retry_after:g}")] if retry_after else []
