"""Decides how long an entry waits for a broker's first response.

Load pattern: brokers and entries on a small part of a core, which stall for some tens
of milliseconds while they apply a configuration or serve a burst. A short limit takes
such a broker for lost, and for a second the entry's requests go to an entry that knows
less of the targets. So a request waits as long as it can spare, and a lost broker still
costs it only a small part of its time.
"""

WAIT_SHARE = 0.1
"""Wait as a share of the time until the goal or the deadline."""

MAXIMUM_WAIT_FACTOR = 4.0
"""Longest wait, relative to the least one."""


def compute_broker_wait_seconds(
    least_seconds: float, goal_seconds: float, deadline_seconds: float
) -> float:
    """Compute how long to wait for the first response of a broker.

    Args:
        least_seconds: Time that is waited at least.
        goal_seconds: Time until the request's goal, 0 if it has none.
        deadline_seconds: Time until the request's deadline.
    """
    spare_seconds = WAIT_SHARE * (goal_seconds or deadline_seconds)
    longest_seconds = MAXIMUM_WAIT_FACTOR * least_seconds
    return min(max(spare_seconds, least_seconds), longest_seconds)
