import freezegun
import pytest
from hypothesis import given, strategies as st

from citronspan.core.brokering.link_budget import (
    BURST_SECONDS,
    CONTROL_RESERVE_SHARE,
    LOW_WORTH_RESERVE_SHARE,
    LinkBudget,
)

RATE = 1000.0
spends = st.tuples(
    st.just("spend"), st.sampled_from([1.0, 2.0, 5.0]), st.integers(0, 800)
)
steps = st.lists(
    st.one_of(
        spends,
        spends,
        st.tuples(st.just("wait"), st.sampled_from([0.0625, 0.25, 2.0])),
        st.tuples(st.just("control"), st.integers(0, 300)),
    ),
    max_size=60,
)


@pytest.fixture(scope="module")
def clock():
    with freezegun.freeze_time("2026-01-01") as frozen:
        yield frozen


def test_spending_matches_a_reference_bucket_and_stays_within_the_rate(clock):
    @given(steps)
    def check(history):
        budget = LinkBudget(bytes_per_second=RATE)
        available = burst = RATE * BURST_SECONDS
        top_worth = spent_bytes = waited_seconds = 0.0
        for step in history:
            match step:
                case ("wait", seconds):
                    clock.tick(seconds)
                    available = min(burst, available + seconds * RATE)
                    waited_seconds += seconds
                case ("control", sent_bytes):
                    budget.count_control_bytes(sent_bytes)
                    available -= sent_bytes
                case ("spend", worth, body_bytes):
                    top_worth = max(top_worth, worth)
                    reserve = CONTROL_RESERVE_SHARE + LOW_WORTH_RESERVE_SHARE * (
                        1 - worth / top_worth
                    )
                    allowed = available - body_bytes >= burst * reserve - 1e-6
                    # Just at the reserve, rounding may decide either way.
                    if abs(available - body_bytes - burst * reserve) > 1e-3:
                        assert budget.spend("order", worth, body_bytes) == allowed
                        available -= body_bytes * allowed
                        spent_bytes += body_bytes * allowed
                    assert spent_bytes <= burst + waited_seconds * RATE

    check()


def test_low_worth_requests_are_refused_first(clock):
    budget = LinkBudget(bytes_per_second=RATE)
    assert budget.spend("order", 5.0, 500)
    assert not budget.spend("browse", 1.0, 100)
    assert budget.spend("order", 5.0, 100)
    assert not budget.spend("order", 5.0, 350)


def test_answer_length_is_estimated_and_reconciled(clock):
    budget = LinkBudget(bytes_per_second=RATE)
    assert budget.spend("browse", 1.0, 0)
    budget.reconcile_answer_bytes("browse", 400)
    assert budget.estimate_answer_bytes("browse") == 400
    assert budget.spend("browse", 1.0, 0)
    assert not budget.spend("browse", 1.0, 101)
    assert budget.spent_bytes_by_kind == {"browse": 800}


def test_refused_request_spends_the_budget():
    budget = LinkBudget(bytes_per_second=RATE)
    budget.reconcile_answer_bytes("browse", 100)
    before = dict(budget.spent_bytes_by_kind)
    for _ in range(100):
        assert budget.spend("browse", 1.0, RATE // 4)
        budget.give_back("browse", RATE // 4)
    assert budget.spent_bytes_by_kind == before
