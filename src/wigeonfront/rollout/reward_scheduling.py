"""Decides which reward call is sent next, to which target, and when it is retried.

All functions are pure. The texts of a step end within seconds of each other, so that
reward calls come in bursts. They go to targets that also serve callers whose deadlines
are far shorter.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from functools import singledispatch

from wigeonfront.forwarding.placement import choose_target
from wigeonfront.rollout.progress import LotProgress, SampleState
from wigeonfront.rollout.reward_call import (
    CallBroken,
    CallFailed,
    CallOutcome,
    CallRefused,
)
from wigeonfront.targets.views import TargetView

OWN_SHARE = 1 / 3
"""Share of a target's slots that one process initially uses for reward calls.

A burst of reward calls thus leaves slots free for callers' requests.
"""

FULL_AFTER_SECONDS = 2.0
"""Time after which a waiting call may use any slot of a target.

Without this, a single owner on few targets would take three times as long as necessary.
"""

MIN_WAIT_SECONDS = 1.0
"""Minimum timeout of a send to a target."""

WAIT_FACTOR = 5.0
"""Timeout of a send as a multiple of the target's usual latency."""

FAILED_PAUSE_SECONDS = 0.0
"""Pause after an error response of a target: the retry goes to another target."""

SLOW_SECONDS = 0.5
"""Minimum time after which a send counts as slow, so that a second one is made."""

SLOW_FACTOR = 2.5
"""Multiple of a target's usual latency after which a send counts as slow.

The threshold follows the latency because second sends would only double the work where
all targets are slow.
"""

REFUSED_PAUSE_SECONDS = 0.1
"""Pause after the first refusal; it doubles with each try."""

MAX_PAUSE_SECONDS = 2.0
"""Longest pause; a service that was wholly down is noticed after it at the latest."""

MAX_DOUBLINGS = 6
"""Limit of the doublings of timeouts and pauses."""


@dataclass(frozen=True, slots=True)
class DueCall:
    """A sample whose reward call is to be sent, with its Lot."""

    progress: LotProgress
    state: SampleState


def due_calls(lots: Sequence[LotProgress], now: float) -> list[DueCall]:
    """Return the calls that may be sent, the most urgent first.

    A group counts only once it is whole. Calls are therefore sorted by the number of
    results that their group lacks, and among equals by the time that they have waited.

    Parameters
    ----------
    lots : sequence of LotProgress
    now : float
        Monotonic time.
    """
    due = [
        DueCall(progress, state)
        for progress in lots
        if not progress.ended
        for state in progress.open.values()
        if state.wants_call(now)
    ]
    due.sort(key=_urgency)
    return due


def _urgency(due: DueCall) -> tuple[int, float]:
    missing = due.progress.missing_in_group(due.state.sample)
    return missing, due.state.call.due_since


def choose_call_target(
    views: Sequence[TargetView],
    own_calls: dict[str, int],
    tried: Collection[str],
    failure_domain: str,
    waited: float = 0.0,
) -> TargetView | None:
    """Return the target for a reward call, or ``None`` if none has a free slot.

    Parameters
    ----------
    views : sequence of TargetView
    own_calls : dict of str to int
        Reward calls of this process in progress, by target.
    tried : collection of str
        Ids of the targets to which this call was sent without getting a score. They
        are used again only while no other target has a free slot.
    failure_domain : str
        Failure domain of this process.
    waited : float
        Seconds for which the call has been due.
    """
    with_room = [
        view
        for view in views
        if own_calls.get(view.target.id, 0) < max_own_calls(view.target.slots, waited)
    ]
    fresh = [view for view in with_room if view.target.id not in tried]
    return choose_target(fresh or with_room, (), failure_domain)


def max_own_calls(slots: int, waited: float) -> int:
    """Return the limit of one process's reward calls in progress at a target.

    Parameters
    ----------
    slots : int
        Capacity of the target.
    waited : float
        Seconds for which the next call has been due.
    """
    grown = min(1.0, max(0.0, waited) / FULL_AFTER_SECONDS)
    return max(1, int((OWN_SHARE + (1 - OWN_SHARE) * grown) * slots))


def max_wait(latency: float, tries: int, longest: float) -> float:
    """Return the timeout in seconds of a send to a target.

    The timeout doubles with each try, so that a call that takes long on every target
    can still be answered.

    Parameters
    ----------
    latency : float
        Smoothed seconds until an answer of the target; 0 if unknown.
    tries : int
        Number of sends that ended without a score.
    longest : float
        Upper limit of the timeout in seconds.
    """
    base = max(MIN_WAIT_SECONDS, WAIT_FACTOR * latency)
    return min(base * 2 ** min(tries, MAX_DOUBLINGS), longest)


def slow_after(latency: float) -> float:
    """Return the seconds after which a send counts as slow and a second one is made.

    Parameters
    ----------
    latency : float
        Smoothed seconds until an answer of the target; 0 if unknown.
    """
    return max(SLOW_SECONDS, SLOW_FACTOR * latency)


@singledispatch
def pause_after(outcome: CallOutcome, tries: int) -> float:
    """Return the pause in seconds until a call that got no score is retried."""
    return 0.0


@pause_after.register
def _(outcome: CallFailed, tries: int) -> float:
    return FAILED_PAUSE_SECONDS


@pause_after.register
def _(outcome: CallRefused, tries: int) -> float:
    return _doubled(REFUSED_PAUSE_SECONDS, tries)


@pause_after.register
def _(outcome: CallBroken, tries: int) -> float:
    # The first retry goes to another target at once.
    return _doubled(REFUSED_PAUSE_SECONDS, tries) if tries > 1 else 0.0


def _doubled(pause: float, tries: int) -> float:
    return min(pause * 2 ** min(max(0, tries - 1), MAX_DOUBLINGS), MAX_PAUSE_SECONDS)
