"""Planned stops: SIGTERM and SIGINT begin a graceful shutdown."""

import logging
import signal
import threading
from collections.abc import Callable

from wigeonfront.clock import Clock
from wigeonfront.logs import event

logger = logging.getLogger(__name__)

POLL_SECONDS = 0.05


class StopSignal:
    """Set once the process is told to stop."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def install(self) -> None:
        """Handle SIGTERM and SIGINT; only the main thread may call this."""
        signal.signal(signal.SIGTERM, self._handle)
        signal.signal(signal.SIGINT, self._handle)

    def wait(self, timeout: float) -> bool:
        """Wait up to `timeout` seconds; return whether the stop was asked for."""
        return self._event.wait(timeout)

    def set(self) -> None:
        """Ask for the stop."""
        self._event.set()

    def _handle(self, number: int, frame: object) -> None:
        self._event.set()


def wait_until(
    done: Callable[[], bool], seconds: float, clock: Clock, what: str
) -> bool:
    """Poll `done` for at most `seconds`; log and return how it ended."""
    deadline = clock.monotonic() + seconds
    while not done():
        if clock.monotonic() >= deadline:
            event(logger, "wait_ended", what=what, done=False, seconds=seconds)
            return False
        clock.sleep(POLL_SECONDS)
    event(logger, "wait_ended", what=what, done=True)
    return True
