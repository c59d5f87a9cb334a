"""What reports of other entries about plain targets count for, and for how long."""

import math
import random

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wigeonfront.clock import ManualClock
from wigeonfront.forwarding.placement import choose_target
from wigeonfront.forwarding.report_exchange import decode_reports, encode_reports
from wigeonfront.targets.reports import (
    MAX_TRIAL_SECONDS,
    STALE_SECONDS,
    TRIAL_JITTER,
    TRIAL_SECONDS,
    Assessment,
    EntryReports,
    KnownReport,
    Reports,
    TargetReport,
    assess,
    limit_suspicions,
    trial_pause,
)
from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target

NOW = 100.0
NEVER = -math.inf


def known(entry, finding, at, since=None):
    report = TargetReport("t", finding)
    return KnownReport(
        entry, report, at, at if since is None else since, at + STALE_SECONDS
    )


@pytest.mark.parametrize(
    ("reports", "success_at", "working_at", "suspected_by"),
    [
        ([], NEVER, NEVER, ()),
        ([known("a", "suspected", 99.0)], NEVER, NEVER, ("a",)),
        ([known("a", "suspected", 99.0)], 98.0, NEVER, ("a",)),
        # A newer own success outweighs any number of reports.
        ([known(e, "suspected", 99.0) for e in "abc"], 99.5, NEVER, ()),
        ([known("a", "suspected", NOW - STALE_SECONDS)], NEVER, NEVER, ()),
        ([known("a", "working", 99.0)], NEVER, NEVER, ()),
        # Another entry has found it working since: the reporter may be cut off.
        ([known("a", "suspected", 99.5, 96.0), known("b", "working", 98.0)], 0, 0, ()),
        ([known("a", "suspected", 99.5, 96.0)], 98.0, 98.0, ()),
        # A suspicion that is newer than that counts again.
        ([known("a", "suspected", 99.5), known("b", "working", 98.0)], 0, 0, ("a",)),
        ([known("a", "suspected", 99.5, 90.0)], 94.0, 94.0, ("a",)),
    ],
)
def test_a_suspicion_counts_until_something_newer_speaks_against_it(
    reports, success_at, working_at, suspected_by
):
    assert assess(reports, success_at, working_at, NOW).suspected_by == suspected_by


@pytest.mark.parametrize(
    ("reporters", "targets", "suspected"),
    [
        ({"t1": 1, "t2": 1}, 4, {"t1", "t2"}),
        ({"t1": 1, "t2": 3, "t3": 2}, 4, {"t2", "t3"}),
        ({"t1": 9, "t2": 1}, 2, {"t1"}),
        ({"t1": 0}, 4, set()),
    ],
)
def test_a_share_of_the_targets_is_never_suspected(reporters, targets, suspected):
    found = {id: Assessment(tuple("abcdefghi"[:n])) for id, n in reporters.items()}
    assert limit_suspicions(found, targets) == suspected


@pytest.mark.parametrize("entries", [0, 1, 20, 60])
def test_entries_share_the_trials_of_a_target(entries):
    pauses = [trial_pause(entries, random.Random(n)) for n in range(50)]
    mean = min(MAX_TRIAL_SECONDS, TRIAL_SECONDS * max(1, entries))
    assert min(pauses) >= mean * (1 - TRIAL_JITTER)
    assert max(pauses) <= mean * (1 + TRIAL_JITTER)


def make_reports():
    clock = ManualClock(NOW)
    reports = Reports(clock, random.Random(1))
    reports.set_targets(["t", "u"])
    return clock, reports


@pytest.mark.parametrize(
    ("report", "effect"),
    [
        (TargetReport("x", "suspected"), "unknown_target"),
        (TargetReport("t", "suspected", STALE_SECONDS), "stale"),
        (TargetReport("t", "suspected", 1.0), "outweighed"),
        (TargetReport("t", "suspected", 0.2), "suspected"),
        (TargetReport("t", "working", 0.2), "noted"),
    ],
)
def test_effect_of_a_report_half_a_second_after_an_own_success(report, effect):
    clock, reports = make_reports()
    reports.record_success("t")
    clock.advance(0.5)
    assert reports.receive("a", report) == effect


@pytest.mark.parametrize(
    ("incarnation", "sequence", "repeated"),
    [("i", 2, True), ("i", 1, True), ("i", 3, False), ("j", 1, False)],
)
def test_doubled_and_overtaken_messages_are_known(incarnation, sequence, repeated):
    _, reports = make_reports()
    assert not reports.is_repeated(EntryReports("a", "i", 2, ()))
    assert reports.is_repeated(EntryReports("a", incarnation, sequence, ())) is repeated


def test_only_own_findings_are_told_and_only_while_they_are_new():
    clock, reports = make_reports()

    def told():
        return [(report.target, report.finding) for report in reports.own_reports()]

    reports.receive("a", TargetReport("t", "suspected"))
    assert told() == []
    assert not reports.record_failure("u", opened=False)
    assert reports.record_failure("u", opened=True)
    assert told() == [("u", "suspected")]
    # A single failure at a target that another entry suspects saves others the trial.
    assert reports.record_failure("t", opened=False)
    assert told() == [("t", "suspected"), ("u", "suspected")]
    assert reports.record_success("u")
    assert not reports.record_success("u")
    assert told() == [("t", "suspected"), ("u", "working")]
    clock.advance(STALE_SECONDS)
    assert told() == []


def test_a_suspicion_after_a_long_silence_of_its_reporter_begins_anew():
    clock, reports = make_reports()
    assert reports.receive("a", TargetReport("t", "suspected")) == "suspected"
    clock.advance(100.0)
    # "working" cancels only what began before it.
    reports.record_failure("t", opened=True)
    reports.record_success("t")
    clock.advance(1.0)
    assert reports.receive("a", TargetReport("t", "suspected")) == "suspected"


def test_a_long_request_does_not_keep_others_from_a_suspected_target():
    clock = ManualClock(NOW)
    table = TargetTable(clock, random.Random(1), "e")
    table.set_plain_services(["s"])
    table.set_targets(Target(id, "s", f"h:{id}", "z", 6) for id in "ab")
    table.record_started("a")
    tried = 0
    for number in range(1, 61):
        suspicion = (TargetReport("a", "suspected"),)
        table.receive_reports(EntryReports("f", "i", number, suspicion))
        (view,) = [view for view in table.views("s") if view.target.id == "a"]
        assert view.suspected_by
        if not view.suspected:
            table.record_started("a")
            tried += 1
        clock.advance(1.0)
    longest = MAX_TRIAL_SECONDS * (1 + TRIAL_JITTER)
    assert 60 / longest - 1 <= tried <= 60 / MAX_TRIAL_SECONDS


GOOD = {
    "entry": "a",
    "incarnation": "i",
    "sequence": 1,
    "reports": [{"target": "t", "finding": "working", "age": 0.5}],
}


@pytest.mark.parametrize(
    "changes",
    [
        {"entry": ""},
        {"sequence": 0},
        {"reports": 3},
        {"reports": GOOD["reports"] * 65},
        *(
            {"reports": [GOOD["reports"][0] | change]}
            for change in (
                {"age": -1.0},
                {"age": math.nan},
                {"age": math.inf},
                {"age": None},
                {"finding": "dead"},
                {"target": 7},
            )
        ),
    ],
)
def test_messages_that_are_not_valid_are_refused(changes):
    good = decode_reports(msgspec.msgpack.encode(GOOD))
    assert decode_reports(encode_reports(good)) == good
    with pytest.raises(msgspec.DecodeError):
        decode_reports(msgspec.msgpack.encode(GOOD | changes))


def test_fields_that_a_newer_build_adds_are_ignored():
    report = GOOD["reports"][0] | {"more": 1}
    newer = GOOD | {"more": {"a": 1}, "reports": [report]}
    expected = decode_reports(msgspec.msgpack.encode(GOOD))
    assert decode_reports(msgspec.msgpack.encode(newer)) == expected


def test_latencies_of_targets_are_neither_told_nor_taken_over():
    table = TargetTable(ManualClock(NOW), random.Random(1), "e")
    table.set_plain_services(["s"])
    table.set_targets(Target(id, "s", f"h:{id}", "z", 6) for id in "ab")
    for latency in [0.01] * 10 + [1.0] * 10:
        table.record_started("a")
        table.record_ended("a", "success", latency)
    assert table.own_reports() == []
    table.receive_reports(EntryReports("f", "i", 1, (TargetReport("b", "working"),)))
    assert [view.latency for view in table.views("s") if view.target.id == "b"] == [0.0]


ENTRIES = ("e0", "e1", "e2", "e3")
TARGETS = ("a", "b", "c")
PAUSE = TRIAL_SECONDS * len(ENTRIES)
"""Mean pause in seconds between two trials by one entry."""

entry_names, target_names = st.sampled_from(ENTRIES), st.sampled_from(TARGETS)


class ReportMachine(RuleBasedStateMachine):
    """Entries choose targets while messages are late, lost, doubled and overtaken."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(NOW)
        self.messages = []
        self.fails = set()
        self.gone = set()
        self.numbers = dict.fromkeys(ENTRIES, 0)
        # Times by entry and target: of the begin of an uninterrupted suspicion, of the
        # last request, and of the last one that was a trial.
        self.since = {}
        self.sent = {}
        self.tried = {}
        self.tables = {name: self.make_table(name) for name in ENTRIES}

    def make_table(self, name):
        table = TargetTable(self.clock, random.Random(name), name)
        table.set_plain_services(["s"])
        table.set_targets(Target(id, "s", f"h:{id}", "z", 6) for id in TARGETS)
        table.set_entries(len(ENTRIES))
        table.set_finding_listener(lambda: self.tell(name))
        return table

    def tell(self, name):
        if name not in self.gone:
            self.numbers[name] += 1
            reports = tuple(self.tables[name].own_reports())
            message = EntryReports(name, "i", self.numbers[name], reports)
            self.messages += [(other, message) for other in ENTRIES if other != name]

    def record(self, name, id):
        """Record a request and its outcome; return whether it failed."""
        failing = bool({("", id), (name, id)} & self.fails)
        self.sent[name, id] = self.clock.monotonic()
        self.tables[name].record_started(id)
        self.tables[name].record_ended(id, "failure" if failing else "success", 0.03)
        return failing

    @rule(name=entry_names, count=st.integers(1, 3))
    def send(self, name, count):
        for _ in range(count):
            table = self.tables[name]
            views = table.views("s")
            view = choose_target(views, (), "z")
            if any(other.available and not other.suspected for other in views):
                assert not view.suspected
            id = view.target.id
            now = self.clock.monotonic()
            if view.suspected_by and not view.suspected:
                last = self.tried.get((name, id), NEVER)
                assert now >= last + PAUSE * (1 - TRIAL_JITTER)
                self.tried[name, id] = now
            table.record_started(id)
            failing = {("", id), (name, id)} & self.fails
            table.record_ended(id, "failure" if failing else "success", 0.03)
            if not failing:
                (after,) = [view for view in table.views("s") if view.target.id == id]
                assert not after.suspected_by

    @rule(name=entry_names, id=target_names)
    def fail(self, name, id):
        """Let an entry that is cut off from a target find that it fails."""
        self.fails.add((name, id))
        for _ in range(2):
            self.record(name, id)

    @rule()
    def deliver_all(self):
        for name, message in self.messages:
            self.tables[name].receive_reports(message)
        self.messages.clear()

    @rule(name=st.sampled_from(("", *ENTRIES)), id=target_names)
    def change(self, name, id):
        """Let a target fail, for one entry or for all, or work again."""
        self.fails ^= {(name, id)}

    @rule(name=entry_names)
    def end_or_begin(self, name):
        self.gone ^= {name}

    @rule(data=st.data(), kept=st.booleans())
    def deliver(self, data, kept):
        """Deliver any message; one that is kept is delivered again."""
        if self.messages:
            index = data.draw(st.integers(0, len(self.messages) - 1))
            name, message = self.messages[index]
            self.tables[name].receive_reports(message)
            if not kept:
                del self.messages[index]

    @rule(keep=st.integers(0, 3))
    def lose(self, keep):
        del self.messages[keep:]

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 4.0)))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def no_target_is_last_for_longer_than_a_pause(self):
        now = self.clock.monotonic()
        for name, table in self.tables.items():
            for view in table.views("s"):
                key = name, view.target.id
                if not view.suspected:
                    self.since.pop(key, None)
                    continue
                began = self.since.setdefault(key, now)
                began = max(began, self.sent.get(key, NEVER))
                assert now - began <= PAUSE * (1 + TRIAL_JITTER)

    @invariant()
    def some_target_is_never_suspected(self):
        for table in self.tables.values():
            assert not all(view.suspected for view in table.views("s"))


ReportMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestReportMachine = ReportMachine.TestCase
