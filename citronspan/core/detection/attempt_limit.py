"""Decides for how long an attempt that may be retried waits for its answer.

Load pattern: requests whose run times differ by a factor of ten and more, at targets of
which some hang. Giving an attempt up loses a long request, since it is as long at the
next target; not giving it up loses one that hangs. Half of the time, say, loses each
request that takes longer than that, also at targets that are healthy.
"""

import math

from citronspan.core.detection.latency_distribution import LatencyDistribution
from citronspan.core.detection.silence import HANG_SHARE

LOST_SHARE = 0.002
"""Share of the requests that are lost on the way to a healthy target and back."""

WASTED_WORK_COST = 0.2
"""Cost of giving up a request that would have been answered, as a share of its worth:
its target worked for nothing, and the retry is one less for others."""

LIMIT_STEPS = 10
"""Number of limits that are compared, in equal steps up to the deadline."""


def compute_attempt_seconds(
    latency: LatencyDistribution,
    failure_probability: float,
    *,
    goal_seconds: float,
    deadline_seconds: float,
) -> float:
    """Compute the time after which an attempt without an answer is given up.

    Args:
        latency: Latencies of the request kind, at least ``MINIMUM_SAMPLES`` of them.
        failure_probability: Probability that the target is failing.
        goal_seconds: Time left in which an answer has its full worth, 0 if that is the
            time until the deadline.
        deadline_seconds: Time until the request's deadline.

    Returns:
        The time in seconds, ``deadline_seconds`` if it is not to be given up.
    """
    hang_share = min(failure_probability * HANG_SHARE + LOST_SHARE, 1.0)
    bounds = (goal_seconds or deadline_seconds, deadline_seconds)
    best_seconds = deadline_seconds
    best_value = -math.inf
    for step in range(LIMIT_STEPS, 0, -1):
        seconds = deadline_seconds * step / LIMIT_STEPS
        value = sum(
            _compute_answered_share(latency, hang_share, seconds, bound)
            for bound in bounds
        )
        if seconds < deadline_seconds:
            value -= WASTED_WORK_COST * latency.find_survival(seconds)
        if value > best_value:
            best_value = value
            best_seconds = seconds
    return best_seconds


def _compute_answered_share(latency, hang_share, limit_seconds, bound_seconds) -> float:
    """Return the share of requests answered within a bound, with one retry.

    A request that was given up is sent to a target that does not hang, where it takes
    as long as it would have taken at the first one.
    """
    first = 1 - latency.find_survival(min(limit_seconds, bound_seconds))
    rest_seconds = bound_seconds - limit_seconds
    if rest_seconds <= 0:
        return (1 - hang_share) * first
    retried = 1 - latency.find_survival(rest_seconds)
    long_runs = max(retried - first, 0.0)
    return (1 - hang_share) * (first + long_runs) + hang_share * retried
