"""Tests the decision whether a request can still end well in a stop."""

import time

import freezegun
from hypothesis import given, strategies as st

from citronspan.core.requests.stop_plan import MINIMUM_ATTEMPTS, StopPlan, WorkKind

KIND = WorkKind(service="s", request_kind="k", is_streamed=False)
STOP_SECONDS = 5.6
MARGIN_SECONDS = 0.4
"""Part of the grace that a host keeps to end by itself."""

EARLY_SECONDS = 3.0
"""A request that is sent by then may still run in the last sixth of the grace."""

SECONDS = st.floats(0.0, 12.0)


def is_excused(last_byte_at, work_ends_at, grace_seconds):
    return last_byte_at <= EARLY_SECONDS and work_ends_at >= grace_seconds * 5 / 6


@given(
    grace_seconds=st.floats(4.0, 30.0),
    times=st.lists(SECONDS, min_size=MINIMUM_ATTEMPTS, max_size=30),
    choice=st.integers(0, 29),
    is_known=st.booleans(),
    head_at=st.floats(-2.0, 10.0),
    reading=st.floats(0.0, 4.0),
    waiting=st.floats(0.0, 4.0),
    allowed=st.floats(0.1, 40.0),
)
def test_request_is_passed_on_that_the_end_of_a_stop_cuts(
    grace_seconds, times, choice, is_known, head_at, reading, waiting, allowed
):
    work = times[choice % len(times)]
    last_byte_at = head_at + reading
    granted_at = last_byte_at + waiting
    with freezegun.freeze_time("2026-01-01") as clock:
        plan = StopPlan()
        for seconds in times if is_known else ():
            plan.observe(KIND, seconds)
        clock.tick(10.0)
        stopped_at = time.monotonic()
        deadline = stopped_at + head_at + allowed
        if granted_at < 0:
            assert not plan.is_too_late(KIND, deadline)
            return
        plan.begin(grace_seconds - MARGIN_SECONDS)
        clock.tick(granted_at)
        if plan.is_too_late(KIND, deadline):
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
        deadline = time.monotonic() + 20.0
        clock.tick(1.0)
        assert not plan.is_too_late(KIND, deadline)
        clock.tick(2.0)
        assert plan.is_too_late(KIND, deadline)
