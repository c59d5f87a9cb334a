"""Base of the stand-ins that serve HTTP."""

import threading

from wigeonfront.http.raw import RawHandler, RawServer


class StandInServer:
    """HTTP server of a stand-in; it runs in threads of the current process.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    answer : callable
        Answers each call.
    threads : int
        Maximum number of calls that are served at once.
    """

    def __init__(self, address: str, answer: RawHandler, threads: int) -> None:
        self.address = address
        self._server = RawServer(address, answer, threads)

    def start(self) -> None:
        """Start listening, and serve calls from a new thread."""
        self._server.bind()
        thread = threading.Thread(target=self._server.run, args=(None,), daemon=True)
        thread.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.close(0.1)
