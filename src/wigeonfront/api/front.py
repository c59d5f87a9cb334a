"""Dispatches the calls to ``/v1`` to their handlers and answers their errors."""

import logging
from collections.abc import Callable

from wigeonfront.api.errors import ApiError, UnknownRouteError
from wigeonfront.api.lots import ACKNOWLEDGE_PATH, LOTS_PATH, LotCalls
from wigeonfront.api.messages import BodyError
from wigeonfront.api.operations import (
    CATALOGUE_PATH,
    DRAIN_PATH,
    EXPLAIN_PATH,
    HISTORY_PATH,
    IN_FORCE_PATH,
    STATUS_PATH,
    CatalogueCalls,
    OperatorCalls,
)
from wigeonfront.api.quarantine import QUARANTINE_PATH, QuarantineCalls
from wigeonfront.api.requests import REQUESTS_PATH, RequestCalls
from wigeonfront.configuration import Configuration
from wigeonfront.http.raw import BodyNotRead, RawCall
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

UNREADY_RETRY_SECONDS = 0.5
"""Value of ``Retry-After`` while the entry is not ready."""

Handler = Callable[[RawCall], None]
ConfiguredHandler = Callable[[RawCall, Configuration], None]


class ApiFront:
    """Answers the calls to ``/v1``, ``/health`` and ``/ready``.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force, or ``None`` before the first is known.
    outdated : callable
        Returns whether a change that must be in force by now may be missing here.
    ready : callable
        Returns whether callers may be sent to this entry.
    lots : LotCalls
    requests : RequestCalls
    catalogue : CatalogueCalls
    operators : OperatorCalls
    quarantine : QuarantineCalls
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration | None],
        outdated: Callable[[], bool],
        ready: Callable[[], bool],
        lots: LotCalls,
        requests: RequestCalls,
        catalogue: CatalogueCalls,
        operators: OperatorCalls,
        quarantine: QuarantineCalls,
    ) -> None:
        self._configuration = configuration
        self._outdated = outdated
        self._ready = ready
        self._lots = lots
        self._configured: dict[tuple[str, str], ConfiguredHandler] = {
            ("POST", LOTS_PATH): lots.submit,
            ("POST", ACKNOWLEDGE_PATH): lots.acknowledge,
            ("POST", REQUESTS_PATH): requests.answer,
        }
        self._read_lot: ConfiguredHandler = lots.read
        self._exact: dict[tuple[str, str], Handler] = {
            ("GET", CATALOGUE_PATH): catalogue.get,
            ("PUT", CATALOGUE_PATH): catalogue.put,
            ("GET", HISTORY_PATH): catalogue.history,
            ("GET", IN_FORCE_PATH): catalogue.in_force,
            ("GET", STATUS_PATH): operators.status,
            ("POST", DRAIN_PATH): operators.drain,
            ("GET", QUARANTINE_PATH): quarantine.show,
            ("GET", "/health"): _answer_health,
            ("GET", "/ready"): self._answer_ready,
        }
        self._by_prefix: dict[tuple[str, str], Handler] = {
            ("GET", EXPLAIN_PATH): operators.explain,
            ("DELETE", QUARANTINE_PATH + "/"): quarantine.release,
        }

    def handle(self, call: RawCall) -> None:
        """Answer one call."""
        try:
            self._answer(call)
        except UnknownRouteError as error:
            self._refuse_route(error).answer(call)
        except ApiError as error:
            error.answer(call)
        except BodyError as error:
            ApiError(400, "bad_body", str(error)).answer(call)
        except BodyNotRead as error:
            call.note_refusal(error)
            ApiError(error.status, error.code, str(error), error.retry_after).answer(
                call
            )
        event(logger, "api_call", method=call.method, path=call.path)

    def _answer(self, call: RawCall) -> None:
        method_and_path = call.method, call.path
        handler = self._find_configured(call)
        if handler is not None:
            configuration = self._configuration()
            if configuration is None:
                raise ApiError(503, "not_ready", "", UNREADY_RETRY_SECONDS)
            handler(call, configuration)
        elif method_and_path in self._exact:
            self._exact[method_and_path](call)
        else:
            self._find_by_prefix(call)(call)

    def _refuse_route(self, error: UnknownRouteError) -> ApiError:
        """Return the answer to a call on a route that is not known here."""
        if not self._outdated():
            return error
        return ApiError(503, "not_ready", "old configuration", UNREADY_RETRY_SECONDS)

    def _find_configured(self, call: RawCall) -> ConfiguredHandler | None:
        if call.method == "GET" and call.path.startswith(LOTS_PATH + "/"):
            return self._read_lot
        return self._configured.get((call.method, call.path))

    def _find_by_prefix(self, call: RawCall) -> Handler:
        for (method, prefix), handler in self._by_prefix.items():
            if call.method == method and call.path.startswith(prefix):
                return handler
        raise ApiError(404, "no_such_call", f"{call.method} {call.path[:100]}")

    def _answer_ready(self, call: RawCall) -> None:
        if not self._ready():
            raise ApiError(503, "not_ready", "", UNREADY_RETRY_SECONDS)
        call.reply(200)


def _answer_health(call: RawCall) -> None:
    call.reply(200)
