"""Callers that do not behave: they send without an end, or stop short and stay."""

import socket
import threading
import time

from platform_standins.deployment import HOST, LOT_PREFIX, STREAM_PREFIX
from wigeonfront.http.encoding import parse_address

CALLERS = 30
STAY_SECONDS = 3.0
CONNECT_SECONDS = 1.0
SEND_SECONDS = 0.5
"""Time after which a caller whose bytes nobody takes waits for the crowd to leave."""

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

# What a caller sends once after its request line and host, and what it then repeats.
KINDS: dict[str, tuple[bytes, bytes]] = {
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", b"X-Filler: 0123456789\r\n" * 500),
    "long line": (CHUNKED + b"1;", b"a" * 65_536),
    "long body": (b"Content-Length: 1000000000\r\n\r\n", b"a" * 65_536),
    "short of its end": (b"Content-Length: 100000\r\n\r\n" + b"a" * 99_999, b""),
    "single bytes": (CHUNKED, b"1\r\nx\r\n" * 1_000),
    "half a head": (b"X-Filler: ", b""),
}


class HostileCrowd:
    """Callers of one kind at one address, for a few seconds.

    Parameters
    ----------
    address : str
        ``host:port`` of an entry's front.
    kind : str
        Key of `KINDS`.
    """

    def __init__(self, address: str, kind: str) -> None:
        self._address = parse_address(address)
        self._first, self._piece = KINDS[kind]
        self._until = time.monotonic() + STAY_SECONDS

    def start(self) -> None:
        """Let all callers connect; each ends by itself."""
        prefixes = (LOT_PREFIX, STREAM_PREFIX, "/no-such-route/")
        for number in range(CALLERS):
            path = prefixes[number % len(prefixes)] + f"hostile-{number}"
            threading.Thread(target=self._call, args=(path,), daemon=True).start()

    def _call(self, path: str) -> None:
        start = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n".encode()
        try:
            with socket.create_connection(self._address, CONNECT_SECONDS) as caller:
                caller.settimeout(SEND_SECONDS)
                caller.sendall(start + self._first)
                while self._piece and time.monotonic() < self._until:
                    caller.sendall(self._piece)
                time.sleep(max(0.0, self._until - time.monotonic()))
        except OSError:
            # The entry has refused the caller, or is down.
            return
