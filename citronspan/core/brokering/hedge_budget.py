"""Limit on the hedged requests that one broker grants.

Load pattern: a service whose requests all turn slow at once, so that each of them would
be worth a second attempt; and brokers that move, restart or serve a shard side by side.

Each request is counted by one broker only and earns a share of one hedge there. A
broker begins without any, and what a predecessor had earned is lost. So however brokers
move, the fleet never sends more hedges than the operator's share of its requests. What
is earned is saved up to a few, so that quiet times don't pay for a burst of hedges.

A hedge whose slot is given back unused stays counted: the limit is a ceiling, and such
hedges are few.
"""

MAXIMUM_SAVED_HEDGES = 5.0
"""Hedges that a broker may have earned and not used."""

RESERVED_HEDGES = 1.0
"""Hedges kept for attempts at targets that are late, where they gain most. Elsewhere a
late attempt is mostly a long request, which is as long at the next target."""


class HedgeBudget:
    """Hedges that one broker may still grant.

    Attributes:
        total_requests: Number of requests counted since the start.
        total_hedges: Number of hedges counted since the start.
    """

    def __init__(self):
        self.total_requests = 0
        self.total_hedges = 0
        self._saved_hedges = 0.0

    def count_request(self, share: float) -> None:
        """Count the first attempt of a request, which earns a share of a hedge."""
        self.total_requests += 1
        self._saved_hedges = min(self._saved_hedges + share, MAXIMUM_SAVED_HEDGES)

    def allows_hedge(self, *, is_target_late: bool) -> bool:
        """Return whether one more hedge may be granted.

        Args:
            is_target_late: Whether many answers of the first attempt's target are late.
        """
        reserved = 0.0 if is_target_late else RESERVED_HEDGES
        return self._saved_hedges >= 1.0 + reserved

    def count_hedge(self) -> None:
        """Count a granted hedge."""
        self.total_hedges += 1
        self._saved_hedges -= 1.0
