"""Trainers and ordinary users, who check what they get."""

import itertools
import random
import threading
import time
from collections import Counter
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from quickstart.cluster import Cluster
from quickstart.example import CallerPart, TrainerPart
from wigeonfront import client
from wigeonfront.api.requests import REQUESTS_PATH
from wigeonfront.http.client import Answer, Pool
from wigeonfront.outcomes import Completed

LOT_SECONDS = 20.0
CALL_SECONDS = 5.0
CALL_PAUSE_SECONDS = 0.05
MOST_MILLISECONDS = 120_000


class TrainerReport(msgspec.Struct):
    """What a trainer measured.

    Attributes
    ----------
    lots, samples : int
        Delivered.
    given_up : int
        Samples without a text.
    wrong : int
        Samples whose text is not whole, whose weights are too old, or whose score no
        target gave.
    late : int
        Lots that were not answered in time.
    median_seconds : float
        Of the Lots' times.
    """

    name: str
    lots: int = 0
    samples: int = 0
    given_up: int = 0
    wrong: int = 0
    late: int = 0
    median_seconds: float = 0.0


class CallerReport(msgspec.Struct):
    """What an ordinary user measured.

    Attributes
    ----------
    ends : dict of str to int
        How the calls ended, by outcome.
    foreign : int
        Answers that belong to another call.
    doubled : int
        Calls that must run once and ran more often.
    p50_ms, p99_ms : float
        Time of completed calls in milliseconds.
    """

    name: str
    ends: dict[str, int] = {}
    foreign: int = 0
    doubled: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0


class Trainer(threading.Thread):
    """Submits Lots until told to stop, and names a new version after each."""

    def __init__(
        self, cluster: Cluster, part: TrainerPart, route: str, model: str
    ) -> None:
        super().__init__(daemon=True)
        self._cluster = cluster
        self._part = part
        self._route = route
        self._model = model
        self._client = client.TrainerClient(
            cluster.api_addresses, part.name, api_key=part.api_key
        )
        self._times = HdrHistogram(1, MOST_MILLISECONDS, 3)
        self.stop_asked = threading.Event()
        self.report = TrainerReport(part.name)

    def run(self) -> None:
        """Submit one Lot after another."""
        for version in itertools.count(1):
            lot = self._lot(version)
            began = time.monotonic()
            end = self._client.submit_lot(lot, LOT_SECONDS)
            self._times.record_value(round((time.monotonic() - began) * 1000))
            if isinstance(end, client.LotAnswered):
                self._check(lot, end)
                self._client.acknowledge(lot, CALL_SECONDS)
            else:
                self.report.late += 1
            if self.stop_asked.is_set():
                break
            self._cluster.name_version(version + 1)
        median = self._times.get_value_at_percentile(50)
        self.report.median_seconds = median / 1000
        self._client.close()

    def _lot(self, version: int) -> client.Lot:
        part = self._part
        reward = client.RewardCall(part.reward_route, "score")
        samples = tuple(
            client.Sample(
                f"{version}-{n}",
                {"prompt": n // part.group},
                group=f"g{n // part.group}",
                reward_call=reward if part.reward_route else None,
            )
            for n in range(part.samples)
        )
        name = f"step-{version}"
        return client.Lot(name, self._route, self._model, version, samples, part.bound)

    def _check(self, lot: client.Lot, answer: client.LotAnswered) -> None:
        self.report.lots += 1
        given = {
            mark
            for service in self._cluster.plain
            for marks in list(service.seals.values())
            for mark in marks
        }
        for outcome in answer.outcomes.values():
            if not isinstance(outcome, Completed):
                self.report.given_up += 1
                continue
            self.report.samples += 1
            lines = str(outcome.payload).splitlines()
            whole = len(lines) == self._cluster.engines[0].events
            fresh = min(outcome.versions, default=-1) >= lot.version - lot.bound
            scored = not self._part.reward_route or outcome.score in given
            self.report.wrong += not (whole and fresh and scored)


class Caller(threading.Thread):
    """Makes one call after another until told to stop."""

    def __init__(self, cluster: Cluster, part: CallerPart, model: str) -> None:
        super().__init__(daemon=True)
        self._cluster = cluster
        self._part = part
        self._model = model if part.streamed else ""
        self._client = client.RequestClient(cluster.api_addresses, api_key=part.api_key)
        self._times = HdrHistogram(1, MOST_MILLISECONDS, 3)
        self._ends: Counter[str] = Counter()
        self._numbers: list[int] = []
        self.stop_asked = threading.Event()
        self.report = CallerReport(part.name)

    def run(self) -> None:
        """Make the calls."""
        for number in itertools.count(1):
            self._call(number)
            if self.stop_asked.wait(CALL_PAUSE_SECONDS):
                break
        self.report.ends = dict(self._ends)
        self.report.doubled = self._doubled() if self._part.once else 0
        self.report.p50_ms = self._times.get_value_at_percentile(50)
        self.report.p99_ms = self._times.get_value_at_percentile(99)
        self._client.close()

    def _call(self, number: int) -> None:
        payload = {**self._part.payload, "number": number}
        began = time.monotonic()
        outcome = self._ask(payload)
        milliseconds = (time.monotonic() - began) * 1000
        self._ends[type(outcome).__name__] += 1
        if isinstance(outcome, Completed):
            self._times.record_value(max(1, round(milliseconds)))
            self.report.foreign += outcome.payload != payload

    def _ask(self, payload: dict[str, Any]) -> object:
        part = self._part
        if part.streamed:
            return self._stream(payload)
        key = self._client.mint_key().key if part.once else ""
        request = client.Request(
            part.route, payload, part.path, idempotent=not part.once, key=key
        )
        return self._client.call(request, CALL_SECONDS)

    def _stream(self, payload: dict[str, Any]) -> object:
        """Read a stream to its end; it is whole if no event is missing."""
        part = self._part
        body = {
            "route": part.route,
            "path": part.path,
            "payload": payload,
            "model": self._model,
        }
        pool = Pool(random.choice(self._cluster.api_addresses))
        headers = {"Authorization": f"Bearer {part.api_key}"} if part.api_key else {}
        answer = pool.call("POST", REQUESTS_PATH, body, headers, CALL_SECONDS)
        pool.close()
        if not isinstance(answer, Answer) or answer.status != 200:
            return answer
        whole = answer.body.count(b"data: ") == self._cluster.engines[0].events
        return Completed(payload if whole else None)

    def _doubled(self) -> int:
        ran = Counter(
            body
            for service in self._cluster.plain
            for _, target, body in list(service.requests)
            if target.endswith(f"/{self._part.path}")
        )
        return sum(count - 1 for count in ran.values())
