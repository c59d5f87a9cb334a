"""Calls that wait for bytes of their callers, and which of them gives way.

A caller that sends slowly, or stops, holds a thread, and what it has sent so far. While
other callers lack a thread, or room for their bodies, the call that has waited longest
without a byte gives way: it has not run, and its caller may repeat it. Without such a
lack every call may wait until its own deadline.
"""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

STANDSTILL_SECONDS = 0.5
"""Time without a byte after which a call may give way: many times the usual pause
between two packets of one body."""


@dataclass(eq=False, slots=True)
class Wait:
    """One call that waits for bytes.

    Attributes
    ----------
    server : object
        The server whose thread waits.
    since : float
        Monotonic time of the last byte, or of the connection.
    held : int
        Bytes that the call has taken from the budget of all requests.
    """

    server: object
    since: float
    held: int = 0


def gives_way(
    wait: Wait, waits: Iterable[Wait], now: float, lacking: int, holding: bool
) -> bool:
    """Return whether a call is among those that have to give way.

    Parameters
    ----------
    wait : Wait
    waits : iterable of Wait
        All calls that wait, with this one.
    now : float
        Monotonic time.
    lacking : int
        Number of other calls that lack what this one holds.
    holding : bool
        Whether only calls that hold bytes count, on all servers; otherwise the calls
        of the same server count.
    """
    if not lacking or now - wait.since < STANDSTILL_SECONDS:
        return False
    if holding:
        rivals = [other for other in waits if other.held]
    else:
        rivals = [other for other in waits if other.server is wait.server]
    longer = sum(other.since < wait.since for other in rivals)
    return longer < lacking


@dataclass(slots=True)
class Waits:
    """The calls of this process that wait for bytes; any thread may call a method."""

    _lock: threading.Lock = field(default_factory=threading.Lock)
    _waits: set[Wait] = field(default_factory=set)
    _without_room: int = 0

    def add(self, wait: Wait) -> None:
        """Count a call as waiting."""
        with self._lock:
            self._waits.add(wait)

    def remove(self, wait: Wait) -> None:
        """Count a call as no longer waiting."""
        with self._lock:
            self._waits.discard(wait)

    @property
    def count(self) -> int:
        """Number of calls that wait."""
        return len(self._waits)

    def change_without_room(self, change: int) -> None:
        """Count calls that lack room for their bodies."""
        with self._lock:
            self._without_room += change

    def gives_way(self, wait: Wait, now: float, lacking_threads: int) -> bool:
        """Return whether a call has to give way now.

        Parameters
        ----------
        wait : Wait
        now : float
            Monotonic time.
        lacking_threads : int
            Calls of the same server that no thread serves.
        """
        if not lacking_threads and not (wait.held and self._without_room):
            return False
        with self._lock:
            waits = list(self._waits)
        if gives_way(wait, waits, now, lacking_threads, holding=False):
            return True
        lacking_room = self._without_room if wait.held else 0
        return gives_way(wait, waits, now, lacking_room, holding=True)


PROCESS_WAITS = Waits()
"""The calls to all servers of this process that wait for bytes."""

Lacking = Callable[[], int]
"""Returns the number of calls that no thread of a server serves."""
