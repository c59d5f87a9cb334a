"""Connection pools for several addresses, such as the system's other processes."""

import threading

from wigeonfront.http.client import Answer, NotSent, Pool, Unanswered


class Pools:
    """One connection pool for each address that was called.

    Parameters
    ----------
    connect_seconds : float
        Longest wait for a connection.
    """

    def __init__(self, connect_seconds: float) -> None:
        self._connect_seconds = connect_seconds
        self._lock = threading.Lock()
        self._pools: dict[str, Pool] = {}

    def post(
        self, address: str, path: str, body: bytes, timeout: float
    ) -> Answer | NotSent | Unanswered:
        """Post `body` to `path` at `address`, with a read timeout in seconds."""
        return self._pool(address).call("POST", path, body, timeout=timeout)

    def _pool(self, address: str) -> Pool:
        with self._lock:
            if address not in self._pools:
                self._pools[address] = Pool(address, self._connect_seconds)
            return self._pools[address]
