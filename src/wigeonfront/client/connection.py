"""One connection to an entry whose answer is waited for in steps.

The caller can look elsewhere between two steps, and close the connection when the
answer is not going to come.
"""

import socket
from collections.abc import Iterator
from contextlib import suppress
from http.client import HTTPException
from typing import Any

from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
)
from urllib3.util.wait import wait_for_read

from wigeonfront.http import JSON_TYPE, Answer, Lost, NotSent, encode, parse_address

CONNECT_SECONDS = 1.0
# Longest silence between two pieces of a body, either way.
PIECE_SECONDS = 5.0
PIECE_BYTES = 65_536


class Connection:
    """A connection that carries one call at a time.

    Parameters
    ----------
    address : str
        ``host:port``, or a URL.
    """

    def __init__(self, address: str) -> None:
        text = address.removeprefix("http://").rstrip("/")
        host, port = parse_address(text)
        self._http = HTTPConnection(host, port, timeout=CONNECT_SECONDS)

    @property
    def idle(self) -> bool:
        """Whether it is open and, as far as is known here, usable."""
        return self._http.is_connected

    def send(
        self, method: str, path: str, body: Any, headers: dict[str, str]
    ) -> NotSent | Lost | None:
        """Send a call, connecting first if need be; ``None`` once it is sent."""
        try:
            self._connect()
        except (NewConnectionError, ConnectTimeoutError, NameResolutionError) as error:
            return self._failed(NotSent(type(error).__name__))
        data = b"" if body is None else encode(body)
        all_headers = {"Content-Type": JSON_TYPE, "Content-Length": str(len(data))}
        try:
            self._http.request(
                method, path, _pieces(data), all_headers | headers, chunked=False
            )
        except (HTTPError, HTTPException, OSError) as error:
            return self._failed(Lost(type(error).__name__))
        return None

    def wait(self, seconds: float) -> bool:
        """Return whether the answer begins, or the connection ends, in time."""
        return wait_for_read(self._http.sock, timeout=max(0.0, seconds))

    def receive(self) -> Answer | Lost:
        """Return the answer that has begun to arrive."""
        try:
            response = self._http.getresponse()
            body = response.data
        except (HTTPError, HTTPException, OSError) as error:
            return self._failed(Lost(type(error).__name__))
        return Answer(response.status, body, _seconds(response.headers))

    def close(self) -> None:
        """End the connection: nothing more is sent or read on it."""
        if self._http.sock is not None:
            with suppress(OSError):
                self._http.sock.shutdown(socket.SHUT_RDWR)
        self._http.close()

    def _connect(self) -> None:
        if self._http.sock is not None:
            return
        self._http.timeout = CONNECT_SECONDS
        self._http.connect()
        self._http.timeout = PIECE_SECONDS
        self._http.sock.settimeout(PIECE_SECONDS)

    def _failed(self, end: Any) -> Any:
        self.close()
        return end


def _pieces(data: bytes) -> Iterator[bytes]:
    """Yield `data` in pieces, since the timeout of a socket is for each piece."""
    for start in range(0, len(data), PIECE_BYTES):
        yield data[start : start + PIECE_BYTES]


def _seconds(headers: Any) -> float:
    try:
        return max(0.0, float(headers.get("Retry-After", "")))
    except ValueError:
        return 0.0
