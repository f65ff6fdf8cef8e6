"""The retries that one broker may grant in any window of time.

All brokers of a service together stay within ``ratio`` times its requests and a slack
in any window, since each counts its own requests and has its part of the slack. A new
broker knows nothing of what the one before granted, so that only a part of the slack
is given out.
"""

import math
import time
from collections import deque

SLACK_SHARE = 0.4
"""Part of the slack that is given out, so that brokers may change within a window."""

RATIO_SHARE = 0.8
"""Part of the ratio that is given out; windows of others begin at other times."""

BUCKETS = 20
"""Parts of a window by which it slides."""


class RetryWindow:
    """Counts of one broker over a sliding window."""

    def __init__(self, *, ratio: float, slack: float, window_seconds: float):
        """Begin without any count.

        Args:
            ratio: Retries allowed for each request.
            slack: Retries allowed besides, this broker's part.
            window_seconds: Length of the window.
        """
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SLACK_SHARE
        self._window_seconds = window_seconds
        self._buckets: deque[list[float]] = deque()

    def count_request(self) -> None:
        """Count the first attempt of a request."""
        self._find_bucket()[1] += 1

    def has_left(self) -> bool:
        """Return whether the window allows one retry more."""
        self._find_bucket()
        requests = sum(item[1] for item in self._buckets)
        retries = sum(item[2] for item in self._buckets)
        return retries + 1 <= self._ratio * requests + self._slack

    def spend(self) -> bool:
        """Spend one retry; return whether the window had one left."""
        if not self.has_left():
            return False
        self._find_bucket()[2] += 1
        return True

    def _find_bucket(self):
        now = time.monotonic()
        number = math.floor(now * BUCKETS / self._window_seconds)
        while self._buckets and self._buckets[0][0] <= number - BUCKETS:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
