"""Settled writes, lease holders under faults, and the call rate of many holders."""

from collections import Counter
from random import Random

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from wigeonfront.clock import ManualClock
from wigeonfront.coordination.fencing import FencingNumber, take_fencing_number
from wigeonfront.coordination.lease import Held, LeaseHolder, NotHeld, read_members
from wigeonfront.coordination.settled import new_writer, settled_put
from wigeonfront.platform import Absent, Conflict, Stored, Unavailable, Uncertain
from wigeonfront.platform.memory import MemoryKeyValue

KEY = "members/a"


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def key_value(clock):
    return MemoryKeyValue(clock)


def put(key_value, expected, **options):
    return settled_put(key_value, KEY, {"n": 1}, expected, **options)


def test_a_lost_request_is_sent_again_and_a_lost_answer_is_not(key_value):
    key_value.lose_requests = 1
    assert put(key_value, 0) == Stored(1)
    key_value.lose_answers = 1
    assert put(key_value, 1) == Stored(2)
    assert key_value.state.revision == 2


def test_a_delayed_write_takes_effect_once(key_value):
    key_value.delay_requests = 1
    assert put(key_value, 0) == Stored(1)
    key_value.deliver_delayed()
    assert key_value.state.revision == 1


@pytest.mark.parametrize("landed", [True, False])
def test_an_uncertain_write_that_was_overwritten(key_value, landed):
    rival = key_value.client()

    class Raced(MemoryKeyValue):
        def put(self, *args):
            reply = super().put(*args)
            present = self.state.rows.get(KEY)
            rival.put(KEY, b'{"writer": "rival"}', present.revision if present else 0)
            return reply

    raced = Raced(state=key_value.state)
    raced.lose_answers, raced.lose_requests = int(landed), int(not landed)
    assert put(raced, 0) == (Stored(1) if landed else Conflict(1))


def test_an_overwritten_write_without_history_stays_uncertain(key_value):
    writer = new_writer()
    key_value.put(KEY, b"{}", 0)
    key_value.state.compact()
    reply = put(key_value, 0, writer=writer, resume=True)
    assert reply == Uncertain("history compacted")


def test_a_write_settled_after_an_outage(key_value):
    writer = new_writer()

    class Failing(MemoryKeyValue):
        def get(self, key):
            return Unavailable("outage")

    failing = Failing(state=key_value.state)
    failing.lose_answers = 1
    assert put(failing, 0, writer=writer) == Uncertain("outage")
    assert put(key_value, 0, writer=writer, resume=True) == Stored(1)
    key_value.state.outage = True
    assert put(key_value, 1) == Unavailable("outage")


def test_fencing_numbers_rise_and_are_never_guessed(key_value):
    first = take_fencing_number(key_value, "side-1")
    key_value.lose_answers = 1
    second = take_fencing_number(key_value, "side-1")
    assert isinstance(second, FencingNumber)
    assert second.number > first.number
    key_value.outage = True
    assert take_fencing_number(key_value, "side-1") == Unavailable("outage")


def test_renewals_keep_the_lease_and_a_lost_answer_is_harmless(key_value, clock):
    holder = LeaseHolder(key_value, clock, KEY, {"n": 1}, random=Random(1))
    clock.advance(holder.step())
    row = key_value.get(KEY)
    key_value.lose_answers = 1
    clock.advance(holder.step())
    assert holder.check()
    clock.advance(holder.step())
    assert key_value.get(KEY) == row
    assert read_members(key_value, "members/").documents["a"]["n"] == 1
    holder.release()
    assert key_value.get(KEY) == Absent(2)
    assert not holder.check()


@pytest.mark.parametrize("paused_by_the_clock", [True, False])
def test_a_paused_holder_does_not_act_on_waking(key_value, clock, paused_by_the_clock):
    """The pause may have stopped the holder's own clock as well."""
    own = clock if paused_by_the_clock else ManualClock()
    holder = LeaseHolder(key_value, own, KEY, {})
    holder.step()
    clock.advance(31.0)
    reason = "term over" if paused_by_the_clock else "row taken"
    assert holder.check() is not paused_by_the_clock
    assert holder.fenced_write() == NotHeld(reason)
    assert not holder.check()


@pytest.mark.parametrize("call", ["grant_lease", "renew_lease", "put"])
def test_a_pause_inside_a_call_counts(key_value, clock, call):
    slow = key_value.client()
    holder = LeaseHolder(slow, clock, KEY, {})
    holder.step()
    fast = getattr(slow, call)

    def paused(*args):
        reply = fast(*args)
        clock.advance(29.0)
        return reply

    setattr(slow, call, paused)
    if call == "put":
        assert holder.fenced_write() == NotHeld("term over")
    else:
        clock.advance(40.0 if call == "grant_lease" else 1.0)
        holder.step()
        holder.step()
    assert not holder.check()


def test_a_row_left_on_an_earlier_lease_is_written_again(key_value, clock):
    holder = LeaseHolder(key_value, clock, KEY, {})
    holder.step()
    key_value.outage = True
    holder.release()
    key_value.outage = False
    for _ in range(2):
        holder.step()
        clock.advance(20.0)
    assert isinstance(holder.fenced_write(), Held)


def test_a_lost_answer_is_settled_without_history(key_value):
    class Compacting(MemoryKeyValue):
        def put(self, *args):
            reply = super().put(*args)
            self.state.compact()
            return reply

    compacting = Compacting(state=key_value.state)
    compacting.lose_answers = 1
    assert put(compacting, 0) == Stored(1)


def test_a_replaced_process_stays_out(key_value, clock):
    old = LeaseHolder(key_value.client(), clock, KEY, {"n": "old"})
    old.step()
    new = LeaseHolder(key_value.client(), clock, KEY, {"n": "new"})
    new.step()
    assert old.fenced_write() == NotHeld("row taken")
    old.step()
    assert old.replaced
    old.step()
    assert not old.check()
    assert isinstance(new.fenced_write({"n": "newer"}), Held)
    assert msgspec.json.decode(key_value.get(KEY).value)["n"] == "newer"


def test_many_holders_return_from_an_outage_without_a_herd(clock):
    """930 holders, an outage of 5 minutes in which all leases lapse."""
    key_value = MemoryKeyValue(clock)
    clients = [key_value.client() for _ in range(930)]
    holders = [
        LeaseHolder(client, clock, f"members/{n}", {}, random=Random(n))
        for n, client in enumerate(clients)
    ]
    due = [holder.step() for holder in holders]
    rates = Counter()
    for second in range(1, 400):
        clock.advance(1.0)
        key_value.state.outage = 30 <= second < 330
        before = sum(client.calls.total() for client in clients)
        for number, holder in enumerate(holders):
            if due[number] <= second:
                due[number] = second + holder.step()
        after = sum(client.calls.total() for client in clients)
        rates[second] = after - before
    assert all(holder.check() for holder in holders)
    assert max(rates[second] for second in range(330, 400)) <= 400
    assert sum(rates[second] for second in range(380, 400)) / 20 <= 160


class Recording(MemoryKeyValue):
    """Remembers the lease that its holder knows of."""

    lease = 0

    def grant_lease(self, ttl):
        reply = super().grant_lease(ttl)
        self.lease = getattr(reply, "lease", self.lease)
        return reply


class LeaseMachine(RuleBasedStateMachine):
    """Two processes of one name, faults of the service, pauses."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.service = MemoryKeyValue(self.clock)
        self.clients = [Recording(state=self.service.state)]
        self.holders = [self.process(self.clients[0])]

    def process(self, client):
        return LeaseHolder(client, self.clock, KEY, {}, random=Random(7))

    @rule(data=st.data())
    def step(self, data):
        holder = data.draw(st.sampled_from(self.holders))
        assert 0 < holder.step() <= 30.0

    @precondition(lambda self: len(self.holders) < 2)
    @rule()
    def start_another(self):
        self.clients.append(Recording(state=self.service.state))
        self.holders.append(self.process(self.clients[-1]))

    @rule(seconds=st.sampled_from((1.0, 5.0, 14.0, 40.0)))
    def advance(self, seconds):
        self.clock.advance(seconds)

    @rule(data=st.data(), kind=st.sampled_from(("answers", "requests", "delay")))
    def fault(self, data, kind):
        client = data.draw(st.sampled_from(self.clients))
        if kind == "answers":
            client.lose_answers = 1
        elif kind == "requests":
            client.lose_requests = 1
        else:
            client.delay_requests = 1

    @rule(data=st.data())
    def late(self, data):
        data.draw(st.sampled_from(self.clients)).deliver_delayed()

    @rule()
    def toggle_outage(self):
        self.service.state.outage = not self.service.state.outage

    @rule(data=st.data())
    def fenced(self, data):
        number = data.draw(st.integers(0, len(self.holders) - 1))
        if isinstance(self.holders[number].fenced_write(), Held):
            row = self.service.state.rows[KEY]
            assert row.lease == self.clients[number].lease

    @rule(data=st.data())
    def release(self, data):
        data.draw(st.sampled_from(self.holders)).release()

    @invariant()
    def a_holder_that_may_act_has_a_living_lease(self):
        self.service.state.lapse()
        for client, holder in zip(self.clients, self.holders, strict=True):
            assert not holder.check() or client.lease in self.service.state.leases

    def teardown(self):
        """Once the faults end, exactly one process holds."""
        self.service.state.outage = False
        for client in self.clients:
            client.lose_answers = client.lose_requests = client.delay_requests = 0
        for holder in self.holders * 4:
            holder.step()
        held = [isinstance(holder.fenced_write(), Held) for holder in self.holders]
        assert held.count(True) == 1


LeaseMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=30
)
TestLeaseMachine = LeaseMachine.TestCase
