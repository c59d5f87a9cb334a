"""State machine over submissions at several entries that hear of each other late."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from admission_fakes import SERVICE, Entry, demand_of, make_lot
from platform_standins.rows import MemoryRows
from wigeonfront.capacity import trainer_key
from wigeonfront.capacity.admission import (
    Capacity,
    Claim,
    DoesNotFit,
    GroupWork,
    decide,
)
from wigeonfront.clock import ManualClock
from wigeonfront.rollout.head import Head
from wigeonfront.rollout.lot_admission import DOUBT_SECONDS, useful_seconds
from wigeonfront.rollout.lot_answers import Accepted, LotRefused, LotUncertain
from wigeonfront.rollout.repository import LotRepository

NAMES = ("n1", "n2", "n3")
TRAINERS = "abcd"
SLOTS = 2
MAX_TRANSFER_SECONDS = 1.0
"""Longest time for which a report is on its way."""

LOTS = [
    make_lot(f"{trainer}{n}", trainer, groups, 4, 2.0)
    for trainer in TRAINERS
    for n, groups in enumerate((1, 3))
]
lots = st.sampled_from(LOTS)
names = st.sampled_from(NAMES)


class AdmissionWalk(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.clock = ManualClock(100.0)
        self.rows = MemoryRows()
        self.entries = {}
        for name in NAMES:
            self._start(name)
        self.on_the_way = []
        # First submission, acceptance, doubt (with the entry) and end, by the Lot's id.
        self.first_at, self.accepted, self.doubts, self.ended = {}, {}, {}, set()
        self.refused_only = set()

    def _start(self, name):
        Entry(name, self.clock, self.entries, self.rows, SLOTS, TRAINERS)

    def _refresh(self, entry):
        now = self.clock.monotonic()
        entry.book.set_own(
            demand_of(lot, self.first_at[lot.id], now)
            for lot in entry.runner.lots.values()
            if useful_seconds(lot) > now - self.first_at[lot.id]
        )
        entry.admission.observe()

    def _stored(self, lot):
        self.rows.faults.down, down = False, self.rows.faults.down
        head = LotRepository(self.rows, 1_000_000).head(lot.id)
        self.rows.faults.down = down
        return isinstance(head, Head)

    @precondition(lambda self: self.entries)
    @rule(lot=lots, name=names, lose_answer=st.booleans())
    def submit(self, lot, name, lose_answer):
        entry = self.entries.get(name)
        if entry is None or lot.id in self.ended:
            return
        now = self.clock.monotonic()
        self.first_at.setdefault(lot.id, now)
        entry.owners.lose_answers = lose_answer
        outcome = entry.lots.submit(lot)
        if isinstance(outcome, Accepted):
            self.accepted.setdefault(lot.id, now)
            self.refused_only.discard(lot.id)
        elif isinstance(outcome, LotUncertain):
            self.doubts[lot.id] = (name, now)
            self.refused_only.discard(lot.id)
        elif lot.id not in self.accepted and lot.id not in self.doubts:
            self.refused_only.add(lot.id)
        if isinstance(outcome, LotRefused):
            doubted_by, doubted_at = self.doubts.get(lot.id, ("", 0.0))
            assert doubted_by != name or now - doubted_at >= DOUBT_SECONDS
            if outcome.for_capacity:
                self._check_refusal(lot, now)

    def _check_refusal(self, lot, now):
        assert lot.id not in self.accepted
        assert not self._stored(lot)
        # It does not fit if all other Lots of late are accepted, and none has begun.
        recent = useful_seconds(lot) + DOUBT_SECONDS
        others = [
            demand_of(other, now, now)
            for other in LOTS
            if other.id != lot.id and now - self.first_at.get(other.id, -99.0) < recent
        ]
        left = useful_seconds(lot) - (now - self.first_at[lot.id])
        group = (GroupWork(8.0, 2.0),)
        claim = Claim(trainer_key(lot), 1.0, left, group)
        assert isinstance(decide(claim, Capacity(SLOTS), others), DoesNotFit)

    @rule(sender=names, receiver=names)
    def report(self, sender, receiver):
        if sender in self.entries and sender != receiver:
            self._refresh(self.entries[sender])
            found = self.entries[sender].book.own()
            self.on_the_way.append((self.clock.monotonic(), sender, receiver, found))

    @precondition(lambda self: self.on_the_way)
    @rule(data=st.data(), fate=st.sampled_from(["once", "twice", "lost"]))
    def deliver(self, data, fate):
        index = data.draw(st.integers(0, len(self.on_the_way) - 1))
        sent_at, sender, receiver, found = self.on_the_way.pop(index)
        late = self.clock.monotonic() - sent_at > MAX_TRANSFER_SECONDS
        if fate == "lost" or late or receiver not in self.entries:
            return
        self.entries[receiver].book.set_reported(sender, found)
        if fate == "twice":
            self.on_the_way.append((sent_at, sender, receiver, found))

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.5, 4.0]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)
        for entry in self.entries.values():
            self._refresh(entry)

    @rule(lot=lots)
    def end(self, lot):
        if lot.id in self.accepted:
            self.ended.add(lot.id)
            for entry in self.entries.values():
                entry.runner.lots.pop(lot.id, None)

    @rule(down=st.booleans(), lose=st.sampled_from([0, 0, 9]), apply=st.booleans())
    def break_store(self, down, lose, apply):
        faults = self.rows.faults
        faults.down, faults.lose_writes, faults.apply_lost_writes = down, lose, apply

    @precondition(lambda self: len(self.entries) > 1)
    @rule(name=names)
    def lose_entry(self, name):
        self.entries.pop(name, None)

    @rule(name=names)
    def start_entry(self, name):
        if name not in self.entries:
            self._start(name)
            # A new process knows of no doubt; it asks the store.
            self.doubts |= {
                lot: ("", at) for lot, (by, at) in self.doubts.items() if by == name
            }

    @invariant()
    def a_refused_lot_does_not_run(self):
        for lot in LOTS:
            if lot.id in getattr(self, "refused_only", ()):
                assert not self._stored(lot)
                running = [e for e in self.entries.values() if e.runner.owned(lot.id)]
                assert running == []

    @invariant()
    def demand_does_not_list_a_lot_as_accepted_and_refused(self):
        for entry in getattr(self, "entries", {}).values():
            accepted = {found.lot for found in entry.book.demands(SERVICE)}
            refused = {found.lot for found in entry.book.refused(SERVICE)}
            assert not accepted & refused


TestAdmissionWalk = AdmissionWalk.TestCase
TestAdmissionWalk.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
