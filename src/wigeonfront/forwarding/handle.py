"""Handle that ends a call to a target from another thread."""

import threading

from wigeonfront.http.sockets import SharedSocket


class CallHandle:
    """Cancels or interrupts a call by shutting down its connection.

    A call may be sent several times, on one connection after the other. Each connection
    is attached before anything is sent on it, and detached before it returns to the
    pool. A call that was cancelled in time therefore never reaches a target, and a late
    cancellation does not affect another call.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: SharedSocket | None = None
        self._cancelled = False
        self._interrupted = False
        self._superseded = False
        self._answer_begun = False

    @property
    def cancelled(self) -> bool:
        """Whether the call was cancelled."""
        return self._cancelled

    @property
    def interrupted(self) -> bool:
        """Whether this process itself ended the current send."""
        return self._interrupted

    @property
    def superseded(self) -> bool:
        """Whether the call was cancelled because another send was answered."""
        return self._superseded

    @property
    def answer_begun(self) -> bool:
        """Whether the head of an answer has arrived."""
        return self._answer_begun

    def attach(self, sock: SharedSocket) -> bool:
        """Attach the socket of a send; return ``False`` if the call was cancelled."""
        with self._lock:
            if self._cancelled:
                return False
            self._interrupted = False
            self._socket = sock
            return True

    def detach(self) -> None:
        """Detach the connection after its answer was read completely."""
        with self._lock:
            self._socket = None

    def cancel(self) -> None:
        """End the call for good; the thread that waits for its answer sees it fail."""
        with self._lock:
            self._cancelled = True
            self._shut_down()

    def supersede(self) -> None:
        """End the call for good, as another send of its request was answered."""
        with self._lock:
            self._superseded = True
            self._cancelled = True
            self._shut_down()

    def record_answer_begun(self) -> None:
        """Record that the head of an answer has arrived."""
        self._answer_begun = True

    def interrupt(self) -> None:
        """End the current send; the call may be sent again."""
        with self._lock:
            self._shut_down()

    def _shut_down(self) -> None:
        self._interrupted = True
        if self._socket is not None:
            self._socket.shut_down()
