"""Calls over urllib3 that return every outcome as a value and are never retried."""

from dataclasses import dataclass
from typing import Any

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
)

from wigeonfront.http.bounded import BoundedConnectionPool
from wigeonfront.http.encoding import JSON_TYPE, encode, parse_address


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete HTTP answer.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
    retry_after : float
        Seconds in the ``Retry-After`` header; 0 if there is none.
    """

    status: int
    body: bytes
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class NotSent:
    """The call certainly did not reach the server.

    Attributes
    ----------
    reason : str
    refused : bool
        Whether no connection could be opened because the other machine refused it:
        nothing listens at the address.
    """

    reason: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class Unanswered:
    """At least a part of the call was sent, and no complete answer arrived."""

    reason: str


class Pool:
    """Pool of connections to one address. Calls are not retried.

    Parameters
    ----------
    address : str
        ``host:port``, or a URL.
    connect_seconds, read_seconds : float
        Longest wait for a connection, and for the head of an answer; a whole answer may
        take twice as long.
    size : int
        Largest number of idle connections.
    """

    def __init__(
        self,
        address: str,
        connect_seconds: float = 1.0,
        read_seconds: float = 5.0,
        size: int = 4,
    ) -> None:
        text = address.removeprefix("http://").rstrip("/")
        self._host, self._port = parse_address(text)
        self._connect_seconds = connect_seconds
        self._read_seconds = read_seconds
        self._size = size
        self._pool = self._make_pool()

    @property
    def address(self) -> str:
        """``host:port`` of the server."""
        return f"{self._host}:{self._port}"

    def _make_pool(self) -> urllib3.HTTPConnectionPool:
        return BoundedConnectionPool(
            self._host, self._port, maxsize=self._size, block=False, retries=False
        )

    def reset(self) -> None:
        """Drop every connection; the next call opens a new one."""
        old, self._pool = self._pool, self._make_pool()
        old.close()

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout: float | None = None,
    ) -> Answer | NotSent | Unanswered:
        """Make one call and return its outcome.

        Parameters
        ----------
        method, path : str
        body : bytes or object, optional
            An object that is not bytes is sent as JSON.
        headers : dict of str to str, optional
        timeout : float, optional
            Longest wait for the head of the answer, in seconds, in place of the pool's.
        """
        read_seconds = self._read_seconds if timeout is None else timeout
        try:
            response = self._request(method, path, body, headers, read_seconds)
        except (NewConnectionError, ConnectTimeoutError, NameResolutionError) as error:
            return _not_sent(error)
        except (HTTPError, OSError) as error:
            return Unanswered(type(error).__name__)
        retry_after = _retry_after_seconds(response.headers.get("Retry-After", ""))
        return Answer(response.status, response.data, retry_after)

    def _request(
        self,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str] | None,
        read_seconds: float,
    ) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(connect=self._connect_seconds, read=read_seconds)
        data = None
        all_headers = dict(headers or {})
        if body is not None:
            data = body if isinstance(body, bytes) else encode(body)
            all_headers.setdefault("Content-Type", JSON_TYPE)
        return self._pool.urlopen(
            method,
            path,
            body=data,
            headers=all_headers,
            timeout=timeout,
            retries=False,
            redirect=False,
        )


def _not_sent(error: HTTPError) -> NotSent:
    return NotSent(type(error).__name__, isinstance(error, NewConnectionError))


def _retry_after_seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0
