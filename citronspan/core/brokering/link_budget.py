"""Byte budget for requests that cross the link between regions.

Each service has a token bucket of bytes. The lower the worth of a request, the more
bytes it must leave in the bucket, so that requests of low worth are refused first when
bytes are short. Requests of the highest worth leave only the reserve for control
traffic. Control traffic is counted, may use the reserve and is never refused here.

Load pattern: brokers of a shard that follow each other, or serve it at the same time,
while requests from other regions keep coming. Each holder refills its bucket at its
share of the rate, so that the sum stays bounded, and none starts with a full bucket,
since its predecessor may just have spent one.
"""

import time
from collections.abc import Callable

BURST_SECONDS = 1.0
"""Capacity of the bucket, as seconds of the full rate."""

CONTROL_RESERVE_SHARE = 0.1
"""Share of the bucket reserved for control traffic."""

LOW_WORTH_RESERVE_SHARE = 0.5
"""Share of the bucket that requests of worth 0 must leave above the control reserve."""

ANSWER_BYTES_EWMA_WEIGHT = 1 / 16
"""Weight of a new answer's length in the moving average of its request kind."""


class LinkBudget:
    """Byte budget of one service for requests to targets in another region."""

    def __init__(
        self,
        *,
        bytes_per_second: float,
        initial_seconds: float = BURST_SECONDS,
        find_share: Callable[[], float] = lambda: 1.0,
    ):
        """Create a budget.

        Args:
            bytes_per_second: Rate that all holders of the budget share.
            initial_seconds: Content of the bucket, as seconds of the full rate.
            find_share: Returns the share of the rate that this holder may now use.
        """
        self.spent_bytes_by_kind: dict[str, int] = {}
        self._bytes_per_second = bytes_per_second
        self._available_bytes = bytes_per_second * initial_seconds
        self._find_share = find_share
        self._refilled_at = time.monotonic()
        self._maximum_worth = 0.0
        self._answer_bytes_by_kind: dict[str, float] = {}

    def set_rate(self, bytes_per_second: float) -> None:
        """Replace the rate; the bucket keeps what the new one has room for."""
        self._refill()
        self._bytes_per_second = bytes_per_second

    def spend(self, request_kind: str, worth: float, body_bytes: int) -> bool:
        """Spend the bytes of a request and of its expected answer.

        Args:
            request_kind: Request kind of the route.
            worth: Worth of the request.
            body_bytes: Length of the request's body in bytes.

        Returns:
            Whether the budget allowed the request. If not, nothing is spent.
        """
        self._refill()
        self._maximum_worth = max(self._maximum_worth, worth)
        expected_bytes = body_bytes + self.estimate_answer_bytes(request_kind)
        if self._available_bytes - expected_bytes < self._compute_reserve_bytes(worth):
            return False
        self._available_bytes -= expected_bytes
        self._add_spent_bytes(request_kind, expected_bytes)
        return True

    def give_back(self, request_kind: str, body_bytes: int) -> None:
        """Give back what a request has spent that got no slot; it is not queued."""
        expected_bytes = body_bytes + self.estimate_answer_bytes(request_kind)
        self._available_bytes += expected_bytes
        self._add_spent_bytes(request_kind, -expected_bytes)

    def reconcile_answer_bytes(self, request_kind: str, answer_bytes: int) -> None:
        """Replace the expected length of an answer by its actual length."""
        expected_bytes = self.estimate_answer_bytes(request_kind)
        self._available_bytes -= answer_bytes - expected_bytes
        self._add_spent_bytes(request_kind, answer_bytes - expected_bytes)
        mean = self._answer_bytes_by_kind.get(request_kind, float(answer_bytes))
        mean += (answer_bytes - mean) * ANSWER_BYTES_EWMA_WEIGHT
        self._answer_bytes_by_kind[request_kind] = mean

    def count_control_bytes(self, sent_bytes: int) -> None:
        """Deduct the bytes of control traffic, which is never refused."""
        self._refill()
        self._available_bytes -= sent_bytes

    def estimate_answer_bytes(self, request_kind: str) -> int:
        """Return the expected length of an answer in bytes."""
        return int(self._answer_bytes_by_kind.get(request_kind, 0.0))

    def _compute_capacity_bytes(self):
        return self._bytes_per_second * self._find_share() * BURST_SECONDS

    def _compute_reserve_bytes(self, worth):
        share = 1.0 - worth / self._maximum_worth if self._maximum_worth else 0.0
        return self._compute_capacity_bytes() * (
            CONTROL_RESERVE_SHARE + LOW_WORTH_RESERVE_SHARE * share
        )

    def _add_spent_bytes(self, request_kind, spent_bytes):
        before = self.spent_bytes_by_kind.get(request_kind, 0)
        self.spent_bytes_by_kind[request_kind] = before + spent_bytes

    def _refill(self):
        now = time.monotonic()
        rate = self._bytes_per_second * self._find_share()
        refilled_bytes = (now - self._refilled_at) * rate
        self._available_bytes = min(
            self._compute_capacity_bytes(), self._available_bytes + refilled_bytes
        )
        self._refilled_at = now
