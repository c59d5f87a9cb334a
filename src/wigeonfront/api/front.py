"""Finds what a call of ``/v1`` asks for, and answers errors alike."""

import logging
from collections.abc import Callable

from wigeonfront.api.errors import Refused
from wigeonfront.api.lots import ACKNOWLEDGE_PATH, LOTS_PATH, LotCalls
from wigeonfront.api.messages import BadBody
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
from wigeonfront.http.raw import BodyTooLarge, RawCall
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

UNREADY_SECONDS = 0.5

Answer = Callable[[RawCall], None]
ConfiguredAnswer = Callable[[RawCall, Configuration], None]


class ApiFront:
    """Answers the calls of ``/v1``.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force, or ``None`` before the first is known.
    ready : callable
        Tells whether callers may be sent here.
    lots : LotCalls
    requests : RequestCalls
    catalogue : CatalogueCalls
    operators : OperatorCalls
    quarantine : QuarantineCalls
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration | None],
        ready: Callable[[], bool],
        lots: LotCalls,
        requests: RequestCalls,
        catalogue: CatalogueCalls,
        operators: OperatorCalls,
        quarantine: QuarantineCalls,
    ) -> None:
        self._configuration = configuration
        self._ready = ready
        self._lots = lots
        self._configured: dict[tuple[str, str], ConfiguredAnswer] = {
            ("POST", LOTS_PATH): lots.submit,
            ("POST", ACKNOWLEDGE_PATH): lots.acknowledge,
            ("POST", REQUESTS_PATH): requests.answer,
        }
        self._lot_reads: ConfiguredAnswer = lots.read
        self._plain: dict[tuple[str, str], Answer] = {
            ("GET", CATALOGUE_PATH): catalogue.get,
            ("PUT", CATALOGUE_PATH): catalogue.put,
            ("GET", HISTORY_PATH): catalogue.history,
            ("GET", IN_FORCE_PATH): catalogue.in_force,
            ("GET", STATUS_PATH): operators.status,
            ("POST", DRAIN_PATH): operators.drain,
            ("GET", QUARANTINE_PATH): quarantine.show,
            ("GET", "/health"): _alive,
            ("GET", "/ready"): self._answer_ready,
        }
        self._below: dict[tuple[str, str], Answer] = {
            ("GET", EXPLAIN_PATH): operators.explain,
            ("DELETE", QUARANTINE_PATH + "/"): quarantine.release,
        }

    def handle(self, call: RawCall) -> None:
        """Answer one call."""
        try:
            self._answer(call)
        except Refused as refused:
            refused.answer(call)
        except BadBody as bad:
            Refused(400, "bad_body", str(bad)).answer(call)
        except BodyTooLarge:
            Refused(413, "body_too_large").answer(call)
        event(logger, "api_call", method=call.method, path=call.path)

    def _answer(self, call: RawCall) -> None:
        asked = call.method, call.path
        configured = self._find_configured(call)
        if configured is not None:
            configuration = self._configuration()
            if configuration is None:
                raise Refused(503, "not_ready", "", UNREADY_SECONDS)
            configured(call, configuration)
        elif asked in self._plain:
            self._plain[asked](call)
        else:
            self._find_below(call)(call)

    def _find_configured(self, call: RawCall) -> ConfiguredAnswer | None:
        if call.method == "GET" and call.path.startswith(LOTS_PATH + "/"):
            return self._lot_reads
        return self._configured.get((call.method, call.path))

    def _find_below(self, call: RawCall) -> Answer:
        for (method, prefix), answer in self._below.items():
            if call.method == method and call.path.startswith(prefix):
                return answer
        raise Refused(404, "no_such_call", f"{call.method} {call.path[:100]}")

    def _answer_ready(self, call: RawCall) -> None:
        if not self._ready():
            raise Refused(503, "not_ready", "", UNREADY_SECONDS)
        call.reply(200)


def _alive(call: RawCall) -> None:
    call.reply(200)
