"""Notes when requests of client accounts began to run at targets."""

import threading
from collections import deque
from dataclasses import dataclass

from wigeonfront.clock import Clock

RETENTION_SECONDS = 60.0
"""How long a start is kept: windows whose report was held up by an outage of this
length are still counted."""

TRANSIT_SECONDS = 0.0003
"""Time from the end of a send until the target begins: the way between machines of one
deployment. A tenth of it is one request a window miscounted in 10,000."""


@dataclass(slots=True)
class Start:
    """A request that began to run.

    Attributes
    ----------
    number : int
        Its place among the starts of this process.
    account : str
    at : float
        On the clock that counts suspensions, in seconds.
    withdrawn : bool
        It did not run after all.
    """

    number: int
    account: str
    at: float
    withdrawn: bool = False


class StartLog:
    """The starts that this process has seen lately; safe for use by many threads.

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
        self._last = 0
        # Numbers of starts that were withdrawn after others may have copied them.
        self._changed: deque[Start] = deque(maxlen=1_000)

    def note(self, account: str) -> "StartNote":
        """Return the note of a request that is about to be sent."""
        return StartNote(self, account)

    def add(self, account: str) -> Start:
        """Note a start that happens now."""
        now = self._clock.boottime()
        with self._lock:
            self._last += 1
            start = Start(self._last, account, now + TRANSIT_SECONDS)
            self._starts.append(start)
            while self._starts[0].at < now - RETENTION_SECONDS:
                self._starts.popleft()
        return start

    def withdraw(self, start: Start) -> None:
        """Take back a start that was none."""
        with self._lock:
            start.withdrawn = True
            self._changed.append(start)

    def after(self, number: int) -> list[Start]:
        """Return the starts behind a number, oldest first."""
        with self._lock:
            return [start for start in self._starts if start.number > number]

    def since(self, at: float) -> list[Start]:
        """Return the starts that ran from a time on."""
        with self._lock:
            return [one for one in self._starts if one.at >= at and not one.withdrawn]

    def pop_withdrawn(self) -> list[Start]:
        """Return the starts that were withdrawn since the last call."""
        with self._lock:
            taken = list(self._changed)
            self._changed.clear()
        return taken


class StartNote:
    """The start of one send, which may be made on one connection after another.

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
        """Note that the whole request is on its way; an earlier way led nowhere."""
        self.withdraw()
        self._start = self._log.add(self._account)

    def withdraw(self) -> None:
        """Take the start back: the request did not run."""
        if self._start is not None:
            self._log.withdraw(self._start)
            self._start = None
