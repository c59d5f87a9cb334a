"""Which reward call is sent next, where, and when again; pure functions.

The texts of a step end within seconds, so its reward calls come in bursts, on the
targets that answer callers with far shorter deadlines.
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
"""Share of a target's places that one process takes for reward calls at first, so that
a burst of them leaves places to callers' requests."""

FULL_AFTER_SECONDS = 2.0
"""Time that a call has waited after which it may take any place: a single owner on few
targets would else take thrice as long as it must."""

LEAST_WAIT_SECONDS = 1.0
"""Shortest wait for one target."""

WAIT_FACTOR = 5.0
"""Multiple of a target's usual time for which it is waited for."""

FAILED_PAUSE_SECONDS = 0.0
"""Pause after a failure of the target's own: the next send goes to another target."""

SLOW_SECONDS = 0.5
"""Shortest time from which a send takes long, and a second one goes out."""

SLOW_FACTOR = 2.5
"""Multiple of a target's usual time from which a send takes long: where all targets are
slow, second sends would only double their work."""

REFUSED_PAUSE_SECONDS = 0.1
"""Pause after a first refusal; it doubles."""

MOST_PAUSE_SECONDS = 2.0
"""Longest pause, after which a service that was wholly down is noticed to be back."""

MOST_DOUBLINGS = 6


@dataclass(frozen=True, slots=True)
class DueCall:
    """A sample whose reward call is to be sent, with its Lot."""

    progress: LotProgress
    state: SampleState


def due_calls(lots: Sequence[LotProgress], now: float) -> list[DueCall]:
    """Return the calls that may be sent, the most urgent first.

    A group counts only once it is whole, so the call goes first whose group lacks the
    fewest results, and of equals the one that has waited longest.

    Parameters
    ----------
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
    """Return the target for a reward call, or ``None`` if none has room.

    Parameters
    ----------
    own_calls : dict of str to int
        Reward calls of this process in progress, by target.
    tried : collection of str
        Targets that have given this call no score; used again once all have.
    failure_domain : str
        Where this process is.
    waited : float
        Seconds for which the call has been due.
    """
    with_room = [
        view
        for view in views
        if own_calls.get(view.target.id, 0) < most_own_calls(view.target.slots, waited)
    ]
    fresh = [view for view in with_room if view.target.id not in tried]
    return choose_target(fresh or with_room, (), failure_domain)


def most_own_calls(slots: int, waited: float) -> int:
    """Return how many reward calls one process has at a target at most.

    Parameters
    ----------
    slots : int
        The target's places.
    waited : float
        Seconds for which the next call has been due.
    """
    grown = min(1.0, max(0.0, waited) / FULL_AFTER_SECONDS)
    return max(1, int((OWN_SHARE + (1 - OWN_SHARE) * grown) * slots))


def most_wait(latency: float, tries: int, longest: float) -> float:
    """Return the seconds for which a target is waited for.

    Each try waits twice as long as the one before: a call that takes long everywhere
    must end in the end.

    Parameters
    ----------
    latency : float
        Smoothed seconds that the target takes for an answer; 0 if unknown.
    tries : int
        Sends that have ended without a score.
    longest : float
        Seconds that the route allows.
    """
    base = max(LEAST_WAIT_SECONDS, WAIT_FACTOR * latency)
    return min(base * 2 ** min(tries, MOST_DOUBLINGS), longest)


def slow_after(latency: float) -> float:
    """Return the seconds from which a send takes long, and a second one goes out.

    Parameters
    ----------
    latency : float
        Smoothed seconds that the target takes for an answer; 0 if unknown.
    """
    return max(SLOW_SECONDS, SLOW_FACTOR * latency)


@singledispatch
def pause_after(outcome: CallOutcome, tries: int) -> float:
    """Return the seconds until a call without a score is sent again."""
    return 0.0


@pause_after.register
def _(outcome: CallFailed, tries: int) -> float:
    return FAILED_PAUSE_SECONDS


@pause_after.register
def _(outcome: CallRefused, tries: int) -> float:
    return _doubled(REFUSED_PAUSE_SECONDS, tries)


@pause_after.register
def _(outcome: CallBroken, tries: int) -> float:
    # The first other target is asked at once.
    return _doubled(REFUSED_PAUSE_SECONDS, tries) if tries > 1 else 0.0


def _doubled(pause: float, tries: int) -> float:
    return min(pause * 2 ** min(max(0, tries - 1), MOST_DOUBLINGS), MOST_PAUSE_SECONDS)
