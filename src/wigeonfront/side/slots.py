"""Slots at a side: the keys and Lots that it owns.

A side claims its slots under its incarnation before it takes keyed work, so that
work of an earlier incarnation, whose records are lost, can't be run again unseen.
It reads the table at start and when a call names an epoch that it doesn't know.
With the key-value service down its ownership stays as it is. A side that stops
hands its slots and their records over.

A slot is sealed before its records are sent. Whether the next owner has them, and
whether the table says so, may remain unknown; so a sealed slot is never taken up
again at the same epoch, but at a higher one, written to the table first.
"""

import logging
import random
import threading
from collections.abc import Callable

import msgspec

from wigeonfront.clock import Clock
from wigeonfront.coordination import slots
from wigeonfront.coordination.delivery import DeliveryRights, SlotLots
from wigeonfront.coordination.keyed_work import SlotKeys
from wigeonfront.coordination.ledger import AttemptLedger
from wigeonfront.coordination.ownership import LostRecords
from wigeonfront.coordination.slots import Heir, OwnedSlot, SlotTable
from wigeonfront.http import Answer, Pool
from wigeonfront.logs import event
from wigeonfront.messages import Message
from wigeonfront.platform import KeyValue, Row, Stored, Unavailable, Vm, VmList

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
    pools : callable
        Makes the pools of connections; called like `Pool`.
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
        pools: Callable[..., Pool] = Pool,
    ) -> None:
        self._name = name
        self._service = service
        self._incarnation = incarnation
        self._key_value = key_value
        self._vm_list = vm_list
        self._rights = rights
        self._retention = retention
        self._clock = clock
        self._pools = pools
        self._ledger: AttemptLedger | None = None
        self._lock = threading.Lock()
        self._table: SlotTable | None = None
        self._revision = 0
        self._owned: dict[int, OwnedSlot] = {}
        self._sealed: dict[int, int] = {}
        self._given: dict[int, SlotRecords] = {}
        self._taken: dict[int, int] = {}
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
        row, table = self._read()
        with self._lock:
            if table is None or self._giving:
                return False
            sealed = dict(self._sealed)
        claimed = slots.claim(table, self._name, self._incarnation, sealed)
        if claimed is None:
            return self._follow(table, row.revision, began)
        written = self._key_value.put(row.key, slots.encode(claimed), row.revision)
        if not isinstance(written, Stored):
            # A conflict or a lost answer is settled by the next reading.
            return False
        return self._follow(claimed, written.revision, began)

    def _read(self) -> tuple[Row | None, SlotTable | None]:
        row = self._key_value.get(slots.PREFIX + self._service)
        if not isinstance(row, Row):
            return None, None
        return row, slots.decode(row.value)

    def adopt(self, records: HandOver) -> HandOverReply | None:
        """Keep the records of slots until the table says that they are this side's.

        Returns
        -------
        HandOverReply or None
            ``None``: this side leaves and takes none.
        """
        with self._lock:
            if self._leaving:
                return None
            for one in records.slots:
                known = self._given.get(one.slot)
                newest = max(self._taken.get(one.slot, 0), known.epoch if known else 0)
                if one.epoch > newest:
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
        with self._lock:
            self._leaving = True
        self._wake.set()
        deadline = self._clock.monotonic() + HAND_OVER_SECONDS
        while not self.hand_over("leaving"):
            if self._clock.monotonic() >= deadline:
                return False
            self._clock.sleep(FIRST_PAUSE)
        return True

    def hand_over(self, reason: str) -> bool:
        """Seal all slots and give them away; return whether that is in the table.

        Nothing is sealed while there is no side or no table to give them to. What is
        sealed and not given is taken up again by the next reading of the table.
        """
        vms = self._others()
        if self._owned and (not vms or self._read()[1] is None):
            return False
        records = self._seal_all()
        try:
            heirs = self._give(records, vms)
            written = self._write_heirs(heirs)
        finally:
            self._giving = False
        done = written and len(heirs) == len(records) and not self._owned
        event(
            logger,
            "handed_over",
            reason=reason,
            slots=len(records),
            given=len(heirs),
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
            epochs = {slot.slot: slot.epoch for slot in mine}
            # A reading from before the seal still has the slot as it was.
            self._sealed = {
                index: epoch
                for index, epoch in self._sealed.items()
                if epochs.get(index) == epoch
            }
            before = self._owned
            after = {one.slot: one for one in mine if one.slot not in self._sealed}
            self._owned = after
            for index in before.keys() - after.keys():
                self._seal(index)
            for slot in after.values():
                if before.get(slot.slot) != slot:
                    self._own(slot)
        event(logger, "slots_owned", revision=revision, slots=len(after))
        return True

    def _own(self, slot: OwnedSlot) -> None:
        """Take up a slot, with its records if they were handed over for it."""
        taken = self._taken.get(slot.slot, 0)
        self._taken[slot.slot] = slot.epoch
        given = self._given.get(slot.slot)
        if given is not None and given.epoch <= slot.epoch:
            del self._given[slot.slot]
        if given is not None and given.epoch == slot.epoch:
            self._ledger.adopt(slot.slot, slot.epoch, given.keys)
            self._rights.adopt(slot.slot, slot.epoch, given.lots)
            return
        lost = None
        # A slot taken up again brings no new loss; what was lost before is known.
        if slot.lost_before > taken:
            lost = LostRecords(slot.lost_before, self._retention)
        self._ledger.own(slot.slot, slot.epoch, lost)
        self._rights.own(slot.slot, slot.epoch, lost)

    def _seal(self, slot: int) -> None:
        self._ledger.seal(slot)
        self._rights.seal(slot)

    # --- handing over --------------------------------------------------------

    def _others(self) -> dict[str, Vm]:
        """Return the sides that may take over, by name."""
        listed = self._vm_list.vms()
        if isinstance(listed, Unavailable):
            return {}
        return {vm.name: vm for vm in listed if self._may_inherit(vm)}

    def _may_inherit(self, vm: Vm) -> bool:
        same = vm.role == "side" and vm.service == self._service
        return same and vm.name != self._name and not vm.leaving

    def _seal_all(self) -> dict[int, SlotRecords]:
        """Seal the slots of which no key runs; return their records."""
        with self._lock:
            self._giving = True
            sealed = {}
            for owned in list(self._owned.values()):
                records = self._sealed_records(owned)
                if records is not None:
                    sealed[owned.slot] = records
                    self._sealed[owned.slot] = owned.epoch
                    del self._owned[owned.slot]
        return sealed

    def _sealed_records(self, owned: OwnedSlot) -> SlotRecords | None:
        self._seal(owned.slot)
        keys = self._ledger.export(owned.slot)
        if not isinstance(keys, SlotKeys):
            event(logger, "slot_still_running", slot=owned.slot, runs=keys.count)
            self._ledger.own(owned.slot, owned.epoch)
            self._rights.own(owned.slot, owned.epoch)
            return None
        lots = self._rights.export(owned.slot)
        epoch = owned.epoch + 1
        return SlotRecords(slot=owned.slot, epoch=epoch, keys=keys, lots=lots)

    def _give(
        self, records: dict[int, SlotRecords], vms: dict[str, Vm]
    ) -> dict[int, Heir]:
        """Send the records; return the next owners that have them.

        A side that doesn't answer is passed over for the next in order.
        """
        left = dict(records)
        candidates = dict(vms)
        heirs: dict[int, Heir] = {}
        while left and candidates:
            by_name: dict[str, list[SlotRecords]] = {}
            for slot, one in left.items():
                name = slots.next_owner(self._service, slot, candidates)
                by_name.setdefault(name, []).append(one)
            for name, group in by_name.items():
                reply = self._send(candidates[name], group)
                if reply is None:
                    del candidates[name]
                    continue
                for one in group:
                    del left[one.slot]
                    heirs[one.slot] = Heir(name, reply.incarnation, one.epoch)
        return heirs

    def _send(self, vm: Vm, records: list[SlotRecords]) -> HandOverReply | None:
        message = HandOver(service=self._service, sender=self._name, slots=records)
        pool = self._pools(vm.address, read_seconds=HAND_OVER_SECONDS)
        answer = pool.call("POST", ADOPT_PATH, message)
        pool.close()
        if not isinstance(answer, Answer) or answer.status != 200:
            return None
        try:
            return msgspec.json.decode(answer.body, type=HandOverReply)
        except msgspec.DecodeError:
            return None

    def _write_heirs(self, heirs: dict[int, Heir]) -> bool:
        """Write the next owners into the table; return whether they are there."""
        deadline = self._clock.monotonic() + HAND_OVER_SECONDS
        while heirs and self._clock.monotonic() < deadline:
            row, table = self._read()
            if table is not None:
                changed = slots.hand_over(table, self._name, self._incarnation, heirs)
                if changed is None:
                    return True
                value = slots.encode(changed)
                written = self._key_value.put(row.key, value, row.revision)
                if isinstance(written, Stored):
                    return True
            self._clock.sleep(FIRST_PAUSE)
        return not heirs
