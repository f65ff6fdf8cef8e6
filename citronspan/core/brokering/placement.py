"""Choice among the targets with a free slot for a request.

Which of two rankings applies depends on the detection of the service. If detection
ejects targets, the target with the largest share of free slots ranks first. If
detection estimates a failure probability, the target with the lowest expected cost for
the request ranks first. The cost is a fraction of the request's worth and covers the
failure probability, a new connection, traffic to another data centre and the
target's utilization. Requests thus concentrate on healthy targets with open
connections, and targets that are likely to fail are used when the others are full.
"""

import math
from dataclasses import dataclass

from citronspan.core.brokering.broker_messages import SlotRequest
from citronspan.core.brokering.broker_target_usage import TargetUsage
from citronspan.core.detection.health import TargetLimit

FAILED_ATTEMPT_COST = 0.7
"""Fraction of its worth that a request loses if it fails once and is retried."""

NEW_CONNECTION_COST = 0.03
LAST_SLOT_COST = 0.05
"""Cost of the last free slot of a target, because a full target is slow."""

CROSS_DATA_CENTRE_BYTE_COST = 3e-6
"""Cost of each byte of a request body that is sent to another data centre."""

CROSS_DATA_CENTRE_COST = 0.01
UNTRIED_TARGET_COST = -0.3
"""Negative, so that a new target soon gets a request that shows its health."""

IDLE_TARGET_SECONDS = 0.8
"""Time without requests after which a target is idle while many requests fail."""

FLOOR_IDLE_SECONDS = 1.6
"""Time without a new request after which a target counts as idle for the floor, which
users measure over 2 s."""

TRUSTED_HOLD_TIMES = 2.0
"""Age, in mean hold times, up to which a grant counts for the floor though its request
may hang on its way to the target."""

LOST_REQUEST_PAUSE_SHARE = 0.25
"""Pause after a request for the floor that did not arrive, as a share of the time for
which the target is idle: short at first, since another host may reach it."""

PRECEDENCE_SECONDS = 0.4
"""Time for which a target that is due a request for the floor is left to entries that
reach all targets. Requests of the others wait longer, and would come first."""

EXPLORING_SECONDS = 0.4
"""Time by which targets are due for the floor sooner for requests that may run again,
in a shard that also serves others: those would be lost where the target still fails."""

FAILED_IDLE_SECONDS = 3.4
"""Time after a failure during which a target does not count as idle for the floor.
Users take a target that failed for healthy again after 2 s."""

IDLE_TARGET_COST = -1.0
"""Negative, so that a target that may be healthy gets requests even if others cost
less, while many requests go unserved or too few targets get any. Its fault may be
over."""

UNREACHABLE_TARGET_COST = 0.5
"""Cost of a target that the entry recently failed to reach."""

ACCEPTABLE_COST = 0.3
"""Highest cost that a request accepts without waiting for a cheaper target. The
accepted cost rises with the time that the request has waited."""

WAIT_LIMIT_SHARE = 0.6
"""Wait limit as a share of the time that a request has to spare before its goal."""

OTHER_REGION_WAIT_LIMIT_SHARE = 1 / 10
"""Wait limit as a share of the goal if a target in another region may be available."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A target with a free slot.

    Attributes:
        usage: Usage of the target.
        limit: Slot limit and failure probability that detection sets.
        free_slots: Number of free slots.
        is_preferred: Whether it is preferred to others because it is idle.
    """

    usage: TargetUsage
    limit: TargetLimit
    free_slots: int
    is_preferred: bool = False


def rank_by_free_share(request: SlotRequest, candidate: Candidate) -> tuple:
    """Rank a target by its share of free slots.

    Trials rank first. Requests that are not idempotent prefer targets without a
    reduced limit.

    Args:
        request: Request that needs a slot.
        candidate: Target to rank.

    Returns:
        Sort key; the target with the lowest key is chosen.
    """
    limit = candidate.limit
    is_limited = limit.slots < candidate.usage.target_info.slots and not limit.trial
    is_restricted = not request.idempotent and is_limited
    return (not limit.trial, is_restricted, -candidate.free_slots / limit.slots)


def compute_cost(request: SlotRequest, candidate: Candidate) -> float:
    """Compute the expected cost of sending a request to a target.

    Args:
        request: Request that needs a slot.
        candidate: Target to rate.

    Returns:
        Cost as a fraction of the request's worth.
    """
    target_info = candidate.usage.target_info
    limit = candidate.limit
    cost = limit.failure_probability * (
        FAILED_ATTEMPT_COST if request.idempotent else 1.0
    )
    cost += LAST_SLOT_COST * (1 - (candidate.free_slots - 1) / target_info.slots)
    if target_info.name not in request.connected:
        cost += NEW_CONNECTION_COST
    if target_info.data_centre != request.data_centre:
        cost += (
            CROSS_DATA_CENTRE_COST + CROSS_DATA_CENTRE_BYTE_COST * request.body_bytes
        )
    if limit.never_used and not candidate.usage.granted:
        cost += UNTRIED_TARGET_COST
    if target_info.name in request.avoided:
        cost += UNREACHABLE_TARGET_COST
    elif candidate.is_preferred:
        cost += IDLE_TARGET_COST
    return cost


def compute_wait_limit_seconds(
    request: SlotRequest, expected_service_seconds: float
) -> float:
    """Compute how long a request waits for a target with an acceptable cost.

    Args:
        request: Request that needs a slot.
        expected_service_seconds: Time that the request is expected to take at a target.

    Returns:
        Wait limit in seconds, 0 if the request has no goal.
    """
    if request.goal_seconds <= 0:
        return 0.0
    slack_seconds = max(0.0, request.goal_seconds - expected_service_seconds)
    if request.has_other_region:
        return min(slack_seconds, OTHER_REGION_WAIT_LIMIT_SHARE * request.goal_seconds)
    return WAIT_LIMIT_SHARE * slack_seconds


def compute_acceptable_cost(
    request: SlotRequest, waited_seconds: float, wait_limit_seconds: float
) -> float:
    """Compute the highest cost that a request accepts instead of waiting.

    Args:
        request: Request that needs a slot.
        waited_seconds: Time that the request has waited.
        wait_limit_seconds: Wait limit of the request.

    Returns:
        Cost as a fraction of the request's worth, infinite once the wait limit is
        reached. It stays at ``ACCEPTABLE_COST`` if the request may go to another region
        or comes from one.
    """
    if request.has_other_region or request.from_region:
        return ACCEPTABLE_COST
    if waited_seconds >= wait_limit_seconds:
        return math.inf
    share = waited_seconds / wait_limit_seconds
    return ACCEPTABLE_COST + (1 - ACCEPTABLE_COST) * share
