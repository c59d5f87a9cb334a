"""State machines and random scripts: ownership, configuration, forwarded requests.

They check invariants over random sequences of events, such as kills, late reads of rows
and failed sends.
"""

from dataclasses import replace

import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from platform_standins import deployment
from rows_fakes import make_forwarder_by, make_lot, make_store
from wigeonfront.clock import ManualClock
from wigeonfront.configuration import Route, RouteKind, ServiceShare
from wigeonfront.coordination.membership import Member
from wigeonfront.coordination.mirror import MirrorState
from wigeonfront.coordination.rows import Row
from wigeonfront.forwarding import (
    Answered,
    Broken,
    CallerGone,
    ForwardRequest,
    NotExecuted,
    TimedOut,
)
from wigeonfront.forwarding.steps import DropRequest, Fail, ReturnAnswer
from wigeonfront.node.following import ConfigurationFollower
from wigeonfront.platform import records
from wigeonfront.rollout.head import Head, LotState
from wigeonfront.rollout.lot import SampleResult
from wigeonfront.rollout.ownership import NO_OWNER, claimable_lots
from wigeonfront.rollout.repository import Kept, LotRepository
from wigeonfront.targets.target import Target

MACHINES = ("n1", "n2", "n3")
LOTS = ("l1", "l2", "l3")
GRACE = 1.5


class Owner:
    """An entry and its last view of the rows, which may be out of date."""

    def __init__(self, name, number):
        self.member = Member(name, f"{name}.{number}", f"{name}:1")
        self.heads = {}
        self.members = []
        self.missing_since = {}
        # Revision of the head of each Lot that the entry runs.
        self.owned = {}

    @property
    def id(self):
        return self.member.incarnation


class OwnershipMachine(RuleBasedStateMachine):
    """Entries start, are killed, read rows late and claim Lots."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.started = 0
        self.repository = LotRepository(make_store(), 10_000)
        self.owners = {}
        self.written = {}
        for name in MACHINES:
            self.start(name)
        for lot in LOTS:
            owner = self.owners[MACHINES[0]]
            kept = self.repository.accept(make_lot(lot, samples=30), owner.id)
            owner.owned[lot] = kept.revision

    def start(self, name):
        self.started += 1
        self.owners[name] = Owner(name, self.started)

    @rule(name=st.sampled_from(MACHINES))
    def kill_and_restart(self, name):
        self.start(name)

    @rule(name=st.sampled_from(MACHINES), heads=st.booleans(), members=st.booleans())
    def update_view(self, name, heads, members):
        owner = self.owners[name]
        if heads:
            owner.heads = {lot: self.repository.head(lot) for lot in LOTS}
        if members:
            owner.members = [other.member for other in self.owners.values()]
        live = {member.incarnation for member in owner.members}
        gone = {head.owner for head in owner.heads.values()} - live
        since = owner.missing_since
        owner.missing_since = {id: since.get(id, self.now) for id in gone}
        for lot, head in owner.heads.items():
            if head.revision > owner.owned.get(lot, head.revision):
                del owner.owned[lot]

    @rule(seconds=st.sampled_from((0.2, 1.0, 2.0)))
    def advance_time(self, seconds):
        self.now += seconds

    @rule(name=st.sampled_from(MACHINES))
    def claim(self, name):
        owner = self.owners[name]
        lots = claimable_lots(
            owner.heads,
            owner.members,
            owner.missing_since,
            owner.id,
            owner.owned,
            self.now,
            GRACE,
        )
        for lot in lots:
            head = owner.heads[lot]
            if head.owner == owner.id:
                owner.owned[lot] = head.revision
                continue
            outcome = self.repository.claim(lot, head, owner.id)
            if isinstance(outcome, Kept):
                owner.owned[lot] = outcome.revision

    @rule(name=st.sampled_from(MACHINES), lot=st.sampled_from(LOTS))
    def hand_over(self, name, lot):
        owner = self.owners[name]
        revision = owner.owned.pop(lot, None)
        if revision is not None:
            self.repository.hand_over(
                lot, revision, Head(NO_OWNER, LotState.OPEN, 30), {}
            )

    @rule(name=st.sampled_from(MACHINES), lot=st.sampled_from(LOTS))
    def write_result(self, name, lot):
        owner = self.owners[name]
        if lot not in owner.owned:
            return
        position = len(self.repository.results(lot, 0))
        result = SampleResult(f"{lot}-{position}", True, owner.id.encode())
        outcome = self.repository.append(lot, owner.owned[lot], position, [result])
        if isinstance(outcome, Kept):
            assert self.repository.head(lot).owner == owner.id
            self.written.setdefault(lot, []).append(result)

    @invariant()
    def at_most_one_owner_can_write(self):
        for lot in LOTS:
            revision = self.repository.head(lot).revision
            writers = [
                owner
                for owner in self.owners.values()
                if owner.owned.get(lot) == revision
            ]
            assert len(writers) <= 1

    @invariant()
    def written_results_stay(self):
        for lot, results in self.written.items():
            assert self.repository.results(lot, 0) == results

    def teardown(self):
        """Check that each Lot has one live owner once all views are up to date."""
        for _ in range(2):
            for name in MACHINES:
                self.update_view(name, True, True)
            self.now += GRACE
            for name in MACHINES:
                self.update_view(name, True, True)
                self.claim(name)
        live = {owner.id: owner for owner in self.owners.values()}
        for lot in LOTS:
            head = self.repository.head(lot)
            assert live[head.owner].owned[lot] == head.revision


TestOwnership = OwnershipMachine.TestCase
TestOwnership.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)


class StaleMirror:
    """Rows at some moment, which may be before the rows that were read last."""

    age = 0.0

    def __init__(self, rows):
        self.rows = rows

    def state(self):
        return MirrorState(self.rows, 0)


class ConfigurationMachine(RuleBasedStateMachine):
    """Rows are written, and read in any order; no version may go back."""

    def __init__(self):
        super().__init__()
        self.version = self.named = 1
        self.revision = 1
        self.states = [{}]
        self.follower = ConfigurationFollower(ManualClock())
        self.in_force = 0
        self.known = {}

    def write(self, key, value):
        self.revision += 1
        self.states.append(self.states[-1] | {key: Row(key, value, self.revision)})

    @rule(step=st.integers(1, 5))
    def write_configuration(self, step):
        self.version += step
        value = deployment.configuration(self.version)
        self.write(records.CONFIGURATION_KEY, value)

    @rule(model=st.sampled_from("ab"))
    def name_version(self, model):
        self.named += 1
        value = msgspec.json.encode({"model": model, "version": self.named})
        self.write(records.VERSION_PREFIX + model, value)

    @rule(value=st.sampled_from((b"", b"{", b"[]", b'{"version":"x"}')))
    def read_malformed_row(self, value):
        row = Row(records.CONFIGURATION_KEY, value, self.revision)
        self.follower.update(StaleMirror({records.CONFIGURATION_KEY: row}))

    @rule(data=st.data())
    def read_rows(self, data):
        self.follower.update(StaleMirror(data.draw(st.sampled_from(self.states))))

    @invariant()
    def versions_never_decrease(self):
        current = self.follower.current
        version = current.version if current else 0
        assert version >= self.in_force
        self.in_force = version
        named = {pair.model: pair.version for pair in self.follower.versions()}
        assert all(named[model] >= known for model, known in self.known.items())
        self.known = named

    def teardown(self):
        """Check that the newest configuration is in force once it is read."""
        self.follower.update(StaleMirror(self.states[-1]))
        row = self.states[-1].get(records.CONFIGURATION_KEY)
        if row is not None:
            assert self.follower.current.version == self.version


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(max_examples=60, deadline=None)


class ScriptedExchange:
    """Answers sends with scripted outcomes; each takes a share of the time left."""

    def __init__(self, clock, script):
        self.clock = clock
        self.script = list(script)
        self.sent = []

    def send(
        self,
        request,
        target,
        deadline,
        caller,
        run_seconds,
        handle,
        on_sent,
        reuse_deadline,
        slow,
    ):
        on_sent()
        outcome, share = self.script.pop(0)
        left = max(0.0, deadline - self.clock.monotonic())
        used = left if isinstance(outcome, TimedOut) else left * share
        self.clock.advance(used)
        self.sent.append((target.id, outcome))
        return (
            replace(outcome, waited=used) if isinstance(outcome, TimedOut) else outcome
        )


OUTCOMES = st.sampled_from(
    (
        Answered(200, (), b"x"),
        Answered(500, (), b"x"),
        Answered(404, (), b""),
        NotExecuted("full", 503),
        NotExecuted("other", 421, replaced=True),
        NotExecuted("no connection"),
        Broken("reset"),
        TimedOut(),
        CallerGone(),
    )
)


NO_CONNECTION = (NotExecuted("no connection"), 0.0)
FAILED = (Answered(500, (), b"x"), 0.0)


@settings(max_examples=300, deadline=None)
@example(script=[FAILED, FAILED, *[NO_CONNECTION] * 3], repeatable=True, attempts=3)
@given(
    script=st.lists(st.tuples(OUTCOMES, st.floats(0.0, 0.6)), min_size=5, max_size=5),
    repeatable=st.booleans(),
    attempts=st.integers(1, 3),
)
def test_the_end_of_a_request_fits_the_outcomes_of_its_sends(
    script, repeatable, attempts
):
    clock = ManualClock()
    exchange = ScriptedExchange(clock, script)
    targets = [Target(f"t{n}", "s", f"h:{n}", "z", 4) for n in range(5)]
    forwarder, _, _ = make_forwarder_by(exchange, clock, targets, "z")
    kind = RouteKind.IDEMPOTENT if repeatable else RouteKind.NON_IDEMPOTENT
    share = (ServiceShare("s", 1.0),)
    route = Route("r", "h", "/", kind, share, 1.5, 0.2, attempts)
    request = ForwardRequest("r1", "POST", "/", (), b"", repeatable, "studio")
    end = forwarder.forward(request, route, 1.5, None)
    outcomes = [outcome for _, outcome in exchange.sent]
    used = [target for target, _ in exchange.sent]
    ran = [outcome for outcome in outcomes if not isinstance(outcome, NotExecuted)]
    reached = [
        outcome
        for outcome in outcomes
        if not (isinstance(outcome, NotExecuted) and outcome.status == 0)
    ]
    assert len(forwarder._starts.since(0.0)) == len(ran)
    assert clock.monotonic() <= 1.5
    assert len(set(used)) == len(used)
    assert len(reached) <= attempts
    if not repeatable:
        assert len(ran) <= 1
    if isinstance(end, ReturnAnswer):
        answers = [outcome for outcome in outcomes if isinstance(outcome, Answered)]
        assert end.answer is answers[-1]
        if end.answer is not outcomes[-1]:
            # An earlier answer is returned only when no target is left.
            assert len(used) == len(targets)
            assert repeatable or ran == answers
    elif isinstance(end, Fail):
        assert (end.status == 503) == (not ran)
        assert bool(end.retry_after) == (end.status == 503)
    else:
        assert isinstance(end, DropRequest)
        assert outcomes[-1] == CallerGone()
