"""The calls of ``/v1`` about Lots."""

from typing import Protocol
from urllib.parse import parse_qs, quote, unquote

import msgspec

from wigeonfront.accounts import Admitted
from wigeonfront.api.authentication import CallAuthenticator, scoped_id
from wigeonfront.api.errors import Refused
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
"""Longest wait of a reading for a result: a connection that has gone silent is found
out soon after."""

PAGE_BYTES = 900_000
"""Text in one page of results."""

RETRY_SECONDS = 0.3

ACCEPTED = 202
SEPARATOR = "!"
"""Between the parts of an id; each part is quoted, so that it stands in none."""


class EngineHeaders(Protocol):
    """What a sample tells its engine beside its body; the platform's adapter knows."""

    def sample_headers(self, model: str, expected_tokens: int, body: bytes) -> Headers:
        """Return the headers of a sample."""


def lot_id(trainer: str, lot: str) -> str:
    """Return the id under which the Lot of a trainer is kept."""
    return f"{quote(trainer, safe='')}{SEPARATOR}{quote(lot, safe='')}"


class LotCalls:
    """Answers trainers.

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
        """Keep a Lot and run it; 202 also where it is kept already."""
        body = decode_body(call.body(configuration.limits.body_bytes), LotBody)
        route = named_route(configuration, body.route, RouteKind.LOTS)
        admitted = self._authenticator.admit(call, configuration, [route])
        id = scoped_id(admitted, configuration, lot_id(body.trainer, body.lot))
        if self._lots.knows(id) and self._lots.ended(id):
            raise Refused(410, "already_delivered")
        lot = self._lot(id, body, route, configuration, admitted)
        outcome = self._lots.submit(lot)
        if outcome == answers.Accepted(already_kept=True) and self._lots.ended(id):
            raise Refused(410, "already_delivered")
        if isinstance(outcome, answers.LotRefused):
            raise Refused(503, "not_run", outcome.reason, RETRY_SECONDS)
        if isinstance(outcome, answers.LotUncertain):
            raise Refused(504, "unknown", outcome.reason, RETRY_SECONDS)
        call.reply_json(ACCEPTED, LotAccepted(body.lot, len(lot.samples)))

    def read(self, call: RawCall, configuration: Configuration) -> None:
        """Answer with results from a position on, waiting for one if asked to."""
        name = _id_of(call.path.removeprefix(LOTS_PATH + "/"))
        id = self._authenticator.lot_id(call, configuration, name)
        query = parse_qs(call.query)
        after = int(_number(query, "after"))
        wait = min(_number(query, "wait"), MAX_WAIT_SECONDS)
        page = self._lots.read(id, after, wait)
        if not isinstance(page, answers.LotPage):
            raise _unreadable(page)
        results: list[SampleResult] = []
        size = 0
        for result in page.results:
            size += len(result.text)
            if results and size > PAGE_BYTES:
                break
            results.append(_result(result))
        call.reply_json(200, LotPage(page.total, results, after + len(results)))

    def acknowledge(self, call: RawCall, configuration: Configuration) -> None:
        """End a Lot whose results the trainer has."""
        body = decode_body(call.body(configuration.limits.body_bytes), LotName)
        name = lot_id(body.trainer, body.lot)
        outcome = self._lots.end(self._authenticator.lot_id(call, configuration, name))
        if not isinstance(outcome, answers.Accepted):
            raise _unreadable(outcome)
        call.reply_json(200, body)

    def _lot(
        self,
        id: str,
        body: LotBody,
        route: Route,
        configuration: Configuration,
        admitted: Admitted,
    ) -> Lot:
        names = {one.sample for one in body.samples}
        if len(names) != len(body.samples):
            raise Refused(422, "bad_field", "a sample's name stands twice")
        samples = tuple(
            self._sample(id, one, body.model, route, configuration)
            for one in body.samples
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

    def _sample(
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
            reward_call=_reward_call(f"{lot}{SEPARATOR}{name}", body, configuration),
        )


def named_route(configuration: Configuration, name: str, *kinds: RouteKind) -> Route:
    """Return the route of that name and of one of the kinds.

    Raises
    ------
    Refused
        Where there is none.
    """
    for route in configuration.routes:
        if route.name == name and route.kind in kinds:
            return route
    raise Refused(404, "no_route", name)


def _reward_call(
    sample: str, body: SampleBody, configuration: Configuration
) -> RewardCall | None:
    asked = body.reward_call
    if asked is None:
        return None
    route = named_route(configuration, asked.route, RouteKind.IDEMPOTENT)
    path = route.prefix + quote(asked.path, safe="/")
    data = msgspec.json.encode(asked.payload)
    return RewardCall(f"{sample}{SEPARATOR}score", route.host, path, data)


def _result(result: answers.SampleResult) -> SampleResult:
    name = unquote(result.id.rpartition(SEPARATOR)[2])
    kind = "completed" if result.completed else "given_up"
    text = result.text.decode("utf-8", "replace")
    return SampleResult(name, kind, text, result.versions, result.score)


def _id_of(path: str) -> str:
    trainer, _, lot = path.partition("/")
    if not trainer or not lot or "/" in lot:
        raise Refused(404, "no_such_call")
    return lot_id(unquote(trainer), unquote(lot))


def _number(query: dict[str, list[str]], name: str) -> float:
    text = query.get(name, ["0"])[-1]
    try:
        number = float(text)
    except ValueError:
        raise Refused(400, "bad_field", f"{name}: {text[:50]}") from None
    if not 0 <= number < float("inf"):
        raise Refused(400, "bad_field", f"{name}: {text[:50]}")
    return number


def _unreadable(outcome: object) -> Refused:
    if isinstance(outcome, answers.LotUnknown):
        return Refused(404, "no_such_lot")
    return Refused(503, "unavailable", getattr(outcome, "reason", ""), RETRY_SECONDS)
