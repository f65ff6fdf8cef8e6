"""Estimate of the slots in use, from the latencies of finished attempts.

By Little's law the mean number of requests in progress is their rate times their mean
latency (Little, "A proof for the queuing formula L = λW", Operations Research 9,
1961), so the sum of latencies that end in a second is the mean number of busy slots.
"""

import math

WINDOW_SECONDS = 5.0


class SlotUsageEstimator:
    """Exponentially decayed sum of the latencies of finished attempts."""

    __slots__ = ("_busy_seconds", "_updated_at", "_started_at")

    def __init__(self, *, now: float):
        self._busy_seconds = 0.0
        self._updated_at = now
        self._started_at = now

    def add(self, latency_seconds: float, now: float) -> None:
        """Add a finished attempt."""
        self._decay(now)
        self._busy_seconds += latency_seconds

    def estimate(self, now: float) -> float:
        """Return the mean slots in use, infinite in the first ``WINDOW_SECONDS``."""
        if now - self._started_at < WINDOW_SECONDS:
            return math.inf
        self._decay(now)
        return self._busy_seconds / WINDOW_SECONDS

    def _decay(self, now: float) -> None:
        self._busy_seconds *= math.exp((self._updated_at - now) / WINDOW_SECONDS)
        self._updated_at = now
