"""The platform's weight store over HTTP and JSON."""

from urllib.parse import quote

import msgspec

from wigeonfront.platform import Absent, Throttled, Unavailable
from wigeonfront.platform.json_client import (
    CONNECT_TIMEOUT,
    NOT_FOUND,
    READ_TIMEOUT,
    THROTTLED,
    Answer,
    JsonClient,
    read,
)


class _NewestReply(msgspec.Struct):
    newest: int


class HttpWeightStore:
    """`wigeonfront.platform.WeightStore` over HTTP.

    Parameters
    ----------
    url : str
        ``http://host:port`` or ``host:port`` of the service.
    connect_timeout, read_timeout : float
        Seconds to wait for a connection and for an answer.
    """

    def __init__(
        self,
        url: str,
        connect_timeout: float = CONNECT_TIMEOUT,
        read_timeout: float = READ_TIMEOUT,
    ) -> None:
        self._client = JsonClient(url, connect_timeout, read_timeout)

    def newest(self, model: str) -> int | Absent | Throttled | Unavailable:
        """Return the newest version published for `model`."""
        answer = self._client.get(f"/models/{quote(model, safe='')}")
        if isinstance(answer, Answer) and answer.status == NOT_FOUND:
            return Absent()
        if isinstance(answer, Answer) and answer.status == THROTTLED:
            return Throttled(answer.retry_after)
        reply = read(answer, _NewestReply)
        return reply if isinstance(reply, Unavailable) else reply.newest

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
