"""Counting the usage of client accounts: clocks, windows, starts, copies, ledger."""

import pytest

from platform_standins.rows import MemoryRows
from wigeonfront.clock import ManualClock
from wigeonfront.coordination.clock_offset import (
    ClockReading,
    agreed_offset,
    reading_from_call,
)
from wigeonfront.coordination.membership import Member
from wigeonfront.usage.backup import copy_holder
from wigeonfront.usage.calls import AgedStart, ProcessStarts, StartsReply
from wigeonfront.usage.collection import Collection
from wigeonfront.usage.held import HeldStarts
from wigeonfront.usage.ledger import LEDGER_KEY, Fixed, NotFixed, UsageLedger
from wigeonfront.usage.starts import RETENTION_SECONDS, TRANSIT_SECONDS, StartLog
from wigeonfront.usage.windows import (
    GIVE_UP_SHARE,
    MAX_CATCH_UP_SECONDS,
    SETTLE_SECONDS,
    UsageBounds,
    ended_windows,
    windows_to_fix,
)

BOUNDS = UsageBounds(window=5.0, due=10.0)


# --- the agreed time ---------------------------------------------------------


@pytest.mark.parametrize(
    ("offsets", "agreed"),
    [
        ([], None),
        ([7.0], 7.0),
        ([7.0, 7.001, 9.0], 7.001),
        ([5.0, 7.0, 7.0], 7.0),
        # A third of the clocks have jumped back by two seconds, and one ahead.
        ([5.0] * 7 + [7.0] * 14 + [9.0], 7.0),
        ([9.0] * 7 + [7.0] * 15, 7.0),
    ],
)
def test_agreed_time_is_right_while_most_clocks_are(offsets, agreed):
    readings = [
        ClockReading(f"n{number}", offset, 0.0) for number, offset in enumerate(offsets)
    ]
    assert agreed_offset(readings) == agreed


@pytest.mark.parametrize(
    ("request_seconds", "handling", "reply_seconds", "error"),
    [
        (0.001, 0.0, 0.001, 0.0),
        (0.001, 0.2, 0.001, 0.0),
        (0.0, 0.01, 0.004, 0.002),
        (0.004, 0.01, 0.0, 0.002),
    ],
)
def test_clock_reading_is_off_by_at_most_half_of_the_transit_time(
    request_seconds, handling, reply_seconds, error
):
    sent = 50.0
    answered = sent + request_seconds + handling
    reading = reading_from_call(
        "n", sent, answered + reply_seconds, handling, 1_000.0 + answered
    )
    assert reading.offset == pytest.approx(1_000.0, abs=error + 1e-9)
    assert reading.error == pytest.approx((request_seconds + reply_seconds) / 2)


# --- windows -----------------------------------------------------------------


@pytest.mark.parametrize(
    ("through", "now", "ended"),
    [
        (9, 55.0 + SETTLE_SECONDS - 0.01, []),
        (9, 55.0 + SETTLE_SECONDS, [10]),
        (9, 61.0, [10, 11]),
        (11, 61.0, []),
        (9, 5_000.0, list(range(int((5_000 - MAX_CATCH_UP_SECONDS) / 5), 999))),
    ],
)
def test_window_has_ended_once_no_start_can_fall_into_it(through, now, ended):
    assert list(ended_windows(through, now + 0.001, BOUNDS)) == ended


@pytest.mark.parametrize(
    ("complete_until", "now", "fixable"),
    [
        ({"a": 55.0, "b": 56.0}, 56.0, [10]),
        ({"a": 55.0, "b": 54.9}, 56.0, []),
        ({"a": 55.0}, 56.0, []),
        ({"a": 55.0}, 55.0 + GIVE_UP_SHARE * 10.0 - 0.01, []),
        ({"a": 55.0}, 55.0 + GIVE_UP_SHARE * 10.0, [10]),
        ({}, 55.0 + GIVE_UP_SHARE * 10.0, [10]),
    ],
)
def test_window_waits_for_live_entries_up_to_a_deadline(complete_until, now, fixable):
    assert windows_to_fix([10], complete_until, ["a", "b"], now, BOUNDS) == fixable


def test_older_window_is_fixed_before_starts_of_a_newer_one_are_known():
    complete_until = {"a": 57.0, "b": 57.0}
    assert windows_to_fix([10, 11], complete_until, ["a", "b"], 61.0, BOUNDS) == [10]


# --- starts ------------------------------------------------------------------


def test_repeated_send_counts_once():
    log = StartLog(ManualClock())
    note = log.note("studio")
    note.sent()
    note.sent()
    assert [start.account for start in log.since(0.0)] == ["studio"]
    note.withdraw()
    assert log.since(0.0) == []
    assert [start.number for start in log.pop_withdrawn()] == [1, 2]


def test_starts_are_dropped_after_their_retention():
    clock = ManualClock(100.0)
    log = StartLog(clock)
    log.add("studio")
    clock.advance(RETENTION_SECONDS + 1.0)
    log.add("other")
    assert [start.account for start in log.after(0)] == ["other"]
    assert log.since(100.0)[0].at == clock.boottime() + TRANSIT_SECONDS


def test_copies_are_held_once_and_dropped_after_their_retention():
    held = HeldStarts()
    held.hold("n1.a", [(1, "studio", 10.0), (2, "other", 11.0)], [], 12.0)
    held.hold("n1.a", [(2, "other", 11.2), (3, "other", 12.0)], [1], 13.0)
    assert [start.account for start in held.since(0.0)["n1.a"]] == ["other", "other"]
    assert [start.at for start in held.since(0.0)["n1.a"]] == [11.0, 12.0]
    assert held.since(12.5) == {}
    held.hold("n2.a", [], [], 12.0 + RETENTION_SECONDS + 0.1)
    assert held.since(0.0) == {}


def member(name, domain="z1", leaving=False):
    return Member(name, f"{name}.1", f"{name}:1", leaving, domain)


@pytest.mark.parametrize(
    ("others", "holders"),
    [
        ([], [None]),
        ([member("n2"), member("n3", "z2")], ["n2"]),
        ([member("n3", "z2")], ["n3"]),
        ([member("n1")], [None]),
        ([member("n2"), member("n4")], ["n2", "n4"]),
    ],
)
def test_copies_go_to_an_entry_of_the_same_failure_domain_first(others, holders):
    holder = copy_holder(member("n1"), others)
    assert (holder and holder.name) in holders


# --- collection --------------------------------------------------------------


def make_reply(incarnation, ages, held=(), handling=0.0, unix=1_000.0):
    own = ProcessStarts(
        incarnation, [AgedStart(number, "s", age) for number, age in enumerate(ages)]
    )
    copies = [
        ProcessStarts(
            other,
            [AgedStart(number, "s", age) for number, age in enumerate(copied_ages)],
        )
        for other, copied_ages in held
    ]
    return StartsReply(own, copies, unix, handling)


def test_starts_are_counted_by_their_age_at_the_reporting_entry():
    collection = Collection()
    collection.add_reply(
        member("n1"), make_reply("n1.1", [0.5, 1.5, 5.5]), 100.0, 100.2
    )
    assert collection.count(95.0, 99.0) == {"s": 1}
    assert collection.count(94.7, 100.0) == {"s": 2}
    assert collection.count(94.5, 100.0) == {"s": 3}


@pytest.mark.parametrize(
    ("reported_at", "own_ages", "held_ages", "count"),
    [
        # n1 reported after the end, so the copy's surplus start was withdrawn.
        (101.0, [2.0], [2.0, 2.5], 1),
        # n1 reported before the end and is gone.
        (99.0, [0.5], [2.0, 2.5, 3.0], 3),
        (99.0, [0.5, 0.7], [3.5], 2),
        (None, [], [2.0, 2.5], 2),
    ],
)
def test_copies_count_if_a_process_has_not_reported_up_to_the_end(
    reported_at, own_ages, held_ages, count
):
    collection = Collection()
    if reported_at is not None:
        collection.add_reply(
            member("n1"), make_reply("n1.1", own_ages), reported_at, reported_at
        )
    collection.add_reply(
        member("n2"), make_reply("n2.1", [], [("n1.1", held_ages)]), 101.0, 101.0
    )
    collection.add_reply(
        member("n3"), make_reply("n3.1", [], [("n1.1", [2.0])]), 101.0, 101.0
    )
    assert sum(collection.count(95.0, 100.0).values()) == count


# --- the ledger --------------------------------------------------------------


def test_window_is_fixed_once_if_two_processes_write():
    rows = MemoryRows()
    first, second = UsageLedger(rows), UsageLedger(rows)
    start = Fixed(9)
    fixed = first.fix(start, {10: {"s": 1}}, frozenset())
    assert fixed == Fixed(10, {10: {"s": 1}}, 1)
    assert isinstance(second.fix(start, {10: {"s": 2}}, frozenset()), NotFixed)
    assert second.read() == fixed
    later = second.fix(second.read(), {11: {}, 12: {"s": 3}}, frozenset({10}))
    assert later == Fixed(12, {11: {}, 12: {"s": 3}}, 2)


def test_write_without_an_answer_is_not_taken_as_fixed():
    rows = MemoryRows()
    ledger = UsageLedger(rows)
    rows.faults.lose_writes = 1
    assert isinstance(ledger.fix(Fixed(9), {10: {"s": 1}}, frozenset()), NotFixed)
    assert ledger.read().unsent == {10: {"s": 1}}
    rows.faults.down = True
    assert isinstance(ledger.read(), NotFixed)


@pytest.mark.parametrize("value", [b"", b"[]", b'{"through":"x"}', b"\xff"])
def test_malformed_ledger_is_not_read_as_empty(value):
    rows = MemoryRows()
    rows.put(LEDGER_KEY, value)
    assert isinstance(UsageLedger(rows).read(), NotFixed)
