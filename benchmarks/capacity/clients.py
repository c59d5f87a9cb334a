"""What the benchmark plays itself: callers, an entry's sessions, a counting relay."""

import itertools
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from http.client import HTTPConnection
from typing import Any

import msgspec

from benchmarks.capacity.fleet import HOST
from benchmarks.capacity.load import LoadReport
from standins.relay import CHUNK, Relay
from wigeonfront.messages import (
    Attempt,
    Dispatch,
    DispatchReply,
    Opened,
    OpenSession,
    Result,
    StreamFrame,
)

STREAM_SECONDS = 30.0
POLL_SECONDS = 0.002
_frames = msgspec.json.Decoder(StreamFrame)


class RunningLoad:
    """A load generator at work in its own process."""

    def __init__(
        self,
        address: str,
        path: str,
        body: Any,
        seconds: float,
        rate: float = 0.0,
        connections: int = 16,
        seed: int = 1,
    ) -> None:
        command = [sys.executable, "-m", "benchmarks.capacity.load"]
        command += ["--address", address, "--path", path]
        command += ["--body", msgspec.json.encode(body).decode()]
        command += ["--seconds", str(seconds), "--rate", str(rate)]
        command += ["--connections", str(connections), "--seed", str(seed)]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE)

    def report(self) -> LoadReport:
        """Wait for the end and return what was seen."""
        output, _ = self._process.communicate()
        return msgspec.json.decode(output, type=LoadReport)


class CountingRelay(Relay):
    """A relay that counts the bytes that it passes on, both ways.

    Parameters
    ----------
    address : str
        ``host:port`` behind it.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.passed = 0
        super().__init__((HOST, 0), (host, int(port)))

    @property
    def listens(self) -> str:
        """``host:port`` at which it listens."""
        return f"{self.address[0]}:{self.address[1]}"

    def _pump(self, link: Any, to_target: bool) -> None:
        source, sink = link.client, link.target
        if not to_target:
            source, sink = sink, source
        try:
            while data := source.recv(CHUNK):
                self.passed += len(data)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            link.reset()


class FakeEntry:
    """An entry with one session at a side, for loads that a real one can't make.

    Parameters
    ----------
    address : str
        ``host:port`` of the side.
    name : str
        The entry's name.
    """

    def __init__(self, address: str, name: str) -> None:
        host, _, port = address.rpartition(":")
        self._name = name
        self._calls = HTTPConnection(host, int(port), timeout=STREAM_SECONDS)
        self._stream = HTTPConnection(host, int(port), timeout=STREAM_SECONDS)
        self._numbers = itertools.count(1)
        self._closing = False
        self._opened = threading.Event()
        self.incarnation = ""
        self.taken = 0
        self.results = 0
        self.cursor = 0
        self.stream_bytes = 0
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()
        if not self._opened.wait(STREAM_SECONDS):
            raise RuntimeError(f"{name}: no session")

    def dispatch(self, attempts: list[Attempt], acknowledge: bool = True) -> int:
        """Send `attempts`; return how many the side refused."""
        message = Dispatch(
            entry=self._name,
            entry_incarnation="i",
            session=1,
            side_incarnation=self.incarnation,
            cursor=self.cursor if acknowledge else 0,
            attempts=attempts,
        )
        body = msgspec.json.encode(message)
        self._calls.request("POST", "/peer/dispatch", body)
        response = self._calls.getresponse()
        answer = response.read()
        if response.status != 200:
            raise RuntimeError(f"dispatch: {response.status} {answer!r}")
        reply = msgspec.json.decode(answer, type=DispatchReply)
        if reply.stale:
            raise RuntimeError("the session is stale")
        self.taken += len(attempts) - len(reply.refused)
        return len(reply.refused)

    def attempts(self, count: int, **fields: Any) -> list[Attempt]:
        """Return `count` new attempts; ``{}`` in a key becomes the number."""
        key = fields.pop("key", "")
        made = []
        for number in itertools.islice(self._numbers, count):
            name = f"{self._name}.i.{number}"
            one = Attempt(attempt=name, request=name, key=key.format(number), **fields)
            made.append(one)
        return made

    def wait_outstanding(self, most: int) -> None:
        """Wait until at most so many attempts are without a result."""
        deadline = time.monotonic() + STREAM_SECONDS
        while self.taken - self.results > most:
            if time.monotonic() > deadline:
                raise RuntimeError(f"{self.results} results of {self.taken}")
            time.sleep(POLL_SECONDS)

    def close(self) -> None:
        """End the session's connection."""
        self._closing = True
        for connection in (self._stream, self._calls):
            if connection.sock is not None:
                connection.sock.shutdown(socket.SHUT_RDWR)
        self._thread.join()

    def _read(self) -> None:
        message = OpenSession(entry=self._name, entry_incarnation="i", session=1)
        try:
            for frame in self._lines(msgspec.json.encode(message)):
                self._take(frame)
        except (OSError, ValueError):
            if not self._closing:
                raise

    def _take(self, frame: StreamFrame) -> None:
        if isinstance(frame, Opened):
            self.incarnation = frame.incarnation
            self._opened.set()
        elif isinstance(frame, Result):
            self.results += 1
            self.cursor = frame.sequence

    def _lines(self, body: bytes) -> Iterator[StreamFrame]:
        self._stream.request("POST", "/peer/open", body)
        response = self._stream.getresponse()
        while line := response.readline():
            self.stream_bytes += len(line)
            yield _frames.decode(line)
