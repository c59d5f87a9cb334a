"""Slots at a side: the keys and Lots that it owns.

A side claims its slots under its incarnation before it takes keyed work, so that
work of an earlier incarnation, whose records are lost, can't be run again unseen.
It reads the table at start and when a call names an epoch that it doesn't know.
With the key-value service down its ownership stays as it is. A side that stops
hands its slots and their records over.
"""

import logging
import random
import threading

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.coordination import slots
from wigeonfront.coordination.delivery import DeliveryRights, SlotLots
from wigeonfront.coordination.keyed_work import SlotKeys
from wigeonfront.coordination.ledger import AttemptLedger
from wigeonfront.coordination.ownership import LostRecords
from wigeonfront.coordination.slots import OwnedSlot, SlotTable
from wigeonfront.http import Answer, Pool
from wigeonfront.logs import event
from wigeonfront.messages import Message
from wigeonfront.platform import Absent, KeyValue, Row, Stored, Unavailable, Vm, VmList

logger = logging.getLogger(__name__)

FIRST_PAUSE = 0.2
LONGEST_PAUSE = 5.0
SUSPECT_SECONDS = 0.5
CHECK_SECONDS = 60.0
# Slots of a side that entries don't hear move after 10 s; a side that was paused
# for less than that, by a margin, still owns what it owned.
PAUSE_SECONDS = 4.0
HAND_OVER_SECONDS = 3.0
ADOPT_PATH = "/peer/adopt"


class SlotRecords(Message, frozen=True, kw_only=True):
    """The records of one slot, which its next owner takes up at `epoch`."""

    slot: int
    epoch: int
    keys: SlotKeys
    lots: SlotLots


class HandOver(Message, frozen=True, kw_only=True):
    """Records of sealed slots that a side gives to their next owner."""

    service: str
    sender: str
    slots: list[SlotRecords]


class HandOverReply(Message, frozen=True, kw_only=True):
    """The next owner holds the records under this incarnation."""

    incarnation: str


class SlotKeeper:
    """Keeps a side's ownership in step with its service's table (one task).

    Parameters
    ----------
    name, service, incarnation : str
        Of this side.
    key_value : KeyValue
    vm_list : VmList
        Names the sides that may take over.
    rights : DeliveryRights
    retention : float
        Seconds for which records are kept, and so for which lost ones matter.
    clock : Clock
    """

    def __init__(
        self,
        name: str,
        service: str,
        incarnation: str,
        key_value: KeyValue,
        vm_list: VmList,
        rights: DeliveryRights,
        retention: float,
        clock: Clock,
    ) -> None:
        self._name = name
        self._service = service
        self._incarnation = incarnation
        self._key_value = key_value
        self._vm_list = vm_list
        self._rights = rights
        self._retention = retention
        self._clock = clock
        self._ledger: AttemptLedger | None = None
        self._lock = threading.Lock()
        self._table: SlotTable | None = None
        self._revision = 0
        self._owned: dict[int, OwnedSlot] = {}
        self._given: dict[int, SlotRecords] = {}
        self._wake = threading.Event()
        self._leaving = False
        self._giving = False
        self._awake_at = clock.monotonic()

    @property
    def owned(self) -> int:
        """Number of slots owned now."""
        return len(self._owned)

    def connect(self, ledger: AttemptLedger) -> None:
        """Set the ledger that takes keyed work; called once while building."""
        self._ledger = ledger

    def slot_of(self, key: str) -> int:
        """Return the slot of `key`, or -1 while no table is known."""
        table = self._table
        return -1 if table is None else table.slot_of(key)

    def suspect(self) -> None:
        """Read the table again soon: a call knows another one."""
        self._wake.set()

    def note_awake(self) -> None:
        """Own nothing until the table is read again, if this process was paused.

        To be called often, and before any decision that rests on ownership.
        """
        now = self._clock.monotonic()
        with self._lock:
            paused = now - self._awake_at
            self._awake_at = now
            if paused <= PAUSE_SECONDS or self._leaving or self._giving:
                return
            doubted, self._owned = self._owned, {}
            for slot in doubted:
                self._seal(slot)
        event(logger, "paused", seconds=paused, slots_doubted=len(doubted))
        self.suspect()

    def run(self, stop: threading.Event) -> None:
        """Claim, then follow, until `stop` (a supervisor's task)."""
        pause = FIRST_PAUSE
        while not stop.is_set() and not self._leaving:
            self._wake.clear()
            if self.refresh():
                pause = FIRST_PAUSE
                stop.wait(random.uniform(0.5, 1.0) * SUSPECT_SECONDS)
                self._wake.wait(random.uniform(0.75, 1.25) * CHECK_SECONDS)
            else:
                stop.wait(random.uniform(pause / 2, pause))
                pause = min(LONGEST_PAUSE, pause * 2)

    def refresh(self) -> bool:
        """Read the table and claim this side's slots; return whether all is done."""
        began = self._clock.monotonic()
        row = self._key_value.get(slots.PREFIX + self._service)
        if isinstance(row, Absent | Unavailable):
            return False
        table = slots.decode(row.value)
        if table is None:
            return False
        claimed = slots.claim(table, self._name, self._incarnation)
        if claimed is None:
            return self._follow(table, row.revision, began)
        written = self._key_value.put(row.key, slots.encode(claimed), row.revision)
        if not isinstance(written, Stored):
            # A conflict or a lost answer is settled by the next reading.
            return False
        return self._follow(claimed, written.revision, began)

    def adopt(self, records: HandOver) -> HandOverReply:
        """Keep the records of slots until the table says that they are this side's."""
        with self._lock:
            for one in records.slots:
                self._given[one.slot] = one
        event(
            logger,
            "records_received",
            sender=records.sender,
            slots=len(records.slots),
            keys=sum(len(one.keys.keys) for one in records.slots),
            lots=sum(len(one.lots.lots) for one in records.slots),
        )
        self.suspect()
        return HandOverReply(incarnation=self._incarnation)

    def leave(self) -> bool:
        """Give all slots away for good; return whether that is in the table."""
        self._leaving = True
        self._wake.set()
        return self.hand_over("leaving")

    def hand_over(self, reason: str) -> bool:
        """Seal all slots and give them away; return whether that is in the table.

        Where it isn't, the next reading of the table takes them up again.
        """
        with self._lock:
            owned, self._owned = self._owned, {}
            self._giving = True
        sealed = sorted(owned)
        for slot in sealed:
            self._seal(slot)
        given = self._give(owned, self._heirs(sealed)) if sealed else {}
        done = not sealed or (bool(given) and self._write_given(given))
        with self._lock:
            self._giving = False
        event(
            logger,
            "handed_over",
            reason=reason,
            slots=len(sealed),
            given=len(given),
            done=done,
        )
        self.suspect()
        return done

    # --- following -----------------------------------------------------------

    def _follow(self, table: SlotTable, revision: int, began: float) -> bool:
        """Take up what the table says; ``False`` if its reading may be old.

        A process paused while it read holds a table from before the pause.
        """
        mine = slots.owned(table, self._name, self._incarnation)
        with self._lock:
            if self._clock.monotonic() - began > PAUSE_SECONDS:
                return False
            if revision < self._revision or self._leaving or self._giving:
                return True
            self._table = table
            self._revision = revision
            before = self._owned
            self._owned = {slot.slot: slot for slot in mine}
            after = dict(self._owned)
        for slot in after.values():
            if before.get(slot.slot) != slot:
                self._own(slot)
        for index in before.keys() - after.keys():
            self._seal(index)
        event(logger, "slots_owned", revision=revision, slots=len(after))
        return True

    def _own(self, slot: OwnedSlot) -> None:
        """Take up a slot, with its records if they were handed over for it."""
        with self._lock:
            given = self._given.pop(slot.slot, None)
        if given is not None and given.epoch == slot.epoch:
            self._ledger.adopt(slot.slot, slot.epoch, given.keys)
            self._rights.adopt(slot.slot, slot.epoch, given.lots)
            return
        lost = None
        if slot.lost_before:
            lost = LostRecords(slot.lost_before, self._retention)
        self._ledger.own(slot.slot, slot.epoch, lost)
        self._rights.own(slot.slot, slot.epoch, lost)

    def _seal(self, slot: int) -> None:
        self._ledger.seal(slot)
        self._rights.seal(slot)

    # --- handing over --------------------------------------------------------

    def _heirs(self, sealed: list[int]) -> dict[int, Vm]:
        listed = self._vm_list.vms()
        if isinstance(listed, Unavailable):
            return {}
        others = {vm.name: vm for vm in listed if self._may_inherit(vm)}
        if not others:
            return {}
        return {
            slot: others[slots.next_owner(self._service, slot, others)]
            for slot in sealed
        }

    def _may_inherit(self, vm: Vm) -> bool:
        same = vm.role == "side" and vm.service == self._service
        return same and vm.name != self._name and not vm.leaving

    def _give(
        self, owned: dict[int, OwnedSlot], heirs: dict[int, Vm]
    ) -> dict[int, tuple[str, str]]:
        """Send the records; return the slots whose next owner has them."""
        by_heir: dict[str, list[int]] = {}
        for slot in sorted(heirs):
            by_heir.setdefault(heirs[slot].name, []).append(slot)
        given = {}
        for name, group in by_heir.items():
            message = self._records([owned[slot] for slot in group])
            if message is None:
                continue
            reply = self._send(heirs[group[0]], message)
            if reply is not None:
                given.update(dict.fromkeys(group, (name, reply.incarnation)))
        return given

    def _records(self, group: list[OwnedSlot]) -> HandOver | None:
        records = []
        for owned in group:
            keys = self._ledger.export(owned.slot)
            if not isinstance(keys, SlotKeys):
                event(logger, "slot_still_running", slot=owned.slot, runs=keys.count)
                return None
            records.append(
                SlotRecords(
                    slot=owned.slot,
                    epoch=owned.epoch + 1,
                    keys=keys,
                    lots=self._rights.export(owned.slot),
                )
            )
        return HandOver(service=self._service, sender=self._name, slots=records)

    def _send(self, vm: Vm, message: HandOver) -> HandOverReply | None:
        pool = Pool(vm.address, read_seconds=HAND_OVER_SECONDS)
        answer = pool.call("POST", ADOPT_PATH, message)
        pool.close()
        if not isinstance(answer, Answer) or answer.status != 200:
            return None
        try:
            return msgspec.json.decode(answer.body, type=HandOverReply)
        except msgspec.DecodeError:
            return None

    def _write_given(self, given: dict[int, tuple[str, str]]) -> bool:
        deadline = self._clock.monotonic() + HAND_OVER_SECONDS
        while self._clock.monotonic() < deadline:
            row = self._key_value.get(slots.PREFIX + self._service)
            table = slots.decode(row.value) if isinstance(row, Row) else None
            if table is not None:
                changed = slots.hand_over(table, self._name, self._incarnation, given)
                if changed is None:
                    return True
                value = slots.encode(changed)
                written = self._key_value.put(row.key, value, row.revision)
                if isinstance(written, Stored):
                    return True
            self._clock.sleep(FIRST_PAUSE)
        return False
