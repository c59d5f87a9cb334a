"""A model worker that behaves as the pages say, and can be slow or unframed."""

import select
import socket
import threading
import time
from collections.abc import Callable
from random import Random
from typing import Any

from standin2_http11 import Listener, Message, Reader, answer, head, json_answer
from standin2_outputs import event_count, event_data
from standin2_trainer import MODEL, SERVICE
from standin2_world import ZONES, World

NOT_EXECUTED = {"Wigeonfront-Not-Executed": "1"}
QUEUE = 4
"""Requests that wait for a slot; further ones are rejected."""

SLOT_SECONDS = 2.0


class Engine:
    """A model worker.

    Parameters
    ----------
    host, name : str
    slots : int
    event_seconds : float
        Time that an event takes.
    random : Random
        Draws the answers without a length.
    note : callable
        Records what runs.

    Attributes
    ----------
    slowness : float
        Factor on the time of an event.
    unframed_share : float
        Share of the answers that have no length and end with their connection.
    spoiled_share : float
        Share of the answers in which one byte is wrong.
    unframed, spoiled : int
        Number of such answers.
    """

    def __init__(
        self,
        host: str,
        name: str,
        slots: int,
        event_seconds: float,
        random: Random,
        note: Callable[[str], None],
    ) -> None:
        self.name = name
        self.slowness = 1.0
        self.unframed_share = 0.0
        self.spoiled_share = 0.0
        self.unframed = self.spoiled = 0
        self._slots = threading.Semaphore(slots)
        self._waiting = 0
        self._running = 0
        self._event_seconds = event_seconds
        self._random = random
        self._note = note
        self._lock = threading.Lock()
        self.address = Listener(host, self._serve).address

    def _serve(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        while (request := reader.message(answer=False)) is not None:
            if not self._answer(sock, request):
                return

    def _answer(self, sock: socket.socket, request: Message) -> bool:
        """Answer one request; return whether the connection stays open."""
        if request.first[1] == "/report":
            sock.sendall(json_answer(self._report()))
            return True
        id = request.headers.get("wigeonfront-attempt-id", "")
        own = {"Wigeonfront-Attempt-Id": id}
        if request.headers.get("wigeonfront-expect-instance") not in (None, self.name):
            sock.sendall(answer(421, own | NOT_EXECUTED))
            return True
        with self._lock:
            full = self._waiting >= QUEUE
            self._waiting += not full
        if full or not self._slots.acquire(timeout=SLOT_SECONDS):
            with self._lock:
                self._waiting -= not full
            sock.sendall(answer(503, own | NOT_EXECUTED))
            return True
        with self._lock:
            self._waiting -= 1
            self._running += 1
        try:
            return self._stream(sock, request, id)
        finally:
            self._slots.release()
            with self._lock:
                self._running -= 1

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "prefill_decode",
            "models": [{"name": MODEL, "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "numWaiting": self._waiting,
            "numRunning": self._running,
            "kvUsed": 0,
            "kvTotal": 80_000,
            "handles": 0,
        }

    def _stream(self, sock: socket.socket, request: Message, id: str) -> bool:
        unframed = self._random.random() < self.unframed_share
        self.unframed += unframed
        after = int(request.headers.get("last-event-id", "0"))
        framing = "Connection: close" if unframed else "Transfer-Encoding: chunked"
        name, _, value = framing.partition(": ")
        headers = {
            "Content-Type": "text/event-stream",
            "Wigeonfront-Attempt-Id": id,
            "Wigeonfront-Server-Seal": f"{self.name}.{id}",
            "Wigeonfront-Weight-Versions": "1",
            name: value,
        }
        last = event_count(id)
        spoil_at = 0
        if self._random.random() < self.spoiled_share:
            spoil_at = self._random.randint(after + 1, last)
        self._note(f"run {id} at {self.name} after {after}, {framing}")
        sock.sendall(head(200, headers))
        for number in range(after + 1, last + 1):
            time.sleep(self._event_seconds * self.slowness)
            if closed(sock):
                self._note(f"left {id} at {self.name} before {number} of {last}")
                return False
            event = f"id: {number}\ndata: {event_data(id, number)}\n\n".encode()
            if number == spoil_at:
                self.spoiled += 1
                self._note(f"spoiled {id} at {self.name} in event {number}")
                event = spoil(event)
            if not unframed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            sock.sendall(event)
        if unframed:
            self._note(f"made {id} at {self.name} to {last}")
            return False
        sock.sendall(b"0\r\n\r\n")
        self._note(f"made {id} at {self.name} to {last}")
        return True


def spoil(event: bytes) -> bytes:
    """Return an event with the highest bit of one byte of its data set."""
    place = len(event) - 3
    return event[:place] + bytes([event[place] | 0x80]) + event[place + 1 :]


def start_engines(
    world: World,
    count: int,
    slots: int,
    event_seconds: float,
    random: Random,
    note: Callable[[str], None],
) -> list[Engine]:
    """Start model workers that are alike, and have them register."""
    engines = []
    for number in range(count):
        name = f"i-{number}"
        engine = Engine(world.host(), name, slots, event_seconds, random, note)
        engines.append(engine)
        world.register(
            name,
            {
                "service": SERVICE,
                "address": engine.address,
                "zone": ZONES[number % len(ZONES)],
                "version": "v1",
                "slotCount": slots,
                "state": "ready",
                "coldLeftMs": 0,
                "stage": "prefill_decode",
                "models": [{"name": MODEL, "version": 1, "adapters": []}],
            },
        )
    return engines


def closed(sock: socket.socket) -> bool:
    """Return whether the caller has closed the connection."""
    ready, _, _ = select.select([sock], [], [], 0)
    try:
        return bool(ready) and not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
