import threading
from collections import Counter

import msgspec
import pytest

from platform_standins.served import Served
from rows_fakes import free_address, make_store, wait_for
from wigeonfront.clock import SystemClock
from wigeonfront.coordination.feed import (
    FOLLOWERS_PER_ENTRY,
    DirectRows,
    FeedServer,
    FollowedRows,
    feed_sources,
)
from wigeonfront.coordination.membership import Member
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.coordination.rows import Changes, Row

PREFIX = "op/"


@pytest.fixture
def running():
    stop = threading.Event()
    yield stop
    stop.set()


def start(mirror, stop):
    threading.Thread(target=mirror.run, args=(stop,), daemon=True).start()
    return mirror


def direct(store, **fields):
    return Mirror(DirectRows(store), PREFIX, SystemClock(), wait=0.2, **fields)


def values(mirror):
    return {key: row.value for key, row in mirror.state().rows.items()}


def test_a_mirror_follows_writes_and_deletions(running):
    store = make_store()
    store.put("op/a", b"1")
    mirror = start(direct(store), running)
    wait_for(lambda: values(mirror) == {"op/a": b"1"})
    store.put("op/b", b"2")
    store.put("other/c", b"3")
    store.remove("op/a")
    wait_for(lambda: values(mirror) == {"op/b": b"2"})


def test_a_deletion_in_history_that_is_gone_is_found_by_a_listing(running):
    store = make_store()
    store.put("op/a", b"1")
    store.put("op/b", b"1")
    mirror = start(direct(store), running)
    wait_for(lambda: len(values(mirror)) == 2)
    store.faults.down = True
    wait_for(lambda: mirror.failing)
    store.remove("op/a")
    store.put("op/b", b"2")
    store.compact()
    store.faults.down = False
    wait_for(lambda: values(mirror) == {"op/b": b"2"})
    assert not mirror.failing


def test_rows_stay_through_an_outage(running):
    store = make_store()
    store.put("op/a", b"1")
    mirror = start(direct(store), running)
    wait_for(lambda: mirror.ready)
    store.faults.down = True
    wait_for(lambda: mirror.failing)
    assert values(mirror) == {"op/a": b"1"}


def test_an_outage_is_not_answered_with_many_calls(running):
    store = make_store()
    store.faults.down = True
    start(direct(store), running)
    running.wait(1.5)
    assert store.faults.calls < 6


class OldListing:
    """A source whose listings are older than what its watch has told."""

    age = 0.0

    def __init__(self, store):
        self.store = store
        self.old = store.list(PREFIX)

    def list(self, prefix):
        return self.old

    def watch(self, prefix, after, timeout):
        return Changes((), after, compacted=True)


def test_a_mirror_never_goes_back_to_an_older_listing(running):
    store = make_store()
    store.put("op/a", b"old")
    source = OldListing(store)
    mirror = Mirror(source, PREFIX, SystemClock(), wait=0.01)
    mirror._list()
    store.put("op/a", b"new")
    source.watch = store.watch
    mirror._watch()
    assert values(mirror) == {"op/a": b"new"}
    mirror._list()
    assert values(mirror) == {"op/a": b"new"}


def test_followers_get_changes_or_are_told_to_list_anew():
    store = make_store()
    mirror = direct(store)
    store.put("op/a", b"1")
    mirror._list()
    listed = mirror.state().revision
    assert mirror.changes_after(listed, 0.0) == Changes((), listed)
    store.put("op/b", b"2")
    mirror._watch()
    found = mirror.changes_after(listed, 0.0)
    assert [change.key for change in found.changes] == ["op/b"]
    assert mirror.changes_after(listed - 1, 0.0).compacted


class SkippingClock(SystemClock):
    """The machine's clock, which can be set forward."""

    skipped = 0.0

    def monotonic(self):
        return super().monotonic() + self.skipped


@pytest.fixture
def fed():
    """A store, a mirror of it, and the address of the mirror's feed."""
    store = make_store()
    clock = SkippingClock()
    mirror = Mirror(DirectRows(store), PREFIX, clock, wait=0.01)
    feed = FeedServer(lambda: {PREFIX: mirror})
    server = Served(free_address(), feed.answer, 10)
    server.start()
    yield store, mirror, server.address, clock
    server.stop()


def follow(store, addresses, interval=1.0):
    rows = FollowedRows(DirectRows(store), lambda: addresses, SystemClock(), interval)
    return Mirror(rows, PREFIX, SystemClock(), wait=0.05)


def test_a_follower_makes_no_call_to_the_store(fed):
    store, mirror, address, _ = fed
    store.put("op/a", b"1")
    mirror._list()
    calls = store.faults.calls
    follower = follow(store, [address])
    assert follower._list()
    assert follower._watch()
    assert values(follower) == {"op/a": b"1"}
    assert store.faults.calls == calls


def test_a_follower_leaves_a_source_that_is_cut_off(fed):
    store, mirror, address, clock = fed
    store.put("op/a", b"1")
    mirror._list()
    follower = follow(store, [address])
    follower._list()
    store.put("op/a", b"2")
    clock.skipped = 5.0
    assert follower._watch()
    assert values(follower) == {"op/a": b"2"}


def test_a_follower_leaves_a_source_that_is_gone():
    store = make_store()
    store.put("op/a", b"1")
    follower = follow(store, [free_address()])
    assert follower._list()
    assert values(follower) == {"op/a": b"1"}


def test_a_follower_takes_the_next_source_before_the_store(fed):
    store, mirror, address, _ = fed
    store.put("op/a", b"1")
    mirror._list()
    calls = store.faults.calls
    follower = follow(store, [free_address(), address])
    assert follower._list()
    assert store.faults.calls == calls


def test_a_mirror_without_rows_yet_is_no_source(fed):
    store, _, address, _ = fed
    store.put("op/a", b"1")
    follower = follow(store, [address])
    assert follower._list()
    assert follower.get("op/a") == Row("op/a", b"1", 1)


def entry(name, domain="z1", leaving=False):
    return Member(name, f"{name}.x", f"{name}:1", leaving, domain)


SEEDS = ("n00:1", "n01:1", "n02:1")


@pytest.mark.parametrize(
    ("me", "expected"),
    [
        # A seed follows those before it, and the first one the store.
        ("n00", []),
        ("n02", ["n00:1", "n01:1"]),
        # The head of a failure domain follows the seeds, its next eight the head.
        ("n03", [*SEEDS]),
        ("n04", ["n03:1", *SEEDS]),
        ("n11", ["n03:1", *SEEDS]),
        ("n12", ["n04:1", *SEEDS]),
    ],
)
def test_entries_of_a_failure_domain_follow_each_other(me, expected):
    members = [entry(f"n{number:02}") for number in range(40)]
    found = feed_sources(entry(me), members, SEEDS)
    assert found[: len(found) - 3] == expected[: len(expected) - 3]
    assert set(found) == set(expected)


def test_one_whose_others_are_elsewhere_leaving_or_unknown_follows_the_seeds():
    members = [entry("n04", "z2"), entry("n05", leaving=True), entry("n09")]
    for known in (members, [], members[:2]):
        assert set(feed_sources(entry("n09"), known, SEEDS)) == set(SEEDS)


@pytest.mark.parametrize("count", [30, 300, 1_000])
def test_no_entry_has_many_followers_however_many_there_are(count):
    members = [entry(f"n{number:04}", f"z{number % 5}") for number in range(3, count)]
    seeds = ("n0000:1", "n0001:1", "n0002:1")
    parents = Counter(feed_sources(one, members, seeds)[0] for one in members)
    assert max(parents.values()) <= FOLLOWERS_PER_ENTRY
    for one in members:
        steps, at = 0, one.address
        while at not in seeds:
            known = next(each for each in members if each.address == at)
            at = feed_sources(known, members, seeds)[0]
            steps += 1
        assert steps <= 4


def test_a_source_that_is_silent_costs_no_second_wait(running):
    """The next one is asked only what it knows now."""
    store = make_store()
    store.put("op/a", b"1")
    top = start(direct(store), running)
    wait_for(lambda: top.ready)
    waits = []

    def silent(call):
        waits.append(msgspec.json.decode(call.body(1_000))["wait"])
        call.abort()

    feeds = FeedServer(lambda: {PREFIX: top})

    def answer(call):
        waits.append(msgspec.json.decode(call.body(1_000))["wait"])
        call.body = lambda most: msgspec.json.encode(
            {"prefix": PREFIX, "after": top.revision, "wait": waits[-1]}
        )
        feeds.answer(call)

    servers = [Served(free_address(), one, threads=4) for one in (silent, answer)]
    for server in servers:
        server.start()
    addresses = [server.address for server in servers]
    rows = FollowedRows(DirectRows(store), lambda: addresses, SystemClock(), 2.0)
    rows.watch(PREFIX, top.revision, 1.0)
    for server in servers:
        server.stop()
    assert waits == [1.0, 0.0]
