import math
import random
import time

import freezegun
import pytest
from hypothesis import given, strategies as st

from citronspan.core.requests.attempt_deadline import (
    FIRST_PAUSE_SECONDS,
    AttemptDeadline,
)


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
            pause_seconds = 0.0 if is_free else FIRST_PAUSE_SECONDS
            assert deadline.find() == time.monotonic() + pause_seconds
    assert len(prepared) == 2


def ask_until(deadline, clock, has_answer=lambda: False):
    """Extend a deadline whenever it is due; return the times at which it was."""
    begun_at = time.monotonic()
    asked = []
    while True:
        clock.tick(max(deadline.find() - time.monotonic(), 0.0) + 1e-6)
        if not deadline.extend(has_answer):
            return asked
        asked.append(time.monotonic() - begun_at)


def test_slot_for_a_successor_is_asked_for_once_or_without_end():
    with freezegun.freeze_time("2026-01-01") as clock:
        now = time.monotonic()
        deadline = AttemptDeadline(
            request_deadline=now + 8.0, limit=now + 1.0, prepare_next=lambda _: False
        )
        asked = ask_until(deadline, clock)
        # A further question at 7.3 s would leave the successor less than 1 s.
        assert asked == pytest.approx([1.0, 1.1, 1.3, 1.7, 2.5, 4.1], abs=0.001)
        assert time.monotonic() == pytest.approx(now + 8.0, abs=0.001)


def test_attempt_that_is_answered_is_given_up_at_the_next_question():
    with freezegun.freeze_time("2026-01-01") as clock:
        now = time.monotonic()
        deadline = AttemptDeadline(
            request_deadline=now + 8.0, limit=now + 1.0, prepare_next=lambda _: False
        )
        assert len(ask_until(deadline, clock, lambda: True)) == 1


def test_attempt_is_given_up_for_one_that_would_have_less_time():
    # A limit of half of the request's time, where the broker left it open.
    with freezegun.freeze_time("2026-01-01") as clock:
        now = time.monotonic()
        deadline = AttemptDeadline(
            request_deadline=now + 2.0, limit=now + 1.0, prepare_next=lambda _: False
        )
        assert len(ask_until(deadline, clock)) == 1


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
        while deadline.extend(lambda: False):
            if begun_at + run_seconds[0] <= deadline.find():
                return True
            clock.tick(deadline.find() - time.monotonic() + 1e-6)
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


FREE_AFTER_SECONDS = 0.3
"""Mean time after the limit at which a slot comes free for a retry."""


class AskingOnce(AttemptDeadline):
    """The decision before: a refused slot for a successor isn't asked for again."""

    def _postpone_limit(self, has_answer):
        self.lift_limit()


def replay_wait(make_deadline, run_seconds, free_seconds):
    """Return after which time a read is answered, and the questions for a slot.

    Args:
        make_deadline: Makes the deadline of the first attempt.
        run_seconds: What the first attempt and its retry take.
        free_seconds: Time after which a slot is free for a retry.
    """
    with freezegun.freeze_time("2026-01-01") as clock:
        begun_at = time.monotonic()
        answered_at = begun_at + run_seconds[0]
        asked = []

        def prepare_next(has_answer):
            asked.append(time.monotonic())
            return time.monotonic() >= begun_at + free_seconds

        deadline = make_deadline(
            request_deadline=begun_at + REPLAY_SECONDS,
            limit=begun_at + REPLAY_LIMIT_SECONDS,
            prepare_next=prepare_next,
        )
        while answered_at > deadline.find():
            clock.tick(max(deadline.find() - time.monotonic(), 0.0) + 1e-6)
            if not deadline.extend(lambda: False):
                answered_at = time.monotonic() + run_seconds[1]
                break
        return answered_at - begun_at, len(asked)


def test_reads_at_targets_that_hang_are_lost_as_before():
    # Reads as above at a service without room, whose slots come free one by one.
    draw = random.Random(7864)
    answered = {AskingOnce: 0, AttemptDeadline: 0}
    questions = {AskingOnce: 0, AttemptDeadline: 0}
    for _ in range(500):
        runs = [draw.lognormvariate(math.log(0.15), 0.8) for _ in range(2)]
        if draw.random() < HANG_SHARE:
            runs[0] = math.inf
        free_seconds = REPLAY_LIMIT_SECONDS + draw.expovariate(1 / FREE_AFTER_SECONDS)
        for make_deadline in answered:
            seconds, count = replay_wait(make_deadline, runs, free_seconds)
            answered[make_deadline] += seconds <= REPLAY_SECONDS
            questions[make_deadline] += count
    assert answered[AskingOnce] < 0.92 * 500
    assert answered[AttemptDeadline] > 0.97 * 500
    assert questions[AttemptDeadline] < 2 * questions[AskingOnce]
