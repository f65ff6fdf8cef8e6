"""Rates and capacities by which a limit and its margin are lent and used."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from citronspan.core.resources import AccountSpec
from citronspan.core.settings import QuotaRules
from citronspan.utils.token_bucket import TokenBucket

SEATS = 2
"""Seats of an account, each with a keeper and an equal part of the limit."""

LEASE_SECONDS = 2.0
"""Time for which a host may use credit, from the moment when it asked."""

PROBATION_SECONDS = 3.0
"""Time in which entries with an older view may still ask a keeper's predecessor."""

CAPACITY_MARGIN_SHARE = 0.3
PROBATION_MARGIN_SHARE = 0.2
STAND_IN_MARGIN_SHARE = 0.2
ALONE_MARGIN_SHARE = 0.2
RETURN_MARGIN_SHARE = 0.05

MAJORITY_SHARE = 0.5
"""Part of the fleet beyond which no other part can be."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SeatTerms:
    """Limits of one seat.

    Attributes:
        rate: Credit per second.
        capacity: Most credit in the bucket and lent ahead together.
        probation_rate: Credit per second of a new keeper.
        start_credit: Credit of a new bucket if all hosts have just started.
        stand_in: Credit a window for hosts that have lost the other seat.
        returns: Credit a window that is accepted back.
        window_seconds: Length of the window.
    """

    rate: float
    capacity: float
    probation_rate: float
    start_credit: float
    stand_in: float
    returns: float
    window_seconds: float

    def update_bucket(self, bucket: TokenBucket | None, credit: float) -> TokenBucket:
        """Return a bucket for a credit in each window: half at once, half over it."""
        rate = credit / 2 / self.window_seconds
        if bucket is None:
            return TokenBucket(rate=rate, burst=credit / 2)
        bucket.set_rate(rate, burst=credit / 2)
        return bucket


def has_fleet_quota(spec: AccountSpec) -> bool:
    """Return whether an account's limit is kept for the whole fleet."""
    return spec.requests_per_second > 0 and spec.burst_requests is not msgspec.UNSET


def compute_margin(spec: AccountSpec, rules: QuotaRules) -> float:
    """Return the requests that may run in a window beyond rate and burst."""
    burst = spec.burst_requests or 0.0
    nominal = spec.requests_per_second * rules.window_seconds + burst
    return nominal * rules.excess + rules.slack


def compute_seat_terms(
    spec: AccountSpec,
    rules: QuotaRules,
    fleet_share: float,
    divide: Callable[[float], int] = lambda total: 1,
) -> SeatTerms:
    """Return the limits of a seat.

    Args:
        spec: Specification of an account with a limit for the fleet.
        rules: Bounds of the deployment.
        fleet_share: Part of the fleet that the keeper speaks for, 0 to 1.
        divide: Returns the keeper's part of requests that are divided among all hosts.
    """
    seat_share = fleet_share / SEATS
    margin = compute_margin(spec, rules)
    burst = spec.burst_requests or 0.0
    whole_capacity = burst + margin * CAPACITY_MARGIN_SHARE
    capacity = whole_capacity * seat_share
    if capacity < 1.0:
        # Less than one request could never be lent. Many parts of a parted fleet may
        # have such a capacity, so it is rounded up at those whose sum is known.
        has_most = fleet_share > MAJORITY_SHARE
        capacity = 1.0 if has_most or divide(whole_capacity / SEATS) > 0 else 0.0
    rate = spec.requests_per_second * seat_share
    probation_rate = margin * PROBATION_MARGIN_SHARE * seat_share / PROBATION_SECONDS
    return SeatTerms(
        rate=rate,
        capacity=capacity,
        probation_rate=min(probation_rate, rate),
        start_credit=margin * CAPACITY_MARGIN_SHARE * seat_share,
        stand_in=margin * STAND_IN_MARGIN_SHARE * seat_share,
        returns=margin * RETURN_MARGIN_SHARE * seat_share,
        window_seconds=rules.window_seconds,
    )


def compute_alone_total(spec: AccountSpec, rules: QuotaRules) -> float:
    """Return the requests a window that all hosts without keepers may admit together.

    Each may be without them at the same time, so it is divided among all hosts.
    """
    return compute_margin(spec, rules) * ALONE_MARGIN_SHARE
