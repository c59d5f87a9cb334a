"""A small HTTP/1.1 over plain sockets, for stand-ins that need each byte in hand."""

import json
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer.

    Attributes
    ----------
    first : list of str
        The three words of the first line.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
    whole : bool
        Whether the end of the body arrived as its framing says.
    """

    first: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = True

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first[1])


class Reader:
    """Reads messages from a socket.

    Parameters
    ----------
    sock : socket.socket
    """

    def __init__(self, sock: socket.socket) -> None:
        self._file = sock.makefile("rb")

    def message(self, answer: bool) -> Message | None:
        """Return the next message; ``None`` if the connection has ended."""
        line = self._file.readline(65_536)
        if not line.endswith(b"\n"):
            return None
        message = Message(line.decode("latin-1").rstrip("\r\n").split(" ", 2))
        while (line := self._file.readline(65_536).strip()) != b"":
            name, _, value = line.decode("latin-1").partition(":")
            message.headers[name.lower()] = value.strip()
        if "chunked" in message.headers.get("transfer-encoding", "").lower():
            self._read_chunks(message)
        elif "content-length" in message.headers:
            length = int(message.headers["content-length"])
            message.body = self._file.read(length)
            message.whole = len(message.body) == length
        elif answer:
            message.body = self._file.read()
        return message

    def _read_chunks(self, message: Message) -> None:
        while True:
            line = self._file.readline(1024)
            if not line.endswith(b"\n"):
                message.whole = False
                return
            size = int(line.split(b";")[0], 16)
            data = self._file.read(size)
            message.body += data
            message.whole = len(data) == size
            self._file.readline(1024)
            if not size or not message.whole:
                return


def head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a whole answer whose body has a length."""
    return head(status, headers | {"Content-Length": str(len(body))}) + body


def json_answer(message: object) -> bytes:
    """Return a whole answer with a JSON body."""
    body = json.dumps(message).encode()
    return answer(200, {"Content-Type": "application/json"}, body)


def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 5.0,
) -> Message | None:
    """Send a request on a new connection; return its answer, or ``None`` without one.

    The connection is closed after the answer, or after `seconds`.
    """
    host, _, port = address.partition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    lines.append(f"Content-Length: {len(body)}")
    request = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
    try:
        with socket.create_connection((host, int(port)), 1.0) as sock:
            sock.settimeout(seconds)
            sock.sendall(request)
            return Reader(sock).message(answer=True)
    except (OSError, ValueError):
        return None


class Listener:
    """Accepts connections and serves each in a thread of its own.

    Parameters
    ----------
    host : str
    serve : callable
        Serves one connection; it is closed afterwards.
    """

    def __init__(self, host: str, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self._socket = socket.socket()
        self._socket.bind((host, 0))
        self._socket.listen(512)
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self._socket.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        with sock:
            try:
                self._serve(sock)
            except (OSError, ValueError):
                # The caller has closed the connection.
                pass
