from dataclasses import replace

import pytest

from wigeonfront.configuration import Configuration, Route, RouteKind, ServiceShare


def route(name, host="a.example", prefix="/p/", shares=(("s", 1.0),)):
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        shares=tuple(ServiceShare(*share) for share in shares),
        timeout=1.0,
        objective=0.1,
    )


@pytest.mark.parametrize(
    ("single_version", "service", "required"),
    [(True, "s", True), (False, "s", False), (True, "other", False)],
)
def test_a_route_may_require_samples_from_a_single_version(
    single_version, service, required
):
    routes = (route("plain"), replace(route("lots"), single_version=single_version))
    assert Configuration(1, routes).requires_single_version(service) == required


ROUTES = Configuration(
    1,
    (
        route("short", prefix="/p/"),
        route("long", prefix="/p/q/"),
        route("other host", host="b.example", prefix="/p/"),
    ),
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/p/x", "short"),
        ("a.example", "/p/q/x", "long"),
        ("a.example", "/p/q", "short"),
        ("b.example", "/p/q/x", "other host"),
        ("a.example", "/p", None),
        ("a.example", "/P/x", None),
        ("c.example", "/p/x", None),
    ],
)
def test_the_route_with_the_longest_matching_prefix_is_found(host, path, expected):
    found = ROUTES.find_route(host, path)
    assert (found.name if found else None) == expected


@pytest.mark.parametrize(
    ("draw", "service"),
    [(0.0, "a"), (0.89, "a"), (0.9, "b"), (0.999, "b")],
)
def test_a_route_chooses_its_services_by_weight(draw, service):
    split = route("split", shares=(("a", 90.0), ("b", 10.0)))
    assert split.choose_service(draw) == service
