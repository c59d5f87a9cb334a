"""Lots, their samples and results, as data."""

from dataclasses import dataclass, field

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RewardCall:
    """The request that scores a sample once its text is whole; it may be repeated.

    Attributes
    ----------
    id : str
        Of the request; a score belongs to the call with this id alone.
    host, path : str
        They select the route; `path` is the request target.
    body : bytes
    """

    id: str
    host: str
    path: str
    body: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class Sample:
    """One request of a Lot.

    Attributes
    ----------
    id : str
    path : str
        Request target at the engine.
    headers : tuple of pairs
        Headers that the engine gets.
    body : bytes
    group : str
        Samples of one group share their prompt and count only together.
    model : str
        Model that generates it.
    expected_tokens : int
        The trainer's estimate of the tokens generated; 0 if it gave none.
    reward_call : RewardCall or None
        Gives the score without which the sample is not completed.
    """

    id: str
    path: str
    headers: Headers
    body: bytes = field(repr=False)
    group: str = ""
    model: str = ""
    expected_tokens: int = 0
    reward_call: RewardCall | None = None


@dataclass(frozen=True, slots=True)
class Lot:
    """A batch of samples that a trainer submitted for one step.

    Attributes
    ----------
    id : str
    host, prefix : str
        They name the route that the Lot came by.
    model : str
    min_version : int
        Oldest weights that may generate its samples; 0 for any.
    target_groups : int
        Groups that the trainer waits for; 0 for all.
    submitted_at : float
        Unix time of the first submission by the clock of the VM that took it, in
        seconds; clocks differ, and jump.
    due_seconds : float
        Time from the submission until the results are due.
    give_up_seconds : float
        Time from the submission after which samples are given up.
    max_attempts : int
        Failed attempts after which a sample is given up.
    single_version : bool
        A sample must come from one version.
    samples : tuple of Sample
    account : str
        Client account that submitted it; empty for none.
    """

    id: str
    host: str
    prefix: str
    samples: tuple[Sample, ...] = field(repr=False)
    model: str = ""
    min_version: int = 0
    target_groups: int = 0
    submitted_at: float = 0.0
    due_seconds: float = 0.0
    give_up_seconds: float = 0.0
    max_attempts: int = 1
    single_version: bool = False
    account: str = ""


@dataclass(frozen=True, slots=True)
class SampleResult:
    """What became of a sample, at a fixed position of its Lot.

    Attributes
    ----------
    id : str
    completed : bool
        ``False`` where the sample was given up.
    text : bytes
        Data of all events, separated by line feeds.
    versions : tuple of int
        Versions that generated the events.
    score : str
        What the sample's reward call gave; empty where it has none.
    """

    id: str
    completed: bool
    text: bytes = field(default=b"", repr=False)
    versions: tuple[int, ...] = ()
    score: str = ""
