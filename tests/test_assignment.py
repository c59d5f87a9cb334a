"""Who orders which engine, and how a fleet of them is moved, without a network."""

from collections import Counter

import pytest

from wigeonfront.coordination.assignment import (
    ABSENT_SECONDS,
    FLIGHT_SECONDS,
    COALESCE_SECONDS,
    MIN_HOLDERS,
    PINNED_ABSENT_SECONDS,
    PINNED_TERM_SECONDS,
    TERM_SECONDS,
    WRITER_PAUSE_SECONDS,
    Assignment,
    Holders,
    MembershipView,
    next_assignment,
    decode_assignment,
    encode_assignment,
    coalescing_seconds,
    next_holders,
    settled,
    wanted_holders,
    writer_pause,
)
from wigeonfront.coordination.ring import HashRing
from wigeonfront.weights.plan import (
    EngineReport,
    NamedVersion,
    engine_places,
    next_move,
)

ENTRIES = tuple(f"entry-{number}" for number in range(100))
MODELS = ("a", "b")


def addresses(count):
    return [f"10.{n // 250}.{n % 250}.7:8000" for n in range(count)]


def seen(entries, engines=(), pinned=(), **absent):
    return MembershipView(
        frozenset(entries),
        frozenset(entries),
        dict(pinned),
        frozenset(engines),
        absent,
    )


@pytest.mark.parametrize(
    ("engines", "entries", "holders"),
    [
        (0, 58, MIN_HOLDERS),
        (25, 58, 7),
        (200, 58, 50),
        (250, 58, 58),
        (3_000, 100, 100),
        (25, 1, 1),
        (25, 0, 0),
    ],
)
def test_holders_grow_with_the_engines_that_have_no_side(engines, entries, holders):
    found = next_holders(Holders(), seen(ENTRIES[:entries], addresses(engines)))
    assert len(found.entries) == holders


def test_a_side_orders_its_own_engine_and_wants_no_holder_entry():
    engines = addresses(40)
    sides = {address: f"side-{n}" for n, address in enumerate(engines[:30])}
    found = next_holders(Holders(), seen(ENTRIES, engines, sides))
    assert found.holder(engines[3]) == "side-3"
    assert found.holder(engines[35]) in found.entries
    assert len(found.entries) == wanted_holders(10, len(ENTRIES)) == 3


@pytest.mark.parametrize(
    ("absent", "stays"),
    [
        ({}, True),
        ({"entry-0": ABSENT_SECONDS - 0.1}, True),
        ({"entry-0": ABSENT_SECONDS}, False),
        ({"side-0": PINNED_ABSENT_SECONDS - 0.1}, True),
        ({"side-0": PINNED_ABSENT_SECONDS}, False),
    ],
)
def test_holders_change_only_once_one_is_missing_for_long(absent, stays):
    engines = addresses(3)
    holders = Holders(ENTRIES[:2], {engines[0]: "side-0"})
    here = [name for name in ENTRIES[:4] if name not in absent]
    present = seen(here, engines, **absent)
    change = next_assignment(Assignment(holders, revision=7), present)
    assert (change is None) == stays
    if change:
        assert change.before == holders
        gone = next(iter(absent))
        assert gone not in (*change.holders.entries, *change.holders.pinned.values())
        assert len(change.holders.entries) == 2


def test_a_member_that_comes_moves_nothing_while_there_are_enough_holders():
    holders = next_holders(Holders(), seen(ENTRIES[50:], addresses(25)))
    assert next_holders(holders, seen(ENTRIES, addresses(25))) == holders


def test_an_engine_that_moves_has_no_holder_until_the_change_has_settled():
    engines = addresses(200)
    before, after = Holders(ENTRIES[:5]), Holders(ENTRIES[:4])
    moving = Assignment(after, before, 9)
    moved = [one for one in engines if before.holder(one) != after.holder(one)]
    assert {before.holder(one) for one in moved} == {ENTRIES[4]}
    for engine in engines:
        expected = None if engine in moved else after.holder(engine)
        assert moving.holder(engine) == expected
        assert settled(moving).holder(engine) == after.holder(engine)
    # Though a holder is lost meanwhile: two changes at once would hide the first.
    lost = seen(ENTRIES[:3], engines, **{ENTRIES[3]: 1000.0})
    assert next_assignment(moving, lost) is None
    assert next_assignment(settled(moving), lost).holders.entries == ENTRIES[:3]


@pytest.mark.parametrize(
    ("before", "after", "term"),
    [
        (Holders(("e",)), Holders(("f",)), TERM_SECONDS),
        (Holders(("e",)), Holders(("e",), {"x:1": "s"}), TERM_SECONDS),
        (Holders(("e",), {"x:1": "s"}), Holders(("e",)), PINNED_TERM_SECONDS),
        (
            Holders(("e",), {"x:1": "s"}),
            Holders(("e",), {"x:1": "t"}),
            PINNED_TERM_SECONDS,
        ),
    ],
)
def test_a_change_waits_out_the_term_of_those_who_lose_engines(before, after, term):
    waits = Assignment(after, before).settle_seconds(3.0)
    assert waits == term + 3.0 + FLIGHT_SECONDS


def test_the_first_row_has_nobody_before_it():
    first = next_assignment(None, seen(ENTRIES[:3], addresses(5)))
    assert first.before is None and len(first.holders.entries) == 2
    assert next_assignment(None, seen((), addresses(5))) is None


@pytest.mark.parametrize(
    "assignment",
    [
        Assignment(Holders(("e",), {"x:1": "s"}), None, 4),
        Assignment(Holders(), Holders(("e",), {"x:1": "s"}), 4),
    ],
)
def test_a_row_reads_as_it_was_written(assignment):
    assert decode_assignment(encode_assignment(assignment), 4) == assignment


@pytest.mark.parametrize("value", [b"", b"[]", b'{"entries":3}', b"\xff", b"[" * 9999])
def test_a_malformed_row_names_nobody(value):
    assert decode_assignment(value, 4) is None


def test_entries_write_one_after_the_other():
    pauses = sorted(writer_pause(name, ENTRIES[:4]) for name in ENTRIES[:4])
    assert pauses == [place * WRITER_PAUSE_SECONDS for place in range(4)]


@pytest.mark.parametrize(
    ("current", "after", "seconds"),
    [
        (None, Holders(("a",)), COALESCE_SECONDS),
        (Holders(("a",)), Holders(("a",), {"x:1": "s"}), COALESCE_SECONDS),
        (Holders(("a", "b")), Holders(("a", "c")), 0.0),
    ],
)
def test_only_machines_that_start_are_gathered(current, after, seconds):
    known = current and Assignment(current)
    assert coalescing_seconds(known, Assignment(after, current)) == seconds


@pytest.mark.parametrize("count", [250, 2_500])
def test_engines_are_shared_out_evenly_and_few_move(count):
    engines = addresses(count)
    ring, smaller = HashRing(ENTRIES[:50]), HashRing(ENTRIES[:49])
    shares = Counter(map(ring.owner, engines))
    mean = count / 50
    assert max(shares.values()) <= 2 * mean + 5
    moved = [one for one in engines if ring.owner(one) != smaller.owner(one)]
    assert {ring.owner(one) for one in moved} == {ENTRIES[49]}


@pytest.mark.parametrize("count", [250, 2_500])
def test_a_fleet_follows_versions_in_waves_with_half_of_it_ready(count):
    """Two trainers name a version each 4 s; a load takes 0.9 s."""
    engines = addresses(count)
    places = engine_places(engines, MODELS)
    versions = {engine: {"a": 1, "b": 1} for engine in engines}
    loading = {}
    most_loading = 0
    least_ready = least_after = count
    named = {}
    for tick in range(0, 240):
        now = tick * 0.1
        if tick % 40 == 10:
            for model in MODELS:
                version = 2 + tick // 40
                named[model] = NamedVersion(model, version, now)
        for engine in [one for one, (until, *_) in loading.items() if until <= now]:
            _, model, version = loading.pop(engine)
            versions[engine][model] = version
        for engine in engines:
            report = EngineReport(versions[engine], loading=engine in loading)
            order = next_move(report, list(named.values()), now, places[engine])
            if order:
                loading[engine] = (now + 0.9, order.model, order.version)
        most_loading = max(most_loading, len(loading))
        for model, one in named.items():
            agreed = one.version - 1
            ready = sum(versions[engine][model] >= agreed for engine in engines)
            least_ready = min(least_ready, ready)
            if now - one.named_at > 3.0:
                least_after = min(least_after, ready)
    assert least_ready >= count // 2
    assert least_after == count
    assert most_loading <= count // 2
