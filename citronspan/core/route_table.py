"""Finds the route of a request by its host and the longest path prefix."""

from dataclasses import dataclass

from citronspan.core.resources import RouteSpec

ANY_HOST = "*"


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A route with its name."""

    name: str
    spec: RouteSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteTable:
    """All routes, indexed so that a look-up costs one step per path segment.

    Attributes:
        route_by_prefix_by_host: Routes by prefix without trailing slash, by host.
    """

    route_by_prefix_by_host: dict[str, dict[str, Route]]


def build_route_table(routes: list[Route]) -> RouteTable:
    """Index routes.

    Args:
        routes: All routes. Of two with the same host and prefix the one with the
            smaller name serves, so that all nodes agree.

    Returns:
        The table.
    """
    by_host: dict[str, dict[str, Route]] = {}
    for route in sorted(routes, key=lambda route: route.name):
        by_prefix = by_host.setdefault(route.spec.host.lower(), {})
        by_prefix.setdefault(route.spec.path_prefix.rstrip("/"), route)
    return RouteTable(route_by_prefix_by_host=by_host)


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Find the route of a request.

    Args:
        table: The table.
        host: Host header, with or without a port.
        path: Path of the request.

    Returns:
        The route with the longest prefix that ends at a segment of the path; one
        of the named host goes before one of any host. None if no route matches.
    """
    name = host.rsplit(":", 1)[0].lower() if not host.endswith("]") else host.lower()
    for candidate in (name, ANY_HOST):
        by_prefix = table.route_by_prefix_by_host.get(candidate)
        if by_prefix is None:
            continue
        route = _find_longest_prefix(by_prefix, path)
        if route is not None:
            return route
    return None


def choose_service(spec: RouteSpec, draw: float) -> str:
    """Choose the service of one request by the shares of its route.

    Args:
        spec: The route.
        draw: A random number from 0 to 1.

    Returns:
        Name of the service.
    """
    left = draw * sum(share.weight for share in spec.shares)
    for share in spec.shares:
        left -= share.weight
        if left < 0:
            return share.service
    return spec.service


def _find_longest_prefix(by_prefix, path):
    prefix = path.rstrip("/")
    while True:
        route = by_prefix.get(prefix)
        if route is not None:
            return route
        if not prefix:
            return None
        prefix = prefix.rpartition("/")[0]
