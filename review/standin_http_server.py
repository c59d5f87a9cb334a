"""A small HTTP/1.1 server with one thread for each connection.

Handlers write bytes to the connection themselves, so that a stand-in can answer late,
twice, without a length or not at all.
"""

import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

MAX_HEAD_BYTES = 65_536


@dataclass(frozen=True)
class Request:
    """One request, with its headers by lower-case name."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """The query, not decoded."""
        return self.target.partition("?")[2]


@dataclass
class Connection:
    """A connection of a caller."""

    sock: socket.socket
    closing: bool = False

    def send(self, data: bytes) -> None:
        """Send all bytes."""
        self.sock.sendall(data)

    def closed_by_caller(self) -> bool:
        """Return whether the caller has closed the connection."""
        try:
            peeked = self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return peeked == b""


def answer(
    status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()
) -> bytes:
    """Return a complete answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


Handler = Callable[[Connection, Request], None]


class HttpServer:
    """Serves a handler on a loopback address.

    Parameters
    ----------
    host : str
        Loopback address.
    handler : callable
        Called for each request with its connection.
    """

    def __init__(self, host: str, handler: Handler) -> None:
        self._handler = handler
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._stopped = False

    def start(self) -> None:
        """Serve in daemon threads."""
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._stopped = True
        self._listener.close()
        with self._lock:
            connections = list(self._open)
        for sock in connections:
            _shut_down(sock)

    def _accept(self) -> None:
        while not self._stopped:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        connection = Connection(sock)
        reader = sock.makefile("rb")
        try:
            while not connection.closing:
                request = _read_request(reader)
                if request is None:
                    return
                self._handler(connection, request)
        except (OSError, ValueError):
            return
        finally:
            with self._lock:
                self._open.discard(sock)
            reader.close()
            sock.close()


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def _read_request(reader: Any) -> Request | None:
    line = reader.readline(MAX_HEAD_BYTES)
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := reader.readline(MAX_HEAD_BYTES).strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = _read_chunks(reader)
    else:
        body = reader.read(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def _read_chunks(reader: Any) -> bytes:
    body = b""
    while size := int(reader.readline().split(b";")[0], 16):
        body += reader.read(size)
        reader.readline()
    while reader.readline().strip():
        pass
    return body
