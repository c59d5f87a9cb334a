"""Pure functions that decide which windows are counted when.

A window is fixed once every live entry has reported its starts in the window, or else
so late that only the time to send the report is left.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

SETTLE_SECONDS = 0.5
"""Time after a window's end at which its starts are requested: many times the error of
the agreed time, so that no start can still fall into the window."""

GIVE_UP_SHARE = 0.75
"""Share of the time until a report is due during which entries that don't answer are
waited for. The rest is left for the writes to the store and to the platform."""

MAX_CATCH_UP_SECONDS = 50.0
"""Maximum age of windows that are caught up after an outage; starts are kept longer."""


@dataclass(frozen=True, slots=True)
class UsageBounds:
    """The platform's requirements for usage reports, in seconds.

    Attributes
    ----------
    window : float
        Length of a window; window ``k`` begins `k * window` after the Unix epoch.
    due : float
        Time after a window's end within which its report is due.
    """

    window: float = 5.0
    due: float = 10.0

    def begin(self, window: int) -> float:
        """Return the Unix time at which a window begins."""
        return window * self.window

    def end(self, window: int) -> float:
        """Return the Unix time at which a window ends."""
        return (window + 1) * self.window

    def window_at(self, unix: float) -> int:
        """Return the window that contains the Unix time `unix`."""
        return math.floor(unix / self.window)


def ended_windows(through: int, now: float, bounds: UsageBounds) -> range:
    """Return the windows that have ended and are not fixed yet.

    Parameters
    ----------
    through : int
        The last window that is fixed.
    now : float
        Unix time that most clocks agree on.
    bounds : UsageBounds
    """
    last = bounds.window_at(now - SETTLE_SECONDS) - 1
    first = bounds.window_at(now - MAX_CATCH_UP_SECONDS)
    return range(max(through + 1, first), last + 1)


def windows_to_fix(
    ended: Iterable[int],
    complete_until: Mapping[str, float],
    living: Iterable[str],
    now: float,
    bounds: UsageBounds,
) -> list[int]:
    """Return the windows that can be fixed now, oldest first.

    Parameters
    ----------
    ended : iterable of int
        Windows that have ended and aren't fixed; see `ended_windows`.
    complete_until : mapping of str to float
        Unix time up to which each entry has reported its starts.
    living : iterable of str
        Incarnations of the live entries.
    now : float
        Unix time that most clocks agree on.
    bounds : UsageBounds
    """
    heard = min(
        (complete_until.get(name, -math.inf) for name in living), default=math.inf
    )
    fixable = []
    for window in ended:
        end = bounds.end(window)
        if heard < end and now < end + GIVE_UP_SHARE * bounds.due:
            break
        fixable.append(window)
    return fixable
