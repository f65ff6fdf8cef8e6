from hypothesis import given, strategies as st

from citronspan.core.outcomes import RAN_BY_OUTCOME_CLASS, OutcomeClass
from citronspan.core.requests.retry_budget import (
    BURST_RETRIES,
    RetryBudget,
    RetryDecision,
    decide_retry,
)
from citronspan.core.result_codes import Ran

outcome_classes = st.sampled_from(list(OutcomeClass))


@given(
    st.floats(0, 1),
    st.lists(st.sampled_from([True, False, False]), min_size=30, max_size=200),
)
def test_retries_match_a_reference_count_within_ratio_and_burst(ratio, events):
    budget = RetryBudget(ratio=ratio)
    available = float(BURST_RETRIES)
    first_attempts = 0
    retries = 0
    for is_first_attempt in events:
        if is_first_attempt:
            budget.count_first_attempt()
            available = min(BURST_RETRIES, available + ratio)
            first_attempts += 1
            continue
        allowed = budget.spend()
        assert allowed == (available >= 1)
        available -= allowed
        retries += allowed
        assert retries <= BURST_RETRIES + ratio * first_attempts + 1e-9


@given(outcome_classes, st.booleans(), st.floats(-1, 1), st.floats(0, 1))
def test_retry_is_allowed_only_if_safe_and_in_time(
    outcome_class, idempotent, remaining_seconds, needed_seconds
):
    budget = RetryBudget(ratio=0.1)
    decision = decide_retry(
        budget,
        outcome_class,
        idempotent=idempotent,
        remaining_seconds=remaining_seconds,
        needed_seconds=needed_seconds,
    )
    is_safe = idempotent or RAN_BY_OUTCOME_CLASS[outcome_class] is Ran.NOT_RUN
    is_final = outcome_class in {OutcomeClass.OK, OutcomeClass.CANCELLED}
    expected_allowed = is_safe and not is_final and remaining_seconds > needed_seconds
    assert (decision is RetryDecision.ALLOWED) == expected_allowed


def test_refused_retry_does_not_spend_budget():
    budget = RetryBudget(ratio=0.0)
    for _ in range(2 * BURST_RETRIES):
        decide_retry(
            budget,
            OutcomeClass.ANSWER_LOST,
            idempotent=False,
            remaining_seconds=1,
            needed_seconds=0,
        )
    assert budget.spend()


def test_retry_that_is_not_made_is_paid_for_or_adds_to_the_burst():
    budget = RetryBudget(ratio=0.0)
    while budget.spend():
        budget.refund()
        assert budget.spend()
    for _ in range(2 * BURST_RETRIES):
        budget.refund()
    assert sum(budget.spend() for _ in range(2 * BURST_RETRIES)) == BURST_RETRIES
