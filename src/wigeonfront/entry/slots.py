"""Slot tables at an entry: who owns a key, and moves of slots from VMs that are gone.

`SlotTables` follows the tables and answers who owns a key. `SlotMover` creates a
missing table, names next owners for slots of sides that the VM list and this
entry's own session have both lost, and lets them begin once every present member
has the moved table. All of it is compare-and-swap on one document, so several
entries may try; while the key-value service is down the tables stay as they are.
"""

import logging
import random
import threading
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from wigeonfront.clock import Clock
from wigeonfront.coordination import slots
from wigeonfront.coordination.slots import SlotTable
from wigeonfront.entry.member_calls import MemberCalls, Unreachable
from wigeonfront.entry.members import Member
from wigeonfront.logs import event
from wigeonfront.messages import Message
from wigeonfront.platform import Changes, KeyValue, Listing, Row, Stored, Vm

logger = logging.getLogger(__name__)

TABLES_PATH = "/peer/slot-tables"
STEP_SECONDS = 1.0
GONE_SECONDS = 10.0
ASK_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Owner:
    """The side that owns a slot, at an epoch."""

    side: str
    slot: int
    epoch: int


@dataclass(frozen=True, slots=True)
class KnownTable:
    """A slot table and the revision of its row."""

    table: SlotTable
    revision: int


class TablesQuestion(Message, frozen=True, kw_only=True):
    """Asks which revision of a service's slot table is in force at an entry."""

    service: str


class TablesAnswer(Message, frozen=True, kw_only=True):
    """The revision in force, 0 for none."""

    revision: int


class SlotTables:
    """The tables in force at this entry; for `PrefixWatch` to follow."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tables: dict[str, KnownTable] = {}
        self._revision = 0
        self._loaded = False

    @property
    def revision(self) -> int:
        """Revision up to which all writes are known."""
        return self._revision

    @property
    def loaded(self) -> bool:
        """Whether all tables were listed at least once."""
        return self._loaded

    def known(self, service: str) -> KnownTable | None:
        """Return a service's table."""
        with self._lock:
            return self._tables.get(service)

    def owner(self, service: str, key: str) -> Owner | None:
        """Return the owner of `key`, or ``None`` while there is none."""
        known = self.known(service)
        if known is None:
            return None
        index = known.table.slot_of(key)
        slot = known.table.slots[index]
        if slot.moving:
            return None
        # An owner that has not claimed the slot yet does so when it is called.
        return Owner(slot.owner, index, slot.epoch)

    def answer(self, question: TablesQuestion) -> TablesAnswer:
        """Tell another entry which table is in force here."""
        known = self.known(question.service)
        return TablesAnswer(revision=known.revision if known else 0)

    def take_listing(self, listing: Listing) -> None:
        """Take all tables."""
        for row in listing.rows:
            self._apply(row.key, row.value, row.revision)
        with self._lock:
            self._revision = max(self._revision, listing.revision)
            self._loaded = True

    def take_changes(self, changes: Changes) -> None:
        """Take what a watch saw."""
        for change in changes.changes:
            if change.value is not None:
                self._apply(change.key, change.value, change.revision)
        with self._lock:
            self._revision = max(self._revision, changes.revision)

    def _apply(self, key: str, value: bytes, revision: int) -> None:
        service = key.removeprefix(slots.PREFIX)
        table = slots.decode(value)
        if table is None:
            event(logger, "bad_slot_table", service=service, revision=revision)
            return
        with self._lock:
            known = self._tables.get(service)
            if known is not None and revision <= known.revision:
                return
            self._tables[service] = KnownTable(table, revision)
        event(logger, "slot_table", service=service, revision=revision)


class SlotMover:
    """Keeps the tables whole (one task of each entry).

    Parameters
    ----------
    tables : SlotTables
    key_value : KeyValue
    vms : callable
        Returns the VMs listed; empty while the list is unknown.
    silent : callable
        Tells whether this entry has no live session with a side.
    members : callable
        Returns the other present members, or ``None`` while they are unknown.
    calls : MemberCalls
    clock : Clock
    """

    def __init__(
        self,
        tables: SlotTables,
        key_value: KeyValue,
        vms: Callable[[], Collection[Vm]],
        silent: Callable[[str], bool],
        members: Callable[[], Iterable[Member] | None],
        calls: MemberCalls,
        clock: Clock,
    ) -> None:
        self._tables = tables
        self._key_value = key_value
        self._vms = vms
        self._silent = silent
        self._members = members
        self._calls = calls
        self._clock = clock
        self._missing_since: dict[str, float] = {}

    def run(self, stop: threading.Event) -> None:
        """Look after the tables until `stop` (a supervisor's task)."""
        while not stop.wait(random.uniform(0.5, 1.5) * STEP_SECONDS):
            self.step()

    def step(self) -> None:
        """Look at each service once."""
        if not self._tables.loaded:
            return
        by_service: dict[str, list[str]] = {}
        for vm in self._vms():
            if vm.role == "side" and not vm.leaving:
                by_service.setdefault(vm.service, []).append(vm.name)
        for service, live in by_service.items():
            self._look_after(service, live)

    def _look_after(self, service: str, live: list[str]) -> None:
        known = self._tables.known(service)
        if known is None:
            self._create(service, live)
            return
        gone = self._gone(known.table)
        if gone:
            moved = slots.move(known.table, gone, live)
            self._put(service, moved, known.revision, "moved", gone=gone)
        elif any(slot.moving for slot in known.table.slots):
            self._confirm(service, known)

    def _create(self, service: str, live: list[str]) -> None:
        table = slots.create(service, live, slots.count_for(len(live)))
        self._put(service, table, 0, "created")

    def _confirm(self, service: str, known: KnownTable) -> None:
        waiting = self._members_without(service, known.revision)
        if waiting is None or waiting:
            reason = "members_unknown" if waiting is None else ",".join(waiting)
            event(logger, "slots_not_in_force", service=service, waiting=reason)
            return
        confirmed = slots.confirm(known.table)
        self._put(service, confirmed, known.revision, "confirmed")

    def _members_without(self, service: str, revision: int) -> list[str] | None:
        members = self._members()
        if members is None:
            return None
        waiting = []
        for member in members:
            reply = self._calls.call(
                member.address,
                TABLES_PATH,
                TablesQuestion(service=service),
                TablesAnswer,
                ASK_SECONDS,
            )
            if isinstance(reply, Unreachable) or reply.revision < revision:
                waiting.append(member.name)
        return waiting

    def _gone(self, table: SlotTable) -> set[str]:
        """Return owners that list and session have both lost for long enough."""
        listed = {vm.name for vm in self._vms()}
        now = self._clock.monotonic()
        gone = set()
        for side in slots.owners(table):
            if side in listed or not self._silent(side):
                self._missing_since.pop(side, None)
            elif now - self._missing_since.setdefault(side, now) >= GONE_SECONDS:
                gone.add(side)
        return gone

    def _put(
        self, service: str, table: SlotTable | None, expected: int, what: str, **fields
    ) -> None:
        if table is None:
            return
        key = slots.PREFIX + service
        result = self._key_value.put(key, slots.encode(table), expected)
        stored = isinstance(result, Stored)
        # A conflict or a lost answer is settled by the next reading.
        event(
            logger,
            "slots_written" if stored else "slots_not_written",
            service=service,
            what=what,
            result=type(result).__name__,
            **fields,
        )
        if stored:
            self._refresh(key)

    def _refresh(self, key: str) -> None:
        row = self._key_value.get(key)
        if isinstance(row, Row):
            self._tables.take_listing(Listing((row,), self._tables.revision))
