"""Worth of requests by the rank of their account and by their route."""


def compute_worth(route_worth: float, rank: int | None) -> float:
    """Return the worth of a request, in which the account's rank goes before the route.

    Each rank has an interval of its own, in which the worth of the route decides.

    Args:
        route_worth: Worth of the route; above 1 it counts as 1 where there is a rank,
            so that no route reaches the next rank.
        rank: Rank of the account, 0 for the highest; None if it has none.
    """
    if rank is None:
        return route_worth
    lowest = 1 / (2 + rank)
    highest = 1 / (1 + rank)
    return lowest + (highest - lowest) * min(route_worth, 1.0)
