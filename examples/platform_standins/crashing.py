"""A plain service that crashes on some requests and restarts."""

import itertools
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from wigeonfront.http.encoding import parse_address
from wigeonfront.http.sockets import RESET_ON_CLOSE
from wigeonfront.platform import headers as names

READ_BYTES = 65_536


@dataclass(frozen=True)
class Arrival:
    """A request that began to run.

    Attributes
    ----------
    at : float
        Monotonic time at which it began.
    body : bytes
        Body of the request.
    """

    at: float
    body: bytes


class CrashingService:
    """A service that answers with the request's body, or crashes.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; a restart keeps it.
    name : str
        Prefix of the incarnation's id; each start gets a new id.
    on_start : callable
        Called with the id and the address after each start.
    on_end : callable
        Called with the id just before a restart, when the platform would drop the
        registration of the crashed process.
    restart_seconds : float
        Time from a crash until the next start.

    Attributes
    ----------
    crashing_bodies : set of bytes
        The process crashes when it runs a request with one of these bodies.
    arrivals : list of Arrival
        Requests that began to run, in order.
    crashed_at : list of float
        Monotonic times of the crashes.
    run_seconds : float
        Time that each request runs.
    """

    def __init__(
        self,
        address: str,
        name: str,
        on_start: Callable[[str, str], object],
        on_end: Callable[[str], object],
        restart_seconds: float = 0.5,
    ) -> None:
        self.address = address
        self.crashing_bodies: set[bytes] = set()
        self.arrivals: list[Arrival] = []
        self.crashed_at: list[float] = []
        self.run_seconds = 0.01
        self._name = name
        self._on_start = on_start
        self._on_end = on_end
        self._restart_seconds = restart_seconds
        self._start_numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self._id = ""
        self._stopped = False

    def start(self) -> None:
        """Start listening, under a new id."""
        with self._lock:
            if self._stopped:
                return
            self._id = f"{self._name}.{next(self._start_numbers)}"
            self._listener = socket.create_server(parse_address(self.address))
            accepting = threading.Thread(
                target=self._accept_connections,
                args=(self._listener, self._id),
                daemon=True,
            )
            accepting.start()
        self._on_start(self._id, self.address)

    def stop(self) -> None:
        """Stop the service for good; it does not restart."""
        self._stopped = True
        self._end_process(self._id)

    def _accept_connections(self, listener: socket.socket, id: str) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                if self._id != id:
                    connection.close()
                    return
                self._connections.add(connection)
            serving = threading.Thread(
                target=self._serve, args=(connection, id), daemon=True
            )
            serving.start()

    def _serve(self, connection: socket.socket, id: str) -> None:
        try:
            while request := _read_request(connection):
                headers, body = request
                connection.sendall(self._respond(id, headers, body))
        except OSError:
            # The simulated process has crashed, or the caller has disconnected.
            pass

    def _respond(self, id: str, headers: dict[str, str], body: bytes) -> bytes:
        if headers.get(names.EXPECT_INSTANCE.lower(), id) != id:
            return b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
        self.arrivals.append(Arrival(time.monotonic(), body))
        time.sleep(self.run_seconds)
        if body in self.crashing_bodies:
            self._crash(id)
            raise ConnectionAbortedError
        attempt = headers.get(names.ATTEMPT_ID.lower(), "")
        head = (
            f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {attempt}\r\n"
            f"{names.SEAL}: {id}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def _crash(self, id: str) -> None:
        if self._end_process(id):
            self.crashed_at.append(time.monotonic())
            threading.Timer(self._restart_seconds, self._restart, args=(id,)).start()

    def _restart(self, id: str) -> None:
        self._on_end(id)
        self.start()

    def _end_process(self, id: str) -> bool:
        """Close all sockets as the kernel does for a process that dies.

        Returns
        -------
        bool
            Whether the incarnation `id` was running.
        """
        with self._lock:
            if self._id != id or self._listener is None:
                return False
            self._id = ""
            # Wakes the accepting thread, which would otherwise keep the port open.
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
            self._listener = None
            connections, self._connections = self._connections, set()
        for connection in connections:
            connection.setsockopt(*RESET_ON_CLOSE)
            connection.close()
        return True


def _read_request(connection: socket.socket) -> tuple[dict[str, str], bytes] | None:
    """Return the headers, by lower-case name, and the body of the next request.

    Returns ``None`` if the caller has closed the connection.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(READ_BYTES)
        if not chunk:
            return None
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    headers = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    while len(body) < int(headers.get("content-length", 0)):
        body += connection.recv(READ_BYTES)
    return headers, body
