"""The data types of Lots, their samples and their results."""

from dataclasses import dataclass, field

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RewardCall:
    """The idempotent request that scores a sample once its text is whole.

    Attributes
    ----------
    id : str
        Id of the request. A score is valid only for the call with this id.
    host, path : str
        Host and request target, which select the route.
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
        Headers that are sent to the engine.
    body : bytes
    group : str
        Name of the sample's group. Samples of one group share their prompt and count
        only together.
    model : str
        Model that generates the sample's text.
    expected_tokens : int
        The trainer's estimate of the number of generated tokens; 0 if it gave none.
    reward_call : RewardCall or None
        Request for the score, without which the sample is not completed; ``None`` if
        the sample needs no score.
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
    """A batch of samples that a trainer submitted for one training step.

    Attributes
    ----------
    id : str
    host, prefix : str
        Host and path prefix of the route by which the Lot was submitted.
    samples : tuple of Sample
    model : str
    min_version : int
        Oldest weight version that may generate the samples; 0 for any.
    target_groups : int
        Number of groups that the trainer waits for; 0 for all.
    submitted_at : float
        Unix time of the first submission in seconds, by the clock of the VM that
        accepted it. The clocks of other VMs differ, and clocks may jump.
    due_seconds : float
        Time from the submission until the results are due.
    give_up_seconds : float
        Time from the submission after which samples are given up.
    max_attempts : int
        Number of failed attempts after which a sample is given up.
    single_version : bool
        Whether each sample must come from a single weight version.
    account : str
        Client account that submitted the Lot; empty for none.
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

    @property
    def body_bytes(self) -> int:
        """Bytes of the bodies of all samples."""
        return sum(len(sample.body) for sample in self.samples)


@dataclass(frozen=True, slots=True)
class SampleResult:
    """The result of a sample. It has a fixed position in its Lot.

    Attributes
    ----------
    id : str
        Id of the sample.
    completed : bool
        ``False`` if the sample was given up.
    text : bytes
        Data of all events, separated by line feeds.
    versions : tuple of int
        Weight versions that generated the events.
    score : str
        Score from the sample's reward call; empty if the sample has none.
    """

    id: str
    completed: bool
    text: bytes = field(default=b"", repr=False)
    versions: tuple[int, ...] = ()
    score: str = ""
