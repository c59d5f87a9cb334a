"""When a request that has crashed targets may be sent again; pure functions.

A target that crashes takes the other requests that it runs with it, and a service has
few targets: a request that crashes each of them would take the service out again as
often as it comes. Any target may crash while an innocent request runs there, so one
crash proves nothing.

Times are Unix times in seconds.
"""

from collections.abc import Collection

CRASHES_TO_QUARANTINE = 3
"""Targets that must have crashed under one request."""

QUARANTINE_SECONDS = 3600.0
"""First time for which a request is not sent; it doubles with each further crash."""

MOST_QUARANTINE_SECONDS = 24 * 3600.0
MOST_DOUBLINGS = 10

FORGET_SECONDS = 3600.0
"""How long crashes are remembered beyond the time in which they decide anything."""


def quarantine_end(crashed_at: Collection[float]) -> float:
    """Return the time until which a request is not sent; 0 if it may be sent.

    Parameters
    ----------
    crashed_at : collection of float
        When each target crashed under it.

    Examples
    --------
    >>> quarantine_end([10.0, 20.0])
    0.0
    >>> quarantine_end([10.0, 20.0, 30.0]), quarantine_end([10.0, 20.0, 30.0, 4000.0])
    (3630.0, 11200.0)
    """
    further = len(crashed_at) - CRASHES_TO_QUARANTINE
    if further < 0:
        return 0.0
    doubled = QUARANTINE_SECONDS * 2 ** min(further, MOST_DOUBLINGS)
    seconds = min(doubled, MOST_QUARANTINE_SECONDS)
    return max(crashed_at) + seconds


def forget_at(crashed_at: Collection[float]) -> float:
    """Return the time from which the crashes of a request need not be remembered."""
    return max(*crashed_at, quarantine_end(crashed_at)) + FORGET_SECONDS
