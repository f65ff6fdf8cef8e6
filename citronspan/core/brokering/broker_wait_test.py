"""Tests that a request neither gives up a slow broker nor waits long for a lost one."""

import pytest
from hypothesis import given, strategies as st

from citronspan.core.brokering.broker_wait import (
    MAXIMUM_WAIT_FACTOR,
    WAIT_SHARE,
    compute_broker_wait_seconds,
)

LEAST_SECONDS = 0.05


@pytest.mark.parametrize(
    ("goal_seconds", "deadline_seconds", "expected"),
    [(3.0, 6.0, 0.2), (0.8, 1.5, 0.08), (0.0, 1.0, 0.1), (0.2, 5.0, 0.05)],
)
def test_wait_does_not_follow_what_a_request_can_spare(
    goal_seconds, deadline_seconds, expected
):
    wait = compute_broker_wait_seconds(LEAST_SECONDS, goal_seconds, deadline_seconds)
    assert wait == pytest.approx(expected)


@given(st.floats(0, 100), st.floats(0.001, 100))
def test_lost_broker_costs_a_request_more_than_a_tenth_of_its_time(
    goal_seconds, deadline_seconds
):
    wait = compute_broker_wait_seconds(LEAST_SECONDS, goal_seconds, deadline_seconds)
    assert LEAST_SECONDS <= wait <= MAXIMUM_WAIT_FACTOR * LEAST_SECONDS
    time_left = goal_seconds or deadline_seconds
    assert wait <= max(LEAST_SECONDS, WAIT_SHARE * time_left)
