"""What an entry without a configuration does with the requests that reach it.

Load pattern: all hosts of a fleet lose power, or are killed, and start again at once.
Callers reach each host from the moment it listens, and its configuration comes some
tenths of a second later. Refused at once, the callers that may not or do not come back
are lost, though there is room for them a moment later, and the others return together.

So a request waits for the configuration, for a short part of the caller's time, as long
as the entry has just started and part of its threads are free. Further ones are
refused, and told times spread over that within which a configuration mostly comes.
"""

from citronspan.core.return_times import CALLER_WAIT_SHARE, spread_evenly

START_SECONDS = 2.0
"""Time from its start after which an entry expects no configuration at any moment; the
store is then unavailable or slow."""

MAXIMUM_WAIT_SECONDS = 0.9
"""Callers give up a request that was not read for 1 s."""

CALLER_TIME_SHARE = 1 / 8
"""Largest wait as a share of the time that the caller has."""

THREAD_SHARE = 0.5
"""Share of an entry's threads that may wait for its configuration."""

LEAST_RETURN_SECONDS = 0.3
MOST_RETURN_SECONDS = 1.2
"""Bounds of the times after which callers without a wait may come back."""


def compute_start_wait_seconds(
    *, running_seconds: float, caller_seconds: float, waiting: int, threads: int
) -> float:
    """Return for how long a request waits for the entry's configuration.

    Args:
        running_seconds: Time since the entry started.
        caller_seconds: Time until the caller's deadline, infinite if it named none.
        waiting: Number of requests that wait for it already.
        threads: Number of the entry's threads for requests.

    Returns:
        Time in seconds, 0 if the request is refused at once.
    """
    if waiting >= THREAD_SHARE * threads:
        return 0.0
    expected_seconds = START_SECONDS - running_seconds
    wait_seconds = min(
        MAXIMUM_WAIT_SECONDS, CALLER_TIME_SHARE * caller_seconds, expected_seconds
    )
    return max(wait_seconds, 0.0)


def compute_start_return_seconds(number: int, caller_seconds: float) -> float:
    """Return after which time a refused caller may come back.

    Args:
        number: Number of refusals before, from a start that differs between entries.
        caller_seconds: Time until the caller's deadline.
    """
    most_seconds = min(MOST_RETURN_SECONDS, CALLER_WAIT_SHARE * caller_seconds)
    return spread_evenly(
        number, LEAST_RETURN_SECONDS, max(most_seconds, LEAST_RETURN_SECONDS)
    )
