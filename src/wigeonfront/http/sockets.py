"""Socket options."""

import socket
import struct

NO_DELAY = (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
"""Written data is sent at once."""

RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
"""Closing the socket resets the connection: data that was sent and has not arrived is
dropped, wherever the network holds it."""
