"""What the writer writes while the store is away, and when it is back."""

import threading
import time
from unittest.mock import ANY

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.observability.metrics import Registry
from wigeonfront.rollout.events import Text
from wigeonfront.rollout.result_writer import BATCH_BYTES, ResultWriter
from wigeonfront.rollout.lot import Lot, Sample, SampleResult
from wigeonfront.rollout.order import TEXT_SECONDS
from wigeonfront.rollout.progress import LotProgress
from wigeonfront.rollout.repository import InDoubt, Kept, NotKept


class Repository:
    """Takes part for some Lots only."""

    def __init__(self):
        self.away = {}
        self.asked = []

    def append(self, lot_id, head_revision, position, batch, texts):
        self.asked.append(lot_id)
        return self.away.get(lot_id) or Kept(head_revision)


@pytest.fixture
def kept():
    """Return a writer of three Lots with unsaved texts, and its repository."""
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
def test_one_lot_finds_out_whether_the_store_is_back(kept, outcome):
    """Each unanswered call takes a second, in which a store that is back keeps none."""
    writer, repository, _ = kept
    repository.away = dict.fromkeys("abc", outcome)
    for _ in range(3):
        assert not writer._write_due()
    assert len(repository.asked) == 3
    repository.away = {}
    assert writer._write_due()
    assert set(repository.asked[3:]) == {"a", "b", "c"}


def test_a_lot_that_can_not_be_kept_holds_up_no_other(kept):
    writer, repository, clock = kept
    repository.away = {"a": NotKept("too large")}
    assert not writer._write_due()
    assert not writer._write_due()
    assert repository.asked == ["a", "b", "c", "a"]
    clock.advance(TEXT_SECONDS)
    for progress in writer._lots():
        progress.open[f"{progress.lot.id}1"].snapshot = Text([b"x", b"y"], {1})
    repository.asked.clear()
    assert not writer._write_due()
    assert repository.asked == ["b", "c", "a"]


def test_a_batch_that_is_written_twice_at_once_counts_once(kept):
    """The second answer must not be taken for that to the batch behind."""
    writer, repository, _ = kept
    samples = tuple(Sample(f"s{number}", "/x", (), b"") for number in range(2))
    progress = LotProgress(Lot("lot", "h", "/", samples), 1, [])
    for sample in samples:
        progress.finish(SampleResult(sample.id, True, b"x" * BATCH_BYTES))
    both, answer = threading.Barrier(2), threading.Event()

    def late(*arguments):
        both.wait(5)
        answer.wait(5)
        return Kept(1)

    def at_once(*arguments):
        both.wait(5)
        return Kept(1)

    repository.append = late
    slow = threading.Thread(target=writer._write, args=(progress,))
    slow.start()
    while not both.n_waiting:
        time.sleep(0.001)
    repository.append = at_once
    writer._write(progress)
    # The next batch is being written as the late answer comes.
    assert progress.begin_batch(BATCH_BYTES) == [SampleResult("s1", True, ANY)]
    answer.set()
    slow.join(5)
    assert [result.id for result in progress.kept] == ["s0"]
    assert [result.id for result in progress.in_doubt] == ["s1"]
