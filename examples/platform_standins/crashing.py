"""A plain service whose process ends under some requests and is started again."""

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
        Monotonic time.
    body : bytes
    """

    at: float
    body: bytes


class CrashingService:
    """Answers with the request's body, or crashes.

    Parameters
    ----------
    address : str
        ``host:port``, also after a restart.
    name : str
        Each start has an id of its own that begins with it.
    started, ended : callable
        Called with the id and the address after each start, and with the id once the
        platform would drop the registration of a process that has ended.
    restart_seconds : float
        Time from a crash until the next start.

    Attributes
    ----------
    crashes : set of bytes
        Bodies of the requests under which the process ends.
    arrivals : list of Arrival
    crashed_at : list of float
        Monotonic times.
    """

    def __init__(
        self,
        address: str,
        name: str,
        started: Callable[[str, str], object],
        ended: Callable[[str], object],
        restart_seconds: float = 0.5,
    ) -> None:
        self.address = address
        self.crashing_bodies: set[bytes] = set()
        self.arrivals: list[Arrival] = []
        self.crashed_at: list[float] = []
        self.run_seconds = 0.01
        self._name = name
        self._started = started
        self._ended = ended
        self._back_seconds = restart_seconds
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self._id = ""
        self._stopped = False

    def start(self) -> None:
        """Listen, under a new id."""
        with self._lock:
            if self._stopped:
                return
            self._id = f"{self._name}.{next(self._numbers)}"
            self._listener = socket.create_server(parse_address(self.address))
            accepting = threading.Thread(
                target=self._accept, args=(self._listener, self._id), daemon=True
            )
            accepting.start()
        self._started(self._id, self.address)

    def stop(self) -> None:
        """End for good."""
        self._stopped = True
        self._end(self._id)

    def _accept(self, listener: socket.socket, id: str) -> None:
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
                connection.sendall(self._answer(id, headers, body))
        except OSError:
            # The process has ended, or the caller has gone.
            pass

    def _answer(self, id: str, headers: dict[str, str], body: bytes) -> bytes:
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
        if self._end(id):
            self.crashed_at.append(time.monotonic())
            threading.Timer(self._back_seconds, self._restart, args=(id,)).start()

    def _restart(self, id: str) -> None:
        self._ended(id)
        self.start()

    def _end(self, id: str) -> bool:
        """End the process as its kernel does; ``False`` if it has ended before."""
        with self._lock:
            if self._id != id or self._listener is None:
                return False
            self._id = ""
            # Wakes the thread that accepts, which would keep the port open.
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
            self._listener = None
            connections, self._connections = self._connections, set()
        for connection in connections:
            connection.setsockopt(*RESET_ON_CLOSE)
            connection.close()
        return True


def _read_request(connection: socket.socket) -> tuple[dict[str, str], bytes] | None:
    """Return the headers, by lower-case names, and the body of the next request."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(READ_BYTES)
        if not piece:
            return None
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    headers = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    while len(body) < int(headers.get("content-length", 0)):
        body += connection.recv(READ_BYTES)
    return headers, body
