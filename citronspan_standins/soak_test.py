"""Tests that a short soak of real host processes breaks no promise."""

import pytest

from citronspan_standins.soak import Soak, draw_plan

SECONDS = 8.0
LATE_SECONDS = 2.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overlapping_events_break_a_promise(tmp_path, seed):
    plan = draw_plan(seed, SECONDS, LATE_SECONDS)
    result = Soak(seed=seed, plan=plan, folder=tmp_path).run()
    assert (result.violations, result.ends) == ([], [])
    assert result.count_by_end["200"]
