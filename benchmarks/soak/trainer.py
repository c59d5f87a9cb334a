"""A trainer that checks what it is promised while faults come."""

import base64
import threading
import time
from dataclasses import dataclass, field
from random import Random

import msgspec

from benchmarks.soak.cluster import Cluster
from platform_standins.deployment import HOST, LOT_PREFIX, MODEL, PLAIN_PREFIX
from wigeonfront.http.client import Answer, Pool

CALL_SECONDS = 3.0
SAMPLES = 8
FAILURES = 2
"""Answers of 500 from which a reward call may be given up: the least that a route of
the soak allows."""

PAUSE_SECONDS = 0.25

SETTLE_SECONDS = 1.0
"""Time after its 202 from which every entry must know a Lot."""


def call_id(sample: str) -> str:
    """Return the id of a sample's reward call."""
    return f"call-{sample}"


class _Result(msgspec.Struct, frozen=True):
    id: str
    state: str
    output: str
    versions: tuple[int, ...]
    score: str = ""


class _Page(msgspec.Struct):
    total: int
    results: list[_Result]
    next: int


@dataclass
class SentLot:
    """A Lot and what its trainer knows of it.

    Attributes
    ----------
    accepted : bool
        It got 202.
    accepted_at : float
        Monotonic time of that.
    ended : bool
        Its end was acknowledged.
    only_refused : bool
        Every answer so far promised that nothing of it runs.
    results : list
        Results that were read; they must never change.
    """

    id: str
    accepted: bool = False
    accepted_at: float = 0.0
    ended: bool = False
    only_refused: bool = True
    results: list[_Result] = field(default_factory=list)


class Trainer:
    """Sends Lots and reads them at entries drawn at random.

    Parameters
    ----------
    cluster : Cluster
    seed : int
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self._cluster = cluster
        self._random = Random(seed)
        self.lots: list[SentLot] = []
        self.violations: list[str] = []
        self.calls = 0

    def run(self, stop: threading.Event) -> None:
        """Send and read until told to stop."""
        while not stop.wait(PAUSE_SECONDS):
            if len(self._open()) < 3:
                lot = SentLot(f"lot-{len(self.lots)}")
                self.lots.append(lot)
                self._submit(lot)
            for lot in self._open():
                self._read(lot)
            if self._cluster.options.disks:
                self._end_one()

    def _end_one(self) -> None:
        """Ask any entry to end a Lot that is whole: what was read must stay."""
        for lot in self.lots:
            if lot.accepted and len(lot.results) == SAMPLES and not lot.ended:
                answer = self._call("DELETE", f"/lots/{lot.id}")
                lot.ended = isinstance(answer, Answer) and answer.status == 200
                return

    def finish(self, seconds: float) -> None:
        """Read every accepted Lot to its end, at every entry, after the faults."""
        deadline = time.monotonic() + seconds
        while self._open() and time.monotonic() < deadline:
            for lot in self._open():
                self._read(lot)
            time.sleep(PAUSE_SECONDS)
        for lot in self._open():
            self._violate(lot, f"not whole: {len(lot.results)} of {SAMPLES}")
        for lot in self.lots:
            if lot.accepted:
                self._read_everywhere(lot)
            elif lot.only_refused:
                self._check_never_ran(lot)

    def _open(self) -> list[SentLot]:
        return [lot for lot in self.lots if lot.accepted and len(lot.results) < SAMPLES]

    def _submit(self, lot: SentLot) -> None:
        items = [
            {
                "id": f"{lot.id}-{number}",
                "path": f"{LOT_PREFIX}{number}",
                "headers": {"Wigeonfront-Model": MODEL},
                "body": base64.b64encode(b"in").decode(),
                "group": f"g{number // 2}",
            }
            | self._scorer(f"{lot.id}-{number}")
            for number in range(SAMPLES)
        ]
        body = {"step": 0, "model": MODEL, "minVersion": 1, "items": items}
        for _ in range(2):
            headers = {"Wigeonfront-Attempt-Id": lot.id}
            path = f"{LOT_PREFIX}{lot.id}"
            answer = self._call("POST", path, msgspec.json.encode(body), headers)
            if isinstance(answer, Answer) and answer.status == 202:
                lot.accepted = True
                lot.accepted_at = time.monotonic()
                return
            if not isinstance(answer, Answer) or answer.status not in (429, 503):
                lot.only_refused = False

    def _scorer(self, sample: str) -> dict[str, object]:
        if not self._cluster.scored:
            return {}
        path = f"{PLAIN_PREFIX}{sample}"
        body = base64.b64encode(b"in").decode()
        call = {"id": call_id(sample), "host": HOST, "path": path, "body": body}
        return {"scorer": call}

    def _read(self, lot: SentLot, front: str = "") -> None:
        after = self._random.randint(0, len(lot.results))
        asked_at = time.monotonic()
        answer = self._call("GET", f"/lots/{lot.id}?after={after}", front=front)
        if not isinstance(answer, Answer) or answer.status != 200:
            age = asked_at - lot.accepted_at
            unknown = isinstance(answer, Answer) and answer.status == 404
            if unknown and (lot.results or age > SETTLE_SECONDS):
                self._violate(lot, f"404 for a Lot accepted {age:.2f} s before")
            return
        page = msgspec.json.decode(answer.body, type=_Page)
        known = lot.results[after:]
        if known and not page.results:
            self._violate(lot, f"nothing behind position {after}, which was read")
        if page.results[: len(known)] != known[: len(page.results)]:
            self._violate(lot, f"results changed behind position {after}")
        fresh = page.results[len(known) :]
        for result in fresh:
            self._check(lot, result)
        lot.results.extend(fresh)

    def _check(self, lot: SentLot, result: _Result) -> None:
        engine = self._cluster.engines[0]
        if self._cluster.scored and not self._check_score(lot, result):
            return
        if result.state != "completed" or result.output != engine.text(result.id):
            self._violate(lot, f"{result.id} is {result.state} with a wrong text")
        if any(version < 1 for version in result.versions) or not result.versions:
            self._violate(lot, f"{result.id} from versions {result.versions}")
        if self._cluster.one_version and len(result.versions) != 1:
            self._violate(lot, f"{result.id} from versions {result.versions}")
        if not all(
            self._made(result.id, number) & set(result.versions)
            for number in range(1, engine.events + 1)
        ):
            self._violate(lot, f"{result.id} not made under {result.versions}")
        if any(result.id == other.id for other in lot.results):
            self._violate(lot, f"{result.id} stands twice")

    def _check_score(self, lot: SentLot, result: _Result) -> bool:
        """Check a score; return whether there must be a text."""
        scorers = self._cluster.scorers
        call = call_id(result.id)
        if result.state != "completed":
            if sum(scorer.failed[call] for scorer in scorers) < FAILURES:
                self._violate(lot, f"{result.id} given up too soon")
            return False
        marks = [mark for scorer in scorers for mark in scorer.seals.get(call, ())]
        if result.score not in marks:
            self._violate(lot, f"{result.id} has score {result.score!r} of {marks}")
        ends = [one.ended_at.get(result.id) for one in self._cluster.engines]
        first = min(at for one in scorers for at in one.arrived.get(call, (0.0,)) if at)
        if first < min(at for at in ends if at):
            self._violate(lot, f"{result.id} was scored before its text was whole")
        return True

    def _made(self, sample: str, number: int) -> set[int]:
        """Return the versions under which engines made an event of a sample."""
        engines = self._cluster.engines
        return set().union(
            *(one.event_versions.get((sample, number), ()) for one in engines)
        )

    def _read_everywhere(self, lot: SentLot) -> None:
        for entry in self._cluster.entries:
            found = self._pages(lot, entry.front)
            if found is None:
                self._violate(lot, f"unreadable at {entry.name} in the end")
            elif found != lot.results:
                self._violate(lot, f"{entry.name} shows other results in the end")

    def _pages(self, lot: SentLot, front: str) -> list[_Result] | None:
        """Read a Lot from the start; a page may hold less than there is."""
        found: list[_Result] = []
        while len(found) < SAMPLES:
            path = f"/lots/{lot.id}?after={len(found)}"
            answer = self._call("GET", path, front=front)
            if not isinstance(answer, Answer) or answer.status != 200:
                return None
            page = msgspec.json.decode(answer.body, type=_Page)
            if not page.results:
                break
            found.extend(page.results)
        return found

    def _check_never_ran(self, lot: SentLot) -> None:
        for engine in self._cluster.engines:
            if any(id.startswith(f"{lot.id}-") for id in engine.run_counts):
                self._violate(lot, "ran though every answer refused it")

    def _call(self, method, path, body=None, headers=None, front=""):
        self.calls += 1
        address = front or self._random.choice(self._cluster.entries).front
        pool = Pool(address, connect_seconds=0.5)
        answer = pool.call(
            method, path, body, {"Host": HOST} | (headers or {}), timeout=CALL_SECONDS
        )
        pool.close()
        return answer

    def _violate(self, lot: SentLot, what: str) -> None:
        self.violations.append(f"{lot.id}: {what}")
