"""Slot tables: which side owns an idempotency key or a Lot.

A service has one table, a single document of the key-value service changed by
compare-and-swap only. A key hashes to a slot; the slot names its owner side and an
epoch that rises whenever the ownership changes. A caller of an owner names the
epoch, and an owner refuses another one, so two owners are never used at once.

The functions below are pure: each takes a table and returns the changed one, or
``None`` where nothing is to be changed. Running them again on a fresh reading is
harmless, so a write whose answer was lost is settled by reading.

Changes
-------
- A side that starts claims its slots under its new incarnation: `claim`. What an
  earlier incarnation knew is lost.
- A side that stops hands its slots over with their records: `hand_over`. If that
  does not come off it takes them up again at a higher epoch: `claim`.
- Slots of a VM that is gone move in two steps: `move` names the next owner, and
  once every live entry has the moved table (or has fenced itself) `confirm` lets
  that owner begin. Before that, an entry might still send work to the old owner.

Examples
--------
>>> table = create("desk", ["side-1", "side-2"], 4)
>>> table = claim(table, "side-1", "i1")
>>> table = move(table, {"side-1"}, ["side-2"])
>>> owned(table, "side-2", "i2")
()
>>> table = claim(confirm(table), "side-2", "i2")
>>> len(owned(table, "side-2", "i2"))
4
"""

import re
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from wigeonfront.coordination.rendezvous import owner as rendezvous_owner
from wigeonfront.messages import Count, Message, Name

PREFIX = "slots/"
FEWEST_SLOTS = 64
MOST_SLOTS = 4096
SLOTS_PER_SIDE = 4

_MINTED = re.compile(r"(?P<stem>.*wf1-[0-9a-f]{32})~(?P<epoch>\d{1,18})")


class Slot(Message, frozen=True, kw_only=True):
    """One slot.

    Attributes
    ----------
    owner : str
        The side that owns it.
    epoch : int
        Rises with each change of owner or incarnation.
    incarnation : str
        Incarnation of the owner that claimed it; empty before.
    moving : bool
        The owner may not begin yet.
    lost_before : int
        Keys minted at an epoch below this one may have lost their records.
    """

    owner: Name
    epoch: Count = 1
    incarnation: str = ""
    moving: bool = False
    lost_before: Count = 0


class SlotTable(Message, frozen=True, kw_only=True):
    """The slots of one service."""

    service: Name
    slots: list[Slot]

    def slot_of(self, key: str) -> int:
        """Return the slot of `key`."""
        return slot_of(key, len(self.slots))


@dataclass(frozen=True, slots=True)
class OwnedSlot:
    """A slot that a side may serve."""

    slot: int
    epoch: int
    lost_before: int


@dataclass(frozen=True, slots=True)
class Heir:
    """The next owner of a sealed slot, which holds its records for `epoch`."""

    side: str
    incarnation: str
    epoch: int


def slot_of(key: str, count: int) -> int:
    """Return the slot of `key` among `count`; a minted key's epoch isn't hashed."""
    minted = _MINTED.fullmatch(key)
    stem = minted["stem"] if minted else key
    return int.from_bytes(blake2b(stem.encode(), digest_size=8).digest()) % count


def mint(prefix: str, unique: str, table: SlotTable) -> str:
    """Return a key that carries the epoch of its slot.

    Parameters
    ----------
    prefix : str
        Put before the key by whoever uses it, and part of the hash.
    unique : str
        32 hexadecimal digits, never used before.
    """
    stem = f"wf1-{unique}"
    slot = table.slot_of(f"{prefix}{stem}~0")
    return f"{stem}~{table.slots[slot].epoch}"


def minted_epoch(key: str) -> int | None:
    """Return the epoch that a minted key carries, or ``None``."""
    minted = _MINTED.fullmatch(key)
    return int(minted["epoch"]) if minted else None


def count_for(sides: int) -> int:
    """Return how many slots a service of `sides` sides gets, a power of two."""
    wanted = max(FEWEST_SLOTS, SLOTS_PER_SIDE * sides)
    return min(MOST_SLOTS, 1 << (wanted - 1).bit_length())


def create(service: str, sides: Collection[str], count: int) -> SlotTable:
    """Return a first table, with the slots spread over `sides`."""
    names = sorted(sides)
    slots = [Slot(owner=names[index % len(names)]) for index in range(count)]
    return SlotTable(service=service, slots=slots)


def owned(table: SlotTable, side: str, incarnation: str) -> tuple[OwnedSlot, ...]:
    """Return the slots that this incarnation of `side` may serve."""
    return tuple(
        OwnedSlot(index, slot.epoch, slot.lost_before)
        for index, slot in enumerate(table.slots)
        if slot.owner == side and slot.incarnation == incarnation and not slot.moving
    )


def claim(
    table: SlotTable,
    side: str,
    incarnation: str,
    sealed: Mapping[int, int] | None = None,
) -> SlotTable | None:
    """Take the slots of `side` under a new incarnation, and sealed ones again.

    Parameters
    ----------
    sealed : mapping of int to int, optional
        Slots that this incarnation has sealed, at which epochs. Their records may
        lie with a next owner, so that only a higher epoch makes those worthless.
    """
    given = sealed or {}

    def claimed(index: int, slot: Slot) -> Slot:
        if slot.owner != side or slot.moving:
            return slot
        epoch = slot.epoch + 1
        if slot.incarnation == incarnation:
            again = given.get(index) == slot.epoch
            return msgspec.structs.replace(slot, epoch=epoch) if again else slot
        lost = epoch if slot.incarnation else slot.lost_before
        return Slot(owner=side, epoch=epoch, incarnation=incarnation, lost_before=lost)

    return _changed(table, claimed)


def hand_over(
    table: SlotTable, side: str, incarnation: str, heirs: Mapping[int, Heir]
) -> SlotTable | None:
    """Give sealed slots to their next owners, who hold the records already."""

    def handed(index: int, slot: Slot) -> Slot:
        heir = heirs.get(index)
        mine = slot.owner == side and slot.incarnation == incarnation
        if not mine or heir is None or heir.epoch != slot.epoch + 1:
            return slot
        return msgspec.structs.replace(
            slot, owner=heir.side, incarnation=heir.incarnation, epoch=heir.epoch
        )

    return _changed(table, handed)


def move(
    table: SlotTable, gone: Collection[str], live: Collection[str]
) -> SlotTable | None:
    """Name next owners for slots of sides that are gone; they don't begin yet."""

    def moved(index: int, slot: Slot) -> Slot:
        if slot.owner not in gone or not live:
            return slot
        name = next_owner(table.service, index, live)
        epoch = slot.epoch + 1
        lost = epoch if slot.incarnation else slot.lost_before
        return Slot(owner=name, epoch=epoch, moving=True, lost_before=lost)

    return _changed(table, moved)


def next_owner(service: str, slot: int, live: Collection[str]) -> str:
    """Return the side among `live`, not empty, that takes over a slot."""
    return rendezvous_owner(f"{service}/{slot}", live)


def confirm(table: SlotTable) -> SlotTable | None:
    """Let the next owners begin: the moved table is in force at every entry."""
    return _changed(
        table, lambda index, slot: msgspec.structs.replace(slot, moving=False)
    )


def owners(table: SlotTable) -> set[str]:
    """Return the sides that own a slot."""
    return {slot.owner for slot in table.slots}


def decode(value: bytes) -> SlotTable | None:
    """Return the table that a row of the key-value service holds."""
    try:
        table = msgspec.json.decode(value, type=SlotTable)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return table if table.slots else None


def encode(table: SlotTable) -> bytes:
    """Return `table` as a row's value."""
    return msgspec.json.encode(table)


def _changed(table: SlotTable, change) -> SlotTable | None:
    slots: Iterable[Slot] = table.slots
    changed = [change(index, slot) for index, slot in enumerate(slots)]
    if changed == table.slots:
        return None
    return SlotTable(service=table.service, slots=changed)
