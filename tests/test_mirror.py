import threading

import pytest

from platform_standins.served import Served
from rows_fakes import free_address, make_store, wait_for
from wigeonfront.clock import SystemClock
from wigeonfront.mirror import Mirror
from wigeonfront.row_feed import DirectRows, FeedServer, FollowedRows
from wigeonfront.rows import Changes, Row

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
