"""The time of day that most machines agree on, where single clocks may be wrong.

The time of day of a machine may jump, while its steady clock, which counts from the
start of the machine, does not. A reading of the time of day of another machine
therefore gives an offset from the steady clock of this machine. The median of the
offsets is right as long as fewer than half of the clocks are wrong [1]_.

References
----------
.. [1] F. Cristian, "Probabilistic clock synchronization", Distributed Computing 3,
   1989: a remote clock is read to within half of the round-trip time.

Examples
--------
>>> readings = [reading_from_call("a", 100.0, 100.0, 0.0, 5_000.0)]
>>> readings += [reading_from_call("b", 100.0, 100.002, 0.0, 5_000.001)]
>>> readings += [reading_from_call("c", 100.0, 100.0, 0.0, 5_002.0)]
>>> round(agreed_offset(readings), 6)
4900.0
>>> agreed_offset([]) is None
True
"""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of the time of day of one machine.

    Attributes
    ----------
    name : str
        Name of the machine.
    offset : float
        Its Unix time minus the steady clock of this machine, in seconds.
    error : float
        Upper bound of the error of the offset, in seconds.
    """

    name: str
    offset: float
    error: float


def reading_from_call(
    name: str, sent: float, received: float, handling: float, unix: float
) -> ClockReading:
    """Return the reading that the answer to a call gives.

    Parameters
    ----------
    name : str
        Name of the machine that answered.
    sent, received : float
        Times of the call and of its answer on the steady clock of this machine.
    handling : float
        Time from the arrival of the call to the reading of the other clock, in seconds.
    unix : float
        Unix time on the clock of the other machine when it sent the answer.
    """
    return ClockReading(
        name,
        unix - answered_at(sent, received, handling),
        one_way_seconds(sent, received, handling),
    )


def answered_at(sent: float, received: float, handling: float) -> float:
    """Return when an answer was sent, on the steady clock of this machine."""
    return received - one_way_seconds(sent, received, handling)


def one_way_seconds(sent: float, received: float, handling: float) -> float:
    """Return the estimated one-way latency: half of the network time of a call."""
    return max(0.0, received - sent - handling) / 2


def agreed_offset(readings: Iterable[ClockReading]) -> float | None:
    """Return the agreed Unix time minus the steady clock of this machine, in seconds.

    ``None`` without readings.
    """
    offsets = [reading.offset for reading in readings]
    return statistics.median_low(offsets) if offsets else None
