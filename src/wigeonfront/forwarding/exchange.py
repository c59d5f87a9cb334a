"""Sends one request to one target over kept connections."""

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
from wigeonfront.observability.logs import event
from wigeonfront.targets.target import Target

logger = logging.getLogger(__name__)

MOST_ANSWER_BYTES = 64 * 1024 * 1024
REFUSAL_BODY_SECONDS = 0.1
"""Longest wait for the rest of a refusal, whose body comes with its head."""

FRESH_IDLE_SECONDS = 1.0
"""Idle time up to which a kept connection carries a request that must not be repeated:
a target that closes it meanwhile would leave in doubt whether the request ran."""


OnSent = Callable[[], None]


class TargetProtocol(Protocol):
    """How targets are spoken to; the platform's adapter gives it."""

    def request_headers(
        self, request: ForwardRequest, target: Target, remaining: float
    ) -> HTTPHeaderDict:
        """Return the headers to send; `remaining` is in seconds."""

    def not_executed(self, status: int, headers: HTTPHeaderDict) -> bool:
        """Tell whether the answer says that the request did not run."""

    def replaced(self, status: int) -> bool:
        """Tell whether another incarnation than the one that was meant answered."""

    def is_answer_to(self, request: ForwardRequest, headers: HTTPHeaderDict) -> bool:
        """Tell whether the answer is that of a target to this request."""

    def response_headers(self, headers: HTTPHeaderDict) -> Headers:
        """Return the headers of the answer that the caller gets."""


@dataclass(frozen=True, slots=True)
class _Send:
    """One request on one connection.

    Attributes
    ----------
    request : ForwardRequest
    target : Target
    connection : Connection
    handle : CallHandle or None
    started : float
        Monotonic time.
    """

    request: ForwardRequest
    target: Target
    connection: Connection
    handle: CallHandle | None
    started: float


class Exchange:
    """Sends requests to targets over kept connections.

    Parameters
    ----------
    connections : Connections
    protocol : TargetProtocol
    clock : Clock
    guard : RequestGuard, optional
        Is told which connections were lost and which requests were answered.
    """

    def __init__(
        self,
        connections: Connections,
        protocol: TargetProtocol,
        clock: Clock,
        guard: RequestGuard = NO_GUARD,
    ) -> None:
        self._connections = connections
        self._protocol = protocol
        self._clock = clock
        self._guard = guard

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
    ) -> Outcome:
        """Send `request` and read the whole answer.

        Parameters
        ----------
        deadline : float
            Monotonic time at which waiting ends.
        caller, run_seconds, handle, on_sent, reuse_deadline
            As for `open`.
        """
        started = self._clock.monotonic()
        call = self.open(
            request, target, deadline, caller, run_seconds, handle, on_sent, reuse_deadline
        )
        if isinstance(call, TimedOut):
            return TimedOut(self._clock.monotonic() - started)
        if not isinstance(call, OpenCall):
            return call
        body = bytearray()
        try:
            for piece in call.pieces(max(0.05, deadline - self._clock.monotonic())):
                body += piece
                if len(body) > MOST_ANSWER_BYTES:
                    call.close()
                    return Broken("answer too large")
        except TimeoutError:
            call.close()
            return TimedOut(self._clock.monotonic() - started)
        except (HTTPError, OSError, http.client.HTTPException) as error:
            call.close()
            return Broken(f"body:{type(error).__name__}", lost=True)
        headers = self._protocol.response_headers(call.headers)
        call.finish()
        return Answered(call.status, headers, bytes(body), call.framed)

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
    ) -> OpenCall | NotExecuted | Broken | CallerGone | TimedOut:
        """Send `request` and return once the head of the answer has come.

        Parameters
        ----------
        deadline : float
            Monotonic time until which the head is waited for.
        caller : socket, optional
            The caller's connection; its close ends the request.
        run_seconds : float, optional
            Time that the target may work; until `deadline` by default.
        handle : CallHandle, optional
            Ends the request from another thread.
        on_sent : callable
            Called once the whole request is on its way; again if it is sent anew.
        reuse_deadline : float, optional
            Monotonic time until which the head is waited for on a kept connection,
            which may have fallen silent; a request that may be repeated is then sent
            again on a new one.
        """
        most_idle = math.inf if request.repeatable else FRESH_IDLE_SECONDS
        connection = self._connections.take(target.id, target.address, most_idle)
        if isinstance(connection, NoConnection):
            return NotExecuted(connection.reason)
        if handle is not None and not handle.attach(connection.sock):
            connection.close()
            return CallerGone()
        send = _Send(request, target, connection, handle, self._clock.monotonic())
        until = deadline
        if connection.used and reuse_deadline is not None:
            until = min(deadline, reuse_deadline)
        outcome = self._send_on(send, until, caller, run_seconds, on_sent)
        if isinstance(outcome, Broken) and outcome.lost:
            self._lost(send, outcome.reason)
        dropped = isinstance(outcome, Broken) and connection.used
        silent = isinstance(outcome, TimedOut) and until < deadline
        if not isinstance(outcome, OpenCall):
            connection.reset()
        if isinstance(outcome, TimedOut):
            # A network that is cut there would hold what goes out on the others.
            self._connections.forget(target.id)
        if (dropped or silent) and request.repeatable:
            # The kept connection does not work: once more on a new one.
            self._connections.forget(target.id)
            again = self.open(
                request, target, deadline, caller, run_seconds, handle, on_sent
            )
            refused = isinstance(again, NotExecuted)
            # The first send may have run, unless a living target had dropped it.
            return outcome if refused and (silent or _target_ended(second)) else again
        if handle is not None and handle.cancelled and isinstance(outcome, Broken):
            return CallerGone()
        return outcome

    def _send_on(
        self,
        send: _Send,
        deadline: float,
        caller: socket.socket | None,
        run_seconds: float | None,
        on_sent: OnSent,
    ) -> OpenCall | NotExecuted | Broken | CallerGone | TimedOut:
        request, link = send.request, send.connection.link
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            return NotExecuted("no time left")
        seconds = remaining if run_seconds is None else run_seconds
        headers = self._protocol.request_headers(request, send.target, seconds)
        link.timeout = max(0.05, remaining)
        try:
            link.request(
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
        waited = self._wait_head(link.sock, deadline, caller)
        if waited is not None:
            return waited
        return self._read_head(send, deadline)

    def _read_head(
        self, send: _Send, deadline: float
    ) -> OpenCall | NotExecuted | Broken | TimedOut:
        connection, handle = send.connection, send.handle
        link = connection.link
        link.sock.settimeout(max(0.05, deadline - self._clock.monotonic()))
        try:
            response = link.getresponse()
        except TimeoutError:
            return TimedOut()
        except (HTTPError, OSError, http.client.HTTPException) as error:
            return Broken(f"head:{type(error).__name__}", lost=True)
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
            partial(self._lost, send),
            partial(self._guard.answered, send.request),
        )

    def _lost(self, send: _Send, reason: str) -> None:
        """Tell that a connection was lost under a request, unless it was ended here."""
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
        """Read the short body of a refusal, so that its connection can be kept."""
        try:
            for _ in call.pieces(REFUSAL_BODY_SECONDS):
                pass
        except (HTTPError, OSError, http.client.HTTPException):
            call.close()
            return
        call.finish()

    def _wait_head(
        self, sock: socket.socket, deadline: float, caller: socket.socket | None
    ) -> CallerGone | TimedOut | None:
        """Wait until the answer begins; meanwhile watch the caller's connection."""
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        if caller is not None:
            poll.register(caller, select.POLLIN)
        while True:
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                return TimedOut()
            ready = {number for number, _ in poll.poll(remaining * 1000)}
            if sock.fileno() in ready:
                return None
            if caller is not None and caller.fileno() in ready:
                if caller_closed(caller):
                    return CallerGone()
                # The caller has sent more; from now on only its close matters.
                poll.unregister(caller)
                caller = None


def _target_ended(outcome: NotExecuted) -> bool:
    """Tell whether the process that a request was meant for is gone or unreachable."""
    return outcome.status == 0 or outcome.replaced


def caller_closed(caller: socket.socket) -> bool:
    """Return whether the other end has closed the connection; never wait."""
    try:
        poll = select.poll()
        poll.register(caller, select.POLLIN)
        # A socket with a timeout would wait in recv for all of it.
        if not poll.poll(0):
            return False
        return caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except (BlockingIOError, InterruptedError):
        return False
    except (OSError, ValueError):
        return True
