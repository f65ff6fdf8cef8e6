"""A broker's retries stay within ratio and slack over every window."""

import freezegun
from hypothesis import given, strategies as st

from citronspan.core.retry_window import RetryWindow

STEPS = st.lists(
    st.tuples(st.sampled_from(["request", "retry", "wait"]), st.floats(0.01, 3.0)),
    max_size=300,
)


@given(STEPS)
def test_no_window_holds_more_than_its_part(steps):
    with freezegun.freeze_time("2026-01-01") as clock:
        window = RetryWindow(ratio=0.2, slack=20, window_seconds=10.0)
        now = 0.0
        requests, retries = [], []
        for kind, seconds in steps:
            if kind == "wait":
                clock.tick(seconds)
                now += seconds
                continue
            if kind == "request":
                window.count_request()
                requests.append(now)
                continue
            if window.spend():
                retries.append(now)
        for end in retries:
            start = end - 9.4
            spent = sum(start < at <= end for at in retries)
            earned = sum(end - 10.5 < at <= end for at in requests)
            assert spent <= 0.2 * earned + 20


def test_slack_is_given_out_in_part_and_comes_back():
    with freezegun.freeze_time("2026-01-01") as clock:
        window = RetryWindow(ratio=0.2, slack=20, window_seconds=10.0)
        assert sum(window.spend() for _ in range(50)) == 8
        clock.tick(10.6)
        assert window.spend()
