"""The right to act for subjects, confirmed by reads; who writes the agreed row.

Examples
--------
>>> from platform_standins.rows import MemoryRows
>>> from wigeonfront.clock import ManualClock
>>> from wigeonfront.coordination.assignment import Holders
>>> rows = MemoryRows()
>>> _ = rows.put(ASSIGNMENT_KEY, encode_assignment(Assignment(Holders(("a",)))))
>>> Rights(rows, "a", 1.0, ManualClock(10.0)).fence("usage")
1
>>> Rights(rows, "b", 1.0, ManualClock(10.0)).fence("usage") is None
True
"""

import logging
import threading
from collections.abc import Callable

from wigeonfront.clock import Clock
from wigeonfront.coordination.assignment import (
    Assignment,
    MembershipView,
    next_assignment,
    decode_assignment,
    encode_assignment,
    coalescing_seconds,
    settled,
    writer_pause,
)
from wigeonfront.coordination.rows import Expect, Put, Row, RowStore, Stored
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

ASSIGNMENT_KEY = "live/assignment"

RETRY_SECONDS = 0.5
"""Pause until a row that gives no right, or was not to be had, is read again."""

LOOK_SECONDS = 0.5
"""Pause between two looks whether the row is to change."""


class Rights:
    """Which subjects this machine may act for now.

    Parameters
    ----------
    store : RowStore
    name : str
        Of the machine.
    term : float
        Seconds for which a confirmed right holds.
    clock : Clock
    told : bool
        Newer rows are handed over by `take`, so that a row which gives no right need
        not be read again.
    """

    def __init__(
        self,
        store: RowStore,
        name: str,
        term: float,
        clock: Clock,
        told: bool = True,
    ) -> None:
        self._store = store
        self._name = name
        self._term = term
        self._clock = clock
        self._told = told
        self._lock = threading.Lock()
        self._reading = threading.Lock()
        self._assignment: Assignment | None = None
        self._asked_at = -1e9
        self._confirmed_at = -1e9

    def update_assignment(self, assignment: Assignment) -> None:
        """Take a row that was heard of; it confirms nothing."""
        with self._lock:
            known = self._assignment
            if known is None or assignment.revision > known.revision:
                self._assignment = assignment

    def fence(self, subject: str) -> int | None:
        """Return the fencing token for an act for `subject`.

        ``None`` where this machine has no right to it, as far as is known. The act must
        be on its way at once, and have arrived within `FLIGHT_SECONDS`.
        """
        # One read does for all that ask at the same moment.
        with self._reading:
            if self._should_read(subject):
                self._read()
        with self._lock:
            assignment = self._assignment
            if assignment is None or not self._confirmed:
                return None
            holds = assignment.holder(subject) == self._name
            return assignment.revision if holds else None

    @property
    def _confirmed(self) -> bool:
        return self._clock.boottime() - self._confirmed_at < self._term

    def _should_read(self, subject: str) -> bool:
        with self._lock:
            known = self._assignment
            if self._clock.boottime() - self._asked_at < RETRY_SECONDS:
                return False
            if known is not None and known.holder(subject) == self._name:
                return not self._confirmed
            return known is None or not self._told

    def _read(self) -> None:
        """Read the row; what a linearizable read shows holds from its sending on."""
        self._asked_at = self._clock.boottime()
        row = self._store.get(ASSIGNMENT_KEY)
        if not isinstance(row, Row):
            return
        read = decode_assignment(row.value, row.revision)
        if read is None:
            event(logger, "bad_assignment", revision=row.revision)
            return
        self.update_assignment(read)
        with self._lock:
            self._confirmed_at = self._asked_at


class AssignmentKeeper:
    """Writes the row when holders come or go; each entry has one.

    Parameters
    ----------
    store : RowStore
    name : str
        Of the machine.
    present : callable
        Returns what this process sees of the others, or ``None`` while it can't tell.
    apart_seconds : float
        Time that must lie between the acts of two machines.
    clock : Clock
    on_change : callable
        Called with each row that was written here.
    """

    def __init__(
        self,
        store: RowStore,
        name: str,
        present: Callable[[], MembershipView | None],
        apart_seconds: float,
        clock: Clock,
        on_change: Callable[[Assignment], None],
    ) -> None:
        self._store = store
        self._name = name
        self._present = present
        self._apart_seconds = apart_seconds
        self._clock = clock
        self._on_change = on_change
        self._current: Assignment | None = None
        # When the present row was first seen here, and since when a change is due.
        self._seen_at = clock.boottime()
        self._due_since: float | None = None

    def update_assignment(self, assignment: Assignment) -> None:
        """Take the row that the mirror shows."""
        current = self._current
        if current is None or assignment.revision > current.revision:
            self._current = assignment
            self._seen_at = self._clock.boottime()
            self._due_since = None

    def run(self, stop: threading.Event) -> None:
        """Write what is due (a supervisor's task)."""
        while not stop.wait(LOOK_SECONDS):
            self.write_if_due()

    def write_if_due(self) -> None:
        """Write the next row if it is due and this entry's turn."""
        present = self._present()
        if present is None:
            self._due_since = None
            return
        after = self._next(present)
        if after is None:
            self._due_since = None
            return
        now = self._clock.boottime()
        if self._due_since is None:
            self._due_since = now
        pause = coalescing_seconds(self._current, after)
        pause += writer_pause(self._name, present.staying)
        if now - self._due_since >= pause:
            self._write(after)

    def _next(self, present: MembershipView) -> Assignment | None:
        current = self._current
        if current is None or current.before is None:
            return next_assignment(current, present)
        waited = self._clock.boottime() - self._seen_at
        if waited < current.settle_seconds(self._apart_seconds):
            return None
        return settled(current)

    def _write(self, after: Assignment) -> None:
        revision = self._current.revision if self._current else 0
        put = Put(ASSIGNMENT_KEY, encode_assignment(after))
        outcome = self._store.write((Expect(ASSIGNMENT_KEY, revision),), (put,))
        event(
            logger,
            "assignment_written",
            outcome=type(outcome).__name__,
            expected=revision,
            entries=",".join(after.holders.entries),
            pinned=len(after.holders.pinned),
            settled=after.before is None,
        )
        self._due_since = None
        if isinstance(outcome, Stored):
            written = Assignment(after.holders, after.before, outcome.revision)
            self.update_assignment(written)
            self._on_change(written)
