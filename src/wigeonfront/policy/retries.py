"""Retries: whether, when and out of which budget an attempt is repeated.

`may_retry` is pure. `RetryBudget` is thread-safe. A retry or hedge spends a token;
first attempts earn a share of one, so repeated work stays a share of the traffic
and a failing target can't multiply the load on the others.
"""

import threading
from dataclasses import dataclass
from functools import singledispatch
from random import Random

from wigeonfront.outcomes import (
    Completed,
    Expired,
    Failed,
    Interrupted,
    NotRun,
    Outcome,
    Unknown,
)

BASE_BACKOFF = 0.05
"""Seconds: ceiling of the first pause."""

MAX_BACKOFF = 5.0
"""Seconds: ceiling of any pause."""

MOVED = frozenset({"swapping", "leaving", "not_serving", "target_down", "side_gone"})
"""Refusals of a side that does no work now.

They used no capacity anywhere, and each side refuses an attempt once, so moving on
at once can't feed a storm and needs no budget.
"""

RETRY_RATIO = 0.1
"""Retries allowed for each first attempt."""


def backoff(attempt: int, random: Random) -> float:
    """Return the pause in seconds before retry number `attempt` (from 1).

    Full jitter: uniform between zero and a ceiling that doubles.
    """
    ceiling = min(MAX_BACKOFF, BASE_BACKOFF * 2 ** (min(attempt, 32) - 1))
    return random.uniform(0.0, ceiling)


class RetryBudget:
    """Tokens earned by first attempts and spent by repeats.

    Parameters
    ----------
    ratio : float
        Tokens earned by each first attempt.
    burst : float
        Most tokens kept; also what a new budget starts with.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, burst=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn(), budget.earn(), budget.spend()
    (None, None, True)
    """

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = 10.0) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst
        self._lock = threading.Lock()

    @property
    def tokens(self) -> float:
        """Tokens left."""
        return self._tokens

    def earn(self) -> None:
        """Note a first attempt."""
        with self._lock:
            self._tokens = min(self._burst, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take a token for a repeat; ``False`` when none is left."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True


@dataclass(frozen=True, slots=True)
class Attempted:
    """What is known of the attempts made so far.

    Attributes
    ----------
    idempotent : bool
        Whether the work may run more than once.
    attempts : int
        Attempts made so far, at least 1.
    limit : int
        Most attempts for this request.
    expected : float
        Seconds that one more attempt is expected to take.
    """

    idempotent: bool
    attempts: int = 1
    limit: int = 3
    expected: float = 0.0


@dataclass(frozen=True, slots=True)
class Retry:
    """Try again after `delay` seconds, elsewhere if `elsewhere`.

    Attributes
    ----------
    budgeted : bool
        The caller spends a budget token first, and gives up if there is none.
    """

    delay: float
    reason: str
    elsewhere: bool = True
    budgeted: bool = True


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The outcome is final."""

    reason: str


def may_retry(
    outcome: Outcome, attempted: Attempted, remaining: float, random: Random
) -> Retry | GiveUp:
    """Return whether work that ended in `outcome` is tried again.

    Parameters
    ----------
    outcome : Outcome
        End of the last attempt.
    attempted : Attempted
        The attempts so far.
    remaining : float
        Seconds to the caller's deadline.
    random : random.Random
        Source of jitter.
    """
    refusal = _forbidden(outcome, attempted)
    if refusal:
        return GiveUp(refusal)
    if attempted.attempts >= attempted.limit:
        return GiveUp("attempts_exhausted")
    if isinstance(outcome, NotRun) and outcome.reason in MOVED and remaining > 0:
        return Retry(0.0, "moved", budgeted=False)
    delay = backoff(attempted.attempts, random)
    if delay + attempted.expected >= remaining:
        return GiveUp("deadline_too_near")
    return Retry(delay, f"after_{type(outcome).__name__.lower()}")


@singledispatch
def _forbidden(outcome: Outcome, attempted: Attempted) -> str:
    """Return why no attempt may follow `outcome`; empty if one may."""
    raise TypeError(f"not an outcome: {outcome!r}")


@_forbidden.register
def _(outcome: Completed, attempted: Attempted) -> str:
    return "completed"


@_forbidden.register
def _(outcome: NotRun, attempted: Attempted) -> str:
    return ""


@_forbidden.register
def _(outcome: Unknown, attempted: Attempted) -> str:
    return "" if attempted.idempotent else "not_idempotent"


@_forbidden.register
def _(outcome: Failed, attempted: Attempted) -> str:
    if outcome.status < 500:
        return "callers_error"
    return "" if attempted.idempotent else "not_idempotent"


@_forbidden.register
def _(outcome: Expired, attempted: Attempted) -> str:
    return "expired"


@_forbidden.register
def _(outcome: Interrupted, attempted: Attempted) -> str:
    return "" if attempted.idempotent else "not_idempotent"
