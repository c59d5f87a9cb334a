"""Four targets, of which two fall silent, played with and without reports.

Twenty entries have a few requests a second each. All decisions are those of the
product; targets, time and messages are played without a network.
"""

import heapq
import itertools
import random
from collections import Counter
from functools import cache

import pytest

from wigeonfront.clock import ManualClock
from wigeonfront.forwarding.placement import choose_target, usable_targets
from wigeonfront.forwarding.report_exchange import PEER_INTERVAL_SECONDS
from wigeonfront.forwarding.steps import UNRESPONSIVE_SECONDS, SendState, max_wait
from wigeonfront.targets.reports import (
    STALE_SECONDS,
    TRIAL_JITTER,
    TRIAL_SECONDS,
    EntryReports,
)
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target

ENTRIES, TARGETS, SILENT, SLOTS = 20, 4, 2, 6
REQUESTS_PER_SECOND = 60.0
WORK_SECONDS = 0.025
PACES = (1.0, 1.0, 1.0, 2.5)
GOAL_SECONDS, DEADLINE_SECONDS = 0.15, 2.0
SILENT_FROM, SILENT_UNTIL, END = 3.0, 12.0, 15.0
MESSAGE_SECONDS = 0.02
ATTEMPTS = 3
SEEDS = range(3)


class World:
    """Entries with tables of their own, and targets that queue requests."""

    def __init__(self, seed, reports, silent, per_second):
        self.silent, self.per_second = silent, per_second
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.events = []
        self.numbers = itertools.count()
        self.free_at = [[0.0] * SLOTS for _ in range(TARGETS)]
        self.sent_at = [-PEER_INTERVAL_SECONDS] * ENTRIES
        self.sequences = Counter()
        self.seconds, self.silent_sends = [], []
        self.messages = 0
        self.tables = [self.make_table(entry, reports) for entry in range(ENTRIES)]

    def make_table(self, entry, reports):
        table = TargetTable(self.clock, random.Random(entry), f"e{entry}")
        table.set_targets(
            Target(str(n), "s", f"h:{n}", f"z{n}", SLOTS) for n in range(TARGETS)
        )
        table.set_entries(ENTRIES)
        if reports:
            table.set_plain_services(["s"])
            table.set_finding_listener(lambda: self.found(entry))
        return table

    def at(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.numbers), action, arguments))

    def found(self, entry):
        """Tell all other entries, at most once in the interval."""
        now = self.clock.monotonic()
        if now + MESSAGE_SECONDS >= self.sent_at[entry]:
            due = max(now, self.sent_at[entry] + PEER_INTERVAL_SECONDS)
            self.sent_at[entry] = due
            self.at(due, self.tell, entry)

    def tell(self, entry):
        self.sequences[entry] += 1
        reports = tuple(self.tables[entry].own_reports())
        message = EntryReports(f"e{entry}", "i", self.sequences[entry], reports)
        for other in range(ENTRIES):
            if other != entry:
                self.messages += 1
                due = self.clock.monotonic() + MESSAGE_SECONDS
                self.at(due, self.tables[other].receive_reports, message)

    def send(self, entry, began, tried, sends_left):
        now, table = self.clock.monotonic(), self.tables[entry]
        usable = usable_targets(table.views("s"), tried)
        view = choose_target(usable, (), f"z{entry % TARGETS}")
        left = began + DEADLINE_SECONDS - now
        if view is None or not sends_left or left <= 0:
            self.seconds.append(DEADLINE_SECONDS)
            return
        patience = max_wait(SendState(True, sends_left, left), view.latency)
        target = int(view.target.id)
        table.record_started(view.target.id)
        arguments = entry, began, {*tried, view.target.id}, sends_left - 1, target, now
        silent = target < self.silent and SILENT_FROM <= now < SILENT_UNTIL
        if silent:
            self.silent_sends.append(now)
        else:
            work = WORK_SECONDS * self.random.lognormvariate(-0.11, 0.47)
            slot = heapq.heappop(self.free_at[target])
            done = max(now, slot) + work * PACES[target]
            heapq.heappush(self.free_at[target], done)
            if done <= now + patience:
                self.at(done, self.end, True, *arguments)
                return
        self.at(now + patience, self.end, False, *arguments)

    def end(self, answered, entry, began, tried, sends_left, target, sent_at):
        now = self.clock.monotonic()
        failed = now - sent_at >= UNRESPONSIVE_SECONDS
        evidence = "success" if answered else "failure" if failed else "none"
        latency = now - sent_at if answered else 0.0
        self.tables[entry].record_ended(str(target), evidence, latency)
        if answered:
            self.seconds.append(now - began)
        else:
            self.send(entry, began, tried, sends_left)

    def play(self):
        time = 0.0
        while (time := time + self.random.expovariate(self.per_second)) < END:
            entry = self.random.randrange(ENTRIES)
            self.at(time, self.send, entry, time, set(), ATTEMPTS)
        while self.events:
            time, _, action, arguments = heapq.heappop(self.events)
            self.clock.advance(time - self.clock.monotonic())
            action(*arguments)
        return self


@cache
def worlds(reports, silent=SILENT, per_second=REQUESTS_PER_SECOND):
    return [World(seed, reports, silent, per_second).play() for seed in SEEDS]


def in_time(*args):
    seconds = [value for world in worlds(*args) for value in world.seconds]
    return sum(value <= GOAL_SECONDS for value in seconds) / len(seconds)


def silent_sends(reports, after=SILENT_FROM):
    sends = [time for world in worlds(reports) for time in world.silent_sends]
    return sum(time >= after for time in sends) / len(SEEDS)


def test_more_requests_are_answered_in_time_with_reports():
    assert in_time(True) >= in_time(False)
    assert silent_sends(True) <= 0.7 * silent_sends(False)


@pytest.mark.parametrize(
    ("silent", "per_second"),
    [(0, REQUESTS_PER_SECOND), (0, 600.0), (1, REQUESTS_PER_SECOND), (3, 12.0)],
)
def test_reports_cost_nothing_under_other_loads(silent, per_second):
    """Where all targets are nearly full, entries must not follow each other."""
    assert (
        in_time(True, silent, per_second) >= in_time(False, silent, per_second) - 0.01
    )


@pytest.mark.parametrize("per_second", [REQUESTS_PER_SECOND, 600.0])
def test_without_failures_nothing_is_sent_and_each_request_goes_as_without_reports(
    per_second,
):
    for with_reports, without in zip(
        worlds(True, 0, per_second), worlds(False, 0, per_second), strict=True
    ):
        assert with_reports.messages == 0
        assert with_reports.seconds == without.seconds


def test_silent_targets_cost_all_entries_together_a_bounded_number_of_requests():
    """Once entries have told each other, only shared trials go to a silent target."""
    known_at = SILENT_FROM + UNRESPONSIVE_SECONDS + DEADLINE_SECONDS
    shared = ENTRIES + (SILENT_UNTIL - known_at) / (TRIAL_SECONDS * (1 - TRIAL_JITTER))
    for world in worlds(True):
        sends = [time for time in world.silent_sends if time >= known_at]
        assert len(sends) <= SILENT * shared


@pytest.mark.parametrize("reports", [True, False])
def test_every_request_ends_and_messages_are_bounded(reports):
    for world in worlds(reports):
        assert len(world.seconds) > 0.8 * REQUESTS_PER_SECOND * END
        each = (END + STALE_SECONDS) / PEER_INTERVAL_SECONDS
        assert world.messages <= reports * ENTRIES * (ENTRIES - 1) * each
