"""Decides when a request that has crashed targets may be sent again; pure functions.

When a target crashes, the other requests that it runs fail as well, and a service has
few targets: a request that crashes each of them would take down the service each time
it is sent. A target may also crash while it runs a harmless request, so a single crash
proves nothing, and neither do simultaneous crashes of many targets.

Times are Unix times in seconds.
"""

from collections.abc import Collection

from wigeonfront.quarantine.record import Crash

CRASHES_TO_QUARANTINE = 3
"""Number of targets that must have crashed while they ran the same request."""

SEQUENTIAL_CRASHES_TO_QUARANTINE = 2
"""Number of these crashes that must be sequential, each of a send that began after the
crash before it."""

FIRST_QUARANTINE_SECONDS = 600.0
"""Duration of the first quarantine of a request."""

QUARANTINE_GROWTH_FACTOR = 6
"""Factor by which the duration grows with each further crash."""

MAX_QUARANTINE_SECONDS = 24 * 3600.0
MAX_GROWTH_STEPS = 3

ACCEPTED_PAUSE_SECONDS = 4.0
"""Pause after each further crash until accepted work is sent again: within this time
the crashed target is running again."""

CRASHES_TO_ISOLATE = 6
"""Number of crashes from which on accepted work is isolated while it runs. Innocent
requests reach it only where targets crash for long."""

RETENTION_SECONDS = 3600.0
"""Time for which crashes are kept after the newest crash, or after the end of the
quarantine if that is later."""


def quarantine_end(crashes: Collection[Crash]) -> float:
    """Return the time until which a request is not sent; 0 if it may be sent.

    Parameters
    ----------
    crashes : collection of Crash
        All known crashes of the request.

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
    if further < 0 or sequential_crashes(crashes) < SEQUENTIAL_CRASHES_TO_QUARANTINE:
        return 0.0
    seconds = FIRST_QUARANTINE_SECONDS * QUARANTINE_GROWTH_FACTOR ** min(
        further, MAX_GROWTH_STEPS
    )
    return _newest(crashes) + min(seconds, MAX_QUARANTINE_SECONDS)


def accepted_pause(crashes: Collection[Crash], now: float) -> float:
    """Return the seconds for which accepted work is not sent; 0 if it may be.

    Accepted work is the samples of accepted Lots and their reward calls. It is never
    refused for good, however many targets crashed while it ran.

    Parameters
    ----------
    crashes : collection of Crash
        All known crashes of the request.
    now : float

    Examples
    --------
    >>> crashes = [Crash("f", f"i-{n}", n + 0.5, n + 1.0) for n in range(90)]
    >>> accepted_pause(crashes[:2], 2.0), accepted_pause(crashes[:3], 4.0)
    (0.0, 3.0)
    >>> accepted_pause(crashes, 90.0), accepted_pause(crashes, 94.0)
    (4.0, 0.0)
    """
    if not quarantine_end(crashes):
        return 0.0
    seconds = _newest(crashes) + ACCEPTED_PAUSE_SECONDS - now
    if seconds > 2 * ACCEPTED_PAUSE_SECONDS:
        # The clock of the entry that saw the crash is ahead.
        return 0.0
    return min(max(0.0, seconds), ACCEPTED_PAUSE_SECONDS)


def needs_isolation(crashes: Collection[Crash]) -> bool:
    """Return whether accepted work must be isolated from others while it runs."""
    return len(crashes) >= CRASHES_TO_ISOLATE and quarantine_end(crashes) > 0


def sequential_crashes(crashes: Collection[Crash]) -> int:
    """Return the largest number of sequential crashes.

    Crashes are sequential if each of their sends began after the crash before it.

    Examples
    --------
    >>> together = [Crash("f", f"i-{n}", 1.0, 2.0) for n in range(5)]
    >>> later = Crash("f", "i-9", 3.0, 4.0)
    >>> sequential_crashes(together), sequential_crashes([*together, later])
    (1, 2)
    """
    count = 0
    ended_at = float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.at):
        if crash.sent_at >= ended_at:
            count += 1
            ended_at = crash.at
    return count


def expires_at(crashes: Collection[Crash]) -> float:
    """Return the time from which the crashes of a request need not be kept."""
    return max(_newest(crashes), quarantine_end(crashes)) + RETENTION_SECONDS


def _newest(crashes: Collection[Crash]) -> float:
    return max(crash.at for crash in crashes)
