"""Tests of the decisions on the two attempts of a hedged request."""

import pytest

from citronspan.core.outcomes import OutcomeClass
from citronspan.core.requests.hedging import (
    AttemptRole,
    HedgeRace,
    judge_ended,
    may_hedge,
)

HEDGEABLE = {
    "hedge_seconds": 0.2,
    "idempotent": True,
    "is_buffered": True,
    "tried_targets": 1,
    "maximum_attempts": 2,
}


@pytest.mark.parametrize(
    "change",
    [
        {"hedge_seconds": 0.0},
        {"idempotent": False},
        {"is_buffered": False},
        {"tried_targets": 2},
        {"maximum_attempts": 1},
    ],
)
def test_only_a_first_attempt_that_may_be_repeated_is_hedged(change):
    assert may_hedge(**HEDGEABLE)
    assert not may_hedge(**{**HEDGEABLE, **change})


@pytest.mark.parametrize("first", list(AttemptRole))
def test_first_good_answer_wins_and_stays_the_winner(first):
    race = HedgeRace()
    (other,) = set(AttemptRole) - {first}
    assert race.claim(first)
    assert not race.claim(other)
    assert race.claim(first)
    assert race.winner is first


@pytest.mark.parametrize("outcome_class", list(OutcomeClass))
def test_only_a_connection_that_was_ended_here_counts_as_cancelled(outcome_class):
    assert judge_ended(outcome_class, was_ended=False) is outcome_class
    is_cut = outcome_class in (OutcomeClass.ANSWER_LOST, OutcomeClass.TIMED_OUT)
    expected = OutcomeClass.CANCELLED if is_cut else outcome_class
    assert judge_ended(outcome_class, was_ended=True) is expected
