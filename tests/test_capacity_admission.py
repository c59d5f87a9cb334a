import pytest

from wigeonfront.capacity.admission import (
    ESTIMATE_ERROR,
    MIN_RETRY_SECONDS,
    Capacity,
    Claim,
    DoesNotFit,
    Fits,
    GroupWork,
    decide,
    fair_share,
)
from wigeonfront.capacity.demand import LotDemand

T = 10.0


def demand(seconds, trainer="b", weight=1.0, gives_up_in=60.0, samples=100):
    return LotDemand(
        f"of-{trainer}",
        trainer,
        "s",
        "m",
        weight,
        5.0,
        gives_up_in,
        0,
        samples,
        seconds,
    )


def claim(*seconds, weight=1.0, useful_for=T, longest=1.0):
    groups = tuple(GroupWork(each, longest) for each in seconds)
    return Claim("a", weight, useful_for, groups)


@pytest.mark.parametrize(
    ("total", "weight", "rivals", "share"),
    [
        (12.0, 1.0, [], 12.0),
        (12.0, 1.0, [(1.0, 50.0)], 6.0),
        (12.0, 1.0, [(2.0, 50.0)], 4.0),
        (12.0, 1.0, [(1.0, 50.0), (1.0, 2.0)], 5.0),
        (12.0, 2.0, [(1.0, 50.0), (3.0, 50.0)], 4.0),
        (0.0, 1.0, [(1.0, 50.0)], 0.0),
    ],
)
def test_share_of_a_trainer_beside_its_rivals(total, weight, rivals, share):
    assert fair_share(total, weight, rivals) == pytest.approx(share)
    assert fair_share(total, weight, rivals[::-1]) == pytest.approx(share)


# With 4 slots for 10 s there are 40 s of work, of which a rival leaves 20 s. Work is
# counted as if estimates were too high by `ESTIMATE_ERROR`.
@pytest.mark.parametrize(
    ("asked", "demands", "fits"),
    [
        (claim(40.0), [], True),
        (claim(40.0 * ESTIMATE_ERROR + 1), [], False),
        # One group that fits is enough.
        (claim(500.0, 20.0, 500.0), [demand(900.0)], True),
        (claim(26.0), [demand(900.0)], False),
        # Shares go by weight, and unused ones to the others.
        (claim(26.0, weight=3.0), [demand(900.0)], True),
        (claim(26.0), [demand(5.0)], True),
        (claim(26.0), [demand(900.0, weight=9.0, gives_up_in=1.0)], True),
        # A rival with two samples takes two slots at most.
        (claim(26.0), [demand(900.0, weight=9.0, samples=2)], False),
        (claim(24.0), [demand(900.0, weight=9.0, samples=2)], True),
        (claim(24.0), [demand(900.0, weight=9.0)], False),
        # Earlier Lots of the trainer go first, but none beyond its own end.
        (claim(10.0), [demand(39.0, trainer="a")], True),
        (claim(10.0), [demand(41.0, trainer="a")], False),
        (claim(1.0), [demand(900.0, trainer="a")], False),
        (claim(5.0), [demand(900.0, trainer="a", gives_up_in=9.0)], True),
        (claim(49.0), [demand(900.0, trainer="a", gives_up_in=0.0)], True),
        # A sample that takes longer than the Lot is of use.
        (claim(1.0, longest=T * ESTIMATE_ERROR + 1), [], False),
        # Unknown times and samples.
        (claim(900.0, useful_for=None), [], True),
        (claim(), [], True),
        (claim(0.1, useful_for=0.0), [], False),
    ],
)
def test_a_lot_fits_if_one_group_can_be_whole_in_time(asked, demands, fits):
    outcome = decide(asked, Capacity(4), demands)
    assert isinstance(outcome, Fits if fits else DoesNotFit)


@pytest.mark.parametrize(
    ("capacity", "fits"),
    [
        (Capacity(None), True),
        (Capacity(0), True),
        (Capacity(0, absent_for=T - 0.1), True),
        (Capacity(0, absent_for=T), False),
    ],
)
def test_only_a_lasting_absence_of_engines_counts(capacity, fits):
    outcome = decide(claim(1.0), capacity, [demand(900.0)])
    assert isinstance(outcome, Fits if fits else DoesNotFit)


@pytest.mark.parametrize(
    ("needed", "rate", "useful_for", "retry_after"),
    [
        # 20 s of work are available: a needed 24 s are 4 s too many.
        (30.0, 2.0, T, 2.0),
        (30.0, 40.0, T, MIN_RETRY_SECONDS),
        # Without an observed rate, all slots are assumed to be at work.
        (30.0, 0.0, T, 1.0),
        # Never later than a group could still be whole.
        (900.0, 0.5, T, T - 1.0),
    ],
)
def test_a_refused_lot_returns_when_enough_work_is_finished(
    needed, rate, useful_for, retry_after
):
    asked = claim(needed, useful_for=useful_for)
    outcome = decide(asked, Capacity(4, None, rate), [demand(900.0)])
    assert isinstance(outcome, DoesNotFit)
    assert outcome.retry_after == pytest.approx(retry_after)
