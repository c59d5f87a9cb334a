"""Ends a call to a target from another thread."""

import socket
import threading


class CallHandle:
    """Closes the connection of a call that is no longer wanted.

    A call may be sent several times, on one connection after the other; each is
    attached before anything is sent on it, and detached before it is kept for other
    calls. So a call that was cancelled in time never reaches a target, and a late
    cancellation harms no other call.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._cancelled = False
        self._interrupted = False

    @property
    def cancelled(self) -> bool:
        """Whether the call is no longer wanted."""
        return self._cancelled

    @property
    def interrupted(self) -> bool:
        """Whether this process itself ended the present send."""
        return self._interrupted

    def attach(self, sock: socket.socket | None) -> bool:
        """Take the connection of a send; return ``False`` if nothing may be sent."""
        with self._lock:
            if self._cancelled:
                return False
            self._interrupted = False
            self._socket = sock
            return True

    def detach(self) -> None:
        """Let go of the connection: its answer has been read whole."""
        with self._lock:
            self._socket = None

    def cancel(self) -> None:
        """End the call; the thread that waits for its answer finds it broken off."""
        with self._lock:
            self._cancelled = True
            self._shut_down()

    def interrupt(self) -> None:
        """End the present send; the call may be sent again."""
        with self._lock:
            self._shut_down()

    def _shut_down(self) -> None:
        self._interrupted = True
        if self._socket is None:
            return
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection is closed already.
            pass
