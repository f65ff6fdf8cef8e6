"""Rate limits of client accounts, enforced by each entry on its own.

An entry admits requests up to its share of an account's rate without coordination
with other entries. The shares are overcommitted because callers spread unevenly over
entries, so the whole fleet can admit up to ``OVERCOMMIT_FACTOR`` times the rate. It is
divided among the entries that served lately, also those that an entry sees no more.
"""

from citronspan.core.resources import AccountSpec
from citronspan.utils.token_bucket import TokenBucket

OVERCOMMIT_FACTOR = 2.0
BURST_SECONDS = 2.0
MINIMUM_BURST_REQUESTS = 1.0


class AccountLimits:
    """Token buckets of the accounts whose requests this entry has received."""

    def __init__(self):
        self._bucket_by_name: dict[str, TokenBucket] = {}

    def admit(self, name: str, spec: AccountSpec, entries: int) -> float:
        """Charge one request to an account.

        Args:
            name: Name of the account.
            spec: Specification of the account.
            entries: Number of entries that served lately.

        Returns:
            0 if the request is admitted, else the seconds until it can be.
        """
        if spec.requests_per_second <= 0:
            return 0.0
        rate = spec.requests_per_second * OVERCOMMIT_FACTOR / max(entries, 1)
        bucket = self._update_bucket(name, min(rate, spec.requests_per_second))
        return 0.0 if bucket.take() else bucket.compute_wait_seconds()

    def _update_bucket(self, name, rate):
        bucket = self._bucket_by_name.get(name)
        if bucket is None:
            burst = max(rate * BURST_SECONDS, MINIMUM_BURST_REQUESTS)
            bucket = TokenBucket(rate=rate, burst=burst)
            self._bucket_by_name[name] = bucket
        bucket.rate = rate
        bucket.burst = max(rate * BURST_SECONDS, MINIMUM_BURST_REQUESTS)
        return bucket
