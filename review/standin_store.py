"""The platform's metadata store, as PROTOCOL.md describes it."""

import base64
import json
import threading
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

from standin_http_server import Connection, HttpServer, Request, answer

OPERATOR_PREFIXES = ("op/", "servers/")


@dataclass
class _Row:
    value: str
    revision: int
    created: int
    lease: int


@dataclass
class _Lease:
    ttl: float
    ends: float


class PlatformStore:
    """Rows with leases, transactions and watches, behind an HTTP interface.

    Attributes
    ----------
    down : bool
        While it is set, each call is answered 503 and nothing is done.
    """

    def __init__(self, host: str) -> None:
        self.down = False
        self._changed = threading.Condition()
        self._rows: dict[str, _Row] = {}
        self._events: list[tuple[int, str, _Row | None]] = []
        self._leases: dict[int, _Lease] = {}
        self._revision = 1
        self._next_lease = 1
        self._server = HttpServer(host, self._handle)
        self.address = self._server.address

    def start(self) -> None:
        """Serve, and end leases when they are due."""
        self._server.start()
        threading.Thread(target=self._expire, daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def put(self, key: str, document: Any) -> None:
        """Write a row as the operator, a trainer or a worker does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        with self._changed:
            self._apply([(key, value, 0)], [])

    def remove(self, key: str) -> None:
        """Delete a row as a worker does that leaves."""
        with self._changed:
            self._apply([], [key])

    def rows(self, prefix: str) -> dict[str, bytes]:
        """Return the values of all rows below a prefix."""
        with self._changed:
            return {
                key: base64.b64decode(row.value)
                for key, row in self._rows.items()
                if key.startswith(prefix)
            }

    # --- state ---------------------------------------------------------------

    def _apply(self, puts: list[tuple[str, str, int]], deletes: list[str]) -> int:
        self._revision += 1
        for key, value, lease in puts:
            old = self._rows.get(key)
            created = old.created if old else self._revision
            row = _Row(value, self._revision, created, lease)
            self._rows[key] = row
            self._events.append((self._revision, key, row))
        for key in deletes:
            if self._rows.pop(key, None) is not None:
                self._events.append((self._revision, key, None))
        self._changed.notify_all()
        return self._revision

    def _expire(self) -> None:
        while True:
            time.sleep(0.05)
            with self._changed:
                now = time.monotonic()
                for id in [id for id, of in self._leases.items() if of.ends < now]:
                    self._end_lease(id)

    def _end_lease(self, id: int) -> None:
        del self._leases[id]
        keys = [key for key, row in self._rows.items() if row.lease == id]
        if keys:
            self._apply([], keys)

    # --- calls ---------------------------------------------------------------

    def _handle(self, connection: Connection, request: Request) -> None:
        if self.down:
            connection.send(answer(503))
            return
        status, document = self._answer(request)
        body = json.dumps(document).encode()
        if request.path == "/kv-watch" and self.down:
            status, body = 503, b""
        connection.send(answer(status, body, (("Content-Type", "application/json"),)))

    def _answer(self, request: Request) -> tuple[int, Any]:
        query = {name: of[-1] for name, of in parse_qs(request.query, True).items()}
        call = f"{request.method} {request.path}"
        if call == "GET /kv-key":
            return self._get(query["key"])
        if call == "GET /kv-range":
            return self._range(query["prefix"], query.get("after", ""))
        if call == "GET /kv-watch":
            wait = int(query["waitMs"]) / 1000
            return self._watch(query["prefix"], int(query["after"]), wait)
        if call == "POST /kv-txn":
            return self._transact(json.loads(request.body))
        if call == "POST /kv-lease":
            return self._grant(json.loads(request.body)["ttlMs"])
        name, _, id = request.path.rpartition("/")
        if f"{request.method} {name}" == "POST /kv-keep":
            return self._keep(int(id))
        if f"{request.method} {name}" == "DELETE /kv-lease-end":
            return self._end(int(id))
        return 404, {}

    def _get(self, key: str) -> tuple[int, Any]:
        with self._changed:
            row = self._rows.get(key)
            if row is None:
                return 404, {"at": self._revision}
            return 200, {**_item(key, row), "at": self._revision}

    def _range(self, prefix: str, after: str) -> tuple[int, Any]:
        with self._changed:
            found = [
                _item(key, row)
                for key, row in sorted(self._rows.items())
                if key.startswith(prefix) and key > after
            ]
            page = {"items": found[:500], "hasMore": len(found) > 500}
            return 200, {**page, "at": self._revision}

    def _watch(self, prefix: str, after: int, wait: float) -> tuple[int, Any]:
        until = time.monotonic() + wait
        with self._changed:
            while True:
                events = [
                    _event(revision, key, row)
                    for revision, key, row in self._events
                    if revision > after and key.startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0 or self.down:
                    return 200, {"events": events, "at": self._revision}
                self._changed.wait(min(left, 0.1))

    def _transact(self, call: dict[str, Any]) -> tuple[int, Any]:
        puts, deletes = call.get("puts", []), call.get("delete", [])
        keys = [put["key"] for put in puts] + list(deletes)
        if any(key.startswith(OPERATOR_PREFIXES) for key in keys):
            return 403, {}
        with self._changed:
            expected = call.get("expected", [])
            if any(
                self._revision_of(row["key"]) != row["revision"] for row in expected
            ):
                found = [row["key"] for row in expected if row["key"] in self._rows]
                items = [_item(key, self._rows[key]) for key in found]
                return 412, {"items": items}
            if any(
                put.get("lease") and put["lease"] not in self._leases for put in puts
            ):
                return 404, {}
            rows = [(put["key"], put["value"], put.get("lease", 0)) for put in puts]
            return 200, {"revision": self._apply(rows, deletes)}

    def _revision_of(self, key: str) -> int:
        row = self._rows.get(key)
        return row.revision if row else 0

    def _grant(self, ttl_ms: int) -> tuple[int, Any]:
        ttl = min(max(ttl_ms, 1000), 600_000) / 1000
        with self._changed:
            id = self._next_lease
            self._next_lease += 1
            self._leases[id] = _Lease(ttl, time.monotonic() + ttl)
            return 200, {"lease": id, "ttlMs": int(ttl * 1000)}

    def _keep(self, id: int) -> tuple[int, Any]:
        with self._changed:
            lease = self._leases.get(id)
            if lease is None:
                return 404, {}
            lease.ends = time.monotonic() + lease.ttl
            return 200, {"lease": id, "ttlMs": int(lease.ttl * 1000)}

    def _end(self, id: int) -> tuple[int, Any]:
        with self._changed:
            if id not in self._leases:
                return 404, {}
            self._end_lease(id)
            return 200, {}


def _item(key: str, row: _Row) -> dict[str, Any]:
    return {
        "key": key,
        "value": row.value,
        "revision": row.revision,
        "created": row.created,
        "lease": row.lease,
    }


def _event(revision: int, key: str, row: _Row | None) -> dict[str, Any]:
    if row is None:
        return {"key": key, "revision": revision, "deleted": True}
    return _item(key, row)
