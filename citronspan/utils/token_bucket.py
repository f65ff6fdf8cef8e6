"""A token bucket for rate limits with a bounded burst."""

import time


class TokenBucket:
    """Limits a rate and the size of its bursts.

    Attributes:
        rate: Tokens added per second.
        burst: Capacity of the bucket, in tokens.
    """

    def __init__(self, *, rate: float, burst: float, tokens: float | None = None):
        """Create a bucket.

        Args:
            rate: Tokens added per second.
            burst: Capacity of the bucket, in tokens.
            tokens: Tokens at the start, None for a full bucket.
        """
        self.rate = rate
        self.burst = burst
        self._tokens = burst if tokens is None else tokens
        self._refilled_at = time.monotonic()

    def take(self, tokens: float = 1.0) -> bool:
        """Take tokens if enough are available.

        Args:
            tokens: Number of tokens.

        Returns:
            Whether the tokens were taken.
        """
        if not self.has_tokens(tokens):
            return False
        self._tokens -= tokens
        return True

    def take_up_to(self, tokens: float) -> float:
        """Take as many of a number of tokens as are available; return how many."""
        self._refill()
        taken = max(min(tokens, self._tokens), 0.0)
        self._tokens -= taken
        return taken

    def has_tokens(self, tokens: float = 1.0) -> bool:
        """Return whether a number of tokens is available."""
        self._refill()
        return self._tokens >= tokens

    def set_rate(self, rate: float, *, burst: float) -> None:
        """Change the rate and the capacity from now on."""
        self._refill()
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def limit_tokens(self, tokens: float) -> None:
        """Drop the tokens beyond a number."""
        self._refill()
        self._tokens = min(self._tokens, tokens)

    def find_idle_seconds(self) -> float:
        """Return the time since the bucket was last used."""
        return time.monotonic() - self._refilled_at

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
