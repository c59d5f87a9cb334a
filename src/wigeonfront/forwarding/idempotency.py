"""Requests with an idempotency key: run at most once, answered alike when repeated.

The record of a key is a row of the platform's store, made before the request is sent
and holding the answer afterwards. Whoever finds it made by another process answers from
it, waits for it, or says that the request may have run.
"""

import logging
import secrets
import threading
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.coordination.rows import (
    Absent,
    Expect,
    Lease,
    Mismatch,
    Put,
    Row,
    RowStore,
    Stored,
    Unavailable,
)
from wigeonfront.forwarding.attempt import Answered
from wigeonfront.forwarding.forwarder import Ended
from wigeonfront.forwarding.steps import Fail, ReturnAnswer
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

KEY_PREFIX = "keyed/"

REMEMBERED_SECONDS = 600.0
"""How long a key is remembered at most, and half of it at least."""

OWNER_MISSING_SECONDS = 1.5
"""How long the process that sends a request must be unknown until it counts as gone:
one that has just started is heard of within a second."""

POLL_SECONDS = 0.2
"""Pause between two readings of the record of a request that runs elsewhere."""

MOST_ANSWER_BYTES = 500_000
"""Largest answer that is remembered; of a larger one only that it was given."""

UNAVAILABLE = 503
CONFLICT = 409
RETRY_SECONDS = 0.3


class _Record(msgspec.Struct):
    """The value of a key's row.

    Attributes
    ----------
    owner : str
        Incarnation of the process that sends it.
    nonce : str
        Of this very try, to tell own writes whose answers are lost.
    status : int
        Of the answer; 0 while there is none.
    """

    owner: str
    nonce: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    whole: bool = True


@dataclass(frozen=True, slots=True)
class _Claimed:
    revision: int
    nonce: str


class IdempotentRequests:
    """Remembers keys in the store.

    Parameters
    ----------
    store : RowStore
    me : callable
        Returns the incarnation of this process.
    live : callable
        Returns the incarnations of the processes that live.
    clock : Clock
    """

    def __init__(
        self,
        store: RowStore,
        me: Callable[[], str],
        live: Callable[[], set[str]],
        clock: Clock,
    ) -> None:
        self._store = store
        self._me = me
        self._live = live
        self._clock = clock
        self._lock = threading.Lock()
        self._lease = 0
        self._lease_until = 0.0

    def run(
        self, route: str, key: str, deadline: float, send: Callable[[], Ended]
    ) -> Ended:
        """Return the answer of the request with this key, sending it if it is new.

        Parameters
        ----------
        route, key : str
        deadline : float
            Monotonic time.
        send : callable
            Sends the request.
        """
        row_key = f"{KEY_PREFIX}{route}/{key}"
        claimed = self._claim(row_key)
        if isinstance(claimed, Fail):
            return claimed
        if claimed is None:
            return self._wait(row_key, deadline)
        ended = send()
        self._note(row_key, claimed, ended)
        return ended

    def _claim(self, row_key: str) -> _Claimed | Fail | None:
        """Make the key's record; ``None`` where there is one already."""
        lease = self._current_lease()
        if not lease:
            return _refused("no lease")
        nonce = secrets.token_hex(8)
        value = msgspec.msgpack.encode(_Record(self._me(), nonce))
        outcome = self._store.write(
            (Expect(row_key, 0),), (Put(row_key, value, lease),)
        )
        if isinstance(outcome, Stored):
            return _Claimed(outcome.revision, nonce)
        if isinstance(outcome, Mismatch):
            return None
        if isinstance(outcome, Unavailable):
            return _refused(outcome.reason)
        return self._settle(row_key, nonce)

    def _settle(self, row_key: str, nonce: str) -> _Claimed | Fail | None:
        """Find out whether a write whose answer was lost has taken effect.

        One that may still do so later leaves a record of a request that never ran, for
        which a repeat is told that it may have: never the other way round.
        """
        row = self._store.get(row_key)
        record = _decode(row) if isinstance(row, Row) else None
        if isinstance(row, Row) and record is not None:
            return _Claimed(row.revision, nonce) if record.nonce == nonce else None
        return _refused("record in doubt")

    def _wait(self, row_key: str, deadline: float) -> Ended:
        """Return the answer that another process, or an earlier call, has got."""
        missing_since: float | None = None
        while True:
            row = self._store.get(row_key)
            if isinstance(row, Absent):
                return _refused("record gone")
            now = self._clock.monotonic()
            record = _decode(row) if isinstance(row, Row) else None
            if record is not None and record.status:
                return _remembered(record)
            if record is None or record.owner in self._live():
                missing_since = None
            elif missing_since is None:
                missing_since = now
            elif now - missing_since >= OWNER_MISSING_SECONDS:
                return Fail(CONFLICT, "the process that ran it is gone")
            if now + POLL_SECONDS >= deadline:
                return Fail(CONFLICT, "it may still run")
            self._clock.sleep(POLL_SECONDS)

    def _note(self, row_key: str, claimed: _Claimed, ended: Ended) -> None:
        """Remember how the request ended; forget a key whose request did not run."""
        expected = (Expect(row_key, claimed.revision),)
        if isinstance(ended, ReturnAnswer):
            value = msgspec.msgpack.encode(self._answered(claimed, ended.answer))
            put = Put(row_key, value, self._current_lease())
            outcome = self._store.write(expected, (put,))
        elif isinstance(ended, Fail) and ended.status == UNAVAILABLE:
            outcome = self._store.write(expected, (), (row_key,))
        else:
            return
        if not isinstance(outcome, Stored):
            name = type(outcome).__name__
            event(logger, "key_not_noted", key=row_key, outcome=name)

    def _answered(self, claimed: _Claimed, answer: Answered) -> _Record:
        whole = len(answer.body) <= MOST_ANSWER_BYTES
        body = answer.body if whole else b""
        return _Record(
            self._me(), claimed.nonce, answer.status, answer.headers, body, whole
        )

    def _current_lease(self) -> int:
        """Return a lease with at least half of its term left; 0 where none is had."""
        with self._lock:
            now = self._clock.monotonic()
            if now >= self._lease_until:
                lease = self._store.grant_lease(REMEMBERED_SECONDS)
                if not isinstance(lease, Lease):
                    return 0
                self._lease = lease.lease
                self._lease_until = now + lease.ttl / 2
            return self._lease


def _refused(reason: str) -> Fail:
    return Fail(UNAVAILABLE, reason, RETRY_SECONDS)


def _decode(row: Row) -> _Record | None:
    try:
        return msgspec.msgpack.decode(row.value, type=_Record)
    except msgspec.DecodeError:
        return None


def _remembered(record: _Record) -> Ended:
    if not record.whole:
        return Fail(CONFLICT, "it has run; its answer was too large to remember")
    return ReturnAnswer(Answered(record.status, record.headers, record.body))
