"""A trainer that checks, under faults, the guarantees that the service gives it."""

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
SAMPLES_PER_LOT = 8
MIN_FAILURES = 2
"""Answers with status 500 after which a reward call may be given up.

This is the smallest number that a route of the soak allows.
"""

PAUSE_SECONDS = 0.25

VISIBLE_SECONDS = 1.0
"""Time after the 202 for a Lot from which every entry must know the Lot."""


def call_id(sample: str) -> str:
    """Return the id of the reward call of a sample."""
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
    """A Lot and what its trainer knows about it.

    Attributes
    ----------
    accepted : bool
        Whether the Lot got a 202.
    accepted_at : float
        Monotonic time of the 202, in seconds.
    ended : bool
        Whether an entry acknowledged the end of the Lot.
    only_refused : bool
        Whether every answer so far said that no sample of the Lot runs.
    results : list
        The results that were read, in order; they must never change.
    """

    id: str
    accepted: bool = False
    accepted_at: float = 0.0
    ended: bool = False
    only_refused: bool = True
    results: list[_Result] = field(default_factory=list)


class Trainer:
    """Sends Lots to entries that it draws at random, and reads the results there.

    Parameters
    ----------
    cluster : Cluster
    seed : int

    Attributes
    ----------
    lots : list of SentLot
    violations : list of str
        The broken guarantees that were found so far.
    calls : int
        Number of calls to entries.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self._cluster = cluster
        self._random = Random(seed)
        self.lots: list[SentLot] = []
        self.violations: list[str] = []
        self.calls = 0

    def run(self, stop: threading.Event) -> None:
        """Send Lots and read their results until `stop` is set."""
        while not stop.wait(PAUSE_SECONDS):
            if len(self._open_lots()) < 3:
                lot = SentLot(f"lot-{len(self.lots)}")
                self.lots.append(lot)
                self._submit(lot)
            for lot in self._open_lots():
                self._read(lot)
            if self._cluster.options.disks:
                self._end_complete_lot()

    def _end_complete_lot(self) -> None:
        """Ask any entry to end a complete Lot.

        Its results must stay readable afterwards.
        """
        for lot in self.lots:
            if lot.accepted and len(lot.results) == SAMPLES_PER_LOT and not lot.ended:
                answer = self._call("DELETE", f"/lots/{lot.id}")
                lot.ended = isinstance(answer, Answer) and answer.status == 200
                return

    def finish(self, seconds: float) -> None:
        """Read every accepted Lot completely, at every entry, after the faults.

        Parameters
        ----------
        seconds : float
            Time within which all accepted Lots must be complete.
        """
        deadline = time.monotonic() + seconds
        while self._open_lots() and time.monotonic() < deadline:
            for lot in self._open_lots():
                self._read(lot)
            time.sleep(PAUSE_SECONDS)
        for lot in self._open_lots():
            self._add_violation(
                lot, f"incomplete: {len(lot.results)} of {SAMPLES_PER_LOT} results"
            )
        for lot in self.lots:
            if lot.accepted:
                self._read_everywhere(lot)
            elif lot.only_refused:
                self._check_never_ran(lot)

    def _open_lots(self) -> list[SentLot]:
        return [
            lot
            for lot in self.lots
            if lot.accepted and len(lot.results) < SAMPLES_PER_LOT
        ]

    def _submit(self, lot: SentLot) -> None:
        samples = [
            {
                "id": f"{lot.id}-{number}",
                "path": f"{LOT_PREFIX}{number}",
                "headers": {"Wigeonfront-Model": MODEL},
                "body": base64.b64encode(b"in").decode(),
                "group": f"g{number // 2}",
            }
            | self._scorer_fields(f"{lot.id}-{number}")
            for number in range(SAMPLES_PER_LOT)
        ]
        body = {"step": 0, "model": MODEL, "minVersion": 1, "items": samples}
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

    def _scorer_fields(self, sample: str) -> dict[str, object]:
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
            if unknown and (lot.results or age > VISIBLE_SECONDS):
                self._add_violation(
                    lot, f"404 for a Lot that was accepted {age:.2f} s before"
                )
            return
        page = msgspec.json.decode(answer.body, type=_Page)
        known = lot.results[after:]
        if known and not page.results:
            self._add_violation(
                lot,
                f"no results after position {after}, where results were read before",
            )
        if page.results[: len(known)] != known[: len(page.results)]:
            self._add_violation(lot, f"results after position {after} have changed")
        new_results = page.results[len(known) :]
        for result in new_results:
            self._check(lot, result)
        lot.results.extend(new_results)

    def _check(self, lot: SentLot, result: _Result) -> None:
        engine = self._cluster.engines[0]
        if self._cluster.scored and not self._check_score(lot, result):
            return
        if result.state != "completed" or result.output != engine.text(result.id):
            self._add_violation(
                lot, f"{result.id} is {result.state}, or its text is wrong"
            )
        if any(version < 1 for version in result.versions) or not result.versions:
            self._add_violation(lot, f"{result.id} from versions {result.versions}")
        if self._cluster.one_version and len(result.versions) != 1:
            self._add_violation(lot, f"{result.id} from versions {result.versions}")
        if not all(
            self._versions_of_event(result.id, number) & set(result.versions)
            for number in range(1, engine.events + 1)
        ):
            self._add_violation(
                lot,
                f"{result.id} has an event that no version of {result.versions} made",
            )
        if any(result.id == other.id for other in lot.results):
            self._add_violation(lot, f"{result.id} has two results")

    def _check_score(self, lot: SentLot, result: _Result) -> bool:
        """Check the score of a sample; return whether the sample must have a text."""
        scorers = self._cluster.scorers
        call = call_id(result.id)
        if result.state != "completed":
            if sum(scorer.failed[call] for scorer in scorers) < MIN_FAILURES:
                self._add_violation(lot, f"{result.id} was given up too soon")
            return False
        marks = [mark for scorer in scorers for mark in scorer.seals.get(call, ())]
        if result.score not in marks:
            self._add_violation(
                lot,
                f"{result.id} has score {result.score!r}, which is not one of {marks}",
            )
        ends = [engine.ended_at.get(result.id) for engine in self._cluster.engines]
        first = min(
            at for scorer in scorers for at in scorer.arrived.get(call, (0.0,)) if at
        )
        if first < min(at for at in ends if at):
            self._add_violation(
                lot, f"{result.id} was scored before its text was complete"
            )
        return True

    def _versions_of_event(self, sample: str, number: int) -> set[int]:
        """Return the versions with which engines made event `number` of a sample."""
        engines = self._cluster.engines
        return set().union(
            *(engine.event_versions.get((sample, number), ()) for engine in engines)
        )

    def _read_everywhere(self, lot: SentLot) -> None:
        for entry in self._cluster.entries:
            found = self._read_pages(lot, entry.front)
            if found is None:
                self._add_violation(lot, f"unreadable at {entry.name} after the faults")
            elif found != lot.results:
                self._add_violation(
                    lot, f"{entry.name} shows other results after the faults"
                )

    def _read_pages(self, lot: SentLot, front: str) -> list[_Result] | None:
        """Return all results of a Lot, or None if an entry does not give them.

        A page may hold fewer results than there are, so pages are read to the end.
        """
        found: list[_Result] = []
        while len(found) < SAMPLES_PER_LOT:
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
                self._add_violation(lot, "ran although every answer refused it")

    def _call(self, method, path, body=None, headers=None, front=""):
        self.calls += 1
        address = front or self._random.choice(self._cluster.entries).front
        pool = Pool(address, connect_seconds=0.5)
        answer = pool.call(
            method, path, body, {"Host": HOST} | (headers or {}), timeout=CALL_SECONDS
        )
        pool.close()
        return answer

    def _add_violation(self, lot: SentLot, description: str) -> None:
        self.violations.append(f"{lot.id}: {description}")
