"""Tests the decision whether a request can still end well in a stop."""

import time

import freezegun
import pytest
from hypothesis import example, given, strategies as st

from citronspan.core.requests.stop_plan import (
    MINIMUM_ATTEMPTS,
    UNBOUNDED_WORK_SECONDS,
    UNDER_WAY_SECONDS,
    StopPlan,
    WorkKind,
)

KIND = WorkKind(service="s", request_kind="k", is_streamed=False)
STOP_SECONDS = 5.6
MARGIN_SECONDS = 0.4
"""Part of the grace that a host keeps to end by itself."""

EARLY_SECONDS = 3.0
"""A request that is sent by then may still run in the last sixth of the grace."""

SECONDS = st.floats(0.0, 12.0)


def is_too_late(plan, deadline, received_at, *, is_whole=True):
    """Return whether a request is too late that came whole or only with its head."""
    whole_at = received_at if is_whole else None
    return plan.is_too_late(KIND, deadline, received_at=received_at, whole_at=whole_at)


def is_excused(last_byte_at, work_ends_at, grace_seconds):
    return last_byte_at <= EARLY_SECONDS and work_ends_at >= grace_seconds * 5 / 6


@given(
    grace_seconds=st.floats(4.0, 30.0),
    times=st.lists(SECONDS, min_size=MINIMUM_ATTEMPTS, max_size=30),
    work=SECONDS,
    is_known=st.booleans(),
    head_at=st.floats(-2.0, 10.0),
    reading=st.floats(0.0, 4.0),
    waiting=st.floats(0.0, 4.0),
    allowed=st.floats(0.1, 40.0),
)
@example(
    grace_seconds=10.0,
    times=[0.7] * MINIMUM_ATTEMPTS,
    work=7.2,
    is_known=True,
    head_at=3.6,
    reading=0.0,
    waiting=0.0,
    allowed=8.0,
)
def test_request_is_passed_on_that_the_end_of_a_stop_cuts(
    grace_seconds, times, work, is_known, head_at, reading, waiting, allowed
):
    """No earlier request says how long one works that comes late in a stop."""
    last_byte_at = head_at + reading
    granted_at = last_byte_at + waiting
    with freezegun.freeze_time("2026-01-01") as clock:
        plan = StopPlan()
        for seconds in times if is_known else ():
            plan.observe(KIND, seconds)
        clock.tick(10.0)
        stopped_at = time.monotonic()
        deadline = stopped_at + head_at + allowed
        received_at = stopped_at + head_at
        whole_at = stopped_at + last_byte_at
        if granted_at < 0:
            assert not plan.is_too_late(
                KIND, deadline, received_at=received_at, whole_at=whole_at
            )
            return
        plan.begin(grace_seconds - MARGIN_SECONDS)
        clock.tick(granted_at)
        if plan.is_too_late(KIND, deadline, received_at=received_at, whole_at=whole_at):
            return
        planned_end = plan.find_planned_end() - stopped_at
    work_ends_at = granted_at + work
    assert (
        work_ends_at <= planned_end
        or head_at + allowed <= planned_end
        or is_excused(last_byte_at, work_ends_at, grace_seconds)
    )


def test_second_signal_moves_the_end_of_a_stop():
    with freezegun.freeze_time("2026-01-01") as clock:
        plan = StopPlan()
        plan.begin(STOP_SECONDS)
        end = plan.find_end()
        clock.tick(3.0)
        plan.begin(STOP_SECONDS)
        assert plan.find_end() == end


def test_requests_of_a_mostly_fast_kind_are_refused_at_the_begin_of_a_stop():
    with freezegun.freeze_time("2026-01-01") as clock:
        plan = StopPlan()
        for seconds in (*[0.1] * 30, 9.0):
            plan.observe(KIND, seconds)
        plan.begin(STOP_SECONDS)
        whole_at = time.monotonic()
        deadline = whole_at + 20.0
        clock.tick(1.0)
        assert not is_too_late(plan, deadline, whole_at)
        clock.tick(2.0)
        assert is_too_late(plan, deadline, whole_at)


def test_late_request_that_its_deadline_ends_in_time_is_refused():
    with freezegun.freeze_time("2026-01-01") as clock:
        plan = StopPlan()
        plan.begin(STOP_SECONDS)
        clock.tick(5.0)
        now = time.monotonic()
        assert not is_too_late(plan, plan.find_planned_end(), now)
        assert is_too_late(plan, plan.find_planned_end() + 0.1, now)


@given(shortest_seconds=st.floats(0.1, 40.0), stop_seconds=st.floats(0.5, 30.0))
def test_host_goes_on_to_accept_what_it_will_refuse(shortest_seconds, stop_seconds):
    """Callers whose connection is refused ask another host at once."""
    with freezegun.freeze_time("2026-01-01") as clock:
        plan = StopPlan()
        plan.begin(stop_seconds)
        last_arrival = plan.find_last_arrival(shortest_seconds)
        before = last_arrival - 0.001
        if before + shortest_seconds < plan.find_planned_end():
            assert not is_too_late(plan, before + shortest_seconds, before)
        clock.tick(last_arrival - time.monotonic() + 0.001)
        now = time.monotonic()
        assert is_too_late(plan, now + shortest_seconds, now)


def test_request_that_will_be_refused_is_read_to_the_end_of_a_stop():
    """It is told at once that it comes too late, while another host has time for it."""
    plan = StopPlan()
    plan.begin(STOP_SECONDS)
    last_end = plan.find_planned_end()
    read_end = plan.find_begin() + UNBOUNDED_WORK_SECONDS
    assert plan.find_read_end(last_end + 0.1) == read_end
    assert plan.find_read_end(last_end) == last_end
    assert plan.find_read_end(None) == last_end


def test_upload_is_passed_on_whose_last_byte_may_come_too_late():
    """A large upload gets its slot before its body, in time for a long stop or not."""
    with freezegun.freeze_time("2026-01-01") as clock:
        plan = StopPlan()
        deadline = time.monotonic() + 2 * STOP_SECONDS
        assert not is_too_late(plan, deadline, time.monotonic(), is_whole=False)
        plan.begin(STOP_SECONDS)
        clock.tick(UNDER_WAY_SECONDS + 0.1)
        at = time.monotonic()
        assert is_too_late(plan, deadline, at, is_whole=False)
        assert not is_too_late(plan, plan.find_planned_end(), at, is_whole=False)


@pytest.mark.parametrize("came_after_seconds", [-0.1, 0.1])
def test_large_upload_under_way_at_the_begin_of_a_stop_is_refused(came_after_seconds):
    """Its caller has sent a part already; it goes on while it usually ends in time."""
    with freezegun.freeze_time("2026-01-01") as clock:
        plan = StopPlan()
        clock.tick(0.1)
        at = time.monotonic() + came_after_seconds
        deadline = at + 2 * STOP_SECONDS
        plan.begin(STOP_SECONDS)
        clock.tick(1.0)
        assert not is_too_late(plan, deadline, at, is_whole=False)
        clock.tick(STOP_SECONDS / 2)
        assert is_too_late(plan, deadline, at, is_whole=False)
