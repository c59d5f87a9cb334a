"""Fencing numbers: a later process of the same name has a higher one.

The number is the revision of a write by compare-and-swap, so it needs no counter
of its own and never comes twice.

Examples
--------
>>> from wigeonfront.platform.memory import MemoryKeyValue
>>> key_value = MemoryKeyValue()
>>> take_fencing_number(key_value, "side-1")
FencingNumber(number=1)
>>> take_fencing_number(key_value, "side-1")
FencingNumber(number=2)
"""

from dataclasses import dataclass

from wigeonfront.coordination.settled import settled_put
from wigeonfront.platform import Conflict, KeyValue, Row, Stored, Unavailable, Uncertain

FENCING_PREFIX = "fencing/"


@dataclass(frozen=True, slots=True)
class FencingNumber:
    """A number that no other process has had and no earlier one exceeds."""

    number: int


def take_fencing_number(
    key_value: KeyValue, name: str
) -> FencingNumber | Conflict | Unavailable | Uncertain:
    """Take a number for the process `name`.

    Returns
    -------
    FencingNumber
        To be sent with each order. Anything else: there is no number yet, the
        process gives no orders, and it tries again later.
    """
    key = FENCING_PREFIX + name
    row = key_value.get(key)
    if isinstance(row, Unavailable):
        return row
    expected = row.revision if isinstance(row, Row) else 0
    reply = settled_put(key_value, key, {"name": name}, expected, since=row.revision)
    return FencingNumber(reply.revision) if isinstance(reply, Stored) else reply
