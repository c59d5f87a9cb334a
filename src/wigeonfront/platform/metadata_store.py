"""Client of the platform's store: a `wigeonfront.coordination.rows.RowStore`."""

import base64
from typing import Any

import msgspec

from wigeonfront.coordination.rows import (
    Absent,
    Change,
    Changes,
    Expect,
    Lease,
    LeaseLost,
    Listing,
    Mismatch,
    Put,
    Row,
    Stored,
    TransactionOutcome,
    Unavailable,
    Uncertain,
)
from wigeonfront.platform.json_client import (
    NOT_FOUND,
    OK,
    THROTTLED,
    Answer,
    JsonClient,
    NotSent,
    Unanswered,
    decode,
    read,
    unavailable,
)

CONDITION_FAILED = 412
HISTORY_GONE = 410
REFUSED = 503

CONNECT_SECONDS = 0.5
"""Longest wait for a connection: a hundred times the usual answer time of the store."""

CALL_SECONDS = 1.0
"""Longest wait for an answer: three times the answer time of a store that is sixty
times slower than usual."""

MAX_WATCH_SECONDS = 30.0
MAX_PAGES = 200


class _Item(msgspec.Struct, frozen=True):
    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class _Range(msgspec.Struct, frozen=True):
    items: list[_Item] = []
    # Newest revision of the store, not a position in the listing.
    at: int = 0
    has_more: bool = msgspec.field(name="hasMore", default=False)


class _Events(msgspec.Struct, frozen=True):
    events: list[_Item] = []
    at: int = 0


class _Missing(msgspec.Struct, frozen=True):
    at: int = 0


class _Written(msgspec.Struct, frozen=True):
    revision: int


class _Failed(msgspec.Struct, frozen=True):
    # Current state of the rows in the conditions.
    items: list[_Item] = []


class _Leased(msgspec.Struct, frozen=True):
    ttl_ms: int = msgspec.field(name="ttlMs")
    lease: int = 0


class MetadataStore:
    """Client of the store; watches use connections of their own.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._calls = JsonClient(address, CONNECT_SECONDS, CALL_SECONDS)
        self._watches = JsonClient(address, CONNECT_SECONDS, CALL_SECONDS)

    def get(self, key: str) -> Row | Absent | Unavailable:
        """Read one key."""
        answer = self._calls.get("/kv-key", {"key": key})
        if isinstance(answer, Answer) and answer.status == NOT_FOUND:
            missing = decode(answer, _Missing)
            return Absent(missing.at) if missing else Unavailable("malformed")
        item = read(answer, _Item)
        return item if isinstance(item, Unavailable) else _row(item)

    def list(
        self, prefix: str, after: str = "", stale: bool = False
    ) -> Listing | Unavailable:
        """Read all keys below `prefix` that sort after `after`.

        The pages are joined into one listing at the revision of the first page. A
        `stale` read may be seconds old.
        """
        rows: list[Row] = []
        revision = 0
        for _ in range(MAX_PAGES):
            query: dict[str, Any] = {"prefix": prefix}
            if after:
                query["after"] = after
            if stale:
                query["isStale"] = 1
            page = read(self._calls.get("/kv-range", query), _Range)
            if isinstance(page, Unavailable):
                return page
            revision = revision or page.at
            rows.extend(map(_row, page.items))
            if not page.has_more or not page.items:
                return Listing(tuple(rows), revision)
            after = page.items[-1].key
        return Unavailable("too many pages")

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for writes below `prefix` after a revision."""
        wait = min(timeout, MAX_WATCH_SECONDS)
        query = {"prefix": prefix, "after": after, "waitMs": int(wait * 1000)}
        answer = self._watches.get("/kv-watch", query, wait=wait)
        if isinstance(answer, Answer) and answer.status == HISTORY_GONE:
            return Changes((), after, compacted=True)
        reply = read(answer, _Events)
        if isinstance(reply, Unavailable):
            return reply
        return Changes(tuple(map(_change, reply.events)), max(after, reply.at))

    def write(
        self,
        expected: tuple[Expect, ...],
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> TransactionOutcome:
        """Apply all writes and deletions if every condition holds, otherwise none."""
        body = {
            "expected": [
                {"key": row.key, "revision": row.revision} for row in expected
            ],
            "puts": [_put(put) for put in puts],
            "delete": list(deletes),
        }
        answer = self._calls.post("/kv-txn", body)
        if isinstance(answer, Answer) and answer.status == CONDITION_FAILED:
            return _mismatch(answer, expected)
        if isinstance(answer, Answer) and answer.status == NOT_FOUND:
            return LeaseLost(max((put.lease for put in puts), default=0))
        if isinstance(answer, Answer) and answer.status == OK:
            written = decode(answer, _Written)
            return Stored(written.revision) if written else Uncertain("malformed")
        return _write_failure(answer)

    def grant_lease(self, ttl: float) -> Lease | Unavailable | Uncertain:
        """Request a lease of `ttl` seconds."""
        answer = self._calls.post("/kv-lease", {"ttlMs": int(ttl * 1000)})
        return _decode_lease(answer, 0) or _write_failure(answer)

    def renew_lease(self, lease: int) -> Lease | LeaseLost | Unavailable:
        """Renew a lease for its full term."""
        answer = self._calls.post(f"/kv-keep/{lease}", None)
        if isinstance(answer, Answer) and answer.status == NOT_FOUND:
            return LeaseLost(lease)
        return _decode_lease(answer, lease) or unavailable(answer)

    def revoke_lease(self, lease: int) -> Stored | LeaseLost | Unavailable | Uncertain:
        """End a lease at once."""
        answer = self._calls.delete(f"/kv-lease-end/{lease}")
        if isinstance(answer, Answer) and answer.status == NOT_FOUND:
            return LeaseLost(lease)
        if isinstance(answer, Answer) and answer.status == OK:
            return Stored(0)
        return _write_failure(answer)

    def close(self) -> None:
        """Close all connections."""
        self._calls.close()
        self._watches.close()


def _row(item: _Item) -> Row:
    return Row(item.key, base64.b64decode(item.value), item.revision)


def _change(item: _Item) -> Change:
    value = None if item.deleted else base64.b64decode(item.value)
    return Change(item.key, value, item.revision)


def _put(put: Put) -> dict[str, Any]:
    encoded = base64.b64encode(put.value).decode("ascii")
    return {"key": put.key, "value": encoded, "lease": put.lease}


def _mismatch(answer: Answer, expected: tuple[Expect, ...]) -> Mismatch | Uncertain:
    failed = decode(answer, _Failed)
    if failed is None:
        return Uncertain("malformed")
    revisions = {row.key: 0 for row in expected}
    revisions.update((item.key, item.revision) for item in failed.items)
    return Mismatch(revisions)


def _decode_lease(answer: Answer | NotSent | Unanswered, lease: int) -> Lease | None:
    """Return the lease in an answer, or ``None`` if there is none.

    `lease` is its id if the answer does not repeat it.
    """
    if not isinstance(answer, Answer) or answer.status != OK:
        return None
    reply = decode(answer, _Leased)
    return Lease(reply.lease or lease, reply.ttl_ms / 1000) if reply else None


def _write_failure(answer: Answer | NotSent | Unanswered) -> Unavailable | Uncertain:
    """Return the outcome of a failed write.

    `Unavailable` if it certainly had no effect, and `Uncertain` if it may have had one.
    """
    if isinstance(answer, Unanswered):
        return Uncertain(answer.reason)
    if isinstance(answer, NotSent) or answer.status in (THROTTLED, REFUSED):
        return unavailable(answer)
    return Uncertain(f"status {answer.status}")
