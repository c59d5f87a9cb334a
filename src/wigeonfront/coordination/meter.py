"""Counts of the calls to the store."""

import logging
import threading
from typing import Any

from wigeonfront.coordination.rows import (
    Absent,
    Changes,
    Expect,
    Lease,
    LeaseLost,
    Listing,
    Put,
    Row,
    RowStore,
    Stored,
    TransactionOutcome,
    Unavailable,
    Uncertain,
)
from wigeonfront.observability.logs import event
from wigeonfront.observability.metrics import Registry

logger = logging.getLogger(__name__)

LOG_SECONDS = 10.0


class MeteredStore:
    """A `RowStore` that counts each call by its kind and outcome.

    Parameters
    ----------
    store : RowStore
    metrics : wigeonfront.observability.metrics.Registry

    Examples
    --------
    >>> from platform_standins.rows import MemoryRows
    >>> metrics = Registry()
    >>> MeteredStore(MemoryRows(), metrics).get("op/a")
    Absent(revision=0)
    >>> print(metrics.render_text().splitlines()[-1])
    store_calls_total{call="get",rows="op",outcome="Absent"} 1
    """

    def __init__(self, store: RowStore, metrics: Registry) -> None:
        self._store = store
        self._calls = metrics.counter(
            "store_calls_total",
            "Calls to the platform's store.",
            ("call", "rows", "outcome"),
        )

    def get(self, key: str) -> Row | Absent | Unavailable:
        """Read one key."""
        return self._count("get", key, self._store.get(key))

    def list(
        self, prefix: str, after: str = "", stale: bool = False
    ) -> Listing | Unavailable:
        """Read all keys below `prefix` that sort after `after`."""
        name = "stale_list" if stale else "list"
        return self._count(name, prefix, self._store.list(prefix, after, stale))

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for writes below `prefix` after a revision."""
        changes = self._store.watch(prefix, after, timeout)
        return self._count("watch", prefix, changes)

    def write(
        self,
        expected: tuple[Expect, ...],
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> TransactionOutcome:
        """Apply all writes and deletes if every condition holds, otherwise none."""
        key = puts[0].key if puts else "".join(deletes[:1])
        return self._count("write", key, self._store.write(expected, puts, deletes))

    def grant_lease(self, ttl: float) -> Lease | Unavailable | Uncertain:
        """Request a lease of `ttl` seconds."""
        return self._count("grant", "", self._store.grant_lease(ttl))

    def renew_lease(self, lease: int) -> Lease | LeaseLost | Unavailable:
        """Renew a lease for its full term."""
        return self._count("renew", "", self._store.renew_lease(lease))

    def revoke_lease(self, lease: int) -> Stored | LeaseLost | Unavailable | Uncertain:
        """End a lease at once."""
        return self._count("revoke", "", self._store.revoke_lease(lease))

    def _count(self, call: str, key: str, outcome: Any) -> Any:
        group = key.rpartition("/")[0].partition("/")[0] or "-"
        outcome_name = type(outcome).__name__
        self._calls.increment(call=call, rows=group, outcome=outcome_name)
        return outcome

    def log_loop(self, stop: threading.Event) -> None:
        """Log the counts at regular intervals (a supervisor's task)."""
        while not stop.wait(LOG_SECONDS):
            event(logger, "store_calls", totals=self.totals())

    def totals(self) -> str:
        """Return the counts so far as a short text for a log line."""
        totals: dict[str, float] = {}
        for (call, group, _), value in self._calls.collect().items():
            name = f"{call}:{group}"
            totals[name] = totals.get(name, 0) + float(value)
        return ",".join(f"{name}={count:g}" for name, count in sorted(totals.items()))
