"""Stand-in for the platform's key-value service."""

import argparse
import threading
import time
from collections import deque
from itertools import takewhile
from pathlib import Path
from typing import Any

import msgspec

from standins.server import Call, Handler, RateLimit, Reply, StandIn, parser, refusal

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_SECONDS = 300.0
LEASE_CHECK_SECONDS = 0.05


class Change(msgspec.Struct, tag="write"):
    """One write, as watches and the journal tell it; `value` None deletes."""

    key: str
    value: Any
    revision: int
    lease: int = 0


class PutBody(msgspec.Struct):
    """Body of ``POST /kv/put``."""

    key: str
    value: Any
    expected: int | None = None
    lease: int = 0


class DeleteBody(msgspec.Struct):
    """Body of ``POST /kv/delete``."""

    key: str
    expected: int | None = None


class GrantBody(msgspec.Struct):
    """Body of ``POST /leases``."""

    ttl: float


class LeaseBody(msgspec.Struct):
    """Body of ``POST /leases/renew`` and ``POST /leases/revoke``."""

    lease: int


class Grant(msgspec.Struct, tag="lease"):
    """A lease as the journal tells it; a `ttl` of 0 ends it."""

    lease: int
    ttl: float


class KeyValue(StandIn):
    """Keys, revisions, leases and watches in memory, with an optional journal.

    With ``--data`` the rows outlive a restart; leases start their term anew.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._rows: dict[str, Change] = {}
        self._revision = 0
        self._log: deque[Change] = deque(maxlen=arguments.keep)
        self._compacted = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._changed = threading.Condition()
        self._reads = RateLimit(arguments.reads_per_second)
        self._writes = RateLimit(arguments.writes_per_second)
        self._journal = Path(arguments.data) if arguments.data else None
        self._replay()
        threading.Thread(target=self._expire_for_ever, daemon=True).start()

    def routes(self) -> dict[str, Handler]:
        """Return the routes of the key-value service."""
        reads = {
            "GET /kv": self._get,
            "GET /kv/list": self._list,
            "GET /kv/watch": self._watch,
        }
        writes = {
            "POST /kv/put": self._put,
            "POST /kv/delete": self._delete,
            "POST /leases": self._grant,
            "POST /leases/renew": self._renew,
            "POST /leases/revoke": self._revoke,
        }
        limited = {route: _limited(self._reads, call) for route, call in reads.items()}
        for route, call in writes.items():
            limited[route] = _limited(self._writes, call)
        return limited

    def _get(self, call: Call) -> Reply:
        with self._changed:
            row = self._rows.get(call.query["key"])
            if row is None:
                return Reply({"error": "absent", "revision": self._revision}, 404)
        return Reply(_row(row))

    def _list(self, call: Call) -> Reply:
        prefix = call.query.get("prefix", "")
        with self._changed:
            keys = sorted(key for key in self._rows if key.startswith(prefix))
            rows = [_row(self._rows[key]) for key in keys]
            return Reply({"rows": rows, "revision": self._revision})

    def _watch(self, call: Call) -> Reply:
        prefix = call.query.get("prefix", "")
        after = int(call.query["after"])
        timeout = min(float(call.query.get("timeout", "30")), MAX_WATCH_SECONDS)
        with self._changed:
            self._changed.wait_for(lambda: self._news(prefix, after), timeout)
            return Reply(
                {
                    "changes": [_row(change) for change in self._since(prefix, after)],
                    "revision": self._revision,
                    "compacted": after < self._compacted,
                }
            )

    def _news(self, prefix: str, after: int) -> bool:
        return after < self._compacted or bool(self._since(prefix, after))

    def _since(self, prefix: str, after: int) -> list[Change]:
        newer = takewhile(lambda change: change.revision > after, reversed(self._log))
        found = [change for change in newer if change.key.startswith(prefix)]
        return found[::-1]

    def _put(self, call: Call) -> Reply:
        body = call.read(PutBody)
        if len(msgspec.json.encode(body.value)) > MAX_VALUE_BYTES:
            return refusal(413, "value_too_large")
        with self._changed:
            self._expire()
            if body.lease and body.lease not in self._leases:
                return Reply({"error": "lease_lapsed", "revision": 0}, 409)
            if self._differs(body.key, body.expected):
                return self._conflict(body.key)
            return self._write(body.key, body.value, body.lease)

    def _delete(self, call: Call) -> Reply:
        body = call.read(DeleteBody)
        with self._changed:
            if self._differs(body.key, body.expected):
                return self._conflict(body.key)
            if body.key not in self._rows:
                return Reply({"revision": self._revision})
            return self._write(body.key, None)

    def _differs(self, key: str, expected: int | None) -> bool:
        row = self._rows.get(key)
        present = row.revision if row else 0
        return expected is not None and expected != present

    def _conflict(self, key: str) -> Reply:
        row = self._rows.get(key)
        revision = row.revision if row else 0
        return Reply({"error": "conflict", "revision": revision}, 409)

    def _write(self, key: str, value: Any, lease: int = 0) -> Reply:
        change = Change(key, value, self._revision + 1, lease)
        self._record(change)
        self._apply(change)
        self._changed.notify_all()
        return Reply({"revision": change.revision})

    def _apply(self, change: Change) -> None:
        self._revision = change.revision
        if len(self._log) == self._log.maxlen:
            self._compacted = self._log[0].revision
        self._log.append(change)
        if change.value is None:
            self._rows.pop(change.key, None)
        else:
            self._rows[change.key] = change

    def _grant(self, call: Call) -> Reply:
        ttl = call.read(GrantBody).ttl
        with self._changed:
            grant = Grant(self._next_lease, ttl)
            self._record(grant)
            self._hold(grant)
        return Reply({"lease": grant.lease, "ttl": ttl})

    def _hold(self, grant: Grant) -> None:
        self._next_lease = max(self._next_lease, grant.lease + 1)
        if grant.ttl:
            self._leases[grant.lease] = (time.monotonic() + grant.ttl, grant.ttl)
        else:
            self._leases.pop(grant.lease, None)

    def _renew(self, call: Call) -> Reply:
        lease = call.read(LeaseBody).lease
        with self._changed:
            self._expire()
            if lease not in self._leases:
                return refusal(404, "lease_lapsed")
            _, ttl = self._leases[lease]
            self._hold(Grant(lease, ttl))
        return Reply({"lease": lease, "ttl": ttl})

    def _revoke(self, call: Call) -> Reply:
        lease = call.read(LeaseBody).lease
        with self._changed:
            if lease not in self._leases:
                return refusal(404, "lease_lapsed")
            self._end(lease)
            return Reply({"revision": self._revision})

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (deadline, _) in list(self._leases.items()):
            if deadline <= now:
                self._end(lease)

    def _end(self, lease: int) -> None:
        self._record(Grant(lease, 0))
        self._hold(Grant(lease, 0))
        bound = [key for key, row in self._rows.items() if row.lease == lease]
        for key in bound:
            self._write(key, None)

    def _expire_for_ever(self) -> None:
        while True:
            time.sleep(LEASE_CHECK_SECONDS)
            with self._changed:
                self._expire()

    def _record(self, entry: Change | Grant) -> None:
        if self._journal:
            with self._journal.open("ab") as journal:
                journal.write(msgspec.json.encode(entry) + b"\n")

    def _replay(self) -> None:
        if self._journal is None or not self._journal.exists():
            return
        for line in self._journal.read_bytes().splitlines():
            entry = msgspec.json.decode(line, type=Change | Grant)
            if isinstance(entry, Change):
                self._apply(entry)
            else:
                self._hold(entry)


def _row(change: Change) -> dict[str, Any]:
    return {"key": change.key, "value": change.value, "revision": change.revision}


def _limited(limit: RateLimit, handler: Handler) -> Handler:
    def call_within_limit(call: Call) -> Reply:
        wait = limit.take()
        if wait > 0:
            return refusal(429, "rate_limited", retry_after=wait)
        return handler(call)

    return call_within_limit


def main() -> None:
    """Run the key-value service."""
    flags = parser("key_value", __doc__, threads=256)
    flags.add_argument("--reads-per-second", type=float, default=0)
    flags.add_argument("--writes-per-second", type=float, default=0)
    flags.add_argument("--keep", type=int, default=10_000, help="changes for watches")
    flags.add_argument("--data", default="", help="journal that outlives a restart")
    KeyValue(flags.parse_args()).serve()


if __name__ == "__main__":
    main()
