"""Counts the calls that a process makes to the key-value service.

The service counts each call, and its rates grow more slowly than the fleet, so that
calls per process and per change are a budget.
"""

from typing import TypeVar

from wigeonfront.metrics import Registry
from wigeonfront.platform import (
    Absent,
    Changes,
    Conflict,
    KeyValue,
    Lease,
    LeaseLost,
    Listing,
    Row,
    Stored,
    Unavailable,
    Uncertain,
)

CALLS_METRIC = "wigeonfront_key_value_calls_total"

Reply = TypeVar("Reply")


class MeteredKeyValue:
    """`wigeonfront.platform.KeyValue` that counts the calls to another one.

    Parameters
    ----------
    key_value : KeyValue
    metrics : Registry
    """

    def __init__(self, key_value: KeyValue, metrics: Registry) -> None:
        self._key_value = key_value
        self._calls = metrics.counter(
            CALLS_METRIC,
            "Calls to the key-value service, by kind and kind of answer.",
            ("kind", "answer"),
        )

    def get(self, key: str) -> Row | Absent | Unavailable:
        """Read one key."""
        return self._count("get", self._key_value.get(key))

    def list(self, prefix: str) -> Listing | Unavailable:
        """Read all keys below `prefix`."""
        return self._count("list", self._key_value.list(prefix))

    def put(
        self, key: str, value: bytes, expected: int | None = None, lease: int = 0
    ) -> Stored | Conflict | Unavailable | Uncertain:
        """Write a key. `expected` is its revision now, 0 for absent, None for any."""
        return self._count("put", self._key_value.put(key, value, expected, lease))

    def delete(
        self, key: str, expected: int | None = None
    ) -> Stored | Conflict | Unavailable | Uncertain:
        """Delete a key."""
        return self._count("delete", self._key_value.delete(key, expected))

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for writes below `prefix` after a revision."""
        return self._count("watch", self._key_value.watch(prefix, after, timeout))

    def grant_lease(self, ttl: float) -> Lease | Unavailable | Uncertain:
        """Ask for a lease of `ttl` seconds."""
        return self._count("grant_lease", self._key_value.grant_lease(ttl))

    def renew_lease(self, lease: int) -> Lease | LeaseLost | Unavailable:
        """Renew a lease for its full term."""
        return self._count("renew_lease", self._key_value.renew_lease(lease))

    def revoke_lease(self, lease: int) -> Stored | LeaseLost | Unavailable | Uncertain:
        """End a lease at once."""
        return self._count("revoke_lease", self._key_value.revoke_lease(lease))

    def _count(self, kind: str, reply: Reply) -> Reply:
        self._calls.increment(kind=kind, answer=type(reply).__name__.lower())
        return reply
