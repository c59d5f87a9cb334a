"""An engine on another machine, and what is known of it without a call."""

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.coordination.rows import Unavailable
from wigeonfront.targets.target import Target
from wigeonfront.weights.plan import EngineReport, MoveOrder
from wigeonfront.weights.remote import ASSUMED_SECONDS, RemoteEngine

MODEL = "m"


class FakeEngine:
    """The engine as it answers over the network."""

    def __init__(self):
        self.reads = 0
        self.orders = 3
        self.version = 4
        self.answers = []
        self.expected = []
        self.unreachable = False

    def report(self):
        self.reads += 1
        if self.unreachable:
            return Unavailable("no answer")
        return EngineReport({MODEL: self.version}, orders=self.orders)

    def move(self, order, fence, expected):
        self.expected.append(expected)
        answer = self.answers.pop(0) if self.answers else "accepted"
        if answer in ("accepted", "lost but executed"):
            self.orders += 1
            self.version = order.version
        return answer


class RemoteCase:
    """A `RemoteEngine` with its registration and its clock."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.fake = FakeEngine()
        self.register(4)
        self.engine = RemoteEngine(self.fake, lambda: self.target, self.clock)

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
def remote():
    return RemoteCase()


def test_report_is_read_once_and_versions_then_come_from_the_registration(remote):
    for version in (5, 6, 7):
        assert remote.move(version) == "accepted"
        assert remote.version() == version
        remote.clock.advance(2.0)
        remote.register(version)
    assert remote.fake.reads == 1
    assert remote.fake.expected == [3, 4, 5]


@pytest.mark.parametrize("answer", ["status 409", "status 421", "connect", "lost"])
def test_report_is_read_again_after_an_order_that_was_not_accepted(remote, answer):
    remote.move(5)
    remote.fake.answers = [answer]
    remote.move(6)
    remote.fake.version = 5
    assert remote.version() == 5
    assert remote.fake.reads == 2


def test_executed_order_with_a_lost_answer_is_not_given_twice(remote):
    remote.fake.answers = ["lost but executed"]
    remote.move(5)
    report = remote.engine.report()
    assert (report.versions[MODEL], report.orders) == (5, 4)


def test_accepted_order_without_effect_is_detected(remote):
    """The engine accepted the order, but it went back or never loaded the version."""
    remote.move(5)
    remote.fake.version = 4
    remote.clock.advance(ASSUMED_SECONDS - 0.1)
    assert remote.version() == 5
    remote.clock.advance(0.2)
    assert remote.version() == 4
    assert remote.fake.reads == 2


def test_engine_counts_as_loading_for_a_while_after_an_order(remote):
    remote.move(5)
    assert remote.engine.report().loading
    remote.clock.advance(1.0)
    assert not remote.engine.report().loading


def test_draining_and_missing_registrations_are_reported(remote):
    remote.move(5)
    remote.register(5, draining=True)
    assert remote.engine.report().draining
    remote.target = None
    assert isinstance(remote.engine.report(), Unavailable)


def test_engine_that_does_not_answer_is_unavailable(remote):
    remote.fake.unreachable = True
    assert isinstance(remote.engine.report(), Unavailable)
