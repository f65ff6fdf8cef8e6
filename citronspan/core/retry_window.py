"""Limit on the retries that one broker grants in any time window.

In any window, all brokers of a service together grant at most ``ratio`` times its
requests plus a slack, because each broker counts its own requests and has its share
of the slack. A new broker does not know what its predecessor granted, so a broker uses
only a part of its slack.
"""

import math
import time
from collections import deque

SLACK_SHARE = 0.4
"""Usable share of the slack, so that the broker may change within a window."""

RATIO_SHARE = 0.8
"""Usable share of the ratio, because windows of other brokers begin at other times."""

BUCKETS_PER_WINDOW = 20
"""Number of buckets per window. The window slides by one bucket at a time."""


class RetryWindow:
    """Requests and retries of one broker, counted over a sliding window.

    Attributes:
        total_requests: Number of requests counted since the start.
        total_retries: Number of retries spent since the start.
    """

    def __init__(self, *, ratio: float, slack: float, window_seconds: float):
        """Start with empty counts.

        Args:
            ratio: Retries allowed per request.
            slack: This broker's share of the additional retries per window.
            window_seconds: Length of the window in seconds.
        """
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SLACK_SHARE
        self._window_seconds = window_seconds
        self._buckets: deque[list[float]] = deque()
        self.total_requests = 0
        self.total_retries = 0

    def count_request(self) -> None:
        """Count the first attempt of a request."""
        self._get_current_bucket()[1] += 1
        self.total_requests += 1

    def allows_retry(self) -> bool:
        """Return whether the window allows one more retry."""
        self._get_current_bucket()
        requests = sum(bucket[1] for bucket in self._buckets)
        retries = sum(bucket[2] for bucket in self._buckets)
        return retries + 1 <= self._ratio * requests + self._slack

    def spend(self) -> bool:
        """Spend one retry; return whether the window allowed it."""
        if not self.allows_retry():
            return False
        self._get_current_bucket()[2] += 1
        self.total_retries += 1
        return True

    def _get_current_bucket(self):
        now = time.monotonic()
        number = math.floor(now * BUCKETS_PER_WINDOW / self._window_seconds)
        while self._buckets and self._buckets[0][0] <= number - BUCKETS_PER_WINDOW:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
