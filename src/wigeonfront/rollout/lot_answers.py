"""Answers to the calls about Lots."""

from dataclasses import dataclass

from wigeonfront.rollout.lot import SampleResult

RETRY_SECONDS = 0.3
"""Time after which a call is repeated that could not be answered for the moment."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The Lot is accepted.

    Attributes
    ----------
    already_kept : bool
        Whether the store had the Lot already, though this process did not know of it.
    """

    already_kept: bool = False


@dataclass(frozen=True, slots=True)
class LotRefused:
    """The Lot was not stored, and none of its samples will run.

    Attributes
    ----------
    reason : str
    retry_after : float
        Seconds after which the trainer may submit the Lot again.
    for_capacity : bool
        Whether the engines can't serve the Lot at present. Another entry would refuse
        it as well.
    """

    reason: str
    retry_after: float = RETRY_SECONDS
    for_capacity: bool = False


@dataclass(frozen=True, slots=True)
class LotUncertain:
    """It is unknown whether the Lot was stored."""

    reason: str


@dataclass(frozen=True, slots=True)
class LotPage:
    """Results of a Lot from a requested position on.

    Attributes
    ----------
    total : int
        Number of samples.
    results : list of SampleResult
    """

    total: int
    results: list[SampleResult]


@dataclass(frozen=True, slots=True)
class LotUnknown:
    """There is no such Lot, or it has no such sample."""


@dataclass(frozen=True, slots=True)
class LotUnavailable:
    """The process can't answer for the Lot at present, because of `reason`."""

    reason: str
