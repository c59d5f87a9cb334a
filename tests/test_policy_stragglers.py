import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonfront.policy.stragglers import (
    LENGTHS_KEPT,
    RunningSample,
    SiblingLengths,
    longest_first,
    should_hedge,
)


def lengths(group="g", values=(100, 200, 300, 400), quantile=0.5):
    made = SiblingLengths(quantile)
    for value in values:
        made.add(group, value)
    return made


@pytest.mark.parametrize(
    ("asked", "tokens", "reason"),
    [
        ({"group": "g"}, 300, "siblings"),
        ({"group": "g", "generated": 300}, 400, "siblings"),
        ({"group": "other"}, 300, "service"),
        ({"group": "g", "most": 150}, 150, "siblings"),
        ({"group": "g", "generated": 400}, 1000, "max_tokens"),
    ],
)
def test_predictions(asked, tokens, reason):
    prediction = lengths().predict(**{"most": 1000, **asked})
    assert (prediction.tokens, prediction.reason) == (tokens, reason)


def test_nothing_is_known_at_first():
    assert SiblingLengths().predict("g", most=64).reason == "max_tokens"


def test_old_lengths_are_forgotten():
    made = lengths(values=[10] * LENGTHS_KEPT + [500] * LENGTHS_KEPT)
    assert made.predict("g", most=1000).tokens == 500


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(st.integers(1, 500), max_size=100), st.integers(1, 600), st.integers(0, 99)
)
def test_predictions_stay_between_what_is_there_and_the_bound(values, most, generated):
    tokens = lengths(values=values).predict("g", most, min(generated, most - 1)).tokens
    assert min(generated, most - 1) < tokens <= most


def test_long_samples_go_first():
    assert longest_first("abc", {"a": 2, "b": 9, "c": 5}.get) == ["b", "c", "a"]


@pytest.mark.parametrize(
    ("changes", "share", "reason"),
    [
        ({}, 0.1, "straggling"),
        ({"idempotent": False}, 0.1, "not_idempotent"),
        ({"hedges": 1}, 0.1, "hedged_already"),
        ({}, 0.5, "not_in_tail"),
        ({"elapsed": 5.0}, 0.1, "within_patience"),
        ({"elsewhere": 90.0}, 0.1, "deadline_too_near"),
        ({"slowness": 1.0}, 0.1, "side_not_slow"),
        ({"slowness": 2.0}, 0.1, "straggling"),
    ],
)
def test_when_to_hedge(changes, share, reason):
    usual = {
        "attempt": "a",
        "idempotent": True,
        "elapsed": 30.0,
        "expected": 10.0,
        "elsewhere": 12.0,
        "remaining": 60.0,
    }
    decision = should_hedge(RunningSample(**{**usual, **changes}), share)
    assert (decision.reason, decision.hedge) == (reason, reason == "straggling")
