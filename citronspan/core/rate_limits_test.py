import math

import freezegun
import pytest

from citronspan.core.rate_limits import RateLimit, RateLimitTable


@pytest.fixture
def clock():
    with freezegun.freeze_time("2026-01-01") as frozen:
        yield frozen


def test_late_statement_does_not_replace_a_newer_one(clock):
    table = RateLimitTable()
    table.observe("t-1", RateLimit(requests_per_second=2.0))
    clock.tick(1.0)
    assert table.observe("t-1", RateLimit(requests_per_second=None)).before == 2.0
    assert (
        table.observe("t-1", RateLimit(requests_per_second=2.0, age_seconds=1.0))
        is None
    )
    assert table.find("t-1") is None


def test_repeated_statement_is_not_reported_as_a_change(clock):
    table = RateLimitTable()
    assert table.observe("t-1", RateLimit(requests_per_second=2.0)).after == 2.0
    clock.tick(1.0)
    assert table.observe("t-1", RateLimit(requests_per_second=2.0)) is None


def test_statements_of_removed_targets_do_not_accumulate(clock):
    table = RateLimitTable()
    for number in range(3):
        table.observe(f"t-{number}", RateLimit(requests_per_second=1.0))
    table.retain({"t-1"})
    assert table.count_limited() == 1


@pytest.mark.parametrize("rate", [math.nan, math.inf, -math.inf, -1.0])
def test_impossible_rate_that_a_peer_passes_on_counts(clock, rate):
    table = RateLimitTable()
    assert table.observe("t", RateLimit(requests_per_second=rate)) is None
    assert table.find("t") is None
    assert table.export(["t"]) == {}


@pytest.mark.parametrize("age_seconds", [-60.0, -math.inf, math.nan, math.inf])
def test_statement_of_an_impossible_age_hides_later_ones(clock, age_seconds):
    table = RateLimitTable()
    table.observe("t", RateLimit(requests_per_second=5.0, age_seconds=age_seconds))
    clock.tick(1.0)
    table.observe("t", RateLimit(requests_per_second=2.0))
    assert table.find("t") == 2.0
