"""A TCP relay that injects faults between two processes: resets, silence and delay.

It runs in the process of the test or experiment that uses it.
"""

import socket
import struct
import threading
import time
from dataclasses import dataclass

CHUNK_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True, eq=False)
class Link:
    """A relayed connection.

    Attributes
    ----------
    client, target : socket.socket
        Sockets to both ends.
    silent_to_target, silent_to_client : bool
        Whether data that is sent in this direction is read and dropped.
    """

    client: socket.socket
    target: socket.socket
    silent_to_target: bool = False
    silent_to_client: bool = False

    def reset(self) -> None:
        """Reset both sockets; the thread that relays them closes them."""
        for end in (self.client, self.target):
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # The connection has ended already.


class Relay:
    """Relay of the connections to one address on to another.

    Parameters
    ----------
    listen : tuple of (str, int)
        Host and port to listen on; port 0 chooses a free one.
    target : tuple of (str, int)
        Host and port to relay to.
    delay : float
        Seconds by which each chunk of data is delayed in each direction.

    Attributes
    ----------
    address : tuple of (str, int)
        Host and port on which the relay listens.
    delay : float
        The delay in seconds; it can be changed at any time.
    """

    def __init__(
        self, listen: tuple[str, int], target: tuple[str, int], delay: float = 0.0
    ) -> None:
        self._target = target
        self._links: set[Link] = set()
        self._lock = threading.Lock()
        self._state = "open"
        self._listener = socket.create_server(listen, backlog=256)
        self.address = self._listener.getsockname()
        self.delay = delay
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def cut(self) -> None:
        """Reset all connections, and each new one until `heal` is called."""
        self._state = "cut"
        with self._lock:
            links = list(self._links)
        for link in links:
            link.reset()

    def partition(self) -> None:
        """Silence all connections, and each new one until `heal` is called."""
        self._state = "silent"
        self.silence()

    def silence(self, to_target: bool = True, to_client: bool = True) -> None:
        """Silence the connections that are open now, for good; new ones work.

        Parameters
        ----------
        to_target, to_client : bool
            Directions to silence.
        """
        with self._lock:
            for link in self._links:
                link.silent_to_target |= to_target
                link.silent_to_client |= to_client

    def heal(self) -> None:
        """Relay new connections again; those that are silenced stay silent."""
        self._state = "open"

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._listener.shutdown(socket.SHUT_RDWR)  # Wakes the accepting thread.
        self._listener.close()
        self.cut()

    def _accept_connections(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return  # The relay has been closed.
            if self._state == "cut":
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                client.close()
                continue
            threading.Thread(
                target=self._relay_connection, args=(client,), daemon=True
            ).start()

    def _relay_connection(self, client: socket.socket) -> None:
        try:
            target = socket.create_connection(self._target, timeout=5)
        except OSError:
            client.close()
            return
        target.settimeout(None)
        silent = self._state == "silent"
        link = Link(client, target, silent, silent)
        for end in (client, target):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._links.add(link)
        back = threading.Thread(target=self._pump, args=(link, False), daemon=True)
        back.start()
        self._pump(link, True)
        back.join()
        with self._lock:
            self._links.discard(link)
        client.close()
        target.close()

    def _pump(self, link: Link, to_target: bool) -> None:
        """Relay one direction until its source ends.

        While the direction is silent, its end and its errors aren't passed on either.
        """
        source, sink = link.client, link.target
        if not to_target:
            source, sink = sink, source
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.delay:
                    time.sleep(self.delay)
                if not self._is_silent(link, to_target):
                    sink.sendall(data)
            if not self._is_silent(link, to_target):
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            if not self._is_silent(link, to_target):
                link.reset()

    def _is_silent(self, link: Link, to_target: bool) -> bool:
        return link.silent_to_target if to_target else link.silent_to_client
