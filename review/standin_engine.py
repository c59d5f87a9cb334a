"""A model worker that streams the events of requests for tokens."""

import json
import threading
import time
from collections.abc import Callable

from standin_http_server import Connection, Request, answer
from standin_store import PlatformStore
from standin_worker import NOT_EXECUTED, Worker


def event_data(id: str, number: int) -> str:
    """Return the data of an event, which is the same at every worker."""
    return f"{id}-{number}"


class ModelWorker(Worker):
    """A model worker.

    Parameters
    ----------
    event_seconds : float
        Time that an event takes.
    events : callable
        Returns the number of events of a request, by its id.
    framed : bool
        Whether streams are sent in chunks; others end with their connection.
    on_run : callable
        Called with the worker's id, the id of a request and the number of the event
        after which a run begins.
    """

    def __init__(
        self,
        host: str,
        store: PlatformStore,
        id: str,
        service: str,
        zone: str,
        slots: int,
        model: str,
        event_seconds: float,
        events: Callable[[str], int],
        framed: bool,
        on_run: Callable[[str, str, int], None],
    ) -> None:
        super().__init__(host, store, id, service, zone, slots)
        self.slow_factor = 1.0
        self.framed = framed
        self._model = model
        self._event_seconds = event_seconds
        self._events = events
        self._on_run = on_run
        self._lock = threading.Lock()
        self._running = 0

    def entry(self) -> dict[str, object]:
        """Return the worker's entry in the list of workers."""
        models = [{"name": self._model, "version": 1, "adapters": []}]
        return super().entry() | {"stage": "prefill_decode", "models": models}

    def serve(self, connection: Connection, request: Request, id: str) -> None:
        """Answer a question for the report, or generate tokens."""
        if request.path == "/report":
            connection.send(answer(200, json.dumps(self._report()).encode()))
            return
        with self._lock:
            full = self._running >= self.slots
            self._running += not full
        if full:
            named = (("Wigeonfront-Attempt-Id", id), NOT_EXECUTED)
            connection.send(answer(503, b"", named))
            return
        try:
            self._stream(connection, request, id)
        finally:
            with self._lock:
                self._running -= 1

    def _report(self) -> dict[str, object]:
        return {
            "stage": "prefill_decode",
            "models": [{"name": self._model, "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "numWaiting": 0,
            "numRunning": self._running,
            "kvUsed": 0,
            "kvTotal": 82_057,
            "handles": 0,
        }

    def _stream(self, connection: Connection, request: Request, id: str) -> None:
        after = int(request.headers.get("last-event-id", 0))
        self._on_run(self.id, id, after)
        head = [
            "HTTP/1.1 200 OK",
            f"Wigeonfront-Attempt-Id: {id}",
            f"Wigeonfront-Server-Seal: {self.id}.{id}",
            "Wigeonfront-Weight-Versions: 1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked" if self.framed else "Connection: close",
        ]
        connection.send("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(after + 1, self._events(id) + 1):
            time.sleep(self._event_seconds * self.slow_factor)
            if connection.closed_by_caller():
                connection.closing = True
                return
            text = f"id: {number}\ndata: {event_data(id, number)}\n\n".encode()
            connection.send(_chunk(text) if self.framed else text)
        if self.framed:
            connection.send(b"0\r\n\r\n")
        else:
            connection.closing = True


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
