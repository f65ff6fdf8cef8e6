import freezegun
import pytest
from hypothesis import given, strategies as st

from citronspan.core.link_budget import (
    BURST_SECONDS,
    RESERVED_SHARE,
    WORTH_SHARE,
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


def test_the_budget_is_spent_like_by_a_naive_one_and_never_past_its_bounds(clock):
    @given(steps)
    def check(history):
        budget = LinkBudget(bytes_per_second=RATE)
        held = burst = RATE * BURST_SECONDS
        top = spent = waited = 0.0
        for step in history:
            match step:
                case ("wait", seconds):
                    clock.tick(seconds)
                    held = min(burst, held + seconds * RATE)
                    waited += seconds
                case ("control", sent):
                    budget.count_control(sent)
                    held -= sent
                case ("spend", worth, size):
                    top = max(top, worth)
                    left = RESERVED_SHARE + WORTH_SHARE * (1 - worth / top)
                    expected = held - size >= burst * left - 1e-6
                    # Bytes at the very bound may fall to either side by rounding.
                    if abs(held - size - burst * left) > 1e-3:
                        assert budget.spend("order", worth, size) == expected
                        held -= size * expected
                        spent += size * expected
                    assert spent <= burst + waited * RATE

    check()


def test_more_worth_may_spend_where_less_may_not(clock):
    budget = LinkBudget(bytes_per_second=RATE)
    assert budget.spend("order", 5.0, 500)
    assert not budget.spend("browse", 1.0, 100)
    assert budget.spend("order", 5.0, 100)
    assert not budget.spend("order", 5.0, 350)


def test_the_length_of_answers_is_learnt_and_settled(clock):
    budget = LinkBudget(bytes_per_second=RATE)
    assert budget.spend("browse", 1.0, 0)
    budget.reconcile_answer_bytes("browse", 400)
    assert budget.estimate_answer("browse") == 400
    assert budget.spend("browse", 1.0, 0)
    assert not budget.spend("browse", 1.0, 101)
    assert budget.spent_bytes_by_kind == {"browse": 800}
