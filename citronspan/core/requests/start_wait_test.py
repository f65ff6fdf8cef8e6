"""Replays the first seconds of hosts that start again at once.

The load is that of a fleet of 19 hosts after a loss of power: each gets its
configuration 0.1 to 0.9 s after it starts, and callers, some of which never retry,
reach it in between.
"""

import math
import random

import pytest

from citronspan.core.requests.start_wait import (
    LEAST_RETURN_SECONDS,
    MAXIMUM_WAIT_SECONDS,
    MOST_RETURN_SECONDS,
    START_SECONDS,
    compute_start_return_seconds,
    compute_start_wait_seconds,
)

HOSTS = 19
THREADS = 16


def replay(find_wait_seconds):
    """Return the share of requests that are served, and the longest wait of those."""
    generator = random.Random(1)
    served, total, longest = 0, 0, 0.0
    for _ in range(HOSTS):
        configured_at = generator.uniform(0.1, 0.9)
        ends = []
        for at in sorted(generator.uniform(0.0, 1.0) for _ in range(4)):
            total += 1
            if at >= configured_at:
                served += 1
                continue
            caller_seconds = generator.choice([6.0, 8.0, 20.0])
            waiting = sum(end > at for end in ends)
            wait_seconds = find_wait_seconds(at, caller_seconds, waiting)
            if at + wait_seconds >= configured_at:
                served += 1
                longest = max(longest, configured_at - at)
            ends.append(min(at + wait_seconds, configured_at))
    return served / total, longest


def test_requests_at_starting_hosts_are_served():
    before, _ = replay(lambda at, caller_seconds, waiting: 0.0)
    after, longest = replay(
        lambda at, caller_seconds, waiting: compute_start_wait_seconds(
            running_seconds=at,
            caller_seconds=caller_seconds,
            waiting=waiting,
            threads=THREADS,
        )
    )
    assert before < 0.6
    assert after > 0.95
    assert longest <= MAXIMUM_WAIT_SECONDS


@pytest.mark.parametrize(
    ("running", "caller", "waiting", "expected"),
    [
        (0.0, math.inf, 0, MAXIMUM_WAIT_SECONDS),
        (0.0, 4.0, 0, 0.5),
        (START_SECONDS - 0.2, 20.0, 0, pytest.approx(0.2)),
        (START_SECONDS + 5, 20.0, 0, 0.0),
        (0.0, 20.0, THREADS // 2, 0.0),
        (0.0, -1.0, 0, 0.0),
    ],
)
def test_wait_is_bounded(running, caller, waiting, expected):
    wait_seconds = compute_start_wait_seconds(
        running_seconds=running, caller_seconds=caller, waiting=waiting, threads=THREADS
    )
    assert wait_seconds == expected


def test_refused_callers_come_back_one_after_the_other():
    times = sorted(compute_start_return_seconds(number, 20.0) for number in range(30))
    assert times[0] >= LEAST_RETURN_SECONDS and times[-1] <= MOST_RETURN_SECONDS
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert max(gaps) < 3 * (MOST_RETURN_SECONDS - LEAST_RETURN_SECONDS) / 30
    assert compute_start_return_seconds(7, 1.5) <= 0.5
    assert compute_start_return_seconds(7, 0.1) == LEAST_RETURN_SECONDS
