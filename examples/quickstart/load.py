"""Trainers and callers, which put load on a deployment and check its answers."""

import itertools
import random
import threading
import time
from collections import Counter
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from quickstart.cluster import Cluster
from quickstart.example import CallerConfig, TrainerConfig
from wigeonfront import client
from wigeonfront.api.requests import REQUESTS_PATH
from wigeonfront.http.client import Answer, Pool
from wigeonfront.outcomes import Completed

LOT_SECONDS = 20.0
CALL_SECONDS = 5.0
CALL_PAUSE_SECONDS = 0.05
MAX_MILLISECONDS = 120_000


class TrainerReport(msgspec.Struct):
    """Measurements of a trainer.

    Attributes
    ----------
    lots, samples : int
        Lots that were answered, and their completed samples.
    given_up : int
        Samples of answered Lots that ended without a text.
    wrong : int
        Completed samples whose text is not complete, whose weights are too old, or
        whose score no target gave.
    late : int
        Lots that were not answered in time.
    median_seconds : float
        Median time from submission to the end of a Lot.
    """

    name: str
    lots: int = 0
    samples: int = 0
    given_up: int = 0
    wrong: int = 0
    late: int = 0
    median_seconds: float = 0.0


class CallerReport(msgspec.Struct):
    """Measurements of a caller.

    Attributes
    ----------
    ends : dict of str to int
        Number of calls by outcome.
    foreign : int
        Answers with another payload than that of their call, or with missing events.
    doubled : int
        Repeated runs of calls that must run only once.
    p50_ms, p99_ms : float
        Percentiles of the times of completed calls, in milliseconds.
    """

    name: str
    ends: dict[str, int] = {}
    foreign: int = 0
    doubled: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0


class Trainer(threading.Thread):
    """Thread that submits Lots and writes a new version of the weights after each.

    It ends after the Lot during which `stop_asked` is set.
    """

    def __init__(
        self, cluster: Cluster, config: TrainerConfig, route: str, model: str
    ) -> None:
        super().__init__(daemon=True)
        self._cluster = cluster
        self._config = config
        self._route = route
        self._model = model
        self._client = client.TrainerClient(
            cluster.api_addresses, config.name, api_key=config.api_key
        )
        self._times = HdrHistogram(1, MAX_MILLISECONDS, 3)
        self.stop_asked = threading.Event()
        self.report = TrainerReport(config.name)

    def run(self) -> None:
        """Submit one Lot after another, and check the answers."""
        for version in itertools.count(1):
            lot = self._build_lot(version)
            began = time.monotonic()
            outcome = self._client.submit_lot(lot, LOT_SECONDS)
            self._times.record_value(round((time.monotonic() - began) * 1000))
            if isinstance(outcome, client.LotAnswered):
                self._check_answer(lot, outcome)
                self._client.acknowledge(lot, CALL_SECONDS)
            else:
                self.report.late += 1
            if self.stop_asked.is_set():
                break
            self._cluster.name_version(version + 1)
        median = self._times.get_value_at_percentile(50)
        self.report.median_seconds = median / 1000
        self._client.close()

    def _build_lot(self, version: int) -> client.Lot:
        config = self._config
        reward = client.RewardCall(config.reward_route, "score")
        samples = tuple(
            client.Sample(
                f"{version}-{n}",
                {"prompt": n // config.group},
                group=f"g{n // config.group}",
                reward_call=reward if config.reward_route else None,
            )
            for n in range(config.samples)
        )
        name = f"step-{version}"
        return client.Lot(
            name, self._route, self._model, version, samples, config.bound
        )

    def _check_answer(self, lot: client.Lot, answer: client.LotAnswered) -> None:
        self.report.lots += 1
        seals = {
            seal
            for service in self._cluster.plain
            for request_seals in list(service.seals.values())
            for seal in request_seals
        }
        for outcome in answer.outcomes.values():
            if not isinstance(outcome, Completed):
                self.report.given_up += 1
                continue
            self.report.samples += 1
            lines = str(outcome.payload).splitlines()
            complete = len(lines) == self._cluster.engines[0].events
            fresh = min(outcome.versions, default=-1) >= lot.version - lot.bound
            scored = not self._config.reward_route or outcome.score in seals
            self.report.wrong += not (complete and fresh and scored)


class Caller(threading.Thread):
    """Thread that makes one call after another until `stop_asked` is set."""

    def __init__(self, cluster: Cluster, config: CallerConfig, model: str) -> None:
        super().__init__(daemon=True)
        self._cluster = cluster
        self._config = config
        self._model = model if config.streamed else ""
        self._client = client.RequestClient(
            cluster.api_addresses, api_key=config.api_key
        )
        self._times = HdrHistogram(1, MAX_MILLISECONDS, 3)
        self._ends: Counter[str] = Counter()
        self._numbers: list[int] = []
        self.stop_asked = threading.Event()
        self.report = CallerReport(config.name)

    def run(self) -> None:
        """Make one call after another, and fill in the report at the end."""
        for number in itertools.count(1):
            self._call(number)
            if self.stop_asked.wait(CALL_PAUSE_SECONDS):
                break
        self.report.ends = dict(self._ends)
        self.report.doubled = self._repeated_runs() if self._config.once else 0
        self.report.p50_ms = self._times.get_value_at_percentile(50)
        self.report.p99_ms = self._times.get_value_at_percentile(99)
        self._client.close()

    def _call(self, number: int) -> None:
        payload = {**self._config.payload, "number": number}
        began = time.monotonic()
        outcome = self._send(payload)
        milliseconds = (time.monotonic() - began) * 1000
        self._ends[type(outcome).__name__] += 1
        if isinstance(outcome, Completed):
            self._times.record_value(max(1, round(milliseconds)))
            self.report.foreign += outcome.payload != payload

    def _send(self, payload: dict[str, Any]) -> object:
        config = self._config
        if config.streamed:
            return self._stream(payload)
        key = self._client.mint_key().key if config.once else ""
        request = client.Request(
            config.route, payload, config.path, idempotent=not config.once, key=key
        )
        return self._client.call(request, CALL_SECONDS)

    def _stream(self, payload: dict[str, Any]) -> object:
        """Read a stream to its end.

        The outcome has the payload if no event of the stream is missing, or else
        ``None``.
        """
        config = self._config
        body = {
            "route": config.route,
            "path": config.path,
            "payload": payload,
            "model": self._model,
        }
        pool = Pool(random.choice(self._cluster.api_addresses))
        headers = (
            {"Authorization": f"Bearer {config.api_key}"} if config.api_key else {}
        )
        answer = pool.call("POST", REQUESTS_PATH, body, headers, CALL_SECONDS)
        pool.close()
        if not isinstance(answer, Answer) or answer.status != 200:
            return answer
        complete = answer.body.count(b"data: ") == self._cluster.engines[0].events
        return Completed(payload if complete else None)

    def _repeated_runs(self) -> int:
        runs = Counter(
            body
            for service in self._cluster.plain
            for _, target, body in list(service.requests)
            if target.endswith(f"/{self._config.path}")
        )
        return sum(count - 1 for count in runs.values())
