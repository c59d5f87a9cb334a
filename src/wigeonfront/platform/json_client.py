"""JSON calls over HTTP; the outcome says whether a call may have taken effect.

The adapters of this package share `JsonClient`. It distinguishes a call that was never
sent from one that was sent and not answered, because only the latter may have taken
effect.
"""

import threading
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
import urllib3
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ProtocolError,
)

from wigeonfront.coordination.rows import Unavailable
from wigeonfront.http.bounded import BoundedConnectionPool, is_too_long
from wigeonfront.http.sockets import NO_DELAY, RESET_ON_CLOSE

OK = 200
NOT_FOUND = 404
THROTTLED = 429
CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 3.0
JSON_HEADERS = {"Content-Type": "application/json"}
POOL_SIZE = 16
"""Largest number of idle connections: after an outage many readers of Lots call at
once."""
DEFAULT_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 300.0

Decoded = TypeVar("Decoded")


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer of the service.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        The complete body, undecoded.
    retry_after : float
        Seconds in the ``Retry-After`` header, or the default of one second.
    """

    status: int
    body: bytes = field(repr=False)
    retry_after: float = DEFAULT_RETRY_AFTER_SECONDS


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was established, so the call had no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """The call was sent, but no complete answer arrived: it may have taken effect."""

    reason: str


class JsonClient:
    """Client of one HTTP service over kept-alive connections.

    A connection on which a call timed out may never answer again, and the same holds
    for the other connections of the pool. After a timeout all pooled connections are
    therefore dropped, so that the next call opens a new one.

    Parameters
    ----------
    url : str
        ``http://host:port`` or ``host:port``.
    connect_timeout, read_timeout : float
        Longest wait for a connection and for the head of an answer, in seconds; a whole
        answer may take twice as long.
    reset_on_close : bool
        Whether connections are closed by a reset. A call whose answer the client no
        longer waits for is then not delivered when an interrupted network recovers.
    """

    def __init__(
        self,
        url: str,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
        read_timeout: float = READ_TIMEOUT_SECONDS,
        reset_on_close: bool = False,
    ) -> None:
        self._url = url if "://" in url else f"http://{url}"
        self._connect_timeout = connect_timeout
        self._read_timeout = read_timeout
        self._socket_options = (
            [NO_DELAY, RESET_ON_CLOSE] if reset_on_close else [NO_DELAY]
        )
        self._lock = threading.Lock()
        self._pool = self._new_pool()

    def get(
        self, path: str, query: dict[str, Any] | None = None, wait: float = 0.0
    ) -> Answer | NotSent | Unanswered:
        """Send a GET request; retry it once if a kept-alive connection was closed.

        Parameters
        ----------
        path : str
            Path of the request.
        query : dict, optional
            Query parameters.
        wait : float
            Seconds for which the service may hold the request open before it answers.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        answer = self._call("GET", target, None, wait)
        if isinstance(answer, Unanswered) and answer.reason == "cut":
            answer = self._call("GET", target, None, wait)
        return answer

    def post(
        self, path: str, body: Any, headers: Mapping[str, str] | None = None
    ) -> Answer | NotSent | Unanswered:
        """Post `body` as JSON without a retry; ``None`` sends no body."""
        data = b"" if body is None else msgspec.json.encode(body)
        return self._call("POST", path, data, 0.0, headers)

    def delete(self, path: str) -> Answer | NotSent | Unanswered:
        """Delete the resource at `path`, without a retry."""
        return self._call("DELETE", path, None, 0.0)

    def close(self) -> None:
        """Close the pooled connections."""
        with self._lock:
            self._pool.close()

    def _new_pool(self) -> HTTPConnectionPool:
        url = urllib3.util.parse_url(self._url)
        return BoundedConnectionPool(
            url.host or "",
            url.port,
            maxsize=POOL_SIZE,
            socket_options=self._socket_options,
        )

    def _drop_connections(self, used: HTTPConnectionPool) -> None:
        """Replace the pool, unless another thread has already done so."""
        with self._lock:
            if self._pool is used:
                self._pool = self._new_pool()
        used.close()

    def _call(
        self,
        method: str,
        target: str,
        body: bytes | None,
        wait: float,
        headers: Mapping[str, str] | None = None,
    ) -> Answer | NotSent | Unanswered:
        with self._lock:
            pool = self._pool
        try:
            response = pool.urlopen(
                method,
                target,
                body=body,
                headers=(JSON_HEADERS if body else {}) | dict(headers or {}),
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=self._connect_timeout, read=self._read_timeout + wait
                ),
            )
        except (NewConnectionError, ConnectTimeoutError):
            return NotSent("connect")
        except ProtocolError as error:
            return Unanswered("too long" if is_too_long(error) else "cut")
        except HTTPError as error:
            self._drop_connections(pool)
            return Unanswered(type(error).__name__)
        return Answer(
            response.status,
            response.data,
            parse_retry_after(response.headers.get("Retry-After")),
        )


def decode(answer: Answer, reply_type: type[Decoded]) -> Decoded | None:
    """Return the body decoded as `reply_type`, or ``None`` if it is malformed."""
    try:
        return msgspec.json.decode(answer.body, type=reply_type)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def read(
    answer: Answer | NotSent | Unanswered, reply_type: type[Decoded]
) -> Decoded | Unavailable:
    """Return the decoded reply to a read.

    Every failure is `Unavailable`, because a read changes nothing.
    """
    if isinstance(answer, Answer) and answer.status == OK:
        reply = decode(answer, reply_type)
        return Unavailable("malformed") if reply is None else reply
    return unavailable(answer)


def unavailable(answer: Answer | NotSent | Unanswered) -> Unavailable:
    """Return the reason why `answer` contains no result."""
    if isinstance(answer, Answer):
        return Unavailable(f"status {answer.status}")
    return Unavailable(answer.reason)


def parse_retry_after(value: str | None) -> float:
    """Return the seconds in a ``Retry-After`` header.

    Dates, malformed values and values above `MAX_RETRY_AFTER_SECONDS` give the default
    of one second.

    Examples
    --------
    >>> parse_retry_after("2.5"), parse_retry_after("soon"), parse_retry_after(None)
    (2.5, 1.0, 1.0)
    """
    try:
        seconds = float(value or DEFAULT_RETRY_AFTER_SECONDS)
    except ValueError:
        return DEFAULT_RETRY_AFTER_SECONDS
    if not 0 <= seconds <= MAX_RETRY_AFTER_SECONDS:
        return DEFAULT_RETRY_AFTER_SECONDS
    return seconds
