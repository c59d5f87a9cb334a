from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonfront.coordination.rendezvous import ranked
from wigeonfront.policy.placement import (
    AFFINITY_LOAD_FACTOR,
    Placed,
    PlacementRequest,
    RandomPlacement,
    Refused,
    RoundRobinPlacement,
    SideView,
    choose,
)

STRATEGIES = {
    "choose": choose,
    "random": RandomPlacement(),
    "round_robin": RoundRobinPlacement(),
}


def sides(count=6, **fields):
    return [SideView(f"side-{i}", f"hall-{i % 3}", **fields) for i in range(count)]


def place(views, strategy=choose, seed=1, **fields):
    request = PlacementRequest("r", "judge-llm", **fields)
    return strategy(request, views, Random(seed))


@st.composite
def view_lists(draw):
    count = draw(st.integers(1, 8))
    return [
        SideView(
            f"side-{i}",
            draw(st.sampled_from(["a", "b"])),
            connected=draw(st.booleans()),
            serving=draw(st.booleans()),
            leaving=draw(st.booleans()),
            version=draw(st.integers(-1, 3)),
            capacity=draw(st.integers(0, 8)),
            running=draw(st.integers(0, 8)),
            queued=draw(st.integers(0, 50)),
            queued_tokens=draw(st.floats(0, 1e5)),
            sent_tokens=draw(st.floats(0, 1e5)),
            circuit_open=draw(st.booleans()),
            latency=draw(st.sampled_from([0.0, 0.02, 0.5])),
        )
        for i in range(count)
    ]


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    view_lists(),
    st.sampled_from(sorted(STRATEGIES)),
    st.sampled_from(["", "group-1", "group-2"]),
    st.integers(-1, 3),
    st.frozensets(st.sampled_from(["side-0", "side-1"])),
)
def test_only_usable_sides_are_chosen(views, name, prefix, min_version, excluded):
    decision = place(
        views,
        STRATEGIES[name],
        prefix=prefix,
        min_version=min_version,
        excluded=excluded,
        failure_domain="a",
    )
    usable = {
        view.name
        for view in views
        if view.connected
        and view.serving
        and not view.leaving
        and not view.circuit_open
        and view.version >= min_version
    } - excluded
    if isinstance(decision, Placed):
        assert decision.side in usable
    else:
        assert not usable
        assert decision.outcome.retry_after > 0


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"connected": False}, "no_side_connected"),
        ({"leaving": True}, "all_leaving"),
        ({"serving": False}, "none_serving"),
        ({"version": 2}, "versions_behind"),
        ({"version": 3, "circuit_open": True}, "circuits_open"),
    ],
)
def test_refusals_name_their_cause(fields, reason):
    decision = place(sides(**fields), min_version=3)
    assert isinstance(decision, Refused)
    assert decision.reason == reason


def test_no_sides_at_all():
    assert place([]).reason == "no_side_connected"


def test_a_group_keeps_its_side_whatever_the_order_of_the_views():
    views = sides()
    first = place(views, prefix="group-9")
    assert first.reason == "affinity"
    assert place(views[::-1], prefix="group-9", seed=5).side == first.side


def test_a_key_draws_the_same_sides_each_time():
    views = sides(capacity=1, running=1)
    chosen = {place(views, key="lot-1/sample-3", seed=s).side for s in range(20)}
    assert len(chosen) == 1


def test_affinity_leaves_a_side_above_the_bound():
    views = sides(capacity=4, running=4, queued=4, queued_tokens=400)
    head = ranked("group-9", [view.name for view in views])[0]
    by_name = {view.name: view for view in views}
    by_name[head].queued_tokens = 2000
    decision = place(views, prefix="group-9")
    assert decision.reason == "affinity_bounded"
    assert decision.side != head


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.integers(0, 1000), st.integers(3, 8))
def test_affinity_never_overloads_a_side(seed, count):
    views = sides(count, capacity=1)
    random = Random(seed)
    for number in range(200):
        tokens = random.randint(1, 100)
        decision = place(views, prefix=f"g{number % 5}", tokens=tokens)
        view = next(view for view in views if view.name == decision.side)
        mean = sum(v.sent_tokens for v in views) / count
        free = view.sent_tokens < tokens
        assert free or view.sent_tokens <= AFFINITY_LOAD_FACTOR * mean + 1e-6
        view.sent_tokens += tokens


@pytest.mark.parametrize(
    ("local", "reason"),
    [
        ({}, "local_two_choices"),
        ({"running": 4, "queued": 1}, "two_choices"),
        ({"sent_tokens": 400.0}, "two_choices"),
        ({"latency": 0.5}, "two_choices"),
    ],
)
def test_the_own_failure_domain_is_preferred_until_it_queues(local, reason):
    views = sides(6, capacity=4, latency=0.02)
    for view in views:
        if view.failure_domain == "hall-0":
            for name, value in local.items():
                setattr(view, name, value)
    assert place(views, tokens=100, failure_domain="hall-0").reason == reason


def test_two_choices_take_the_side_with_less_to_do():
    views = sides(2, queued_tokens=50)
    views[1].sent_tokens = 10
    assert place(views).side == "side-0"


def test_slow_targets_count_as_loaded():
    views = sides(2, queued_tokens=100, latency=0.02)
    views[0].latency = 0.08
    views[0].queued_tokens = 60
    assert place(views).side == "side-1"


def test_round_robin_takes_turns():
    strategy = RoundRobinPlacement()
    chosen = [place(sides(3), strategy).side for _ in range(6)]
    assert chosen == ["side-0", "side-1", "side-2"] * 2


def test_rendezvous_moves_only_the_keys_of_a_lost_name():
    names = [f"side-{i}" for i in range(10)]
    for key in (f"key-{i}" for i in range(100)):
        before = ranked(key, names)
        after = ranked(key, [name for name in names if name != "side-3"])
        assert after == [name for name in before if name != "side-3"]
