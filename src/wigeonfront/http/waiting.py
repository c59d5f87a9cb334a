"""Calls that wait for bytes of their callers, and which of them is shed under load.

A caller that sends slowly, or stops, occupies a thread and the memory of what it has
sent so far. While other calls are short of threads, or of memory for their bodies, the
call that has stalled longest is refused: it has not run, and its caller may repeat it.
Without a shortage every call may wait until its own deadline.
"""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

STALL_SECONDS = 0.5
"""Time without a byte after which a call may be shed: many times the usual pause
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


def is_shed(wait: Wait, rivals: Iterable[Wait], now: float, shortage: int) -> bool:
    """Return whether a call is among those that are shed.

    Parameters
    ----------
    wait : Wait
    rivals : iterable of Wait
        All calls that wait and occupy what others are short of, with this one.
    now : float
        Monotonic time.
    shortage : int
        Number of other calls that are short of what this one occupies.
    """
    if not shortage or now - wait.since < STALL_SECONDS:
        return False
    stalled_longer = sum(rival.since < wait.since for rival in rivals)
    return stalled_longer < shortage


@dataclass(slots=True)
class Waits:
    """The calls of this process that wait for bytes; any thread may call a method."""

    _lock: threading.Lock = field(default_factory=threading.Lock)
    _waits: set[Wait] = field(default_factory=set)
    _short_of_memory: int = 0

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

    def change_short_of_memory(self, change: int) -> None:
        """Change the number of calls that wait for memory for their bodies."""
        with self._lock:
            self._short_of_memory += change

    def is_shed(self, wait: Wait, now: float, short_of_threads: int) -> bool:
        """Return whether a call is shed now.

        Calls occupy the threads of their own server, and the memory of the process.

        Parameters
        ----------
        wait : Wait
        now : float
            Monotonic time.
        short_of_threads : int
            Number of connections of the same server that wait for a thread.
        """
        short_of_memory = self._short_of_memory if wait.held else 0
        if not short_of_threads and not short_of_memory:
            return False
        with self._lock:
            waits = list(self._waits)
        on_server = (other for other in waits if other.server is wait.server)
        if is_shed(wait, on_server, now, short_of_threads):
            return True
        with_memory = (other for other in waits if other.held)
        return is_shed(wait, with_memory, now, short_of_memory)


PROCESS_WAITS = Waits()
"""The calls to all servers of this process that wait for bytes."""

ThreadShortage = Callable[[], int]
"""Returns the number of connections of a server that wait for a thread."""
