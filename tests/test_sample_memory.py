"""The memory that the samples of Lots may take in one process."""

import pytest

from deployed import Deployment
from rows_fakes import make_lot
from wigeonfront.http.budget import DEFAULT_MEMORY_BYTES, LOT_BUDGET, fit_budgets
from wigeonfront.rollout.known_lots import SampleCache
from wigeonfront.rollout.lot import Lot, Sample


def lot_of(id, size):
    return Lot(id, "h", "/lots-in/", (Sample("s", "/x", (), b"a" * size),))


@pytest.mark.parametrize(
    ("sizes", "kept"),
    [
        ([4, 4], {"0", "1"}),
        ([4, 4, 4], {"1", "2"}),
        ([4, 11], set()),
        ([4, 4, 9], {"2"}),
        ([0, 10], {"0", "1"}),
    ],
)
def test_the_lots_that_were_read_last_are_kept_up_to_a_size(sizes, kept):
    cache = SampleCache(10)
    for number, size in enumerate(sizes):
        cache.add(lot_of(str(number), size))
    names = {str(number) for number in range(len(sizes))}
    assert {name for name in names if cache.get(name)} == kept


def test_a_lot_that_is_read_again_is_kept_longer():
    cache = SampleCache(10)
    for name in ("old", "new"):
        cache.add(lot_of(name, 4))
    assert cache.get("old")
    cache.add(lot_of("newest", 4))
    assert cache.get("old")
    assert not cache.get("new")


def test_a_lot_that_is_added_twice_is_counted_once():
    cache = SampleCache(10)
    for _ in range(5):
        cache.add(lot_of("same", 4))
    cache.add(lot_of("other", 6))
    assert cache.get("same")


@pytest.fixture
def deployed():
    deployment = Deployment()
    yield deployment
    deployment.close()


@pytest.fixture
def memory_for_lots():
    def resize(size):
        fit_budgets(int(size / 0.15))

    yield resize
    fit_budgets(DEFAULT_MEMORY_BYTES)


def test_lots_beyond_the_memory_are_refused_and_not_written(memory_for_lots, deployed):
    entry = deployed.add_entry("n1")
    held = LOT_BUDGET.taken
    first, second = (large(id) for id in ("lot-a", "lot-b"))
    memory_for_lots(held + 1.5 * first.body_bytes)
    for engine in deployed.engines:
        engine.faults.hang = True
    assert type(entry._lots.submit(first)).__name__ == "Accepted"
    assert LOT_BUDGET.taken == held + first.body_bytes
    assert type(entry._lots.submit(second)).__name__ == "LotRefused"
    assert deployed.rows.get("live/lot/lot-b").__class__.__name__ == "Absent"
    assert type(entry._lots.end("lot-a")).__name__ == "Accepted"
    assert LOT_BUDGET.taken == held
    assert type(entry._lots.submit(second)).__name__ == "Accepted"
    for engine in deployed.engines:
        engine.release.set()
    entry._lots.end("lot-b")
    assert LOT_BUDGET.taken == held


def large(id):
    lot = make_lot(id, samples=2)
    samples = tuple(
        Sample(s.id, s.path, s.headers, b"a" * 50_000, s.group) for s in lot.samples
    )
    return Lot(id, lot.host, lot.prefix, samples, give_up_seconds=60.0)
