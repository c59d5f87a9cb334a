"""An entry's peers against the real side, over a network that fails in every way."""

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from fakes import BEAT, MemoryNetwork, SideProcess, whole
from wigeonfront.clock import ManualClock
from wigeonfront.coordination import slots
from wigeonfront.entry.peers import Identity, Peer
from wigeonfront.messages import (
    Attempt,
    Beat,
    DeliveryRequest,
    Opened,
    Result,
    to_wire,
)
from wigeonfront.outcomes import Completed, Expired, Failed, NotRun, Unknown
from wigeonfront.platform import Vm

ADDRESS = "side-1:1"
VM = Vm("side-1", "side", "desk", "a", ADDRESS)


class Entry:
    """A peer, its session's task taken step by step, and the sink of its attempts."""

    def __init__(self, network, name, incarnation, check=lambda attempt, outcome: None):
        self.name = f"{name}.{incarnation}"
        self.network, self.check = network, check
        self.identity = Identity(name, incarnation)
        self.peer = Peer(VM, self.identity, network.clock, BEAT, pools=network.pool)
        self.peer._pool.interrupt = self.interrupt
        self.frames, self.reading = None, False
        self.sent, self.outcomes, self.cancelled = {}, {}, set()

    @property
    def stream(self):
        return self.peer._stream_pool.stream

    @property
    def unresolved(self):
        return set(self.sent) - set(self.outcomes) - self.cancelled

    def put(self, attempt, outcome, side):
        assert attempt in self.sent, "of another entry"
        assert attempt not in self.outcomes, "resolved twice"
        assert side == VM.name
        self.check(self.sent[attempt], outcome)
        self.outcomes[attempt] = outcome

    def dispatch(self, *attempts):
        named = [
            msgspec.structs.replace(one, attempt=f"{self.name}.{len(self.sent) + n}")
            for n, one in enumerate(attempts)
        ]
        self.sent.update((one.attempt, one) for one in named)
        self.peer.dispatch(named, self)
        return [one.attempt for one in named]

    def cancel(self, attempt):
        if attempt not in self.outcomes:
            self.cancelled.add(attempt)
        self.peer.cancel([attempt])

    def read(self, count=1):
        """Take frames; a session that has ended is opened again."""
        self.reading = True
        for _ in range(count):
            if self.frames is None:
                self.frames = self.peer.frames()
            if next(self.frames, None) is None:
                self.frames = None
        self.reading = False

    def interrupt(self):
        """Let the session end and a new one begin while a call is on its way."""
        if not self.reading and self.frames is not None:
            self.stream.shutdown()
            self.read(3)


class World:
    def __init__(self, check=lambda attempt, outcome: None):
        self.clock = ManualClock(1000.0)
        self.network = MemoryNetwork(self.clock)
        self.check = check
        self.side = None
        self.incarnations = 0
        self.start_side()

    def start_side(self):
        self.incarnations += 1
        self.side = SideProcess(self.clock, f"s{self.incarnations}", capacity=2)
        self.network.applications[ADDRESS] = self.side.application

    def entry(self, name="e1", incarnation="i1"):
        return Entry(self.network, name, incarnation, self.check)


def attempt(**fields):
    return Attempt(attempt="", request="r", **fields)


@pytest.fixture
def world():
    return World()


@pytest.fixture
def entry(world):
    entry = world.entry()
    entry.read(2)
    return entry


@pytest.mark.parametrize(
    ("fate", "outcome"),
    [
        ("whole", Completed("p", (), "t")),
        ("not_sent", NotRun("peer_unreachable", 1.0)),
        ("lost", NotRun("not_delivered", 0.0)),
        ("late", NotRun("not_delivered", 0.0)),
        ("answer_lost", Completed("p", (), "t")),
        ("twice", Completed("p", (), "t")),
        ("again_later", Completed("p", (), "t")),
        ("reset_before", NotRun("not_delivered", 0.0)),
        ("reset_after", Completed("p", (), "t")),
    ],
)
def test_each_fate_of_a_dispatch(world, entry, fate, outcome):
    world.network.fates.append(fate)
    (name,) = entry.dispatch(attempt(payload="p", idempotent=False))
    entry.read(3)
    for late in world.network.late:
        late()
    while world.side.execution.step(0):
        pass
    entry.read(3)
    assert entry.outcomes == {name: outcome}
    ran = isinstance(outcome, Completed)
    assert world.side.target.executed == ([name] if ran else [])


def test_nothing_is_sent_without_a_session(world):
    entry = world.entry()
    (name,) = entry.dispatch(attempt())
    assert entry.outcomes == {name: NotRun("peer_disconnected", 1.0)}


@pytest.mark.parametrize(("idempotent", "seconds"), [(True, 1.0), (False, 6.0)])
def test_a_side_that_stays_away_is_given_up(world, entry, idempotent, seconds):
    (name,) = entry.dispatch(attempt(idempotent=idempotent))
    del world.network.applications[ADDRESS]
    entry.stream.fault = "silent"
    entry.read(2)
    assert entry.outcomes == {}
    world.clock.advance(seconds)
    entry.read()
    assert entry.outcomes == {name: Unknown("peer_lost")}
    entry.read()


@pytest.mark.parametrize("before", [True, False])
def test_a_restarted_side_does_not_know_what_ran(world, entry, before):
    (name,) = entry.dispatch(attempt(idempotent=False))
    if before:
        world.side.execution.step(0)
    world.start_side()
    entry.stream.shutdown()
    entry.read(3)
    assert entry.outcomes == {name: Unknown("side_restarted")}


def test_a_side_that_forgot_the_entry(world, entry):
    (name,) = entry.dispatch(attempt(idempotent=False))
    entry.stream.shutdown()
    world.clock.advance(700.0)
    world.side.expire()
    entry.read(2)
    assert entry.outcomes == {name: Unknown("side_forgot")}
    entry.read(2)
    (again,) = entry.dispatch(attempt(payload="p"))
    world.side.execution.step(0)
    entry.read(3)
    assert entry.outcomes[again] == Completed("p", (), "t")


def test_a_vm_that_is_gone(world, entry):
    (name,) = entry.dispatch(attempt())
    entry.peer.gone()
    assert entry.outcomes == {name: Unknown("side_gone")}


@pytest.mark.parametrize(
    ("fate", "status", "connected"),
    [
        ("whole", "granted", True),
        ("twice", "granted", True),
        ("not_sent", None, True),
        ("lost", None, False),
        ("answer_lost", None, False),
    ],
)
def test_speaking_for_a_lot(world, entry, fate, status, connected):
    """An owner that doesn't answer leaves it open; asking again changes nothing."""
    keeper = world.side.keeper
    keeper._key_value.put(
        "slots/desk", slots.encode(slots.create("desk", ["side-1"], 1))
    )
    keeper.refresh()
    ask = DeliveryRequest(step="begin", key="t/l", service="desk", holder="h", epoch=2)
    world.network.fates.append(fate)
    reply = entry.peer.deliver(ask)
    assert (reply and reply.status) == status
    entry.read()
    assert entry.peer.state.connected == connected
    assert entry.peer.deliver(ask).status == "granted"


def foreign(entry, kind, session=0, incarnation="s1"):
    """Return a frame as another entry's stream might carry it, as a line."""
    header = {"session": session or entry.peer._session, "incarnation": incarnation}
    result = {"attempt": next(iter(entry.sent)), "outcome": to_wire(Completed("other"))}
    frames = {
        "opened": Opened(side="side-1", **header),
        "beat": Beat(leaving=True, **header),
        "result": Result(sequence=1, **result, **header),
        "gap": Result(sequence=7, **result, **header),
    }
    return msgspec.json.encode(frames[kind]) + b"\n"


@pytest.mark.parametrize(
    ("kind", "wrong"),
    [
        ("opened", {}),
        ("gap", {}),
        *((kind, {"session": 1}) for kind in ("opened", "beat", "result", "gap")),
        *((kind, {"incarnation": "s0"}) for kind in ("opened", "beat", "result")),
    ],
)
def test_foreign_frames_change_nothing(world, entry, kind, wrong):
    (name,) = entry.dispatch(attempt(payload="p", idempotent=False))
    entry.stream.shutdown()
    entry.read(2)
    entry.stream.injected.append(foreign(entry, kind, **wrong))
    entry.read()
    assert not (entry.peer.state.beat and entry.peer.state.beat.leaving)
    world.side.execution.step(0)
    entry.read(5)
    assert entry.outcomes == {name: Completed("p", (), "t")}


def test_no_two_peers_have_a_session_of_the_same_number(world):
    names = [("e1", "0"), ("e1", "1"), ("e2", "0")]
    entries = [world.entry(*each) for each in names]
    sessions = set()
    for entry in entries:
        for _ in range(3):
            entry.read(2)
            entry.stream.shutdown()
            entry.read()
            sessions.add(entry.peer._session)
    assert len(sessions) == 9


@pytest.mark.parametrize("kind", ["opened", "beat", "result"])
def test_a_stream_that_begins_as_another_s_is_left(world, kind):
    """An address may have passed to another VM, or a stream be mixed up."""
    entry = world.entry()
    entry.sent["e1.i1.0"] = attempt()
    world.network.preface.append(foreign(entry, kind, session=5))
    entry.read()
    assert (entry.frames, entry.peer.state.connected) == (None, False)
    entry.read()
    assert entry.peer.state.connected


@pytest.mark.parametrize(
    "line", [b"{}\n", b"no json\n", b'{"type": "opened"}\n', b"\xff\n"]
)
def test_a_malformed_line_ends_the_session(world, entry, line):
    (name,) = entry.dispatch(attempt(payload="p"))
    entry.stream.injected.append(line)
    world.side.execution.step(0)
    entry.read(5)
    assert entry.outcomes == {name: Completed("p", (), "t")}


class PeerMachine(RuleBasedStateMachine):
    """Entries that restart and linger, a side that restarts, calls of every fate."""

    def __init__(self):
        super().__init__()
        self.world = World(self.check)
        self.network = self.world.network
        self.executed, self.not_run, self.ended = [], set(), set()
        self.entries = [self.world.entry("e1", "0"), self.world.entry("e2", "0")]
        self.number = 0

    def check(self, sent, outcome):
        """An outcome is true, and of the attempt that it is told for."""
        name = sent.attempt
        if isinstance(outcome, NotRun) or outcome == Expired(started=False):
            assert name not in self.executed
            self.not_run.add(name)
        elif isinstance(outcome, Completed | Failed) and not sent.key:
            assert name in self.executed
        if isinstance(outcome, Completed):
            assert outcome.payload == sent.payload

    def ran(self, run):
        name = run.attempt.attempt
        assert name not in self.not_run
        assert name not in self.executed
        self.executed.append(name)

    @rule(
        data=st.data(),
        kinds=st.lists(
            st.sampled_from(("once", "again", "key", "brief")), min_size=1, max_size=3
        ),
        fate=st.sampled_from(("whole", "whole", *MemoryNetwork.FATES)),
    )
    def dispatch(self, data, kinds, fate):
        entry = data.draw(st.sampled_from(self.entries), label="entry")
        self.number += 1
        attempts = [
            attempt(
                payload="k" if kind == "key" else f"{self.number}.{place}",
                key="k" if kind == "key" else "",
                idempotent=kind != "once",
                remaining=2.0 if kind == "brief" else 30.0,
            )
            for place, kind in enumerate(kinds)
        ]
        if not entry.peer.state.connected:
            entry.read(2)
        self.network.fates.append(fate)
        entry.dispatch(*attempts)
        self.network.fates.clear()

    @rule(
        count=st.integers(1, 6),
        fates=st.lists(st.sampled_from(MemoryNetwork.FATES), max_size=1),
    )
    def read(self, count, fates):
        self.network.fates.extend(fates)
        for entry in self.entries:
            entry.read(count)
        self.network.fates.clear()

    @rule(data=st.data(), lost=st.integers(0, 3), silent=st.booleans())
    def cut(self, data, lost, silent):
        stream = data.draw(st.sampled_from(self.entries), label="entry").stream
        if stream is not None:
            stream.lose(lost)
            stream.fault = "silent" if silent else "cut"

    @precondition(lambda self: self.network.late)
    @rule(data=st.data())
    def deliver_late(self, data):
        self.network.late.pop(data.draw(st.integers(0, len(self.network.late) - 1)))()

    @rule(
        data=st.data(),
        end=st.sampled_from((None, None, Failed("x", 500), Unknown("cut"), "refused")),
        during=st.sampled_from(("", "", "cancel", "cut", "reopen", "expire")),
    )
    def execute(self, data, end, during):
        def run(one):
            if end == "refused":
                return NotRun("target_down")
            self.ran(one)
            if during == "cancel":
                self.cancel(data)
            elif during == "cut":
                self.cut(data, 1, silent=False)
            elif during == "reopen":
                data.draw(st.sampled_from(self.entries)).interrupt()
            elif during == "expire":
                self.advance(1.2)
            return end or whole(one)

        script = self.world.side.target.script
        script.extend([run] * 3)
        for _ in range(3):
            self.world.side.execution.step(0)
        script.clear()

    @rule(data=st.data())
    def cancel(self, data):
        entry = data.draw(st.sampled_from(self.entries), label="entry")
        if entry.unresolved:
            entry.cancel(data.draw(st.sampled_from(sorted(entry.unresolved))))

    @rule(data=st.data())
    def inject(self, data):
        """An earlier line comes once more, on whatever stream."""
        stream = data.draw(st.sampled_from(self.entries), label="entry").stream
        if stream is not None and self.network.recorded:
            line = data.draw(st.sampled_from(self.network.recorded), label="line")
            stream.injected.append(line)

    @rule(who=st.sampled_from(("side", "e1", "e2", "", "")))
    def restart(self, who):
        if who == "side":
            self.world.start_side()
            for entry in self.entries:
                if entry.stream is not None:
                    entry.stream.shutdown()
        elif who and len(self.entries) < 4:
            # The earlier process may wake up again.
            self.entries.append(self.world.entry(who, str(len(self.entries))))

    @rule(seconds=st.sampled_from((0.3, 0.3, 6.0)))
    def advance(self, seconds):
        self.world.clock.advance(seconds)
        self.world.side.expire()

    def teardown(self):
        """Once the network heals, every attempt gets its outcome."""
        script = self.world.side.target.script
        script.extend([lambda run: (self.ran(run), whole(run))[1]] * 500)
        for _ in range(6):
            for late in self.network.late:
                late()
            self.network.late.clear()
            for entry in self.entries:
                entry.read(4 + len(entry.unresolved))
            while self.world.side.execution.step(0):
                pass
            self.advance(1.5)
        for entry in self.entries:
            entry.read(4 + len(entry.unresolved))
            assert entry.unresolved == set()


PeerMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestPeerMachine = PeerMachine.TestCase
