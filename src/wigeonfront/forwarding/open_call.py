"""A call to a target whose answer is being read."""

import http.client
from collections.abc import Callable, Iterator

from urllib3 import BaseHTTPResponse, HTTPHeaderDict
from urllib3.exceptions import HTTPError, ReadTimeoutError

from wigeonfront.forwarding.connections import Connection, Connections
from wigeonfront.forwarding.handle import CallHandle
from wigeonfront.http.bounded import MAX_BODY_BYTES, AnswerTooLong

READ_BYTES = 65_536

MAX_ERROR_BYTES = 1024 * 1024
"""Longest body of an answer that only tells of an error."""

OnLost = Callable[[str], None]
"""Called with the reason why a connection was lost during a request."""


def do_nothing() -> None:
    """Do nothing; the default for callbacks without arguments."""


class OpenCall:
    """A request whose answer's head has arrived and whose body is still unread.

    Parameters
    ----------
    connection : Connection
    response : urllib3.BaseHTTPResponse
    connections : Connections
    handle : CallHandle, optional
    on_lost : callable
        Called when the connection is lost before the body is complete.
    on_answered : callable
        Called once the whole body was read.
    """

    def __init__(
        self,
        connection: Connection,
        response: BaseHTTPResponse,
        connections: Connections,
        handle: CallHandle | None = None,
        on_lost: OnLost = lambda reason: None,
        on_answered: Callable[[], None] = do_nothing,
    ) -> None:
        self._connection = connection
        self._response = response
        self._connections = connections
        self._handle = handle
        self._on_lost = on_lost
        self._on_answered = on_answered

    @property
    def status(self) -> int:
        """Status of the answer."""
        return self._response.status

    @property
    def headers(self) -> HTTPHeaderDict:
        """Headers of the answer."""
        return self._response.headers

    @property
    def framed(self) -> bool:
        """Whether the answer delimits its own body, by its length or in chunks."""
        chunked = self.headers.get("Transfer-Encoding", "").lower() == "chunked"
        return chunked or "Content-Length" in self.headers

    def pieces(self, silence: float) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Parameters
        ----------
        silence : float
            Longest wait between two pieces, in seconds.

        Raises
        ------
        urllib3.exceptions.HTTPError, OSError, http.client.HTTPException
            If the connection is lost before the body is complete, or if no data
            arrives for `silence` seconds.
        """
        self._connection.sock.settimeout(silence)
        try:
            while piece := self._response.read1(READ_BYTES):
                yield piece
        except (TimeoutError, ReadTimeoutError):
            self._connections.close_idle_to(self._connection.target_id)
            raise
        except (HTTPError, OSError, http.client.HTTPException) as error:
            self._on_lost(f"body:{type(error).__name__}")
            raise

    def body(self, silence: float, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the whole body; parameters and errors as for `pieces`.

        Raises
        ------
        AnswerTooLong
            If it has more than `max_bytes`.
        """
        data = bytearray()
        for piece in self.pieces(silence):
            data += piece
            if len(data) > max_bytes:
                raise AnswerTooLong(f"the body has more than {max_bytes} bytes")
        return bytes(data)

    def discard_body(self, deadline: float, silence: float) -> None:
        """Read a short body to its end until a monotonic time, and drop it.

        Errors are those of `pieces`.
        """
        limit = self._connection.http_connection.limit
        if limit is not None:
            limit.lower(deadline, MAX_ERROR_BYTES)
        for _ in self.pieces(silence):
            pass

    def finish(self) -> None:
        """Return the connection to the pool after the whole body was read."""
        self._on_answered()
        if self._handle is not None:
            self._handle.detach()
        original = getattr(self._response, "_original_response", None)
        will_close = original is None or original.will_close
        if will_close or self._connection.http_connection.sock is None:
            self._response.close()
            self._connection.close()
            return
        keep_alive = self._response.headers.get("Keep-Alive", "")
        self._connections.release(self._connection, keep_alive)

    def abort(self) -> None:
        """Make the thread that reads the body fail; it then closes the connection."""
        self._connection.shut_down()

    def close(self) -> None:
        """Reset the connection, which tells the target to stop."""
        self._connection.reset()
        self._response.close()
