"""A token bucket: a rate with a bounded burst."""

import time


class TokenBucket:
    """Lets through a rate per second and a burst of at most ``burst`` tokens."""

    def __init__(self, *, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._at = time.monotonic()

    def take(self, tokens: float = 1.0) -> bool:
        """Take tokens if there are enough.

        Args:
            tokens: How many.

        Returns:
            Whether they were taken.
        """
        self._refill()
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def compute_wait_seconds(self, tokens: float = 1.0) -> float:
        """Return the seconds until that many tokens are there."""
        self._refill()
        missing = tokens - self._tokens
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")

    def _refill(self):
        now = time.monotonic()
        self._tokens = min(self.burst, self._tokens + (now - self._at) * self.rate)
        self._at = now
