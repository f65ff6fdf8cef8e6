import pytest
from hypothesis import assume, given, strategies as st

from citronspan.core.requests.route_table import (
    Route,
    build_route_table,
    choose_service,
    find_route,
)
from citronspan.core.resources import RouteSpec, ServiceShare

SEGMENT = st.sampled_from(["a", "b", "ab"])
PATH = st.lists(SEGMENT, max_size=4).map(lambda parts: "/" + "/".join(parts))
PATH = st.builds(str.__add__, PATH, st.sampled_from(["", "", "/", "//"]))
HOST = st.sampled_from(["*", "x.example", "y.example"])


def make_route(number, host, prefix):
    spec = RouteSpec(host=host, path_prefix=prefix, service="s", request_kind="k")
    return Route(name=f"r{number:02}", spec=spec)


def begins(prefix, path):
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path == prefix or path.startswith(prefix + "/")


def find_route_by_scan(routes, host, path):
    """The rule of the pages: the longest prefix that begins the path."""
    for name in (host, "*"):
        found = [r for r in routes if r.spec.host == name]
        found = [r for r in found if begins(r.spec.path_prefix, path)]
        if found:
            return max(found, key=lambda route: len(route.spec.path_prefix))
    return None


@given(st.lists(st.tuples(HOST, PATH), max_size=8), HOST, PATH)
def test_table_returns_the_same_route_as_a_scan_of_all_routes(
    hosts_and_prefixes, host, path
):
    routes = [
        make_route(number, *host_and_prefix)
        for number, host_and_prefix in enumerate(hosts_and_prefixes)
    ]
    table = build_route_table(routes)
    assert find_route(table, host + ":80", path) == find_route_by_scan(
        routes, host, path
    )


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/kassa/refunds", "r01"),
        ("/kassa/refunds/", "r02"),
        ("/kassa/refunds/7", "r02"),
        ("/kassa/refundsx/7", "r01"),
        ("/kassa/", "r01"),
        ("/kassa", None),
        ("*", None),
        ("", None),
    ],
)
def test_prefix_that_does_not_begin_the_path_does_not_select_the_route(path, name):
    routes = [make_route(1, "*", "/kassa/"), make_route(2, "*", "/kassa/refunds/")]
    table = build_route_table(routes)
    route = find_route(table, "shop.example", path)
    assert (route and route.name) == name


DRAWS = 400


@given(st.lists(st.integers(0, 20), min_size=1, max_size=4))
def test_service_of_a_split_gets_another_share_than_its_weight(weights):
    assume(sum(weights))
    shares = tuple(
        ServiceShare(service=f"s{number}", weight=weight)
        for number, weight in enumerate(weights)
    )
    spec = RouteSpec(path_prefix="/", service="s0", request_kind="k", shares=shares)
    chosen = [choose_service(spec, (n + 0.5) / DRAWS) for n in range(DRAWS)]
    for share in shares:
        expected = DRAWS * share.weight / sum(weights)
        assert abs(chosen.count(share.service) - expected) <= 1


@given(st.lists(st.floats(0.001, 1e9), max_size=4), st.floats(0, 1))
def test_request_of_a_split_goes_to_a_service_that_is_no_part_of_it(weights, draw):
    shares = tuple(
        ServiceShare(service=f"s{number}", weight=weight)
        for number, weight in enumerate(weights)
    )
    spec = RouteSpec(path_prefix="/", service="s0", request_kind="k", shares=shares)
    names = {share.service for share in shares} or {"s0"}
    assert choose_service(spec, draw) in names
