"""Two owners exchange engine loads over real connections as their Lots start."""

import random
from dataclasses import replace

import msgspec
import pytest

from platform_standins.server import StandInServer
from rows_fakes import free_address
from wigeonfront.capacity import DemandBook, LotDemand
from wigeonfront.clock import ManualClock
from wigeonfront.http.pools import Pools
from wigeonfront.rollout.engine_loads import (
    LOADS_PATH,
    OLD_BUILD_SECONDS,
    REPORT_PATH,
    LoadFollower,
    LoadServer,
)
from wigeonfront.rollout.scheduling import WeightNeeds, choose_engine
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target

MODEL = "m"
SLOTS = 12
ENGINES = ("a", "b", "c", "d")


class Owner:
    """A target table with the server and the follower of engine loads of one entry."""

    def __init__(self, clock):
        self.clock = clock
        self.table = TargetTable(clock, random.Random(1))
        self.table.set_targets(
            Target(id, "s", f"h:{id}", "z", SLOTS, versions={MODEL: 1})
            for id in ENGINES
        )
        self.address = free_address()
        self.demands = DemandBook(clock)
        server = LoadServer(self.table, self.demands)
        self.paths = {LOADS_PATH: server.answer, REPORT_PATH: server.answer_report}
        self.asked = []
        self.server = StandInServer(self.address, self.answer, 4)
        self.server.start()
        self.sent = dict.fromkeys(ENGINES, 0)

    def follow(self, address):
        self.follower = LoadFollower(
            self.table,
            lambda: [address],
            lambda: True,
            self.demands,
            self.clock,
            self.address,
        )

    def answer(self, call):
        self.asked.append(call.path)
        if call.path in self.paths:
            self.paths[call.path](call)
        else:
            call.reply(404)

    def ask(self):
        self.follower.ask(self.follower._owners())

    def send(self, count):
        """Send up to `count` samples like the runner; return how many found no slot."""
        for sent in range(count):
            views = self.table.views("s")
            now = self.clock.monotonic()
            view = choose_engine(views, WeightNeeds(MODEL, 1), frozenset(), "", now)
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


def test_lots_that_start_together_share_the_slots(owners):
    """Two Lots of 30 samples run on 48 slots, and one engine is a quarter faster.

    Owners that count only their own runs put 24 of the 60 samples on its 12 slots.
    """
    for owner in owners:
        owner.table.record_pace("a", 0.033)
        for id in ENGINES[1:]:
            owner.table.record_pace(id, 0.042)
        owner.ask()
    assert [owner.send(30) for owner in owners] == [0, 0]
    assert sum(totals(owners)) == 60
    assert max(totals(owners)) <= 18


@pytest.mark.parametrize("answered", [True, False])
def test_samples_are_sent_without_waiting_for_answers_of_others(owners, answered):
    if answered:
        owners[0].ask()
    else:
        owners[1].server.stop()
        owners[0].ask()
    assert owners[0].send(48) == 0
    assert totals(owners) == [SLOTS] * len(ENGINES)


def test_a_later_lot_uses_the_engines_that_the_other_owner_left_free(owners):
    for id in ("a", "b"):
        for _ in range(SLOTS):
            owners[0].table.record_started(id, MODEL)
    owners[1].ask()
    owners[1].send(12)
    assert owners[1].sent == {"a": 0, "b": 0, "c": 6, "d": 6}


DEMAND = LotDemand("l", "t", "s", MODEL, 2.0, 7.0, 12.0, 1, 3, 4.0)


def test_an_owner_reports_demands_with_its_loads(owners):
    owners[1].demands.set_own([DEMAND])
    owners[1].table.record_started("a", MODEL)
    own = replace(DEMAND, lot="own")
    owners[0].demands.set_own([own])
    owners[0].ask()
    assert owners[0].demands.demands("s") == [own, DEMAND]
    assert owners[0].table.views("s")[0].reported == 1
    assert owners[1].asked == [REPORT_PATH]
    assert owners[1].demands.demands("s") == [DEMAND, own]


@pytest.mark.parametrize(
    "question",
    [
        b"\xc1",
        *(
            msgspec.msgpack.encode(
                {"owner": "h:1", "demands": [replace(DEMAND, weight=weight)]}
            )
            for weight in (0.0, -1.0)
        ),
    ],
)
def test_a_question_that_cannot_be_read_is_dropped_and_answered(
    owners, question, caplog
):
    caplog.set_level("INFO")
    answer = Pools(1.0).post(owners[1].address, REPORT_PATH, question, 1.0)
    assert answer.status == 200
    assert owners[1].demands.demands("s") == []
    assert "event=question_dropped" in caplog.text


def test_an_older_build_is_asked_for_loads_only_for_a_while(owners):
    """Shares are not decided while an owner's demand can't be known."""
    del owners[1].paths[REPORT_PATH]
    owners[1].table.record_started("a", MODEL)
    owners[0].ask()
    owners[0].ask()
    assert owners[1].asked == [REPORT_PATH, LOADS_PATH, LOADS_PATH]
    assert owners[0].table.views("s")[0].reported == 1
    assert not owners[0].demands.complete
    owners[0].clock.advance(OLD_BUILD_SECONDS)
    assert owners[0].demands.complete
    owners[0].ask()
    assert owners[1].asked[-2:] == [REPORT_PATH, LOADS_PATH]


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x80", b"\x81\xa6states\x90"])
def test_an_unreadable_report_is_dropped_and_logged(owners, body, caplog):
    caplog.set_level("INFO")
    owners[1].demands.set_own([DEMAND])
    owners[0].ask()
    owners[1].paths[REPORT_PATH] = lambda call: call.reply(200, body)
    owners[0].ask()
    assert owners[0].demands.demands("s") == [DEMAND]
    assert "event=loads_unknown" in caplog.text
