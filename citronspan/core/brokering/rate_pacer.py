"""Spacing of the requests to targets that limit their request rate.

The limit of a target is one for the whole fleet, and whoever chooses targets keeps its
share of it without asking the others: the broker of the shard, a fallback broker, and
an entry that chooses without a broker. The shares are such that the sum stays bounded
also while brokers change and several holders choose at once, however many they are.
"""

from dataclasses import dataclass

from citronspan.core.rate_limits import RateLimitTable
from citronspan.utils.rendezvous import compute_score
from citronspan.utils.token_bucket import TokenBucket

MINIMUM_REQUESTS_PER_SECOND = 0.5
"""Rate at which a target is used however low its limit, to see when the limit ends."""

BURST_SECONDS = 0.25
"""Time for which unused requests may be made up for."""

PAUSE_SECONDS = 4.0
"""Time without a request to pace after which a divided share starts anew."""

NEW_BROKER_SECONDS = 4.0
"""Time after which a new broker no longer has to expect requests of its predecessor."""

SCORE_RANGE = 2**64


@dataclass(frozen=True, kw_only=True, slots=True)
class RateShare:
    """Share of a target's limit that one holder may use.

    Attributes:
        share: The share, at most 1.
        is_divided: Whether many holders have such a share at the same time.
    """

    share: float
    is_divided: bool = False


FULL_RATE_SHARE = RateShare(share=1.0)
"""Share of the broker of a shard."""

NEW_BROKER_RATE_SHARE = RateShare(share=0.5)
"""Share of a broker while its predecessor may still serve some entries."""

FALLBACK_SHARE = 0.2
"""Share of all fallback brokers, and of all entries that choose without a broker."""


MAJORITY_SHARE = 0.5
"""Part of the hosts beyond which no other part can be."""


def limit_to_part(rate_share: RateShare, part: float) -> RateShare:
    """Return a broker's share in a part of a parted fleet.

    Args:
        rate_share: Its share if it sees all hosts.
        part: Part of the hosts that it sees, 0 to 1.
    """
    return RateShare(
        share=rate_share.share * part,
        is_divided=rate_share.is_divided or part <= MAJORITY_SHARE,
    )


def divide_fallback_share(holder_count: int) -> RateShare:
    """Return the share of one of the holders that may choose besides the broker."""
    return RateShare(share=FALLBACK_SHARE / max(holder_count, 1), is_divided=True)


class RatePacer:
    """Spaces one holder's requests to the targets that limit their rate.

    Attributes:
        rate_limits: The limits that this holder knows.
    """

    def __init__(self, *, holder: str, rate_limits: RateLimitTable):
        """Create a pacer.

        Args:
            holder: Name that no other holder has. The first request to a target is due
                at another time for each name, so that holders do not send together.
            rate_limits: The limits that this holder knows.
        """
        self.rate_limits = rate_limits
        self._holder = holder
        self._bucket_by_target: dict[str, TokenBucket] = {}

    def find_rate(self, target: str, rate_share: RateShare) -> float | None:
        """Return the holder's rate in requests per second, None without a limit."""
        limit = self.rate_limits.find(target)
        if limit is None:
            return None
        return max(limit, MINIMUM_REQUESTS_PER_SECOND) * rate_share.share

    def allows_request(self, target: str, rate_share: RateShare) -> bool:
        """Return whether the holder may send a request to a target now."""
        rate = self.find_rate(target, rate_share)
        if rate is None:
            self._bucket_by_target.pop(target, None)
            return True
        bucket = self._bucket_by_target.get(target)
        if bucket is None:
            bucket = TokenBucket(rate=rate, burst=1.0, tokens=self._find_phase(target))
            self._bucket_by_target[target] = bucket
        if rate_share.is_divided and bucket.find_idle_seconds() > PAUSE_SECONDS:
            bucket.limit_tokens(self._find_phase(target))
        bucket.set_rate(rate, burst=1.0 + BURST_SECONDS * rate)
        return bucket.has_tokens()

    def count_request(self, target: str) -> None:
        """Count a request that is sent to a target."""
        bucket = self._bucket_by_target.get(target)
        if bucket is not None:
            bucket.take()

    def _find_phase(self, target):
        """Return the part of a request, from 0 to 1, that is due at the start."""
        return compute_score(self._holder, target) / SCORE_RANGE
