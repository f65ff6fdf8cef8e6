from hypothesis import given, strategies as st

from citronspan.core.outcomes import RAN_BY_OUTCOME_CLASS, OutcomeClass
from citronspan.core.result_codes import Ran
from citronspan.core.retry_budget import (
    BURST_RETRIES,
    RetryBudget,
    RetryDecision,
    decide_retry,
)

classes = st.sampled_from(list(OutcomeClass))


@given(
    st.floats(0, 1),
    st.lists(st.sampled_from([True, False, False]), min_size=30, max_size=200),
)
def test_retries_stay_within_the_ratio_and_the_burst_like_a_naive_count(ratio, events):
    budget = RetryBudget(ratio=ratio)
    held = float(BURST_RETRIES)
    firsts = 0
    retries = 0
    for is_first in events:
        if is_first:
            budget.count_first_attempt()
            held = min(BURST_RETRIES, held + ratio)
            firsts += 1
            continue
        allowed = budget.spend()
        assert allowed == (held >= 1)
        held -= allowed
        retries += allowed
        assert retries <= BURST_RETRIES + ratio * firsts + 1e-9


@given(classes, st.booleans(), st.floats(-1, 1), st.floats(0, 1))
def test_a_retry_is_allowed_only_where_it_is_safe_and_in_time(
    outcome_class, idempotent, remaining, needed
):
    budget = RetryBudget(ratio=0.1)
    decision = decide_retry(
        budget,
        outcome_class,
        idempotent=idempotent,
        remaining_seconds=remaining,
        needed_seconds=needed,
    )
    may_run = idempotent or RAN_BY_OUTCOME_CLASS[outcome_class] is Ran.NOT_RUN
    given_up = outcome_class in {OutcomeClass.OK, OutcomeClass.CANCELLED}
    expected = may_run and not given_up and remaining > needed
    assert (decision is RetryDecision.ALLOWED) == expected


def test_a_refused_retry_costs_nothing():
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
