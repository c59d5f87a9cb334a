"""Socket options, and the shutdown of a socket from another thread."""

import socket
import struct

NO_DELAY = (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
"""Written data is sent at once."""

RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
"""Closing the socket resets the connection: data that was sent and has not arrived is
dropped, wherever the network holds it."""


class LocalShutdown:
    """Shuts a socket down, and tells its reader that this process did so.

    To the reader, the end of the connection looks as if the other side had made it,
    which may be the regular end of an answer.

    Parameters
    ----------
    sock : socket.socket

    Examples
    --------
    >>> near, far = socket.socketpair()
    >>> shutdown = LocalShutdown(near)
    >>> shutdown.requested
    False
    >>> shutdown.shut_down()
    >>> near.recv(1), shutdown.requested
    (b'', True)
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._requested = False

    @property
    def sock(self) -> socket.socket:
        """The socket."""
        return self._sock

    @property
    def requested(self) -> bool:
        """Whether this process has shut the socket down, or is about to."""
        return self._requested

    def shut_down(self) -> None:
        """Make the thread that uses the socket fail; that thread then closes it."""
        # Set first, so that whoever reads the end finds it set.
        self._requested = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The socket is closed already.
            pass
