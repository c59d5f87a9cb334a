"""Stand-in for a trainer: draws Lots, trains on them and publishes new weights.

It works through `wigeonfront.client`, checks each answer by itself, and writes a
report of its idle time and of the staleness of what it trained on.
"""

import argparse
import time
import uuid
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import msgspec
import urllib3
from hdrh.histogram import HdrHistogram

from standins.history import History, digest, token
from standins.recording import record_lot
from wigeonfront.client import Acknowledged, Lot, LotAnswered, Sample, TrainerClient
from wigeonfront.outcomes import Completed, Outcome

MAX_MILLISECONDS = 3_600_000
STORE_TRIES = 20
STORE_PAUSE = 0.25


class Report(msgspec.Struct):
    """What a trainer measured; times in seconds.

    Attributes
    ----------
    lots, delivered : int
        Lots sent, and those that were answered whole.
    ends : dict of str to int
        How the Lots ended, by the client's outcome.
    samples, wrong : int
        Samples delivered, and those whose answer isn't the whole answer to their
        own request from weights within the bound.
    elapsed, idle : float
        Time of the run, and the part of it without a Lot to train on.
    lot_p50, lot_max : float
        Time from sending a Lot to its whole answer.
    staleness : dict of str to int
        Samples by the versions that their oldest weights were behind.
    example : dict
        The first sample delivered, with its versions.
    """

    trainer: str
    lots: int = 0
    delivered: int = 0
    ends: dict[str, int] = {}
    samples: int = 0
    wrong: int = 0
    elapsed: float = 0.0
    idle: float = 0.0
    lot_p50: float = 0.0
    lot_max: float = 0.0
    staleness: dict[str, int] = {}
    example: dict[str, str] = {}


def count(counts: dict[str, int], key: str) -> None:
    """Add one to the count of `key`."""
    counts[key] = counts.get(key, 0) + 1


@dataclass(frozen=True, slots=True)
class Drawn:
    """A Lot with how it ended and how long that took."""

    lot: Lot
    outcome: object
    seconds: float


class WeightPublisher:
    """Publishes the versions of one model, with tries at a store that fails."""

    def __init__(self, store: str, model: str) -> None:
        self._url = f"{store.rstrip('/')}/models/{model}"
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)

    def publish(self, version: int) -> bool:
        """Publish `version`; `False` when the store didn't confirm it."""
        for _ in range(STORE_TRIES):
            try:
                body = {"version": version}
                if self._http.request("POST", self._url, json=body).status == 200:
                    return True
            except urllib3.exceptions.HTTPError:
                pass  # A repeated publication changes nothing.
            time.sleep(STORE_PAUSE)
        return False

    def newest(self) -> int:
        """Return the newest version, or 0 where there is none."""
        for _ in range(STORE_TRIES):
            try:
                answer = self._http.request("GET", self._url)
                if answer.status == 200:
                    return answer.json()["newest"]
                if answer.status == 404:
                    return 0
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(STORE_PAUSE)
        return 0


class Trainer:
    """One trainer; `ahead` Lots are on their way at once.

    Trainers of one model number its versions alike: a step ends in the version
    after the one that it began with, whichever of them publishes it first.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._history = History(arguments.history, arguments.name)
        self._weights = WeightPublisher(arguments.weight_store, arguments.service)
        self._version = self._weights.newest()
        self._run = uuid.uuid4().hex[:8]
        self._report = Report(arguments.name)
        self._times = HdrHistogram(1, MAX_MILLISECONDS, 3)

    def run(self) -> Report:
        """Train for the steps or seconds asked and return what was measured."""
        began = time.monotonic()
        with ThreadPoolExecutor(self._arguments.ahead) as executor:
            coming: list[Future[Drawn]] = []
            while self._goes_on(began) or coming:
                while self._goes_on(began) and len(coming) < self._arguments.ahead:
                    coming.append(executor.submit(self._draw, self._next_lot()))
                waited = time.monotonic()
                drawn = coming.pop(0).result()
                self._report.idle += time.monotonic() - waited
                self._train(drawn)
        self._report.elapsed = time.monotonic() - began
        self._report.lot_p50 = self._times.get_value_at_percentile(50) / 1000
        self._report.lot_max = self._times.get_max_value() / 1000
        return self._report

    def _goes_on(self, began: float) -> bool:
        if self._arguments.steps and self._report.lots >= self._arguments.steps:
            return False
        return time.monotonic() - began < self._arguments.seconds

    def _next_lot(self) -> Lot:
        self._report.lots += 1
        name = f"{self._run}-{self._report.lots}"
        return Lot(
            name,
            self._arguments.service,
            self._arguments.catalogue_entry,
            self._version,
            tuple(
                self._sample(name, index) for index in range(self._arguments.samples)
            ),
            self._arguments.bound,
        )

    def _sample(self, lot: str, index: int) -> Sample:
        sample = f"s{index}"
        group = f"{lot}-g{index // self._arguments.group}"
        payload = {"trainer": self._arguments.name, "lot": lot, "sample": sample}
        # Every eighth sample is a straggler.
        longer = 3 if index % 8 == 7 else 1
        return Sample(sample, payload, group, self._arguments.max_tokens * longer)

    def _draw(self, lot: Lot) -> Drawn:
        client = TrainerClient(self._arguments.entries.split(","), self._arguments.name)
        began = time.monotonic()
        outcome = record_lot(self._history, client, lot, self._arguments.timeout)
        seconds = time.monotonic() - began
        if isinstance(outcome, LotAnswered):
            confirmed = isinstance(client.acknowledge(lot), Acknowledged)
            self._history.write("acknowledge", lot=lot.lot, confirmed=confirmed)
        client.close()
        return Drawn(lot, outcome, seconds)

    def _train(self, drawn: Drawn) -> None:
        count(self._report.ends, type(drawn.outcome).__name__)
        if not isinstance(drawn.outcome, LotAnswered):
            return
        self._report.delivered += 1
        self._times.record_value(max(1, round(drawn.seconds * 1000)))
        for sample in drawn.lot.samples:
            self._count(drawn.lot, sample, drawn.outcome.outcomes[sample.sample])
        time.sleep(self._arguments.train_seconds)
        if self._weights.publish(self._version + 1):
            self._version += 1

    def _count(self, lot: Lot, sample: Sample, answer: Outcome) -> None:
        self._report.samples += 1
        if not isinstance(answer, Completed) or not _is_right(lot, sample, answer):
            self._report.wrong += 1
            return
        oldest = min(span.version for span in answer.versions)
        count(self._report.staleness, str(max(0, self._version - oldest)))
        if not self._report.example:
            spans = [
                f"{each.version}:{each.start}-{each.end}" for each in answer.versions
            ]
            self._report.example = {
                "lot": lot.lot,
                "sample": sample.sample,
                "target": answer.target,
                "versions": " ".join(spans),
                "tokens": " ".join(answer.payload["tokens"][:4]) + " …",
            }


def _is_right(lot: Lot, sample: Sample, answer: Completed) -> bool:
    """Return whether `answer` is whole, the sample's own, and new enough."""
    own = digest(sample.payload)
    expected = [token(own, position) for position in range(sample.max_tokens)]
    if answer.payload != {"tokens": expected}:
        return False
    position = 0
    for span in answer.versions:
        if span.start != position or span.version < lot.version - lot.bound:
            return False
        position = span.end
    return position == sample.max_tokens


def main() -> None:
    """Run a trainer and print its report as JSON."""
    flags = argparse.ArgumentParser("python -m standins.trainer", None, __doc__)
    flags.add_argument("--name", required=True)
    flags.add_argument("--entries", required=True, help="host:port,host:port…")
    flags.add_argument("--weight-store", required=True, help="URL")
    flags.add_argument("--service", required=True)
    flags.add_argument("--catalogue-entry", required=True)
    flags.add_argument("--history", default="", help="file for the history")
    flags.add_argument("--report", default="", help="file for the report")
    flags.add_argument("--bound", type=int, default=1)
    flags.add_argument("--samples", type=int, default=32)
    flags.add_argument("--group", type=int, default=8)
    flags.add_argument("--max-tokens", type=int, default=16)
    flags.add_argument("--ahead", type=int, default=1, help="Lots on their way")
    flags.add_argument("--steps", type=int, default=0, help="0 for no limit")
    flags.add_argument("--seconds", type=float, default=10.0, help="last Lot's start")
    flags.add_argument("--train-seconds", type=float, default=0.3)
    flags.add_argument("--timeout", type=float, default=30.0, help="of a Lot")
    arguments = flags.parse_args()
    encoded = msgspec.json.encode(Trainer(arguments).run())
    if arguments.report:
        Path(arguments.report).write_bytes(encoded)
    print(encoded.decode())


if __name__ == "__main__":
    main()
