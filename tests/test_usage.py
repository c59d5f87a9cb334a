"""Usage of client accounts: what is counted, when, and from whom; without a network."""

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
from wigeonfront.usage.calls import AgedStart, StartsOf, ToldStarts
from wigeonfront.usage.collection import Collection
from wigeonfront.usage.held import HeldStarts
from wigeonfront.usage.ledger import LEDGER_KEY, Fixed, NotFixed, UsageLedger
from wigeonfront.usage.starts import KEPT_SECONDS, WAY_SECONDS, StartLog
from wigeonfront.usage.windows import (
    GIVE_UP_SHARE,
    MOST_BEHIND_SECONDS,
    SETTLE_SECONDS,
    UsageBounds,
    closable_windows,
    ended_windows,
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
        # A third of the clocks has jumped back by two seconds, and one ahead.
        ([5.0] * 7 + [7.0] * 14 + [9.0], 7.0),
        ([9.0] * 7 + [7.0] * 15, 7.0),
    ],
)
def test_the_agreed_time_holds_while_most_clocks_do(offsets, agreed):
    readings = [ClockReading(f"n{n}", one, 0.0) for n, one in enumerate(offsets)]
    assert agreed_offset(readings) == agreed


@pytest.mark.parametrize(
    ("way_there", "handling", "way_back", "error"),
    [
        (0.001, 0.0, 0.001, 0.0),
        (0.001, 0.2, 0.001, 0.0),
        (0.0, 0.01, 0.004, 0.002),
        (0.004, 0.01, 0.0, 0.002),
    ],
)
def test_a_clock_is_read_to_half_of_the_time_on_the_way(
    way_there, handling, way_back, error
):
    sent = 50.0
    answered = sent + way_there + handling
    reading = reading_from_call(
        "n", sent, answered + way_back, handling, 1_000.0 + answered
    )
    assert reading.offset == pytest.approx(1_000.0, abs=error + 1e-9)
    assert reading.error == pytest.approx((way_there + way_back) / 2)


# --- windows -----------------------------------------------------------------


@pytest.mark.parametrize(
    ("through", "now", "ended"),
    [
        (9, 55.0 + SETTLE_SECONDS - 0.01, []),
        (9, 55.0 + SETTLE_SECONDS, [10]),
        (9, 61.0, [10, 11]),
        (11, 61.0, []),
        (9, 5_000.0, list(range(int((5_000 - MOST_BEHIND_SECONDS) / 5), 999))),
    ],
)
def test_windows_end_once_no_start_can_fall_into_them(through, now, ended):
    assert list(ended_windows(through, now + 0.001, BOUNDS)) == ended


@pytest.mark.parametrize(
    ("heard", "now", "closable"),
    [
        ({"a": 55.0, "b": 56.0}, 56.0, [10]),
        ({"a": 55.0, "b": 54.9}, 56.0, []),
        ({"a": 55.0}, 56.0, []),
        ({"a": 55.0}, 55.0 + GIVE_UP_SHARE * 10.0 - 0.01, []),
        ({"a": 55.0}, 55.0 + GIVE_UP_SHARE * 10.0, [10]),
        ({}, 55.0 + GIVE_UP_SHARE * 10.0, [10]),
    ],
)
def test_a_window_waits_for_those_who_live_but_not_for_ever(heard, now, closable):
    assert closable_windows([10], heard, ["a", "b"], now, BOUNDS) == closable


def test_an_older_window_is_closed_before_a_newer_one_is_heard_of():
    heard = {"a": 57.0, "b": 57.0}
    assert closable_windows([10, 11], heard, ["a", "b"], 61.0, BOUNDS) == [10]


# --- starts ------------------------------------------------------------------


def test_a_send_that_is_made_anew_counts_once():
    log = StartLog(ManualClock())
    note = log.note("studio")
    note.sent()
    note.sent()
    assert [one.account for one in log.since(0.0)] == ["studio"]
    note.withdraw()
    assert log.since(0.0) == []
    assert [one.number for one in log.take_withdrawn()] == [1, 2]


def test_starts_are_forgotten_once_no_window_wants_them():
    clock = ManualClock(100.0)
    log = StartLog(clock)
    log.add("studio")
    clock.advance(KEPT_SECONDS + 1.0)
    log.add("other")
    assert [one.account for one in log.after(0)] == ["other"]
    assert log.since(100.0)[0].at == clock.boottime() + WAY_SECONDS


def test_copies_are_held_once_and_forgotten():
    held = HeldStarts()
    held.hold("n1.a", [(1, "studio", 10.0), (2, "other", 11.0)], [], 12.0)
    held.hold("n1.a", [(2, "other", 11.2), (3, "other", 12.0)], [1], 13.0)
    assert [one.account for one in held.since(0.0)["n1.a"]] == ["other", "other"]
    assert [one.at for one in held.since(0.0)["n1.a"]] == [11.0, 12.0]
    assert held.since(12.5) == {}
    held.hold("n2.a", [], [], 12.0 + KEPT_SECONDS + 0.1)
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
def test_copies_go_to_another_entry_of_the_failure_domain(others, holders):
    found = copy_holder(member("n1"), others)
    assert (found and found.name) in holders


# --- collection --------------------------------------------------------------


def told(incarnation, ages, held=(), handling=0.0, unix=1_000.0):
    own = StartsOf(incarnation, [AgedStart(n, "s", age) for n, age in enumerate(ages)])
    copies = [
        StartsOf(other, [AgedStart(n, "s", age) for n, age in enumerate(of)])
        for other, of in held
    ]
    return ToldStarts(own, copies, unix, handling)


def test_starts_are_counted_by_their_age_where_they_were_noted():
    collection = Collection()
    collection.take(member("n1"), told("n1.1", [0.5, 1.5, 5.5]), 100.0, 100.2)
    assert collection.count(95.0, 99.0) == {"s": 1}
    assert collection.count(94.7, 100.0) == {"s": 2}
    assert collection.count(94.5, 100.0) == {"s": 3}


@pytest.mark.parametrize(
    ("own_at", "own_ages", "held_ages", "count"),
    [
        # It has told after the end, so what a copy has more was taken back.
        (101.0, [2.0], [2.0, 2.5], 1),
        # It has told before the end, and is gone.
        (99.0, [0.5], [2.0, 2.5, 3.0], 3),
        (99.0, [0.5, 0.7], [3.5], 2),
        (None, [], [2.0, 2.5], 2),
    ],
)
def test_copies_count_where_a_process_has_not_told_all(
    own_at, own_ages, held_ages, count
):
    collection = Collection()
    if own_at is not None:
        collection.take(member("n1"), told("n1.1", own_ages), own_at, own_at)
    collection.take(member("n2"), told("n2.1", [], [("n1.1", held_ages)]), 101.0, 101.0)
    collection.take(member("n3"), told("n3.1", [], [("n1.1", [2.0])]), 101.0, 101.0)
    assert sum(collection.count(95.0, 100.0).values()) == count


# --- the ledger --------------------------------------------------------------


def test_a_window_is_fixed_once_whoever_writes():
    rows = MemoryRows()
    first, second = UsageLedger(rows), UsageLedger(rows)
    start = Fixed(9)
    fixed = first.fix(start, {10: {"s": 1}}, frozenset())
    assert fixed == Fixed(10, {10: {"s": 1}}, 1)
    assert isinstance(second.fix(start, {10: {"s": 2}}, frozenset()), NotFixed)
    assert second.read() == fixed
    later = second.fix(second.read(), {11: {}, 12: {"s": 3}}, frozenset({10}))
    assert later == Fixed(12, {11: {}, 12: {"s": 3}}, 2)


def test_a_write_without_an_answer_fixes_nothing_for_certain():
    rows = MemoryRows()
    ledger = UsageLedger(rows)
    rows.faults.lose_writes = 1
    assert isinstance(ledger.fix(Fixed(9), {10: {"s": 1}}, frozenset()), NotFixed)
    assert ledger.read().unsent == {10: {"s": 1}}
    rows.faults.down = True
    assert isinstance(ledger.read(), NotFixed)


@pytest.mark.parametrize("value", [b"", b"[]", b'{"through":"x"}', b"\xff"])
def test_a_malformed_ledger_is_not_overwritten(value):
    rows = MemoryRows()
    rows.put(LEDGER_KEY, value)
    assert isinstance(UsageLedger(rows).read(), NotFixed)
