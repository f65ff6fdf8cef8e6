"""How long a request waits for a better target, and what it takes meanwhile."""

from hypothesis import given, strategies as st

from citronspan.core.broker_messages import SlotRequest
from citronspan.core.placement import (
    ACCEPTABLE_COST,
    compute_wait_limit_seconds,
    find_acceptable_cost,
)

SECONDS = st.floats(0, 10)


def make_request(**fields):
    return SlotRequest(
        attempt_id=1, service="s", region="r", shard=0, deadline_seconds=3.0, **fields
    )


@given(goal=SECONDS, need=SECONDS, has_other_region=st.booleans())
def test_patience_leaves_the_time_that_the_request_needs(goal, need, has_other_region):
    request = make_request(goal_seconds=goal, has_other_region=has_other_region)
    patience = compute_wait_limit_seconds(request, need)
    assert patience >= 0
    assert patience == 0 or patience + need <= goal + 1e-9


@given(patience=st.floats(0.01, 10), first=SECONDS, second=SECONDS)
def test_the_longer_a_request_waits_the_more_it_takes(patience, first, second):
    request = make_request()
    before, after = sorted([first, second])
    cost_before = find_acceptable_cost(request, before, patience)
    cost_after = find_acceptable_cost(request, after, patience)
    assert ACCEPTABLE_COST <= cost_before <= cost_after
    assert find_acceptable_cost(request, patience, patience) == float("inf")


@given(patience=SECONDS, waited=SECONDS)
def test_who_may_go_elsewhere_or_comes_from_there_takes_no_doubted_target(
    patience, waited
):
    for fields in ({"has_other_region": True}, {"from_region": "far"}):
        request = make_request(**fields)
        assert find_acceptable_cost(request, waited, patience) == ACCEPTABLE_COST
