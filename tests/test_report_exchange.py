"""Entries exchange reports about plain targets over real connections."""

import random
import time

import msgspec
import pytest

from deployed import Deployment
from platform_standins import deployment
from platform_standins.deployment import HOST, PLAIN
from platform_standins.engine import PlainService
from platform_standins.server import StandInServer
from rows_fakes import free_address, loopback_host, wait_for
from wigeonfront.api.operations import STATUS_PATH
from wigeonfront.clock import ManualClock
from wigeonfront.coordination.membership import Member
from wigeonfront.forwarding import report_exchange
from wigeonfront.forwarding.report_exchange import (
    PEER_INTERVAL_SECONDS,
    REPORTS_PATH,
    UNREACHED_SECONDS,
    UNSUPPORTED_SECONDS,
    ReportSender,
    ReportServer,
)
from wigeonfront.http.client import Pool
from wigeonfront.observability.metrics import Counter
from wigeonfront.targets.reports import STALE_SECONDS
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target


class Entry:
    """The table, the sender and the server of reports of one entry."""

    def __init__(self, name, clock, members, found=404):
        self.counter = Counter("reports", "", ("effect",))
        self.table = TargetTable(clock, random.Random(name), name)
        self.table.set_plain_services(["s"])
        self.table.set_targets(Target(id, "s", f"h:{id}", "z", 6) for id in "abc")
        self.member = Member(name, f"i-{name}", free_address())
        self.sender = ReportSender(
            self.table,
            lambda: self.member,
            lambda: members,
            clock,
            random.Random(1),
            self.counter,
        )
        self.table.set_finding_listener(self.sender.finding)
        answer = ReportServer(self.table, clock, self.counter).answer
        if found != 200:
            answer = lambda call: call.reply(found)  # noqa: E731
        self.server = StandInServer(self.member.address, answer, 4)
        self.server.start()
        members.append(self.member)

    def fail(self, id, times=2):
        for _ in range(times):
            self.table.record_started(id)
            self.table.record_ended(id, "failure")

    def count(self, effect):
        return int(self.counter.collect().get((effect,), 0))

    def suspected(self):
        return {
            view.target.id: view.suspected_by
            for view in self.table.views("s")
            if view.suspected_by
        }


@pytest.fixture
def make_entries():
    clock, members, made = ManualClock(100.0), [], []

    def make(*found):
        for number, status in enumerate(found):
            made.append(Entry(f"e{number}", clock, members, status))
        return clock, made

    yield make
    for entry in made:
        entry.server.stop()


def test_the_finding_of_one_entry_reaches_another(make_entries):
    clock, (first, second) = make_entries(200, 200)
    second.table.record_pace("b", 0.02)
    first.sender.tell_all()
    assert first.count("sent") == 0
    first.fail("a")
    first.sender.tell_all()
    assert second.suspected() == {"a": ("e0",)}
    assert (first.count("sent"), second.count("suspected")) == (1, 1)
    # What the second has only been told, it does not tell.
    second.sender.tell_all()
    assert first.suspected() == {}
    assert second.count("sent") == 0
    second.table.record_started("a")
    second.table.record_ended("a", "success", 0.02)
    assert second.suspected() == {}
    clock.advance(STALE_SECONDS)
    first.sender.tell_all()
    assert first.count("sent") == 1


@pytest.mark.parametrize(
    ("found", "pause"),
    [
        (200, PEER_INTERVAL_SECONDS),
        (404, UNSUPPORTED_SECONDS),
        (None, UNREACHED_SECONDS),
    ],
)
def test_an_entry_is_sent_the_next_message_after_a_pause(make_entries, found, pause):
    clock, (first, second) = make_entries(200, found)
    if found is None:
        second.server.stop()

    def sends():
        before = first.count("sent") + first.count("not_sent")
        first.fail("a", 1)
        first.sender.tell_all()
        return first.count("sent") + first.count("not_sent") - before

    first.fail("a")
    assert sends() == 1
    clock.advance(pause * 0.9)
    assert sends() == 0
    clock.advance(pause * 0.2)
    assert sends() == 1


def test_all_entries_are_told_in_rounds(make_entries, monkeypatch):
    monkeypatch.setattr(report_exchange, "PEERS_PER_ROUND", 2)
    _, entries = make_entries(*[200] * 5)
    first, *others = entries
    first.fail("a")
    first.sender.tell_all()
    told = sum(bool(entry.suspected()) for entry in others)
    assert told == 2
    first.sender.tell()
    assert all(entry.suspected() for entry in others)
    first.sender.tell()
    assert first.count("sent") == len(others)


@pytest.mark.parametrize(
    "body", [b"", b"\xff", msgspec.msgpack.encode([1]), b"x" * 99_999]
)
def test_an_unreadable_message_is_counted_and_dropped(make_entries, body):
    _, (first,) = make_entries(200)
    pool = Pool(first.member.address)
    assert pool.call("POST", REPORTS_PATH, body, timeout=2.0).status == 400
    pool.close()
    assert first.count("unreadable") == 1
    assert first.suspected() == {}


def test_a_target_that_fails_for_one_entry_is_last_at_another_entry():
    deployed = Deployment()
    address = f"{loopback_host()}:{free_address().rpartition(':')[2]}"
    broken = PlainService(address, "i-p1")
    broken.cut = True
    broken.start()
    # The failing target looks the better one.
    deployed.plain.run_seconds = 0.06
    try:
        deployment.register(deployed.rows, broken.id, PLAIN, broken.address)
        first = deployed.add_entry("n1")
        second = deployed.add_entry("n2", api_address=free_address())
        wait_for(lambda: len(first._view.members()) == 2)
        wait_for(lambda: len(second._table.views(PLAIN)) == 2)

        def suspected_by():
            views = second._table.views(PLAIN)
            return [view.suspected_by for view in views if view.suspected_by]

        pool = Pool(first._settings.front_address)
        end = time.monotonic() + 5.0
        while not suspected_by() and time.monotonic() < end:
            pool.call("POST", "/plain/x", b"x", {"Host": HOST}, timeout=4.0)
        assert suspected_by() == [("n1",)]
        pool.close()
        pool = Pool(second._settings.api_address)
        status = msgspec.json.decode(pool.call("GET", STATUS_PATH, timeout=2.0).body)
        suspected = [target["suspected_by"] for target in status["targets"]]
        assert sorted(suspected) == [[], [], [], ["n1"]]
        runs = len(broken.requests)
        pool.close()
        pool = Pool(second._settings.front_address)
        for _ in range(3):
            pool.call("POST", "/plain/x", b"x", {"Host": HOST}, timeout=4.0)
        pool.close()
        assert len(broken.requests) - runs <= 1
    finally:
        broken.stop()
        deployed.close()
