"""Mirrors of rows, the feeds that serve them, and the choice of feed sources."""

import threading
from collections import Counter

import msgspec
import pytest

from platform_standins.server import StandInServer
from rows_fakes import free_address, make_store, wait_for
from wigeonfront.clock import ManualClock, SystemClock
from wigeonfront.coordination.feed import (
    FOLLOWERS_PER_ENTRY,
    MAX_PEERS_ASKED,
    REFRESH_SLACK_SECONDS,
    DirectRows,
    FeedChanges,
    FeedListing,
    FeedServer,
    FollowedRows,
    feed_sources,
)
from wigeonfront.coordination.membership import Member
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.coordination.rows import Changes, Listing, Row
from wigeonfront.http.client import Answer
from wigeonfront.supervisor import Supervisor

PREFIX = "op/"


@pytest.fixture
def running():
    stop = threading.Event()
    yield stop
    stop.set()


def start(mirror, stop):
    threading.Thread(target=mirror.run, args=(stop,), daemon=True).start()
    return mirror


def make_mirror(store, **fields):
    return Mirror(DirectRows(store), PREFIX, SystemClock(), wait=0.2, **fields)


def values(mirror):
    return {key: row.value for key, row in mirror.state().rows.items()}


def test_mirror_follows_writes_and_deletions(running):
    store = make_store()
    store.put("op/a", b"1")
    mirror = start(make_mirror(store), running)
    wait_for(lambda: values(mirror) == {"op/a": b"1"})
    store.put("op/b", b"2")
    store.put("other/c", b"3")
    store.remove("op/a")
    wait_for(lambda: values(mirror) == {"op/b": b"2"})


def test_listing_finds_a_deletion_in_compacted_history(running):
    store = make_store()
    store.put("op/a", b"1")
    store.put("op/b", b"1")
    mirror = start(make_mirror(store), running)
    wait_for(lambda: len(values(mirror)) == 2)
    store.faults.down = True
    wait_for(lambda: mirror.failing)
    store.remove("op/a")
    store.put("op/b", b"2")
    store.compact()
    store.faults.down = False
    wait_for(lambda: values(mirror) == {"op/b": b"2"})
    assert not mirror.failing


def test_rows_are_kept_through_an_outage(running):
    store = make_store()
    store.put("op/a", b"1")
    mirror = start(make_mirror(store), running)
    wait_for(lambda: mirror.ready)
    store.faults.down = True
    wait_for(lambda: mirror.failing)
    assert values(mirror) == {"op/a": b"1"}


def test_outage_causes_few_calls(running):
    store = make_store()
    store.faults.down = True
    start(make_mirror(store), running)
    running.wait(1.5)
    assert store.faults.calls < 6


class RecordedWaits(DirectRows):
    """A store whose watches are recorded with the time that they may wait."""

    def __init__(self, store):
        super().__init__(store)
        self.store = store
        self.waits = []

    def watch(self, prefix, after, timeout):
        self.waits.append(timeout)
        return self.store.watch(prefix, after, 0.0)


def test_the_return_of_a_source_is_noticed_without_waiting_for_a_change():
    store = make_store()
    source = RecordedWaits(store)
    mirror = Mirror(source, PREFIX, SystemClock(), wait=0.6)
    assert mirror._list()
    assert mirror._watch()
    store.faults.down = True
    assert not mirror._watch()
    store.faults.down = False
    assert mirror._watch()
    assert mirror._watch()
    assert source.waits == [0.6, 0.6, 0.0, 0.6]


class OutdatedSource:
    """A source whose listings are older than the changes of its watch."""

    age = 0.0

    def __init__(self, store):
        self.store = store
        self.outdated = store.list(PREFIX)

    def list(self, prefix):
        return self.outdated

    def watch(self, prefix, after, timeout):
        return Changes((), after, compacted=True)


def test_mirror_ignores_a_listing_older_than_its_rows(running):
    store = make_store()
    store.put("op/a", b"old")
    source = OutdatedSource(store)
    mirror = Mirror(source, PREFIX, SystemClock(), wait=0.01)
    mirror._list()
    store.put("op/a", b"new")
    source.watch = store.watch
    mirror._watch()
    assert values(mirror) == {"op/a": b"new"}
    mirror._list()
    assert values(mirror) == {"op/a": b"new"}


def test_followers_get_changes_or_must_list_again():
    store = make_store()
    mirror = make_mirror(store)
    store.put("op/a", b"1")
    mirror._list()
    listed = mirror.state().revision
    assert mirror.read_after(listed, 0.0).changes == Changes((), listed)
    store.put("op/b", b"2")
    mirror._watch()
    newer = mirror.read_after(listed, 0.0).changes
    assert [change.key for change in newer.changes] == ["op/b"]
    assert mirror.read_after(listed - 1, 0.0).changes.compacted


class SkippingClock(SystemClock):
    """The clock of the machine, which can be set forward."""

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
    server = StandInServer(free_address(), feed.answer, 10)
    server.start()
    yield store, mirror, server.address, clock
    server.stop()


def follow(store, addresses, interval=1.0):
    rows = FollowedRows(DirectRows(store), lambda: addresses, SystemClock(), interval)
    return Mirror(rows, PREFIX, SystemClock(), wait=0.05)


def test_follower_makes_no_call_to_the_store(fed):
    store, mirror, address, _ = fed
    store.put("op/a", b"1")
    mirror._list()
    calls = store.faults.calls
    follower = follow(store, [address])
    assert follower._list()
    assert follower._watch()
    assert values(follower) == {"op/a": b"1"}
    assert store.faults.calls == calls


def test_follower_leaves_a_source_that_is_cut_off(fed):
    store, mirror, address, clock = fed
    store.put("op/a", b"1")
    mirror._list()
    follower = follow(store, [address])
    follower._list()
    store.put("op/a", b"2")
    clock.skipped = 5.0
    assert follower._watch()
    assert values(follower) == {"op/a": b"2"}


def test_follower_leaves_a_source_that_is_gone():
    store = make_store()
    store.put("op/a", b"1")
    follower = follow(store, [free_address()])
    assert follower._list()
    assert values(follower) == {"op/a": b"1"}


def test_follower_prefers_the_next_source_to_the_store(fed):
    store, mirror, address, _ = fed
    store.put("op/a", b"1")
    mirror._list()
    calls = store.faults.calls
    follower = follow(store, [free_address(), address])
    assert follower._list()
    assert store.faults.calls == calls


def test_mirror_that_has_not_listed_is_no_source(fed):
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
        # A seed follows the seeds before it, and the first seed the store.
        ("n00", []),
        ("n02", ["n00:1", "n01:1"]),
        # The root of a failure domain follows the seeds, the next eight the root.
        ("n03", [*SEEDS]),
        ("n04", ["n03:1", *SEEDS]),
        ("n11", ["n03:1", *SEEDS]),
        ("n12", ["n04:1", *SEEDS]),
    ],
)
def test_entries_of_a_failure_domain_form_a_tree(me, expected):
    members = [entry(f"n{number:02}") for number in range(40)]
    sources = feed_sources(entry(me), members, SEEDS)
    assert sources[: len(sources) - 3] == expected[: len(expected) - 3]
    assert set(sources) == set(expected)


def test_entry_without_usable_peers_in_its_failure_domain_follows_the_seeds():
    members = [entry("n04", "z2"), entry("n05", leaving=True), entry("n09")]
    for known in (members, [], members[:2]):
        assert set(feed_sources(entry("n09"), known, SEEDS)) == set(SEEDS)


@pytest.mark.parametrize("count", [30, 300, 1_000])
def test_number_of_followers_is_bounded_at_any_number_of_entries(count):
    members = [entry(f"n{number:04}", f"z{number % 5}") for number in range(3, count)]
    seeds = ("n0000:1", "n0001:1", "n0002:1")
    parents = Counter(
        feed_sources(own_member, members, seeds)[0] for own_member in members
    )
    assert max(parents.values()) <= FOLLOWERS_PER_ENTRY
    for member in members:
        depth, address = 0, member.address
        while address not in seeds:
            node = next(other for other in members if other.address == address)
            address = feed_sources(node, members, seeds)[0]
            depth += 1
        assert depth <= 4


def test_silent_source_costs_no_second_wait(running):
    """The next source is asked without a wait."""
    store = make_store()
    store.put("op/a", b"1")
    mirror = start(make_mirror(store), running)
    wait_for(lambda: mirror.ready)
    waits = []

    def answer_nothing(call):
        waits.append(msgspec.json.decode(call.body(1_000))["wait"])
        call.abort()

    feed = FeedServer(lambda: {PREFIX: mirror})

    def answer(call):
        waits.append(msgspec.json.decode(call.body(1_000))["wait"])
        call.body = lambda limit: msgspec.json.encode(
            {"prefix": PREFIX, "after": mirror.revision, "wait": waits[-1]}
        )
        feed.answer(call)

    servers = [
        StandInServer(free_address(), handler, threads=4)
        for handler in (answer_nothing, answer)
    ]
    for server in servers:
        server.start()
    addresses = [server.address for server in servers]
    rows = FollowedRows(DirectRows(store), lambda: addresses, SystemClock(), 2.0)
    rows.watch(PREFIX, mirror.revision, 1.0)
    for server in servers:
        server.stop()
    assert waits == [1.0 + REFRESH_SLACK_SECONDS, 0.0]


@pytest.mark.parametrize(
    ("calls", "followed"),
    [
        # Pairs of the seconds before a call and whether it succeeds.
        ([(9.0, True)], 0.0),
        ([(1.0, True), (1.0, True)], 2.0),
        ([(1.0, True), (1.4, True)], 2.4),
        # A call that waits for an outage to end has left a gap.
        ([(1.0, True), (3.0, True)], 0.0),
        ([(1.0, True), (1.0, False)], 0.0),
        ([(1.0, True), (1.0, False), (1.0, True), (0.5, True)], 0.5),
    ],
)
def test_rows_are_followed_since_the_last_gap_between_two_answers(calls, followed):
    store, clock = make_store(), ManualClock(100.0)
    mirror = Mirror(DirectRows(store), PREFIX, clock, pause=0.4, wait=0.6)
    assert mirror._list()
    for seconds, answered in calls:
        clock.advance(seconds)
        store.faults.down = not answered
        assert mirror._list() is answered
    assert mirror.followed_seconds == pytest.approx(followed)


def test_old_rows_are_not_followed():
    clock = ManualClock(100.0)
    mirror = Mirror(DirectRows(make_store()), PREFIX, clock, pause=0.4, wait=0.6)
    assert mirror._list()
    clock.advance(1.4)
    assert mirror.followed_seconds == pytest.approx(1.4)
    clock.advance(0.2)
    assert mirror.followed_seconds == 0.0


@pytest.mark.parametrize(
    ("peers", "followed"),
    [
        ([], 0.0),
        (["dead"], 0.0),
        (["alive"], 6.0),
        (["dead", "alive"], 6.0),
        (["dead"] * MAX_PEERS_ASKED + ["alive"], 0.0),
    ],
)
def test_peers_tell_for_how_long_they_have_followed_the_store(fed, peers, followed):
    store, mirror, address, _ = fed
    assert mirror._list()
    mirror._followed_since -= 6.0
    addresses = [address if peer == "alive" else free_address() for peer in peers]
    rows = FollowedRows(
        DirectRows(store), lambda: [], SystemClock(), 1.0, lambda: addresses
    )
    found = rows.followed_elsewhere(PREFIX, mirror.revision)
    assert found == pytest.approx(followed, abs=1.0)
    assert rows.followed_elsewhere("no mirror", 0) == 0.0


@pytest.mark.parametrize(
    ("age", "waits_expected"),
    [(0.4, [0.8]), (1.0, [0.3]), (1.4, []), (2.5, [])],
)
def test_a_source_is_waited_for_while_there_is_time_to_ask_the_store(
    age, waits_expected
):
    store, clock = make_store(), ManualClock(100.0)
    mirror = Mirror(DirectRows(store), PREFIX, clock, wait=0.01)
    assert mirror._list()
    feed = FeedServer(lambda: {PREFIX: mirror})
    waits = []

    def answer(call):
        body = call.body(1_000)
        waits.append(msgspec.json.decode(body)["wait"])
        call.body = lambda limit: body
        feed.answer(call)

    server = StandInServer(free_address(), answer, threads=2)
    server.start()
    rows = FollowedRows(DirectRows(store), lambda: [server.address], clock, 1.0)
    rows.list(PREFIX)
    clock.advance(age)
    threading.Timer(0.1, clock.advance, (1.0,)).start()
    rows.watch(PREFIX, mirror.revision, 0.6)
    server.stop()
    assert waits == pytest.approx([0.0, *waits_expected])


def test_rows_that_were_used_for_too_long_are_logged(caplog):
    store, clock = make_store(), ManualClock(100.0)
    store.put("op/a", b"1")
    mirror = Mirror(DirectRows(store), PREFIX, clock, wait=0.0, outdated_seconds=2.0)
    clock.advance(9.0)
    assert mirror._list()
    clock.advance(1.9)
    assert mirror._watch()
    assert "rows_outdated" not in caplog.text
    clock.advance(2.1)
    assert mirror._watch()
    assert "event=rows_outdated prefix=op/ seconds=2.1" in caplog.text


class PagedStore(DirectRows):
    """A store whose listing has a row that was written after its revision."""

    def list(self, prefix):
        listing = super().list(prefix)
        return Listing(listing.rows, listing.revision - 1)


def test_a_row_newer_than_its_listing_is_not_kept_from_followers():
    store = make_store()
    store.put("op/a", b"1")
    before = store.list(PREFIX).revision
    store.put("op/b", b"2")
    mirror = Mirror(PagedStore(store), PREFIX, SystemClock(), wait=0.0)
    assert mirror._list()
    assert mirror._watch()
    newer = mirror.read_after(before, 0.0).changes
    assert [change.key for change in newer.changes] == ["op/b"]


class LatePeers:
    """Peers whose answers take some seconds, in place of `Pools`."""

    def __init__(self, clock, answer, seconds):
        self.clock = clock
        self.answer = answer
        self.seconds = seconds

    def post(self, address, path, body, timeout):
        self.clock.advance(self.seconds)
        return Answer(200, msgspec.json.encode(self.answer))


class LateStore(DirectRows):
    """A store whose answers take some seconds."""

    def __init__(self, store, clock, seconds):
        super().__init__(store)
        self.clock = clock
        self.seconds = seconds

    def list(self, prefix):
        self.clock.advance(self.seconds)
        return super().list(prefix)

    def watch(self, prefix, after, timeout):
        self.clock.advance(self.seconds)
        return super().watch(prefix, after, 0.0)


@pytest.mark.parametrize(
    ("answer", "seconds", "age"),
    [
        (FeedChanges(Changes((), 5), age=0.0, held=0.5), 0.5, 0.0),
        (FeedChanges(Changes((), 5), age=0.0, held=0.5), 1.3, 0.8),
        (FeedChanges(Changes((), 5), age=0.4, held=0.5), 1.3, 1.2),
        (FeedChanges(Changes((), 5), age=0.4, held=0.0), 1.3, 1.7),
        (FeedListing(Listing((), 5), age=0.4), 0.3, 0.7),
    ],
)
def test_an_answer_that_was_on_its_way_is_as_old_as_its_call(answer, seconds, age):
    clock = ManualClock(100.0)
    rows = FollowedRows(DirectRows(make_store()), lambda: ["a:1"], clock, 1.0)
    rows._pools = LatePeers(clock, answer, seconds)
    if isinstance(answer, FeedListing):
        rows.list(PREFIX)
    else:
        rows.watch(PREFIX, 5, 0.5)
    assert rows.age == pytest.approx(age)


@pytest.mark.parametrize(
    ("call", "seconds", "age"),
    [("list", 0.9, 0.9), ("watch", 0.5, 0.0), ("watch", 1.4, 0.9)],
)
def test_a_late_answer_of_the_store_is_as_old_as_its_call(call, seconds, age):
    clock = ManualClock(100.0)
    rows = FollowedRows(LateStore(make_store(), clock, seconds), tuple, clock, 1.0)
    if call == "list":
        rows.list(PREFIX)
    else:
        rows.watch(PREFIX, 5, 0.5)
    assert rows.age == pytest.approx(age)


def test_rows_without_their_history_are_not_known():
    store, clock = make_store(), ManualClock(100.0)
    store.put("op/a", b"1")
    mirror = Mirror(DirectRows(store), PREFIX, clock, wait=0.0)
    assert mirror._list()
    store.put("op/a", b"2")
    store.compact()
    clock.advance(3.0)
    assert mirror._watch()
    assert not mirror.ready
    assert mirror.age == pytest.approx(3.0)
    assert mirror._list()
    assert mirror.age == 0.0


def test_a_change_whose_callback_failed_is_told_again_after_the_restart(running):
    store, told = make_store(), []
    failures = [ValueError("a callback that fails once")]

    def on_change(mirror):
        told.append(values(mirror))
        if told[-1] and failures:
            raise failures.pop()

    mirror = make_mirror(store, on_change=on_change)
    tasks = Supervisor("mirror")
    tasks.start("task", mirror.run)
    wait_for(lambda: mirror.ready)
    store.put("op/a", b"1")
    wait_for(lambda: told[-2:] == [{"op/a": b"1"}] * 2)
    tasks.stop()
