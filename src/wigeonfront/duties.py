"""What one machine at a time does for all, at the platform, and how a call ended."""

import enum
from dataclasses import dataclass


class Duty(enum.Enum):
    """What one machine at a time does for all."""

    USAGE = "usage"
    """Reports how many requests of each client account began."""

    SCALING = "scaling"
    """Orders how many targets a service has."""


@dataclass(frozen=True, slots=True)
class Taken:
    """The platform has taken the call."""


@dataclass(frozen=True, slots=True)
class NotTaken:
    """The platform has not taken it, or may have: it must be sent again as it was.

    Attributes
    ----------
    reason : str
    """

    reason: str


DutyOutcome = Taken | NotTaken
