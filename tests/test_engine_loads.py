"""Two owners of Lots that start at the same moment, over real connections."""

import random

import pytest

from platform_standins.served import Served
from rows_fakes import free_address
from wigeonfront.clock import ManualClock
from wigeonfront.rollout.engine_loads import LoadFollower, LoadServer
from wigeonfront.rollout.order import Needs, choose_engine
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target

MODEL = "m"
SLOTS = 12
ENGINES = ("a", "b", "c", "d")


class Owner:
    """An entry's table, its server of loads and its follower of the other's."""

    def __init__(self, clock):
        self.clock = clock
        self.table = TargetTable(clock, random.Random(1))
        self.table.set_targets(
            Target(id, "s", f"h:{id}", "z", SLOTS, versions={MODEL: 1})
            for id in ENGINES
        )
        self.address = free_address()
        self.server = Served(self.address, LoadServer(self.table).answer, 4)
        self.server.start()
        self.sent = dict.fromkeys(ENGINES, 0)

    def follow(self, address):
        self.follower = LoadFollower(self.table, lambda: [address], lambda: True)

    def ask(self):
        self.follower.ask(self.follower._owners())

    def send(self, count):
        """Send up to `count` samples as the runner does; return how many waited."""
        for sent in range(count):
            views = self.table.views("s")
            now = self.clock.monotonic()
            view = choose_engine(views, Needs(MODEL, 1), frozenset(), "", now)
            if view is None:
                return count - sent
            self.table.record_started(view.target.id, MODEL)
            self.sent[view.target.id] += 1
        return 0


@pytest.fixture
def owners():
    clock = ManualClock()
    pair = [Owner(clock), Owner(clock)]
    pair[0].follow(pair[1].address)
    pair[1].follow(pair[0].address)
    yield pair
    for owner in pair:
        owner.server.stop()


def totals(owners):
    return [sum(owner.sent[id] for owner in owners) for id in ENGINES]


def test_lots_that_start_together_share_the_places(owners):
    """Two Lots of 30 samples on 48 places, one engine a quarter faster.

    With own runs alone that engine had 24 of the 60 on its 12 places.
    """
    for owner in owners:
        owner.table.record_pace("a", 0.033)
        for id in ENGINES[1:]:
            owner.table.record_pace(id, 0.042)
        owner.ask()
    assert [owner.send(30) for owner in owners] == [0, 0]
    assert sum(totals(owners)) == 60
    assert max(totals(owners)) <= 18


@pytest.mark.parametrize("told", [True, False])
def test_no_sample_waits_for_what_others_tell(owners, told):
    if told:
        owners[0].ask()
    else:
        owners[1].server.stop()
        owners[0].ask()
    assert owners[0].send(48) == 0
    assert totals(owners) == [SLOTS] * len(ENGINES)


def test_a_later_lot_goes_where_the_other_has_none(owners):
    for id in ("a", "b"):
        for _ in range(SLOTS):
            owners[0].table.record_started(id, MODEL)
    owners[1].ask()
    owners[1].send(12)
    assert owners[1].sent == {"a": 0, "b": 0, "c": 6, "d": 6}
