"""A model engine that speaks the platform's protocol, and a plain service beside it."""

import itertools
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from platform_standins.server import StandInServer
from wigeonfront.http.raw import RawCall
from wigeonfront.platform import headers as names

MOST_BODY = 1024 * 1024


@dataclass
class EngineFaults:
    """What an engine does wrong, until told otherwise.

    Attributes
    ----------
    cut_after : int
        Events after which each stream is cut; 0 for never.
    cuts : int
        Streams that are still to be cut so.
    event_seconds : float
        Time for an event.
    statuses : dict of str to int
        Status that a sample gets in place of a stream, by its id.
    refuse : bool
        Everything is refused as not run.
    silent : bool
        Streams stop in the middle without a word.
    hang : bool
        Nothing of an answer comes until the engine is released.
    """

    cut_after: int = 0
    cuts: int = 0
    event_seconds: float = 0.002
    statuses: dict[str, int] = field(default_factory=dict)
    refuse: bool = False
    silent: bool = False
    hang: bool = False


def lower_headers(call: RawCall) -> dict[str, str]:
    """Return the headers of a call by their lower-case names."""
    return {name.lower(): value for name, value in call.headers}


RUNS_PAUSE_SECONDS = 0.005
"""Pause between two looks whether the runs have ended."""


class _Order(msgspec.Struct):
    model: str
    version: int
    expected: int | None = None
    holder: str = ""
    fence: int = 0
    mode: str = "retain"


class Engine(StandInServer):
    """One engine.

    Parameters
    ----------
    address : str
        ``host:port``.
    id : str
        Of its incarnation.
    versions : dict of str to int
        Version of each model.
    events : int
        Events of each sample.
    load_seconds : float
        Time that an order takes.
    loaded : callable, optional
        Called after each load, to write the versions into the registration.
    """

    def __init__(
        self,
        address: str,
        id: str,
        versions: dict[str, int],
        events: int = 5,
        load_seconds: float = 0.05,
        loaded: Callable[["Engine"], None] | None = None,
    ) -> None:
        self.id = id
        self.versions = dict(versions)
        self.events = events
        self.faults = EngineFaults()
        self.run_counts: Counter[str] = Counter()
        # Versions under which it made each event of each sample.
        self.event_versions: dict[tuple[str, int], set[int]] = {}
        # Event behind which each sample's last run began.
        self.began_after: dict[str, int] = {}
        # Monotonic time at which each sample's last event was first made.
        self.ended_at: dict[str, float] = {}
        # Headers with which each sample or request came last, by lower-case name.
        self.headers: dict[str, dict[str, str]] = {}
        self.release = threading.Event()
        self.orders: list[_Order] = []
        self.running = 0
        self._loading = False
        # Model whose runs end before its next version is loaded.
        self._finishing = ""
        self._load_seconds = load_seconds
        self._loaded = loaded
        self._lock = threading.Lock()
        super().__init__(address, self._answer, threads=100)

    def data(self, sample: str, event: int) -> str:
        """Return the data of an event, which depends on the sample alone."""
        return f"{sample}:{event}"

    def text(self, sample: str) -> str:
        """Return the whole text of a sample."""
        return "\n".join(self.data(sample, n + 1) for n in range(self.events))

    def _answer(self, call: RawCall) -> None:
        if call.path == "/report":
            self._report(call)
        elif call.path == "/order":
            self._order(call)
        else:
            self._generate(call)

    def _report(self, call: RawCall) -> None:
        models = [
            {"name": name, "version": version}
            for name, version in self.versions.items()
        ]
        report = {
            "models": models,
            "busy": self._loading,
            "seq": len(self.orders),
            "numRunning": self.running,
        }
        call.reply_json(200, report)

    def _order(self, call: RawCall) -> None:
        order = msgspec.json.decode(call.body(MOST_BODY), type=_Order)
        if call.header(names.EXPECT_INSTANCE) not in ("", self.id):
            call.reply(421)
            return
        with self._lock:
            if self._loading or order.expected not in (None, len(self.orders)):
                call.reply(409)
                return
            self.orders.append(order)
            self._loading = True
            self._finishing = order.model if order.mode == "wait" else ""
        threading.Thread(target=self._load, args=(order,), daemon=True).start()
        call.reply(202)

    def _load(self, order: _Order) -> None:
        while self._finishing and self.running:
            time.sleep(RUNS_PAUSE_SECONDS)
        time.sleep(self._load_seconds)
        self.versions[order.model] = order.version
        self._finishing = ""
        self._loading = False
        if self._loaded:
            self._loaded(self)

    def _generate(self, call: RawCall) -> None:
        call.body(MOST_BODY)
        id = call.header(names.ATTEMPT_ID)
        if call.header(names.EXPECT_INSTANCE) not in ("", self.id):
            call.reply(421, headers=((names.NOT_EXECUTED, "1"),))
            return
        if self.faults.refuse or self._finishing == call.header(names.MODEL) != "":
            call.reply(503, headers=((names.NOT_EXECUTED, "1"),))
            return
        with self._lock:
            self.run_counts[id] += 1
        self.headers[id] = lower_headers(call)
        status = self.faults.statuses.get(id)
        seal = ((names.ATTEMPT_ID, id), (names.SEAL, "s"))
        if status:
            call.reply(status, b"", seal)
            return
        self.running += 1
        try:
            if self.faults.hang:
                self.release.wait(10)
            self._stream(call, id, seal)
        finally:
            self.running -= 1

    def _stream(
        self, call: RawCall, id: str, seal: tuple[tuple[str, str], ...]
    ) -> None:
        version = self.versions.get(call.header(names.MODEL), 1)
        call.begin(200, (*seal, (names.VERSION, str(version))))
        after = int(call.header(names.LAST_EVENT_ID) or 0)
        self.began_after[id] = after
        for number in range(after + 1, self.events + 1):
            time.sleep(self.faults.event_seconds)
            self.event_versions.setdefault((id, number), set()).add(version)
            if number == self.events:
                self.ended_at.setdefault(id, time.monotonic())
            call.write(f"id: {number}\ndata: {self.data(id, number)}\n\n".encode())
            if self.faults.cuts and number - after == self.faults.cut_after:
                self.faults.cuts -= 1
                call.write(b"id: 99\ndata: torn")
                call.abort()
                return
            if self.faults.silent:
                time.sleep(5)
                return


class PlainService(StandInServer):
    """A plain service that answers with its request's body.

    Parameters
    ----------
    address, id : str

    Attributes
    ----------
    marks : dict of str to list of str
        Marks of its successful answers, by the request's id.
    arrived : dict of str to list of float
        Monotonic times at which requests began to run, by id.
    failed : Counter of str
        Answers of 500, by the request's id.
    refusal_seconds : float
        Seconds before a refusal.
    statuses : dict of str to int
        Status that a request gets, by its id.
    headers : dict of str to dict
        Headers with which each request came last, by lower-case name.
    """

    def __init__(self, address: str, id: str) -> None:
        self.id = id
        self.status = 200
        self.refuse = False
        self.refusal_seconds = 0.0
        self.cut = False
        self.run_seconds = 0.0
        self.requests: list[tuple[str, str, bytes]] = []
        self.seals: dict[str, list[str]] = {}
        self.arrived: dict[str, list[float]] = {}
        self.failed: Counter[str] = Counter()
        self.statuses: dict[str, int] = {}
        self.headers: dict[str, dict[str, str]] = {}
        self._numbers = itertools.count(1)
        super().__init__(address, self._answer, threads=50)

    def _answer(self, call: RawCall) -> None:
        body = call.body(MOST_BODY)
        id = call.header(names.ATTEMPT_ID)
        if call.header(names.EXPECT_INSTANCE) not in ("", self.id):
            call.reply(421, headers=((names.NOT_EXECUTED, "1"),))
            return
        if self.refuse:
            time.sleep(self.refusal_seconds)
            call.reply(503, headers=((names.NOT_EXECUTED, "1"),))
            return
        self.headers[id] = lower_headers(call)
        self.requests.append((call.method, call.target, body))
        self.arrived.setdefault(id, []).append(time.monotonic())
        time.sleep(self.run_seconds)
        if self.cut:
            call.abort()
            return
        status = self.statuses.get(id, self.status)
        mark = f"{self.id}.{next(self._numbers)}"
        if status == 200:
            self.seals.setdefault(id, []).append(mark)
        self.failed[id] += status == 500
        call.reply(status, body, ((names.ATTEMPT_ID, id), (names.SEAL, mark)))
