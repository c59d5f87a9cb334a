"""Peer sessions as the side sees them: one per entry, with kept results.

The attempt ledger holds these objects and guards them with its lock.
"""

import threading
from collections import deque
from dataclasses import dataclass

from wigeonfront.outcomes import Outcome

ENDED_INCARNATIONS = 8


@dataclass(frozen=True, slots=True)
class StaleSession:
    """The call names a session that is not the newest one.

    Attributes
    ----------
    session : int
        The newest session of the entry's incarnation; 0 where there is none.
    """

    session: int


@dataclass(frozen=True, slots=True)
class Ended:
    """The entry's incarnation has ended here, or its records are forgotten.

    What became of its outstanding attempts can no longer be said, as after a
    restart of the side. The entry may open again with an empty
    ``side_incarnation`` and its cursor at 0, unless it was replaced.

    Attributes
    ----------
    replaced : bool
        A newer incarnation of the entry has taken its place; this one stays ended.
    """

    replaced: bool


@dataclass(frozen=True, slots=True)
class FinishedAttempt:
    """One result as kept for an entry until its cursor passes `sequence`."""

    sequence: int
    attempt: str
    outcome: Outcome


class PeerSession:
    """What a side keeps for one entry.

    Parameters
    ----------
    entry, incarnation : str
        The entry and its present incarnation.
    lock : threading.RLock
        The ledger's lock; `changed` is a condition on it.

    Attributes
    ----------
    session : int
        Number of the newest session; 0 before the first.
    last_sequence : int
        Sequence number of the newest result.
    touched : float
        When the entry was last heard of, on the ledger's monotonic clock.
    """

    def __init__(self, entry: str, incarnation: str, lock: threading.RLock) -> None:
        self.entry = entry
        self.incarnation = incarnation
        self.session = 0
        self.last_sequence = 0
        self.touched = 0.0
        self.changed = threading.Condition(lock)
        self._kept: dict[int, FinishedAttempt] = {}
        self._ended: deque[str] = deque(maxlen=ENDED_INCARNATIONS)

    @property
    def unacknowledged(self) -> int:
        """Number of results that the entry has not acknowledged."""
        return len(self._kept)

    def has_ended(self, incarnation: str) -> bool:
        """Tell whether `incarnation` was replaced by a later one."""
        return incarnation in self._ended

    def restart(self, incarnation: str) -> None:
        """Begin a new incarnation of the entry, without sessions or results."""
        self._ended.append(self.incarnation)
        self.incarnation = incarnation
        self.session = 0
        self.last_sequence = 0
        self._kept.clear()
        self.changed.notify_all()

    def raise_session(self, session: int) -> None:
        """Make `session` the newest and wake the streams of older ones."""
        self.session = session
        self.changed.notify_all()

    def is_current(self, incarnation: str, session: int) -> bool:
        """Tell whether a call of this incarnation and session is to be heard."""
        return self.incarnation == incarnation and self.session == session

    def keep(self, attempt: str, outcome: Outcome) -> None:
        """Add a result for the entry."""
        self.last_sequence += 1
        finished = FinishedAttempt(self.last_sequence, attempt, outcome)
        self._kept[self.last_sequence] = finished
        self.changed.notify_all()

    def after(self, cursor: int) -> tuple[FinishedAttempt, ...]:
        """Return the kept results whose sequence numbers are above `cursor`."""
        first = max(cursor, self.last_sequence - len(self._kept)) + 1
        return tuple(self._kept[n] for n in range(first, self.last_sequence + 1))

    def acknowledge(self, cursor: int) -> list[str]:
        """Forget the results up to `cursor`; return their attempts.

        A cursor above the last sequence number belongs to another incarnation of
        the side and is ignored.
        """
        if cursor > self.last_sequence:
            return []
        first = self.last_sequence - len(self._kept) + 1
        return [self._kept.pop(n).attempt for n in range(first, cursor + 1)]
