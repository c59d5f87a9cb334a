"""A random walk over the holders of engines, with a check of the orders of each engine.

Entries may have any view of which processes are live. They may learn of the row late,
be cut off from the store, restart, or get no answer to a write. Orders and reads are
delayed.
"""

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from platform_standins.rows import MemoryRows
from wigeonfront.clock import ManualClock
from wigeonfront.coordination import assignment
from wigeonfront.coordination.assignment import (
    ABSENT_SECONDS,
    FLIGHT_SECONDS,
    PINNED_ABSENT_SECONDS,
    PINNED_TERM_SECONDS,
    TERM_SECONDS,
    MembershipView,
    decode_assignment,
    writer_pause,
)
from wigeonfront.coordination.rights import ASSIGNMENT_KEY, AssignmentWriter, Rights
from wigeonfront.coordination.rows import Row, Unavailable, Uncertain

ORDER_SECONDS = 3.0
ENTRIES = ("e1", "e2", "e3")
SIDES = {"a:1": "s1", "b:1": "s2"}
ENGINES = ("a:1", "b:1", "c:1", "d:1", "e:1")
MACHINES = (*ENTRIES, *SIDES.values())


class SlowStore:
    """The store as one machine reaches it: delayed, cut off, or with a lost answer."""

    def __init__(self, rows, clock):
        self.rows = rows
        self.clock = clock
        self.cut = False
        self.lose = False
        self.before = 0.0
        self.after = 0.0
        self.late = []

    def get(self, key):
        if self.cut:
            return Unavailable("cut")
        self.clock.advance(self.before)
        row = self.rows.get(key)
        self.clock.advance(self.after)
        self.before = self.after = 0.0
        return row

    def write(self, expected, puts=(), deletes=()):
        if self.cut:
            return Unavailable("cut")
        if self.lose:
            # The write may be executed seconds later if its condition still holds.
            self.lose = False
            self.late.append((expected, puts))
            return Uncertain("lost")
        return self.rows.write(expected, puts, deletes)

    def deliver(self):
        while self.late:
            self.rows.write(*self.late.pop())


class Machine:
    """A process of a machine, with its writer and its rights."""

    def __init__(self, name, rows, clock):
        self.name = name
        self.store = SlowStore(rows, clock)
        self.view = None
        is_side = name in SIDES.values()
        term = PINNED_TERM_SECONDS if is_side else TERM_SECONDS
        self.rights = Rights(
            self.store, name, term, clock, receives_updates=not is_side
        )
        self.writer = AssignmentWriter(
            self.store,
            name,
            lambda: self.view,
            ORDER_SECONDS,
            clock,
            self.rights.update_assignment,
        )

    def hear(self, row):
        assignment = decode_assignment(row.value, row.revision)
        self.writer.update_assignment(assignment)
        self.rights.update_assignment(assignment)


class AssignmentWalk(RuleBasedStateMachine):
    """Machines order engines whenever their rights permit it."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(1_000.0)
        self.rows = MemoryRows()
        self.machines = {name: self.start(name) for name in MACHINES}
        self.history = []
        # Arrival time, machine and fencing token of each order, by engine.
        self.orders = {engine: [] for engine in ENGINES}

    def start(self, name):
        return Machine(name, self.rows, self.clock)

    def note_row(self):
        row = self.rows.get(ASSIGNMENT_KEY)
        if isinstance(row, Row) and (not self.history or self.history[-1] != row):
            self.history.append(row)

    @rule(seconds=st.sampled_from((0.1, 0.6, 1.5, 4.0, 12.0)))
    def time_passes(self, seconds):
        self.clock.advance(seconds)

    @rule(name=st.sampled_from(MACHINES))
    def process_restarts(self, name):
        late = self.machines[name].store.late
        self.machines[name] = self.start(name)
        self.machines[name].store.late = late

    @rule(name=st.sampled_from(MACHINES), cut=st.booleans())
    def machine_is_cut_off_or_back(self, name, cut):
        self.machines[name].store.cut = cut

    @rule(name=st.sampled_from(ENTRIES))
    def next_write_gets_no_answer(self, name):
        self.machines[name].store.lose = True

    @rule(name=st.sampled_from(ENTRIES))
    def late_write_is_executed(self, name):
        self.machines[name].store.deliver()

    @rule(
        name=st.sampled_from(ENTRIES),
        entries=st.sets(st.sampled_from(ENTRIES)),
        pinned=st.sets(st.sampled_from(sorted(SIDES))),
        seen=st.booleans(),
    )
    def entry_believes(self, name, entries, pinned, seen):
        """The entry takes each process that it does not see to be gone for long."""
        machine = self.machines[name]
        if not seen:
            machine.view = None
            return
        registered = {SIDES[address]: address for address in pinned}
        gone = set(MACHINES) - set(entries) - registered.keys()
        long_absence = max(ABSENT_SECONDS, PINNED_ABSENT_SECONDS)
        machine.view = MembershipView(
            entries=frozenset(entries),
            staying=frozenset(entries),
            pinned={address: side for side, address in registered.items()},
            subjects=frozenset(ENGINES),
            absent=dict.fromkeys(gone, long_absence),
        )

    @rule(name=st.sampled_from(ENTRIES))
    def entry_updates_the_row(self, name):
        """The entry finds a change due that no other entry writes for a while."""
        machine = self.machines[name]
        machine.writer.write_if_due()
        if machine.view is not None:
            self.clock.advance(2.0 + writer_pause(name, machine.view.staying))
            machine.writer.write_if_due()
        self.note_row()

    @rule(name=st.sampled_from(ENTRIES), data=st.data())
    def entry_learns_of_a_row(self, name, data):
        self.note_row()
        if self.history:
            self.machines[name].hear(data.draw(st.sampled_from(self.history)))

    @rule(
        name=st.sampled_from(MACHINES),
        engine=st.sampled_from(ENGINES),
        before=st.sampled_from((0.0, 0.3, 2.0)),
        after=st.sampled_from((0.0, 0.3, 2.0)),
        flight=st.sampled_from((0.0, 0.4, 0.9 * FLIGHT_SECONDS)),
    )
    def machine_orders(self, name, engine, before, after, flight):
        machine = self.machines[name]
        machine.store.before, machine.store.after = before, after
        fence = machine.rights.fence(engine)
        if fence is not None:
            arrival = self.clock.monotonic() + flight
            self.orders[engine].append((arrival, name, fence))

    @invariant()
    def orders_of_two_machines_are_separated(self):
        for orders in self.orders.values():
            arrived = sorted(orders)
            for earlier, later in itertools.pairwise(arrived):
                if earlier[1] == later[1]:
                    assert earlier[2] <= later[2]
                else:
                    assert later[0] - earlier[0] >= ORDER_SECONDS
                    assert earlier[2] < later[2]

    def teardown(self):
        """Check that each engine has one holder once all machines are connected."""
        view = MembershipView(
            entries=frozenset(ENTRIES),
            staying=frozenset(ENTRIES),
            pinned=SIDES,
            subjects=frozenset(ENGINES),
        )
        for name in ENTRIES:
            machine = self.machines[name]
            machine.store.deliver()
            machine.view = view
        for machine in self.machines.values():
            machine.store.cut = machine.store.lose = False
            machine.store.before = machine.store.after = 0.0
        for _ in range(200):
            self.clock.advance(0.5)
            for name in ENTRIES:
                self.machines[name].writer.write_if_due()
            row = self.rows.get(ASSIGNMENT_KEY)
            for name in ENTRIES:
                if isinstance(row, Row):
                    self.machines[name].hear(row)
        for engine in ENGINES:
            holders = [
                name
                for name, machine in self.machines.items()
                if machine.rights.fence(engine) is not None
            ]
            assert len(holders) == 1, (engine, holders)
            assert SIDES.get(engine, holders[0]) == holders[0]


TestAssignmentWalk = AssignmentWalk.TestCase
TestAssignmentWalk.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)


@pytest.mark.parametrize(
    ("name", "value", "engine", "gone"),
    [
        # An engine moves to another entry without a wait.
        ("FLIGHT_SECONDS", -ORDER_SECONDS, "c:1", "entry"),
        # The change does not wait for the longer term of a side.
        ("PINNED_TERM_SECONDS", 0.0, "a:1", "s1"),
    ],
)
def test_walk_detects_a_wait_that_is_too_short(name, value, engine, gone, monkeypatch):
    """One holder is taken to be gone, but it still runs and is unaware of it."""
    monkeypatch.setattr(assignment, name, value)
    walk = AssignmentWalk()
    writer = walk.machines["e1"]
    everyone = frozenset(ENTRIES)
    writer.view = MembershipView(everyone, everyone, SIDES, frozenset(ENGINES))
    walk.entry_updates_the_row("e1")
    row = walk.history[-1]
    holder = decode_assignment(row.value, row.revision).holder(engine)
    for machine in (holder, "e1"):
        walk.machines[machine].hear(row)
    walk.machine_orders(holder, engine, 0.0, 0.0, 0.0)
    assert walk.orders[engine]
    lost = holder if gone == "entry" else gone
    left = everyone - {lost}
    sides = {address: side for address, side in SIDES.items() if side != lost}
    absent = {lost: PINNED_ABSENT_SECONDS}
    survivor = min(left)
    walk.machines[survivor].hear(row)
    view = MembershipView(left, left, sides, frozenset(ENGINES), absent)
    walk.machines[survivor].view = view
    walk.machines[survivor].writer.write_if_due()
    walk.clock.advance(1.0 + writer_pause(survivor, left))
    walk.machine_orders(lost, engine, 0.0, 0.0, 0.0)
    walk.machines[survivor].writer.write_if_due()
    detected = False
    for _ in range(30):
        walk.clock.advance(0.2)
        walk.machines[survivor].writer.write_if_due()
        walk.note_row()
        for entry in left:
            walk.machines[entry].hear(walk.history[-1])
        for machine in (lost, *left):
            walk.machine_orders(machine, engine, 0.0, 0.0, 0.0)
        try:
            walk.orders_of_two_machines_are_separated()
        except AssertionError:
            detected = True
    assert detected
