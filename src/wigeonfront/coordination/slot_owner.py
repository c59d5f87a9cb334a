"""A side as the owner of slots: takes them up, seals them, hands them over.

Each table that arrives is compared with what the side owns. A slot is taken up
with the records handed over for it. Where there are none, the records of earlier
epochs are counted as lost for some time; only a slot at its first epoch
has none to lose.

Examples
--------
>>> from wigeonfront.clock import ManualClock
>>> from wigeonfront.coordination.keyed_work import KeyedWork
>>> from wigeonfront.coordination.slots import Slot, SlotTable, parse_minted_epoch
>>> table = SlotTable("order-desk", [Slot("side-1")], {"side-1": "i"})
>>> clock = ManualClock()
>>> keys = KeyedWork(900.0, table.slot_of, parse_minted_epoch)
>>> ledger = AttemptLedger("i", clock, keys=keys)
>>> rights = DeliveryRights(clock, table.slot_of)
>>> owner = SlotOwner("side-1", "i", ledger, rights)
>>> owner.apply(table, revision=1)
>>> owner.owned
{0: 1}
"""

import threading
from dataclasses import dataclass

from wigeonfront.coordination.delivery import DeliveryRights, SlotLots
from wigeonfront.coordination.keyed_work import (
    KEY_RETENTION,
    LONGEST_RUN,
    SlotKeys,
    StillRunning,
)
from wigeonfront.coordination.ledger import AttemptLedger
from wigeonfront.coordination.ownership import LostRecords
from wigeonfront.coordination.settled import new_writer
from wigeonfront.coordination.slots import Slot, SlotTable


@dataclass(frozen=True, slots=True)
class Handover:
    """The records of one sealed slot, as sent to its next owner.

    Attributes
    ----------
    identifier : str
        Goes into the table with the change of owner, so that the next owner
        uses these records and no earlier ones.
    slot : int
    keys : SlotKeys
    lots : SlotLots
    """

    identifier: str
    slot: int
    keys: SlotKeys
    lots: SlotLots


class SlotOwner:
    """The slots of one incarnation of a side; may be called from any thread.

    Parameters
    ----------
    side, incarnation : str
    ledger : AttemptLedger
    rights : DeliveryRights
    lost_for : float
        Seconds for which lost records matter: the longest retention of any record
        and the longest run of a key, which may end at a side that is not gone.
    """

    def __init__(
        self,
        side: str,
        incarnation: str,
        ledger: AttemptLedger,
        rights: DeliveryRights,
        lost_for: float = KEY_RETENTION + LONGEST_RUN,
    ) -> None:
        self._side = side
        self._incarnation = incarnation
        self._ledger = ledger
        self._rights = rights
        self._lost_for = lost_for
        self._lock = threading.Lock()
        self._revision = 0
        self._owned: dict[int, int] = {}
        self._sealed: dict[int, int] = {}
        self._received: dict[int, Handover] = {}

    @property
    def owned(self) -> dict[int, int]:
        """The slots that the side serves now, each with its epoch."""
        return dict(self._owned)

    @property
    def revision(self) -> int:
        """Revision of the newest table applied."""
        return self._revision

    def needs_claim(self, table: SlotTable) -> bool:
        """Tell whether the side is to claim its slots in `table` first."""
        entered = table.incarnations.get(self._side) == self._incarnation
        return not entered and any(slot.owner == self._side for slot in table.slots)

    def apply(self, table: SlotTable, revision: int) -> None:
        """Take up and seal slots as the table says; an older table is ignored."""
        with self._lock:
            if revision <= self._revision:
                return
            self._revision = revision
            granted = table.owned_by(self._side, self._incarnation)
            for number in list(self._owned):
                if number not in granted:
                    self._seal(number)
            for number, slot in granted.items():
                self._take_up(number, slot)

    def receive(self, handover: Handover) -> None:
        """Hold the records of a slot until a table names them and this side."""
        with self._lock:
            self._received[handover.slot] = handover

    def seal(self, slot: int) -> None:
        """Take no more work of `slot`, to hand it over.

        The slot is taken up again by `reopen`.
        """
        with self._lock:
            if slot in self._owned:
                self._seal(slot)

    def export(self, slot: int) -> Handover | StillRunning:
        """Return the records of a sealed slot, once none of its keys runs."""
        with self._lock:
            keys = self._ledger.export(slot)
            if isinstance(keys, StillRunning):
                return keys
            return Handover(new_writer(), slot, keys, self._rights.export(slot))

    def reopen(self, table: SlotTable, revision: int) -> None:
        """Take up sealed slots that a newly read table still gives to this side.

        Only for a hand-over that was given up: `table` must be read after the
        change of owner is known not to have taken effect.
        """
        with self._lock:
            if revision < self._revision:
                return
            for number, slot in table.owned_by(self._side, self._incarnation).items():
                if self._sealed.get(number) == slot.epoch:
                    self._own(number, slot.epoch, None)

    def _seal(self, number: int) -> None:
        self._sealed[number] = self._owned.pop(number)
        self._ledger.seal(number)
        self._rights.seal(number)

    def _take_up(self, number: int, slot: Slot) -> None:
        if slot.epoch in (self._owned.get(number), self._sealed.get(number)):
            return
        handover = self._received.pop(number, None)
        if handover is None or handover.identifier != slot.handover:
            self._own(number, slot.epoch, self._lost(slot))
            return
        self._ledger.adopt(number, slot.epoch, handover.keys)
        self._rights.adopt(number, slot.epoch, handover.lots)
        self._note(number, slot.epoch)

    def _lost(self, slot: Slot) -> LostRecords | None:
        if slot.epoch == 1:
            return None
        return LostRecords(slot.epoch, self._lost_for)

    def _own(self, number: int, epoch: int, lost: LostRecords | None) -> None:
        self._ledger.own(number, epoch, lost)
        self._rights.own(number, epoch, lost)
        self._note(number, epoch)

    def _note(self, number: int, epoch: int) -> None:
        self._owned[number] = epoch
        self._sealed.pop(number, None)
