"""Tests of restarted targets, invalid rows and registrations lost in an outage."""

import random

import msgspec
import pytest

from platform_standins import deployment
from rows_fakes import make_store
from wigeonfront.clock import ManualClock
from wigeonfront.coordination.feed import DirectRows
from wigeonfront.coordination.mirror import MAX_RETRY_SECONDS, Mirror
from wigeonfront.coordination.relay import RELAY_CALL_SECONDS
from wigeonfront.node.entry import UPKEEP_INTERVAL_SECONDS
from wigeonfront.node.following import (
    REREGISTRATION_SECONDS,
    ConfigurationFollower,
    TargetFollower,
    replaced_targets,
)
from wigeonfront.node.settings import Bounds
from wigeonfront.platform import records
from wigeonfront.platform.metadata_store import CALL_SECONDS
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target

SERVICE = "s"

CONTACT_SECONDS = 3.0
DRAIN_SECONDS = Bounds().drain_seconds


class Source(DirectRows):
    """The store, and the time for which other processes have followed it."""

    followed = 0.0

    def followed_elsewhere(self, prefix, after):
        return self.followed


class Followed:
    """A follower with its store, whose mirror lists the rows when a test says so."""

    def __init__(self):
        self.rows = make_store()
        self.clock = ManualClock(100.0)
        self.table = TargetTable(self.clock, random.Random(1))
        self.gone = []
        self.follower = TargetFollower(
            self.table, self.clock, lambda: None, self.gone.append
        )
        self.source = Source(self.rows)
        self.mirror = Mirror(
            self.source, records.TARGET_PREFIX, self.clock, self.follower.update
        )

    def register(self, id, port=5, **changes):
        address = f"1.2.3.4:{port}"
        deployment.register(self.rows, id, SERVICE, address, **changes)
        self.refresh()

    def refresh(self):
        assert self.mirror._list()

    def pass_time(self, seconds):
        self.clock.advance(seconds)
        self.follower.expire(self.mirror)

    @property
    def ids(self):
        return {view.target.id for view in self.table.views(SERVICE)}


@pytest.fixture
def followed():
    return Followed()


def test_the_state_of_a_target_is_reset_by_its_restart(followed):
    followed.register("i-1", born=1)
    followed.table.record_started("i-1@1", "m")
    followed.table.record_refused("i-1@1", "m")
    followed.table.record_pace("i-1@1", 9.0)
    followed.table.record_version("i-1@1", "m", 7)
    followed.table.record_replaced("i-1@1")
    followed.register("i-1", born=2)
    (view,) = followed.table.views(SERVICE)
    assert view.target.id == "i-1@2"
    assert (view.in_flight, view.latency, view.available) == (0, 0.0, True)
    assert (dict(view.versions), dict(view.refused_until)) == ({}, {})
    assert followed.gone == ["i-1@1"]
    # The late end of a run of the old incarnation does not affect the new one.
    followed.table.record_ended("i-1@1", "failure")
    (view,) = followed.table.views(SERVICE)
    assert (view.in_flight, view.available) == (0, True)


def test_a_late_row_of_an_earlier_start_is_ignored(followed, caplog):
    followed.register("i-1", born=2)
    with caplog.at_level("INFO"):
        followed.register("i-1", born=1, state="draining")
        followed.refresh()
    (view,) = followed.table.views(SERVICE)
    assert (view.target.id, view.draining) == ("i-1@2", False)
    assert followed.gone == []
    assert caplog.text.count("bad_row") == 1
    followed.register("i-1", born=2, state="draining")
    assert followed.table.views(SERVICE)[0].draining


def test_a_late_row_of_an_earlier_start_does_not_bring_a_gone_target_back(followed):
    followed.register("i-1", born=2)
    followed.rows.remove("servers/i-1")
    followed.refresh()
    followed.register("i-1", born=1)
    assert followed.ids == set()
    followed.register("i-1", born=2)
    assert followed.ids == {"i-1@2"}


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"[]",
        b'{"service":"s"}',
        msgspec.json.encode(deployment.registration(SERVICE, "nowhere")),
        msgspec.json.encode(deployment.registration(SERVICE, "1.2.3.4:5", seq="1")),
        msgspec.json.encode(deployment.registration(SERVICE, "1.2.3.4:5", state="up")),
    ],
)
def test_an_invalid_row_registers_no_target_and_leaves_the_others(
    followed, value, caplog
):
    followed.register("i-1", 5)
    followed.register("i-2", 6)
    with caplog.at_level("INFO"):
        followed.rows.put("servers/i-1", value)
        followed.rows.put("servers/i-3/x", value)
        followed.refresh()
        followed.refresh()
        assert followed.ids == {"i-2"}
        assert caplog.text.count("event=bad_row key=servers/i-1 ") == 1
        followed.rows.put("servers/i-1", value)
        followed.refresh()
        assert caplog.text.count("event=bad_row key=servers/i-1 ") == 2
    assert followed.gone == []
    followed.register("i-1", 5)
    assert followed.ids == {"i-1", "i-2"}


def test_a_target_of_an_unknown_service_is_not_used(followed):
    deployment.register(followed.rows, "i-1", "unknown", "1.2.3.4:5")
    followed.refresh()
    assert followed.ids == set()


def target(id, address="h:1", name=""):
    return Target(id, "s", address, "z", 4, registered_id=name)


@pytest.mark.parametrize(
    ("known", "registered", "gone"),
    [
        ([target("a@1", name="a")], [target("a@2", name="a")], ["a@1"]),
        # The target has started again at another address.
        ([target("a@1", "h:1", "a")], [target("a@2", "h:2", "a")], ["a@1"]),
        # Another target has its address.
        ([target("a")], [target("b")], ["a"]),
        # The target is unchanged, or only its registration is gone.
        ([target("a")], [target("a")], []),
        ([target("a")], [target("b", "h:2")], []),
        ([target("a")], [], []),
    ],
)
def test_only_targets_that_were_certainly_replaced_count_as_gone(
    known, registered, gone
):
    assert replaced_targets(known, registered) == gone


@pytest.mark.parametrize(
    "value", [b"", b"{}", b'{"version":"9"}', b'{"version":9,"routes":[{}]}', b"\xff"]
)
def test_the_last_good_configuration_stays_in_force(value, caplog):
    rows = make_store()
    rows.put("op/config", deployment.configuration(5))
    rows.put("op/version/m", b'{"model":"m","version":3}')
    follower = ConfigurationFollower(ManualClock())
    mirror = Mirror(
        DirectRows(rows), records.OPERATOR_PREFIX, ManualClock(), follower.update
    )
    assert mirror._list()
    rows.put("op/config", value)
    rows.put("op/version/m", value)
    with caplog.at_level("INFO"):
        for _ in range(3):
            assert mirror._list()
    assert follower.current.version == 5
    named = follower.versions()
    assert [(version.model, version.version) for version in named] == [("m", 3)]
    assert caplog.text.count("event=bad_row") == 2


@pytest.mark.parametrize(
    ("lapsed_after", "held"),
    [
        # During the outage, just after it, and long after it.
        (-1.0, True),
        (1.0, True),
        (REREGISTRATION_SECONDS - 0.2, True),
        (REREGISTRATION_SECONDS + 0.1, False),
    ],
)
def test_a_registration_that_expires_around_an_outage_stays_valid_for_a_while(
    followed, lapsed_after, held
):
    """All times count from the return of the store."""
    followed.register("i-1")
    followed.rows.faults.down = True
    assert not followed.mirror._list()
    followed.pass_time(10.0)
    assert followed.ids == {"i-1"}
    followed.rows.faults.down = False
    if lapsed_after < 0:
        followed.rows.remove("servers/i-1")
    followed.refresh()
    if lapsed_after >= 0:
        followed.clock.advance(lapsed_after)
        followed.rows.remove("servers/i-1")
        followed.refresh()
    assert followed.ids == ({"i-1"} if held else set())
    elapsed = max(0.0, lapsed_after)
    followed.pass_time(max(0.0, REREGISTRATION_SECONDS - 0.1 - elapsed))
    assert followed.ids == ({"i-1"} if held else set())
    followed.pass_time(0.2)
    assert followed.ids == set()


def test_a_registration_renewed_in_time_after_an_outage_stays_valid(followed):
    followed.register("i-1")
    followed.rows.faults.down = True
    assert not followed.mirror._list()
    followed.rows.faults.down = False
    followed.rows.remove("servers/i-1")
    followed.refresh()
    followed.clock.advance(REREGISTRATION_SECONDS - 0.1)
    followed.register("i-1")
    followed.pass_time(1.0)
    assert followed.ids == {"i-1"}
    assert followed.gone == []


def test_a_target_used_without_a_registration_is_logged_once_until_it_is_dropped(
    followed, caplog
):
    followed.register("i-1")
    followed.table.record_started("i-1")
    followed.rows.faults.down = True
    assert not followed.mirror._list()
    followed.rows.faults.down = False
    followed.rows.remove("servers/i-1")
    with caplog.at_level("INFO"):
        followed.refresh()
        followed.follower.expire(followed.mirror)
        assert caplog.text.count("event=target_kept id=i-1 ") == 1
        assert "event=target_gone" not in caplog.text
        followed.pass_time(REREGISTRATION_SECONDS + 0.1)
        followed.follower.expire(followed.mirror)
    assert caplog.text.count("event=target_kept id=i-1 ") == 1
    assert caplog.text.count("event=target_gone id=i-1") == 1


@pytest.mark.parametrize(
    ("noticed_after", "leaves_after"),
    [
        (0.0, CONTACT_SECONDS),
        (1.4, CONTACT_SECONDS),
        (1.4, 3.2),
        (2.0, CONTACT_SECONDS),
        (2.0, 4.2),
        (2.6, CONTACT_SECONDS),
    ],
)
def test_a_target_that_leaves_after_an_outage_gets_no_work_past_the_drain_bound(
    followed, noticed_after, leaves_after
):
    """Both times count from the return of the store."""
    followed.register("i-1")
    followed.rows.faults.down = True
    assert not followed.mirror._list()
    followed.clock.advance(5.0)
    followed.rows.faults.down = False
    followed.clock.advance(noticed_after)
    followed.refresh()
    followed.clock.advance(leaves_after - noticed_after)
    followed.rows.remove("servers/i-1")
    followed.refresh()
    followed.pass_time(DRAIN_SECONDS)
    assert followed.ids == set()


def test_the_grace_after_an_outage_ends_within_the_drain_bound_of_a_later_removal():
    # A call that was lost just before the return, and the pause after it.
    noticed_after = max(CALL_SECONDS, RELAY_CALL_SECONDS) + MAX_RETRY_SECONDS
    dropped_after = noticed_after + REREGISTRATION_SECONDS + UPKEEP_INTERVAL_SECONDS
    assert dropped_after < CONTACT_SECONDS + DRAIN_SECONDS


@pytest.mark.parametrize(
    ("others_followed", "held_for"),
    [
        # An outage of the store, which others notice at the same time or sooner.
        (0.0, REREGISTRATION_SECONDS),
        (1.0, REREGISTRATION_SECONDS - 1.0),
        # Only this entry was cut off, for 5 s.
        (4.0, 0.0),
        (60.0, 0.0),
    ],
)
def test_a_target_that_leaves_while_only_this_entry_is_cut_off_is_dropped_at_once(
    followed, others_followed, held_for
):
    followed.source.followed = others_followed
    followed.register("i-1")
    followed.rows.faults.down = True
    assert not followed.mirror._list()
    followed.clock.advance(5.0)
    followed.rows.remove("servers/i-1")
    followed.rows.faults.down = False
    followed.refresh()
    assert followed.ids == ({"i-1"} if held_for else set())
    followed.pass_time(max(0.0, held_for - 0.1))
    assert followed.ids == ({"i-1"} if held_for else set())
    followed.pass_time(0.2)
    assert followed.ids == set()


def test_a_cut_of_this_entry_alone_does_not_end_the_time_after_an_outage(followed):
    followed.register("i-1")
    for others_followed in (0.0, 60.0):
        followed.source.followed = others_followed
        followed.rows.faults.down = True
        assert not followed.mirror._list()
        followed.clock.advance(1.0)
        followed.rows.faults.down = False
        followed.refresh()
    followed.rows.remove("servers/i-1")
    followed.refresh()
    assert followed.ids == {"i-1"}
    followed.pass_time(REREGISTRATION_SECONDS - 1.0)
    assert followed.ids == set()
