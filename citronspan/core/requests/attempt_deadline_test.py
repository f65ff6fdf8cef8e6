import math
import random
import time

import freezegun
import pytest
from hypothesis import given, strategies as st

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


SECONDS = st.floats(0.0, 20.0)
STEPS = st.lists(
    st.tuples(st.floats(0.0, 2.0), st.booleans(), st.booleans()),
    min_size=1,
    max_size=12,
)


@given(request_seconds=SECONDS, limit_seconds=SECONDS, end_seconds=SECONDS, steps=STEPS)
def test_attempt_is_given_up_at_another_time_than_the_rules_say(
    request_seconds, limit_seconds, end_seconds, steps
):
    # It may use all of its request's time, unless another attempt may follow and it
    # has not outlasted its own time while none could. The end of a stop ends all.
    with freezegun.freeze_time("2026-01-01") as clock:
        begun_at = time.monotonic()
        may_follow = False
        end = begun_at + 100.0
        deadline = AttemptDeadline(
            request_deadline=begun_at + request_seconds,
            limit=begun_at + limit_seconds,
            may_be_retried=lambda: may_follow,
            find_end=lambda: end,
        )
        has_outlasted = False
        for seconds, may_follow, is_stopping in steps:
            clock.tick(seconds)
            if is_stopping:
                end = begun_at + end_seconds
            is_past = time.monotonic() >= begun_at + limit_seconds
            has_outlasted = has_outlasted or (is_past and not may_follow)
            is_limited = may_follow and not has_outlasted
            expected = begun_at + request_seconds
            if is_limited:
                expected = min(expected, begun_at + limit_seconds)
            assert deadline.find() == min(expected, end)


def test_attempt_is_given_up_before_another_one_is_prepared():
    is_free = False
    prepared = []

    def prepare_next(has_answer):
        prepared.append(time.monotonic())
        return is_free

    with freezegun.freeze_time("2026-01-01") as clock:
        begun_at = time.monotonic()
        for is_free in (False, True):
            deadline = AttemptDeadline(
                request_deadline=begun_at + 60.0,
                limit=time.monotonic() + 3.0,
                prepare_next=prepare_next,
            )
            clock.tick(3.0)
            assert deadline.extend(lambda: False) is not is_free
            expected = time.monotonic() if is_free else begun_at + 60.0
            assert deadline.find() == expected
    assert len(prepared) == 2


@pytest.mark.parametrize("end", ["of the request", "of a stop"])
def test_another_attempt_is_prepared_after_the_end(end):
    with freezegun.freeze_time("2026-01-01") as clock:
        begun_at = time.monotonic()
        ends_at = begun_at + 4.0
        deadline = AttemptDeadline(
            request_deadline=ends_at if end == "of the request" else math.inf,
            limit=begun_at + 3.0,
            find_end=lambda: ends_at if end == "of a stop" else math.inf,
            prepare_next=lambda has_answer: pytest.fail("nothing may follow"),
        )
        clock.tick(5.0)
        assert not deadline.extend(lambda: False)


REPLAY_SECONDS = 1.2
REPLAY_LIMIT_SECONDS = 0.12
"""Time of a read in the hunt, and of an attempt at a target that its broker doubts."""

FREE_SHARE = 0.4
HANG_SHARE = 0.1


def replay_read(run_seconds, *, is_free, prepares):
    """Return whether a read is answered whose retry takes as long as its attempt."""
    with freezegun.freeze_time("2026-01-01") as clock:
        begun_at = time.monotonic()
        deadline = AttemptDeadline(
            request_deadline=begun_at + REPLAY_SECONDS,
            limit=begun_at + REPLAY_LIMIT_SECONDS,
            prepare_next=lambda has_answer: is_free or not prepares,
        )
        if run_seconds[0] <= REPLAY_LIMIT_SECONDS:
            return True
        clock.tick(REPLAY_LIMIT_SECONDS)
        if deadline.extend(lambda: False):
            return begun_at + run_seconds[0] <= deadline.find()
        return is_free and REPLAY_LIMIT_SECONDS + run_seconds[1] <= REPLAY_SECONDS


def test_reads_at_a_service_without_room_are_lost_as_before():
    # Reads of a few tenths of a second at doubted targets; slots for some retries.
    draw = random.Random(7864)
    answered = {True: 0, False: 0}
    for _ in range(500):
        run = draw.lognormvariate(math.log(0.15), 0.8)
        first = math.inf if draw.random() < HANG_SHARE else run
        is_free = draw.random() < FREE_SHARE
        for prepares in answered:
            is_answered = replay_read((first, run), is_free=is_free, prepares=prepares)
            answered[prepares] += is_answered
    assert answered[False] < 0.7 * 500
    assert answered[True] > 0.9 * 500
