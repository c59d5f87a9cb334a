"""Kept connections to targets.

A connection is used again only if nothing lies unread on it, and only if the last
answer on it was whole; a connection that a target has dropped or that carries stray
bytes is closed.
"""

import socket
import threading
from collections import defaultdict, deque
from dataclasses import dataclass
from weakref import WeakSet

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from wigeonfront.clock import Clock
from wigeonfront.http.encoding import parse_address
from wigeonfront.http.sockets import NO_DELAY, RESET_ON_CLOSE

CONNECT_SECONDS = 0.4
"""Longest wait for a connection: a hundred times a round trip between failure domains,
and short enough to try another target within a caller's objective."""

LISTENING_SECONDS = 0.1
"""Longest wait to learn whether a process listens: many round trips."""

SILENCE_MS = 3000
"""Milliseconds for which sent data may stay unacknowledged before TCP gives up."""

KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2

IDLE_SECONDS = 4.0
"""How long a connection is kept without use where the target does not say how long."""

IDLE_SHARE = 0.8
"""Share of the time that a target says it keeps an idle connection, so that a request
and the target's close do not cross."""

MOST_IDLE = 24
"""Idle connections kept for each target: two times the requests an engine runs."""


@dataclass(frozen=True, slots=True)
class NoConnection:
    """No connection to a target could be made.

    Attributes
    ----------
    refused : bool
        The target's machine answered that no process listens there.
    """

    refused: bool

    @property
    def reason(self) -> str:
        """The reason in a few words."""
        return "connection refused" if self.refused else "no connection"


@dataclass(slots=True, eq=False, weakref_slot=True)
class Connection:
    """A connection to one target.

    Attributes
    ----------
    link : urllib3.connection.HTTPConnection
    sock : socket
        Kept, as the library drops its reference while the body is still read.
    target_id : str
    used : bool
        It has carried an answer before.
    idle_since : float
        Monotonic time of its last answer.
    most_idle : float
        Seconds that it may be kept without use.
    """

    link: HTTPConnection
    sock: socket.socket
    target_id: str
    used: bool = False
    idle_since: float = 0.0
    most_idle: float = IDLE_SECONDS

    def close(self) -> None:
        """Close it at once, also while another thread reads from it."""
        self.shut_down()
        self.link.close()

    def reset(self) -> None:
        """Give up what was sent on it: a network that was cut then drops what it holds.

        It would else deliver a request once it heals, for which nobody waits any more.
        Only the thread that uses it may call this.
        """
        try:
            self.sock.setsockopt(*RESET_ON_CLOSE)
        except OSError:
            # It is closed already.
            pass
        self.link.close()

    def shut_down(self) -> None:
        """Have the thread that uses it fail; that one then closes it."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # It is closed already.
            pass


class Connections:
    """The kept connections of one process.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: dict[str, deque[Connection]] = defaultdict(deque)
        self._used: WeakSet[Connection] = WeakSet()
        self.opened = 0

    def take(
        self, target_id: str, address: str, most_idle: float = float("inf")
    ) -> Connection | NoConnection:
        """Return a connection, kept or new.

        Parameters
        ----------
        most_idle : float
            Longest time, in seconds, that a kept one may have been idle.
        """
        while (kept := self._pop(target_id)) is not None:
            age = self._clock.monotonic() - kept.idle_since
            if age <= min(most_idle, kept.most_idle) and kept.link.is_connected:
                with self._lock:
                    self._used.add(kept)
                return kept
            kept.close()
        return self._open(target_id, address)

    def give_back(self, connection: Connection, keep_alive: str = "") -> None:
        """Keep a connection whose last answer was read to its end.

        Parameters
        ----------
        keep_alive : str
            The answer's ``Keep-Alive`` header.
        """
        if not connection.link.is_connected:
            connection.close()
            return
        connection.used = True
        connection.idle_since = self._clock.monotonic()
        connection.most_idle = idle_seconds(keep_alive)
        with self._lock:
            self._used.discard(connection)
            idle = self._idle[connection.target_id]
            idle.append(connection)
            surplus = idle.popleft() if len(idle) > MOST_IDLE else None
        if surplus is not None:
            surplus.close()

    def forget(self, target_id: str) -> None:
        """Close the idle connections to a target."""
        with self._lock:
            idle = self._idle.pop(target_id, ())
        for connection in idle:
            connection.close()

    def abort_calls(self, target_id: str) -> None:
        """Break off all calls to a target that runs no more.

        Those that wait for its answers go on elsewhere at once: a machine that lost
        power never closes its connections, and time-outs take seconds.
        """
        self.forget(target_id)
        with self._lock:
            used = [one for one in self._used if one.target_id == target_id]
        for connection in used:
            connection.shut_down()

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        now = self._clock.monotonic()
        old: list[Connection] = []
        with self._lock:
            for idle in self._idle.values():
                while idle and now - idle[0].idle_since > idle[0].most_idle:
                    old.append(idle.popleft())
        for connection in old:
            connection.close()

    def _pop(self, target_id: str) -> Connection | None:
        with self._lock:
            idle = self._idle.get(target_id)
            return idle.pop() if idle else None

    def _open(self, target_id: str, address: str) -> Connection | NoConnection:
        host, port = parse_address(address)
        link = HTTPConnection(
            host, port, timeout=CONNECT_SECONDS, socket_options=_options()
        )
        try:
            link.connect()
        except (HTTPError, OSError) as error:
            link.close()
            return NoConnection(_is_refusal(error))
        connection = Connection(link, link.sock, target_id)
        with self._lock:
            self.opened += 1
            self._used.add(connection)
        return connection


def idle_seconds(keep_alive: str) -> float:
    """Return how long a connection may idle, from a ``Keep-Alive`` header.

    Examples
    --------
    >>> idle_seconds("timeout=10, max=100"), idle_seconds("")
    (8.0, 4.0)
    """
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return IDLE_SHARE * int(value)
    return IDLE_SECONDS


def refuses(address: str) -> bool:
    """Tell whether the machine at `address` answers that no process listens there."""
    try:
        socket.create_connection(parse_address(address), LISTENING_SECONDS).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        # Silence says nothing of the process.
        return False
    return False


def _is_refusal(error: Exception) -> bool:
    # The library wraps the error of the socket.
    return isinstance(error.__cause__ or error, ConnectionRefusedError)


def _options() -> list[tuple[int, int, int]]:
    return [
        NO_DELAY,
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS),
    ]
