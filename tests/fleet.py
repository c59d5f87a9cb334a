"""Many entries' control parts in one process, over memory and a clock that is told.

The parts are the real ones; only the key-value service, the calls between entries
and the passing of time stand in. Nothing runs in threads: `Fleet.run` makes each
task's steps in the order of their times.
"""

import heapq
import itertools
import random
from collections import Counter

import msgspec

from wigeonfront import catalogue
from wigeonfront.clock import ManualClock
from wigeonfront.entry import members
from wigeonfront.entry.control import Control, ControlSettings
from wigeonfront.entry.edits import Accepted
from wigeonfront.entry.member_calls import (
    CHANGE_PATH,
    POLL_PATH,
    RENEW_PATH,
    Change,
    Poll,
    Renew,
    Unreachable,
)
from wigeonfront.entry.member_server import renew_for
from wigeonfront.entry.peers import Identity
from wigeonfront.platform import Changes, Listing
from wigeonfront.platform.memory import MemoryKeyValue, MemoryState

ROW = {"owner": "farm", "class": "rollout", "services": ["judge-llm"]}
WAKE_SECONDS = 0.002
SHORTEST_PAUSE = 0.01


def encoded(**fields):
    return msgspec.json.encode(ROW | fields)


class FleetClock(ManualClock):
    """Lets the fleet run while a caller sleeps."""

    fleet = None

    def sleep(self, seconds):
        self.fleet.run(seconds)


class FleetState(MemoryState):
    """Wakes the watches that wait for a write."""

    fleet = None

    def write(self, key, value, lease=0):
        stored = super().write(key, value, lease)
        self.fleet.wake_watches(key)
        return stored


class FleetKeyValue(MemoryKeyValue):
    """A client whose watches wait, and may miss changes or go silent."""

    def __init__(self, fleet):
        super().__init__(state=fleet.state)
        self.fleet = fleet
        self.misses_events = False
        self.silent = False
        self.replica = None
        self.resumed = False
        self.times = []

    def _read(self, name, call):
        # A watch that waited for a write and now returns was counted before.
        if not self.resumed:
            self.times.append((self.fleet.clock.monotonic(), name))
        return super()._read(name, call)

    def list(self, prefix):
        found = super().list(prefix)
        if self.replica is None or not isinstance(found, Listing):
            return found
        return self.replica[prefix]

    def lag(self):
        """Answer listings and watches from a replica that gets no writes any more."""
        self.replica = {
            prefix: super(FleetKeyValue, self).list(prefix)
            for prefix in (catalogue.PREFIX, members.PREFIX)
        }

    def watch(self, prefix, after, timeout):
        found = super().watch(prefix, after, timeout)
        if not isinstance(found, Changes):
            return found
        if self.replica is not None:
            found = Changes((), self.replica[prefix].revision)
        if self.silent or self.misses_events:
            found = Changes((), after if self.silent else found.revision)
        if not found.changes and not found.compacted:
            self.fleet.park(prefix, timeout)
        return found


class MemoryCalls:
    """Calls between entries, as far as the fleet lets them through."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def call(self, address, path, message, reply, timeout):
        node = self.fleet.nodes.get(address)
        if node is None or not self.fleet.connected(self.name, address):
            return Unreachable("timeout")
        kind, answer = node.handlers[path]
        sent = msgspec.json.decode(msgspec.json.encode(message), type=kind)
        answered = msgspec.json.encode(answer(sent))
        if not self.fleet.connected(address, self.name):
            return Unreachable("answer lost")
        return msgspec.json.decode(answered, type=reply)

    def each(self, function, items):
        return [function(item) for item in items]


class Node:
    """One entry; its address is its name."""

    def __init__(self, fleet, name, domain):
        self.fleet = fleet
        self.name = name
        self.domain = domain
        self.frozen = False
        self.key_value = FleetKeyValue(fleet)
        self.sides_behind = []
        incarnation = f"{name}-{next(fleet.numbers)}"
        self.control = Control(
            Identity(name, incarnation),
            ControlSettings(name, domain),
            self.key_value,
            MemoryCalls(fleet, name),
            fleet.clock,
            listed=lambda: fleet.listed,
            sides_behind=lambda: self.sides_behind,
            generator=random.Random(incarnation),
        )
        control = self.control
        self.handlers = {
            POLL_PATH: (Poll, control.polling.answer),
            CHANGE_PATH: (Change, control.confirmation.answer),
            RENEW_PATH: (Renew, lambda renew: renew_for(self.key_value, renew)),
        }
        self.steps = {
            "catalogue": control.catalogue_watch.step,
            "members": control.members_watch.step,
            "polling": control.polling.step,
            "joining": control.joining.step,
        }

    @property
    def catalogue(self):
        return self.control.catalogue

    @property
    def standing(self):
        return self.control.membership.standing.name

    @property
    def admits(self):
        return self.control.membership.refusal("rollout") is None

    def weight(self, name="a"):
        entry = self.catalogue.get(name)
        return entry.weight if entry else None

    def put(self, weight, expected=None, wait=8.0, name="a"):
        """Edit a row, by default from the revision known here."""
        if expected is None:
            known = self.catalogue.known(name)
            expected = known.revision if known else 0
        row = encoded(weight=weight)
        outcome = self.control.editor.put(name, row, expected, "operator", wait)
        return self.fleet.note(name, outcome)

    def confirm(self, wait=0.0, name="a"):
        """Ask anew whether the present row is in force."""
        return self.fleet.note(name, self.control.editor.confirm(name, wait))


class Fleet:
    """Entries by name, and the faults between them.

    Attributes
    ----------
    cuts : set of frozenset
        Pairs of names that don't reach each other.
    one_way : set of tuple
        Pairs (from, to) of which nothing arrives.
    listed : list of str or None
        The VM list's entries.
    """

    def __init__(self, count=0, domains=1):
        self.clock = FleetClock()
        self.clock.fleet = self
        self.state = FleetState(self.clock)
        self.state.fleet = self
        self.nodes = {}
        self.cuts = set()
        self.one_way = set()
        self.listed = None
        self.accepted = {}
        self.numbers = itertools.count(1)
        self._queue = []
        self._parked = {}
        self._park_asked = None
        for number in range(count):
            self.start(f"e{number}", f"d{number % domains}")

    def __getitem__(self, number):
        return self.nodes[f"e{number}"]

    @property
    def all(self):
        return list(self.nodes.values())

    def start(self, name, domain="d0"):
        """Start an entry, in place of one of the same name."""
        node = self.nodes[name] = Node(self, name, domain)
        for task in node.steps:
            self._schedule(node, task, node.control.start_delay())
        return node

    def kill(self, name):
        """End an entry at once."""
        self.nodes.pop(name)

    def stop(self, name):
        """End an entry gracefully."""
        node = self.nodes[name]
        node.control.leave()
        node.control.end()
        self.kill(name)

    def freeze(self, node):
        node.frozen = True

    def wake(self, node):
        node.frozen = False
        for task in node.steps:
            self._schedule(node, task, 0)

    def cut(self, *groups):
        """Let entries of different groups not reach each other."""
        for one, other in itertools.combinations(groups, 2):
            self.cuts |= {frozenset((a.name, b.name)) for a in one for b in other}

    def heal(self):
        self.cuts.clear()
        self.one_way.clear()

    def connected(self, sender, receiver):
        nodes = self.nodes.get(sender), self.nodes.get(receiver)
        if None in nodes or any(node.frozen for node in nodes):
            return False
        if (sender, receiver) in self.one_way:
            return False
        return frozenset((sender, receiver)) not in self.cuts

    def run(self, seconds):
        """Let time pass, and each task step when it is due."""
        end = self.clock.monotonic() + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, node, task, token, resumed = heapq.heappop(self._queue)
            if self._parked.get((node, task), (None, token))[1] is not token:
                continue
            self._advance(at)
            self._step(node, task, resumed)
        self._advance(end)

    def settle(self, seconds=6.0):
        """Run until all are members."""
        self.run(seconds)
        assert {node.standing for node in self.all} == {"member"}

    def note(self, name, outcome):
        """Remember what was accepted, and check that it is in force at once."""
        if isinstance(outcome, Accepted):
            known = self.accepted.get(name, 0)
            self.accepted[name] = max(known, outcome.revision)
            for node in self.all:
                self.check(node)
        return outcome

    def check(self, node):
        """What was accepted is in force wherever rollouts are admitted."""
        if node.frozen or not node.admits:
            return
        for name, revision in self.accepted.items():
            assert node.catalogue.has(name, revision), (node.name, name, revision)

    def write(self, weight, name="a", row=None):
        """Write a row directly to the key-value service; return its revision."""
        value = encoded(weight=weight) if row is None else row
        return self.state.write(catalogue.PREFIX + name, value).revision

    def weights(self, name="a"):
        return Counter(node.weight(name) for node in self.all)

    def calls(self, since=0.0):
        """Return the calls to the key-value service since a time, by kind."""
        times = [one for node in self.all for one in node.key_value.times]
        return Counter(kind for at, kind in times if at >= since)

    def peak(self, since, window=1.0):
        """Return the most calls within any window of whole seconds."""
        times = [one for node in self.all for one in node.key_value.times]
        by_window = Counter(int(at / window) for at, _ in times if at >= since)
        return max(by_window.values(), default=0)

    def park(self, prefix, timeout):
        """Have the task that steps now wait for a write below `prefix`."""
        self._park_asked = (prefix, timeout)

    def wake_watches(self, key):
        """Step the tasks that wait for a write of `key`."""
        for (node, task), (prefix, _) in list(self._parked.items()):
            if key.startswith(prefix) and not node.key_value.silent:
                del self._parked[node, task]
                self._schedule(node, task, WAKE_SECONDS, resumed=True)

    def _step(self, node, task, resumed):
        self._parked.pop((node, task), None)
        if node.frozen or self.nodes.get(node.name) is not node:
            return
        self._park_asked = None
        node.key_value.resumed = resumed
        pause = node.steps[task]()
        node.key_value.resumed = False
        self.check(node)
        if self._park_asked is None:
            self._schedule(node, task, max(pause, SHORTEST_PAUSE))
            return
        prefix, timeout = self._park_asked
        token = object()
        self._parked[node, task] = (prefix, token)
        self._schedule(node, task, timeout, token)

    def _schedule(self, node, task, delay, token=None, resumed=False):
        at = self.clock.monotonic() + delay
        item = (at, next(self.numbers), node, task, token, resumed)
        heapq.heappush(self._queue, item)

    def _advance(self, at):
        if at > self.clock.monotonic():
            self.clock.advance(at - self.clock.monotonic())
