"""Records when requests of client accounts started to run at targets."""

import threading
from collections import deque
from dataclasses import dataclass

from wigeonfront.clock import Clock

RETENTION_SECONDS = 60.0
"""How long a start is kept, so that windows are still counted after an outage of this
length has delayed their reports."""

TRANSIT_SECONDS = 0.0003
"""Time from the end of a send until the target starts the request: the network transit
between machines of one deployment. A tenth of it amounts to one miscounted request in
10,000 per window."""


@dataclass(slots=True)
class Start:
    """The start of a request at a target.

    Attributes
    ----------
    number : int
        Number of the start among those of its process, from 1 on.
    account : str
        Name of the client account.
    at : float
        Time in seconds on the steady clock, which also counts suspensions.
    withdrawn : bool
        Whether the request did not run after all.
    """

    number: int
    account: str
    at: float
    withdrawn: bool = False


class StartLog:
    """The recent starts of this process; thread-safe.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from wigeonfront.clock import ManualClock
    >>> log = StartLog(ManualClock())
    >>> first, second = log.note("studio"), log.note("studio")
    >>> first.sent()
    >>> second.sent()
    >>> second.withdraw()
    >>> [(start.account, start.withdrawn) for start in log.after(0)]
    [('studio', False), ('studio', True)]
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._starts: deque[Start] = deque()
        self._last_number = 0
        # Starts that were withdrawn after another entry may have got copies of them.
        self._withdrawn: deque[Start] = deque(maxlen=1_000)

    def note(self, account: str) -> "StartNote":
        """Return a `StartNote` for a request that is about to be sent."""
        return StartNote(self, account)

    def add(self, account: str) -> Start:
        """Record a start at the present time."""
        now = self._clock.boottime()
        with self._lock:
            self._last_number += 1
            start = Start(self._last_number, account, now + TRANSIT_SECONDS)
            self._starts.append(start)
            while self._starts[0].at < now - RETENTION_SECONDS:
                self._starts.popleft()
        return start

    def withdraw(self, start: Start) -> None:
        """Withdraw a start whose request did not run after all."""
        with self._lock:
            start.withdrawn = True
            self._withdrawn.append(start)

    def after(self, number: int) -> list[Start]:
        """Return the starts with higher numbers than `number`, oldest first."""
        with self._lock:
            return [start for start in self._starts if start.number > number]

    def since(self, at: float) -> list[Start]:
        """Return the starts from a time on, without withdrawn ones."""
        with self._lock:
            return [
                start
                for start in self._starts
                if start.at >= at and not start.withdrawn
            ]

    def pop_withdrawn(self) -> list[Start]:
        """Remove and return the starts that were withdrawn since the last call."""
        with self._lock:
            withdrawn = list(self._withdrawn)
            self._withdrawn.clear()
        return withdrawn


class StartNote:
    """Records the start of one send, which may be repeated on another connection.

    Parameters
    ----------
    log : StartLog
    account : str
    """

    def __init__(self, log: StartLog, account: str) -> None:
        self._log = log
        self._account = account
        self._start: Start | None = None

    def sent(self) -> None:
        """Record that the request was sent whole; withdraw an earlier send's start."""
        self.withdraw()
        self._start = self._log.add(self._account)

    def withdraw(self) -> None:
        """Withdraw the start, as the request did not run."""
        if self._start is not None:
            self._log.withdraw(self._start)
            self._start = None
