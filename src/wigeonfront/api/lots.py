"""The calls to ``/v1`` about Lots: submission, results and acknowledgement."""

from typing import Protocol
from urllib.parse import parse_qs, quote, unquote

import msgspec

from wigeonfront.accounts import Admitted
from wigeonfront.api.authentication import CallAuthenticator, scoped_id
from wigeonfront.api.errors import ApiError, UnknownRouteError
from wigeonfront.api.messages import (
    LotAccepted,
    LotBody,
    LotName,
    LotPage,
    SampleBody,
    SampleResult,
    decode_body,
)
from wigeonfront.clock import Clock
from wigeonfront.configuration import Configuration, Route, RouteKind
from wigeonfront.http.raw import RawCall
from wigeonfront.rollout import lot_answers as answers
from wigeonfront.rollout.lot import Headers, Lot, RewardCall, Sample
from wigeonfront.rollout.lots import Lots

LOTS_PATH = "/v1/lots"
ACKNOWLEDGE_PATH = "/v1/lots/acknowledge"

MAX_WAIT_SECONDS = 2.0
"""Longest time for which a read waits for a result. It is short so that the trainer
soon detects a connection that has gone silent."""

PAGE_BYTES = 900_000
"""Longest text of a page of results; only its first result may exceed it alone."""

LOT_COPIES = 3
"""Copies of a Lot that its submission holds at once: the body, its payloads, and the
samples."""

ACCEPTED = 202
SEPARATOR = "!"
"""Separates the parts of an id. Each part is percent-encoded, ``!`` included, so
no part contains the separator."""


class EngineHeaders(Protocol):
    """Makes the headers that a request to an engine needs; platform-specific."""

    def sample_headers(self, model: str, expected_tokens: int, body: bytes) -> Headers:
        """Return the headers of a request for `model`.

        Parameters
        ----------
        model : str
        expected_tokens : int
            Expected number of generated tokens; 0 if unknown.
        body : bytes
        """


def lot_id(trainer: str, lot: str) -> str:
    """Return the id of a trainer's Lot from their names."""
    return f"{quote(trainer, safe='')}{SEPARATOR}{quote(lot, safe='')}"


class LotCalls:
    """Answers the calls of trainers.

    Parameters
    ----------
    lots : wigeonfront.rollout.lots.Lots
    engines : EngineHeaders
    authenticator : CallAuthenticator
    clock : Clock
    """

    def __init__(
        self,
        lots: Lots,
        engines: EngineHeaders,
        authenticator: CallAuthenticator,
        clock: Clock,
    ) -> None:
        self._lots = lots
        self._authenticator = authenticator
        self._engines = engines
        self._clock = clock

    def submit(self, call: RawCall, configuration: Configuration) -> None:
        """Store a Lot and run it; answer 202 also if it is stored already."""
        limit = configuration.limits.body_bytes
        body = decode_body(call.body(limit, copies=LOT_COPIES), LotBody)
        route = named_route(configuration, body.route, RouteKind.LOTS)
        admitted = self._authenticator.admit(call, configuration, [route])
        id = scoped_id(admitted, configuration, lot_id(body.trainer, body.lot))
        if self._lots.knows(id) and self._lots.ended(id):
            raise ApiError(410, "already_delivered")
        lot = self._make_lot(id, body, route, configuration, admitted)
        outcome = self._lots.submit(lot)
        if outcome == answers.Accepted(already_kept=True) and self._lots.ended(id):
            raise ApiError(410, "already_delivered")
        if isinstance(outcome, answers.LotRefused):
            raise ApiError(503, "not_run", outcome.reason, outcome.retry_after)
        if isinstance(outcome, answers.LotUncertain):
            raise ApiError(504, "unknown", outcome.reason, answers.RETRY_SECONDS)
        call.reply_json(ACCEPTED, LotAccepted(body.lot, len(lot.samples)))

    def read(self, call: RawCall, configuration: Configuration) -> None:
        """Answer with the results from position `after` on.

        If there is none yet, wait up to `wait` seconds for a result. The query gives
        `after` and `wait`.
        """
        name = _parse_lot_path(call.path.removeprefix(LOTS_PATH + "/"))
        id = self._authenticator.lot_id(call, configuration, name)
        query = parse_qs(call.query)
        after = int(_parse_number(query, "after"))
        wait = min(_parse_number(query, "wait"), MAX_WAIT_SECONDS)
        page = self._lots.read(id, after, wait)
        if not isinstance(page, answers.LotPage):
            raise _lot_error(page)
        results: list[SampleResult] = []
        size = 0
        for result in page.results:
            size += len(result.text)
            if results and size > PAGE_BYTES:
                break
            results.append(_encode_result(result))
        call.reply_json(200, LotPage(page.total, results, after + len(results)))

    def acknowledge(self, call: RawCall, configuration: Configuration) -> None:
        """End a Lot, because the trainer has its results."""
        body = decode_body(call.body(configuration.limits.body_bytes), LotName)
        name = lot_id(body.trainer, body.lot)
        outcome = self._lots.end(self._authenticator.lot_id(call, configuration, name))
        if not isinstance(outcome, answers.Accepted):
            raise _lot_error(outcome)
        call.reply_json(200, body)

    def _make_lot(
        self,
        id: str,
        body: LotBody,
        route: Route,
        configuration: Configuration,
        admitted: Admitted,
    ) -> Lot:
        names = {sample.sample for sample in body.samples}
        if len(names) != len(body.samples):
            raise ApiError(422, "bad_field", "a sample's name stands twice")
        samples = tuple(
            self._make_sample(id, sample, body.model, route, configuration)
            for sample in body.samples
        )
        return Lot(
            id=id,
            host=route.host,
            prefix=route.prefix,
            samples=samples,
            model=body.model,
            min_version=max(0, body.version - body.bound),
            target_groups=body.wanted_groups,
            submitted_at=self._clock.time(),
            due_seconds=route.lot_deadline,
            give_up_seconds=body.timeout or route.max_queue,
            max_attempts=route.max_attempts,
            single_version=route.single_version,
            account=admitted.account,
        )

    def _make_sample(
        self,
        lot: str,
        body: SampleBody,
        model: str,
        route: Route,
        configuration: Configuration,
    ) -> Sample:
        name = quote(body.sample, safe="")
        data = msgspec.json.encode(body.payload)
        headers = self._engines.sample_headers(model, body.max_tokens, data)
        return Sample(
            id=f"{lot}{SEPARATOR}{name}",
            path=route.prefix + name,
            headers=headers,
            body=data,
            group=body.group,
            model=model,
            expected_tokens=body.max_tokens,
            reward_call=_make_reward_call(
                f"{lot}{SEPARATOR}{name}", body, configuration
            ),
        )


def named_route(configuration: Configuration, name: str, *kinds: RouteKind) -> Route:
    """Return the route with the name `name`, if it is of one of `kinds`.

    Raises
    ------
    UnknownRouteError
        If there is no such route.
    """
    for route in configuration.routes:
        if route.name == name and route.kind in kinds:
            return route
    raise UnknownRouteError(name)


def _make_reward_call(
    sample: str, body: SampleBody, configuration: Configuration
) -> RewardCall | None:
    reward = body.reward_call
    if reward is None:
        return None
    route = named_route(configuration, reward.route, RouteKind.IDEMPOTENT)
    path = route.prefix + quote(reward.path, safe="/")
    data = msgspec.json.encode(reward.payload)
    return RewardCall(f"{sample}{SEPARATOR}score", route.host, path, data)


def _encode_result(result: answers.SampleResult) -> SampleResult:
    name = unquote(result.id.rpartition(SEPARATOR)[2])
    kind = "completed" if result.completed else "given_up"
    text = result.text.decode("utf-8", "replace")
    return SampleResult(name, kind, text, result.versions, result.score)


def _parse_lot_path(path: str) -> str:
    trainer, _, lot = path.partition("/")
    if not trainer or not lot or "/" in lot:
        raise ApiError(404, "no_such_call")
    return lot_id(unquote(trainer), unquote(lot))


def _parse_number(query: dict[str, list[str]], name: str) -> float:
    text = query.get(name, ["0"])[-1]
    try:
        number = float(text)
    except ValueError:
        raise ApiError(400, "bad_field", f"{name}: {text[:50]}") from None
    if not 0 <= number < float("inf"):
        raise ApiError(400, "bad_field", f"{name}: {text[:50]}")
    return number


def _lot_error(outcome: object) -> ApiError:
    if isinstance(outcome, answers.LotUnknown):
        return ApiError(404, "no_such_lot")
    return ApiError(
        503, "unavailable", getattr(outcome, "reason", ""), answers.RETRY_SECONDS
    )
