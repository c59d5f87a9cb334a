"""Pool of persistent connections to targets.

A connection is reused only if the last answer on it was read completely and no unread
bytes are left on it. A connection that the target has closed, or that carries
unexpected bytes, is closed.
"""

import errno
import os
import select
import socket
import threading
from collections import defaultdict, deque
from dataclasses import dataclass
from typing import Any
from weakref import WeakSet

from urllib3.exceptions import HTTPError

from wigeonfront.clock import Clock
from wigeonfront.forwarding.handle import CallHandle
from wigeonfront.forwarding.slow_wait import SlowWait
from wigeonfront.http.bounded import BoundedConnection
from wigeonfront.http.encoding import parse_address
from wigeonfront.http.sockets import NO_DELAY, RESET_ON_CLOSE, SharedSocket

CONNECT_TIMEOUT_SECONDS = 0.4
"""Longest wait for a connection to be established. It is a hundred times a round trip
between failure domains, and short enough to try another target within a caller's
latency objective."""

CANCEL_CHECK_SECONDS = 0.01
"""Interval at which the wait for a connection checks whether its call was cancelled."""

PROBE_TIMEOUT_SECONDS = 0.1
"""Longest wait when probing whether a process listens at an address: many round
trips."""

UNACKNOWLEDGED_TIMEOUT_MS = 3000
"""Milliseconds for which sent data may stay unacknowledged before TCP closes the
connection."""

KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2

DEFAULT_IDLE_SECONDS = 4.0
"""How long an idle connection is kept if the target does not announce a time."""

IDLE_SHARE = 0.8
"""Fraction of the idle time announced by a target for which a connection is kept, so
that a request and the target's close do not cross."""

MAX_IDLE_CONNECTIONS = 24
"""Largest number of idle connections kept for each target: twice the requests that an
engine runs at once."""


@dataclass(frozen=True, slots=True)
class NoConnection:
    """No connection to a target could be established.

    Attributes
    ----------
    refused : bool
        Whether the target's machine answered that no process listens there.
    """

    refused: bool

    @property
    def reason(self) -> str:
        """Short text for logs."""
        return "connection refused" if self.refused else "no connection"


@dataclass(slots=True, eq=False, weakref_slot=True)
class Connection:
    """A connection to one target.

    Attributes
    ----------
    http_connection : BoundedConnection
    shared_socket : SharedSocket
    target_id : str
    used : bool
        Whether the connection has carried an answer before.
    idle_since : float
        Monotonic time of its last answer, in seconds.
    max_idle_seconds : float
        Seconds for which it may be kept idle.
    """

    http_connection: BoundedConnection
    shared_socket: SharedSocket
    target_id: str
    used: bool = False
    idle_since: float = 0.0
    max_idle_seconds: float = DEFAULT_IDLE_SECONDS

    @property
    def sock(self) -> socket.socket:
        """Socket of the connection.

        The library drops its own reference while the body is still being read.
        """
        return self.shared_socket.sock

    def close(self) -> None:
        """Close the connection at once, even while another thread reads from it."""
        self.shut_down()
        self.http_connection.close()

    def reset(self) -> None:
        """Close the connection with a reset, which discards data still in transit.

        After a network partition the network would otherwise still deliver a request
        for which nobody waits any more. Only the thread that uses the connection may
        call this.
        """
        try:
            self.sock.setsockopt(*RESET_ON_CLOSE)
        except OSError:
            # The socket is closed already.
            pass
        self.http_connection.close()

    def shut_down(self) -> None:
        """Make the thread that uses the connection fail; that thread then closes it."""
        self.shared_socket.shut_down()


class Connections:
    """Connection pool of one process; safe for use by many threads.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: dict[str, deque[Connection]] = defaultdict(deque)
        self._in_use: WeakSet[Connection] = WeakSet()
        self.opened = 0

    def acquire(
        self,
        target_id: str,
        address: str,
        max_idle_seconds: float = float("inf"),
        handle: CallHandle | None = None,
        slow: SlowWait | None = None,
    ) -> Connection | NoConnection:
        """Return a pooled connection, or a new one.

        Parameters
        ----------
        max_idle_seconds : float
            Longest time, in seconds, for which a pooled connection may have been idle.
        handle : CallHandle, optional
            Ends the wait for a new connection, if `slow` is given too.
        slow : SlowWait, optional
            Told if a new connection is awaited for long.
        """
        while (pooled := self._pop_idle(target_id)) is not None:
            age = self._clock.monotonic() - pooled.idle_since
            if (
                age <= min(max_idle_seconds, pooled.max_idle_seconds)
                and pooled.http_connection.is_connected
            ):
                with self._lock:
                    self._in_use.add(pooled)
                return pooled
            pooled.close()
        return self._open(target_id, address, handle, slow)

    def release(self, connection: Connection, keep_alive: str = "") -> None:
        """Return a connection, whose last answer was read to its end, to the pool.

        Parameters
        ----------
        keep_alive : str
            Value of the answer's ``Keep-Alive`` header.
        """
        if not connection.http_connection.is_connected:
            connection.close()
            return
        connection.used = True
        connection.idle_since = self._clock.monotonic()
        connection.max_idle_seconds = idle_seconds(keep_alive)
        with self._lock:
            self._in_use.discard(connection)
            idle = self._idle[connection.target_id]
            idle.append(connection)
            excess = idle.popleft() if len(idle) > MAX_IDLE_CONNECTIONS else None
        if excess is not None:
            excess.close()

    def close_idle_to(self, target_id: str) -> None:
        """Close the idle connections to a target."""
        with self._lock:
            idle = self._idle.pop(target_id, ())
        for connection in idle:
            connection.close()

    def abort_calls(self, target_id: str) -> None:
        """Abort all calls to a target that no longer runs.

        The requests that wait for its answers can then be sent to other targets at
        once. A machine that lost power never closes its connections, and timeouts take
        seconds.
        """
        self.close_idle_to(target_id)
        with self._lock:
            in_use = [
                connection
                for connection in self._in_use
                if connection.target_id == target_id
            ]
        for connection in in_use:
            connection.shut_down()

    def close_idle(self) -> None:
        """Close connections that have been idle longer than they may be kept."""
        now = self._clock.monotonic()
        expired: list[Connection] = []
        with self._lock:
            for idle in self._idle.values():
                while idle and now - idle[0].idle_since > idle[0].max_idle_seconds:
                    expired.append(idle.popleft())
        for connection in expired:
            connection.close()

    def _pop_idle(self, target_id: str) -> Connection | None:
        with self._lock:
            idle = self._idle.get(target_id)
            return idle.pop() if idle else None

    def _open(
        self,
        target_id: str,
        address: str,
        handle: CallHandle | None,
        slow: SlowWait | None,
    ) -> Connection | NoConnection:
        host, port = parse_address(address)
        http_connection = BoundedConnection(
            host,
            port,
            timeout=CONNECT_TIMEOUT_SECONDS,
            socket_options=_socket_options(),
        )
        http_connection.clock = self._clock
        try:
            if handle is None or slow is None:
                http_connection.connect()
                shared_socket = SharedSocket(http_connection.sock)
            else:
                shared_socket = self._connect_watched(host, port, handle, slow)
                http_connection.sock = shared_socket.sock
        except (HTTPError, OSError) as error:
            http_connection.close()
            return NoConnection(_is_refusal(error))
        http_connection.shared_socket = shared_socket
        connection = Connection(http_connection, shared_socket, target_id)
        with self._lock:
            self.opened += 1
            self._in_use.add(connection)
        return connection

    def _connect_watched(
        self, host: str, port: int, handle: CallHandle, slow: SlowWait
    ) -> SharedSocket:
        """Return a connected socket; `handle` can end the wait for it."""
        failure = OSError(f"no address of {host}")
        for family, kind, protocol, _, address in socket.getaddrinfo(
            host, port, type=socket.SOCK_STREAM
        ):
            shared_socket = SharedSocket(socket.socket(family, kind, protocol))
            try:
                self._connect_socket(shared_socket, address, handle, slow)
                return shared_socket
            except OSError as error:
                shared_socket.sock.close()
                failure = error
                if handle.cancelled:
                    break
        raise failure

    def _connect_socket(
        self,
        shared_socket: SharedSocket,
        address: tuple[Any, ...],
        handle: CallHandle,
        slow: SlowWait,
    ) -> None:
        sock = shared_socket.sock
        for option in _socket_options():
            sock.setsockopt(*option)
        sock.setblocking(False)
        if not handle.attach(shared_socket):
            raise ConnectionAbortedError("the call was cancelled")
        error = sock.connect_ex(address)
        if error == errno.EINPROGRESS:
            _wait_until_connected(sock, handle, slow, self._clock)
        elif error:
            raise OSError(error, os.strerror(error))
        sock.settimeout(CONNECT_TIMEOUT_SECONDS)


def _wait_until_connected(
    sock: socket.socket, handle: CallHandle, slow: SlowWait, clock: Clock
) -> None:
    """Wait until `sock` is connected; raise `OSError` if that fails.

    Some network stacks don't wake the wait for a connection when its socket is shut
    down, so a cancelled call is noticed within `CANCEL_CHECK_SECONDS`.
    """
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    deadline = clock.monotonic() + CONNECT_TIMEOUT_SECONDS
    while True:
        now = clock.monotonic()
        if now >= deadline:
            raise TimeoutError
        if handle.cancelled:
            raise ConnectionAbortedError("the call was cancelled")
        slow.check(now)
        seconds = slow.limit(now, deadline - now)
        if poll.poll(min(seconds, CANCEL_CHECK_SECONDS) * 1000):
            break
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))


def idle_seconds(keep_alive: str) -> float:
    """Return the seconds that a connection may idle, from a ``Keep-Alive`` header.

    Examples
    --------
    >>> idle_seconds("timeout=10, max=100"), idle_seconds("")
    (8.0, 4.0)
    """
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return IDLE_SHARE * int(value)
    return DEFAULT_IDLE_SECONDS


def refuses_connections(address: str) -> bool:
    """Return whether the machine at `address` answers that no process listens there."""
    try:
        socket.create_connection(parse_address(address), PROBE_TIMEOUT_SECONDS).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        # No answer does not show whether the process runs.
        return False
    return False


def _is_refusal(error: Exception) -> bool:
    # The library wraps the socket's error.
    return isinstance(error.__cause__ or error, ConnectionRefusedError)


def _socket_options() -> list[tuple[int, int, int]]:
    return [
        NO_DELAY,
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ]
