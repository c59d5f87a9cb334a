"""Results whose write is unanswered, so that other entries may have read them."""

import time

import pytest

from deployed import Deployment
from rows_fakes import make_lot, wait_for
from test_entry_node import SAMPLES, call, check_results, read, read_all, submit
from wigeonfront.rollout.lot import SampleResult
from wigeonfront.rollout.progress import LotProgress


@pytest.fixture
def deployed():
    made = Deployment()
    yield made
    made.close()


def lose_answers(deployed, entry):
    """Have the store accept the results of a Lot, but lose the answers to its owner."""
    submit(entry, "l1")
    deployed.rows.faults.apply_lost_writes = True
    deployed.rows.faults.lose_writes = 1_000
    wait_for(lambda: deployed.rows.list("lot-results/l1/").rows)
    wait_for(lambda: not entry._runner.owned("l1").open)


@pytest.mark.parametrize("reached", [True, False])
def test_a_result_that_was_read_elsewhere_is_not_missing_at_the_owner(
    deployed, reached
):
    """An empty page would withdraw results that a trainer has read at another entry."""
    owner, other = deployed.add_entry("n1"), deployed.add_entry("n2")
    lose_answers(deployed, owner)
    if not reached:
        other._lots._owners.read = lambda *arguments: None
    seen = wait_for(lambda: (read(other, "l1")[1] or {}).get("results"))
    assert read(owner, "l1")[0] == 503
    # No result follows the batch that is in doubt.
    assert read(owner, "l1", SAMPLES) == (
        200,
        {"total": SAMPLES, "next": SAMPLES, "results": []},
    )
    deployed.rows.faults.lose_writes = 0
    page = read_all(owner, "l1")
    check_results(deployed, page)
    assert page["results"][: len(seen)] == seen


def test_a_waiting_reader_gets_the_result_once_the_write_is_confirmed(deployed):
    owner = deployed.add_entry("n1")
    lose_answers(deployed, owner)
    began = time.monotonic()
    deployed.rows.faults.lose_writes = 0
    answer = call(owner, "GET", "/lots/l1?after=0", Wigeonfront_Wait_Ms="1000")
    assert answer.status == 200
    assert b"l1-" in answer.body
    assert time.monotonic() - began < 1.0


LOT = make_lot(samples=3)
RESULTS = [SampleResult(sample.id, True) for sample in LOT.samples]


def progress_with_batch(count):
    progress = LotProgress(LOT, 1, [])
    for result in RESULTS[:count]:
        progress.finish(result)
    progress.begin_batch(1_000)
    progress.write_sent()
    return progress


@pytest.mark.parametrize(
    ("ends", "possible"),
    [
        pytest.param([], 2, id="no answer yet"),
        pytest.param([False], 0, id="not written"),
        pytest.param([True], 2, id="the answer is lost"),
        # A refused send says nothing about the send before it.
        pytest.param([True, False], 2, id="the answer is lost, then refused"),
        pytest.param([False, True], 2, id="refused, then the answer is lost"),
    ],
)
def test_up_to_which_position_the_store_may_have_results(ends, possible):
    progress = progress_with_batch(2)
    for number, maybe_done in enumerate(ends):
        if number:
            progress.write_sent()
        progress.write_ended(0, maybe_done)
    assert progress.possibly_kept == possible
    progress.write_sent()
    progress.batch_kept(0)
    progress.write_ended(0, maybe_done=False)
    assert progress.possibly_kept == len(progress.kept) == 2


def test_a_lost_answer_to_an_earlier_batch_puts_the_next_one_in_no_doubt():
    progress = progress_with_batch(1)
    progress.write_sent()
    progress.batch_kept(0)
    progress.write_ended(0, maybe_done=False)
    progress.finish(RESULTS[1])
    progress.begin_batch(1_000)
    progress.write_ended(0, maybe_done=True)
    assert progress.possibly_kept == 1
