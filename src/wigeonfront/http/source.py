"""Reads the bytes of a caller's connection within the limits of the call.

All parts of a request are read through a `CallerSource`: its head, its body, and what
is discarded after a refusal. It ends a read that takes too long, or that is shed under
load, whatever is being parsed from its bytes.
"""

import io
import socket
from collections.abc import Callable
from dataclasses import dataclass

from wigeonfront.clock import Clock, SystemClock
from wigeonfront.http.waiting import PROCESS_WAITS, ThreadShortage, Wait

POLL_SECONDS = 0.25
"""Longest time for which a read blocks before its limits are checked again."""

_CLOCK = SystemClock()

READ_BYTES = 8 * 1024
"""Size of the buffer of each connection."""


class CallLate(TimeoutError):  # noqa: N818
    """A part of a request has not arrived within its time."""

    def __init__(self) -> None:
        # The library looks for this text.
        super().__init__("timed out")


class CallShed(Exception):  # noqa: N818
    """The call has stalled, and others are short of what it occupies."""


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of the connections of a server.

    Attributes
    ----------
    idle_seconds : float
        Longest time without a byte.
    head_seconds : float
        Longest time from the first byte of a request to the end of its head.
    head_bytes : int
        Longest head of a request, and longest trailer section.
    body_bytes : int
        Longest body that a handler may accept.
    """

    idle_seconds: float = 15.0
    head_seconds: float = 15.0
    head_bytes: int = 64 * 1024
    body_bytes: int = 0


class CallerSource(io.RawIOBase):
    """The bytes that a caller sends on one connection.

    Parameters
    ----------
    sock : socket.socket
    server : object
        The server that accepted the connection.
    limits : callable
        Returns the `ConnectionLimits` in force.
    thread_shortage : callable
        Returns the number of connections of the server that wait for a thread.
    clock : Clock
    """

    def __init__(
        self,
        sock: socket.socket,
        server: object,
        limits: Callable[[], ConnectionLimits],
        thread_shortage: ThreadShortage,
        clock: Clock | None = None,
    ) -> None:
        super().__init__()
        self._sock = sock
        self._limits = limits
        self._thread_shortage = thread_shortage
        self._clock = clock or _CLOCK
        self._wait = Wait(server, self._clock.monotonic())
        self._deadline: float | None = None
        self._idle_seconds = limits().idle_seconds
        self._in_head = False
        self._blocking = True

    @property
    def wait(self) -> Wait:
        """What the call holds while it waits."""
        return self._wait

    @property
    def head_started(self) -> bool:
        """Whether a part of the head of the current request has arrived."""
        return self._in_head and self._deadline is not None

    def start_request(self) -> None:
        """Read the head of the next request; its time begins with its first byte."""
        self._wait.since = self._clock.monotonic()
        self._deadline = None
        self._idle_seconds = self._limits().idle_seconds
        self._in_head = True

    def start_body(self, deadline: float, idle_seconds: float | None = None) -> None:
        """Read what follows the head.

        Parameters
        ----------
        deadline : float
            Monotonic time by which all of it must have arrived.
        idle_seconds : float, optional
            Longest time without a byte, if it is not that of the connection.
        """
        self._wait.since = self._clock.monotonic()
        self._deadline = deadline
        self._idle_seconds = idle_seconds or self._limits().idle_seconds
        self._in_head = False

    def readable(self) -> bool:
        """Return ``True``."""
        return True

    def readinto(self, buffer: bytearray | memoryview) -> int | None:
        """Read what has arrived; ``None`` if nothing has and the read must not wait."""
        if not self._blocking:
            return None
        try:
            count = self._receive(buffer)
        except TimeoutError:
            count = self._read_patiently(buffer)
        now = self._clock.monotonic()
        if self._deadline is None:
            self._deadline = now + self._limits().head_seconds
        elif now >= self._deadline:
            raise CallLate
        self._wait.since = now
        return count

    def _read_patiently(self, buffer: bytearray | memoryview) -> int:
        """Read when bytes arrive, and check meanwhile whether the call has to end."""
        PROCESS_WAITS.add(self._wait)
        try:
            while True:
                self._check()
                try:
                    return self._receive(buffer)
                except TimeoutError:
                    continue
        finally:
            PROCESS_WAITS.remove(self._wait)

    def _receive(self, buffer: bytearray | memoryview) -> int:
        return self._sock.recv_into(buffer)

    def _check(self) -> None:
        """End the read if its time is over or if it is shed.

        Raises
        ------
        CallLate
        CallShed
        """
        now = self._clock.monotonic()
        idle = now - self._wait.since >= self._idle_seconds
        if idle or (self._deadline is not None and now >= self._deadline):
            raise CallLate
        if PROCESS_WAITS.is_shed(self._wait, now, self._thread_shortage()):
            raise CallShed

    def pause(self) -> None:
        """Wait for a moment for memory.

        Raises
        ------
        CallLate
        CallShed
        """
        PROCESS_WAITS.add(self._wait)
        try:
            self._check()
            self._clock.sleep(POLL_SECONDS)
        finally:
            PROCESS_WAITS.remove(self._wait)

    def has_arrived(self, reader: io.BufferedReader) -> bool:
        """Return whether `reader`, which reads from here, has bytes in its buffer."""
        self._blocking = False
        try:
            return bool(reader.peek(1))
        finally:
            self._blocking = True


class CallerReader(io.BufferedReader):
    """The buffered bytes of a caller's connection."""

    def __init__(self, source: CallerSource) -> None:
        super().__init__(source, READ_BYTES)
        self._source = source

    @property
    def source(self) -> CallerSource:
        """Where the bytes come from."""
        return self._source

    def has_data(self) -> bool:
        """Return whether a part of the next request is in the buffer."""
        return self._source.has_arrived(self)


class CallerWriter:
    """Writes to a caller's connection; nothing is buffered.

    Parameters
    ----------
    sock : socket.socket
    limits : callable
        Returns the `ConnectionLimits` in force.
    """

    def __init__(
        self, sock: socket.socket, limits: Callable[[], ConnectionLimits]
    ) -> None:
        self._sock = sock
        self._limits = limits

    def write(self, data: bytes) -> int:
        """Send `data`; wait as long as the caller may be idle for each part of it."""
        rest = memoryview(data)
        waited = 0.0
        while rest:
            try:
                sent = self._sock.send(rest)
            except TimeoutError:
                waited += POLL_SECONDS
                if waited >= self._limits().idle_seconds:
                    raise
                continue
            rest = rest[sent:]
            waited = 0.0
        return len(data)
