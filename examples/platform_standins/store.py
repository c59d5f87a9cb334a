"""Server of `MemoryRows` that speaks the protocol of the platform's store."""

import base64
from urllib.parse import parse_qs

import msgspec

from platform_standins.rows import MemoryRows
from platform_standins.server import StandInServer
from wigeonfront.coordination.rows import (
    Absent,
    Change,
    Expect,
    Lease,
    LeaseLost,
    Mismatch,
    Put,
    Row,
    Stored,
    Unavailable,
    Uncertain,
)
from wigeonfront.http.raw import RawCall

MAX_BODY_BYTES = 8 * 1024 * 1024


class _Expected(msgspec.Struct):
    key: str
    revision: int


class _Put(msgspec.Struct):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct):
    expected: list[_Expected] = []
    puts: list[_Put] = []
    delete: list[str] = []


class _Grant(msgspec.Struct, rename="camel"):
    ttl_ms: int


class StoreServer(StandInServer):
    """Server of the store.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    rows : MemoryRows
        State of the store.
    """

    def __init__(self, address: str, rows: MemoryRows) -> None:
        self._rows = rows
        super().__init__(address, self._answer, threads=200)

    def _answer(self, call: RawCall) -> None:
        query = {
            name: values[-1] for name, values in parse_qs(call.query, True).items()
        }
        if call.path == "/kv-key":
            self._get(call, query["key"])
        elif call.path == "/kv-range":
            self._range(call, query)
        elif call.path == "/kv-watch":
            self._watch(call, query)
        elif call.path == "/kv-txn":
            self._write(call)
        elif call.path == "/kv-lease":
            body = msgspec.json.decode(call.body(MAX_BODY_BYTES), type=_Grant)
            self._reply_lease(call, self._rows.grant_lease(body.ttl_ms / 1000))
        elif call.path.startswith("/kv-keep/"):
            self._reply_lease(call, self._rows.renew_lease(_lease_id(call.path)))
        elif call.path.startswith("/kv-lease-end/"):
            self._reply_lease_end(call, self._rows.revoke_lease(_lease_id(call.path)))
        else:
            call.reply(404)

    def _get(self, call: RawCall, key: str) -> None:
        row = self._rows.get(key)
        if isinstance(row, Unavailable):
            call.reply(503)
        elif isinstance(row, Absent):
            call.reply_json(404, {"at": row.revision})
        else:
            call.reply_json(200, {**_item(row), "at": row.revision})

    def _range(self, call: RawCall, query: dict[str, str]) -> None:
        listing = self._rows.list(query["prefix"], query.get("after", ""))
        if isinstance(listing, Unavailable):
            call.reply(503)
            return
        items = [_item(row) for row in listing.rows]
        page = {"items": items, "hasMore": False, "at": listing.revision}
        call.reply_json(200, page)

    def _watch(self, call: RawCall, query: dict[str, str]) -> None:
        wait = int(query["waitMs"]) / 1000
        changes = self._rows.watch(query["prefix"], int(query["after"]), wait)
        if isinstance(changes, Unavailable):
            call.reply(503)
        elif changes.compacted:
            call.reply(410)
        else:
            events = [_event(change) for change in changes.changes]
            call.reply_json(200, {"events": events, "at": changes.revision})

    def _write(self, call: RawCall) -> None:
        body = msgspec.json.decode(call.body(MAX_BODY_BYTES), type=_Transaction)
        expected = tuple(Expect(row.key, row.revision) for row in body.expected)
        puts = tuple(
            Put(put.key, base64.b64decode(put.value), put.lease) for put in body.puts
        )
        outcome = self._rows.write(expected, puts, tuple(body.delete))
        if isinstance(outcome, Stored):
            call.reply_json(200, {"revision": outcome.revision})
        elif isinstance(outcome, Mismatch):
            items = [
                {"key": key, "revision": revision}
                for key, revision in outcome.rows.items()
                if revision
            ]
            call.reply_json(412, {"items": items})
        elif isinstance(outcome, LeaseLost):
            call.reply(404)
        elif isinstance(outcome, Uncertain):
            call.abort()
        else:
            call.reply(503)

    def _reply_lease(self, call: RawCall, outcome: object) -> None:
        if isinstance(outcome, Lease):
            body = {"lease": outcome.lease, "ttlMs": int(outcome.ttl * 1000)}
            call.reply_json(200, body)
        else:
            call.reply(404 if isinstance(outcome, LeaseLost) else 503)

    def _reply_lease_end(self, call: RawCall, outcome: object) -> None:
        if isinstance(outcome, Stored):
            call.reply_json(200, {})
        else:
            call.reply(404 if isinstance(outcome, LeaseLost) else 503)


def _lease_id(path: str) -> int:
    return int(path.rpartition("/")[2])


def _item(row: Row) -> dict[str, object]:
    value = base64.b64encode(row.value).decode()
    return {"key": row.key, "value": value, "revision": row.revision, "lease": 0}


def _event(change: Change) -> dict[str, object]:
    if change.value is None:
        return {"key": change.key, "revision": change.revision, "deleted": True}
    return _item(Row(change.key, change.value, change.revision))
