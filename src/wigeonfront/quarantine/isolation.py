"""Limits how many isolated requests a process runs at once."""

import threading

MAX_ISOLATED = 64
"""Largest number of isolated runs at once."""


class IsolationLimit:
    """A limit that starts at one run, and doubles with each run without a crash.

    A request that crashes its targets thus takes down one of them at a time, and many
    requests that only happened to run where targets crashed are soon done.

    Examples
    --------
    >>> limit = IsolationLimit()
    >>> limit.enter(), limit.enter()
    (True, False)
    >>> limit.leave(crashed=False)
    >>> limit.enter(), limit.enter(), limit.enter()
    (True, True, False)
    >>> limit.leave(crashed=True)
    >>> limit.enter()
    False
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._allowed = 1
        self._running = 0

    def enter(self) -> bool:
        """Count a run that begins; return ``False`` if the limit is reached."""
        with self._lock:
            if self._running >= self._allowed:
                return False
            self._running += 1
            return True

    def leave(self, crashed: bool) -> None:
        """Count a run that has ended, with a crash of its target or without."""
        with self._lock:
            self._running -= 1
            self._allowed = 1 if crashed else min(2 * self._allowed, MAX_ISOLATED)
