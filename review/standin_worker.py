"""A worker of a plain service, and the registration that all workers share."""

import itertools
import threading
import time
from collections.abc import Callable

from standin_http_server import Connection, HttpServer, Request, answer
from standin_store import PlatformStore

ATTEMPT_ID = "wigeonfront-attempt-id"
EXPECT_INSTANCE = "wigeonfront-expect-instance"
HEARTBEAT_SECONDS = 1.2
NOT_EXECUTED = ("Wigeonfront-Not-Executed", "1")


class Worker:
    """A registered worker; subclasses run the requests.

    Parameters
    ----------
    host : str
    store : PlatformStore
    id : str
    service : str
    zone : str
    slots : int
    """

    def __init__(
        self,
        host: str,
        store: PlatformStore,
        id: str,
        service: str,
        zone: str,
        slots: int,
    ) -> None:
        self.id = id
        self.slots = slots
        self._store = store
        self._service = service
        self._zone = zone
        self._beats = itertools.count(1)
        self._server = HttpServer(host, self._handle)
        self.address = self._server.address
        self._stopped = threading.Event()

    def start(self) -> None:
        """Serve requests, and keep the registration alive."""
        self._server.start()
        threading.Thread(target=self._beat, daemon=True).start()

    def stop(self) -> None:
        """End the worker without a word, as a crash does."""
        self._stopped.set()
        self._server.stop()

    def entry(self) -> dict[str, object]:
        """Return the worker's entry in the list of workers."""
        return {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slotCount": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": next(self._beats),
        }

    def _beat(self) -> None:
        while not self._stopped.is_set():
            self._store.put(f"servers/{self.id}", self.entry())
            self._stopped.wait(HEARTBEAT_SECONDS)

    def _handle(self, connection: Connection, request: Request) -> None:
        if request.path == "/health":
            named = (("Wigeonfront-Instance-Id", self.id),)
            connection.send(answer(200, b"", named))
            return
        id = request.headers.get(ATTEMPT_ID, "")
        named = (("Wigeonfront-Attempt-Id", id),)
        if request.headers.get(EXPECT_INSTANCE, self.id) != self.id:
            connection.send(answer(421, b"", (*named, NOT_EXECUTED)))
            return
        self.serve(connection, request, id)

    def serve(self, connection: Connection, request: Request, id: str) -> None:
        """Answer a request that is meant for this worker."""
        raise NotImplementedError


class PlainWorker(Worker):
    """A worker of a plain service that runs a few requests at once.

    Parameters
    ----------
    work_seconds : float
        Time that a request runs.
    queue : int
        Number of requests that wait while all slots are taken; more are rejected.
    on_run : callable
        Called with the worker's id and the id of each request that begins to run.
    """

    def __init__(
        self,
        host: str,
        store: PlatformStore,
        id: str,
        service: str,
        zone: str,
        slots: int,
        queue: int,
        work_seconds: float,
        on_run: Callable[[str, str], None],
    ) -> None:
        super().__init__(host, store, id, service, zone, slots)
        self._work_seconds = work_seconds
        self._on_run = on_run
        self._lock = threading.Lock()
        self._free = threading.Semaphore(slots)
        self._admitted = 0
        self._most = slots + queue
        self._seals = itertools.count(1)

    def serve(self, connection: Connection, request: Request, id: str) -> None:
        """Run a request, or reject it where the queue is full."""
        with self._lock:
            full = self._admitted >= self._most
            self._admitted += not full
        named = (("Wigeonfront-Attempt-Id", id),)
        if full:
            connection.send(answer(503, b"", (*named, NOT_EXECUTED)))
            return
        with self._free:
            self._on_run(self.id, id)
            time.sleep(self._work_seconds)
        with self._lock:
            self._admitted -= 1
        seal = f"{self.id}.{next(self._seals)}"
        sealed = (
            *named,
            ("Wigeonfront-Server-Seal", seal),
            ("Keep-Alive", "timeout=5"),
        )
        connection.send(answer(200, request.body, sealed))
