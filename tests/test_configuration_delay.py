"""The time until an acknowledged change is in force, added up without a network.

A process follows other processes and the store, while some of them stop answering or
are cut off. Each call takes as long as its timeouts allow, on a manual clock.
"""

from dataclasses import dataclass, field
from random import Random

import msgspec
import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.coordination.feed import (
    CONNECT_SECONDS,
    DirectRows,
    FeedCall,
    FeedChanges,
    FollowedRows,
)
from wigeonfront.coordination.mirror import Mirror
from wigeonfront.coordination.relay import (
    RELAY_CONNECT_SECONDS,
    RELAY_PATH,
    RoutedStore,
    WatchCall,
    encode_outcome,
)
from wigeonfront.coordination.rows import Change, Changes, Listing, Unavailable
from wigeonfront.http.client import Answer, NotSent, Unanswered
from wigeonfront.node.store_view import WATCH_SHARE
from wigeonfront.platform.metadata_store import CALL_SECONDS

PREFIX = "op/"
KEY = "op/config"
LATENCY = 0.004
NEVER = 1e9
MAX_SECONDS = 30.0


@dataclass
class World:
    """The store, the processes that can be asked, and when each of them fails."""

    clock: ManualClock
    changed_at: float = NEVER
    # Times from which a process gives no answers, or can't be connected to any more.
    silent: dict[str, float] = field(default_factory=dict)
    dark: dict[str, float] = field(default_factory=dict)
    # Times from which a process is cut off from the store.
    cut_off: dict[str, float] = field(default_factory=dict)

    def revision(self, until):
        return 2 if until >= self.changed_at else 1

    def watch(self, after, wait, cut_off_at=NEVER):
        """Answer a watch, which waits, and return the time as of which it is known."""
        now = self.clock.monotonic()
        seen_until = min(now + wait, cut_off_at)
        if self.revision(seen_until) > after:
            self.clock.advance(max(0.0, min(self.changed_at, seen_until) - now))
            return Changes((Change(KEY, b"new", 2),), 2), self.clock.monotonic()
        self.clock.advance(wait)
        return Changes((), after), min(self.clock.monotonic(), cut_off_at)


class Store:
    """The store as one process reaches it."""

    def __init__(self, world, name):
        self.world = world
        self.name = name

    def list(self, prefix):
        return Listing((), 1)

    def watch(self, prefix, after, timeout):
        world = self.world
        if world.clock.monotonic() + timeout >= world.cut_off.get(self.name, NEVER):
            world.clock.advance(CALL_SECONDS + timeout)
            return Unavailable("ReadTimeoutError")
        world.clock.advance(LATENCY)
        return world.watch(after, timeout)[0]


class Peers:
    """Calls to other processes, in place of `Pools`."""

    def __init__(self, world, connect_seconds):
        self.world = world
        self.connect_seconds = connect_seconds
        self.connected = set()
        self.relays = {}

    def post(self, address, path, body, timeout):
        world, now = self.world, self.world.clock.monotonic()
        dark = now >= world.dark.get(address, NEVER)
        if dark and address not in self.connected:
            world.clock.advance(self.connect_seconds)
            return NotSent("ConnectTimeoutError")
        silent_at = min(
            world.silent.get(address, NEVER), world.dark.get(address, NEVER)
        )
        if now + timeout >= silent_at and world.revision(silent_at) == 1:
            world.clock.advance(timeout)
            self.connected.discard(address)
            return Unanswered("ReadTimeoutError")
        self.connected.add(address)
        world.clock.advance(LATENCY)
        return Answer(200, self._answer(address, path, body))

    def _answer(self, address, path, body):
        cut_off_at = self.world.cut_off.get(address, NEVER)
        if path == RELAY_PATH:
            call = msgspec.json.decode(body, type=WatchCall)
            return encode_outcome(self._relay(address).call_directly(call))
        call = msgspec.json.decode(body, type=FeedCall)
        changes, known_at = self.world.watch(call.after, call.wait, cut_off_at)
        age = self.world.clock.monotonic() - known_at
        return msgspec.json.encode(FeedChanges(changes, age))

    def _relay(self, name):
        """Return the store as another process calls it for this one."""
        if name not in self.relays:
            store, clock = Store(self.world, name), self.world.clock
            self.relays[name] = RoutedStore(store, lambda: (), clock, Random(1))
        return self.relays[name]


class Pause:
    """The stop event of a mirror, whose waits advance the clock."""

    def __init__(self, world, mirror):
        self.world = world
        self.mirror = mirror

    def is_set(self):
        late = self.world.clock.monotonic() > self.world.changed_at + MAX_SECONDS
        return late or self.mirror.get(KEY) is not None

    def wait(self, seconds):
        self.world.clock.advance(seconds)
        return self.is_set()


def seconds_until_in_force(world, sources, bound, relays=()):
    """Follow the rows until the change arrives, and return its delay in seconds."""
    clock = world.clock
    store = RoutedStore(Store(world, "own"), lambda: relays, clock, Random(1))
    store._pools = Peers(world, RELAY_CONNECT_SECONDS)
    seconds = bound * WATCH_SHARE
    rows = FollowedRows(
        DirectRows(store),
        lambda: sources,
        clock,
        seconds,
        fallbacks=lambda: relays,
    )
    rows._pools = Peers(world, CONNECT_SECONDS)
    mirror = Mirror(rows, PREFIX, clock, wait=seconds)
    mirror._listed, mirror._revision = True, 1
    mirror.run(Pause(world, mirror))
    return clock.monotonic() - world.changed_at


SOURCES = ("parent", "seed-1", "seed-2", "seed-3")
PEERS = ("entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6")
FAILURES = ("silent", "dark", "cut_off")
WORLDS = 2_000


def failing_world(seed, share):
    """Return a world in which processes fail around a change, and its random source."""
    random = Random(seed)
    world = World(ManualClock(100.0))
    world.changed_at = 110.0 + random.uniform(0.0, 3.0)
    for name in (*SOURCES, *PEERS):
        if random.random() < share:
            failure = getattr(world, random.choice(FAILURES))
            failure[name] = world.changed_at + random.uniform(-3.0, 1.0)
    return world, random


@pytest.mark.parametrize("bound", [2.0, 3.0, 4.0])
@pytest.mark.parametrize("share", [0.35, 0.5, 1.0])
def test_sources_that_fail_together_delay_a_change_no_longer_than_the_bound(
    bound, share
):
    worlds = [failing_world(seed, share)[0] for seed in range(WORLDS)]
    delays = [seconds_until_in_force(world, SOURCES, bound, PEERS) for world in worlds]
    assert max(delays) < bound


@pytest.mark.parametrize(("bound", "stretch"), [(2.0, 5.0), (3.0, 6.0), (4.0, 8.0)])
@pytest.mark.parametrize("share", [0.35, 0.5, 0.7])
def test_a_process_cut_off_from_the_store_finds_a_peer_that_is_not(
    bound, stretch, share
):
    delays = []
    for seed in range(WORLDS):
        world, random = failing_world(seed, share)
        world.cut_off["own"] = world.changed_at - random.uniform(0.0, 3.0)
        for name in FAILURES:
            getattr(world, name).pop(PEERS[-1], None)
        delays.append(seconds_until_in_force(world, SOURCES, bound, PEERS))
    assert max(delays) < bound + stretch
