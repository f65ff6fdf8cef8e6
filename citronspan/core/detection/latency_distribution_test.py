"""Tests that latencies are judged by what answers of their kind take."""

import math
import random

import pytest
from hypothesis import given, strategies as st

from citronspan.core.detection.latency_distribution import (
    RECENT_SAMPLES,
    LatencyDistribution,
)


def make_distribution(mean_log=-0.5, deviation=0.8, count=RECENT_SAMPLES):
    draw = random.Random(3)
    distribution = LatencyDistribution()
    for _ in range(count):
        distribution.add(math.exp(draw.gauss(mean_log, deviation)))
    return distribution


@pytest.mark.parametrize(
    ("seconds", "survival"), [(0.6065, 0.5), (1.69, 0.1), (3.9, 0.01)]
)
def test_share_of_longer_answers_is_misjudged(seconds, survival):
    found = make_distribution().find_survival(seconds)
    assert found == pytest.approx(survival, rel=0.6)


def test_share_of_longer_answers_is_misjudged_where_latencies_have_two_peaks():
    distribution = LatencyDistribution()
    for number in range(RECENT_SAMPLES):
        distribution.add(0.01 if number % 2 else 1.0 + number / 1000)
    assert distribution.find_survival(0.1) == pytest.approx(0.5, abs=0.02)
    assert distribution.find_seconds(0.3) > 1.0


@given(
    st.lists(st.floats(0.001, 9.0), min_size=20, max_size=300), st.floats(0.001, 1.0)
)
def test_more_answers_than_a_share_exceed_its_latency(latencies, survival):
    distribution = LatencyDistribution()
    for seconds in latencies:
        distribution.add(seconds)
    seconds = distribution.find_seconds(survival)
    recent = latencies[-RECENT_SAMPLES:]
    longer = sum(latency > seconds for latency in recent)
    assert longer <= survival * (len(recent) + 1)


def test_latencies_of_long_ago_count():
    distribution = make_distribution()
    for _ in range(RECENT_SAMPLES):
        distribution.add(8.0)
    assert distribution.find_survival(8.0) == 1.0


def test_few_samples_judge_a_latency():
    distribution = LatencyDistribution()
    for _ in range(LatencyDistribution.MINIMUM_SAMPLES - 1):
        distribution.add(0.1)
    assert not distribution.is_known
    assert distribution.find_survival(100.0) == 1.0
    assert distribution.find_seconds(0.1) == math.inf
    assert distribution.find_overdue_seconds() == math.inf


def test_very_late_answer_is_taken_for_impossible():
    distribution = make_distribution()
    assert distribution.find_survival(1e6) == 1 / (RECENT_SAMPLES + 1)
    assert distribution.find_seconds(1 / (RECENT_SAMPLES + 2)) == math.inf
