"""Request rates of client accounts, shared out over the entries.

Each entry lets through its share of an account's rate without asking anyone. The
share is taken with some excess, because callers spread unevenly over entries; the
whole fleet can thus let through up to ``OVERCOMMIT_FACTOR`` times the rate.
"""

from citronspan.core.resources import AccountSpec
from citronspan.utils.token_bucket import TokenBucket

OVERCOMMIT_FACTOR = 2.0
BURST_SECONDS = 2.0
MINIMUM_BURST = 1.0


class AccountLimits:
    """Token buckets of the accounts seen at this entry."""

    def __init__(self):
        self._bucket_by_name: dict[str, TokenBucket] = {}

    def admit(self, name: str, spec: AccountSpec, entries: int) -> float:
        """Count one request of an account.

        Args:
            name: Name of the account.
            spec: Its specification.
            entries: Number of live entries.

        Returns:
            0 if the request may go on, else the seconds to wait.
        """
        if spec.requests_per_second <= 0:
            return 0.0
        rate = spec.requests_per_second * OVERCOMMIT_FACTOR / max(entries, 1)
        bucket = self._find_bucket(name, min(rate, spec.requests_per_second))
        return 0.0 if bucket.take() else bucket.compute_wait_seconds()

    def _find_bucket(self, name, rate):
        bucket = self._bucket_by_name.get(name)
        if bucket is None:
            burst = max(rate * BURST_SECONDS, MINIMUM_BURST)
            bucket = TokenBucket(rate=rate, burst=burst)
            self._bucket_by_name[name] = bucket
        bucket.rate = rate
        bucket.burst = max(rate * BURST_SECONDS, MINIMUM_BURST)
        return bucket
