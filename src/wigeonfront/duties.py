"""Duties towards the platform that one machine at a time performs for the deployment.

Also the outcomes of the calls to the platform that a duty makes.
"""

import enum
from dataclasses import dataclass


class Duty(enum.Enum):
    """A duty that one machine at a time performs for the whole deployment."""

    USAGE = "usage"
    """Report how many requests of each client account have started."""

    SCALING = "scaling"
    """Order the number of targets of each service."""


@dataclass(frozen=True, slots=True)
class Taken:
    """The platform has accepted the call."""


@dataclass(frozen=True, slots=True)
class NotTaken:
    """The platform is not known to have accepted the call.

    It may have done so, therefore the caller must repeat the call unchanged.

    Attributes
    ----------
    reason : str
    """

    reason: str


DutyOutcome = Taken | NotTaken
