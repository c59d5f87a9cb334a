"""A cheroot server whose handlers see requests and answers as they are on the wire.

The request target, the headers and the body reach the handler undecoded, because a
forwarded request must arrive at its target byte for byte. A handler answers once,
with `RawCall.reply`, or in pieces, with `RawCall.begin` and `RawCall.write`.
"""

import logging
import socket
import threading
import time
from collections.abc import Callable, Iterable
from http import HTTPStatus

from cheroot import server as cheroot_server

from wigeonfront.http.encoding import JSON_TYPE, encode, parse_address
from wigeonfront.http.threads import STOP_SECONDS, ThreadPoolOnDemand
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

LISTEN_BACKLOG = 512
"""Connections that wait to be accepted; a full queue drops the opening packet, which
the caller sends again only after seconds."""

CLOSE_SLACK_SECONDS = 1.0
"""Time beyond that of the calls in which the pool's threads end."""

KEPT_CONNECTIONS = 256
"""Idle connections that are kept open for their callers' next calls; each takes some
20 KB. The library's default is 10, beyond which each call would be a new connection."""

DEFAULT_IDLE_SECONDS = 15.0
DEFAULT_HEADER_BYTES = 64 * 1024

Headers = tuple[tuple[str, str], ...]


class BodyTooLarge(Exception):  # noqa: N818
    """The request's body is longer than the handler accepts."""


class BodyCutOff(Exception):  # noqa: N818
    """The caller closed, or broke the framing, before the body's end."""


class _HeaderReader(cheroot_server.HeaderReader):
    """Joins a repeated ``Authorization``, of which the library keeps the last one."""

    def __call__(
        self, rfile: object, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read the headers into `hdict`."""
        found = _RepeatedHeaders()
        super().__call__(rfile, found)
        headers = {} if hdict is None else hdict
        headers.update(found)
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
    """One request on the server and the means to answer it.

    Parameters
    ----------
    request : cheroot.server.HTTPRequest
    closing : callable
        Returns whether connections are to be closed after their answer.
    """

    def __init__(
        self, request: cheroot_server.HTTPRequest, closing: Callable[[], bool]
    ) -> None:
        self._request = request
        self._closing = closing
        self._answer_started = False
        self._read = False
        self.headers: Headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.inheaders.items()
        )
        self._by_name = {name.lower(): value for name, value in self.headers}

    @property
    def method(self) -> str:
        """The method."""
        return self._request.method.decode("latin-1")

    @property
    def target(self) -> str:
        """The request target as it was sent: path and query, undecoded."""
        return self._request.uri.decode("latin-1")

    @property
    def path(self) -> str:
        """The path of the target, undecoded and without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """The query of the target, undecoded."""
        return self.target.partition("?")[2]

    @property
    def socket(self) -> socket.socket:
        """The caller's connection."""
        return self._request.conn.socket

    @property
    def answer_started(self) -> bool:
        """Whether a part of the answer was sent."""
        return self._answer_started

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return self._by_name.get(name.lower(), "")

    def body(self, most: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        BodyTooLarge
            When it is longer than `most` bytes.
        BodyCutOff
            When its end never came.
        """
        self._read = True
        length = int(self.header("Content-Length") or 0)
        if length > most:
            raise BodyTooLarge
        try:
            body = self._request.rfile.read(None if self._is_chunked else length)
        except (OSError, ValueError) as error:
            raise BodyCutOff(str(error)) from error
        if len(body) > most:
            raise BodyTooLarge
        if len(body) < length:
            raise BodyCutOff
        return body

    @property
    def _is_chunked(self) -> bool:
        return self._request.chunked_read

    def reply(
        self, status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send a whole answer."""
        self.begin(status, (*headers, ("Content-Length", str(len(body)))))
        if body and self.method != "HEAD":
            self._request.write(body)

    def reply_json(
        self, status: int, message: object, headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send `message` as JSON."""
        self.reply(status, encode(message), (*headers, ("Content-Type", JSON_TYPE)))

    def begin(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Send the status and the headers; without a length the body is chunked."""
        request = self._request
        request.status = f"{status} {_reason(status)}".encode("latin-1")
        request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        unread = self._is_chunked and not self._read
        # What is left of a body must not be taken for the next request.
        if self._closing() or unread or status in (400, 408, 413, 431):
            request.close_connection = True
        self._answer_started = True
        request.sent_headers = True
        request.send_headers()

    def write(self, piece: bytes) -> None:
        """Send a piece of the body now."""
        if piece:
            self._request.write(piece)

    def abort(self) -> None:
        """Cut the connection, so that what was sent does not look complete."""
        self._request.close_connection = True
        self._request.chunked_write = False
        # Nothing more is to be sent, not even a head that has not been sent yet.
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
    """A server of `RawCall`, with a pool of threads of its own.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    handler : callable
        Answers each call; an error that it raises is answered with 500.
    threads : int
        Most calls served at once.
    kept : int
        Most idle connections that are kept open.
    """

    def __init__(
        self,
        address: str,
        handler: RawHandler,
        threads: int,
        kept: int = KEPT_CONNECTIONS,
    ) -> None:
        self._handler = handler
        self._close_connections = False
        self._server = cheroot_server.HTTPServer(
            parse_address(address), gateway=self._make_gateway()
        )
        self._server.ConnectionClass = _Connection
        self._server.request_queue_size = LISTEN_BACKLOG
        self._server.keep_alive_conn_limit = kept
        self._server.timeout = DEFAULT_IDLE_SECONDS
        self._server.shutdown_timeout = STOP_SECONDS
        self._server.max_request_header_size = DEFAULT_HEADER_BYTES
        self._server.server_name = "wigeonfront"
        self._server.requests = ThreadPoolOnDemand(self._server, threads)
        self._server.error_log = _log_server_error

    def _make_gateway(self) -> type[cheroot_server.Gateway]:
        outer = self

        class _Gateway(cheroot_server.Gateway):
            def respond(self) -> None:
                outer._serve(self.req)

        return _Gateway

    def _serve(self, request: cheroot_server.HTTPRequest) -> None:
        call = RawCall(request, lambda: self._close_connections)
        try:
            self._handler(call)
        except (OSError, BodyCutOff) as error:
            # The caller's connection broke; there is nobody to answer.
            call.abort()
            event(logger, "caller_lost", level=logging.DEBUG, detail=str(error))
        except Exception:
            logger.exception("event=handler_failed target=%s", call.path[:200])
            if call.answer_started:
                call.abort()
            else:
                call.reply(500)

    def set_limits(self, idle_seconds: float, header_bytes: int) -> None:
        """Set how long a connection may idle and how large its headers may be."""
        self._server.timeout = idle_seconds
        self._server.max_request_header_size = header_bytes

    def bind(self) -> None:
        """Listen; raises `OSError` when the address can't be had."""
        self._server.prepare()

    def run(self, stop: object) -> None:
        """Serve until `close` is called (a supervisor's task)."""
        self._server.serve()

    def close_kept_alive(self) -> None:
        """Close each connection after the answer to its present request."""
        self._close_connections = True

    def close(self, seconds: float = STOP_SECONDS) -> None:
        """Stop listening and end the pool, whose calls get `seconds` to end.

        The library waits for a call without bound; this does not.
        """
        close_all([self], seconds)

    def _begin_close(self, seconds: float) -> threading.Thread:
        self._server.shutdown_timeout = seconds
        stopper = threading.Thread(target=self._server.stop, daemon=True)
        stopper.start()
        return stopper


def close_all(servers: Iterable[RawServer], seconds: float) -> None:
    """Close several servers at once, as `RawServer.close` does one.

    Each takes up to half a second to notice that it is closed.
    """
    stoppers = [server._begin_close(seconds) for server in servers]
    deadline = time.monotonic() + seconds + CLOSE_SLACK_SECONDS
    for stopper in stoppers:
        stopper.join(max(0.0, deadline - time.monotonic()))


def _log_server_error(message: str = "", level: int = 20, traceback: bool = False):
    if message:
        event(logger, "server_error", level=logging.WARNING, detail=message[:300])
