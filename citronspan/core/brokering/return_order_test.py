"""Tests of the times at which refused callers may come back."""

import pytest
from hypothesis import given, settings, strategies as st

from citronspan.core.brokering.return_order import (
    RETURN_SHARE,
    ReturnLine,
)
from citronspan.core.return_times import CALLER_WAIT_SHARE, spread_evenly

INTERVAL_SECONDS = 0.01
STEP_SECONDS = INTERVAL_SECONDS / RETURN_SHARE


def reserve(line, *, account="", weight=1.0, remaining=30.0, now=0.0, earliest=0.2):
    return line.reserve_seconds(
        account=account,
        weight=weight,
        earliest_seconds=earliest,
        slot_interval_seconds=INTERVAL_SECONDS,
        remaining_seconds=remaining,
        now=now,
    )


def test_refusals_of_a_moment_come_back_one_behind_the_other():
    line = ReturnLine()
    times = [reserve(line) for _ in range(100)]
    assert times == pytest.approx([0.2 + STEP_SECONDS * n for n in range(100)])
    assert line.placed_count == 99


def test_refusals_that_are_few_are_told_what_they_were_before():
    line = ReturnLine()
    for number in range(20):
        earliest = 0.2 + 0.001 * number
        assert reserve(line, now=0.3 * number, earliest=earliest) == earliest
    assert line.placed_count == 0


def test_callers_without_time_for_a_place_are_spread():
    line = ReturnLine()
    times = [reserve(line, remaining=3.0) for _ in range(200)]
    assert max(times) <= 3.0 * CALLER_WAIT_SHARE
    spread = sorted(times[-line.spread_count :])
    assert len(spread) > 100
    gaps = [later - earlier for earlier, later in zip(spread, spread[1:], strict=False)]
    assert max(gaps) < 3 * (1.0 - 0.2) / len(spread)
    # Others with more time still get the next place.
    assert reserve(line, remaining=30.0) == pytest.approx(1.0, abs=2 * STEP_SECONDS)


def test_callers_of_one_account_do_not_go_behind_those_of_another():
    line = ReturnLine()
    for _ in range(200):
        reserve(line, account="hot")
    calm = [reserve(line, account="calm") for _ in range(3)]
    assert calm == pytest.approx([0.2 + 2 * STEP_SECONDS * n for n in range(3)])
    heavy = [reserve(line, account="heavy", weight=2.0) for _ in range(3)]
    assert heavy == pytest.approx([0.2 + 2 * STEP_SECONDS * n for n in range(3)])


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["", "a", "b"]),
            st.floats(0.01, 100.0),
            st.floats(0.0, 30.0),
            st.floats(0.0, 2.0),
        ),
        max_size=60,
    )
)
def test_no_caller_is_told_a_time_that_it_can_not_use(steps):
    line, now = ReturnLine(), 0.0
    for account, weight, remaining, pause in steps:
        now += pause
        seconds = reserve(
            line, account=account, weight=weight, remaining=remaining, now=now
        )
        assert seconds >= 0.2
        assert seconds <= max(0.2, CALLER_WAIT_SHARE * remaining) + 1e-9


def test_spread_covers_its_span():
    values = sorted(spread_evenly(number, 1.0, 3.0) for number in range(50))
    assert values[0] >= 1.0 and values[-1] <= 3.0
    gaps = [later - earlier for earlier, later in zip(values, values[1:], strict=False)]
    assert max(gaps) < 0.12
