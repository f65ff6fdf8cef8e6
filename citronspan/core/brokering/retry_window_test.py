"""Tests of the retry limit of one broker over sliding windows."""

import freezegun
from hypothesis import given, strategies as st

from citronspan.core.brokering.broker_limits import RetryLimits
from citronspan.core.brokering.retry_window import RetryWindow

STEPS = st.lists(
    st.tuples(st.sampled_from(["request", "retry", "wait"]), st.floats(0.01, 3.0)),
    max_size=300,
)


@given(STEPS)
def test_retries_in_any_window_stay_within_ratio_and_slack(steps):
    with freezegun.freeze_time("2026-01-01") as clock:
        window = make_window()
        now = 0.0
        request_times, retry_times = [], []
        for kind, seconds in steps:
            if kind == "wait":
                clock.tick(seconds)
                now += seconds
                continue
            if kind == "request":
                window.count_request()
                request_times.append(now)
                continue
            if window.allows_retry():
                window.count_retry()
                retry_times.append(now)
        for end in retry_times:
            start = end - 9.4
            retry_count = sum(start < time <= end for time in retry_times)
            request_count = sum(end - 10.5 < time <= end for time in request_times)
            assert retry_count <= 0.2 * request_count + 20


def make_window():
    return RetryWindow(
        ratio=0.2,
        slack=20,
        window_seconds=10.0,
        count_possible_brokers=lambda: 4,
    )


def count_allowed_retries(window):
    count = 0
    while window.allows_retry():
        window.count_retry()
        count += 1
    return count


def test_part_of_slack_is_usable_and_is_restored_after_the_window():
    with freezegun.freeze_time("2026-01-01") as clock:
        window = make_window()
        assert count_allowed_retries(window) == 2
        clock.tick(10.6)
        assert count_allowed_retries(window) == 8
        clock.tick(10.6)
        assert count_allowed_retries(window) == 8


def test_larger_slack_holds_after_one_window():
    """Brokers that the change removed may have granted their share of it."""
    with freezegun.freeze_time("2026-01-01") as clock:
        window = make_window()
        clock.tick(10.6)
        assert count_allowed_retries(window) == 8
        window.set_limits(RetryLimits(ratio=0.2, slack=40, window_seconds=10.0))
        assert count_allowed_retries(window) == 0
        clock.tick(10.6)
        assert count_allowed_retries(window) == 16


def test_window_of_another_length_begins_without_slack():
    """What it granted in the window before counts in no bucket of the new one."""
    with freezegun.freeze_time("2026-01-01") as clock:
        window = make_window()
        clock.tick(10.6)
        assert count_allowed_retries(window) == 8
        window.set_limits(RetryLimits(ratio=0.2, slack=20, window_seconds=5.0))
        assert count_allowed_retries(window) == 0
        clock.tick(5.3)
        assert count_allowed_retries(window) == 8
