"""Execution at a side: what becomes of admitted attempts, whatever the target does."""

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from fakes import SideProcess, whole, wsgi_call
from wigeonfront.clock import ManualClock
from wigeonfront.messages import (
    Attempt,
    Dispatch,
    DispatchReply,
    OpenSession,
    from_wire,
)
from wigeonfront.outcomes import (
    Completed,
    Expired,
    Failed,
    Interrupted,
    NotRun,
    Unknown,
    VersionSpan,
)
from wigeonfront.side.execution import TargetCondition
from wigeonfront.supervisor import BrokenInvariant


class Desk:
    """A side and the session of one entry with it."""

    def __init__(self, **parts):
        self.clock = ManualClock()
        self.side = SideProcess(self.clock, **parts)
        self.execution = self.side.execution
        self.target = self.side.target
        self.side.ledger.open(OpenSession(entry="e", entry_incarnation="i", session=1))

    def call(self, **fields):
        header = {"entry": "e", "entry_incarnation": "i", "side_incarnation": "s"}
        message = Dispatch(**header, session=1, **fields)
        application = self.side.application
        _, _, chunks = wsgi_call(application, "POST", "/peer/dispatch", message)
        return msgspec.json.decode(b"".join(chunks), type=DispatchReply)

    def send(self, name, **fields):
        """Return why the attempt was refused, if it was."""
        reply = self.call(attempts=[Attempt(attempt=name, request=name, **fields)])
        return from_wire(reply.refused[0].outcome) if reply.refused else None

    def cancel(self, *names):
        self.call(cancel=list(names))

    def step(self):
        return self.execution.step(0)

    def outcomes(self):
        found = self.side.ledger.results("e", "i", 1, 0)
        outcomes = {one.attempt: one.outcome for one in found}
        assert len(outcomes) == len(found)
        return outcomes


def generate(tokens, version, during=lambda: None):
    """Return a target's step that adds tokens, and stops if `during` says so."""

    def step(run):
        run.extend(tokens, version)
        during()
        if run.cancelled.is_set():
            return Interrupted(run.reason, tuple(run.tokens), tuple(run.versions))
        return Completed({"tokens": list(run.tokens)}, tuple(run.versions), "t")

    return step


def crash(run):
    raise RuntimeError("a fault in this process")


CUT = Interrupted("stream_cut", ("a",), (VersionSpan(1, 0, 1),))


@pytest.mark.parametrize(
    ("idempotent", "step", "outcome"),
    [
        (True, whole, Completed("p", (), "t")),
        (False, Failed("broken", 500), Failed("broken", 500)),
        (False, NotRun("target_down", 1.0), NotRun("target_down", 1.0)),
        (False, Unknown("target_connection_lost"), Unknown("target_connection_lost")),
        (True, Expired(started=True), Expired(started=True)),
        (True, CUT, CUT),
        (False, CUT, Unknown("stream_cut")),
        (False, crash, Unknown("side_error")),
    ],
)
def test_each_end_at_the_target_is_told_once(idempotent, step, outcome):
    desk = Desk()
    desk.target.script.append(step)
    assert desk.send("a", idempotent=idempotent, payload="p") is None
    assert desk.step()
    assert not desk.step()
    assert desk.outcomes() == {"a": outcome}
    assert desk.execution.unreachable.is_set() == (
        outcome == step == NotRun("target_down", 1.0)
    )
    assert desk.execution.in_flight == 0


def test_a_broken_invariant_is_passed_on():
    def breaks(run):
        raise BrokenInvariant

    desk = Desk()
    desk.target.script.append(breaks)
    desk.send("a")
    with pytest.raises(BrokenInvariant):
        desk.step()


def preempted(desk):
    """Send a rollout, and an urgent attempt while two tokens of it are there."""
    urgent = generate(["u"], 1)
    preempt = generate(["a", "b"], 1, lambda: desk.send("urgent", remaining=9.0))
    desk.target.script += [preempt, urgent]
    desk.send("rollout", work_class="rollout", remaining=5.0)
    desk.step()
    assert desk.outcomes() == {}


def test_a_preempted_rollout_goes_on_from_its_tokens():
    desk = Desk(generates=True)
    preempted(desk)
    desk.target.script.append(generate(["c"], 2))
    while desk.step():
        pass
    assert desk.target.executed == ["rollout", "urgent", "rollout"]
    assert desk.outcomes()["rollout"] == Completed(
        {"tokens": ["a", "b", "c"]}, (VersionSpan(1, 0, 2), VersionSpan(2, 2, 3)), "t"
    )


BEGUN = Interrupted("target_down", ("a", "b"), (VersionSpan(1, 0, 2),))


@pytest.mark.parametrize(
    ("seconds", "step", "outcome"),
    [
        (6.0, None, Expired(started=True)),
        (0.0, Expired(started=False), Expired(started=True)),
        (0.0, NotRun("target_down", 1.0), BEGUN),
    ],
)
def test_what_has_begun_is_never_told_as_not_run(seconds, step, outcome):
    desk = Desk(generates=True)
    preempted(desk)
    desk.step()
    desk.clock.advance(seconds)
    desk.side.expire()
    desk.target.script.append(step)
    desk.step()
    assert desk.outcomes()["rollout"] == outcome
    assert desk.execution.in_flight == 0


@pytest.mark.parametrize("idempotent", [True, False])
def test_cancelled_while_queued(idempotent):
    desk = Desk()
    desk.send("a", idempotent=idempotent)
    desk.cancel("a")
    assert not desk.step()
    assert desk.outcomes() == {"a": NotRun("cancelled")}
    assert desk.execution.in_flight == 0


def test_cancelled_between_the_queue_and_the_target():
    desk = Desk()
    desk.send("a", idempotent=False)
    item = desk.side.queue.take(0)
    desk.cancel("a")
    desk.execution._execute(item)
    assert desk.target.executed == []
    assert desk.outcomes() == {"a": NotRun("cancelled")}
    assert desk.execution.in_flight == 0


@pytest.mark.parametrize(
    ("idempotent", "outcome"),
    [
        (True, Unknown("cancelled")),
        (False, Completed({"tokens": ["a"]}, (VersionSpan(1, 0, 1),), "t")),
    ],
)
def test_cancelled_while_running(idempotent, outcome):
    desk = Desk(generates=True)
    desk.target.script.append(generate(["a"], 1, lambda: desk.cancel("a")))
    desk.send("a", idempotent=idempotent)
    desk.step()
    assert desk.outcomes() == {"a": outcome}


@pytest.mark.parametrize("first", ["cancel", "preempt", "late"])
def test_cancelled_and_preempted_at_once_does_not_run_again(first):
    desk = Desk(generates=True)

    def both():
        if first == "cancel":
            desk.cancel("rollout")
        desk.send("urgent")
        if first == "preempt":
            desk.cancel("rollout")

    def late(run):
        """The target notices a preemption just before the cancellation comes."""
        desk.send("urgent")
        stopped = Interrupted(run.reason, ("a",), ())
        desk.cancel("rollout")
        return stopped

    desk.target.script += [
        late if first == "late" else generate(["a"], 1, both),
        generate(["u"], 1),
    ]
    desk.send("rollout", work_class="rollout")
    while desk.step():
        pass
    assert desk.target.executed == ["rollout", "urgent"]
    assert desk.outcomes()["rollout"] == Unknown("cancelled")
    assert desk.execution.in_flight == 0


@pytest.mark.parametrize(
    ("condition", "fields", "reason"),
    [
        (TargetCondition(4), {"min_version": 5}, "version_behind"),
        (TargetCondition(5), {"min_version": 5}, None),
        (TargetCondition(5, False), {}, "not_serving"),
        (TargetCondition(5, False), {"work_class": "booking"}, "not_serving"),
        (TargetCondition(5, False), {"work_class": "rollout"}, None),
    ],
)
def test_what_is_refused(condition, fields, reason):
    desk = Desk(generates=True)
    desk.execution.condition = condition
    refusal = desk.send("a", **fields)
    assert (refusal and refusal.reason) == reason


def test_a_hold_sends_back_what_waits_and_leaves_the_rest():
    desk = Desk(capacity=2)
    desk.target.script.append(lambda run: desk.execution.hold("swapping") or whole(run))
    for name, work_class in zip(
        "abc", ("booking", "interactive", "rollout"), strict=True
    ):
        desk.send(name, work_class=work_class, idempotent=work_class != "booking")
    desk.target.script.append(whole)
    desk.step()
    assert desk.outcomes() == {
        "b": Completed(None, (), "t"),
        "a": NotRun("swapping", 0.0),
    }
    assert desk.send("d").reason == "swapping"
    assert desk.step()
    desk.execution.release()
    assert desk.send("e") is None


def test_a_stopping_target_sends_back_what_waits():
    desk = Desk(generates=True)
    desk.send("a")
    desk.execution.condition = TargetCondition(-1, False)
    assert desk.outcomes() == {"a": NotRun("not_serving", 0.0)}
    desk.execution.condition = TargetCondition(5)
    assert desk.send("b") is None


@pytest.mark.parametrize(
    "end", ["ran", "expired", "held", "handed_back", "preempted", "again"]
)
def test_in_flight_until_the_ledger_has_the_outcome(monkeypatch, end):
    """A stopping side waits for `in_flight` and then for unread results."""
    desk = Desk(generates=True)
    finish, seen = desk.side.ledger.finish, []

    def watched(run, outcome):
        seen.append(desk.execution.in_flight)
        return finish(run, outcome)

    monkeypatch.setattr(desk.side.ledger, "finish", watched)

    def during():
        if end == "again":
            desk.send("b", key="k", min_version=7)
        if end != "ran":
            desk.execution.hand_back("leaving")
        if end == "preempted":
            desk.side.queue._running["a"].payload.cancel("preempted")

    desk.execution.condition = TargetCondition(9)
    desk.send("a", remaining=1.0, key="k")
    desk.target.script.append(generate(["t"], 6, during))
    if end in ("ran", "preempted", "again"):
        desk.step()
    elif end == "held":
        desk.execution.hold("swapping")
    elif end == "handed_back":
        desk.execution.hand_back("leaving")
    else:
        desk.clock.advance(2.0)
        desk.side.queue.sweep()
    assert (set(seen), desk.execution.in_flight) == (
        {2, 1} if end == "again" else {1},
        0,
    )


def test_what_has_begun_is_handed_back_with_its_tokens():
    desk = Desk(generates=True, capacity=1)
    preempted(desk)
    desk.send("waits")
    desk.execution.hand_back("leaving")
    outcomes = desk.outcomes()
    assert outcomes["rollout"] == Interrupted("leaving", ("a", "b"), BEGUN.versions)
    assert outcomes["waits"] == NotRun("leaving", 1.0)
    assert desk.send("late").reason == "leaving"


def test_runs_made_again_may_be_refused():
    """Too old for those that joined: they run again, or are told that they don't."""
    desk = Desk(generates=True)
    desk.execution.condition = TargetCondition(9)
    fill = [lambda n=n: desk.send(n, work_class="rollout") for n in "wxyz"]

    def full():
        desk.send("b", key="k", min_version=6, work_class="rollout")
        for each in fill:
            each()

    desk.target.script.append(generate(["a"], 5, full))
    desk.send("a", key="k", work_class="rollout")
    desk.step()
    outcomes = desk.outcomes()
    assert isinstance(outcomes["a"], Completed)
    assert outcomes["b"].reason == "queue_full"


class ExecutionMachine(RuleBasedStateMachine):
    """Whatever comes while attempts wait and run, each ends in one true outcome."""

    def __init__(self):
        super().__init__()
        self.desk = Desk(generates=True)
        self.sent = {}

    @rule(
        wanted=st.lists(
            st.tuples(
                st.sampled_from(("interactive", "booking", "rollout", "rollout")),
                st.booleans(),
                st.sampled_from((1.0, 5.0, 60.0)),
            ),
            min_size=1,
            max_size=3,
        )
    )
    def send(self, wanted):
        for work_class, idempotent, remaining in wanted:
            name = f"a{len(self.sent)}"
            idempotent = idempotent or work_class == "rollout"
            refusal = self.desk.send(
                name,
                work_class=work_class,
                idempotent=idempotent,
                remaining=remaining,
            )
            self.sent[name] = (idempotent, refusal)

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def cancel(self, data):
        self.desk.cancel(data.draw(st.sampled_from(sorted(self.sent))))

    @rule(stopped=st.sampled_from(("held", "not_serving")))
    def stop_and_go(self, stopped):
        if stopped == "held":
            self.desk.execution.hold("swapping")
            self.send([("booking", False, 5.0), ("rollout", True, 5.0)])
            self.desk.execution.release()
        else:
            self.desk.execution.condition = TargetCondition(1, False)
            self.send([("interactive", True, 5.0)])
            self.desk.execution.condition = TargetCondition(1)

    @rule(seconds=st.sampled_from((0.5, 2.0, 30.0)))
    def advance(self, seconds):
        self.desk.clock.advance(seconds)
        self.desk.side.expire()

    @rule(
        data=st.data(),
        during=st.lists(
            st.sampled_from(("urgent", "cancel", "stop", "advance")), max_size=3
        ),
        end=st.sampled_from(
            (None, None, CUT, NotRun("target_down"), Failed("x"), crash)
        ),
    )
    def step(self, data, during, end):
        acts = {
            "urgent": lambda: self.send([("interactive", False, 5.0)]),
            "cancel": lambda: self.cancel(data),
            "stop": lambda: self.stop_and_go("held"),
            "advance": lambda: self.advance(2.0),
        }

        def run(one):
            found = generate(["t"], 1, lambda: [acts[name]() for name in during])(one)
            if end is None or isinstance(found, Interrupted):
                return found
            return crash(one) if end is crash else end

        def not_run(one):
            self.desk.target.executed.pop()
            return end

        script = self.desk.target.script
        script.append(not_run if isinstance(end, NotRun) else run)
        self.desk.step()
        script.clear()

    def teardown(self):
        self.desk.execution.condition = TargetCondition(1)
        self.desk.target.script.extend([generate(["t"], 1)] * 200)
        while self.desk.step():
            pass
        self.desk.side.expire()
        outcomes = self.desk.outcomes()
        admitted = {name for name, (_, refusal) in self.sent.items() if not refusal}
        assert set(outcomes) == admitted
        assert self.desk.execution.in_flight == 0
        executed = self.desk.target.executed
        for name, (idempotent, _) in self.sent.items():
            if not idempotent:
                assert executed.count(name) <= 1
            outcome = outcomes.get(name, NotRun("refused"))
            not_run = isinstance(outcome, NotRun) or outcome == Expired(started=False)
            assert not (not_run and name in executed)


ExecutionMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=30
)
TestExecutionMachine = ExecutionMachine.TestCase
