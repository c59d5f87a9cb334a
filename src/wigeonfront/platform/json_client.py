"""JSON calls over HTTP with the certainty of their effect as the outcome.

The adapters of this package share `JsonClient`. It tells apart a call that was
never sent from one that was sent and not answered, because only the second may
have taken effect.
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
from wigeonfront.http.sockets import NO_DELAY, RESET_ON_CLOSE

OK = 200
NOT_FOUND = 404
THROTTLED = 429
CONNECT_TIMEOUT = 1.0
READ_TIMEOUT = 3.0
JSON_HEADERS = {"Content-Type": "application/json"}
POOL_SIZE = 16
"""Idle connections kept: after an outage many readers of Lots call at once."""
RETRY_AFTER_DEFAULT = 1.0
RETRY_AFTER_LIMIT = 300.0

Decoded = TypeVar("Decoded")


@dataclass(frozen=True, slots=True)
class Answer:
    """The service answered.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        The whole body, undecoded.
    retry_after : float
        Seconds of the ``Retry-After`` header, or a default.
    """

    status: int
    body: bytes = field(repr=False)
    retry_after: float = RETRY_AFTER_DEFAULT


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was made, so the call had no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """The call was sent and no whole answer came back."""

    reason: str


class JsonClient:
    """Calls to one HTTP service over kept-alive connections.

    A connection that timed out may be silent for good, and so may the others
    opened beside it. After any lost answer all pooled connections are dropped, so
    that the next call opens a new one.

    Parameters
    ----------
    url : str
        ``http://host:port`` or ``host:port``.
    connect_timeout, read_timeout : float
        Seconds to wait for a connection and for an answer.
    reset_on_close : bool
        Connections end by a reset, so that a call whose answer was not waited for is
        not delivered once a cut network heals.
    """

    def __init__(
        self,
        url: str,
        connect_timeout: float = CONNECT_TIMEOUT,
        read_timeout: float = READ_TIMEOUT,
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
        """Read; tried once more when a kept-alive connection was cut.

        Parameters
        ----------
        path : str
            Path of the call.
        query : dict, optional
            Query parameters.
        wait : float
            Seconds for which the service itself may hold the call open.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        answer = self._call("GET", target, None, wait)
        if isinstance(answer, Unanswered) and answer.reason == "cut":
            answer = self._call("GET", target, None, wait)
        return answer

    def post(
        self, path: str, body: Any, headers: Mapping[str, str] | None = None
    ) -> Answer | NotSent | Unanswered:
        """Write `body` as JSON, once; without a body for ``None``."""
        data = b"" if body is None else msgspec.json.encode(body)
        return self._call("POST", path, data, 0.0, headers)

    def delete(self, path: str) -> Answer | NotSent | Unanswered:
        """Delete what `path` names, once."""
        return self._call("DELETE", path, None, 0.0)

    def close(self) -> None:
        """Close the pooled connections."""
        with self._lock:
            self._pool.close()

    def _new_pool(self) -> HTTPConnectionPool:
        return urllib3.connection_from_url(
            self._url, maxsize=POOL_SIZE, socket_options=self._socket_options
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
        except ProtocolError:
            return Unanswered("cut")
        except HTTPError as error:
            self._drop_connections(pool)
            return Unanswered(type(error).__name__)
        return Answer(
            response.status,
            response.data,
            parse_retry_after(response.headers.get("Retry-After")),
        )


def decode(answer: Answer, reply_type: type[Decoded]) -> Decoded | None:
    """Return the body as `reply_type`, or ``None`` where it is malformed."""
    try:
        return msgspec.json.decode(answer.body, type=reply_type)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def read(
    answer: Answer | NotSent | Unanswered, reply_type: type[Decoded]
) -> Decoded | Unavailable:
    """Return a read's reply; a read that gave nothing changed nothing."""
    if isinstance(answer, Answer) and answer.status == OK:
        reply = decode(answer, reply_type)
        return Unavailable("malformed") if reply is None else reply
    return unavailable(answer)


def unavailable(answer: Answer | NotSent | Unanswered) -> Unavailable:
    """Return why `answer` gave nothing."""
    if isinstance(answer, Answer):
        return Unavailable(f"status {answer.status}")
    return Unavailable(answer.reason)


def parse_retry_after(value: str | None) -> float:
    """Return the seconds of a ``Retry-After`` header.

    Dates and nonsense give the default of one second.

    Examples
    --------
    >>> parse_retry_after("2.5"), parse_retry_after("soon"), parse_retry_after(None)
    (2.5, 1.0, 1.0)
    """
    try:
        seconds = float(value or RETRY_AFTER_DEFAULT)
    except ValueError:
        return RETRY_AFTER_DEFAULT
    if not 0 <= seconds <= RETRY_AFTER_LIMIT:
        return RETRY_AFTER_DEFAULT
    return seconds
