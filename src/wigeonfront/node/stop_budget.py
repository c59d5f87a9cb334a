"""The parts of a planned stop, which together end before the process is killed.

The functions are pure.
"""

from dataclasses import dataclass

UNREADY_SECONDS = 2.3
"""Time from the stop signal until no more connections arrive: the platform checks the
readiness once a second and takes an entry out of service after two failed checks."""

HAND_OVER_SECONDS = 1.5
"""Time in which Lots are handed over: calls to an unavailable store are tried again."""

OVERRUN_SECONDS = 0.3
"""Time by which the last of these calls may end later."""

CLOSE_SECONDS = 1.2
"""Time that closing takes: half a second until the servers have noticed it, and the end
of all tasks."""

MIN_STOP_SECONDS = UNREADY_SECONDS + HAND_OVER_SECONDS + OVERRUN_SECONDS + CLOSE_SECONDS
"""Shortest stop time in which all parts fit."""


@dataclass(frozen=True, slots=True)
class StopBudget:
    """The parts of a stop, in seconds after the stop signal.

    Attributes
    ----------
    unready : float
        Until then connections may still arrive.
    hand_over : float
        Until then open Lots may end; those that are left are handed over.
    hand_over_end : float
        Until then failed attempts to hand Lots over are repeated.
    calls_end : float
        Until then calls in progress may end; those that are left are cut off.
    """

    unready: float
    hand_over: float
    hand_over_end: float
    calls_end: float


def stop_budget(stop_seconds: float) -> StopBudget:
    """Return the parts of a stop that may take `stop_seconds`.

    In less than `MIN_STOP_SECONDS` Lots get no time to end, and connections may still
    arrive when the servers close.

    Examples
    --------
    >>> stop_budget(8.0)
    StopBudget(unready=2.3, hand_over=5.0, hand_over_end=6.5, calls_end=6.8)
    """
    calls_end = max(0.0, stop_seconds - CLOSE_SECONDS)
    hand_over_end = max(0.0, calls_end - OVERRUN_SECONDS)
    hand_over = max(0.0, hand_over_end - HAND_OVER_SECONDS)
    unready = min(UNREADY_SECONDS, calls_end)
    return StopBudget(unready, hand_over, hand_over_end, calls_end)
