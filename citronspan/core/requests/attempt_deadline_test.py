import time

import freezegun
import pytest

from citronspan.core.requests.attempt_deadline import AttemptDeadline


def test_attempt_is_given_up_though_no_other_may_follow_any_more():
    is_stopping = False
    deadline = AttemptDeadline(
        request_deadline=6.0, limit=3.0, may_be_retried=lambda: not is_stopping
    )
    assert deadline.find() == 3.0
    is_stopping = True
    assert deadline.find() == 6.0


def test_target_that_starts_late_ends_attempts_that_were_let_go_on():
    has_other_target = False
    with freezegun.freeze_time("2026-01-01") as clock:
        began_at = time.monotonic()
        deadline = AttemptDeadline(
            request_deadline=began_at + 6.0,
            limit=began_at + 3.0,
            may_be_retried=lambda: has_other_target,
        )
        clock.tick(2.0)
        assert deadline.find() == began_at + 6.0
        has_other_target = True
        assert deadline.find() == began_at + 3.0
        has_other_target = False
        clock.tick(1.5)
        assert deadline.find() == began_at + 6.0
        has_other_target = True
        assert deadline.find() == began_at + 6.0


def test_attempt_is_given_up_while_its_answer_is_forwarded():
    deadline = AttemptDeadline(request_deadline=6.0, limit=3.0)
    deadline.lift_limit()
    assert deadline.find() == 6.0


@pytest.mark.parametrize("limit", [6.0, 7.0])
def test_attempt_outlasts_its_request(limit):
    assert AttemptDeadline(request_deadline=6.0, limit=limit).find() == 6.0
