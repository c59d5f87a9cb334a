from random import Random
from typing import get_args

import pytest

from wigeonfront.outcomes import (
    Completed,
    Expired,
    Failed,
    Interrupted,
    NotRun,
    Outcome,
    Unknown,
)
from wigeonfront.policy.circuit import evidence
from wigeonfront.policy.retries import (
    MAX_BACKOFF,
    Attempted,
    GiveUp,
    Retry,
    RetryBudget,
    backoff,
    may_retry,
)

OUTCOMES = {
    Completed: Completed({}),
    NotRun: NotRun("queue_full"),
    Unknown: Unknown("connection_lost"),
    Failed: Failed("error", 500),
    Expired: Expired(started=True),
    Interrupted: Interrupted("stream_cut"),
}


def decide(outcome, idempotent=True, attempts=1, remaining=60.0, expected=0.0):
    attempted = Attempted(idempotent, attempts, limit=3, expected=expected)
    return may_retry(outcome, attempted, remaining, Random(1))


@pytest.mark.parametrize("kind", get_args(Outcome))
def test_every_outcome_is_judged(kind):
    outcome = OUTCOMES[kind]
    assert evidence(outcome) in ("success", "failure", "none")
    assert isinstance(decide(outcome), (Retry, GiveUp))


@pytest.mark.parametrize(
    ("outcome", "idempotent", "reason"),
    [
        (NotRun("queue_full"), True, "after_notrun"),
        (NotRun("queue_full"), False, "after_notrun"),
        (Unknown("lost"), True, "after_unknown"),
        (Unknown("lost"), False, "not_idempotent"),
        (Failed("error", 502), True, "after_failed"),
        (Failed("error", 502), False, "not_idempotent"),
        (Failed("bad payload", 422), True, "callers_error"),
        (Interrupted("preempted"), True, "after_interrupted"),
        (Interrupted("stream_cut"), False, "not_idempotent"),
        (Expired(started=False), True, "expired"),
        (Expired(started=True), True, "expired"),
        (Completed({}), True, "completed"),
    ],
)
def test_which_outcomes_are_retried(outcome, idempotent, reason):
    assert decide(outcome, idempotent).reason == reason


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"attempts": 3}, "attempts_exhausted"),
        ({"remaining": 0.0}, "deadline_too_near"),
        ({"remaining": 5.0, "expected": 6.0}, "deadline_too_near"),
    ],
)
def test_retries_stop_at_bounds(changes, reason):
    assert decide(NotRun("queue_full"), **changes) == GiveUp(reason)


@pytest.mark.parametrize("attempt", [1, 2, 5, 50, 5000])
def test_backoff_is_jittered_below_its_ceiling(attempt):
    random = Random(7)
    pauses = [backoff(attempt, random) for _ in range(200)]
    ceiling = min(MAX_BACKOFF, 0.05 * 2 ** min(attempt - 1, 32))
    assert all(0 <= pause <= ceiling for pause in pauses)
    assert max(pauses) - min(pauses) > ceiling / 2


def test_retries_stay_a_share_of_the_traffic():
    budget = RetryBudget(ratio=0.1, burst=5)
    spent = 0
    for _ in range(1000):
        budget.earn()
        spent += budget.spend()
    assert spent <= 0.1 * 1000 + 5


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (Completed({}), "success"),
        (NotRun("queue_full"), "none"),
        (Unknown("lost"), "failure"),
        (Failed("error", 503), "failure"),
        (Failed("bad payload", 422), "success"),
        (Expired(started=True), "failure"),
        (Expired(started=False), "none"),
        (Interrupted("stream_cut"), "failure"),
        (Interrupted("preempted"), "none"),
        (Interrupted("cancelled"), "none"),
    ],
)
def test_what_an_outcome_says_of_its_target(outcome, expected):
    assert evidence(outcome) == expected
