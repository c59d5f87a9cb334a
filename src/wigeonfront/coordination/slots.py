"""Slot tables: which side owns which keys of a service, at which epoch.

A table is one document in the key-value service, changed only by compare-and-swap.
While that service is down the table is frozen, and nothing stops working. Every
change of a slot's owner, and every restart of an owner, raises the slot's epoch;
calls that name another epoch than the owner's are refused.

Changes
-------
- `SlotTables.claim`: a side that has started raises the epochs of its slots.
- `SlotTables.hand_over`: an owner that has sealed its slots, and whose records the
  next owner has, names that next owner.
- `SlotTables.begin_move`, then `SlotTables.complete_moves`: the slots of a side that
  is gone. The first change stops entries from sending; the second is made only
  once the first is in force, as the side may not be gone at all.

Examples
--------
>>> from wigeonfront.platform.memory import MemoryKeyValue
>>> tables = SlotTables(MemoryKeyValue(), "order-desk")
>>> edited = tables.create(["side-1", "side-2"], slots=8)
>>> edited.revision
1
>>> edited = tables.claim("side-1", "incarnation-1")
>>> table = edited.table
>>> {slot.owner for slot in table.slots} == {"side-1", "side-2"}
True
>>> key = mint_key(table, "builder/")
>>> parse_minted_epoch(key)
1
>>> table.slot_of(key) == table.slot_of(key.rpartition("-")[0])
True
"""

import re
import secrets
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from hashlib import blake2b

import msgspec

from wigeonfront.coordination.rendezvous import owner as rendezvous_owner
from wigeonfront.coordination.revisions import InForce
from wigeonfront.coordination.settled import settled_put
from wigeonfront.platform import (
    Absent,
    Conflict,
    KeyValue,
    Row,
    Stored,
    Unavailable,
    Uncertain,
)

SLOTS_PREFIX = "slots/"
DEFAULT_SLOTS = 256
EDIT_TRIES = 5
TOKEN_BYTES = 8
MINTED = re.compile(r"minted-[0-9a-f]{16}-(\d+)")


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """One slot of a table; an array on the wire, as there are many.

    Attributes
    ----------
    owner : str
        The side that keeps the records of the slot's keys.
    epoch : int
        Rises with each new owner and each restart of the owner.
    moving_to : str
        The next owner while a move is not complete, or empty. Nobody takes work
        of a moving slot.
    handover : str
        Identifier of the records that came with this epoch, or empty.
    """

    owner: str
    epoch: int = 1
    moving_to: str = ""
    handover: str = ""


class SlotTable(msgspec.Struct, frozen=True):
    """The slots of one service.

    Attributes
    ----------
    service : str
    slots : list of Slot
        Their number never changes.
    incarnations : dict
        Incarnation of each owner that has claimed its slots.
    """

    service: str
    slots: list[Slot]
    incarnations: dict[str, str] = {}

    def slot_of(self, key: str) -> int:
        """Return the slot of a key."""
        return slot_of(key, len(self.slots))

    def serving(self, key: str) -> Slot | None:
        """Return the slot of a key, or ``None`` while nobody may serve it."""
        slot = self.slots[self.slot_of(key)]
        if slot.moving_to or slot.owner not in self.incarnations:
            return None
        return slot

    def owned_by(self, side: str, incarnation: str) -> dict[int, Slot]:
        """Return the slots that this incarnation of a side is to serve."""
        if self.incarnations.get(side) != incarnation:
            return {}
        return {
            number: slot
            for number, slot in enumerate(self.slots)
            if slot.owner == side and not slot.moving_to
        }


@dataclass(frozen=True, slots=True)
class Edited:
    """The table as it is now. Also when it was so already and nothing written."""

    table: SlotTable
    revision: int


@dataclass(frozen=True, slots=True)
class EditRefused:
    """The change is not allowed on the table as it is."""

    reason: str


Edit = Callable[[SlotTable], SlotTable | EditRefused]


def slot_of(key: str, slots: int) -> int:
    """Return the slot of `key` among `slots`; a minted key's epoch doesn't count."""
    if parse_minted_epoch(key) is not None:
        key = key.rpartition("-")[0]
    digest = blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest) % slots


def mint_key(table: SlotTable, prefix: str = "", token: str = "") -> str:
    """Return a new key that carries the epoch of its slot.

    Parameters
    ----------
    table : SlotTable
    prefix : str
        Qualifies the key, such as by the caller; ends in ``/`` or is empty.
    token : str
        16 hexadecimal digits that no other key has; random by default.
    """
    stem = f"{prefix}minted-{token or secrets.token_hex(TOKEN_BYTES)}"
    epoch = table.slots[table.slot_of(f"{stem}-0")].epoch
    return f"{stem}-{epoch}"


def parse_minted_epoch(key: str) -> int | None:
    """Return the epoch that a minted key carries, or ``None`` for other keys."""
    found = MINTED.fullmatch(key.rpartition("/")[2])
    return int(found[1]) if found else None


class SlotTables:
    """Reads and changes the slot table of one service.

    Every method returns `Edited` when the table is as asked, or why it is not.

    Parameters
    ----------
    key_value : KeyValue
    service : str
    """

    def __init__(self, key_value: KeyValue, service: str) -> None:
        self._key_value = key_value
        self._service = service
        self._key = SLOTS_PREFIX + service

    def read(self) -> Edited | Absent | Unavailable:
        """Return the table."""
        row = self._key_value.get(self._key)
        return decode_table(row) if isinstance(row, Row) else row

    def create(
        self, sides: Iterable[str], slots: int = DEFAULT_SLOTS
    ) -> Edited | Conflict | Unavailable | Uncertain:
        """Create the table, dealt out by rendezvous, unless there is one."""
        names = sorted(sides)
        found = self.read()
        if not isinstance(found, Absent):
            return found
        dealt = [Slot(self._choose(number, names)) for number in range(slots)]
        table = SlotTable(self._service, dealt)
        return self._put(table, 0, found.revision)

    def claim(
        self, side: str, incarnation: str
    ) -> Edited | EditRefused | Conflict | Absent | Unavailable | Uncertain:
        """Enter the incarnation of an owner; raise the epochs if it had another."""
        return self._edit(partial(claimed, side=side, incarnation=incarnation))

    def hand_over(
        self, side: str, incarnation: str, next_owner: str, handovers: Mapping[int, str]
    ) -> Edited | EditRefused | Conflict | Absent | Unavailable | Uncertain:
        """Name the next owner of sealed slots.

        Parameters
        ----------
        side, incarnation : str
            The present owner.
        next_owner : str
        handovers : mapping
            For each slot the identifier of the records that `next_owner` has.
        """
        edit = partial(
            handed_over,
            side=side,
            incarnation=incarnation,
            next_owner=next_owner,
            handovers=handovers,
        )
        return self._edit(edit)

    def begin_move(
        self, gone: str, sides: Iterable[str]
    ) -> Edited | EditRefused | Conflict | Absent | Unavailable | Uncertain:
        """Stop the use of a gone side's slots and name their next owners."""
        names = sorted({*sides} - {gone})
        if not names:
            return EditRefused("no side is left")
        choose = partial(self._choose, names=names)
        return self._edit(partial(moving, gone=gone, choose=choose))

    def complete_moves(
        self, in_force: InForce
    ) -> Edited | EditRefused | Conflict | Absent | Unavailable | Uncertain:
        """Let the next owners of all moving slots start.

        Refused until every entry acknowledges the table in which they move, or
        has fenced itself.
        """
        found = self.read()
        if not isinstance(found, Edited):
            return found
        if not in_force.is_in_force(found.revision):
            return EditRefused("the move is not in force")
        table = moved(found.table)
        if table == found.table:
            return found
        return self._put(table, found.revision)

    def _choose(self, number: int, names: list[str]) -> str:
        return rendezvous_owner(f"{self._service}/{number}", names) or ""

    def _edit(
        self, edit: Edit
    ) -> Edited | EditRefused | Conflict | Absent | Unavailable | Uncertain:
        """Read, change and write; again from the start after a conflict."""
        reply: Conflict | Edited | Unavailable | Uncertain = Conflict(0)
        for _ in range(EDIT_TRIES):
            found = self.read()
            if not isinstance(found, Edited):
                return found
            table = edit(found.table)
            if isinstance(table, EditRefused):
                return table
            if table == found.table:
                return found
            reply = self._put(table, found.revision)
            if not isinstance(reply, Conflict):
                return reply
        return reply

    def _put(
        self, table: SlotTable, expected: int, since: int = 0
    ) -> Edited | Conflict | Unavailable | Uncertain:
        document = msgspec.to_builtins(table)
        reply = settled_put(self._key_value, self._key, document, expected, since=since)
        return Edited(table, reply.revision) if isinstance(reply, Stored) else reply


def decode_table(row: Row) -> Edited | Unavailable:
    """Return the table of a row, from the service or from a peer."""
    try:
        table = msgspec.json.decode(row.value, type=SlotTable)
    except msgspec.DecodeError as error:
        return Unavailable(f"malformed table: {error}")
    return Edited(table, row.revision)


def claimed(table: SlotTable, side: str, incarnation: str) -> SlotTable:
    """Return the table with the incarnation of an owner entered.

    The epochs of slots that an earlier incarnation had rise. A side without slots
    is not entered, which keeps the table small.
    """
    earlier = table.incarnations.get(side)
    if earlier == incarnation or side not in _owners(table.slots):
        return table
    slots = table.slots
    if earlier is not None:
        slots = [
            Slot(side, slot.epoch + 1, slot.moving_to) if slot.owner == side else slot
            for slot in slots
        ]
    return _table(table, slots, {side: incarnation})


def handed_over(
    table: SlotTable,
    side: str,
    incarnation: str,
    next_owner: str,
    handovers: Mapping[int, str],
) -> SlotTable | EditRefused:
    """Return the table with slots in the hands of their next owner."""
    slots = list(table.slots)
    owned = table.owned_by(side, incarnation)
    for number, handover in handovers.items():
        slot = slots[number]
        if slot.owner == next_owner and slot.handover == handover:
            continue
        if number not in owned:
            return EditRefused("not the owner")
        slots[number] = Slot(next_owner, slot.epoch + 1, "", handover)
    return _table(table, slots)


def moving(table: SlotTable, gone: str, choose: Callable[[int], str]) -> SlotTable:
    """Return the table with the slots of a gone side on their way to others."""
    slots = [
        Slot(slot.owner, slot.epoch, choose(number), slot.handover)
        if (slot.moving_to or slot.owner) == gone
        else slot
        for number, slot in enumerate(table.slots)
    ]
    return _table(table, slots)


def moved(table: SlotTable) -> SlotTable:
    """Return the table with its moves complete."""
    slots = [
        Slot(slot.moving_to, slot.epoch + 1) if slot.moving_to else slot
        for slot in table.slots
    ]
    return _table(table, slots)


def _owners(slots: list[Slot]) -> set[str]:
    return {slot.owner for slot in slots}


def _table(
    table: SlotTable, slots: list[Slot], entered: dict[str, str] | None = None
) -> SlotTable:
    """Return `table` with other slots; only owners' incarnations are kept."""
    owners = _owners(slots)
    incarnations = table.incarnations | (entered or {})
    kept = {side: name for side, name in incarnations.items() if side in owners}
    return SlotTable(table.service, slots, kept)
