import time

import freezegun
import pytest

from citronspan.core.brokering.rate_pacer import (
    FULL_RATE_SHARE,
    PAUSE_SECONDS,
    RatePacer,
    divide_fallback_share,
)
from citronspan.core.rate_limits import RateLimit, RateLimitTable

STEP_SECONDS = 0.05


@pytest.fixture
def clock():
    with freezegun.freeze_time("2026-01-01") as frozen:
        yield frozen


def make_pacer(holder, limit):
    table = RateLimitTable()
    table.observe("t-1", RateLimit(requests_per_second=limit))
    return RatePacer(holder=holder, rate_limits=table)


def count_requests(clock, pacers, rate_share, seconds):
    """Send whatever the pacers allow; return the number of requests."""
    count = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        clock.tick(STEP_SECONDS)
        for pacer in pacers:
            if pacer.allows_request("t-1", rate_share):
                pacer.count_request("t-1")
                count += 1
    return count


@pytest.mark.parametrize("limit", [0.7, 2.0, 8.0])
def test_unused_time_does_not_add_up_to_a_burst(clock, limit):
    pacer = make_pacer("h", limit)
    count_requests(clock, [pacer], FULL_RATE_SHARE, 1.0)
    clock.tick(60.0)
    count = count_requests(clock, [pacer], FULL_RATE_SHARE, 4.0)
    assert limit * 4 - 1 <= count <= limit * 4 + 1 + limit / 4


def test_holders_with_a_divided_share_do_not_send_together_after_a_pause(clock):
    pacers = [make_pacer(f"h-{number}", 8.0) for number in range(36)]
    rate_share = divide_fallback_share(len(pacers))
    count_requests(clock, pacers, rate_share, 1.0)
    clock.tick(PAUSE_SECONDS + 600.0)
    assert count_requests(clock, pacers, rate_share, 4.0) <= 8.0 * 4


def test_target_with_a_limit_of_zero_gets_requests_that_show_its_end(clock):
    pacer = make_pacer("h", 0.0)
    assert 1 <= count_requests(clock, [pacer], FULL_RATE_SHARE, 4.0) <= 4


def test_withdrawn_limit_does_not_hold_back_requests(clock):
    pacer = make_pacer("h", 1.0)
    count_requests(clock, [pacer], FULL_RATE_SHARE, 2.0)
    pacer.rate_limits.observe("t-1", RateLimit(requests_per_second=None))
    assert count_requests(clock, [pacer], FULL_RATE_SHARE, 1.0) == 20
