"""Forwards streams: whole events as they come, resumed elsewhere where allowed."""

import enum
import http.client
import logging
from random import Random
from typing import Protocol

from urllib3.exceptions import HTTPError

from wigeonfront.clock import Clock
from wigeonfront.configuration import Route
from wigeonfront.forwarding.attempt import CallerGone, ForwardRequest, NotExecuted
from wigeonfront.forwarding.exchange import Exchange, TargetProtocol, caller_closed
from wigeonfront.forwarding.guard import NO_GUARD, RequestGuard
from wigeonfront.forwarding.open_call import OpenCall
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

EVENT_SECONDS = 2.0
"""Longest silence between two events before the run counts as lost: callers leave
after a gap of two seconds."""

OK = 200


class StreamEnd(enum.Enum):
    """How sending a stream to one target ended."""

    DONE = "done"
    """The caller has all that it gets."""

    BROKEN = "broken"
    """The run broke off; another one may go on."""

    REFUSED = "refused"
    """The target did not run it."""


class StreamProtocol(TargetProtocol, Protocol):
    """How streams are resumed; the platform's adapter gives it."""

    version_field: bytes

    def resumed(self, request: ForwardRequest, after: int) -> ForwardRequest:
        """Return the request that goes on behind event `after`."""

    def resume_point(self, request: ForwardRequest) -> int:
        """Return the event behind which the caller itself asks to go on."""


class FirstEvent:
    """Notes the start of a stream with its first event, once for all of its runs.

    Parameters
    ----------
    starts : StartLog
    account : str
        Empty for none, which nobody counts.
    """

    def __init__(self, starts: StartLog, account: str) -> None:
        self._starts = starts
        self._account = account

    def note(self) -> None:
        """Note an event."""
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
    failure_domain : str
        Where this process stands.
    starts : StartLog
        Notes the requests of client accounts that begin to run.
    guard : RequestGuard, optional
        Knows the requests that must not be sent.
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
            Monotonic times.
        """
        due = min(deadline, started + route.timeout)
        service = route.choose_service(self._random.random())
        tried: set[str] = set()
        sends_left = max(1, route.max_attempts)
        last_id = self._protocol.resume_point(request)
        may_have_run = False
        last_target = ""
        blocked = 0.0
        start = FirstEvent(self._starts, request.account)
        while sends_left > 0 and self._clock.monotonic() < due:
            blocked = self._guard.blocked_for(request)
            if blocked:
                break
            views = self._table.views(service)
            view = choose_target(views, tried, self._failure_domain)
            if view is None and route.resumable:
                # Going back to a target adds none to those that have been sent to.
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
        start: "FirstEvent",
    ) -> tuple[StreamEnd, int]:
        """Send to one target; return how it went and the last event passed on."""
        target = view.target
        self._table.started(target.id)
        opened = self._exchange.open(request, target, due, call.socket)
        if not isinstance(opened, OpenCall):
            self._table.ended(target.id, health_evidence(opened))
            if isinstance(opened, NotExecuted) and opened.replaced:
                self._table.replaced(target.id)
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
            return self._pass_error(opened, target.id, call), last_id
        if not call.answer_started:
            call.begin(OK, self._protocol.response_headers(opened.headers))
        ended, last_id = self._pass_events(opened, call, last_id, due, start)
        evidence = "success" if ended is StreamEnd.DONE else "failure"
        self._table.ended(target.id, evidence)
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

    def _pass_error(self, opened: OpenCall, target_id: str, call: RawCall) -> StreamEnd:
        body = b""
        try:
            body = b"".join(opened.pieces(EVENT_SECONDS))
            opened.finish()
        except (HTTPError, OSError, http.client.HTTPException):
            opened.close()
            self._table.ended(target_id, "failure")
            return StreamEnd.BROKEN
        bad = opened.status >= SERVER_ERROR
        self._table.ended(target_id, "failure" if bad else "success")
        if call.answer_started:
            return StreamEnd.BROKEN
        call.reply(opened.status, body, self._protocol.response_headers(opened.headers))
        return StreamEnd.DONE

    def _pass_events(
        self,
        opened: OpenCall,
        call: RawCall,
        last_id: int,
        due: float,
        start: "FirstEvent",
    ) -> tuple[StreamEnd, int]:
        reader = EventReader(self._protocol.version_field)
        try:
            for piece in opened.pieces(EVENT_SECONDS):
                for raw in reader.feed_raw(piece):
                    found = reader.parse(raw)
                    if found.id != last_id + 1:
                        opened.close()
                        return StreamEnd.BROKEN, last_id
                    start.note()
                    call.write(raw + BOUNDARY)
                    last_id = found.id
                if caller_closed(call.socket):
                    opened.close()
                    call.abort()
                    return StreamEnd.DONE, last_id
                if self._clock.monotonic() >= due:
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
