"""Slot tables at an entry: who owns a key, and moves of slots from VMs that are gone.

`SlotTables` follows the tables and answers who owns a key. `SlotMover` creates a
missing table, names next owners for slots of sides that the VM list and this
entry's own session have both lost, or with which no member has a session though the
list still has them, and lets them begin once every entry that may act has the moved
table. All of it is compare-and-swap on one document, so several entries may try;
while the key-value service is down the tables stay as they are.
"""

import logging
import random
import threading
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

import msgspec

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
    """Asks an entry for its slot table of a service, and about a side if named.

    Attributes
    ----------
    absent : list of str
        Former members: has any of them polled lately?
    revision, table : int, SlotTable or None
        The table of the one that asks, for an entry that lacks it.
    """

    service: str
    side: str = ""
    absent: list[str] = msgspec.field(default_factory=list)
    revision: int = 0
    table: SlotTable | None = None


class TablesAnswer(Message, frozen=True, kw_only=True):
    """What an entry knows.

    Attributes
    ----------
    revision : int
        Of the table in force there; 0 for none.
    silent : bool
        That entry has had no session with the side for long enough.
    polled : list of str
        Those of `absent` that may have polled that entry lately.
    """

    revision: int
    silent: bool = False
    polled: list[str] = msgspec.field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Voters:
    """The other entries that a move waits for.

    Attributes
    ----------
    present : list of Member
        They hold their leases.
    former : list of Member
        Their leases have lapsed: they have stopped, are fenced, or go on detached.
    """

    present: list[Member]
    former: list[Member] = field(default_factory=list)


class SlotTables:
    """The tables in force at this entry; for `PrefixWatch` to follow.

    Parameters
    ----------
    usable : callable
        Tells whether this entry is among those that a move of slots waits for.
    """

    def __init__(self, usable: Callable[[], bool] = lambda: True) -> None:
        self._usable = usable
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
        """Return the owner of `key`, or ``None`` while none may be called.

        An entry for which a move of slots doesn't wait may know an owner whose slots
        have moved, and which doesn't know that either.
        """
        known = self.known(service)
        if known is None or not self._usable():
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
            self.take_row(row.key, row.value, row.revision)
        with self._lock:
            self._revision = max(self._revision, listing.revision)
            self._loaded = True

    def take_changes(self, changes: Changes) -> None:
        """Take what a watch saw."""
        for change in changes.changes:
            if change.value is not None:
                self.take_row(change.key, change.value, change.revision)
        with self._lock:
            self._revision = max(self._revision, changes.revision)

    def take_row(self, key: str, value: bytes, revision: int) -> None:
        """Take one row of the key-value service."""
        service = key.removeprefix(slots.PREFIX)
        table = slots.decode(value)
        if table is None:
            event(logger, "bad_slot_table", service=service, revision=revision)
            return
        self.take(service, table, revision)

    def take(self, service: str, table: SlotTable, revision: int) -> None:
        """Put a table in force, unless a newer one is."""
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
    voters : callable
        Returns the other entries as of a revision or later; ``None`` if unknown.
    calls : MemberCalls
    clock : Clock
    polled_lately : callable
        Returns those of the names given that may have polled this entry lately.
    """

    def __init__(
        self,
        tables: SlotTables,
        key_value: KeyValue,
        vms: Callable[[], Collection[Vm]],
        silent_seconds: Callable[[str], float],
        voters: Callable[[int], Voters | None],
        calls: MemberCalls,
        clock: Clock,
        polled_lately: Callable[[list[str]], Iterable[str]] = lambda names: [],
    ) -> None:
        self._tables = tables
        self._key_value = key_value
        self._vms = vms
        self._silent_seconds = silent_seconds
        self._voters = voters
        self._calls = calls
        self._clock = clock
        self._polled_lately = polled_lately
        self._unlisted_since: dict[str, float] = {}

    def run(self, stop: threading.Event) -> None:
        """Look after the tables until `stop` (a supervisor's task)."""
        while not stop.wait(random.uniform(0.5, 1.5) * STEP_SECONDS):
            self.step()

    def answer(self, question: TablesQuestion) -> TablesAnswer:
        """Tell another entry what is known here, and take the table that it tells."""
        if question.table is not None:
            self._tables.take(question.service, question.table, question.revision)
        known = self._tables.known(question.service)
        return TablesAnswer(
            revision=known.revision if known else 0,
            silent=bool(question.side) and self._is_silent(question.side),
            polled=list(self._polled_lately(question.absent)),
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
        waiting = self._waiting(service, known)
        if waiting:
            names = ",".join(waiting)
            event(logger, "slots_not_in_force", service=service, waiting=names)
            return
        confirmed = slots.confirm(known.table)
        self._put(service, confirmed, known.revision, "confirmed")

    def _waiting(self, service: str, known: KnownTable) -> list[str]:
        """Return the entries that may still act on an earlier table.

        A former member acts only while a strict majority answers its polls, so that
        it has stopped if at least half of the entries have the table and none of
        these was polled by it lately.
        """
        voters = self._voters(known.revision)
        if voters is None:
            return ["members_unknown"]
        absent = [member.name for member in voters.former]
        answers = self._tell(
            voters, known, TablesQuestion(service=service, absent=absent)
        )
        have = {
            name
            for name, answer in answers.items()
            if answer is not None and answer.revision >= known.revision
        }
        lacking = [name for name in answers if name not in have]
        polled = set(self._polled_lately(absent))
        polled.update(*(answers[name].polled for name in have))
        most = 2 * (len(have) + 1) >= len(answers) + 1
        present = {member.name for member in voters.present}
        return [
            name for name in lacking if name in present or name in polled or not most
        ]

    def _tell(
        self, voters: Voters, known: KnownTable, question: TablesQuestion
    ) -> dict[str, TablesAnswer | None]:
        """Ask all for the table's revision, and tell it to those that lack it."""
        members = [*voters.present, *voters.former]
        answers = self._ask(members, question)
        behind = [
            member
            for member in members
            if (answer := answers[member.name]) is not None
            and answer.revision < known.revision
        ]
        told = msgspec.structs.replace(
            question, revision=known.revision, table=known.table
        )
        return answers | self._ask(behind, told)

    def _ask(
        self, members: list[Member], question: TablesQuestion
    ) -> dict[str, TablesAnswer | None]:
        """Return the members' answers by name."""

        def ask(member: Member) -> TablesAnswer | Unreachable:
            return self._calls.call(
                member.address, TABLES_PATH, question, TablesAnswer, ASK_SECONDS
            )

        replies = self._calls.each(ask, members)
        return {
            member.name: reply if isinstance(reply, TablesAnswer) else None
            for member, reply in zip(members, replies, strict=True)
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
        voters = self._voters(0)
        if voters is None:
            return False
        question = TablesQuestion(service=service, side=side)
        answers = self._ask(voters.present, question).values()
        return all(answer is not None and answer.silent for answer in answers)

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
            self._tables.take_row(row.key, row.value, row.revision)
