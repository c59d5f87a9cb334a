"""The outcomes of a run of a sample, and what they say about the engine's health."""

from dataclasses import dataclass
from functools import singledispatch

from wigeonfront.targets.circuit import Evidence


@dataclass(frozen=True, slots=True)
class RunCompleted:
    """The engine has generated the whole sample."""


@dataclass(frozen=True, slots=True)
class RunRefused:
    """The engine did not run the sample.

    Attributes
    ----------
    reason : str
    reached : bool
        The engine, or another incarnation of it, answered.
    replaced : bool
        Another incarnation answered.
    """

    reason: str
    reached: bool
    replaced: bool = False


@dataclass(frozen=True, slots=True)
class RunBroken:
    """The run ended early; the sample's text holds what the run generated."""

    reason: str


@dataclass(frozen=True, slots=True)
class RunSilent:
    """The first event did not arrive before its timeout.

    Attributes
    ----------
    full : bool
        All slots of the engine were taken, so that the run may only have waited.
    """

    full: bool = False


@dataclass(frozen=True, slots=True)
class RunFailed:
    """The engine answered with an error, which counts as a failed attempt."""

    status: int


@dataclass(frozen=True, slots=True)
class RunImpossible:
    """The engine answered that the sample can never be generated."""


@dataclass(frozen=True, slots=True)
class RunTooOld:
    """The version of the engine's weights does not fit the bounds of the Lot."""

    version: int


@dataclass(frozen=True, slots=True)
class RunQuarantined:
    """The sample was not sent, as it is suspected of crashing engines.

    Attributes
    ----------
    seconds : float
        Time until it may be sent.
    isolated : bool
        It must then run apart from other samples.
    """

    seconds: float
    isolated: bool = False


@dataclass(frozen=True, slots=True)
class RunMoved:
    """The run was ended in order to be continued on another engine."""


@dataclass(frozen=True, slots=True)
class RunCancelled:
    """The run was ended because its sample is no longer needed."""


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
    """Return what the outcome of a run says about the health of its engine."""
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
    """Return the detail of an outcome that log lines give beside its name."""
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
