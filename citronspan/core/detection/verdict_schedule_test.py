"""Tests that verdicts reach all entries in time without a burst of sends."""

import pytest

from citronspan.core.detection.verdict_schedule import (
    MAXIMUM_INTERVAL_SECONDS,
    MINIMUM_INTERVAL_SECONDS,
    SENDS_PER_SECOND,
    VerdictSchedule,
    compute_interval_seconds,
    select_verdicts,
)
from citronspan.core.detection.verdicts import VERDICT_TTL_SECONDS, Verdict

STEP_SECONDS = 0.1
RUN_SECONDS = 40.0
BURST_FACTOR = 2


def make_addresses(count):
    return [f"10.0.{number // 250}.{number % 250}:7400" for number in range(count)]


def run_schedule(count, successors=()):
    """Return the addresses that were due, by step."""
    schedule = VerdictSchedule()
    addresses = make_addresses(count)
    steps = round(RUN_SECONDS / STEP_SECONDS)
    return [
        schedule.list_due(addresses, set(successors), step * STEP_SECONDS)
        for step in range(steps)
    ]


@pytest.mark.parametrize("count", [17, 55, 146, 235])
def test_broker_sends_to_all_entries_at_once(count):
    due_by_step = run_schedule(count)
    mean = count * STEP_SECONDS / compute_interval_seconds(count)
    assert max(len(due) for due in due_by_step) <= max(BURST_FACTOR * mean, 1.0)


@pytest.mark.parametrize("count", [17, 55, 146, 235])
def test_verdict_expires_before_it_is_renewed(count):
    due_by_step = run_schedule(count)
    for address in make_addresses(count):
        times = [
            step * STEP_SECONDS
            for step, due in enumerate(due_by_step)
            if address in due
        ]
        assert times[0] <= MAXIMUM_INTERVAL_SECONDS + STEP_SECONDS
        gaps = [later - at for at, later in zip(times, times[1:], strict=False)]
        assert max(gaps) < VERDICT_TTL_SECONDS - STEP_SECONDS


def test_successor_of_a_broker_knows_less_than_it_did():
    successor = make_addresses(146)[7]
    due_by_step = run_schedule(146, successors=[successor])
    pushes = sum(successor in due for due in due_by_step)
    assert pushes >= RUN_SECONDS / (MINIMUM_INTERVAL_SECONDS + STEP_SECONDS) - 1


def test_small_fleet_hears_of_failures_later_than_in_a_second():
    assert compute_interval_seconds(30) == MINIMUM_INTERVAL_SECONDS
    assert compute_interval_seconds(2 * SENDS_PER_SECOND) == 2.0


def test_entry_that_left_is_kept_and_one_that_came_is_left_out():
    schedule = VerdictSchedule()
    schedule.list_due(["a", "b"], set(), 0.0)
    seen = set()
    for step in range(30):
        seen.update(schedule.list_due(["b", "c"], set(), step * STEP_SECONDS))
    assert seen == {"b", "c"}


def make_verdict(target, state, age_seconds):
    return Verdict(
        target=target,
        address="10.0.9.1:80",
        issuer="n",
        issuer_incarnation=1,
        sequence=1,
        state=state,
        age_seconds=age_seconds,
    )


def test_cleared_target_stays_ejected_where_its_last_verdict_was_sent():
    verdicts = [
        make_verdict("gone-bad", "ejected", 100.0),
        make_verdict("cleared", "healthy", 6.0),
        make_verdict("long-healthy", "healthy", 100.0),
    ]
    names = [verdict.target for verdict in select_verdicts(verdicts, 4.0)]
    assert names == ["gone-bad", "cleared"]
