"""Requests with an idempotency key: each runs once at most, and repeats get its answer.

The record of a key is a row in the platform's store. It is created before the request
is sent, and holds the answer afterwards. A process that finds a record by another
process returns the recorded answer, waits for it, or answers that the request may have
run.
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

RECORD_TTL_SECONDS = 600.0
"""Longest time for which the record of a key is kept; it is kept for at least half of
it."""

OWNER_MISSING_SECONDS = 1.5
"""Time for which the process that sends a request must be missing from the membership
before it counts as gone: a process that has just started appears within a second."""

POLL_SECONDS = 0.2
"""Pause between two reads of the record of a request that runs elsewhere."""

MAX_ANSWER_BYTES = 500_000
"""Largest answer body that is recorded; for a larger one, only the fact that an answer
was given."""

UNAVAILABLE = 503
CONFLICT = 409
RETRY_AFTER_SECONDS = 0.3


class _Record(msgspec.Struct):
    """Value of the row of a key.

    Attributes
    ----------
    owner : str
        Incarnation of the process that sends the request.
    nonce : str
        Random id of the attempt to create the record. It lets a process recognise its
        own write after the store's answer was lost.
    status : int
        Status of the answer; 0 while there is no answer.
    headers : tuple of pairs
    body : bytes
    whole : bool
        Whether the body is recorded; ``False`` if it was too large.
    """

    owner: str
    nonce: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    whole: bool = True


@dataclass(frozen=True, slots=True)
class _Claimed:
    """A key's record that this process has created.

    Attributes
    ----------
    revision : int
        Revision of the row.
    nonce : str
        As in the record.
    """

    revision: int
    nonce: str


class IdempotentRequests:
    """Runs requests with idempotency keys, and records their answers in the store.

    Parameters
    ----------
    store : RowStore
    incarnation : callable
        Returns the incarnation of this process.
    live_incarnations : callable
        Returns the incarnations of all live processes.
    clock : Clock
    """

    def __init__(
        self,
        store: RowStore,
        incarnation: Callable[[], str],
        live_incarnations: Callable[[], set[str]],
        clock: Clock,
    ) -> None:
        self._store = store
        self._incarnation = incarnation
        self._live_incarnations = live_incarnations
        self._clock = clock
        self._lock = threading.Lock()
        self._lease = 0
        self._lease_until = 0.0

    def run(
        self, route: str, key: str, deadline: float, send: Callable[[], Ended]
    ) -> Ended:
        """Return the answer to the request with this key; send it if the key is new.

        Parameters
        ----------
        route, key : str
        deadline : float
            Monotonic time, in seconds, at which the wait for another process ends.
        send : callable
            Sends the request.
        """
        row_key = f"{KEY_PREFIX}{route}/{key}"
        claimed = self._claim(row_key)
        if isinstance(claimed, Fail):
            return claimed
        if claimed is None:
            return self._wait_for_answer(row_key, deadline)
        ended = send()
        self._record_outcome(row_key, claimed, ended)
        return ended

    def _claim(self, row_key: str) -> _Claimed | Fail | None:
        """Create the key's record; return ``None`` if there already is one."""
        lease = self._current_lease()
        if not lease:
            return _not_run("no lease")
        nonce = secrets.token_hex(8)
        value = msgspec.msgpack.encode(_Record(self._incarnation(), nonce))
        outcome = self._store.write(
            (Expect(row_key, 0),), (Put(row_key, value, lease),)
        )
        if isinstance(outcome, Stored):
            return _Claimed(outcome.revision, nonce)
        if isinstance(outcome, Mismatch):
            return None
        if isinstance(outcome, Unavailable):
            return _not_run(outcome.reason)
        return self._resolve_uncertain_write(row_key, nonce)

    def _resolve_uncertain_write(
        self, row_key: str, nonce: str
    ) -> _Claimed | Fail | None:
        """Read back a record whose write is uncertain, because its answer was lost.

        The write may also take effect later. It then leaves a record of a request that
        never ran, and a repeat is told that the request may have run. The opposite
        error, a request that ran without a record, cannot happen.
        """
        row = self._store.get(row_key)
        record = _decode(row) if isinstance(row, Row) else None
        if isinstance(row, Row) and record is not None:
            return _Claimed(row.revision, nonce) if record.nonce == nonce else None
        return _not_run("record in doubt")

    def _wait_for_answer(self, row_key: str, deadline: float) -> Ended:
        """Return the answer that another process or an earlier call has received."""
        missing_since: float | None = None
        while True:
            row = self._store.get(row_key)
            if isinstance(row, Absent):
                return _not_run("record gone")
            now = self._clock.monotonic()
            record = _decode(row) if isinstance(row, Row) else None
            if record is not None and record.status:
                return _recorded_answer(record)
            if record is None or record.owner in self._live_incarnations():
                missing_since = None
            elif missing_since is None:
                missing_since = now
            elif now - missing_since >= OWNER_MISSING_SECONDS:
                return Fail(CONFLICT, "the process that ran it is gone")
            if now + POLL_SECONDS >= deadline:
                return Fail(CONFLICT, "it may still run")
            self._clock.sleep(POLL_SECONDS)

    def _record_outcome(self, row_key: str, claimed: _Claimed, ended: Ended) -> None:
        """Record the request's answer, or remove the record if it did not run."""
        expected = (Expect(row_key, claimed.revision),)
        if isinstance(ended, ReturnAnswer):
            value = msgspec.msgpack.encode(self._answered_record(claimed, ended.answer))
            put = Put(row_key, value, self._current_lease())
            outcome = self._store.write(expected, (put,))
        elif isinstance(ended, Fail) and ended.status == UNAVAILABLE:
            outcome = self._store.write(expected, (), (row_key,))
        else:
            return
        if not isinstance(outcome, Stored):
            name = type(outcome).__name__
            event(logger, "key_not_noted", key=row_key, outcome=name)

    def _answered_record(self, claimed: _Claimed, answer: Answered) -> _Record:
        whole = len(answer.body) <= MAX_ANSWER_BYTES
        body = answer.body if whole else b""
        return _Record(
            self._incarnation(),
            claimed.nonce,
            answer.status,
            answer.headers,
            body,
            whole,
        )

    def _current_lease(self) -> int:
        """Return a lease with at least half of its TTL left; 0 if none is granted."""
        with self._lock:
            now = self._clock.monotonic()
            if now >= self._lease_until:
                lease = self._store.grant_lease(RECORD_TTL_SECONDS)
                if not isinstance(lease, Lease):
                    return 0
                self._lease = lease.lease
                self._lease_until = now + lease.ttl / 2
            return self._lease


def _not_run(reason: str) -> Fail:
    return Fail(UNAVAILABLE, reason, RETRY_AFTER_SECONDS)


def _decode(row: Row) -> _Record | None:
    try:
        return msgspec.msgpack.decode(row.value, type=_Record)
    except msgspec.DecodeError:
        return None


def _recorded_answer(record: _Record) -> Ended:
    if not record.whole:
        return Fail(CONFLICT, "it has run; its answer was too large to remember")
    return ReturnAnswer(Answered(record.status, record.headers, record.body))
