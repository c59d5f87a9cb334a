"""Sends one request to one target over pooled connections."""

import http.client
import logging
import math
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError

from wigeonfront.clock import Clock
from wigeonfront.forwarding.attempt import (
    Answered,
    Broken,
    CallerGone,
    ForwardRequest,
    Headers,
    NotExecuted,
    Outcome,
    TimedOut,
)
from wigeonfront.forwarding.connections import Connection, Connections, NoConnection
from wigeonfront.forwarding.fingerprint import fingerprint
from wigeonfront.forwarding.guard import NO_GUARD, RequestGuard
from wigeonfront.forwarding.handle import CallHandle
from wigeonfront.forwarding.open_call import OpenCall, do_nothing
from wigeonfront.forwarding.slow_wait import SlowWait
from wigeonfront.http.bounded import (
    ANSWER_BUDGET,
    MAX_BODY_BYTES,
    AnswerCutOff,
    AnswerLimit,
)
from wigeonfront.observability.logs import event
from wigeonfront.targets.target import Target

logger = logging.getLogger(__name__)

REFUSAL_BODY_TIMEOUT_SECONDS = 0.1
"""Longest wait for the body of a refusal, which arrives together with its head."""

MAX_IDLE_UNREPEATABLE_SECONDS = 1.0
"""Longest idle time of a pooled connection that carries a request which must not be
repeated: if the target closed it meanwhile, it would be uncertain whether the request
ran."""

MAX_RESEND_SECONDS = 0.5
"""Time after the first send for which a request may be sent again to a target that has
begun to leave meanwhile: a quarter of the time for which such a target still serves,
because senders learn of it late."""


@dataclass(frozen=True, slots=True)
class BodyLimit:
    """What the body of an answer may take.

    Attributes
    ----------
    deadline : float
        Monotonic time until which it must have arrived.
    max_bytes : int
    held : bool
        Whether the process holds the body, and not only passes it on.
    """

    deadline: float
    max_bytes: int = MAX_BODY_BYTES
    held: bool = True


OnSent = Callable[[], None]
AcceptsWork = Callable[[str], bool]


def _always(target_id: str) -> bool:
    return True


class TargetProtocol(Protocol):
    """Wire protocol of targets; the platform's adapter implements it."""

    def request_headers(
        self, request: ForwardRequest, target: Target, remaining: float
    ) -> HTTPHeaderDict:
        """Return the headers to send; `remaining` is in seconds."""

    def not_executed(self, status: int, headers: HTTPHeaderDict) -> bool:
        """Return whether the answer says that the request did not run."""

    def replaced(self, status: int) -> bool:
        """Return whether an incarnation other than the intended one answered."""

    def is_answer_to(self, request: ForwardRequest, headers: HTTPHeaderDict) -> bool:
        """Return whether a target sent the answer in response to this request."""

    def response_headers(self, headers: HTTPHeaderDict) -> Headers:
        """Return those headers of the answer that are passed on to the caller."""


@dataclass(frozen=True, slots=True)
class _Send:
    """A send of one request on one connection.

    Attributes
    ----------
    request : ForwardRequest
    target : Target
    connection : Connection
    handle : CallHandle or None
    started : float
        Monotonic time at which the send started, in seconds.
    body : BodyLimit
    """

    request: ForwardRequest
    target: Target
    connection: Connection
    handle: CallHandle | None
    started: float
    body: BodyLimit


class Exchange:
    """Sends requests to targets over pooled connections.

    Parameters
    ----------
    connections : Connections
    protocol : TargetProtocol
    clock : Clock
    guard : RequestGuard, optional
        Learns which connections were lost and which requests were answered.
    accepts_work : callable, optional
        Returns whether the target with an id has not begun to leave. It is asked before
        a request is sent to its target a second time. By default no target leaves.
    """

    def __init__(
        self,
        connections: Connections,
        protocol: TargetProtocol,
        clock: Clock,
        guard: RequestGuard = NO_GUARD,
        accepts_work: AcceptsWork = _always,
    ) -> None:
        self._connections = connections
        self._protocol = protocol
        self._clock = clock
        self._guard = guard
        self._accepts_work = accepts_work

    def send(
        self,
        request: ForwardRequest,
        target: Target,
        deadline: float,
        caller: socket.socket | None = None,
        run_seconds: float | None = None,
        handle: CallHandle | None = None,
        on_sent: OnSent = do_nothing,
        reuse_deadline: float | None = None,
        slow: SlowWait | None = None,
    ) -> Outcome:
        """Send `request` and read the whole answer.

        Parameters
        ----------
        deadline : float
            Monotonic time at which the wait for the answer ends.
        caller, run_seconds, handle, on_sent, reuse_deadline, slow
            As for `open`.
        """
        started = self._clock.monotonic()
        call = self.open(
            request,
            target,
            deadline,
            caller,
            run_seconds,
            handle,
            on_sent,
            reuse_deadline,
            slow,
        )
        if isinstance(call, TimedOut):
            return TimedOut(self._clock.monotonic() - started)
        if not isinstance(call, OpenCall):
            return call
        if handle is not None:
            handle.record_answer_begun()
        try:
            body = call.body(max(0.05, deadline - self._clock.monotonic()))
        except TimeoutError:
            call.close()
            return TimedOut(self._clock.monotonic() - started)
        except (HTTPError, OSError, http.client.HTTPException) as error:
            call.close()
            if handle is not None and handle.cancelled:
                return CallerGone()
            return Broken(f"body:{type(error).__name__}", lost=True)
        headers = self._protocol.response_headers(call.headers)
        call.finish()
        return Answered(call.status, headers, body, call.framed)

    def open(
        self,
        request: ForwardRequest,
        target: Target,
        deadline: float,
        caller: socket.socket | None = None,
        run_seconds: float | None = None,
        handle: CallHandle | None = None,
        on_sent: OnSent = do_nothing,
        reuse_deadline: float | None = None,
        slow: SlowWait | None = None,
        body: BodyLimit | None = None,
    ) -> OpenCall | NotExecuted | Broken | CallerGone | TimedOut:
        """Send `request` and return once the head of the answer has arrived.

        Parameters
        ----------
        deadline : float
            Monotonic time at which the wait for the head ends.
        caller : socket, optional
            Connection of the caller; the request ends when the caller closes it.
        run_seconds : float, optional
            Seconds for which the target may work; by default the time to `deadline`.
        handle : CallHandle, optional
            Ends the request from another thread.
        on_sent : callable
            Called when the whole request has been written, once for each connection
            on which it is sent.
        reuse_deadline : float, optional
            Monotonic time at which the wait for the head ends on a reused connection,
            which may no longer work. A request that may be repeated is then sent again
            on a new connection.
        slow : SlowWait, optional
            Told if the connection or the head is awaited for long.
        body : BodyLimit, optional
            Limit of the body; by default it must have arrived by `deadline` too.
        """
        if handle is not None and handle.cancelled:
            return CallerGone()
        max_idle_seconds = (
            math.inf if request.repeatable else MAX_IDLE_UNREPEATABLE_SECONDS
        )
        connection = self._connections.acquire(
            target.id, target.address, max_idle_seconds, handle, slow
        )
        if isinstance(connection, NoConnection):
            if handle is not None and handle.cancelled:
                return CallerGone()
            return NotExecuted(connection.reason)
        if handle is not None and not handle.attach(connection.shared_socket):
            connection.close()
            return CallerGone()
        send = _Send(
            request,
            target,
            connection,
            handle,
            self._clock.monotonic(),
            body or BodyLimit(deadline),
        )
        until = deadline
        if connection.used and reuse_deadline is not None:
            until = min(deadline, reuse_deadline)
        outcome = self._send_on_connection(
            send, until, caller, run_seconds, on_sent, slow
        )
        if isinstance(outcome, Broken) and outcome.lost:
            self._report_lost_connection(send, outcome.reason)
        dropped = (
            isinstance(outcome, Broken) and connection.used and not outcome.cut_off
        )
        silent = isinstance(outcome, TimedOut) and until < deadline
        if not isinstance(outcome, OpenCall):
            connection.reset()
        if isinstance(outcome, TimedOut):
            # A network partition may hold back requests sent on the other connections.
            self._connections.close_idle_to(target.id)
        cancelled = handle is not None and handle.cancelled
        if (dropped or silent) and request.repeatable and not cancelled:
            # The reused connection does not work, so retry on a new one.
            self._connections.close_idle_to(target.id)
            if not self._may_resend(send):
                return outcome
            second = self.open(
                request,
                target,
                deadline,
                caller,
                run_seconds,
                handle,
                on_sent,
                slow=slow,
                body=body,
            )
            refused = isinstance(second, NotExecuted)
            # The first send may have run, unless the target is still alive and had
            # only closed the idle connection.
            return outcome if refused and (silent or _target_ended(second)) else second
        if handle is not None and handle.cancelled and isinstance(outcome, Broken):
            return CallerGone()
        return outcome

    def _may_resend(self, send: _Send) -> bool:
        """Return whether the request may be sent to its target a second time."""
        elapsed = self._clock.monotonic() - send.started
        return elapsed < MAX_RESEND_SECONDS or self._accepts_work(send.target.id)

    def _send_on_connection(
        self,
        send: _Send,
        deadline: float,
        caller: socket.socket | None,
        run_seconds: float | None,
        on_sent: OnSent,
        slow: SlowWait | None,
    ) -> OpenCall | NotExecuted | Broken | CallerGone | TimedOut:
        request, http_connection = send.request, send.connection.http_connection
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            return NotExecuted("no time left")
        seconds = remaining if run_seconds is None else run_seconds
        headers = self._protocol.request_headers(request, send.target, seconds)
        http_connection.timeout = max(0.05, remaining)
        try:
            http_connection.request(
                request.method,
                request.target,
                body=request.body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
        except TimeoutError:
            return TimedOut()
        except (HTTPError, OSError, http.client.HTTPException) as error:
            return Broken(f"send:{type(error).__name__}", lost=True)
        on_sent()
        waited = self._wait_for_head(http_connection.sock, deadline, caller, slow)
        if waited is not None:
            return waited
        return self._read_head(send, deadline)

    def _read_head(
        self, send: _Send, deadline: float
    ) -> OpenCall | NotExecuted | Broken | TimedOut:
        connection, handle = send.connection, send.handle
        http_connection = connection.http_connection
        http_connection.sock.settimeout(max(0.05, deadline - self._clock.monotonic()))
        http_connection.limit = AnswerLimit(
            deadline,
            send.body.deadline,
            send.body.max_bytes,
            budget=ANSWER_BUDGET if send.body.held else None,
        )
        try:
            response = http_connection.getresponse()
        except TimeoutError:
            return TimedOut()
        except (HTTPError, OSError, http.client.HTTPException) as error:
            cut_off = isinstance(error, AnswerCutOff)
            return Broken(f"head:{type(error).__name__}", lost=True, cut_off=cut_off)
        if self._protocol.not_executed(response.status, response.headers):
            self._drain(OpenCall(connection, response, self._connections, handle))
            replaced = self._protocol.replaced(response.status)
            return NotExecuted(f"status {response.status}", response.status, replaced)
        if not self._protocol.is_answer_to(send.request, response.headers):
            return Broken("foreign answer")
        return OpenCall(
            connection,
            response,
            self._connections,
            handle,
            partial(self._report_lost_connection, send),
            partial(self._guard.answered, send.request),
        )

    def _report_lost_connection(self, send: _Send, reason: str) -> None:
        """Log that a connection was lost during a request and tell the guard.

        A connection that this process itself ended is not reported.
        """
        if send.handle is not None and send.handle.interrupted:
            return
        event(
            logger,
            "connection_lost",
            request=send.request.id,
            fingerprint=fingerprint(send.request),
            service=send.target.service,
            target=send.target.id,
            kept=send.connection.used,
            reason=reason,
        )
        seconds = self._clock.monotonic() - send.started
        self._guard.connection_lost(send.request, send.target, seconds)

    def _drain(self, call: OpenCall) -> None:
        """Read the short body of a refusal, so that its connection can be reused."""
        until = self._clock.monotonic() + REFUSAL_BODY_TIMEOUT_SECONDS
        try:
            call.discard_body(until, REFUSAL_BODY_TIMEOUT_SECONDS)
        except (HTTPError, OSError, http.client.HTTPException):
            call.close()
            return
        call.finish()

    def _wait_for_head(
        self,
        sock: socket.socket,
        deadline: float,
        caller: socket.socket | None,
        slow: SlowWait | None,
    ) -> CallerGone | TimedOut | None:
        """Wait until the answer begins, and watch the caller's connection meanwhile.

        Return ``None`` once bytes of the answer can be read.
        """
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        if caller is not None:
            try:
                poll.register(caller, select.POLLIN)
            except ValueError:
                # Another send was answered, and the caller's connection is closed.
                return CallerGone()
        while True:
            now = self._clock.monotonic()
            remaining = deadline - now
            if remaining <= 0:
                return TimedOut()
            if slow is not None:
                slow.check(now)
                remaining = slow.limit(now, remaining)
            ready = {number for number, _ in poll.poll(remaining * 1000)}
            if sock.fileno() in ready:
                return None
            if caller is not None and caller.fileno() in ready:
                if caller_closed(caller):
                    return CallerGone()
                # The caller has sent more data, so its socket stays readable and can
                # no longer be polled for its close.
                poll.unregister(caller)
                caller = None


def _target_ended(outcome: NotExecuted) -> bool:
    """Return whether the intended target process is gone or unreachable."""
    return outcome.status == 0 or outcome.replaced


def caller_closed(caller: socket.socket) -> bool:
    """Return whether the caller has closed its connection, without waiting."""
    try:
        poll = select.poll()
        poll.register(caller, select.POLLIN)
        # On a socket with a timeout, recv would wait for the whole timeout.
        if not poll.poll(0):
            return False
        return caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except (BlockingIOError, InterruptedError):
        return False
    except (OSError, ValueError):
        return True
