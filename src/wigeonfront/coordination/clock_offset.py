"""The time of day that most machines agree on, where single clocks may be wrong.

A machine's time of day may jump, while the clock that counts since its start does not.
Each reading of another machine's time of day therefore gives an offset to this
machine's steady clock; the median of the offsets holds while fewer than half of the
clocks are wrong [1]_.

References
----------
.. [1] F. Cristian, "Probabilistic clock synchronization", Distributed Computing 3,
   1989: a remote clock is read to within half of the call's time.

Examples
--------
>>> read = [reading_from_call("a", 100.0, 100.0, 0.0, 5_000.0)]
>>> read += [reading_from_call("b", 100.0, 100.002, 0.0, 5_000.001)]
>>> read += [reading_from_call("c", 100.0, 100.0, 0.0, 5_002.0)]
>>> round(agreed_offset(read), 6)
4900.0
>>> agreed_offset([]) is None
True
"""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClockReading:
    """What one machine's time of day says.

    Attributes
    ----------
    name : str
        Of the machine.
    offset : float
        Its Unix time less this machine's steady clock, in seconds.
    error : float
        Most seconds by which the offset may be wrong.
    """

    name: str
    offset: float
    error: float


def reading_from_call(
    name: str, sent: float, received: float, handling: float, unix: float
) -> ClockReading:
    """Return the reading that an answer gives.

    Parameters
    ----------
    sent, received : float
        Times of the call and of its answer on this machine's steady clock.
    handling : float
        Seconds from the call's arrival to the reading of the other clock.
    unix : float
        What the other clock said as the answer was sent.
    """
    return ClockReading(
        name,
        unix - answered_at(sent, received, handling),
        way_seconds(sent, received, handling),
    )


def answered_at(sent: float, received: float, handling: float) -> float:
    """Return when an answer was sent, on this machine's steady clock."""
    return received - way_seconds(sent, received, handling)


def way_seconds(sent: float, received: float, handling: float) -> float:
    """Return the time that a call took on the way there, or its answer back."""
    return max(0.0, received - sent - handling) / 2


def agreed_offset(readings: Iterable[ClockReading]) -> float | None:
    """Return the true time less this machine's steady clock; ``None`` without any."""
    offsets = [one.offset for one in readings]
    return statistics.median_low(offsets) if offsets else None
