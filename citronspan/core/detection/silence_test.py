"""Tests that attempts without an answer are evidence by the time that they took."""

import math
import random

import freezegun
import pytest

from citronspan.core.detection.episode_health_test import (
    find_failure_probability,
    make_health,
    make_targets,
    observe,
)
from citronspan.core.detection.latency_distribution import (
    RECENT_SAMPLES,
    LatencyDistribution,
)
from citronspan.core.detection.latency_distribution_test import make_distribution
from citronspan.core.detection.silence import compute_silence_ratio
from citronspan.core.outcomes import OutcomeClass

MEDIAN_SECONDS, DEVIATION = 0.6, 0.8
ROUTE_TIMEOUT_SECONDS = 5.0


def make_trained_health():
    health = make_health()
    draw = random.Random(1)
    for number in range(400):
        target = make_targets()[number % 5].name
        seconds = math.exp(draw.gauss(math.log(MEDIAN_SECONDS), DEVIATION))
        observe(health, target, OutcomeClass.OK, seconds)
    return health


def test_short_silence_counts_like_a_long_one():
    distribution = make_distribution(math.log(MEDIAN_SECONDS), DEVIATION)
    assert compute_silence_ratio(distribution, 0.1) < 1.1
    assert compute_silence_ratio(distribution, 2.5) > 5
    assert compute_silence_ratio(distribution, ROUTE_TIMEOUT_SECONDS) > 20


def test_silence_of_an_unknown_kind_is_evidence():
    assert compute_silence_ratio(LatencyDistribution(), 100.0) == 1.0


@pytest.mark.parametrize(
    "outcome_class", [OutcomeClass.TIMED_OUT, OutcomeClass.CANCELLED]
)
def test_hang_of_a_kind_with_wide_latencies_leaves_no_evidence(outcome_class):
    with freezegun.freeze_time("2026-01-01"):
        health = make_trained_health()
        before = find_failure_probability(health, "t-0")
        observe(health, "t-0", outcome_class, ROUTE_TIMEOUT_SECONDS)
        assert find_failure_probability(health, "t-0") > 10 * before
        observe(health, "t-0", outcome_class, ROUTE_TIMEOUT_SECONDS)
        assert find_failure_probability(health, "t-0") > 0.5


def test_long_requests_at_all_targets_make_them_suspect():
    with freezegun.freeze_time("2026-01-01") as clock:
        health = make_trained_health()
        suspected = 0
        for _ in range(40):
            for number in range(5):
                name = f"t-{number}"
                observe(health, name, OutcomeClass.TIMED_OUT, ROUTE_TIMEOUT_SECONDS)
                for _ in range(20):
                    clock.tick(0.1)
                    observe(health, name, OutcomeClass.OK, 0.09)
            suspected += sum(
                find_failure_probability(health, f"t-{number}") >= 0.5
                for number in range(5)
            )
        assert suspected < 20


def test_request_that_was_given_up_early_counts_like_one_that_hung():
    with freezegun.freeze_time("2026-01-01"):
        health = make_trained_health()
        before = find_failure_probability(health, "t-0")
        observe(health, "t-0", OutcomeClass.TIMED_OUT, MEDIAN_SECONDS / 4)
        assert find_failure_probability(health, "t-0") < 1.5 * before


def test_first_hang_after_a_start_leaves_no_evidence():
    with freezegun.freeze_time("2026-01-01"):
        health = make_health()
        before = find_failure_probability(health, "t-0")
        observe(health, "t-0", OutcomeClass.TIMED_OUT, ROUTE_TIMEOUT_SECONDS)
        assert find_failure_probability(health, "t-0") > 2 * before


def test_callers_that_leave_early_shorten_the_known_latencies():
    with freezegun.freeze_time("2026-01-01"):
        health = make_trained_health()
        limits = []
        for _ in range(2):
            limit = health.find_attempt_seconds(
                "t-4", "", goal_seconds=3.0, deadline_seconds=4.0
            )
            limits.append(limit)
            for number in range(RECENT_SAMPLES):
                name = f"t-{number % 4}"
                observe(health, name, OutcomeClass.CANCELLED, 0.001)
        assert limits[0] == limits[1]
        observe(health, "t-3", OutcomeClass.CANCELLED, ROUTE_TIMEOUT_SECONDS)
        assert find_failure_probability(health, "t-3") > 0.1
