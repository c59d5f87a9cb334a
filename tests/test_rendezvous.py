"""Rendezvous hashing: shares, moved keys, bounded load and subsets."""

from collections import Counter

import pytest

from wigeonfront.coordination.rendezvous import bounded_owner, owner, ranked, subset

KEYS = [f"key-{number}" for number in range(4000)]
NAMES = [f"name-{number}" for number in range(8)]


def test_ranking_is_independent_of_the_order_of_names():
    assert ranked("k", NAMES) == ranked("k", reversed(NAMES))
    assert owner("k", NAMES) == ranked("k", NAMES)[0]
    assert owner("k", []) is None
    assert sorted(ranked("k", NAMES)) == NAMES


def test_ranking_is_the_same_in_every_process():
    """The values are fixed, as processes of two releases must agree."""
    assert ranked("lot", "abcd") == ["a", "d", "c", "b"]


@pytest.mark.parametrize("weights", [{}, {"name-0": 3.0, "name-1": 0.5, "name-2": 0.0}])
def test_shares_follow_the_weights(weights):
    counts = Counter(owner(key, NAMES, weights) for key in KEYS)
    total = sum(weights.get(name, 1.0) for name in NAMES)
    for name in NAMES:
        expected = len(KEYS) * weights.get(name, 1.0) / total
        assert abs(counts[name] - expected) <= 0.15 * expected


def test_only_the_keys_of_a_leaving_name_move():
    remaining = NAMES[1:]
    for key in KEYS:
        before = owner(key, NAMES)
        if before != NAMES[0]:
            assert owner(key, remaining) == before


def test_bounded_load_stays_near_the_mean():
    loads = dict.fromkeys(NAMES, 0)
    for key in KEYS[:800]:
        loads[bounded_owner(key, loads)] += 1
    assert max(loads.values()) <= 1.25 * 800 / len(NAMES) + 1
    assert bounded_owner("k", {}) is None
    assert bounded_owner("k", {"only": 50}) == "only"


@pytest.mark.parametrize(
    ("members", "targets", "size"), [(1, 50, 8), (4, 5, 8), (40, 300, 32), (64, 64, 8)]
)
def test_subsets_use_each_target_equally_and_move_few_targets(members, targets, size):
    names = [f"entry-{number}" for number in range(members)]
    sides = [f"side-{number}" for number in range(targets)]
    shares = {name: set(subset(name, names, sides, size)) for name in names}
    uses = Counter(side for share in shares.values() for side in share)
    assert set(uses) == set(sides)
    assert len(set(uses.values())) == 1
    mean = sum(map(len, shares.values())) / members
    assert max(map(len, shares.values())) <= 2 * mean
    moved = 0
    for name in names[1:]:
        after = set(subset(name, names[1:], sides, size))
        moved += len(after ^ shares[name])
    assert moved <= len(shares[names[0]]) + targets * (members > 1)
