"""Which engine of a service loads which version, and when."""

import pytest

from wigeonfront.weights.plan import (
    EngineReport,
    NamedVersion,
    Place,
    engine_places,
    loading_engines,
    next_move,
)

MODELS = ("a", "b", "c", "d")


def named(version, model="a", at=0.0):
    return NamedVersion(model, version, at)


def report(**versions):
    return EngineReport(versions=versions)


@pytest.mark.parametrize(
    ("current", "newest", "rank", "moves"),
    [
        (3, 3, 0, False),
        (3, 4, 0, True),
        (3, 4, 1, False),
        (2, 4, 1, True),
        (1, 4, 1, True),
        (4, 5, 0, False),
        (4, 5, 1, True),
    ],
)
def test_halves_of_the_engines_follow_even_and_odd_versions(
    current, newest, rank, moves
):
    order = next_move(report(a=current), [named(newest)], 99.0, Place(rank, 6, ("a",)))
    assert (order is not None) == moves
    if order:
        assert (order.model, order.version) == ("a", newest)


@pytest.mark.parametrize("keep_runs", [True, False])
@pytest.mark.parametrize("current", [1, 2])
def test_order_states_whether_runs_may_continue(keep_runs, current):
    order = next_move(report(a=current), [named(4)], 99.0, Place(), keep_runs)
    assert order.keep_runs == keep_runs


@pytest.mark.parametrize("state", [{"loading": True}, {"draining": True}])
def test_loading_or_draining_engine_gets_no_order(state):
    engine = EngineReport(versions={"a": 1}, **state)
    assert next_move(engine, [named(4)], 99.0, Place(0, 6)) is None


def test_few_engines_load_at_once():
    place = Place(4, 6, ("a",))
    assert place.load_delay > 0
    assert next_move(report(a=2), [named(4, at=10.0)], 10.1, place) is None
    late = 10.0 + place.load_delay
    assert next_move(report(a=2), [named(4, at=10.0)], late, place) is not None
    # An engine that can't serve any step does not wait.
    assert next_move(report(a=1), [named(4, at=10.0)], 10.1, place) is not None


@pytest.mark.parametrize("count", [5, 6, 9, 23, 25, 40])
@pytest.mark.parametrize("models", [1, 2, 3, 4])
def test_both_halves_serve_every_model(count, models):
    names = MODELS[:models]
    places = [Place(rank, count, names) for rank in range(count)]
    loads = 0
    for model in names:
        serving = [place for place in places if place.serves(model)]
        halves = [sum(place.follows(n) for place in serving) for n in (2, 3)]
        assert min(halves) >= 1
        loads += max(halves)
    if count >= 2 * models:
        # Each version costs about as many loads as there are engines for each model.
        assert loads <= count + 2 * models
        assert all(sum(map(place.serves, names)) <= 2 for place in places)


@pytest.mark.parametrize("count", [2, 4, 7])
def test_each_of_few_engines_serves_all_models(count):
    assert all(Place(rank, count, MODELS).serves("d") for rank in range(count))


@pytest.mark.parametrize("count", [1, 2, 6, 25])
@pytest.mark.parametrize("version", [2, 3])
def test_loading_engines_are_those_that_get_an_order(count, version):
    addresses = [f"h:{number:02}" for number in range(count)]
    models = MODELS[:3]
    places = engine_places(addresses[::-1], models)
    expected = loading_engines(places, "b", version)
    state = report(b=version - 1)
    ordered = [
        address
        for rank, address in enumerate(addresses)
        if next_move(state, [named(version, "b")], 99.0, Place(rank, count, models))
    ]
    assert expected == ordered
