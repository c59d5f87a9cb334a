"""Socket options, and sockets that another thread may shut down."""

import socket
import struct

NO_DELAY = (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
"""Written data is sent at once."""

RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
"""Closing the socket resets the connection: data that was sent and has not arrived is
dropped, wherever the network holds it."""


class SharedSocket:
    """A socket that one thread reads from and that any thread may shut down.

    To the reader, such an end looks like one that the other side made, which may be the
    regular end of an answer. So the socket remembers that it was shut down here.

    Parameters
    ----------
    sock : socket.socket

    Examples
    --------
    >>> near, far = socket.socketpair()
    >>> shared = SharedSocket(near)
    >>> shared.is_shut_down
    False
    >>> shared.shut_down()
    >>> near.recv(1), shared.is_shut_down
    (b'', True)
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._is_shut_down = False

    @property
    def sock(self) -> socket.socket:
        """The socket."""
        return self._sock

    @property
    def is_shut_down(self) -> bool:
        """Whether this process has shut the socket down, or is about to."""
        return self._is_shut_down

    def shut_down(self) -> None:
        """Make the thread that uses the socket fail; that thread then closes it."""
        # Set first, so that a reader that finds the end finds it set.
        self._is_shut_down = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The socket is closed already.
            pass
