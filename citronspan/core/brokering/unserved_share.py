"""Recent share of a shard's requests that went unserved."""

import math

DECAY_TIME_CONSTANT_SECONDS = 1.5
HIGH_UNSERVED_SHARE = 0.12
MINIMUM_SAMPLE_WEIGHT = 12.0
"""Decayed number of requests below which the share is not significant."""


class UnservedShare:
    """Exponentially decayed counts of all requests and of failed or refused ones."""

    def __init__(self, *, now: float):
        self._decayed_at = now
        self._total = 0.0
        self._unserved = 0.0

    def add(self, unserved: bool, now: float) -> None:
        """Count one request."""
        self._decay(now)
        self._total += 1
        self._unserved += unserved

    def is_high(self, now: float) -> bool:
        """Return whether the share of unserved requests is high."""
        self._decay(now)
        if self._total < MINIMUM_SAMPLE_WEIGHT:
            return False
        return self._unserved > HIGH_UNSERVED_SHARE * self._total

    def _decay(self, now):
        remaining_share = math.exp(
            (self._decayed_at - now) / DECAY_TIME_CONSTANT_SECONDS
        )
        self._total *= remaining_share
        self._unserved *= remaining_share
        self._decayed_at = now
