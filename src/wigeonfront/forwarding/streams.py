"""Forwards streams of events, and resumes them at other targets where allowed.

Each event is passed on to the caller as soon as it has arrived completely.
"""

import enum
import http.client
import logging
from random import Random
from typing import Protocol

from urllib3.exceptions import HTTPError

from wigeonfront.clock import Clock
from wigeonfront.configuration import Route
from wigeonfront.forwarding.attempt import CallerGone, ForwardRequest, NotExecuted
from wigeonfront.forwarding.exchange import (
    BodyLimit,
    Exchange,
    TargetProtocol,
    caller_closed,
)
from wigeonfront.forwarding.guard import NO_GUARD, RequestGuard
from wigeonfront.forwarding.open_call import MAX_ERROR_BYTES, OpenCall
from wigeonfront.forwarding.placement import choose_target
from wigeonfront.forwarding.steps import (
    GATEWAY_TIMEOUT,
    SERVER_ERROR,
    Fail,
    health_evidence,
    refusal,
)
from wigeonfront.http.raw import RawCall
from wigeonfront.observability.logs import event
from wigeonfront.rollout.events import BOUNDARY, EventReader
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.views import TargetView
from wigeonfront.usage.starts import StartLog

logger = logging.getLogger(__name__)

MAX_EVENT_GAP_SECONDS = 2.0
"""Longest gap between two events before the run counts as lost: callers disconnect
after a gap of two seconds."""

OK = 200


class StreamEnd(enum.Enum):
    """How sending a stream to one target ended."""

    DONE = "done"
    """Nothing more is sent to the caller."""

    BROKEN = "broken"
    """The run ended early; another run may resume the stream."""

    REFUSED = "refused"
    """The target did not run the request."""


class StreamProtocol(TargetProtocol, Protocol):
    """Wire protocol of streams and their resumption.

    The platform's adapter implements it.
    """

    version_field: bytes

    def resumed(self, request: ForwardRequest, after: int) -> ForwardRequest:
        """Return a request that resumes the stream after event `after`."""

    def resume_point(self, request: ForwardRequest) -> int:
        """Return the id of the event after which the caller asks to resume."""


class StreamStart:
    """Records the start of a stream at its first event, once for all of its runs.

    Parameters
    ----------
    starts : StartLog
    account : str
        Client account of the request. Without one (empty), no start is recorded.
    """

    def __init__(self, starts: StartLog, account: str) -> None:
        self._starts = starts
        self._account = account

    def record(self) -> None:
        """Record the start, unless an earlier event has recorded it."""
        if self._account:
            self._starts.add(self._account)
            self._account = ""


class StreamForwarder:
    """Forwards streams.

    Parameters
    ----------
    table : TargetTable
    exchange : Exchange
    protocol : StreamProtocol
    clock : Clock
    random : random.Random
        Chooses the service if a route splits its traffic.
    failure_domain : str
        Failure domain in which this process runs.
    starts : StartLog
        Records when requests of client accounts begin to run.
    guard : RequestGuard, optional
        Knows which requests must not be sent.
    """

    def __init__(
        self,
        table: TargetTable,
        exchange: Exchange,
        protocol: StreamProtocol,
        clock: Clock,
        random: Random,
        failure_domain: str,
        starts: StartLog,
        guard: RequestGuard = NO_GUARD,
    ) -> None:
        self._table = table
        self._exchange = exchange
        self._protocol = protocol
        self._clock = clock
        self._random = random
        self._failure_domain = failure_domain
        self._starts = starts
        self._guard = guard

    def forward(
        self,
        request: ForwardRequest,
        route: Route,
        started: float,
        deadline: float,
        call: RawCall,
    ) -> None:
        """Forward a stream to its end.

        Parameters
        ----------
        started, deadline : float
            Monotonic times, in seconds, at which the request arrived and at which the
            stream must have ended.
        """
        due = min(deadline, started + route.timeout)
        service = route.choose_service(self._random.random())
        tried: set[str] = set()
        sends_left = max(1, route.max_attempts)
        last_id = self._protocol.resume_point(request)
        may_have_run = False
        last_target = ""
        blocked = 0.0
        start = StreamStart(self._starts, request.account)
        while sends_left > 0 and self._clock.monotonic() < due:
            blocked = self._guard.blocked_for(request)
            if blocked:
                break
            views = self._table.views(service)
            view = choose_target(views, tried, self._failure_domain)
            if view is None and route.resumable:
                # Returning to an earlier target does not add to the number of targets
                # to which the request was sent.
                view = choose_target(views, {last_target}, self._failure_domain)
            if view is None:
                break
            last_target = view.target.id
            tried.add(last_target)
            sent = self._protocol.resumed(request, last_id) if last_id else request
            outcome, last_id = self._send(sent, view, due, call, last_id, start)
            if outcome is StreamEnd.DONE:
                return
            if outcome is not StreamEnd.REFUSED:
                may_have_run = True
                sends_left -= 1
                if not route.resumable:
                    break
        end = refusal("no target", may_have_run)
        if blocked:
            end = refusal("quarantined", may_have_run, blocked)
        elif may_have_run and self._clock.monotonic() >= due:
            end = Fail(GATEWAY_TIMEOUT, "timeout")
        self._fail(call, request, end)

    def _fail(self, call: RawCall, request: ForwardRequest, end: Fail) -> None:
        if call.answer_started:
            call.abort()
            status = 0
        else:
            retry = (
                (("Retry-After", f"{end.retry_after:g}"),) if end.retry_after else ()
            )
            call.reply(end.status, b"", retry)
            status = end.status
        event(
            logger,
            "stream_failed",
            request=request.id,
            status=status,
            reason=end.reason,
        )

    def _send(
        self,
        request: ForwardRequest,
        view: TargetView,
        due: float,
        call: RawCall,
        last_id: int,
        start: "StreamStart",
    ) -> tuple[StreamEnd, int]:
        """Send the stream to one target; return how it ended and the last event's id.

        That event is the last one that was passed on to the caller.
        """
        target = view.target
        self._table.record_started(target.id)
        limit = BodyLimit(due, held=False)
        opened = self._exchange.open(request, target, due, call.socket, body=limit)
        if not isinstance(opened, OpenCall):
            self._table.record_ended(target.id, health_evidence(opened))
            if isinstance(opened, NotExecuted) and opened.replaced:
                self._table.record_replaced(target.id)
            event(
                logger,
                "stream_send",
                request=request.id,
                target=target.id,
                load=view.in_flight,
                outcome=type(opened).__name__,
            )
            if isinstance(opened, CallerGone):
                call.abort()
                return StreamEnd.DONE, last_id
            refused = isinstance(opened, NotExecuted)
            return (StreamEnd.REFUSED if refused else StreamEnd.BROKEN), last_id
        if opened.status != OK:
            return self._forward_error(opened, target.id, call), last_id
        if not call.answer_started:
            call.begin(OK, self._protocol.response_headers(opened.headers))
        ended, last_id = self._forward_events(opened, call, last_id, due, start)
        evidence = "success" if ended is StreamEnd.DONE else "failure"
        self._table.record_ended(target.id, evidence)
        event(
            logger,
            "stream_send",
            request=request.id,
            target=target.id,
            load=view.in_flight,
            outcome=ended.value,
            last_event=last_id,
        )
        return ended, last_id

    def _forward_error(
        self, opened: OpenCall, target_id: str, call: RawCall
    ) -> StreamEnd:
        body = b""
        try:
            body = opened.body(MAX_EVENT_GAP_SECONDS, MAX_ERROR_BYTES)
            opened.finish()
        except (HTTPError, OSError, http.client.HTTPException):
            opened.close()
            self._table.record_ended(target_id, "failure")
            return StreamEnd.BROKEN
        server_error = opened.status >= SERVER_ERROR
        self._table.record_ended(target_id, "failure" if server_error else "success")
        if call.answer_started:
            return StreamEnd.BROKEN
        call.reply(opened.status, body, self._protocol.response_headers(opened.headers))
        return StreamEnd.DONE

    def _forward_events(
        self,
        opened: OpenCall,
        call: RawCall,
        last_id: int,
        due: float,
        start: "StreamStart",
    ) -> tuple[StreamEnd, int]:
        reader = EventReader(self._protocol.version_field)
        event_at = self._clock.monotonic()
        try:
            for piece in opened.pieces(MAX_EVENT_GAP_SECONDS):
                for raw in reader.feed_raw(piece):
                    found = reader.parse(raw)
                    if found.id != last_id + 1:
                        opened.close()
                        return StreamEnd.BROKEN, last_id
                    start.record()
                    call.write(raw + BOUNDARY)
                    last_id = found.id
                    event_at = self._clock.monotonic()
                if caller_closed(call.socket):
                    opened.close()
                    call.abort()
                    return StreamEnd.DONE, last_id
                if self._clock.monotonic() >= min(
                    due, event_at + MAX_EVENT_GAP_SECONDS
                ):
                    opened.close()
                    return StreamEnd.BROKEN, last_id
        except (HTTPError, ValueError, http.client.HTTPException, TimeoutError):
            opened.close()
            return StreamEnd.BROKEN, last_id
        except OSError:
            opened.close()
            raise
        if reader.rest.strip():
            opened.close()
            return StreamEnd.BROKEN, last_id
        opened.finish()
        return StreamEnd.DONE, last_id
