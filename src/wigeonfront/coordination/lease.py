"""Holding a lease and the row bound to it, such as an entry's membership.

The holder counts its term from before each renewal was sent, on its own monotonic
clock, less a margin for the clocks' rates. So it knows that it must not act before
the service lets the lease lapse, and everyone who finds the row gone knows that
the holder has stopped by itself. A holder whose whole VM was paused may have a
monotonic clock that stood still too: acts that need more write the row again by
compare-and-swap first (`LeaseHolder.fenced_write`).

Examples
--------
>>> from wigeonfront.clock import ManualClock
>>> from wigeonfront.platform.memory import MemoryKeyValue
>>> clock = ManualClock()
>>> key_value = MemoryKeyValue(clock)
>>> holder = LeaseHolder(key_value, clock, "members/entry-1", {"address": "a:1"})
>>> holder.check()
False
>>> delay = holder.step()
>>> holder.check()
True
>>> holder.fenced_write().revision
2
>>> clock.advance(31.0)
>>> holder.check()
False
>>> holder.fenced_write()
NotHeld(reason='term over')
"""

import threading
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.coordination.settled import new_writer, settled_put, writer_of
from wigeonfront.platform import (
    Absent,
    Conflict,
    KeyValue,
    Lease,
    LeaseLost,
    Listing,
    Stored,
    Unavailable,
    Uncertain,
)

LEASE_TTL = 30.0
MARGIN_SHARE = 0.05
RENEW_SHARE = (0.35, 0.5)
FIRST_RETRY_SHARE = 0.06
LAST_RETRY_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Held:
    """The row was written again under the lease.

    Attributes
    ----------
    revision : int
        Of the row now; rises with each fenced write.
    until : float
        Reading of the holder's monotonic clock up to which it may act.
    """

    revision: int
    until: float


@dataclass(frozen=True, slots=True)
class NotHeld:
    """The holder must not act."""

    reason: str


class LeaseHolder:
    """One row in the key-value service, kept alive by a lease.

    A task calls `step` for ever and waits as long as it says. All methods may be
    called from any thread.

    Parameters
    ----------
    key_value : KeyValue
    clock : Clock
    key : str
        Key of the row. At its first step the holder takes over a row that an
        earlier process left; later it yields to another's row.
    document : dict
        JSON data of the row; a field ``writer`` is added.
    ttl : float
        Term of the lease in seconds.
    random : Random, optional
        Spreads renewals and retries, so that holders don't call together.
    """

    def __init__(
        self,
        key_value: KeyValue,
        clock: Clock,
        key: str,
        document: dict[str, Any],
        ttl: float = LEASE_TTL,
        random: Random | None = None,
    ) -> None:
        self._key_value = key_value
        self._clock = clock
        self._key = key
        self._document = document
        self._ttl = ttl
        self._random = random or Random()
        self._identity = new_writer()
        self._writes = 0
        self._lock = threading.Lock()
        self._lease = 0
        self._until = 0.0
        self._revision = 0
        self._failures = 0
        self._has_held = False
        self._replaced = False

    @property
    def key(self) -> str:
        """Key of the row."""
        return self._key

    @property
    def replaced(self) -> bool:
        """Whether another process has taken the row; this one never holds again."""
        return self._replaced

    @property
    def remaining(self) -> float:
        """Seconds for which the holder may still act; 0 when it may not."""
        if not self._revision:
            return 0.0
        return max(0.0, self._until - self._clock.monotonic())

    def check(self) -> bool:
        """Tell whether the holder may act, by its own clock alone."""
        return self.remaining > 0

    def step(self) -> float:
        """Renew or take the lease, once; return seconds until the next call."""
        with self._lock:
            if self._replaced:
                return self._ttl
            done = (self._renew() if self._lease else self._grant()) and self._keep()
            self._failures = 0 if done else self._failures + 1
            return self._delay()

    def fenced_write(
        self, document: dict[str, Any] | None = None
    ) -> Held | NotHeld | Unavailable | Uncertain:
        """Write the row again, if it still is the holder's own.

        Parameters
        ----------
        document : dict, optional
            New data of the row; the same as before by default.

        Returns
        -------
        Held
            Only then may the holder act, and only until the reading given.
        """
        with self._lock:
            if not self.check():
                return NotHeld("term over")
            if document is not None:
                self._document = document
            reply = self._put(self._revision)
            if isinstance(reply, Stored):
                self._revision = reply.revision
                return self._held()
            if isinstance(reply, Unavailable):
                return reply
            # The next step reads which row there is.
            self._revision = 0
            return NotHeld("row taken") if isinstance(reply, Conflict) else reply

    def release(self) -> None:
        """End the lease, so that others need not wait for its term."""
        with self._lock:
            lease = self._lease
            self._forget()
            if lease:
                self._key_value.revoke_lease(lease)

    def _held(self) -> Held | NotHeld:
        """Return whether the term still runs after the call."""
        if not self.check():
            return NotHeld("term over")
        return Held(self._revision, self._until)

    def _delay(self) -> float:
        """Return seconds until the next step, with full jitter after failures."""
        if not self._failures:
            return self._ttl * self._random.uniform(*RENEW_SHARE)
        longest = min(FIRST_RETRY_SHARE * 2**self._failures, LAST_RETRY_SHARE)
        return self._ttl * self._random.uniform(longest / 4, longest)

    def _grant(self) -> bool:
        sent = self._clock.monotonic()
        reply = self._key_value.grant_lease(self._ttl)
        if not isinstance(reply, Lease):
            return False
        self._lease = reply.lease
        self._extend(sent, reply)
        return True

    def _renew(self) -> bool:
        sent = self._clock.monotonic()
        reply = self._key_value.renew_lease(self._lease)
        if isinstance(reply, LeaseLost):
            self._forget()
            return False
        if isinstance(reply, Unavailable):
            return False
        self._extend(sent, reply)
        return True

    def _extend(self, sent: float, lease: Lease) -> None:
        self._until = sent + min(lease.ttl, self._ttl) * (1 - MARGIN_SHARE)

    def _keep(self) -> bool:
        """See that the row is there and the holder's own."""
        row = self._key_value.get(self._key)
        if isinstance(row, Unavailable):
            return False
        if isinstance(row, Absent):
            return self._write_row(0, since=row.revision)
        writer = writer_of(row.value)
        if writer.startswith(f"{self._identity}/{self._lease}/"):
            self._revision = row.revision
            self._has_held = True
            return True
        if self._has_held and not writer.startswith(self._identity):
            self._replaced = True
            self._forget()
            return False
        return self._write_row(row.revision)

    def _write_row(self, expected: int, since: int = 0) -> bool:
        reply = self._put(expected, since)
        self._revision = reply.revision if isinstance(reply, Stored) else 0
        self._has_held = self._has_held or self._revision > 0
        return self._revision > 0

    def _put(
        self, expected: int, since: int = 0
    ) -> Stored | Conflict | Unavailable | Uncertain:
        self._writes += 1
        return settled_put(
            self._key_value,
            self._key,
            self._document,
            expected,
            lease=self._lease,
            since=since,
            writer=f"{self._identity}/{self._lease}/{self._writes}",
        )

    def _forget(self) -> None:
        self._lease = 0
        self._revision = 0
        self._until = 0.0


@dataclass(frozen=True, slots=True)
class Members:
    """The rows below a prefix.

    Attributes
    ----------
    documents : dict
        Decoded JSON data by name, the key without the prefix.
    revision : int
        Of the service when it was read. A member that is not among them at this
        revision had stopped acting by itself, or had not begun.
    """

    documents: dict[str, Any]
    revision: int


def read_members(key_value: KeyValue, prefix: str) -> Members | Unavailable:
    """Return the members that hold a row below `prefix`."""
    listing = key_value.list(prefix)
    if not isinstance(listing, Listing):
        return listing
    documents = {
        row.key.removeprefix(prefix): msgspec.json.decode(row.value)
        for row in listing.rows
    }
    return Members(documents, listing.revision)
