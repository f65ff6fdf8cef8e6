"""Tests that a message which was held up does not count as one that came at once."""

from hypothesis import given, strategies as st

from citronspan.core.configuration.transit_times import (
    ASSUMED_TRANSIT_SECONDS,
    MAXIMUM_CLOCK_DRIFT,
    SendTime,
    TransitTimes,
)

SENDER = "10.0.0.1:7401"
OTHER = "10.0.0.2:7401"
ROUNDING_SECONDS = 1e-3


@given(
    offset_seconds=st.floats(-1e6, 1e6),
    drift=st.floats(-MAXIMUM_CLOCK_DRIFT / 2, MAXIMUM_CLOCK_DRIFT / 2),
    transits=st.lists(st.floats(0.0005, 20.0), min_size=1, max_size=30),
    pause_seconds=st.floats(0.0, 3600.0),
)
def test_time_on_the_way_is_underestimated(
    offset_seconds, drift, transits, pause_seconds
):
    transit_times = TransitTimes()
    sent_at = 0.0
    # The first message is one that is not held up.
    for transit_seconds in (0.0005, *transits):
        sent = SendTime(clock=1, seconds=offset_seconds + sent_at * (1 + drift))
        now = sent_at + transit_seconds
        estimate = transit_times.estimate_seconds(SENDER, sent, now)
        allowance = MAXIMUM_CLOCK_DRIFT * 2 * now + ROUNDING_SECONDS
        assert estimate >= transit_seconds - allowance
        assert estimate <= transit_seconds + ASSUMED_TRANSIT_SECONDS + allowance
        sent_at += pause_seconds / 10


def test_restarted_sender_counts_as_held_up():
    transit_times = TransitTimes()
    before = SendTime(clock=1, seconds=50_000.0)
    transit_times.estimate_seconds(SENDER, before, 100.0)
    after = SendTime(clock=2, seconds=3.0)
    assert (
        transit_times.estimate_seconds(SENDER, after, 101.0) == ASSUMED_TRANSIT_SECONDS
    )
    late = transit_times.estimate_seconds(SENDER, after, 105.0)
    assert late > 4.0


def test_senders_that_left_are_kept_for_ever():
    transit_times = TransitTimes()
    sent = SendTime(clock=1, seconds=5.0)
    transit_times.estimate_seconds(SENDER, sent, 5.0)
    transit_times.retain([OTHER])
    # What is forgotten counts as a first message again.
    assert transit_times.estimate_seconds(SENDER, sent, 9.0) == ASSUMED_TRANSIT_SECONDS


def test_sender_that_states_no_time_is_distrusted():
    transit_times = TransitTimes()
    for now in (1.0, 9.0):
        assert (
            transit_times.estimate_seconds(SENDER, None, now) == ASSUMED_TRANSIT_SECONDS
        )
