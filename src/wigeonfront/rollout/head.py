"""The head row of a Lot, which names the owner and says whether the Lot was ended."""

import enum
from dataclasses import dataclass

import msgspec

from wigeonfront.coordination.rows import Row
from wigeonfront.spool import SpoolMember

HEAD_PREFIX = "live/lot/"


class LotState(enum.Enum):
    """Whether a Lot is open or was ended."""

    OPEN = "open"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Head:
    """The head row of a Lot.

    Attributes
    ----------
    owner : str
        Incarnation of the entry that runs the Lot; empty while none does.
    state : LotState
    total : int
        Number of samples.
    parts : int
        Number of rows that hold the samples.
    submitted_at : float
        Unix time of the submission in seconds.
    revision : int
        Revision of the row. It is not part of the row's value.
    spools : tuple of SpoolMember
        Disks that may hold results which the store has not accepted.
    digest : str
        Digest in the keys of the rows that hold the samples; empty if there is none.
    """

    owner: str
    state: LotState
    total: int
    parts: int = 1
    submitted_at: float = 0.0
    revision: int = 0
    spools: tuple[SpoolMember, ...] = ()
    digest: str = ""


def encode_head(head: Head) -> bytes:
    """Return the value of a head row."""
    return msgspec.json.encode(_HeadRow.of(head))


def decode_head(row: Row) -> Head | None:
    """Return the head that a row holds, or ``None`` if the row is malformed."""
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
        wire.digest,
    )


class _HeadRow(msgspec.Struct, omit_defaults=True):
    """The value of a head row, encoded as JSON."""

    owner: str
    state: LotState
    total: int
    parts: int
    submitted_at: float
    spools: tuple[SpoolMember, ...] = ()
    digest: str = ""

    @classmethod
    def of(cls, head: Head) -> "_HeadRow":
        return cls(
            head.owner,
            head.state,
            head.total,
            head.parts,
            head.submitted_at,
            head.spools,
            head.digest,
        )


def head_key(lot_id: str) -> str:
    """Return the key of the head row of a Lot."""
    return HEAD_PREFIX + lot_id
