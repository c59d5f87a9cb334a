"""A plain worker that behaves as the pages say, and can break off its answers."""

import socket
import threading
import time
from collections.abc import Callable
from random import Random

from standin2_http11 import Listener, Reader, answer, head

SLOT_SECONDS = 2.0
BODY_BYTES = 800


class Desk:
    """A plain worker with slots.

    Parameters
    ----------
    host, name : str
    slots : int
    run_seconds : float
        Mean time that a request runs.
    random : Random
        Draws run times and the answers that are broken off.
    note : callable
        Records what runs.

    Attributes
    ----------
    cut_share : float
        Share of the answers that are broken off within their head.
    cuts : int
        Number of such answers.
    """

    def __init__(
        self,
        host: str,
        name: str,
        slots: int,
        run_seconds: float,
        random: Random,
        note: Callable[[str], None],
    ) -> None:
        self.name = name
        self.cut_share = 0.0
        self.cuts = 0
        self._slots = threading.Semaphore(slots)
        self._run_seconds = run_seconds
        self._random = random
        self._note = note
        self.address = Listener(host, self._serve).address

    def _serve(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        while (request := reader.message(answer=False)) is not None:
            id = request.headers.get("wigeonfront-attempt-id", "")
            own = {"Wigeonfront-Attempt-Id": id}
            expected = request.headers.get("wigeonfront-expect-instance")
            refused = own | {"Wigeonfront-Not-Executed": "1"}
            if expected not in (None, self.name):
                sock.sendall(answer(421, refused))
                continue
            if not self._slots.acquire(timeout=SLOT_SECONDS):
                sock.sendall(answer(503, refused))
                continue
            try:
                time.sleep(self._run_seconds * self._random.uniform(0.5, 1.5))
            finally:
                self._slots.release()
            if not self._send(sock, id, own):
                return

    def _send(self, sock: socket.socket, id: str, own: dict[str, str]) -> bool:
        """Send the answer to a request; return whether it was sent whole."""
        body = desk_body(id)
        headers = {
            "Content-Type": "application/octet-stream",
            **own,
            "Wigeonfront-Server-Seal": desk_seal(self.name, id),
            "Content-Length": str(len(body)),
        }
        data = head(200, headers)
        if self._random.random() >= self.cut_share:
            self._note(f"run {id} at {self.name}")
            sock.sendall(data + body)
            return True
        end = self._random.randrange(1, len(data))
        self.cuts += 1
        self._note(f"run {id} at {self.name}, cut after {end} bytes: {data[:end]!r}")
        sock.sendall(data[:end])
        return False


def desk_seal(name: str, id: str) -> str:
    """Return the seal of a worker's answer to a request."""
    return f"3e1b.07.{name}.{id}"


def desk_body(id: str) -> bytes:
    """Return the body of the answer to a request; every worker gives the same."""
    return (id * (BODY_BYTES // len(id))).encode()
