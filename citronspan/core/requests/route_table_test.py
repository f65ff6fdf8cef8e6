from hypothesis import given, strategies as st

from citronspan.core.requests.route_table import Route, build_route_table, find_route
from citronspan.core.resources import RouteSpec

SEGMENT = st.sampled_from(["a", "b", "ab"])
PATH = st.lists(SEGMENT, max_size=4).map(lambda parts: "/" + "/".join(parts))
HOST = st.sampled_from(["*", "x.example", "y.example"])


def make_route(number, host, prefix):
    spec = RouteSpec(host=host, path_prefix=prefix, service="s", request_kind="k")
    return Route(name=f"r{number:02}", spec=spec)


def find_route_by_scan(routes, host, path):
    best = None
    for route in routes:
        prefix = route.spec.path_prefix.rstrip("/")
        if route.spec.host not in (host, "*"):
            continue
        if path != prefix and not path.startswith(prefix + "/"):
            continue
        precedence = (route.spec.host != "*", len(prefix))
        if best is None or precedence > best[0]:
            best = (precedence, route)
    return best and best[1]


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
