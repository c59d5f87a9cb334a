"""When a request that has crashed targets may be sent again; pure functions.

A target that crashes takes the other requests that it runs with it, and a service has
few targets: a request that crashes each of them would take the service out again as
often as it comes. Any target may crash while an innocent request runs there, so one
crash proves nothing, and neither do crashes of many targets at one moment.

Times are Unix times in seconds.
"""

from collections.abc import Collection

from wigeonfront.quarantine.record import Crash

CRASHES_TO_QUARANTINE = 3
"""Targets that must have crashed under one request."""

ROUNDS_TO_QUARANTINE = 2
"""Sends, one after the end of the other, that these crashes must have ended."""

QUARANTINE_SECONDS = 600.0
"""First time for which a request is not sent."""

QUARANTINE_GROWTH = 6
"""Factor by which it grows with each further crash."""

MOST_QUARANTINE_SECONDS = 24 * 3600.0
MOST_GROWTHS = 3

SAMPLE_RETRIES = 3
"""Runs that a quarantined sample still gets: its Lot waits for it, and only its owner
sends it again."""

RETRY_PAUSE_SECONDS = 4.0
"""Pause before each of them, in which the engine that has crashed is back."""

FORGET_SECONDS = 3600.0
"""How long crashes are remembered beyond the time in which they decide anything."""


def quarantine_end(crashes: Collection[Crash]) -> float:
    """Return the time until which a request is not sent; 0 if it may be sent.

    Parameters
    ----------
    crashes : collection of Crash
        All that are known of it.

    Examples
    --------
    >>> def crash(target, at):
    ...     return Crash("f", target, at - 1.0, at)
    >>> quarantine_end([crash("i-1", 10.0), crash("i-2", 20.0)])
    0.0
    >>> quarantine_end([crash("i-1", 10.0), crash("i-2", 20.0), crash("i-3", 30.0)])
    630.0
    """
    further = len(crashes) - CRASHES_TO_QUARANTINE
    if further < 0 or crash_rounds(crashes) < ROUNDS_TO_QUARANTINE:
        return 0.0
    seconds = QUARANTINE_SECONDS * QUARANTINE_GROWTH ** min(further, MOST_GROWTHS)
    return _newest(crashes) + min(seconds, MOST_QUARANTINE_SECONDS)


def sample_retry_at(crashes: Collection[Crash]) -> float:
    """Return the time until which a sample of a Lot is not run; 0 if it may be run.

    Examples
    --------
    >>> crashes = [Crash("f", f"i-{n}", n + 0.5, n + 1.0) for n in range(6)]
    >>> sample_retry_at(crashes[:2]), sample_retry_at(crashes[:3])
    (0.0, 7.0)
    >>> sample_retry_at(crashes) == quarantine_end(crashes)
    True
    """
    end = quarantine_end(crashes)
    if not end or len(crashes) >= CRASHES_TO_QUARANTINE + SAMPLE_RETRIES:
        return end
    return _newest(crashes) + RETRY_PAUSE_SECONDS


def crash_rounds(crashes: Collection[Crash]) -> int:
    """Return the most crashes of which each was sent after the one before had ended.

    Examples
    --------
    >>> together = [Crash("f", f"i-{n}", 1.0, 2.0) for n in range(5)]
    >>> crash_rounds(together), crash_rounds([*together, Crash("f", "i-9", 3.0, 4.0)])
    (1, 2)
    """
    rounds = 0
    ended_at = float("-inf")
    for crash in sorted(crashes, key=lambda one: one.at):
        if crash.sent_at >= ended_at:
            rounds += 1
            ended_at = crash.at
    return rounds


def forget_at(crashes: Collection[Crash]) -> float:
    """Return the time from which the crashes of a request need not be remembered."""
    return max(_newest(crashes), quarantine_end(crashes)) + FORGET_SECONDS


def _newest(crashes: Collection[Crash]) -> float:
    return max(crash.at for crash in crashes)
