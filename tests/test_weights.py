"""Swaps of one engine under failure: what it serves is what was read back from it."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fakes import SideProcess
from wigeonfront.clock import ManualClock
from wigeonfront.messages import Attempt, Dispatch, OpenSession
from wigeonfront.outcomes import Completed
from wigeonfront.platform import Vm
from wigeonfront.platform.memory import MemoryVmList, MemoryWeightStore
from wigeonfront.side.execution import TargetCondition
from wigeonfront.side.target import EngineState, Loaded, LoadRefused
from wigeonfront.side.weights import LOST_STATE_LIMIT, WeightsKeeper


class Engine:
    """An engine that carries out orders, or fails to.

    Attributes
    ----------
    fault : str
        Of the next order.
    """

    def __init__(self, version=5, checks=True):
        self.version, self.checks = version, checks
        self.loading, self.fencing, self.silent = None, 0, False
        self.fault = ""
        self.orders = []
        self.before = lambda: None

    def state(self):
        if self.silent:
            return None
        loading, self.loading = self.loading, None
        if loading is not None:
            # It ends before the next reading.
            self.version = loading
        return EngineState("i", "m", self.version if loading is None else -1, loading)

    def load(self, version, fencing, timeout):
        before, self.before = self.before, lambda: None
        before()
        self.orders.append((version, fencing))
        fault, self.fault = self.fault, ""
        if self.checks and fencing < self.fencing:
            return LoadRefused("fenced")
        self.fencing = max(self.fencing, fencing)
        if fault == "unreachable":
            return LoadRefused("unreachable")
        if fault == "half":
            self.version = -1
            return LoadRefused("failed")
        if fault == "crash":
            self.silent = True
            return LoadRefused("lost")
        if fault == "slow":
            self.loading = version
            return LoadRefused("lost")
        if fault != "dropped":
            self.version = version
        return LoadRefused("lost") if fault in ("lost", "dropped") else Loaded(version)


class Side:
    def __init__(self, engine, clock=None, number=1, store=None, names=("s",)):
        self.clock = clock or ManualClock(100.0)
        self.engine, self.number = engine, number
        self.process = SideProcess(self.clock, generates=True, capacity=2)
        self.execution = self.process.execution
        self.execution.condition = TargetCondition(-1, False)
        vms = tuple(Vm(name, "side", "m", "a", "") for name in names)
        self.keeper = WeightsKeeper(
            "s",
            "m",
            engine,
            self.execution,
            store,
            MemoryVmList(vms),
            lambda: self.number,
            self.clock,
        )

    def step(self, seconds=0.0):
        self.clock.advance(seconds)
        self.keeper.step()

    def admits(self, work_class="interactive"):
        """Tell whether new work is taken, and how it would be refused."""
        name = f"{work_class}-{self.clock.monotonic()}"
        attempt = Attempt(attempt=name, request="r", work_class=work_class)
        refusal = self.execution.admit(attempt)
        self.execution.stop_runs([name])
        return refusal is None or refusal.reason


@pytest.mark.parametrize(
    ("fault", "condition", "urgent", "orders_later"),
    [
        ("", TargetCondition(6, True), True, 0),
        ("lost", TargetCondition(6, True), True, 0),
        ("slow", TargetCondition(6, True), True, 0),
        ("dropped", TargetCondition(5, True), True, 1),
        ("unreachable", TargetCondition(5, True), True, 1),
        ("half", TargetCondition(-1, False), "not_serving", 1),
        ("crash", TargetCondition(5, False), "swapping", 0),
    ],
)
def test_what_is_served_after_an_order(fault, condition, urgent, orders_later):
    """The engine's own state is the proof, whatever the answer."""
    engine = Engine()
    side = Side(engine)
    side.step()
    assert side.admits()
    engine.fault = fault
    seen = []
    engine.before = lambda: seen.append(
        (side.execution.condition.serving, side.admits(), side.admits("rollout"))
    )
    side.keeper.learned(6)
    side.step()
    assert seen == [(False, "swapping", True)]
    assert side.execution.condition == condition
    assert side.admits() == urgent
    assert side.admits("rollout")
    engine.before = lambda: None
    for _ in range(LOST_STATE_LIMIT):
        side.step(100.0)
    assert len(engine.orders) == 1 + orders_later
    engine.silent = False
    side.step()
    assert side.execution.condition == TargetCondition(6, True) or fault == "crash"
    side.step(100.0)
    assert (engine.version, side.admits()) == (6, True)


def test_a_silent_engine_serves_nothing_until_it_answers():
    engine = Engine()
    side = Side(engine)
    assert side.admits() == "not_serving"
    side.step()
    engine.silent = True
    for _ in range(LOST_STATE_LIMIT - 1):
        side.step()
    assert side.execution.condition.serving
    side.step()
    assert side.execution.condition == TargetCondition(-1, False)
    assert side.admits() == "not_serving"
    engine.silent = False
    side.step()
    assert side.admits()


def test_without_a_fencing_number_it_serves_and_gives_no_order():
    """The key-value service is down."""
    engine = Engine()
    side = Side(engine, number=0)
    side.keeper.learned(6)
    for _ in range(5):
        side.step(100.0)
    assert (engine.orders, side.execution.condition) == ([], TargetCondition(5, True))
    side.number = 3
    side.step(100.0)
    assert engine.orders == [(6, 3)]


@pytest.mark.parametrize("ends", [True, False])
def test_urgent_work_ends_before_the_swap_within_bounds(ends):
    engine = Engine()
    side = Side(engine)
    side.step()
    began = side.clock.monotonic()
    seen = []

    def run(run):
        if ends:
            return Completed({"tokens": []}, (), "t")
        engine.before = lambda: seen.append(side.execution.urgent_running)
        side.keeper.step()
        return Completed({"tokens": []}, (), "t")

    side.keeper.learned(6)
    side.process.target.script.append(run)
    header = {"entry": "e", "entry_incarnation": "i", "session": 1}
    side.process.ledger.open(OpenSession(**header))
    dispatch = Dispatch(side_incarnation="s", **header)
    side.process.ledger.admit(dispatch, Attempt(attempt="a", request="r"))
    side.execution.step(0)
    side.keeper.step()
    assert engine.orders == [(6, 1)]
    waited = side.clock.monotonic() - began
    assert (seen, waited < 0.1) == (([], True) if ends else ([1], False))


@pytest.mark.parametrize(
    ("outage", "throttle", "swapped"),
    [(False, 0.0, True), (True, 0.0, False), (False, 9.0, False)],
)
def test_the_weight_store_is_the_backstop(outage, throttle, swapped):
    store = MemoryWeightStore({"m": 6})
    store.outage, store.throttle = outage, throttle
    side = Side(Engine(), store=store)
    side.step()
    assert (side.engine.version == 6) == swapped
    store.outage, store.throttle = False, 0.0
    side.step(60.0)
    assert side.engine.version == 6


def test_a_later_wave_waits_for_its_turn():
    sides = [f"s{number}" for number in range(9)]
    offsets = []
    for _ in range(3):
        side = Side(Engine(), names=(*sides, "s"))
        side.step()
        side.keeper.learned(6)
        while side.engine.version < 6:
            side.step(1.0)
        offsets.append(side.clock.monotonic() - 100.0)
    assert len(set(offsets)) == 1


@pytest.mark.parametrize("checks", [True, False])
def test_a_paused_side_that_wakes_does_not_win(checks):
    """Its order was decided before the pause; a newer process has the engine now."""
    engine = Engine(checks=checks)
    old = Side(engine, number=1)
    old.step()
    new = Side(engine, clock=old.clock, number=2)

    def meanwhile():
        new.step()
        new.keeper.learned(7)
        new.step()
        assert engine.version == 7

    engine.before = meanwhile
    old.keeper.learned(6)
    old.step()
    assert engine.version == (7 if checks else 6)
    new.step()
    assert (engine.version, new.execution.condition) == (7, TargetCondition(7, True))
    old.step(100.0)
    assert engine.version == 7


class SwapMachine(RuleBasedStateMachine):
    """Versions come, orders fail, engines crash, lapse and go silent."""

    def __init__(self):
        super().__init__()
        self.engine = Engine()
        self.side = Side(self.engine)
        self.newest = 5
        self.side.keeper.learned(5)

    @rule(fault=st.sampled_from(("", "lost", "slow", "dropped", "half", "crash")))
    def publish(self, fault):
        self.newest += 1
        self.engine.fault = fault
        self.side.keeper.learned(self.newest)
        self.side.step()

    @rule(seconds=st.sampled_from((0.0, 1.0, 40.0)))
    def step(self, seconds):
        self.side.step(seconds)

    @rule(version=st.integers(-1, 5), silent=st.booleans())
    def restart_engine(self, version, silent):
        self.engine.version, self.engine.silent = version, silent
        self.engine.loading = None

    @rule(number=st.integers(0, 1))
    def fencing(self, number):
        self.side.number = number

    @invariant()
    def urgent_work_is_taken_only_where_it_runs(self):
        assert (self.side.admits() is True) == self.side.execution.condition.serving

    def teardown(self):
        self.engine.silent, self.engine.fault, self.side.number = False, "", 1
        for _ in range(4):
            self.side.step(40.0)
        assert self.side.execution.condition == TargetCondition(self.newest, True)


SwapMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=20
)
TestSwapMachine = SwapMachine.TestCase
