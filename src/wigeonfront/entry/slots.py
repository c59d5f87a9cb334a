"""Slot tables at an entry: who owns a key, and moves of slots from VMs that are gone.

`SlotTables` follows the tables and answers who owns a key. `SlotMover` creates a
missing table, names next owners for slots of sides that the VM list and this
entry's own session have both lost, or with which no member has a session though the
list still has them, and lets them begin once every present member has the moved
table. All of it is compare-and-swap on one document, so several
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
    """Asks an entry for its slot table of a service, and about a side if named."""

    service: str
    side: str = ""


class TablesAnswer(Message, frozen=True, kw_only=True):
    """What an entry knows.

    Attributes
    ----------
    revision : int
        Of the table in force there; 0 for none.
    silent : bool
        That entry has had no session with the side for long enough.
    """

    revision: int
    silent: bool = False


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
    silent_seconds : callable
        Returns for how long this entry has had no session with a side.
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
        silent_seconds: Callable[[str], float],
        members: Callable[[], Iterable[Member] | None],
        calls: MemberCalls,
        clock: Clock,
    ) -> None:
        self._tables = tables
        self._key_value = key_value
        self._vms = vms
        self._silent_seconds = silent_seconds
        self._members = members
        self._calls = calls
        self._clock = clock
        self._unlisted_since: dict[str, float] = {}

    def run(self, stop: threading.Event) -> None:
        """Look after the tables until `stop` (a supervisor's task)."""
        while not stop.wait(random.uniform(0.5, 1.5) * STEP_SECONDS):
            self.step()

    def answer(self, question: TablesQuestion) -> TablesAnswer:
        """Tell another entry what is known here."""
        known = self._tables.known(question.service)
        return TablesAnswer(
            revision=known.revision if known else 0,
            silent=bool(question.side) and self._is_silent(question.side),
        )

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
        gone = self._gone(service, known.table)
        if gone:
            moved = slots.move(known.table, gone, set(live) - gone)
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
        answers = self._ask_members(TablesQuestion(service=service))
        if answers is None:
            return None
        return [
            name
            for name, answer in answers.items()
            if answer is None or answer.revision < revision
        ]

    def _ask_members(
        self, question: TablesQuestion
    ) -> dict[str, TablesAnswer | None] | None:
        """Return each member's answer; ``None`` while the members are unknown."""
        members = self._members()
        if members is None:
            return None

        def ask(member: Member) -> TablesAnswer | Unreachable:
            return self._calls.call(
                member.address, TABLES_PATH, question, TablesAnswer, ASK_SECONDS
            )

        asked = list(members)
        replies = self._calls.each(ask, asked)
        return {
            member.name: reply if isinstance(reply, TablesAnswer) else None
            for member, reply in zip(asked, replies, strict=True)
        }

    def _gone(self, service: str, table: SlotTable) -> set[str]:
        """Return owners that are lost for long enough to move their slots."""
        listed = {vm.name for vm in self._vms()}
        gone = set()
        for side in slots.owners(table):
            if side in listed:
                self._unlisted_since.pop(side, None)
                if self._is_silent(side) and self._all_agree(service, side):
                    gone.add(side)
            elif self._is_unlisted(side) and self._is_silent(side):
                gone.add(side)
        return gone

    def _is_silent(self, side: str) -> bool:
        return self._silent_seconds(side) >= GONE_SECONDS

    def _is_unlisted(self, side: str) -> bool:
        now = self._clock.monotonic()
        return now - self._unlisted_since.setdefault(side, now) >= GONE_SECONDS

    def _all_agree(self, service: str, side: str) -> bool:
        """Tell whether no member has a session with a side that is still listed."""
        answers = self._ask_members(TablesQuestion(service=service, side=side))
        if answers is None:
            return False
        return all(answer is not None and answer.silent for answer in answers.values())

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
