"""A token bucket for rate limits with a bounded burst."""

import time


class TokenBucket:
    """Limits a rate and the size of its bursts.

    Attributes:
        rate: Tokens added per second.
        burst: Capacity of the bucket, in tokens.
    """

    def __init__(self, *, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()

    def take(self, tokens: float = 1.0) -> bool:
        """Take tokens if enough are available.

        Args:
            tokens: Number of tokens.

        Returns:
            Whether the tokens were taken.
        """
        self._refill()
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def compute_wait_seconds(self, tokens: float = 1.0) -> float:
        """Return the time until enough tokens are available.

        Args:
            tokens: Number of tokens.

        Returns:
            Seconds, 0 if they are available now, infinity if the rate is 0.
        """
        self._refill()
        missing = tokens - self._tokens
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")

    def _refill(self):
        now = time.monotonic()
        self._tokens = min(
            self.burst, self._tokens + (now - self._refilled_at) * self.rate
        )
        self._refilled_at = now
