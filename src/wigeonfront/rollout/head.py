"""The head row of a Lot: who owns it, and whether it was ended."""

import enum
from dataclasses import dataclass

import msgspec

from wigeonfront.coordination.rows import Row
from wigeonfront.spool import SpoolMember

HEAD_PREFIX = "live/lot/"


class LotState(enum.Enum):
    """Whether a Lot still runs."""

    OPEN = "open"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Head:
    """The head row of a Lot.

    Attributes
    ----------
    owner : str
        Incarnation of the entry that runs it.
    state : LotState
    total : int
        Number of samples.
    parts : int
        Rows that hold the samples.
    submitted_at : float
        Unix time in seconds.
    revision : int
        Of the row; not stored in it.
    spools : tuple of SpoolMember
        Disks that may hold results which the store did not take.
    """

    owner: str
    state: LotState
    total: int
    parts: int = 1
    submitted_at: float = 0.0
    revision: int = 0
    spools: tuple[SpoolMember, ...] = ()


def encode_head(head: Head) -> bytes:
    """Return the value of a head row."""
    return msgspec.json.encode(_HeadRow.of(head))


def decode_head(row: Row) -> Head | None:
    """Return the head that a row holds, or ``None`` where it is malformed."""
    try:
        wire = msgspec.json.decode(row.value, type=_HeadRow)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return Head(
        wire.owner,
        wire.state,
        wire.total,
        wire.parts,
        wire.submitted_at,
        row.revision,
        wire.spools,
    )


class _HeadRow(msgspec.Struct):
    owner: str
    state: LotState
    total: int
    parts: int
    submitted_at: float
    spools: tuple[SpoolMember, ...] = ()

    @classmethod
    def of(cls, head: Head) -> "_HeadRow":
        return cls(
            head.owner,
            head.state,
            head.total,
            head.parts,
            head.submitted_at,
            head.spools,
        )


def head_key(lot_id: str) -> str:
    """Return the key of a Lot's head row."""
    return HEAD_PREFIX + lot_id
