"""The store through another process, for one that the store turns away.

A process whose calls the store refuses, or that is cut off from it, asks another
process of the system to make the call. `RoutedStore` decides which way a call goes;
`RelayServer` makes calls for others, only directly, so that no call goes in circles.
"""

import logging
import threading
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.coordination.rows import (
    Absent,
    Changes,
    Expect,
    Lease,
    LeaseLost,
    Listing,
    Mismatch,
    Put,
    Row,
    RowStore,
    Stored,
    TransactionOutcome,
    Unavailable,
    Uncertain,
)
from wigeonfront.http.client import Answer, NotSent
from wigeonfront.http.pools import Pools
from wigeonfront.http.raw import RawCall
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

RELAY_PATH = "/store"

PROBE_SECONDS = 1.0
"""Time after a failed direct call before another is tried: a silent one costs its
caller a second."""

RELAY_CONNECT_SECONDS = 0.3
RELAY_CALL_SECONDS = 1.3
"""Longest wait for a relayed call: what the other process waits, and the way."""

MAX_RELAYS = 2
"""Processes asked for one call; a third fails for the same reason in most cases."""

OK = 200
MAX_BODY_BYTES = 4 * 1024 * 1024

_OUTCOMES: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        Absent,
        Changes,
        Lease,
        LeaseLost,
        Listing,
        Mismatch,
        Row,
        Stored,
        Unavailable,
        Uncertain,
    )
}


class GetCall(msgspec.Struct, frozen=True, tag="get"):
    """`RowStore.get`."""

    key: str

    def make(self, store: RowStore) -> Any:
        """Make the call."""
        return store.get(self.key)


class ListCall(msgspec.Struct, frozen=True, tag="list"):
    """`RowStore.list`."""

    prefix: str
    after: str = ""
    stale: bool = False

    def make(self, store: RowStore) -> Any:
        """Make the call."""
        return store.list(self.prefix, self.after, self.stale)


class WatchCall(msgspec.Struct, frozen=True, tag="watch"):
    """`RowStore.watch`."""

    prefix: str
    after: int
    timeout: float

    def make(self, store: RowStore) -> Any:
        """Make the call."""
        return store.watch(self.prefix, self.after, self.timeout)


class WriteCall(msgspec.Struct, frozen=True, tag="write"):
    """`RowStore.write`."""

    expected: tuple[Expect, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()

    def make(self, store: RowStore) -> Any:
        """Make the call."""
        return store.write(self.expected, self.puts, self.deletes)


class GrantCall(msgspec.Struct, frozen=True, tag="grant"):
    """`RowStore.grant_lease`."""

    ttl: float

    def make(self, store: RowStore) -> Any:
        """Make the call."""
        return store.grant_lease(self.ttl)


class RenewCall(msgspec.Struct, frozen=True, tag="renew"):
    """`RowStore.renew_lease`."""

    lease: int

    def make(self, store: RowStore) -> Any:
        """Make the call."""
        return store.renew_lease(self.lease)


class RevokeCall(msgspec.Struct, frozen=True, tag="revoke"):
    """`RowStore.revoke_lease`."""

    lease: int

    def make(self, store: RowStore) -> Any:
        """Make the call."""
        return store.revoke_lease(self.lease)


StoreCall = (
    GetCall | ListCall | WatchCall | WriteCall | GrantCall | RenewCall | RevokeCall
)


class _Envelope(msgspec.Struct, frozen=True):
    """An outcome with the name of its type."""

    kind: str
    value: msgspec.Raw


def encode_outcome(outcome: Any) -> bytes:
    """Return an outcome of a store call as JSON."""
    value = msgspec.Raw(msgspec.json.encode(outcome))
    return msgspec.json.encode(_Envelope(type(outcome).__name__, value))


def decode_outcome(body: bytes) -> Any:
    """Return the outcome that `body` holds.

    Raises
    ------
    msgspec.DecodeError
        When it is malformed.
    """
    envelope = msgspec.json.decode(body, type=_Envelope)
    kind = _OUTCOMES.get(envelope.kind)
    if kind is None:
        raise msgspec.DecodeError(f"unknown outcome: {envelope.kind[:50]}")
    return msgspec.json.decode(envelope.value, type=kind)


class RelayServer:
    """Makes store calls for other processes.

    Parameters
    ----------
    store : RowStore
        The direct way.
    """

    def __init__(self, store: RowStore) -> None:
        self._store = store

    def answer(self, call: RawCall) -> None:
        """Answer one call over HTTP."""
        try:
            asked = msgspec.json.decode(call.body(MAX_BODY_BYTES), type=StoreCall)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            event(logger, "bad_relay_call", reason=str(error)[:200])
            call.reply(400)
            return
        outcome = asked.make(self._store)
        call.reply(
            200, encode_outcome(outcome), (("Content-Type", "application/json"),)
        )


class RoutedStore:
    """A `RowStore` that goes through another process while the direct way fails.

    Parameters
    ----------
    direct : RowStore
    relays : callable
        Returns the addresses of processes that may be asked.
    clock : Clock
    random : random.Random

    Examples
    --------
    >>> from platform_standins.rows import MemoryRows
    >>> from wigeonfront.clock import SystemClock
    >>> rows = MemoryRows()
    >>> store = RoutedStore(rows, lambda: [], SystemClock(), Random())
    >>> store.write((), (Put("op/a", b"1"),))
    Stored(revision=1)
    >>> rows.faults.down = True
    >>> store.get("op/a"), store.direct_failing
    (Unavailable(reason='down'), True)
    """

    def __init__(
        self,
        direct: RowStore,
        relays: Callable[[], Sequence[str]],
        clock: Clock,
        random: Random,
    ) -> None:
        self._direct = direct
        self._relays = relays
        self._clock = clock
        self._random = random
        self._lock = threading.Lock()
        self._pools = Pools(RELAY_CONNECT_SECONDS)
        self._failed_at: float | None = None

    @property
    def direct_failing(self) -> bool:
        """Whether the last direct call failed."""
        return self._failed_at is not None

    def get(self, key: str) -> Row | Absent | Unavailable:
        """Read one key."""
        return self._make(GetCall(key))

    def list(
        self, prefix: str, after: str = "", stale: bool = False
    ) -> Listing | Unavailable:
        """Read all keys below `prefix` that sort behind `after`."""
        return self._make(ListCall(prefix, after, stale))

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for writes below `prefix` after a revision."""
        return self._make(WatchCall(prefix, after, timeout), timeout)

    def write(
        self,
        expected: tuple[Expect, ...],
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> TransactionOutcome:
        """Write all of it if every condition holds, otherwise nothing."""
        return self._make(WriteCall(expected, puts, deletes))

    def grant_lease(self, ttl: float) -> Lease | Unavailable | Uncertain:
        """Ask for a lease of `ttl` seconds."""
        return self._make(GrantCall(ttl))

    def renew_lease(self, lease: int) -> Lease | LeaseLost | Unavailable:
        """Renew a lease for its full term."""
        return self._make(RenewCall(lease))

    def revoke_lease(self, lease: int) -> Stored | LeaseLost | Unavailable | Uncertain:
        """End a lease at once."""
        return self._make(RevokeCall(lease))

    def _make(self, call: StoreCall, wait: float = 0.0) -> Any:
        if self._tries_direct():
            outcome: Any = call.make(self._direct)
            self._note(outcome)
            if not isinstance(outcome, Unavailable):
                return outcome
            relayed = self._relay(call, wait)
            return outcome if relayed is None else relayed
        relayed = self._relay(call, wait)
        if relayed is not None:
            return relayed
        # Nobody else can be asked, so that even a doubtful direct call is better.
        outcome = call.make(self._direct)
        self._note(outcome)
        return outcome

    def _tries_direct(self) -> bool:
        """Tell whether the direct way is worth a call now."""
        with self._lock:
            if self._failed_at is None:
                return True
            now = self._clock.monotonic()
            if now - self._failed_at < PROBE_SECONDS:
                return False
            # Others go on through relays while this call finds out.
            self._failed_at = now
            return True

    def _note(self, outcome: Any) -> None:
        failed = isinstance(outcome, Unavailable | Uncertain)
        with self._lock:
            was_failing = self._failed_at is not None
            self._failed_at = self._clock.monotonic() if failed else None
        if failed != was_failing:
            event(
                logger,
                "direct_store",
                answers=not failed,
                reason=getattr(outcome, "reason", ""),
            )

    def _relay(self, call: StoreCall, wait: float) -> Any:
        """Ask other processes to make the call; ``None`` if none could be asked."""
        addresses = list(self._relays())
        self._random.shuffle(addresses)
        body = msgspec.json.encode(call)
        outcome: Any = None
        in_doubt = False
        for address in addresses[:MAX_RELAYS]:
            seconds = RELAY_CALL_SECONDS + wait
            answer = self._pools.post(address, RELAY_PATH, body, seconds)
            if not isinstance(answer, Answer) or answer.status != OK:
                in_doubt = in_doubt or not isinstance(answer, NotSent)
                continue
            try:
                outcome = decode_outcome(answer.body)
            except msgspec.DecodeError as error:
                event(logger, "bad_relay_answer", relay=address, reason=str(error))
                in_doubt = True
                continue
            if not isinstance(outcome, Unavailable):
                return outcome
        if in_doubt and isinstance(call, WriteCall | GrantCall):
            # A relay may have made the write without being heard.
            return Uncertain("relay")
        return outcome
