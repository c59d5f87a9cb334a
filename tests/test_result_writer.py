"""What the writer writes while the store is unavailable, and once it is back."""

import threading
import time
from unittest.mock import ANY

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.observability.metrics import Registry
from wigeonfront.rollout.events import Text
from wigeonfront.rollout.lot import Lot, Sample, SampleResult
from wigeonfront.rollout.progress import LotProgress
from wigeonfront.rollout.repository import InDoubt, Kept, NotKept
from wigeonfront.rollout.result_writer import BATCH_BYTES, ResultWriter
from wigeonfront.rollout.scheduling import TEXT_SECONDS


class Repository:
    """Accepts the writes of all Lots but those with a failure."""

    def __init__(self):
        self.failures = {}
        self.calls = []

    def append(self, lot_id, head_revision, position, batch, texts):
        self.calls.append(lot_id)
        return self.failures.get(lot_id) or Kept(head_revision)


@pytest.fixture
def writing():
    """Return a writer of three Lots with unsaved texts, its repository and clock."""
    clock = ManualClock(100.0)
    lots = []
    for name in ("a", "b", "c"):
        sample = Sample(f"{name}1", "/x", (), b"")
        progress = LotProgress(Lot(name, "h", "/", (sample,)), 1, [])
        progress.open[sample.id].snapshot = Text([b"x"], {1})
        lots.append(progress)
    repository = Repository()
    writer = ResultWriter(
        repository,
        lambda: lots,
        lambda *arguments: None,
        threading.Condition(),
        clock,
        Registry().counter("batches", "x", ("outcome",)),
    )
    return writer, repository, clock


@pytest.mark.parametrize("outcome", [NotKept("down"), InDoubt("silent")])
def test_a_single_lot_tests_whether_the_store_is_back(writing, outcome):
    """Each unanswered call takes a second, in which no other Lot is written."""
    writer, repository, _ = writing
    repository.failures = dict.fromkeys("abc", outcome)
    for _ in range(3):
        assert not writer._write_due()
    assert len(repository.calls) == 3
    repository.failures = {}
    assert writer._write_due()
    assert set(repository.calls[3:]) == {"a", "b", "c"}


def test_a_lot_that_can_not_be_written_delays_no_other_lot(writing):
    writer, repository, clock = writing
    repository.failures = {"a": NotKept("too large")}
    assert not writer._write_due()
    assert not writer._write_due()
    assert repository.calls == ["a", "b", "c", "a"]
    clock.advance(TEXT_SECONDS)
    for progress in writer._lots():
        progress.open[f"{progress.lot.id}1"].snapshot = Text([b"x", b"y"], {1})
    repository.calls.clear()
    assert not writer._write_due()
    assert repository.calls == ["b", "c", "a"]


def test_a_batch_that_is_written_twice_at_once_counts_once(writing):
    """The second answer must not be taken for the answer to the next batch."""
    writer, repository, _ = writing
    samples = tuple(Sample(f"s{number}", "/x", (), b"") for number in range(2))
    progress = LotProgress(Lot("lot", "h", "/", samples), 1, [])
    for sample in samples:
        progress.finish(SampleResult(sample.id, True, b"x" * BATCH_BYTES))
    both, answer = threading.Barrier(2), threading.Event()

    def answer_late(*arguments):
        both.wait(5)
        answer.wait(5)
        return Kept(1)

    def answer_at_once(*arguments):
        both.wait(5)
        return Kept(1)

    repository.append = answer_late
    slow = threading.Thread(target=writer._write, args=(progress,))
    slow.start()
    while not both.n_waiting:
        time.sleep(0.001)
    repository.append = answer_at_once
    writer._write(progress)
    # The next batch is being written when the late answer arrives.
    assert progress.begin_batch(BATCH_BYTES) == [SampleResult("s1", True, ANY)]
    answer.set()
    slow.join(5)
    assert [result.id for result in progress.kept] == ["s0"]
    assert [result.id for result in progress.in_doubt] == ["s1"]
