"""Subclasses of cheroot's connection and request that read within limits.

The library reads bodies, size lines and trailers in pieces of any size, and what no
handler has read before each answer. Here requests are read through a `CallerSource`,
bodies are left to `RawCall`, and a refused caller gets its answer before its connection
is closed.
"""

import socket
from http import HTTPStatus

from cheroot import server as cheroot_server

from wigeonfront.clock import SystemClock
from wigeonfront.http.body import DISCARD_BYTES, RETRY_SECONDS, discard
from wigeonfront.http.framing import BadFraming, Framing, framing_of
from wigeonfront.http.source import (
    POLL_SECONDS,
    CallerReader,
    CallerSource,
    CallerWriter,
    CallShed,
    ConnectionLimits,
)

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Bytes of one connection that may have arrived and not been read. With a round trip
of 6 ms, callers send at most 10 MB a second."""


class HeaderReader(cheroot_server.HeaderReader):
    """Reads the headers of one request.

    Repeated headers that say who calls, or where the body ends, are joined; the library
    keeps only the last one. An expectation is kept back, which the library would
    confirm before it is known whether the body will be read.

    Attributes
    ----------
    expectation : bytes
        Value of the ``Expect`` header; empty if there is none.
    """

    expectation = b""

    def __call__(
        self, rfile: object, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read the headers into `hdict`."""
        joined = _RepeatedHeaders()
        super().__call__(rfile, joined)
        self.expectation = joined.pop(b"Expect", b"")
        headers = {} if hdict is None else hdict
        headers.update(joined)
        return headers

    def _transform_key(self, key_name: bytes) -> bytes:
        if not key_name or key_name != key_name.strip():
            raise ValueError("Illegal header name.")
        return super()._transform_key(key_name)


class _RepeatedHeaders(dict[bytes, bytes]):
    _JOINED = frozenset((b"Authorization", b"Content-Length", b"Transfer-Encoding"))

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in self._JOINED and name in self:
            value = b", ".join((self[name], value))
        super().__setitem__(name, value)


class Request(cheroot_server.HTTPRequest):
    """A request whose body is left to `RawCall`.

    Attributes
    ----------
    framing : Framing
        Where the body ends, once the head was read.
    """

    framing: Framing

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.header_reader = HeaderReader()
        self._confirmed = False

    @property
    def awaits_confirmation(self) -> bool:
        """Whether the caller may send its body or not, as nobody has asked for it."""
        return bool(self.header_reader.expectation) and not self._confirmed

    def parse_request(self) -> None:
        """Read the head within its time."""
        source = self.conn.rfile.source
        source.start_request()
        try:
            super().parse_request()
        except CallShed:
            if source.head_started:
                self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, RETRY_SECONDS)

    def read_request_headers(self) -> bool:
        """Read the headers and check where the body ends."""
        if not super().read_request_headers():
            return False
        framing = framing_of(self.inheaders, self.request_protocol)
        if isinstance(framing, BadFraming):
            self.simple_response("400 Bad Request", framing.reason)
            return False
        self.framing = framing
        return True

    def confirm_body(self) -> None:
        """Ask the caller for the body if it waits for that."""
        self._confirmed = True
        expected = self.header_reader.expectation.lower() == b"100-continue"
        if expected and self.response_protocol == "HTTP/1.1":
            self.conn.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def respond(self) -> None:
        """Answer the request; unlike the library's method, it reads no body."""
        self.server.gateway(self).respond()
        self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse a request whose head was not understood."""
        self.conn.rest_bytes = DISCARD_BYTES
        super().simple_response(status, msg)

    def refuse(self, status: HTTPStatus, retry_after: float) -> None:
        """Refuse a request of which only a part has arrived."""
        self.close_connection = True
        answer = (
            f"HTTP/1.1 {status.value} {status.phrase}\r\nRetry-After: {retry_after:g}"
            "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        )
        self.conn.wfile.write(answer.encode())


class Connection(cheroot_server.HTTPConnection):
    """A connection whose bytes are read within the limits of its server.

    Attributes
    ----------
    rest_bytes : int
        Bytes that may follow what was read, and are discarded before the connection is
        closed so that its caller gets the answer.
    """

    RequestHandlerClass = Request
    rest_bytes = 0

    def __init__(
        self, server: "Server", sock: socket.socket, makefile: object = None
    ) -> None:
        super().__init__(server, sock, lambda sock, mode, size: None)
        sock.settimeout(POLL_SECONDS)
        source = CallerSource(
            sock, server, lambda: server.limits, server.requests.shortage
        )
        self.rfile = CallerReader(source)
        self.wfile = CallerWriter(sock, lambda: server.limits)

    def close(self) -> None:
        """Close the connection; a caller that still sends gets its answer first."""
        # The library leaves some sockets to the garbage collector.
        self.linger = False
        if self.rest_bytes:
            self._discard_rest()
        super().close()

    def _discard_rest(self) -> None:
        left, self.rest_bytes = self.rest_bytes, 0
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The caller has closed the connection already.
            return
        discard(self.rfile, left, SystemClock())


class Server(cheroot_server.HTTPServer):
    """The library's server, with the limits of its connections.

    Attributes
    ----------
    limits : ConnectionLimits
    """

    ConnectionClass = Connection
    limits = ConnectionLimits()

    @staticmethod
    def bind_socket(sock: socket.socket, address: object) -> socket.socket:
        """Bind the listening socket, from which connections inherit their buffers."""
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return cheroot_server.HTTPServer.bind_socket(sock, address)

    def set_limits(self, limits: ConnectionLimits) -> None:
        """Apply limits to all connections from now on."""
        self.limits = limits
        self.timeout = limits.idle_seconds
        self.max_request_header_size = limits.head_bytes
