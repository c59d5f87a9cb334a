"""Connections to several addresses, such as those of the system's other processes."""

import threading

from wigeonfront.http.client import Answer, NotSent, Pool, Unanswered


class Pools:
    """A pool of connections for each address that was called.

    Parameters
    ----------
    connect_seconds : float
        Longest silence while connecting.
    """

    def __init__(self, connect_seconds: float) -> None:
        self._connect_seconds = connect_seconds
        self._lock = threading.Lock()
        self._pools: dict[str, Pool] = {}

    def post(
        self, address: str, path: str, body: bytes, timeout: float
    ) -> Answer | NotSent | Unanswered:
        """Post `body` to `path` at `address`; wait `timeout` seconds for the answer."""
        return self._pool(address).call("POST", path, body, timeout=timeout)

    def _pool(self, address: str) -> Pool:
        with self._lock:
            if address not in self._pools:
                self._pools[address] = Pool(address, self._connect_seconds)
            return self._pools[address]
