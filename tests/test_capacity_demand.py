import pytest

from wigeonfront.capacity import DemandBook, LotDemand
from wigeonfront.capacity.demand import REPORT_TTL_SECONDS


class Clock:
    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


def demand(lot, service="engines", due_in=7.0, waiting=3, refused_for=None):
    return LotDemand(
        lot,
        "trainer",
        service,
        "m",
        1.0,
        due_in,
        12.0,
        1,
        waiting,
        4.0,
        refused_for,
    )


@pytest.mark.parametrize(
    ("age", "lots"),
    [
        (0.0, ["own", "other"]),
        (REPORT_TTL_SECONDS, ["own", "other"]),
        (REPORT_TTL_SECONDS + 0.1, ["own"]),
    ],
)
def test_reports_count_until_they_are_too_old(age, lots):
    clock = Clock()
    book = DemandBook(clock)
    book.set_reported("10.0.0.2:1", [demand("other")])
    clock.now += age
    book.set_own([demand("own")])
    assert [found.lot for found in book.demands("engines")] == lots


def test_a_lot_that_was_taken_over_counts_once():
    clock = Clock()
    book = DemandBook(clock)
    book.set_reported("10.0.0.2:1", [demand("lot", waiting=9)])
    clock.now += 0.1
    book.set_reported("10.0.0.3:1", [demand("lot", waiting=5)])
    assert [found.waiting for found in book.demands("engines")] == [5]


def test_remaining_times_are_counted_from_now():
    clock = Clock()
    book = DemandBook(clock)
    book.set_own([demand("own", due_in=7.0)])
    clock.now += 1.5
    assert book.demands("engines")[0].due_in == pytest.approx(5.5)
    assert book.demands("other") == []


@pytest.mark.parametrize(
    ("owned", "reported", "accepted", "refused"),
    [
        ([], [], ["accepting"], ["refused"]),
        # Reported by its owner, and refused by another one before.
        (["accepting"], [], ["accepting"], ["refused"]),
        ([], [demand("refused")], ["accepting", "refused"], []),
        (
            [],
            [demand("other", refused_for=3.0)],
            ["accepting"],
            ["refused", "other"],
        ),
    ],
)
def test_refused_lots_are_no_demand(owned, reported, accepted, refused):
    clock = Clock()
    book = DemandBook(clock)
    book.set_undecided([demand("accepting"), demand("refused", refused_for=1.0)])
    book.set_own(map(demand, owned))
    book.set_reported("10.0.0.2:1", reported)
    clock.now += 0.5
    assert [found.lot for found in book.demands("engines")] == accepted
    assert [found.lot for found in book.refused("engines")] == refused
    assert sorted(found.lot for found in book.own()) == ["accepting", "refused"]
    assert book.oldest_report() == pytest.approx(0.5)
    for found in book.refused("engines"):
        assert found.refused_for == {"refused": 1.5, "other": 3.5}[found.lot]
