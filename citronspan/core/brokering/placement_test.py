"""Tests of the wait limit and of the cost that a waiting request accepts."""

from hypothesis import given, strategies as st

from citronspan.core.brokering.broker_messages import SlotRequest
from citronspan.core.brokering.placement import (
    ACCEPTABLE_COST,
    compute_acceptable_cost,
    compute_wait_limit_seconds,
)

SECONDS = st.floats(0, 10)


def make_request(**fields):
    return SlotRequest(
        attempt_id=1, service="s", region="r", shard=0, deadline_seconds=3.0, **fields
    )


@given(goal_seconds=SECONDS, service_seconds=SECONDS, has_other_region=st.booleans())
def test_wait_limit_leaves_time_to_run_the_request(
    goal_seconds, service_seconds, has_other_region
):
    request = make_request(goal_seconds=goal_seconds, has_other_region=has_other_region)
    wait_limit = compute_wait_limit_seconds(request, service_seconds)
    assert wait_limit >= 0
    assert wait_limit == 0 or wait_limit + service_seconds <= goal_seconds + 1e-9


@given(wait_limit=st.floats(0.01, 10), first_wait=SECONDS, second_wait=SECONDS)
def test_acceptable_cost_rises_with_waiting_time(wait_limit, first_wait, second_wait):
    request = make_request()
    shorter, longer = sorted([first_wait, second_wait])
    shorter_cost = compute_acceptable_cost(request, shorter, wait_limit)
    longer_cost = compute_acceptable_cost(request, longer, wait_limit)
    assert ACCEPTABLE_COST <= shorter_cost <= longer_cost
    assert compute_acceptable_cost(request, wait_limit, wait_limit) == float("inf")


@given(wait_limit=SECONDS, waited_seconds=SECONDS)
def test_acceptable_cost_stays_low_if_another_region_is_involved(
    wait_limit, waited_seconds
):
    for fields in ({"has_other_region": True}, {"from_region": "far"}):
        request = make_request(**fields)
        assert (
            compute_acceptable_cost(request, waited_seconds, wait_limit)
            == ACCEPTABLE_COST
        )
