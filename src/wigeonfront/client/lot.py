"""What a trainer submits, and how its submission ends."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from wigeonfront.client.refusal import CallRejected
from wigeonfront.outcomes import Outcome

# --- what is asked -----------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Sample:
    """One sample of a Lot.

    Attributes
    ----------
    sample : str
        Identifier, unique within the Lot.
    payload : Any
        JSON data handed to the engine.
    group : str
        Samples of a group share a prompt.
    max_tokens : int
        Most tokens to generate.
    """

    sample: str
    payload: Any = None
    group: str = ""
    max_tokens: int = 64


@dataclass(frozen=True, slots=True)
class Lot:
    """A Lot to submit.

    Attributes
    ----------
    lot : str
        Identifier, never used again by this trainer.
    service, catalogue_entry : str
        Where the samples run and on whose account.
    version : int
        The trainer's present weight version.
    samples : tuple of Sample
    bound : int
        How many versions older than `version` a sample's weights may be.
    first_submission : int
        Number of the first POST. A trainer that has restarted and submits the
        same Lot again gives a number above all that it used before.
    """

    lot: str
    service: str
    catalogue_entry: str
    version: int
    samples: tuple[Sample, ...]
    bound: int = 0
    first_submission: int = 1


# --- how it ends -------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class LotAnswered:
    """The whole Lot is here; acknowledge it once it is safe.

    Attributes
    ----------
    outcomes : dict of str to Outcome
        The outcome of every sample.
    submission : int
        The POST that was answered.
    entry : str
        Address of the entry that answered.
    """

    outcomes: Mapping[str, Outcome]
    submission: int
    entry: str


@dataclass(frozen=True, slots=True)
class LotAlreadyDelivered:
    """The Lot was acknowledged before; nothing is delivered again."""


@dataclass(frozen=True, slots=True)
class LotSuperseded:
    """Somebody posted the same Lot with a higher submission."""

    submission: int


@dataclass(frozen=True, slots=True)
class LotExpired:
    """The deadline passed; finished samples are kept for a later submission.

    Attributes
    ----------
    reason : str
        How the last POST ended.
    missing : int
        Samples that were not finished, as far as an entry said so.
    submissions : int
        Number of the last POST; a later submission takes a higher one.
    """

    reason: str
    missing: int
    submissions: int


@dataclass(frozen=True, slots=True)
class LotUnreached:
    """No entry was reached before the deadline: no POST of the Lot has arrived.

    Attributes
    ----------
    reason : str
        How the last try ended.
    submissions : int
        Number of the last POST.
    """

    reason: str
    submissions: int


@dataclass(frozen=True, slots=True)
class LotRefused:
    """The Lot was refused and the deadline leaves no time for another try.

    Attributes
    ----------
    reason : str
    retry_after : float
        Seconds after which to come back.
    submissions : int
        Number of the last POST.
    """

    reason: str
    retry_after: float
    submissions: int


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The Lot is acknowledged."""


@dataclass(frozen=True, slots=True)
class AcknowledgementUnknown:
    """No entry confirmed in time; acknowledging again is safe."""

    reason: str


LotOutcome = (
    LotAnswered
    | LotAlreadyDelivered
    | LotSuperseded
    | LotExpired
    | LotUnreached
    | LotRefused
    | CallRejected
)
