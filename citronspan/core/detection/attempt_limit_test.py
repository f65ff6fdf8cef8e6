"""Tests that neither long requests nor hanging targets cost more than they have to."""

import math
import random

import pytest

from citronspan.core.detection.attempt_limit import compute_attempt_seconds
from citronspan.core.detection.latency_distribution import (
    RECENT_SAMPLES,
    LatencyDistribution,
)
from citronspan.core.detection.silence import HANG_SHARE

DEADLINE_SECONDS = 4.0
GOAL_SECONDS = 3.0
LATE_WORTH = 0.1
REQUESTS = 20_000
SAMPLING_ERROR = 0.01
"""Worth that a limit may lose as it is found from ``RECENT_SAMPLES`` latencies."""

PROBABILITIES = (0.0, 0.01, 0.03, 0.1, 0.3, 0.6, 0.9)


def draw_one_peak(draw):
    return math.exp(draw.gauss(math.log(0.57), 0.8))


def draw_two_peaks(draw):
    """Draw a run time of reads of which half need no work."""
    return 0.01 if draw.random() < 0.5 else draw_one_peak(draw)


def compute(
    draw_seconds, failure_probability, deadline_seconds=DEADLINE_SECONDS, seed=3
):
    draw = random.Random(seed)
    latency = LatencyDistribution()
    for _ in range(RECENT_SAMPLES):
        latency.add(draw_seconds(draw))
    return compute_attempt_seconds(
        latency,
        failure_probability,
        goal_seconds=min(GOAL_SECONDS, deadline_seconds),
        deadline_seconds=deadline_seconds,
    )


def replay(draw_seconds, limit_seconds, failure_probability):
    """Return the mean worth of requests that keep their length at each target."""
    draw = random.Random(9)
    worth = 0.0
    for _ in range(REQUESTS):
        seconds = draw_seconds(draw)
        is_hanging = draw.random() < failure_probability * HANG_SHARE
        end = math.inf if is_hanging else seconds
        if end > limit_seconds:
            end = limit_seconds + seconds
        if end <= DEADLINE_SECONDS:
            worth += 1.0 if end <= GOAL_SECONDS else LATE_WORTH
    return worth / REQUESTS


@pytest.mark.parametrize("draw_seconds", [draw_one_peak, draw_two_peaks])
def test_attempt_at_a_healthy_target_is_given_up(draw_seconds):
    limit = compute(draw_seconds, 0.01)
    whole = replay(draw_seconds, DEADLINE_SECONDS, 0.01)
    assert replay(draw_seconds, limit, 0.01) >= whole - SAMPLING_ERROR
    assert limit >= 0.8 * DEADLINE_SECONDS


@pytest.mark.parametrize("draw_seconds", [draw_one_peak, draw_two_peaks])
def test_attempt_at_a_doubtful_target_takes_all_the_time(draw_seconds):
    assert compute(draw_seconds, 0.9) <= 0.75 * DEADLINE_SECONDS


@pytest.mark.parametrize("deadline_seconds", [0.01, 0.2])
def test_attempt_is_given_up_though_no_other_can_end_in_time(deadline_seconds):
    assert compute(draw_one_peak, 0.5, deadline_seconds) == deadline_seconds


@pytest.mark.parametrize("failure_probability", PROBABILITIES)
@pytest.mark.parametrize("draw_seconds", [draw_one_peak, draw_two_peaks])
def test_giving_up_after_half_of_the_time_serves_callers_better(
    draw_seconds, failure_probability
):
    half = replay(draw_seconds, DEADLINE_SECONDS / 2, failure_probability)
    limit = compute(draw_seconds, failure_probability)
    assert replay(draw_seconds, limit, failure_probability) >= half - SAMPLING_ERROR


def test_long_requests_at_healthy_targets_fail():
    half = replay(draw_one_peak, DEADLINE_SECONDS / 2, 0.02)
    limit = compute(draw_one_peak, 0.02)
    assert replay(draw_one_peak, limit, 0.02) > half + 0.02
