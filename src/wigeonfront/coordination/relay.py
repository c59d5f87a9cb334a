"""Relays: store calls made through another process.

A process whose calls the store refuses, or that is cut off from the store, asks another
process of the system to make the call. `RoutedStore` decides whether a call goes to the
store directly or through a relay. `RelayServer` makes calls for other processes. It
always calls the store directly, so that no call goes in circles.
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
"""Time after a failed direct call until the next one is attempted: a direct call that
gets no answer costs its caller a second."""

RELAY_CONNECT_SECONDS = 0.3
RELAY_CALL_SECONDS = 1.3
"""Longest wait for a relayed call: the longest wait of the relay for the store, and the
latency between the processes."""

MAX_RELAYS = 4
"""Number of relays that are asked for one call. Relays that are cut off from the store
as well answer at once; after `RELAY_CALL_SECONDS` no further one is asked."""

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

    def execute(self, store: RowStore) -> Any:
        """Make the call to `store` and return its outcome."""
        return store.get(self.key)


class ListCall(msgspec.Struct, frozen=True, tag="list"):
    """`RowStore.list`."""

    prefix: str
    after: str = ""
    stale: bool = False

    def execute(self, store: RowStore) -> Any:
        """Make the call to `store` and return its outcome."""
        return store.list(self.prefix, self.after, self.stale)


class WatchCall(msgspec.Struct, frozen=True, tag="watch"):
    """`RowStore.watch`."""

    prefix: str
    after: int
    timeout: float

    def execute(self, store: RowStore) -> Any:
        """Make the call to `store` and return its outcome."""
        return store.watch(self.prefix, self.after, self.timeout)


class WriteCall(msgspec.Struct, frozen=True, tag="write"):
    """`RowStore.write`."""

    expected: tuple[Expect, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()

    def execute(self, store: RowStore) -> Any:
        """Make the call to `store` and return its outcome."""
        return store.write(self.expected, self.puts, self.deletes)


class GrantCall(msgspec.Struct, frozen=True, tag="grant"):
    """`RowStore.grant_lease`."""

    ttl: float

    def execute(self, store: RowStore) -> Any:
        """Make the call to `store` and return its outcome."""
        return store.grant_lease(self.ttl)


class RenewCall(msgspec.Struct, frozen=True, tag="renew"):
    """`RowStore.renew_lease`."""

    lease: int

    def execute(self, store: RowStore) -> Any:
        """Make the call to `store` and return its outcome."""
        return store.renew_lease(self.lease)


class RevokeCall(msgspec.Struct, frozen=True, tag="revoke"):
    """`RowStore.revoke_lease`."""

    lease: int

    def execute(self, store: RowStore) -> Any:
        """Make the call to `store` and return its outcome."""
        return store.revoke_lease(self.lease)


StoreCall = (
    GetCall | ListCall | WatchCall | WriteCall | GrantCall | RenewCall | RevokeCall
)


class _Envelope(msgspec.Struct, frozen=True):
    """An outcome together with the name of its type."""

    kind: str
    value: msgspec.Raw


def encode_outcome(outcome: Any) -> bytes:
    """Return an outcome of a store call as JSON."""
    value = msgspec.Raw(msgspec.json.encode(outcome))
    return msgspec.json.encode(_Envelope(type(outcome).__name__, value))


def decode_outcome(body: bytes) -> Any:
    """Return the outcome that a body of JSON holds.

    Raises
    ------
    msgspec.DecodeError
        If `body` is malformed or names an unknown type.
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
    store : RoutedStore
        Calls the store directly, unless that has just failed.
    """

    def __init__(self, store: "RoutedStore") -> None:
        self._store = store

    def answer(self, call: RawCall) -> None:
        """Answer one call over HTTP."""
        try:
            request = msgspec.json.decode(call.body(MAX_BODY_BYTES), type=StoreCall)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            event(logger, "bad_relay_call", reason=str(error)[:200])
            call.reply(400)
            return
        outcome = self._store.call_directly(request)
        call.reply(
            200, encode_outcome(outcome), (("Content-Type", "application/json"),)
        )


class RoutedStore:
    """A `RowStore` that uses relays while direct calls to the store fail.

    Parameters
    ----------
    direct : RowStore
        The store, called directly.
    relays : callable
        Returns the addresses of the processes that may serve as relays.
    clock : Clock
    random : random.Random
        Decides the order in which relays are asked.

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
        return self._call(GetCall(key))

    def list(
        self, prefix: str, after: str = "", stale: bool = False
    ) -> Listing | Unavailable:
        """Read all keys below `prefix` that sort after `after`."""
        return self._call(ListCall(prefix, after, stale))

    def watch(self, prefix: str, after: int, timeout: float) -> Changes | Unavailable:
        """Wait up to `timeout` seconds for writes below `prefix` after a revision."""
        return self._call(WatchCall(prefix, after, timeout), timeout)

    def write(
        self,
        expected: tuple[Expect, ...],
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> TransactionOutcome:
        """Apply all writes and deletes if every condition holds, otherwise none."""
        return self._call(WriteCall(expected, puts, deletes))

    def grant_lease(self, ttl: float) -> Lease | Unavailable | Uncertain:
        """Request a lease of `ttl` seconds."""
        return self._call(GrantCall(ttl))

    def renew_lease(self, lease: int) -> Lease | LeaseLost | Unavailable:
        """Renew a lease for its full term."""
        return self._call(RenewCall(lease))

    def revoke_lease(self, lease: int) -> Stored | LeaseLost | Unavailable | Uncertain:
        """End a lease at once."""
        return self._call(RevokeCall(lease))

    def call_directly(self, call: StoreCall) -> Any:
        """Make a call without relays; `Unavailable` while direct calls fail."""
        if not self._should_call_directly():
            return Unavailable("cut off")
        return self._execute(call)

    def _call(self, call: StoreCall, wait: float = 0.0) -> Any:
        if self._should_call_directly():
            outcome = self._execute(call)
            if not isinstance(outcome, Unavailable):
                return outcome
            relayed = self._relay(call, wait)
            return outcome if relayed is None else relayed
        relayed = self._relay(call, wait)
        if relayed is not None:
            return relayed
        # No relay could be asked, so a direct call that may fail is still better.
        return self._execute(call)

    def _execute(self, call: StoreCall) -> Any:
        outcome: Any = call.execute(self._direct)
        self._note_direct(outcome)
        return outcome

    def _should_call_directly(self) -> bool:
        """Return whether to call the store directly now."""
        with self._lock:
            if self._failed_at is None:
                return True
            now = self._clock.monotonic()
            if now - self._failed_at < PROBE_SECONDS:
                return False
            # Other calls still use relays until this call has shown the result.
            self._failed_at = now
            return True

    def _note_direct(self, outcome: Any) -> None:
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
        """Return the outcome of a call through relays; ``None`` if none answered."""
        addresses = list(self._relays())
        self._random.shuffle(addresses)
        body = msgspec.json.encode(call)
        outcome: Any = None
        in_doubt = False
        until = self._clock.monotonic() + RELAY_CALL_SECONDS
        for address in addresses[:MAX_RELAYS]:
            if self._clock.monotonic() >= until:
                break
            timeout = RELAY_CALL_SECONDS + wait
            answer = self._pools.post(address, RELAY_PATH, body, timeout)
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
            # A relay may have made the write although its answer was lost.
            return Uncertain("relay")
        return outcome
