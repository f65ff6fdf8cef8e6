"""Limits of one broker that a changed specification of its service replaces."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class RetryLimits:
    """Limits on the retries that one broker grants.

    Attributes:
        ratio: Retries allowed per request.
        slack: The broker's share of the additional retries per window.
        window_seconds: Length of the window, 0 if entries limit the retries.
    """

    ratio: float
    slack: float
    window_seconds: float


@dataclass(frozen=True, kw_only=True)
class BrokerLimits:
    """Limits of the broker of one shard.

    Attributes:
        link_bytes_per_second: Budget for requests from other regions.
        floor: Share of the targets that must get requests at all times, 0 if detection
            ensures it.
        retries: Limits on the retries.
    """

    link_bytes_per_second: float
    floor: float
    retries: RetryLimits
