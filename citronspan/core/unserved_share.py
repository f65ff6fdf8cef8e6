"""The share of a shard's requests that lately went unserved."""

import math

DECAY_SECONDS = 1.5
HIGH_SHARE = 0.12
MINIMUM_SAMPLE_WEIGHT = 12.0
"""Requests, decayed, below which the share says nothing."""


class UnservedShare:
    """Decayed counts of requests and of those that failed or were refused."""

    def __init__(self, *, now: float):
        self._at = now
        self._all = 0.0
        self._unserved = 0.0

    def add(self, unserved: bool, now: float) -> None:
        """Count one request."""
        self._decay(now)
        self._all += 1
        self._unserved += unserved

    def is_high(self, now: float) -> bool:
        """Return whether a good part goes unserved."""
        self._decay(now)
        if self._all < MINIMUM_SAMPLE_WEIGHT:
            return False
        return self._unserved > HIGH_SHARE * self._all

    def _decay(self, now):
        left = math.exp((self._at - now) / DECAY_SECONDS)
        self._all *= left
        self._unserved *= left
        self._at = now
