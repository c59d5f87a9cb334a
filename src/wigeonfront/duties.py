"""How a call that is the duty of one machine at a time ended."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Taken:
    """The platform has taken it."""


@dataclass(frozen=True, slots=True)
class NotTaken:
    """The platform has not taken it, or may have: it must be sent again as it was.

    Attributes
    ----------
    reason : str
    """

    reason: str


DutyOutcome = Taken | NotTaken
