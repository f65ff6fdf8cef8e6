"""Look-up of the route of a request by its host and longest path prefix."""

import math
from dataclasses import dataclass

from citronspan.core.resources import RouteSpec

ANY_HOST = "*"


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A route with its name.

    Attributes:
        name: Name of the route.
        spec: Specification of the route.
        is_public: Whether its requests need no account key.
    """

    name: str
    spec: RouteSpec
    is_public: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteTable:
    """Index of all routes. A look-up takes one step per path segment.

    Attributes:
        route_by_prefix_by_host: Routes by host, then by prefix.
    """

    route_by_prefix_by_host: dict[str, dict[str, Route]]

    def find_shortest_deadline_seconds(self) -> float:
        """Return the least time that a route gives requests, infinity without one."""
        return min(
            (
                route.spec.deadline_seconds
                for routes in self.route_by_prefix_by_host.values()
                for route in routes.values()
            ),
            default=math.inf,
        )


def build_route_table(routes: list[Route]) -> RouteTable:
    """Build the route table.

    Args:
        routes: All routes. If two have the same host and prefix, the one with the
            smaller name is used, so that all nodes agree.

    Returns:
        Index of the routes.
    """
    route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
    for route in sorted(routes, key=lambda route: route.name):
        route_by_prefix = route_by_prefix_by_host.setdefault(
            route.spec.host.lower(), {}
        )
        route_by_prefix.setdefault(route.spec.path_prefix, route)
    return RouteTable(route_by_prefix_by_host=route_by_prefix_by_host)


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Find the route of a request.

    Args:
        table: Index of the routes.
        host: Host header, with or without a port.
        path: Path of the request.

    Returns:
        The route with the longest prefix that begins the path, or None if no route
        matches. A prefix without a slash at its end matches whole segments only.
        Routes of the given host take precedence over routes of any host.
    """
    name = host.rsplit(":", 1)[0].lower() if not host.endswith("]") else host.lower()
    for candidate in (name, ANY_HOST):
        route_by_prefix = table.route_by_prefix_by_host.get(candidate)
        if route_by_prefix is None:
            continue
        route = _find_longest_prefix(route_by_prefix, path)
        if route is not None:
            return route
    return None


def choose_service(spec: RouteSpec, draw: float) -> str:
    """Choose the service of one request at random, weighted by the route's shares.

    Args:
        spec: Specification of the route.
        draw: Random number from 0 to 1.

    Returns:
        Name of the service.
    """
    remaining = draw * sum(share.weight for share in spec.shares)
    for share in spec.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return spec.service


def _find_longest_prefix(route_by_prefix, path):
    for prefix in _iterate_prefixes(path):
        route = route_by_prefix.get(prefix)
        if route is not None:
            return route
    return None


def _iterate_prefixes(path):
    """Yield the path and all its prefixes that end before or after a slash."""
    yield path
    slash = path.rfind("/")
    while slash >= 0:
        yield path[: slash + 1]
        yield path[:slash]
        slash = path.rfind("/", 0, slash)
