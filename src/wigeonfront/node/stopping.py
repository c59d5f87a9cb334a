"""Planned stops: SIGTERM and SIGINT start a graceful shutdown."""

import signal
import threading


class StopSignal:
    """An event that is set once the process is told to stop."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def install(self) -> None:
        """Handle SIGTERM and SIGINT; only the main thread may call this."""
        signal.signal(signal.SIGTERM, self._handle)
        signal.signal(signal.SIGINT, self._handle)

    def wait(self, timeout: float) -> bool:
        """Wait up to `timeout` seconds; return whether a stop was requested."""
        return self._event.wait(timeout)

    def set(self) -> None:
        """Request a stop."""
        self._event.set()

    def _handle(self, number: int, frame: object) -> None:
        self._event.set()
