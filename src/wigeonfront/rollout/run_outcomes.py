"""How a run of a sample ends, and what that says of its engine."""

from dataclasses import dataclass
from functools import singledispatch

from wigeonfront.targets.circuit import Evidence


@dataclass(frozen=True, slots=True)
class RunCompleted:
    """The engine has generated the whole sample."""


@dataclass(frozen=True, slots=True)
class RunRefused:
    """The engine did not run it.

    Attributes
    ----------
    reason : str
    reached : bool
        The engine, or another incarnation of it, answered.
    replaced : bool
        It was another incarnation.
    """

    reason: str
    reached: bool
    replaced: bool = False


@dataclass(frozen=True, slots=True)
class RunBroken:
    """The run ended early; what it generated is in the text."""

    reason: str


@dataclass(frozen=True, slots=True)
class RunSilent:
    """No event came in time.

    Attributes
    ----------
    full : bool
        All places of the engine were taken, so the run may only have waited.
    """

    full: bool = False


@dataclass(frozen=True, slots=True)
class RunFailed:
    """The engine answered with an error, which counts as an attempt."""

    status: int


@dataclass(frozen=True, slots=True)
class RunImpossible:
    """The engine says that the sample can never be generated."""


@dataclass(frozen=True, slots=True)
class RunTooOld:
    """The engine's weights do not fit the Lot's bounds."""

    version: int


@dataclass(frozen=True, slots=True)
class RunQuarantined:
    """The sample was not sent, as it crashes engines.

    Attributes
    ----------
    seconds : float
        Time until it may be sent.
    """

    seconds: float


@dataclass(frozen=True, slots=True)
class RunMoved:
    """The run was ended here to go on at another engine."""


@dataclass(frozen=True, slots=True)
class RunCancelled:
    """The run was ended because nobody wants its sample any more."""


RunOutcome = (
    RunCompleted
    | RunRefused
    | RunBroken
    | RunSilent
    | RunFailed
    | RunImpossible
    | RunTooOld
    | RunQuarantined
    | RunMoved
    | RunCancelled
)


@singledispatch
def evidence(outcome: RunOutcome) -> Evidence:
    """Return what the end of a run says about the health of its engine."""
    return "success"


@evidence.register
def _(outcome: RunRefused) -> Evidence:
    return "none" if outcome.reached else "failure"


@evidence.register
def _(outcome: RunBroken) -> Evidence:
    return "failure"


@evidence.register
def _(outcome: RunSilent) -> Evidence:
    return "none" if outcome.full else "failure"


@evidence.register
def _(outcome: RunFailed) -> Evidence:
    return "failure"


@evidence.register(RunQuarantined)
@evidence.register(RunMoved)
@evidence.register(RunCancelled)
def _(outcome: RunQuarantined | RunMoved | RunCancelled) -> Evidence:
    return "none"


@singledispatch
def detail(outcome: RunOutcome) -> object:
    """Return what a log line tells of an outcome beside its name."""
    return ""


@detail.register
def _(outcome: RunRefused) -> object:
    return outcome.reason


@detail.register
def _(outcome: RunBroken) -> object:
    return outcome.reason


@detail.register
def _(outcome: RunFailed) -> object:
    return outcome.status


@detail.register
def _(outcome: RunTooOld) -> object:
    return outcome.version


@detail.register
def _(outcome: RunQuarantined) -> object:
    return outcome.seconds
