"""What the stand-ins that listen have in common."""

import threading

from wigeonfront.http.raw import RawHandler, RawServer


class StandInServer:
    """A stand-in that serves calls from a thread of its own.

    Parameters
    ----------
    address : str
        ``host:port``.
    answer : callable
        Answers each call.
    threads : int
        Most calls served at once.
    """

    def __init__(self, address: str, answer: RawHandler, threads: int) -> None:
        self.address = address
        self._server = RawServer(address, answer, threads)

    def start(self) -> None:
        """Listen and serve from a thread."""
        self._server.bind()
        thread = threading.Thread(target=self._server.run, args=(None,), daemon=True)
        thread.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.close(0.1)
