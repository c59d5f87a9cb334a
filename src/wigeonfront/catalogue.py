"""The catalogue: which owner may draw on which services, how urgently, how much.

An entry is one row of the key-value service, ``catalogue/<name>``. `check` tells
whether a row may be put in force.
"""

from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from wigeonfront.coordination.settled import WRITER
from wigeonfront.messages import Count, Message, Name, WorkClass

PREFIX = "catalogue/"
DEFAULT_WAVE = 0.34


class Limits(Message, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How much may be drawn; a limit left out does not apply.

    Attributes
    ----------
    rate : float
        Requests or samples a second, over all entry processes together.
    concurrency : int
        Requests or samples in progress at once, over all entry processes.
    share : float
        Largest share of a service's capacity, above 0 and at most 1.
    """

    rate: Annotated[float, msgspec.Meta(gt=0)] | None = None
    concurrency: Annotated[int, msgspec.Meta(ge=1)] | None = None
    share: Annotated[float, msgspec.Meta(gt=0, le=1)] | None = None


class CatalogueEntry(Message, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One catalogue entry.

    Attributes
    ----------
    owner : str
        Who answers for the entry.
    work_class : {"interactive", "booking", "rollout"}
        How urgent its work is; ``class`` in JSON.
    services : list of str
        Services that it may draw on.
    limits : Limits
    weight : float
        Weight in the fair share among trainers.
    bound : int or None
        Most versions by which a sample's weights may be behind, whatever the
        trainer asks; ``None`` leaves it to the trainer.
    wave : float
        Share of a service's engines that may load weights at once.
    enabled : bool
        ``False`` refuses all new work of the entry.
    writer : str
        Identifier of the write, set by the entry that takes the edit.
    """

    owner: Name
    work_class: WorkClass = msgspec.field(name="class")
    services: Annotated[list[Name], msgspec.Meta(min_length=1)]
    limits: Limits = Limits()
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    bound: Count | None = None
    wave: Annotated[float, msgspec.Meta(gt=0, le=1)] = DEFAULT_WAVE
    enabled: bool = True
    writer: str = ""


@dataclass(frozen=True, slots=True)
class BadRow:
    """A row that can't be put in force, and why."""

    reason: str


def check(row: bytes) -> CatalogueEntry | BadRow:
    """Return the entry that `row` holds, or why it holds none."""
    try:
        entry = msgspec.json.decode(row, type=CatalogueEntry)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return BadRow(str(error))
    if len(set(entry.services)) != len(entry.services):
        return BadRow("services names one twice - at `$.services`")
    return entry


def plain(row: bytes | None) -> Any:
    """Return a row as JSON data without its writer; ``None`` for no row."""
    if row is None:
        return None
    data = msgspec.json.decode(row)
    if isinstance(data, dict):
        data.pop(WRITER, None)
    return data
