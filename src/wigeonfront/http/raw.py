"""A cheroot server that passes requests and answers through as they are on the wire.

The handler gets the request target, the headers and the body undecoded, because a
forwarded request must arrive at its target byte for byte. A handler answers at once
with `RawCall.reply`, or piece by piece with `RawCall.begin` and `RawCall.write`.
"""

import logging
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from http import HTTPStatus

from cheroot import server as cheroot_server

from wigeonfront.http.body import BodyCutOff, BodyNotRead, BodyReader, BodyTooLarge
from wigeonfront.http.connection import Server
from wigeonfront.http.encoding import JSON_TYPE, encode, parse_address
from wigeonfront.http.source import ConnectionLimits
from wigeonfront.http.threads import STOP_SECONDS, ThreadPoolOnDemand
from wigeonfront.observability.logs import event

__all__ = [
    "BodyCutOff",
    "BodyNotRead",
    "BodyTooLarge",
    "ConnectionLimits",
    "RawCall",
    "RawHandler",
    "RawServer",
    "close_all",
]

logger = logging.getLogger(__name__)

LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted. A full queue drops the SYN packet, which
the caller sends again only after seconds."""

CLOSE_SLACK_SECONDS = 1.0
"""Time for the threads of the pool to end after the time that calls get to end."""

MAX_IDLE_CONNECTIONS = 256
"""Idle connections that are kept open for the next calls of their callers. Each takes
about 20 KB. With the library's default of 10, each call of further callers would need a
new connection."""

DEFAULT_BODY_SECONDS = 120.0
"""Time for the body of a call whose handler names no deadline."""

Headers = tuple[tuple[str, str], ...]


class RawCall:
    """One request to the server, and the methods to answer it.

    Parameters
    ----------
    request : cheroot.server.HTTPRequest
    closing : callable
        Returns whether connections are to be closed after the current answer.
    on_refusal : callable
        Called with the reason if the body is not read.
    """

    def __init__(
        self,
        request: cheroot_server.HTTPRequest,
        closing: Callable[[], bool],
        on_refusal: Callable[[str], None],
    ) -> None:
        self._request = request
        self._closing = closing
        self._on_refusal = on_refusal
        self._answer_started = False
        self._limits: ConnectionLimits = request.server.limits
        self._body = BodyReader(
            request.conn.rfile,
            request.framing,
            self._limits.head_bytes,
            request.confirm_body,
        )
        self.headers: Headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.inheaders.items()
        )
        self._by_name = {name.lower(): value for name, value in self.headers}

    @property
    def method(self) -> str:
        """The HTTP method."""
        return self._request.method.decode("latin-1")

    @property
    def target(self) -> str:
        """The request target as it was sent: path and query, not decoded."""
        return self._request.uri.decode("latin-1")

    @property
    def path(self) -> str:
        """The path of the request target, not decoded and without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """The query of the request target, not decoded."""
        return self.target.partition("?")[2]

    @property
    def socket(self) -> socket.socket:
        """The socket of the caller's connection."""
        return self._request.conn.socket

    @property
    def answer_started(self) -> bool:
        """Whether the handler has started to send the answer."""
        return self._answer_started

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string if it is missing."""
        return self._by_name.get(name.lower(), "")

    def body(
        self, max_bytes: int, deadline: float | None = None, copies: int = 1
    ) -> bytes:
        """Return the complete body.

        Parameters
        ----------
        max_bytes : int
        deadline : float, optional
            Monotonic time by which the body must have arrived.
        copies : int
            Number of times that the call holds the body at once, in any form.

        Raises
        ------
        BodyNotRead
            If the body can't be read; the server then refuses the call.
        """
        if deadline is None:
            deadline = time.monotonic() + DEFAULT_BODY_SECONDS
        return self._body.read(max_bytes, deadline, copies)

    def note_refusal(self, error: BodyNotRead) -> None:
        """Log and count that the body was not read."""
        self._on_refusal(error.code)
        event(
            logger,
            "body_not_read",
            reason=error.code,
            status=int(error.status),
            detail=str(error),
            request_target=self.target[:200],
        )

    def finish(self) -> None:
        """Give back what the call holds, and prepare for what follows it."""
        self._body.release()
        request = self._request
        if request.close_connection or not self._body.skip_rest():
            request.close_connection = True
            if not self._body.ended:
                longest = self._limits.body_bytes
                request.conn.rest_bytes = self._body.rest_bytes(longest)

    def reply(
        self, status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send a complete answer."""
        self.begin(status, (*headers, ("Content-Length", str(len(body)))))
        if body and self.method != "HEAD":
            self._request.write(body)

    def reply_json(
        self, status: int, message: object, headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send a complete answer with `message` as JSON."""
        self.reply(status, encode(message), (*headers, ("Content-Type", JSON_TYPE)))

    def begin(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Send the status and the headers.

        Without a ``Content-Length`` header the body is chunked.
        """
        request = self._request
        request.status = f"{status} {_reason(status)}".encode("latin-1")
        request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        # The unread rest of a body must not be parsed as the next request.
        unread = not self._body.rest_is_short
        if request.awaits_confirmation and not self._body.ended:
            unread = True
        if self._closing() or unread or status in (400, 408, 413, 431):
            request.close_connection = True
        self._answer_started = True
        request.sent_headers = True
        request.send_headers()

    def write(self, piece: bytes) -> None:
        """Send a piece of the body at once."""
        if piece:
            self._request.write(piece)

    def abort(self) -> None:
        """Close the connection so that the answer does not look complete."""
        self._request.close_connection = True
        self._request.chunked_write = False
        # Keeps the library from sending anything more, even a status line and headers
        # that have not been sent yet.
        self._request.sent_headers = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            event(logger, "abort_failed", level=logging.DEBUG, detail=str(error))


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


RawHandler = Callable[[RawCall], None]


class RawServer:
    """An HTTP server that answers each `RawCall` in a thread of its own pool.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    handler : callable
        Answers each call. If it raises an exception, the server answers with 500.
    threads : int
        Largest number of calls that are served at once.
    max_idle : int
        Largest number of idle connections that are kept open.
    on_refusal : callable, optional
        Called with the reason for which the body of a call was not read.
    """

    def __init__(
        self,
        address: str,
        handler: RawHandler,
        threads: int,
        max_idle: int = MAX_IDLE_CONNECTIONS,
        on_refusal: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._handler = handler
        self._on_refusal = on_refusal
        self._close_connections = False
        self._calls_lock = threading.Lock()
        self._open_calls = 0
        self._server = Server(parse_address(address), gateway=self._make_gateway())
        self._server.request_queue_size = LISTEN_BACKLOG
        self._server.keep_alive_conn_limit = max_idle
        self._server.shutdown_timeout = STOP_SECONDS
        self._server.set_limits(ConnectionLimits())
        self._server.server_name = "wigeonfront"
        self._server.requests = ThreadPoolOnDemand(self._server, threads)
        self._server.error_log = _log_server_error

    def _make_gateway(self) -> type[cheroot_server.Gateway]:
        server = self

        class _Gateway(cheroot_server.Gateway):
            def respond(self) -> None:
                server._serve(self.req)

        return _Gateway

    @property
    def open_calls(self) -> int:
        """Number of calls whose handler has not ended."""
        return self._open_calls

    def _serve(self, request: cheroot_server.HTTPRequest) -> None:
        call = RawCall(request, lambda: self._close_connections, self._on_refusal)
        with self._counted():
            try:
                self._answer(call)
            finally:
                call.finish()

    @contextmanager
    def _counted(self) -> Iterator[None]:
        with self._calls_lock:
            self._open_calls += 1
        try:
            yield
        finally:
            with self._calls_lock:
                self._open_calls -= 1

    def _answer(self, call: RawCall) -> None:
        try:
            self._handler(call)
        except BodyNotRead as error:
            self._refuse(call, error)
        except OSError as error:
            # The caller's connection is lost, so no answer can be sent.
            call.abort()
            event(logger, "caller_lost", level=logging.DEBUG, detail=str(error))
        except Exception:
            logger.exception("event=handler_failed target=%s", call.path[:200])
            if call.answer_started:
                call.abort()
            else:
                call.reply(500)

    def _refuse(self, call: RawCall, error: BodyNotRead) -> None:
        """Answer a call whose body was not read, and which therefore has not run."""
        call.note_refusal(error)
        headers = []
        if error.retry_after:
            headers.append(("Retry-After", f"{error.retry_after:g}"))
        try:
            call.reply(error.status, headers=headers)
        except OSError:
            call.abort()

    def set_limits(self, limits: ConnectionLimits) -> None:
        """Apply limits to all connections from now on."""
        self._server.set_limits(limits)

    def bind(self) -> None:
        """Listen on the address.

        Raises
        ------
        OSError
            If the address is not available.
        """
        self._server.prepare()

    def run(self, stop: object) -> None:
        """Serve until `close` is called; a task of a supervisor."""
        self._server.serve()

    @property
    def listening(self) -> bool:
        """Whether the server accepts connections."""
        return self._server.socket is not None

    def close_kept_alive(self) -> None:
        """Close each connection after the answer to its current request."""
        self._close_connections = True

    def close(self, seconds: float = STOP_SECONDS) -> None:
        """Stop listening, and end the pool after calls had `seconds` to end.

        The library's own stop waits for calls without a bound; this method does not.
        """
        close_all([self], seconds)

    def start_close(self, seconds: float) -> threading.Thread:
        """Stop listening and close idle connections; return the thread that does so.

        Calls in progress get `seconds` to end; the thread ends after them.
        """
        self.close_kept_alive()
        self._server.shutdown_timeout = seconds
        stopper = threading.Thread(target=self._server.stop, daemon=True)
        stopper.start()
        return stopper


def close_all(servers: Iterable[RawServer], seconds: float) -> None:
    """Close several servers concurrently, as `RawServer.close` closes one.

    Each server takes up to half a second to notice that it is to stop.
    """
    stoppers = [server.start_close(seconds) for server in servers]
    deadline = time.monotonic() + seconds + CLOSE_SLACK_SECONDS
    for stopper in stoppers:
        stopper.join(max(0.0, deadline - time.monotonic()))


def _log_server_error(message: str = "", level: int = 20, traceback: bool = False):
    if message:
        event(logger, "server_error", level=logging.WARNING, detail=message[:300])
