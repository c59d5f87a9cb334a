"""Assignment of engines to machines, and loads of a fleet, without a network."""

from collections import Counter

import pytest

from wigeonfront.coordination.assignment import (
    ABSENT_SECONDS,
    COALESCE_SECONDS,
    FLIGHT_SECONDS,
    MIN_HOLDERS,
    PINNED_ABSENT_SECONDS,
    PINNED_TERM_SECONDS,
    TERM_SECONDS,
    WRITER_PAUSE_SECONDS,
    Assignment,
    Holders,
    MembershipView,
    coalescing_seconds,
    decode_assignment,
    encode_assignment,
    next_assignment,
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


def engine_addresses(count):
    return [f"10.{n // 250}.{n % 250}.7:8000" for n in range(count)]


def make_view(entries, engines=(), pinned=(), **absent):
    return MembershipView(
        frozenset(entries),
        frozenset(entries),
        dict(pinned),
        frozenset(engines),
        absent,
    )


@pytest.mark.parametrize(
    ("engines", "entries", "expected"),
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
def test_holder_count_grows_with_unpinned_engines(engines, entries, expected):
    holders = next_holders(
        Holders(), make_view(ENTRIES[:entries], engine_addresses(engines))
    )
    assert len(holders.entries) == expected


def test_side_orders_its_own_engine_and_needs_no_holding_entry():
    engines = engine_addresses(40)
    sides = {address: f"side-{n}" for n, address in enumerate(engines[:30])}
    holders = next_holders(Holders(), make_view(ENTRIES, engines, sides))
    assert holders.holder(engines[3]) == "side-3"
    assert holders.holder(engines[35]) in holders.entries
    assert len(holders.entries) == wanted_holders(10, len(ENTRIES)) == 3


@pytest.mark.parametrize(
    ("absent", "unchanged"),
    [
        ({}, True),
        ({"entry-0": ABSENT_SECONDS - 0.1}, True),
        ({"entry-0": ABSENT_SECONDS}, False),
        ({"side-0": PINNED_ABSENT_SECONDS - 0.1}, True),
        ({"side-0": PINNED_ABSENT_SECONDS}, False),
    ],
)
def test_holders_change_only_after_a_long_absence(absent, unchanged):
    engines = engine_addresses(3)
    holders = Holders(ENTRIES[:2], {engines[0]: "side-0"})
    registered = [name for name in ENTRIES[:4] if name not in absent]
    view = make_view(registered, engines, **absent)
    change = next_assignment(Assignment(holders, revision=7), view)
    assert (change is None) == unchanged
    if change:
        assert change.before == holders
        lost = next(iter(absent))
        assert lost not in (*change.holders.entries, *change.holders.pinned.values())
        assert len(change.holders.entries) == 2


def test_joining_member_changes_nothing_while_there_are_enough_holders():
    holders = next_holders(Holders(), make_view(ENTRIES[50:], engine_addresses(25)))
    assert next_holders(holders, make_view(ENTRIES, engine_addresses(25))) == holders


def test_moving_engine_has_no_holder_until_the_change_is_settled():
    engines = engine_addresses(200)
    before, after = Holders(ENTRIES[:5]), Holders(ENTRIES[:4])
    moving = Assignment(after, before, 9)
    moved = [
        engine for engine in engines if before.holder(engine) != after.holder(engine)
    ]
    assert {before.holder(engine) for engine in moved} == {ENTRIES[4]}
    for engine in engines:
        expected = None if engine in moved else after.holder(engine)
        assert moving.holder(engine) == expected
        assert settled(moving).holder(engine) == after.holder(engine)
    # The loss of another holder meanwhile starts no second change, which would replace
    # the previous holders that the first change still waits for.
    lost = make_view(ENTRIES[:3], engines, **{ENTRIES[3]: 1000.0})
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
def test_change_waits_for_the_term_of_previous_holders(before, after, term):
    wait = Assignment(after, before).settle_seconds(3.0)
    assert wait == term + 3.0 + FLIGHT_SECONDS


def test_first_assignment_has_no_previous_holders():
    first = next_assignment(None, make_view(ENTRIES[:3], engine_addresses(5)))
    assert first.before is None and len(first.holders.entries) == 2
    assert next_assignment(None, make_view((), engine_addresses(5))) is None


@pytest.mark.parametrize(
    "assignment",
    [
        Assignment(Holders(("e",), {"x:1": "s"}), None, 4),
        Assignment(Holders(), Holders(("e",), {"x:1": "s"}), 4),
    ],
)
def test_assignment_round_trips_through_its_row(assignment):
    assert decode_assignment(encode_assignment(assignment), 4) == assignment


@pytest.mark.parametrize("value", [b"", b"[]", b'{"entries":3}', b"\xff", b"[" * 9999])
def test_malformed_row_is_no_assignment(value):
    assert decode_assignment(value, 4) is None


def test_writers_of_a_change_are_staggered():
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
def test_only_changes_by_starting_machines_are_coalesced(current, after, seconds):
    known = current and Assignment(current)
    assert coalescing_seconds(known, Assignment(after, current)) == seconds


@pytest.mark.parametrize("count", [250, 2_500])
def test_ring_shares_are_even_and_only_a_leavers_engines_move(count):
    engines = engine_addresses(count)
    ring, smaller = HashRing(ENTRIES[:50]), HashRing(ENTRIES[:49])
    shares = Counter(map(ring.owner, engines))
    mean = count / 50
    assert max(shares.values()) <= 2 * mean + 5
    moved = [
        engine for engine in engines if ring.owner(engine) != smaller.owner(engine)
    ]
    assert {ring.owner(engine) for engine in moved} == {ENTRIES[49]}


@pytest.mark.parametrize("count", [250, 2_500])
def test_half_of_the_fleet_is_ready_while_the_rest_loads(count):
    """Two trainers name a version every 4 s; a load takes 0.9 s."""
    engines = engine_addresses(count)
    places = engine_places(engines, MODELS)
    versions = {engine: {"a": 1, "b": 1} for engine in engines}
    loading = {}
    max_loading = 0
    min_ready = min_ready_after = count
    named = {}
    for tick in range(0, 240):
        now = tick * 0.1
        if tick % 40 == 10:
            for model in MODELS:
                version = 2 + tick // 40
                named[model] = NamedVersion(model, version, now)
        for engine in [name for name, (until, *_) in loading.items() if until <= now]:
            _, model, version = loading.pop(engine)
            versions[engine][model] = version
        for engine in engines:
            report = EngineReport(versions[engine], loading=engine in loading)
            order = next_move(report, list(named.values()), now, places[engine])
            if order:
                loading[engine] = (now + 0.9, order.model, order.version)
        max_loading = max(max_loading, len(loading))
        for model, newest in named.items():
            required = newest.version - 1
            ready = sum(versions[engine][model] >= required for engine in engines)
            min_ready = min(min_ready, ready)
            if now - newest.named_at > 3.0:
                min_ready_after = min(min_ready_after, ready)
    assert min_ready >= count // 2
    assert min_ready_after == count
    assert max_loading <= count // 2
