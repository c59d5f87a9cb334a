"""The mover of an engine, also of one that restarts under the same id."""

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.observability.metrics import Registry
from wigeonfront.weights.mover import RECHECK_SECONDS, WeightMover, order_counter
from wigeonfront.weights.plan import EngineReport, NamedVersion, Place

MODEL = "m"


class Engine:
    """An engine that executes an order at once if its expected number is right."""

    def __init__(self, version):
        self.version = version
        self.accepted = 0
        self.reads = 0

    def report(self):
        self.reads += 1
        return EngineReport({MODEL: self.version}, orders=self.accepted)

    def move(self, order, fence, expected):
        return self.execute(order.version, expected)

    def execute(self, version, expected):
        if expected != self.accepted:
            return "status 409"
        self.accepted += 1
        self.version = version
        return "accepted"

    def restart(self):
        self.accepted = 0


class MoverCase:
    """A mover with its clock and its engine."""

    def __init__(self, version, named):
        self.clock = ManualClock(100.0)
        self.engine = Engine(version)
        self.mover = WeightMover(
            "engine",
            self.engine,
            lambda: [NamedVersion(MODEL, named, 0.0)],
            lambda: 7,
            lambda: Place(0, 1, (MODEL,)),
            lambda: True,
            self.clock,
            order_counter(Registry()),
        )

    def run_for(self, seconds):
        """Let the mover work for some time."""
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until:
            self.clock.advance(self.mover._step())


def test_late_order_after_a_restart_is_corrected():
    """The count of orders starts again at a restart, so an earlier order may fit it."""
    case = MoverCase(version=2, named=4)
    late_order = (3, case.engine.accepted)
    case.run_for(3.0)
    assert case.engine.version == 4
    assert case.engine.execute(*late_order) == "status 409"
    case.engine.restart()
    assert case.engine.execute(*late_order) == "accepted"
    assert case.engine.version == 3
    case.engine.version = 1
    case.run_for(RECHECK_SECONDS + 1.0)
    assert case.engine.version == 4


@pytest.mark.parametrize("seconds", [20.0])
def test_engine_at_the_named_version_is_read_seldom(seconds):
    case = MoverCase(version=4, named=4)
    case.run_for(1.0)
    case.engine.reads = 0
    case.run_for(seconds)
    assert 1 <= case.engine.reads <= seconds / RECHECK_SECONDS + 1
