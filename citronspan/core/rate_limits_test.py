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
