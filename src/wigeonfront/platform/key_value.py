"""The platform's key-value service over HTTP and JSON.

The protocol is in ``docs/design/interfaces.md``. Values are JSON documents; the
service may change their white space.
"""

from typing import Any

import msgspec

from wigeonfront.platform import (
    Absent,
    Change,
    Changes,
    Conflict,
    Lease,
    LeaseLost,
    Listing,
    Row,
    Stored,
    Unavailable,
    Uncertain,
)
from wigeonfront.platform.json_client import (
    CONNECT_TIMEOUT,
    NOT_FOUND,
    OK,
    READ_TIMEOUT,
    THROTTLED,
    Answer,
    JsonClient,
    Unanswered,
    Unsent,
    decode,
    read,
    unavailable,
)

CONFLICT = 409
OUTAGE = 503
SERVER_ERROR = 500


class _Revision(msgspec.Struct):
    revision: int = 0


class _StoredReply(msgspec.Struct):
    revision: int


class _RowReply(msgspec.Struct):
    key: str
    value: msgspec.Raw
    revision: int


class _ListReply(msgspec.Struct):
    rows: list[_RowReply]
    revision: int


class _ChangesReply(msgspec.Struct):
    changes: list[_RowReply]
    revision: int
    compacted: bool = False


class _LeaseReply(msgspec.Struct):
    lease: int
    ttl: float


class HttpKeyValue:
    """`wigeonfront.platform.KeyValue` over HTTP.

    Watches have connections of their own, so that a waiting watch neither holds
    up nor is held up by other calls.

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
        self._calls = JsonClient(url, connect_timeout, read_timeout)
        self._watches = JsonClient(url, connect_timeout, read_timeout)

    def get(self, key: str) -> Row | Absent | Unavailable:
        """Read one key."""
        answer = self._calls.get("/kv", {"key": key})
        if isinstance(answer, Answer) and answer.status == NOT_FOUND:
            reply = decode(answer, _Revision)
            return Absent(reply.revision) if reply else Unavailable("malformed")
        row = read(answer, _RowReply)
        return row if isinstance(row, Unavailable) else _row(row)

    def list(self, prefix: str) -> Listing | Unavailable:
        """Read all keys below `prefix`."""
        reply = read(self._calls.get("/kv/list", {"prefix": prefix}), _ListReply)
        if isinstance(reply, Unavailable):
            return reply
        return Listing(tuple(_row(row) for row in reply.rows), reply.revision)

    def put(
        self, key: str, value: bytes, expected: int | None = None, lease: int = 0
    ) -> Stored | Conflict | Unavailable | Uncertain:
        """Write a key. `expected` is its revision now, 0 for absent, None for any."""
        body: dict[str, Any] = {"key": key, "value": msgspec.Raw(value)}
        if expected is not None:
            body["expected"] = expected
        if lease:
            body["lease"] = lease
        return _written(self._calls.post("/kv/put", body))

    def delete(
        self, key: str, expected: int | None = None
    ) -> Stored | Conflict | Unavailable | Uncertain:
        """Delete a key."""
        body: dict[str, Any] = {"key": key}
        if expected is not None:
            body["expected"] = expected
        return _written(self._calls.post("/kv/delete", body))

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for writes below `prefix` after a revision."""
        query = {"prefix": prefix, "after": after, "timeout": timeout}
        answer = self._watches.get("/kv/watch", query, wait=timeout)
        reply = read(answer, _ChangesReply)
        if isinstance(reply, Unavailable):
            return reply
        changes = tuple(_change(change) for change in reply.changes)
        return Changes(changes, reply.revision, reply.compacted)

    def grant_lease(self, ttl: float) -> Lease | Unavailable | Uncertain:
        """Ask for a lease of `ttl` seconds."""
        answer = self._calls.post("/leases", {"ttl": ttl})
        return _leased(answer) or _lost(answer)

    def renew_lease(self, lease: int) -> Lease | LeaseLost | Unavailable:
        """Renew a lease for its full term.

        A lost answer is `Unavailable`: a renewal may safely be repeated.
        """
        answer = self._calls.post("/leases/renew", {"lease": lease})
        if isinstance(answer, Answer) and answer.status == NOT_FOUND:
            return LeaseLost(lease)
        return _leased(answer) or unavailable(answer)

    def revoke_lease(self, lease: int) -> Stored | LeaseLost | Unavailable | Uncertain:
        """End a lease at once."""
        answer = self._calls.post("/leases/revoke", {"lease": lease})
        if isinstance(answer, Answer) and answer.status == NOT_FOUND:
            return LeaseLost(lease)
        return _written(answer)

    def close(self) -> None:
        """Close all connections."""
        self._calls.close()
        self._watches.close()


def _row(reply: _RowReply) -> Row:
    return Row(reply.key, bytes(reply.value), reply.revision)


def _change(reply: _RowReply) -> Change:
    value = bytes(reply.value)
    return Change(reply.key, None if value == b"null" else value, reply.revision)


def _leased(answer: Answer | Unsent | Unanswered) -> Lease | None:
    if not isinstance(answer, Answer) or answer.status != OK:
        return None
    reply = decode(answer, _LeaseReply)
    return Lease(reply.lease, reply.ttl) if reply else None


def _written(
    answer: Answer | Unsent | Unanswered,
) -> Stored | Conflict | Unavailable | Uncertain:
    if isinstance(answer, Answer) and answer.status == CONFLICT:
        reply = decode(answer, _Revision)
        return Conflict(reply.revision if reply else 0)
    if isinstance(answer, Answer) and answer.status == OK:
        stored = decode(answer, _StoredReply)
        return Stored(stored.revision) if stored else Uncertain("malformed")
    return _lost(answer)


def _lost(answer: Answer | Unsent | Unanswered) -> Unavailable | Uncertain:
    """Tell a write that had no effect from one that may have had."""
    if isinstance(answer, Unanswered):
        return Uncertain(answer.reason)
    if isinstance(answer, Answer) and _may_have_worked(answer.status):
        return Uncertain(f"status {answer.status}")
    return unavailable(answer)


def _may_have_worked(status: int) -> bool:
    refused = status in (THROTTLED, OUTAGE)
    return not refused and (status < 400 or status >= SERVER_ERROR)
