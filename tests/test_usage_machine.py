"""Stateful test of the usage duty: the platform stand-in judges all reports it gets.

Machines may have any view of the live members, read the assignment row late, be cut off
from the store, restart, or write without an answer. Calls are slow, their answers get
lost, and times of day jump.
"""

import itertools

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from platform_standins.duties import DutyCall, DutyChecker
from platform_standins.rows import MemoryRows
from test_assignment_machine import SlowStore
from wigeonfront.clock import ManualClock
from wigeonfront.coordination.assignment import (
    FLIGHT_SECONDS,
    TERM_SECONDS,
    MembershipView,
    decode_assignment,
)
from wigeonfront.coordination.membership import Member
from wigeonfront.coordination.rights import ASSIGNMENT_KEY, AssignmentWriter, Rights
from wigeonfront.coordination.rows import Row
from wigeonfront.duties import NotTaken, Taken
from wigeonfront.observability.metrics import Registry
from wigeonfront.usage.calls import AgedStart, ProcessStarts, StartsReply
from wigeonfront.usage.collection import Collection
from wigeonfront.usage.held import HeldStarts
from wigeonfront.usage.ledger import UsageLedger
from wigeonfront.usage.reporting import SUBJECT, UsageReporter
from wigeonfront.usage.starts import TRANSIT_SECONDS, StartLog
from wigeonfront.usage.windows import SETTLE_SECONDS, UsageBounds

NAMES = ("e1", "e2", "e3")
APART_SECONDS = 3.0
BOUNDS = UsageBounds(window=5.0, due=10.0)
ACCOUNTS = ("studio", "other")
INCARNATIONS = itertools.count()


class SteppedClock:
    """A machine's clock, whose time of day may be off by some seconds."""

    def __init__(self, steady):
        self._steady = steady
        self.seconds_off = 0.0

    def monotonic(self):
        return self._steady.monotonic()

    def boottime(self):
        return self._steady.boottime()

    def time(self):
        return self._steady.time() + self.seconds_off


class Platform:
    """Accepts reports; a call may arrive late, and its answer may be lost."""

    def __init__(self, clock, checker):
        self.clock = clock
        self.checker = checker
        self.transit_seconds = 0.0
        self.answers_lost = False
        self.down = False

    def report_usage(self, window, counts, holder, fence):
        if self.down:
            return NotTaken("down")
        self.clock.advance(self.transit_seconds)
        now = self.clock.monotonic()
        self.checker.check_call(DutyCall(SUBJECT, holder, fence, now))
        self.checker.check_usage(window, dict(counts))
        return NotTaken("lost") if self.answers_lost else Taken()


class Machine:
    """A process with its usage reporter and its rights."""

    def __init__(self, name, walk):
        self.name = name
        self.member = Member(name, f"{name}.{next(INCARNATIONS)}", f"{name}:1")
        self.walk = walk
        self.clock = SteppedClock(walk.clock)
        self.store = SlowStore(walk.rows, walk.clock)
        self.present = None
        self.cut = False
        self.log = StartLog(self.clock)
        self.held = HeldStarts()
        self.rights = Rights(self.store, name, TERM_SECONDS, self.clock)
        self.assignment = None
        self.writer = AssignmentWriter(
            self.store,
            name,
            lambda: self.present,
            APART_SECONDS,
            self.clock,
            self.rights.update_assignment,
        )
        self.reporter = UsageReporter(
            name,
            lambda subject: self.assignment and self.assignment.holder(subject),
            self.rights,
            UsageLedger(self.store),
            self,
            self.log,
            self.held,
            lambda: self.member,
            lambda: [machine.member for machine in walk.machines.values()],
            walk.platform,
            BOUNDS,
            self.clock,
            Registry(),
        )

    def read_row(self, row):
        assignment = decode_assignment(row.value, row.revision)
        self.writer.update_assignment(assignment)
        self.rights.update_assignment(assignment)
        if self.assignment is None or assignment.revision > self.assignment.revision:
            self.assignment = assignment

    def collect(self, members, since, collection: Collection):
        """Ask the other machines, as `StartCollector` does over the network."""
        now = self.clock.boottime()
        for member in members:
            other = self.walk.machines[member.name]
            if other.cut or self.cut:
                continue
            own = [
                AgedStart(start.number, start.account, now - start.at)
                for start in other.log.since(since)
            ]
            held = [
                ProcessStarts(
                    incarnation,
                    [
                        AgedStart(start.number, start.account, now - start.at)
                        for start in starts
                    ],
                )
                for incarnation, starts in other.held.since(since).items()
            ]
            reply = StartsReply(
                ProcessStarts(member.incarnation, own), held, other.clock.time(), 0.0
            )
            collection.add_reply(member, reply, now, now)

    def act(self):
        if self.reporter._holder(SUBJECT) == self.name:
            self.reporter.step()


class UsageWalk(RuleBasedStateMachine):
    """Machines report usage as their rights permit."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(1_000.0)
        self.rows = MemoryRows()
        self.checker = DutyChecker(APART_SECONDS)
        self.platform = Platform(self.clock, self.checker)
        self.machines = {}
        for name in NAMES:
            self.machines[name] = Machine(name, self)
        self.true_counts = {}
        seen = frozenset(NAMES)
        for machine in self.machines.values():
            machine.present = MembershipView(seen, seen)
        for _ in range(4):
            self.clock.advance(1.0)
            self.all_machines_act()

    @rule()
    def all_machines_act(self):
        for machine in self.machines.values():
            machine.writer.write_if_due()
        for name in NAMES:
            self.machine_reads_the_row(name)
        for machine in self.machines.values():
            machine.act()

    @rule(seconds=st.sampled_from((0.3, 1.0, 2.5, 5.0)))
    def time_passes(self, seconds):
        self.clock.advance(seconds)

    @rule(name=st.sampled_from(NAMES), account=st.sampled_from(ACCOUNTS))
    def request_begins(self, name, account):
        self.machines[name].log.add(account)
        at = self.clock.time() + TRANSIT_SECONDS
        counts = self.true_counts.setdefault(BOUNDS.window_at(at), {})
        counts[account] = counts.get(account, 0) + 1

    @rule(name=st.sampled_from(NAMES))
    def process_restarts(self, name):
        """Another machine holds copies of the process's starts and never loses them."""
        old = self.machines[name]
        new = Machine(name, self)
        new.store.late = old.store.late
        new.held = new.reporter._held = old.held
        holder = self.machines[NAMES[NAMES.index(name) - 1]]
        starts = [(start.number, start.account, start.at) for start in old.log.after(0)]
        now = self.clock.boottime()
        holder.held.hold(old.member.incarnation, starts, (), now)
        self.machines[name] = new

    @rule(name=st.sampled_from(NAMES), cut=st.booleans())
    def machine_loses_or_regains_the_store(self, name, cut):
        self.machines[name].store.cut = cut

    @rule(name=st.sampled_from(NAMES), seconds=st.sampled_from((-2.0, 0.0, 2.0)))
    def time_of_day_jumps(self, name, seconds):
        """At most one of the three machines has a wrong time of day."""
        for machine in self.machines.values():
            machine.clock.seconds_off = 0.0
        self.machines[name].clock.seconds_off = seconds

    @rule(name=st.sampled_from(NAMES))
    def next_write_gets_no_answer(self, name):
        self.machines[name].store.lose = True

    @rule(name=st.sampled_from(NAMES))
    def late_write_arrives(self, name):
        self.machines[name].store.deliver()

    @rule(name=st.sampled_from(NAMES), seconds=st.floats(0.0, 0.9))
    def next_read_is_slow(self, name, seconds):
        self.machines[name].store.after = seconds

    @rule(
        lost=st.booleans(), down=st.booleans(), seconds=st.floats(0.0, FLIGHT_SECONDS)
    )
    def platform_changes(self, lost, down, seconds):
        self.platform.answers_lost, self.platform.down = lost, down
        self.platform.transit_seconds = seconds

    @rule(name=st.sampled_from(NAMES), entries=st.sets(st.sampled_from(NAMES)))
    def entry_view_changes(self, name, entries):
        """Entries that the machine doesn't see count as absent for long."""
        absent = dict.fromkeys(set(NAMES) - entries, 1000.0)
        seen = frozenset(entries)
        self.machines[name].present = MembershipView(seen, seen, absent=absent)

    @rule(name=st.sampled_from(NAMES))
    def entry_maintains_the_row(self, name):
        self.machines[name].writer.write_if_due()

    @rule(name=st.sampled_from(NAMES))
    def machine_reads_the_row(self, name):
        row = self.rows.get(ASSIGNMENT_KEY)
        if isinstance(row, Row):
            self.machines[name].read_row(row)

    @rule(name=st.sampled_from(NAMES))
    def machine_acts(self, name):
        self.machines[name].act()

    @invariant()
    def reports_are_consistent(self):
        assert self.checker.violations == []

    @invariant()
    def counts_are_correct(self):
        for window, counts in self.checker.reports.items():
            if self.clock.time() >= BOUNDS.end(window) + SETTLE_SECONDS:
                assert counts == self.true_counts.get(window, {}), window

    def teardown(self):
        """Once all machines run and are connected, ended windows get reported."""
        seen = frozenset(NAMES)
        for machine in self.machines.values():
            machine.store.deliver()
            machine.store.cut = machine.store.lose = False
            machine.store.before = machine.store.after = 0.0
            machine.present = MembershipView(seen, seen)
        self.platform.answers_lost = self.platform.down = False
        self.platform.transit_seconds = 0.0
        for _ in range(120):
            self.clock.advance(0.25)
            self.all_machines_act()
        self.reports_are_consistent()
        self.counts_are_correct()
        now = self.clock.time()
        last = BOUNDS.window_at(now - BOUNDS.due) - 1
        assert last in self.checker.reports


TestUsageWalk = UsageWalk.TestCase
TestUsageWalk.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)


def holder_of(walk):
    return next(
        machine
        for machine in walk.machines.values()
        if machine.assignment.holder(SUBJECT) == machine.name
    )


def test_replaced_holder_sends_no_more_reports():
    """The holder has not read the new assignment and still has windows to send."""
    walk = UsageWalk()
    first = holder_of(walk)
    walk.platform.answers_lost = True
    walk.clock.advance(6.0)
    first.act()
    assert walk.checker.reports
    others = frozenset(NAMES) - {first.name}
    for name in others:
        machine = walk.machines[name]
        machine.present = MembershipView(others, others, absent={first.name: 1_000.0})
    for _ in range(60):
        walk.clock.advance(0.25)
        for name in others:
            walk.machines[name].writer.write_if_due()
            walk.machine_reads_the_row(name)
            walk.machines[name].act()
        first.act()
        assert walk.checker.violations == []
    assert len({call.holder for call in walk.checker.calls}) == 2


def test_counts_of_a_late_write_are_read_and_sent():
    walk = UsageWalk()
    holder = holder_of(walk)
    holder.log.add("studio")
    walk.clock.advance(6.0)
    holder.store.lose = True
    holder.act()
    assert {"studio": 1} not in walk.checker.reports.values()
    holder.store.deliver()
    holder.act()
    assert {"studio": 1} in walk.checker.reports.values()
