"""Revisioned rows in any order against the service's own history; in-force rules."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonfront.coordination.revisions import (
    Applied,
    InForce,
    Rejected,
    RevisionedStore,
    Stale,
)
from wigeonfront.platform import Change, Changes, Listing
from wigeonfront.platform.memory import MemoryKeyValue

KEYS = ("c/a", "c/b", "c/d")
VALUES = (b"1", b"2", b"bad", None)


def implied(listing):
    """What a listing says: its rows, and that the other keys are deleted."""
    rows = [Change(row.key, row.value, row.revision) for row in listing.rows]
    listed = {row.key for row in rows}
    return rows + [
        Change(key, None, listing.revision) for key in KEYS if key not in listed
    ]


def model(seen):
    """Rows in force and bad ones reported, from the changes seen in any order."""
    in_force, rejected = {}, {}
    for change in sorted(seen, key=lambda change: change.revision):
        if change.value == b"bad":
            rejected[change.key] = change.revision
        else:
            rejected.pop(change.key, None)
            in_force[change.key] = change.value and int(change.value)
    return {key: value for key, value in in_force.items() if value}, rejected


@settings(derandomize=True, deadline=None, max_examples=400)
@given(
    writes=st.lists(
        st.tuples(st.sampled_from(KEYS), st.sampled_from(VALUES)), max_size=12
    ),
    data=st.data(),
)
def test_rows_in_any_order_never_go_back(writes, data):
    """Two nodes: one reads the service late and partly, one polls the first."""
    service = MemoryKeyValue()
    first, second = RevisionedStore(int), RevisionedStore(int)
    views = [service.list("c/")]
    for key, value in writes:
        service.delete(key) if value is None else service.put(key, value)
        views.append(service.list("c/"))
    history = list(service.state.history)
    seen, complete = [], 0
    for _ in range(data.draw(st.integers(0, 12))):
        kind = data.draw(st.integers(0, 3))
        if kind == 0 and history:
            change = data.draw(st.sampled_from(history))
            first.apply(change)
            seen.append(change)
        elif kind == 1:
            listing = data.draw(st.sampled_from(views))
            first.apply_listing(listing)
            seen += implied(listing)
            complete = max(complete, listing.revision)
        elif kind == 2:
            after = data.draw(st.integers(0, len(history)))
            changes = service.watch("c/", after, 0)
            first.apply_changes(changes, after)
            seen += changes.changes
            complete = complete if after > complete else changes.revision
        else:
            changes = first.changes_after(second.revision)
            if changes.compacted:
                second.apply_listing(first.listing())
            second.apply_changes(changes, second.revision)
            assert second.items() == first.items()
            assert second.rejected == first.rejected
        rejected = {key: one.revision for key, one in first.rejected.items()}
        assert (first.items(), rejected) == model(seen)
        assert second.revision <= first.revision == complete


def test_a_bad_row_keeps_the_last_good_one():
    store = RevisionedStore(int)
    assert store.apply(Change("k", b"1", 1)) == Applied("k", 1)
    rejected = store.apply(Change("k", b"x", 3))
    assert isinstance(rejected, Rejected)
    assert store.rejected == {"k": rejected}
    assert store.apply(Change("k", b"2", 2)) == Applied("k", 2)
    assert store.get("k") == 2
    assert store.apply(Change("k", b"x", 3)) == Stale("k", 3)
    assert [row.value for row in store.listing().rows] == [b"2", b"x"]
    assert store.apply(Change("k", b"4", 4)) == Applied("k", 4)
    assert (store.get("k"), store.rejected) == (4, {})


def test_a_deleted_row_does_not_come_back_from_an_old_peer():
    store = RevisionedStore(int)
    store.apply(Change("k", b"1", 1))
    store.apply_listing(Listing((), 5))
    assert store.items() == {}
    assert store.apply(Change("k", b"1", 1)) == Stale("k", 5)
    assert store.changes_after(3) == Changes((), 5, compacted=True)


@pytest.mark.parametrize(
    ("members", "listed_at", "acknowledged", "in_force"),
    [
        ("ab", 10, {"a": 10, "b": 12}, True),
        ("ab", 10, {"a": 10, "b": 9}, False),
        ("ab", 10, {"a": 10}, False),
        ("a", 10, {"a": 10, "b": 9}, True),
        ("a", 9, {"a": 10}, False),
        ("", 10, {}, True),
    ],
)
def test_when_a_revision_is_in_force(members, listed_at, acknowledged, in_force):
    bookkeeping = InForce()
    bookkeeping.set_members(members, listed_at)
    bookkeeping.set_members("z", listed_at - 1)
    for name, revision in acknowledged.items():
        bookkeeping.acknowledge(name, revision)
        bookkeeping.acknowledge(name, 1)
    assert bookkeeping.is_in_force(10) is in_force
    bookkeeping.restart("a")
    assert ("a" in bookkeeping.waiting_for(10)) is ("a" in members)
