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

from wigeonfront.http.encoding import JSON_TYPE, encode, parse_address
from wigeonfront.http.threads import STOP_SECONDS, ThreadPoolOnDemand
from wigeonfront.observability.logs import event

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

DEFAULT_IDLE_SECONDS = 15.0
DEFAULT_HEADER_BYTES = 64 * 1024

Headers = tuple[tuple[str, str], ...]


class BodyTooLarge(Exception):  # noqa: N818
    """The body of the request is longer than the handler accepts."""


class BodyCutOff(Exception):  # noqa: N818
    """The caller closed the connection, or broke the framing, within the body."""


class _HeaderReader(cheroot_server.HeaderReader):
    """Joins repeated ``Authorization`` headers; the library keeps only the last one."""

    def __call__(
        self, rfile: object, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read the headers into `hdict`."""
        joined = _RepeatedHeaders()
        super().__call__(rfile, joined)
        headers = {} if hdict is None else hdict
        headers.update(joined)
        return headers


class _RepeatedHeaders(dict[bytes, bytes]):
    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name == b"Authorization" and name in self:
            value = b", ".join((self[name], value))
        super().__setitem__(name, value)


class _Request(cheroot_server.HTTPRequest):
    header_reader = _HeaderReader()


class _Connection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _Request


class RawCall:
    """One request to the server, and the methods to answer it.

    Parameters
    ----------
    request : cheroot.server.HTTPRequest
    closing : callable
        Returns whether connections are to be closed after the current answer.
    """

    def __init__(
        self, request: cheroot_server.HTTPRequest, closing: Callable[[], bool]
    ) -> None:
        self._request = request
        self._closing = closing
        self._answer_started = False
        self._body_read = False
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

    def body(self, max_bytes: int) -> bytes:
        """Return the complete body.

        Raises
        ------
        BodyTooLarge
            If the body is longer than `max_bytes`.
        BodyCutOff
            If the end of the body did not arrive.
        """
        self._body_read = True
        length = int(self.header("Content-Length") or 0)
        if length > max_bytes:
            raise BodyTooLarge
        try:
            if self._is_chunked:
                body = self._read_chunks()
            else:
                body = self._request.rfile.read(length)
        except (OSError, ValueError) as error:
            raise BodyCutOff(str(error)) from error
        if len(body) > max_bytes:
            raise BodyTooLarge
        if len(body) < length:
            raise BodyCutOff
        return body

    def _read_chunks(self) -> bytes:
        """Return a chunked body.

        The library takes the end of the connection for the end of the last size line,
        and leaves the trailers on the connection, in front of the next request.

        Raises
        ------
        ValueError
            If the body does not end with an empty line.
        """
        rfile = self._request.rfile
        body = rfile.read()
        for _ in rfile.read_trailer_lines():
            pass
        return body

    @property
    def _is_chunked(self) -> bool:
        return self._request.chunked_read

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
        unread = self._is_chunked and not self._body_read
        # The unread rest of a body must not be parsed as the next request.
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
    """

    def __init__(
        self,
        address: str,
        handler: RawHandler,
        threads: int,
        max_idle: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        self._handler = handler
        self._close_connections = False
        self._calls_lock = threading.Lock()
        self._open_calls = 0
        self._server = cheroot_server.HTTPServer(
            parse_address(address), gateway=self._make_gateway()
        )
        self._server.ConnectionClass = _Connection
        self._server.request_queue_size = LISTEN_BACKLOG
        self._server.keep_alive_conn_limit = max_idle
        self._server.timeout = DEFAULT_IDLE_SECONDS
        self._server.shutdown_timeout = STOP_SECONDS
        self._server.max_request_header_size = DEFAULT_HEADER_BYTES
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
        with self._counted():
            self._answer(RawCall(request, lambda: self._close_connections))

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
        except (OSError, BodyCutOff) as error:
            # The caller's connection is lost, so no answer can be sent.
            call.abort()
            event(logger, "caller_lost", level=logging.DEBUG, detail=str(error))
        except Exception:
            logger.exception("event=handler_failed target=%s", call.path[:200])
            if call.answer_started:
                call.abort()
            else:
                call.reply(500)

    def set_limits(self, idle_seconds: float, header_bytes: int) -> None:
        """Set the idle timeout of connections and the size limit of headers."""
        self._server.timeout = idle_seconds
        self._server.max_request_header_size = header_bytes

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
