"""The memory that bodies may take."""

import pytest

from wigeonfront.http.budget import ByteBudget


@pytest.mark.parametrize(
    ("taken", "count", "own", "expected"),
    [
        (0, 10, None, True),
        (0, 11, None, False),
        # Whoever is alone gets what it needs.
        (0, 11, 0, True),
        (8, 3, 8, True),
        (8, 3, 0, False),
        (8, 3, 7, False),
        (8, 2, 0, True),
        # The common budget applies as well.
        (0, 10, 0, True),
    ],
)
def test_a_budget_limits_those_who_share_it(taken, count, own, expected):
    budget = ByteBudget(10)
    assert budget.take(taken, 0)
    assert budget.take(count, own) is expected
    assert budget.taken == taken + count * expected


def test_both_kinds_of_bodies_together_stay_under_the_common_budget():
    common = ByteBudget(15)
    requests, answers = ByteBudget(10, common), ByteBudget(10, common)
    assert requests.take(10, 0)
    assert not answers.take(6)
    assert answers.take(5)
    requests.release(10)
    assert answers.take(5)
    assert (requests.taken, answers.taken, common.taken) == (0, 10, 10)
