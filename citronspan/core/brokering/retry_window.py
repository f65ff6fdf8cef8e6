"""Limit on the retries that one broker grants in any time window.

In any window, all brokers of a service together grant at most ``ratio`` times its
requests plus a slack, because each request is counted by one broker only and each
broker has its share of the slack. A new broker does not know what its predecessor
granted, so until it has been the broker for a whole window its slack is divided by the
number of possible brokers. The same applies to requests that it serves as a fallback
broker, because several may serve a shard at once. The parts of a parted fleet divide
the slack by the hosts that each of them sees.

A retry whose slot is given back unused is taken out of the bucket that counted it. All
retries that reach a target in a window were counted together at the grant of the last
one, so the limit holds for those that arrive, too.

An operator may change the limits of a running broker. What it granted before counts
against the new ones.
"""

import math
import time
from collections import deque
from collections.abc import Callable

from citronspan.core.brokering.broker_limits import RetryLimits

SLACK_SHARE = 0.4
"""Usable share of the slack, because entries whose views differ may consider two
entries the broker."""

RATIO_SHARE = 0.8
"""Usable share of the ratio, because windows of other brokers begin at other times."""

BUCKETS_PER_WINDOW = 20
"""Number of buckets per window. The window slides by one bucket at a time."""


class RetryWindow:
    """Requests and retries of one broker, counted over a sliding window.

    Attributes:
        total_requests: Number of requests counted since the start.
        total_retries: Number of retries counted since the start.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_seconds: float,
        count_possible_brokers: Callable[[], int],
        find_fleet_share: Callable[[], float] = lambda: 1.0,
    ):
        """Start with empty counts.

        Args:
            ratio: Retries allowed per request.
            slack: This broker's share of the additional retries per window.
            window_seconds: Length of the window in seconds, 0 for no limit here.
            count_possible_brokers: Returns the number of entries that may now become
                the shard's broker.
            find_fleet_share: Returns the part of them that this broker sees.
        """
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SLACK_SHARE
        self._count_possible_brokers = count_possible_brokers
        self._find_fleet_share = find_fleet_share
        self._window_seconds = window_seconds
        self._full_slack_from = time.monotonic() + window_seconds
        self._earlier_slack = math.inf
        self._earlier_slack_until = -math.inf
        self._buckets: deque[list[float]] = deque()
        self.total_requests = 0
        self.total_retries = 0

    def set_limits(self, limits: RetryLimits) -> None:
        """Replace the limits.

        A larger slack holds after one window, because brokers that the change removed
        may have granted their share of it. A window of another length begins without
        counts, and therefore without slack until it has passed once.

        Args:
            limits: The new limits.
        """
        now = time.monotonic()
        slack = limits.slack * SLACK_SHARE
        has_other_window = limits.window_seconds != self._window_seconds
        if has_other_window or slack > self._slack:
            self._earlier_slack = 0.0 if has_other_window else self._limit_slack(now)
            self._earlier_slack_until = now + limits.window_seconds
        if has_other_window:
            self._buckets.clear()
        self._ratio = limits.ratio * RATIO_SHARE
        self._slack = slack
        self._window_seconds = limits.window_seconds

    def _limit_slack(self, now):
        """Return the slack, or the one before a change if that is less."""
        if now >= self._earlier_slack_until:
            return self._slack
        return min(self._slack, self._earlier_slack)

    def count_request(self) -> None:
        """Count the first attempt of a request."""
        if not self._window_seconds:
            return
        self._get_current_bucket()[1] += 1
        self.total_requests += 1

    def allows_retry(self, *, is_fallback: bool = False) -> bool:
        """Return whether the window allows one more retry.

        Args:
            is_fallback: Whether the broker serves the request as a fallback broker.
        """
        if not self._window_seconds:
            return True
        self._get_current_bucket()
        requests = sum(bucket[1] for bucket in self._buckets)
        retries = sum(bucket[2] for bucket in self._buckets)
        share = self._find_fleet_share()
        now = time.monotonic()
        if is_fallback or now < self._full_slack_from:
            share = min(share, 1 / max(self._count_possible_brokers(), 1))
        slack = self._limit_slack(now) * share
        return retries + 1 <= self._ratio * requests + slack

    def count_retry(self) -> int:
        """Count a granted retry.

        Returns:
            Number of the bucket that counts it, 0 for none.
        """
        if not self._window_seconds:
            return 0
        bucket = self._get_current_bucket()
        bucket[2] += 1
        self.total_retries += 1
        return bucket[0]

    def discount_retry(self, bucket_number: int) -> None:
        """Take out a granted retry that will never reach a target.

        Args:
            bucket_number: What ``count_retry`` returned for it.
        """
        for bucket in self._buckets:
            if bucket[0] == bucket_number and bucket[2]:
                bucket[2] -= 1

    def _get_current_bucket(self):
        now = time.monotonic()
        number = math.floor(now * BUCKETS_PER_WINDOW / self._window_seconds)
        while self._buckets and self._buckets[0][0] <= number - BUCKETS_PER_WINDOW:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
