"""The bytes that requests may send over the link between the regions.

One token bucket per service holds bytes. A request may empty it only as far as its
worth allows: the most worthy kind down to the reserve, lesser ones less far, so that
under shortage the less worthy kinds stop first. Control traffic is counted and may
use the reserve too; it is never refused here.
"""

import time

BURST_SECONDS = 1.0
"""Time for which the full rate is saved up."""

RESERVED_SHARE = 0.1
"""Share of the bucket that only control traffic uses."""

WORTH_SHARE = 0.5
"""Share of the bucket that requests without worth leave to others."""

ANSWER_WEIGHT = 1 / 16
"""Weight of a new answer's length in the mean of its kind."""


class LinkBudget:
    """Byte budget of one service towards targets in another region."""

    def __init__(self, *, bytes_per_second: float):
        self.spent_bytes_by_kind: dict[str, int] = {}
        self._rate = bytes_per_second
        self._burst = bytes_per_second * BURST_SECONDS
        self._bytes = self._burst
        self._filled_at = time.monotonic()
        self._top_worth = 0.0
        self._answer_bytes_by_kind: dict[str, float] = {}

    def spend(self, request_kind: str, worth: float, body_bytes: int) -> bool:
        """Spend the bytes of a request and of its expected answer.

        Args:
            request_kind: Request kind of the route.
            worth: Worth of the request.
            body_bytes: Length of the request's body.

        Returns:
            Whether the budget allowed it; if not, nothing is spent.
        """
        self._fill()
        self._top_worth = max(self._top_worth, worth)
        expected = body_bytes + self.estimate_answer(request_kind)
        if self._bytes - expected < self._find_bound(worth):
            return False
        self._bytes -= expected
        self._count(request_kind, expected)
        return True

    def reconcile_answer_bytes(self, request_kind: str, answer_bytes: int) -> None:
        """Correct what was spent once the length of the answer is known."""
        expected = self.estimate_answer(request_kind)
        self._bytes -= answer_bytes - expected
        self._count(request_kind, answer_bytes - expected)
        mean = self._answer_bytes_by_kind.get(request_kind, float(answer_bytes))
        mean += (answer_bytes - mean) * ANSWER_WEIGHT
        self._answer_bytes_by_kind[request_kind] = mean

    def count_control(self, sent_bytes: int) -> None:
        """Count control traffic, which is never refused."""
        self._fill()
        self._bytes -= sent_bytes

    def estimate_answer(self, request_kind: str) -> int:
        """Return the expected length of an answer in bytes."""
        return int(self._answer_bytes_by_kind.get(request_kind, 0.0))

    def _find_bound(self, worth):
        share = 1.0 - worth / self._top_worth if self._top_worth else 0.0
        return self._burst * (RESERVED_SHARE + WORTH_SHARE * share)

    def _count(self, request_kind, spent):
        before = self.spent_bytes_by_kind.get(request_kind, 0)
        self.spent_bytes_by_kind[request_kind] = before + spent

    def _fill(self):
        now = time.monotonic()
        earned = (now - self._filled_at) * self._rate
        self._bytes = min(self._burst, self._bytes + earned)
        self._filled_at = now
