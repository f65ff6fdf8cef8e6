"""Tests the order of requests by account and route."""

from citronspan.core.accounts.ranks import compute_worth

ROUTE_WORTHS = tuple(1 / (1 + priority) for priority in range(4))


def test_rank_of_the_account_goes_before_the_route():
    by_rank = [
        [compute_worth(worth, rank) for worth in ROUTE_WORTHS] for rank in (0, 1, 5)
    ]
    flat = [worth for worths in by_rank for worth in worths]
    assert flat == sorted(flat, reverse=True)
    assert len(set(flat)) == len(flat)


def test_route_of_great_worth_stays_within_the_rank():
    assert compute_worth(9.0, 1) < compute_worth(0.01, 0)


def test_without_a_rank_the_route_alone_decides():
    assert compute_worth(9.0, None) == 9.0
