"""Rights to act for subjects, confirmed by reads, and the writer of the assignment.

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
    coalescing_seconds,
    decode_assignment,
    encode_assignment,
    next_assignment,
    settled,
    writer_pause,
)
from wigeonfront.coordination.rows import Expect, Put, Row, RowStore, Stored
from wigeonfront.observability.logs import event

logger = logging.getLogger(__name__)

ASSIGNMENT_KEY = "live/assignment"

RETRY_SECONDS = 0.5
"""Pause until the row is read again after a read that failed or gave no right."""

POLL_SECONDS = 0.5
"""Pause between two checks whether the row is to change."""


class Rights:
    """The subjects that this machine may act for now.

    Parameters
    ----------
    store : RowStore
    name : str
        Name of the machine.
    term : float
        Time for which a confirmed right is valid, in seconds.
    clock : Clock
    receives_updates : bool
        Whether `update_assignment` is called with newer rows, so that a row which gives
        no right need not be read again.
    """

    def __init__(
        self,
        store: RowStore,
        name: str,
        term: float,
        clock: Clock,
        receives_updates: bool = True,
    ) -> None:
        self._store = store
        self._name = name
        self._term = term
        self._clock = clock
        self._receives_updates = receives_updates
        self._lock = threading.Lock()
        self._read_lock = threading.Lock()
        self._assignment: Assignment | None = None
        self._asked_at = -1e9
        self._confirmed_at = -1e9

    def update_assignment(self, assignment: Assignment) -> None:
        """Note a row that was learned from elsewhere; this confirms no right."""
        with self._lock:
            known = self._assignment
            if known is None or assignment.revision > known.revision:
                self._assignment = assignment

    def fence(self, subject: str) -> int | None:
        """Return the fencing token for an act for `subject`.

        ``None`` where this machine has no confirmed right. The act must be sent at once
        and must arrive within `FLIGHT_SECONDS`.
        """
        # One read serves all callers of the same moment.
        with self._read_lock:
            if self._should_read(subject):
                self._read()
        with self._lock:
            assignment = self._assignment
            if assignment is None or not self._confirmed:
                return None
            is_holder = assignment.holder(subject) == self._name
            return assignment.revision if is_holder else None

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
            return known is None or not self._receives_updates

    def _read(self) -> None:
        """Read the row; the term of a right starts when the read is sent.

        The read is linearizable: the row that it returns was current at some time after
        the read was sent.
        """
        self._asked_at = self._clock.boottime()
        row = self._store.get(ASSIGNMENT_KEY)
        if not isinstance(row, Row):
            return
        assignment = decode_assignment(row.value, row.revision)
        if assignment is None:
            event(logger, "bad_assignment", revision=row.revision)
            return
        self.update_assignment(assignment)
        with self._lock:
            self._confirmed_at = self._asked_at


class AssignmentWriter:
    """Writes the row of the assignment when holders join or leave; each entry has one.

    Parameters
    ----------
    store : RowStore
    name : str
        Name of the machine.
    view : callable
        Returns the processes that this one knows of, or ``None`` while its knowledge
        may be out of date.
    separation_seconds : float
        Shortest time that must lie between the acts of two machines.
    clock : Clock
    on_change : callable
        Called with each row that this process has written.
    """

    def __init__(
        self,
        store: RowStore,
        name: str,
        view: Callable[[], MembershipView | None],
        separation_seconds: float,
        clock: Clock,
        on_change: Callable[[Assignment], None],
    ) -> None:
        self._store = store
        self._name = name
        self._view = view
        self._separation_seconds = separation_seconds
        self._clock = clock
        self._on_change = on_change
        self._current: Assignment | None = None
        # Time at which this process first saw the present row, and time since which a
        # change is due.
        self._seen_at = clock.boottime()
        self._due_since: float | None = None

    def update_assignment(self, assignment: Assignment) -> None:
        """Note a newer row, such as the mirror shows."""
        current = self._current
        if current is None or assignment.revision > current.revision:
            self._current = assignment
            self._seen_at = self._clock.boottime()
            self._due_since = None

    def run(self, stop: threading.Event) -> None:
        """Write the changes that are due (a supervisor's task)."""
        while not stop.wait(POLL_SECONDS):
            self.write_if_due()

    def write_if_due(self) -> None:
        """Write the next row if it is due and it is this entry's turn."""
        view = self._view()
        if view is None:
            self._due_since = None
            return
        after = self._next(view)
        if after is None:
            self._due_since = None
            return
        now = self._clock.boottime()
        if self._due_since is None:
            self._due_since = now
        pause = coalescing_seconds(self._current, after)
        pause += writer_pause(self._name, view.staying)
        if now - self._due_since >= pause:
            self._write(after)

    def _next(self, view: MembershipView) -> Assignment | None:
        current = self._current
        if current is None or current.before is None:
            return next_assignment(current, view)
        elapsed = self._clock.boottime() - self._seen_at
        if elapsed < current.settle_seconds(self._separation_seconds):
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
