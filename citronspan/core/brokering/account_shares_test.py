"""Tests what accounts weigh where some of them state a weight."""

import pytest

from citronspan.core.brokering.account_shares import AccountShares


def make_shares(usual_seconds_by_name, weight_by_name):
    shares = AccountShares()
    shares.advance(0.0)
    for name, weight in weight_by_name.items():
        shares.state_weight(name, weight)
    for name, seconds in usual_seconds_by_name.items():
        shares.charge(name, seconds, is_contended=False)
    return shares


@pytest.mark.parametrize("seconds", [0.0, 400.0])
def test_usual_load_counts_as_the_limits_of_others_do(seconds):
    shares = make_shares({"a": 1.0, "b": 3.0, "c": 6.0}, {"a": 20.0, "b": 60.0})
    shares.advance(seconds)
    assert shares.find_weight("a") == 20.0
    assert shares.find_weight("c") == pytest.approx(120.0)
    # An account of few requests weighs the mean.
    assert shares.find_weight("d") == pytest.approx(40.0)


def test_requests_without_an_account_weigh_as_all_others_until_a_load_is_known():
    shares = make_shares({}, {"a": 20.0, "b": 60.0})
    assert (shares.find_weight(""), shares.find_weight("c")) == (80.0, 40.0)
    shares = make_shares({"a": 1.0, "b": 1.0, "": 3.0}, {"a": 20.0, "b": 60.0})
    assert shares.find_weight("") == pytest.approx(120.0)


def test_account_that_gets_a_limit_or_loses_it_takes_its_usual_load_along():
    shares = make_shares({"a": 1.0, "b": 3.0}, {"a": 20.0})
    assert shares.find_weight("b") == pytest.approx(60.0)
    shares.state_weight("b", 30.0)
    shares.state_weight("a", 0.0)
    assert shares.find_weight("b") == 30.0
    assert shares.find_weight("a") == pytest.approx(30.0)
    shares.state_weight("b", 0.0)
    assert shares.find_weight("b") == pytest.approx(1.5)
