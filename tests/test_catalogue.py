"""The catalogue as one entry and its sides have it in force."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonfront import catalogue
from wigeonfront.catalogue import BadRow, CatalogueEntry
from wigeonfront.clock import ManualClock
from wigeonfront.entry.configuration import Catalogue, CatalogueRow
from wigeonfront.entry.watch import PrefixWatch, WatchTiming
from wigeonfront.messages import PolicyRow, ServicePolicy
from wigeonfront.platform import Change, Changes, Listing, Row
from wigeonfront.platform.memory import MemoryKeyValue
from wigeonfront.side.learning import Learning

GOOD = {"owner": "farm", "class": "rollout", "services": ["judge-llm"]}
BAD = {"owner": "farm", "class": "rollouts"}


def row(**fields):
    return msgspec.json.encode(GOOD | fields)


def key(name):
    return catalogue.PREFIX + name


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({}, None),
        ({"class": "rollouts"}, "$.class"),
        ({"services": []}, "$.services"),
        ({"services": ["a", "a"]}, "twice"),
        ({"limits": {"rate": 0}}, "$.limits.rate"),
        ({"limits": {"share": 1.5}}, "$.limits.share"),
        ({"limits": {"rates": 5}}, "rates"),
        ({"weight": -1}, "$.weight"),
        ({"wave": 2}, "$.wave"),
        ({"bound": -1}, "$.bound"),
        ({"ownr": "x"}, "ownr"),
    ],
)
def test_a_row_is_checked(fields, reason):
    checked = catalogue.check(row(**fields))
    if reason is None:
        assert isinstance(checked, CatalogueEntry)
    else:
        assert isinstance(checked, BadRow)
        assert reason in checked.reason


# --- one entry's rows ----------------------------------------------------------


@pytest.fixture
def clock():
    return ManualClock()


def write(rows, *writes):
    for name, value, revision in writes:
        encoded = None if value is None else msgspec.json.encode(value)
        rows.write(name, encoded, revision)


@pytest.mark.parametrize(
    ("writes", "weight", "bad"),
    [
        ([("a", GOOD | {"weight": 2}, 3)], 2, False),
        ([("a", GOOD | {"weight": 2}, 3), ("a", GOOD | {"weight": 9}, 2)], 2, False),
        ([("a", GOOD | {"weight": 2}, 3), ("a", GOOD | {"weight": 9}, 3)], 2, False),
        ([("a", GOOD | {"weight": 2}, 3), ("a", BAD, 4)], 2, True),
        ([("a", GOOD | {"weight": 2}, 3), ("a", BAD, 4), ("a", GOOD, 5)], 1, False),
        ([("a", GOOD | {"weight": 2}, 3), ("a", None, 4)], None, False),
        ([("a", GOOD, 3), ("a", None, 4), ("a", GOOD | {"weight": 9}, 3)], None, False),
        ([("a", GOOD, 3), ("a", BAD, 4), ("a", None, 5)], None, False),
        ([("a", BAD, 4)], None, True),
    ],
)
def test_the_last_good_row_of_the_highest_revision_is_in_force(
    clock, writes, weight, bad
):
    rows = Catalogue(clock)
    write(rows, *writes)
    entry = rows.get("a")
    assert (entry and entry.weight) == weight
    assert ("a" in rows.bad_rows) == bad


def test_a_change_counts_after_it_was_put_in_force(clock):
    seen = []
    rows = Catalogue(clock, lambda: seen.append(rows.get("a").weight))
    write(rows, ("a", GOOD | {"weight": 3}, 1), ("a", GOOD, 1), ("a", GOOD, 2))
    assert seen == [3, 1]


def transferred(rows, after=0):
    encoded = msgspec.json.encode(rows.since(after))
    return msgspec.json.decode(encoded, type=list[CatalogueRow])


WRITES = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "c"]),
        st.sampled_from([GOOD, GOOD | {"weight": 2}, BAD, None]),
    ),
    max_size=12,
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(writes=WRITES, seen=st.lists(st.booleans(), min_size=12, max_size=12))
def test_entries_that_missed_changes_agree_after_an_exchange(writes, seen):
    """Whatever two entries missed, one exchange each way makes them equal."""
    numbered = [(name, value, n) for n, (name, value) in enumerate(writes, 1)]
    one, other = Catalogue(ManualClock()), Catalogue(ManualClock())
    write(one, *numbered)
    write(other, *[each for each, kept in zip(numbered, seen, strict=False) if kept])
    other.merge(transferred(one))
    one.merge(transferred(other))
    assert one.digest == other.digest
    assert one.rows() == other.rows()


def test_the_last_good_row_comes_with_a_bad_one(clock):
    """An entry that starts beside a bad row has the same in force as the others."""
    old, new = Catalogue(clock), Catalogue(clock)
    write(old, ("a", GOOD | {"weight": 7}, 1), ("a", BAD, 2))
    write(new, ("a", BAD, 2))
    assert new.get("a") is None
    assert new.digest != old.digest
    new.merge(transferred(old))
    assert new.get("a").weight == 7
    assert new.digest == old.digest


def test_a_listing_from_a_lagging_replica_takes_nothing_back(clock):
    rows = Catalogue(clock)
    write(rows, ("a", GOOD | {"weight": 5}, 9), ("b", GOOD, 8))
    rows.take_changes(Changes((), 9))
    clock.advance(3)
    rows.take_listing(Listing((Row(key("a"), row(), 4),), 5))
    assert rows.get("a").weight == 5
    assert rows.get("b") is not None
    assert rows.revision == 9
    assert rows.age == 3, "a stale answer confirms nothing"


# --- following the key-value service -------------------------------------------


class Follower:
    """One catalogue that follows an in-memory service."""

    def __init__(self, clock, state=None, seed=1):
        self.key_value = MemoryKeyValue(clock, state)
        self.rows = Catalogue(clock)
        self.watch = PrefixWatch(
            catalogue.PREFIX, self.rows, self.key_value, clock, random.Random(seed)
        )


def test_a_watch_follows_writes_and_deletions(clock):
    follower = Follower(clock)
    operator = follower.key_value.client()
    operator.put(key("a"), row(weight=2))
    assert follower.watch.step() == 0
    assert follower.rows.loaded
    operator.put(key("a"), row(weight=3))
    operator.put(key("b"), row())
    operator.delete(key("b"))
    follower.watch.step()
    assert {n: e.weight for n, e in follower.rows.rows().items()} == {"a": 3}


@pytest.mark.parametrize("compacted", [False, True])
def test_after_an_outage_the_watch_goes_on_from_its_revision(clock, compacted):
    """Only a compacted service is listed anew; a return costs one small call."""
    follower = Follower(clock)
    operator = follower.key_value.client()
    operator.put(key("a"), row())
    follower.watch.step()
    follower.key_value.outage = True
    for _ in range(5):
        clock.advance(follower.watch.step())
    assert not follower.watch.reachable
    operator.put(key("a"), row(weight=4))
    if compacted:
        follower.key_value.state.compact()
    follower.key_value.outage = False
    follower.watch.step()
    follower.watch.step()
    assert follower.rows.get("a").weight == 4
    assert follower.key_value.calls["list"] == (2 if compacted else 1)


class MissesEvents(MemoryKeyValue):
    """Its watches tell the newest revision but leave changes out."""

    def watch(self, prefix, after, timeout):
        found = super().watch(prefix, after, timeout)
        return Changes((), found.revision)


def test_a_watch_that_misses_events_is_mended_by_a_listing(clock):
    rows = Catalogue(clock)
    key_value = MissesEvents(clock)
    timing = WatchTiming(listing=60)
    watch = PrefixWatch(
        catalogue.PREFIX, rows, key_value, clock, random.Random(1), timing
    )
    watch.step()
    key_value.put(key("a"), row())
    watch.step()
    assert rows.get("a") is None
    clock.advance(60 * 1.25)
    watch.step()
    assert rows.get("a") is not None


def test_pauses_during_an_outage_are_jittered_and_bounded(clock):
    """After the first seconds 300 entries ask evenly, whatever the outage's length."""
    state = MemoryKeyValue(clock).state
    followers = [Follower(clock, state, seed) for seed in range(300)]
    state.outage = True
    due = [(0.0, n) for n in range(300)]
    by_second = [0] * 60
    while due:
        at, n = due.pop()
        if at < 60:
            by_second[int(at)] += 1
            due.append((at + max(0.01, followers[n].watch.step()), n))
    assert max(by_second[20:]) <= 2 * 300 / 4, "a mean pause is four seconds"


# --- sides ----------------------------------------------------------------------


def policy(revision, **rows):
    made = {
        name: PolicyRow(revision=at, weight=weight)
        for name, (at, weight) in rows.items()
    }
    return ServicePolicy(revision=revision, rows=made)


@pytest.mark.parametrize(
    ("policies", "weights"),
    [
        ([policy(5, a=(5, 2))], {"a": 2}),
        ([policy(5, a=(5, 2)), policy(4, a=(4, 9))], {"a": 2}),
        ([policy(5, a=(5, 2), b=(3, 1)), policy(6, a=(5, 2))], {"a": 2}),
        ([policy(6, a=(5, 2)), policy(4, a=(4, 9), b=(3, 1))], {"a": 2, "b": 1}),
        ([policy(5, b=(3, 1)), policy(6), policy(4, b=(3, 1))], {}),
        # One that knows as much and has the row: the other had missed its write.
        ([policy(5, b=(3, 1)), policy(6), policy(6, b=(5, 4))], {"b": 4}),
    ],
)
def test_a_side_merges_what_entries_tell(policies, weights):
    learned = []
    learning = Learning("judge-llm", on_policy=learned.append)
    for each in policies:
        learning.take({}, each)
    assert learning.policy.weights == weights
    assert learning.revision == max(each.revision for each in policies)
    assert not learned or learned[-1].weights == weights


def test_a_policy_changes_only_with_the_rows_of_its_service(clock):
    rows = Catalogue(clock)
    write(rows, ("a", GOOD, 1), ("page", GOOD | {"class": "interactive"}, 2))
    before = rows.policy("judge-llm")
    write(rows, ("other", GOOD | {"services": ["else"]}, 3))
    assert rows.policy("judge-llm") is before
    write(rows, ("a", GOOD | {"weight": 2, "wave": 0.5}, 4))
    after = rows.policy("judge-llm")
    assert (after.revision, after.rows["a"].weight, after.rows["a"].wave) == (4, 2, 0.5)
    write(rows, ("a", None, 5))
    assert rows.policy("judge-llm") == ServicePolicy(revision=5)


def test_changes_of_other_prefixes_are_not_rows(clock):
    rows = Catalogue(clock)
    rows.take_changes(Changes((Change(key("a"), row(), 2),), 7))
    assert rows.revision == 7
    assert rows.newest == 2
