"""An engine on another machine: what is known of it without asking."""

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.coordination.rows import Unavailable
from wigeonfront.targets.target import Target
from wigeonfront.weights.remote import ASSUMED_SECONDS, RemoteEngine
from wigeonfront.weights.plan import EngineReport, MoveOrder

MODEL = "m"


class Called:
    """The engine over the network."""

    def __init__(self):
        self.reads = 0
        self.orders = 3
        self.version = 4
        self.answers = []
        self.expected = []
        self.away = False

    def report(self):
        self.reads += 1
        if self.away:
            return Unavailable("no answer")
        return EngineReport({MODEL: self.version}, orders=self.orders)

    def move(self, order, fence, expected):
        self.expected.append(expected)
        answer = self.answers.pop(0) if self.answers else "accepted"
        if answer in ("accepted", "lost but done"):
            self.orders += 1
            self.version = order.version
        return answer


class Distant:
    """A `RemoteEngine` with its registration and its clock."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.called = Called()
        self.register(4)
        self.engine = RemoteEngine(self.called, lambda: self.target, self.clock)

    def register(self, version, draining=False):
        self.target = Target(
            "i-1", "s", "h:1", "z", 4, draining, versions={MODEL: version}
        )

    def version(self):
        return self.engine.report().versions[MODEL]

    def move(self, version):
        report = self.engine.report()
        order = MoveOrder(MODEL, version, "due")
        return self.engine.move(order, 7, report.orders)


@pytest.fixture
def distant():
    return Distant()


def test_it_is_read_once_and_then_told_by_its_registration(distant):
    for version in (5, 6, 7):
        assert distant.move(version) == "accepted"
        assert distant.version() == version
        distant.clock.advance(2.0)
        distant.register(version)
    assert distant.called.reads == 1
    assert distant.called.expected == [3, 4, 5]


@pytest.mark.parametrize("answer", ["status 409", "status 421", "connect", "lost"])
def test_it_is_read_again_after_an_order_that_was_not_accepted(distant, answer):
    distant.move(5)
    distant.called.answers = [answer]
    distant.move(6)
    distant.called.version = 5
    assert distant.version() == 5
    assert distant.called.reads == 2


def test_an_order_that_is_lost_and_done_is_not_given_twice(distant):
    distant.called.answers = ["lost but done"]
    distant.move(5)
    report = distant.engine.report()
    assert (report.versions[MODEL], report.orders) == (5, 4)


def test_an_order_without_effect_is_found_out(distant):
    """It was accepted, and the engine went back or never loaded."""
    distant.move(5)
    distant.called.version = 4
    distant.clock.advance(ASSUMED_SECONDS - 0.1)
    assert distant.version() == 5
    distant.clock.advance(0.2)
    assert distant.version() == 4
    assert distant.called.reads == 2


def test_it_loads_for_a_while_after_an_order(distant):
    distant.move(5)
    assert distant.engine.report().loading
    distant.clock.advance(1.0)
    assert not distant.engine.report().loading


def test_one_that_leaves_or_is_gone_is_told(distant):
    distant.move(5)
    distant.register(5, draining=True)
    assert distant.engine.report().draining
    distant.target = None
    assert isinstance(distant.engine.report(), Unavailable)


def test_one_that_does_not_answer_is_unavailable(distant):
    distant.called.away = True
    assert isinstance(distant.engine.report(), Unavailable)
