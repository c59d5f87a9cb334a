"""A model engine and a plain service that speak the platform's protocol."""

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

MAX_BODY_BYTES = 1024 * 1024


@dataclass
class EngineFaults:
    """Faults that an engine injects until they are changed.

    Attributes
    ----------
    cut_after : int
        Number of events after which a stream is cut off within the next event; 0 for
        never.
    cuts : int
        Number of streams that are still to be cut off; 0 for none.
    event_seconds : float
        Time that the engine takes for an event.
    statuses : dict of str to int
        Status that a sample gets in place of a stream, by sample id.
    refuse : bool
        Whether the engine refuses all requests and says that it didn't run them.
    silent : bool
        Whether streams stall after their first event, with the connection open.
    hang : bool
        Whether no answer begins until `Engine.release` is set, but at most for 10 s.
    """

    cut_after: int = 0
    cuts: int = 0
    event_seconds: float = 0.002
    statuses: dict[str, int] = field(default_factory=dict)
    refuse: bool = False
    silent: bool = False
    hang: bool = False


def lowercase_headers(call: RawCall) -> dict[str, str]:
    """Return the headers of a call by lower-case name."""
    return {name.lower(): value for name, value in call.headers}


RUNS_POLL_SECONDS = 0.005
"""Interval at which an order checks whether the runs have ended."""


class _Order(msgspec.Struct):
    model: str
    version: int
    expected: int | None = None
    holder: str = ""
    fence: int = 0
    mode: str = "retain"


class Engine(StandInServer):
    """A model engine that streams the events of samples.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    id : str
        Id of the engine's incarnation.
    versions : dict of str to int
        Version of the weights of each model.
    events : int
        Number of events of each sample.
    load_seconds : float
        Time that loading a version takes.
    on_load : callable, optional
        Called with the engine after each load, so that the versions can be written
        into its registration.
    """

    def __init__(
        self,
        address: str,
        id: str,
        versions: dict[str, int],
        events: int = 5,
        load_seconds: float = 0.05,
        on_load: Callable[["Engine"], None] | None = None,
    ) -> None:
        self.id = id
        self.versions = dict(versions)
        self.events = events
        self.faults = EngineFaults()
        # Number of runs of each sample or request.
        self.run_counts: Counter[str] = Counter()
        # Versions that generated each event, by sample id and number of the event.
        self.event_versions: dict[tuple[str, int], set[int]] = {}
        # Number of the event after which each sample's last run began; 0 for none.
        self.began_after: dict[str, int] = {}
        # Monotonic time at which each sample's last event was first generated.
        self.ended_at: dict[str, float] = {}
        # Headers of the last run of each sample or request, by lower-case name.
        self.headers: dict[str, dict[str, str]] = {}
        # Ends the fault `hang`.
        self.release = threading.Event()
        self.orders: list[_Order] = []
        self.running = 0
        self._loading = False
        # Model of the order that waits for all runs to end; it gets no new runs.
        self._finishing = ""
        self._load_seconds = load_seconds
        self._on_load = on_load
        self._lock = threading.Lock()
        super().__init__(address, self._answer, threads=100)

    def data(self, sample: str, event: int) -> str:
        """Return the data of an event; it is the same on every engine and version."""
        return f"{sample}:{event}"

    def text(self, sample: str) -> str:
        """Return the complete text of a sample."""
        return "\n".join(self.data(sample, n + 1) for n in range(self.events))

    def _answer(self, call: RawCall) -> None:
        if call.path == "/report":
            self._reply_report(call)
        elif call.path == "/order":
            self._take_order(call)
        else:
            self._generate(call)

    def _reply_report(self, call: RawCall) -> None:
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

    def _take_order(self, call: RawCall) -> None:
        order = msgspec.json.decode(call.body(MAX_BODY_BYTES), type=_Order)
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
            time.sleep(RUNS_POLL_SECONDS)
        time.sleep(self._load_seconds)
        self.versions[order.model] = order.version
        self._finishing = ""
        self._loading = False
        if self._on_load:
            self._on_load(self)

    def _generate(self, call: RawCall) -> None:
        call.body(MAX_BODY_BYTES)
        id = call.header(names.ATTEMPT_ID)
        if call.header(names.EXPECT_INSTANCE) not in ("", self.id):
            call.reply(421, headers=((names.NOT_EXECUTED, "1"),))
            return
        if self.faults.refuse or self._finishing == call.header(names.MODEL) != "":
            call.reply(503, headers=((names.NOT_EXECUTED, "1"),))
            return
        with self._lock:
            self.run_counts[id] += 1
        self.headers[id] = lowercase_headers(call)
        status = self.faults.statuses.get(id)
        seal_headers = ((names.ATTEMPT_ID, id), (names.SEAL, "s"))
        if status:
            call.reply(status, b"", seal_headers)
            return
        self.running += 1
        try:
            if self.faults.hang:
                self.release.wait(10)
            self._stream(call, id, seal_headers)
        finally:
            self.running -= 1

    def _stream(
        self, call: RawCall, id: str, seal_headers: tuple[tuple[str, str], ...]
    ) -> None:
        version = self.versions.get(call.header(names.MODEL), 1)
        call.begin(200, (*seal_headers, (names.VERSION, str(version))))
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
    """A plain service that answers with the request's body.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    id : str
        Id of the service's incarnation.

    Attributes
    ----------
    status : int
        Status of each answer.
    statuses : dict of str to int
        Status of the answers to particular requests, by request id.
    refuse : bool
        Whether it refuses all requests and says that it didn't run them.
    refusal_seconds : float
        Time before a refusal.
    cut : bool
        Whether it runs requests and then aborts the connection without an answer.
    run_seconds : float
        Time that each request runs.
    requests : list of tuple of (str, str, bytes)
        Method, target and body of each request that began to run.
    seals : dict of str to list of str
        Seals of the successful answers, by request id.
    arrived : dict of str to list of float
        Monotonic times at which requests began to run, by request id.
    failed : Counter of str
        Number of answers with status 500, by request id.
    headers : dict of str to dict of str to str
        Headers of the last run of each request, by request id and lower-case name.
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
        self._seal_numbers = itertools.count(1)
        super().__init__(address, self._answer, threads=50)

    def _answer(self, call: RawCall) -> None:
        body = call.body(MAX_BODY_BYTES)
        id = call.header(names.ATTEMPT_ID)
        if call.header(names.EXPECT_INSTANCE) not in ("", self.id):
            call.reply(421, headers=((names.NOT_EXECUTED, "1"),))
            return
        if self.refuse:
            time.sleep(self.refusal_seconds)
            call.reply(503, headers=((names.NOT_EXECUTED, "1"),))
            return
        self.headers[id] = lowercase_headers(call)
        self.requests.append((call.method, call.target, body))
        self.arrived.setdefault(id, []).append(time.monotonic())
        time.sleep(self.run_seconds)
        if self.cut:
            call.abort()
            return
        status = self.statuses.get(id, self.status)
        seal = f"{self.id}.{next(self._seal_numbers)}"
        if status == 200:
            self.seals.setdefault(id, []).append(seal)
        self.failed[id] += status == 500
        call.reply(status, body, ((names.ATTEMPT_ID, id), (names.SEAL, seal)))
