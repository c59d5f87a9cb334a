"""The Lot that a trainer submits, and the outcomes of its submission."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from wigeonfront.client.refusal import CallRejected
from wigeonfront.outcomes import Completed, GivenUp

# --- submission ----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RewardCall:
    """The request that scores a sample once its text is complete.

    Attributes
    ----------
    route : str
        Name of the route in the configuration.
    path : str
        Path below the route's prefix.
    payload : Any
        JSON data that the target gets.
    """

    route: str
    path: str = ""
    payload: Any = None


@dataclass(frozen=True, slots=True)
class Sample:
    """One sample of a Lot.

    Attributes
    ----------
    sample : str
        Name of the sample, unique within the Lot.
    payload : Any
        JSON data that the engine gets.
    group : str
        Name of the sample's group. Samples of one group share a prompt and count only
        together; empty if the sample is a group by itself.
    max_tokens : int
        Expected upper bound of the number of generated tokens; 0 if unknown.
    reward_call : RewardCall or None
        Request that scores the sample; ``None`` if the sample needs no score.
    """

    sample: str
    payload: Any = None
    group: str = ""
    max_tokens: int = 0
    reward_call: RewardCall | None = None


@dataclass(frozen=True, slots=True)
class Lot:
    """A Lot to submit.

    Attributes
    ----------
    lot : str
        Name of the Lot, which this trainer uses only once.
    route : str
        Name of the route in the configuration.
    model : str
    version : int
        Current weight version of the trainer.
    samples : tuple of Sample
    bound : int
        Number of versions by which a sample's weights may be older than `version`.
    wanted_groups : int
        Number of groups that the trainer waits for; 0 for all.
    """

    lot: str
    route: str
    model: str
    version: int
    samples: tuple[Sample, ...]
    bound: int = 0
    wanted_groups: int = 0

    @property
    def groups(self) -> dict[str, list[str]]:
        """Names of the samples of each group."""
        groups: dict[str, list[str]] = {}
        for sample in self.samples:
            groups.setdefault(sample.group or sample.sample, []).append(sample.sample)
        return groups


# --- outcomes ------------------------------------------------------------------

SampleOutcome = Completed | GivenUp


@dataclass(frozen=True, slots=True)
class LotProgress:
    """The progress of a Lot.

    Attributes
    ----------
    finished : int
        Number of samples with a result.
    total : int
        Number of samples.
    """

    finished: int
    total: int


@dataclass(frozen=True, slots=True)
class LotAnswered:
    """The results of the wanted groups are complete.

    Acknowledge the Lot once its results are stored safely.

    Attributes
    ----------
    outcomes : dict of str to Completed or GivenUp
        Outcomes by the name of the sample; they may lack samples of other groups if the
        Lot has `wanted_groups`.
    entry : str
        Address of the entry that answered last.
    """

    outcomes: Mapping[str, SampleOutcome]
    entry: str


@dataclass(frozen=True, slots=True)
class LotAlreadyDelivered:
    """The Lot was acknowledged earlier; its results are not delivered again."""


@dataclass(frozen=True, slots=True)
class LotExpired:
    """The deadline passed before the wanted groups were complete.

    The entries keep the Lot; submitting it again continues it.

    Attributes
    ----------
    reason : str
        How the last call ended.
    missing : int
        Number of samples whose results have not been read.
    """

    reason: str
    missing: int


@dataclass(frozen=True, slots=True)
class LotUnreached:
    """No entry was reached before the deadline.

    Attributes
    ----------
    reason : str
        How the last call ended.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class LotRefused:
    """The Lot was refused, and the deadline leaves no time for a retry.

    Attributes
    ----------
    reason : str
    retry_after : float
        Seconds after which the trainer may retry.
    """

    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The Lot is acknowledged."""


@dataclass(frozen=True, slots=True)
class AcknowledgementUnknown:
    """No entry confirmed the acknowledgement in time; repeating it is safe.

    Attributes
    ----------
    reason : str
        How the last call ended.
    """

    reason: str


LotOutcome = (
    LotAnswered
    | LotAlreadyDelivered
    | LotExpired
    | LotRefused
    | LotUnreached
    | CallRejected
)
