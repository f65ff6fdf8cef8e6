"""Which of the targets with a free slot a request is given.

Two ways. Where detection ejects, the target goes first of which the largest share is
free. Where detection gives a doubt, each target has an expected cost for the request
at hand, in parts of the request's worth, and the cheapest goes first: the chance that
it fails, a new connection, the way to its data centre, its fullness. So work gathers
on targets that are known to be sound and to which connections stand, and doubted ones
are used when the others are full.
"""

import math
from dataclasses import dataclass

from citronspan.core.broker_messages import SlotRequest
from citronspan.core.broker_target_usage import TargetUsage
from citronspan.core.health import TargetLimit

RETRY_COST = 0.7
"""Part of its worth that a request loses which fails once and is tried again."""

CONNECT_COST = 0.03
LAST_SLOT_COST = 0.05
"""Cost of the last free slot of a target, which is slow when it is full."""

CROSS_DATA_CENTRE_BYTE_COST = 3e-6
"""Cost of a byte of the request's body that goes to another data centre."""

CROSS_DATA_CENTRE_COST = 0.01
UNTRIED_TARGET_COST = -0.3
"""A new target gets one request soon, and so shows whether it is sound."""

IDLE_SECONDS = 0.8
IDLE_COST = -1.0
"""While requests go unserved, no target that may be sound is left without any for
``IDLE_SECONDS``: what is held against it may be over."""

UNREACHABLE_TARGET_COST = 0.5
"""Cost of a target to which the entry's own path failed lately."""

ACCEPTABLE_COST = 0.3
"""A request waits a little for a target that costs less; the longer it has waited, the
more it takes."""

WAIT_LIMIT_SHARE = 0.6
"""Part of the time that a request can spare before its goal for which it waits."""

OTHER_REGION_WAIT_LIMIT_SHARE = 1 / 10
"""Part of the time to its goal for which it waits where another region may have one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A target with a free slot.

    Attributes:
        use: Its use.
        limit: What detection says of it.
        free: Free slots.
        idle_seconds: Time since it last got a request, 0 while it has one.
    """

    use: TargetUsage
    limit: TargetLimit
    free: int
    idle_seconds: float = 0.0


def rank_by_free_share(request: SlotRequest, candidate: Candidate) -> tuple:
    """Rank by the share of free slots; a trial goes first.

    Args:
        request: The request.
        candidate: The target.

    Returns:
        A rank, the lowest of which is chosen.
    """
    limit = candidate.limit
    is_limited = limit.slots < candidate.use.known.slots and not limit.trial
    is_doubtful = not request.idempotent and is_limited
    return (not limit.trial, is_doubtful, -candidate.free / limit.slots)


def compute_cost(
    request: SlotRequest, candidate: Candidate, *, high_unserved_share: bool = False
) -> float:
    """Return the expected cost of a target for a request.

    Args:
        request: The request.
        candidate: The target.
        high_unserved_share: Whether a good part of the service's requests goes
            unserved.

    Returns:
        The cost in parts of the request's worth.
    """
    known = candidate.use.known
    limit = candidate.limit
    cost = limit.failure_probability * (RETRY_COST if request.idempotent else 1.0)
    cost += LAST_SLOT_COST * (1 - (candidate.free - 1) / known.slots)
    if known.name not in request.connected:
        cost += CONNECT_COST
    if known.data_centre != request.data_centre:
        cost += (
            CROSS_DATA_CENTRE_COST + CROSS_DATA_CENTRE_BYTE_COST * request.body_bytes
        )
    if known.name in request.avoided:
        cost += UNREACHABLE_TARGET_COST
    if limit.never_used and not candidate.use.granted:
        cost += UNTRIED_TARGET_COST
    if high_unserved_share and candidate.idle_seconds > IDLE_SECONDS:
        cost += IDLE_COST
    return cost


def compute_wait_limit_seconds(request: SlotRequest, need_seconds: float) -> float:
    """Return how long a request waits for a target that is not doubted.

    Args:
        request: The request.
        need_seconds: Time that it is taken to need at a target.
    """
    if request.goal_seconds <= 0:
        return 0.0
    spare_seconds = max(0.0, request.goal_seconds - need_seconds)
    if request.has_other_region:
        return min(spare_seconds, OTHER_REGION_WAIT_LIMIT_SHARE * request.goal_seconds)
    return WAIT_LIMIT_SHARE * spare_seconds


def find_acceptable_cost(
    request: SlotRequest, waited_seconds: float, wait_limit_seconds: float
) -> float:
    """Return the cost above which a request rather waits.

    Args:
        request: The request.
        waited_seconds: Time for which it has waited.
        wait_limit_seconds: Time for which it may wait.
    """
    if request.has_other_region or request.from_region:
        return ACCEPTABLE_COST
    if waited_seconds >= wait_limit_seconds:
        return math.inf
    share = waited_seconds / wait_limit_seconds
    return ACCEPTABLE_COST + (1 - ACCEPTABLE_COST) * share
