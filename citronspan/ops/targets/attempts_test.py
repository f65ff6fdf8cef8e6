"""Property tests of the attempts of one request with arbitrary target behaviour.

They compare what the targets ran with what the caller is told.
"""

import dataclasses
import math
import time
from types import SimpleNamespace

import freezegun
import pytest
from hypothesis import given, strategies as st
from opentelemetry import trace

from citronspan.core import result_codes
from citronspan.core.brokering.shards import ShardKey
from citronspan.core.outcomes import OutcomeClass
from citronspan.core.requests.stop_plan import GIVE_UP_SECONDS, StopPlan
from citronspan.core.resources import RouteSpec, ServiceSpec
from citronspan.core.result_codes import Ran
from citronspan.ops.callers.open_requests import OpenRequest
from citronspan.ops.callers.refusals import Refusal
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.ops.slots.slot_source import Slot, SlotRefused
from citronspan.ops.targets.attempt_context import RequestContext
from citronspan.ops.targets.attempt_refusals import ACCOUNT_REFUSED, KEY_REFUSED
from citronspan.ops.targets.attempts import AttemptRunner
from citronspan.ops.targets.target_answer import AttemptFailedError
from citronspan.platform.headers import PlatformDialect

SIGNED = {"X-Citronspan-Backend-Signature": "s"}
NOT_RUN = {"X-Citronspan-Not-Executed": "busy"}
DEADLINE_SECONDS = 30.0
REUSE_SECONDS = 5.0


@dataclasses.dataclass(frozen=True)
class AttemptStep:
    """Holds the result of one attempt: an answer, a failure or a refused slot."""

    status: int = 0
    headers: tuple = ()
    failure: OutcomeClass | None = None
    ran: bool = False
    is_slot_refused: bool = False


def answer(status, headers, *, ran):
    return AttemptStep(status=status, headers=tuple(headers.items()), ran=ran)


ATTEMPT_STEPS = st.sampled_from(
    [
        AttemptStep(is_slot_refused=True),
        answer(200, SIGNED, ran=True),
        answer(200, {}, ran=True),
        answer(404, SIGNED, ran=True),
        answer(500, SIGNED, ran=True),
        answer(503, SIGNED, ran=True),
        answer(503, NOT_RUN, ran=False),
        answer(200, NOT_RUN, ran=False),
        answer(421, SIGNED, ran=False),
        AttemptStep(failure=OutcomeClass.CONNECT_FAILED, ran=False),
        AttemptStep(failure=OutcomeClass.NOT_USED, ran=False),
        AttemptStep(failure=OutcomeClass.ANSWER_LOST, ran=True),
        AttemptStep(failure=OutcomeClass.ANSWER_LOST, ran=False),
        AttemptStep(failure=OutcomeClass.TIMED_OUT, ran=True),
        AttemptStep(failure=OutcomeClass.CANCELLED, ran=True),
    ]
)


class FakeAnswer:
    """Stands in for an answer that has no body."""

    is_bodyless = True
    is_framed = True

    def __init__(self, step):
        self.status = step.status
        self.is_aborted = False
        self._headers = dict(step.headers)

    def find_header(self, name):
        return self._headers.get(name)

    def lift_limit(self):
        pass

    def abort_response(self):
        self.is_aborted = True


class FakeTargets:
    """Stands in for the slots and connections; follows steps and records the calls."""

    def __init__(self, steps, attempt_seconds=0.0):
        self.steps = list(steps)
        self.attempt_seconds = attempt_seconds
        self.allowed_seconds = []
        self.reuse_seconds = []
        self.queries = []
        self.sent = []
        self.released = []
        self.granted_count = 0

    def acquire(self, query):
        self.queries.append(query)
        if not self.steps or self.steps[0].is_slot_refused:
            return SlotRefused(code=result_codes.NO_CAPACITY, retry_after_seconds=0.5)
        number = len(self.sent)
        self.granted_count += 1
        key = ShardKey(service="s", region="r", number=0)
        return Slot(
            attempt_id=number,
            target=f"t-{number}",
            address="a",
            shard=key,
            broker="b",
            attempt_seconds=self.attempt_seconds,
        )

    def release(self, slot, outcome, answer_bytes):
        self.released.append((slot.target, outcome.outcome_class))

    def send(self, address, request, caller):
        step = self.steps.pop(0)
        self.sent.append(step)
        self.reuse_seconds.append(request.reuse_seconds)
        self.allowed_seconds.append(request.deadline.find() - time.monotonic())
        if step.failure is not None:
            raise AttemptFailedError(outcome_class=step.failure, detail="")
        return FakeAnswer(step)

    def count_runs(self):
        return sum(step.ran for step in self.sent)


def make_request_context(*, idempotent, is_repeatable, attempts):
    connection = SimpleNamespace(is_disconnected=lambda: False)
    request = SimpleNamespace(
        connection=connection,
        request_id="r-1",
        method="POST",
        uri="/",
        headers={},
        key="",
        trace_headers={},
    )
    spec = RouteSpec(
        path_prefix="/",
        service="s",
        request_kind="k",
        idempotent=idempotent,
        maximum_attempts=attempts,
    )
    received_at = time.monotonic()
    open_request = OpenRequest(received_at=received_at)
    open_request.whole_at = received_at
    deadline = received_at + DEADLINE_SECONDS
    return RequestContext(
        request=request,
        body=SimpleNamespace(length=0, is_repeatable=is_repeatable),
        route=SimpleNamespace(spec=spec),
        service_name="s",
        service=ServiceSpec(retry_window_seconds=10.0),
        deadline=deadline,
        goal_time=deadline,
        fingerprint=1,
        open_request=open_request,
    )


def run(
    targets,
    request_context,
    stop_plan=None,
    *,
    is_stopping=False,
    has_other_target=True,
    find_key_obstacle=lambda request_context: None,
):
    runner = AttemptRunner(
        slots=targets,
        connections=targets,
        metrics=EntryMetrics(),
        tracer=trace.get_tracer("test"),
        dialect=PlatformDialect(),
        reuse_seconds=REUSE_SECONDS,
        is_stopping=lambda: is_stopping,
        has_other_target=lambda service, names: has_other_target,
        stop_plan=stop_plan,
        find_key_obstacle=find_key_obstacle,
    )
    try:
        return runner.run(request_context), None
    except Refusal as refusal:
        return None, refusal


@given(
    steps=st.lists(ATTEMPT_STEPS, max_size=6),
    idempotent=st.booleans(),
    is_repeatable=st.booleans(),
    attempts=st.integers(1, 4),
)
def test_reported_result_matches_what_the_targets_ran(
    steps, idempotent, is_repeatable, attempts
):
    targets = FakeTargets(steps)
    request_context = make_request_context(
        idempotent=idempotent, is_repeatable=is_repeatable, attempts=attempts
    )
    attempt_response, refusal = run(targets, request_context)
    if not idempotent:
        assert targets.count_runs() <= 1
    if not is_repeatable:
        assert len(targets.sent) <= 1
    assert len(targets.sent) <= attempts
    if refusal is not None:
        ran = refusal.ran or refusal.code.ran
        if ran is Ran.NOT_RUN:
            assert targets.count_runs() == 0
        if refusal.code.http_status in {408, 421, 429, 503}:
            assert ran is Ran.NOT_RUN
        return
    # The forwarded answer is the last one, and its target ran the request.
    assert attempt_response.answer.status == targets.sent[-1].status
    assert targets.sent[-1].ran
    assert not attempt_response.answer.is_aborted


@given(steps=st.lists(ATTEMPT_STEPS, max_size=6), idempotent=st.booleans())
def test_each_slot_is_released_once_and_no_target_is_tried_twice(steps, idempotent):
    targets = FakeTargets(steps)
    request_context = make_request_context(
        idempotent=idempotent, is_repeatable=True, attempts=4
    )
    attempt_response, _ = run(targets, request_context)
    names = [target for target, _ in targets.released]
    held_targets = (
        []
        if attempt_response is None or attempt_response.is_released
        else [attempt_response.slot.target]
    )
    assert sorted(names + held_targets) == [f"t-{n}" for n in range(len(targets.sent))]
    for number, query in enumerate(targets.queries):
        assert query.excluded == tuple(f"t-{n}" for n in range(number))


@given(steps=st.lists(ATTEMPT_STEPS, max_size=6))
def test_attempt_is_a_retry_only_after_one_that_reached_a_target(steps):
    targets = FakeTargets(steps)
    run(targets, make_request_context(idempotent=True, is_repeatable=True, attempts=4))
    undelivered_classes = {OutcomeClass.CONNECT_FAILED, OutcomeClass.NOT_USED}
    for number, query in enumerate(targets.queries):
        previous_steps = targets.sent[:number]
        assert query.is_retry == any(
            step.failure not in undelivered_classes for step in previous_steps
        )


@pytest.mark.parametrize(
    ("attempt_seconds", "first_seconds"),
    [(0.0, DEADLINE_SECONDS / 2), (4.0, 4.0), (90.0, DEADLINE_SECONDS)],
)
def test_attempt_waits_longer_or_shorter_than_its_broker_says(
    attempt_seconds, first_seconds
):
    hang = AttemptStep(failure=OutcomeClass.TIMED_OUT, ran=True)
    targets = FakeTargets([hang, answer(200, SIGNED, ran=True)], attempt_seconds)
    context = make_request_context(idempotent=True, is_repeatable=True, attempts=2)
    run(targets, context)
    expected = pytest.approx([first_seconds, DEADLINE_SECONDS], abs=1.0)
    assert targets.allowed_seconds == expected


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize("status", [200, 204, 302, 404, 408, 429, 503])
def test_answer_without_the_targets_signature_is_forwarded(status, idempotent):
    targets = FakeTargets([answer(status, {}, ran=True)])
    context = make_request_context(
        idempotent=idempotent, is_repeatable=True, attempts=2
    )
    response, refusal = run(targets, context)
    assert response is None
    assert (refusal.code, refusal.ran) == (result_codes.ANSWER_LOST, Ran.MAY_HAVE_RUN)
    # Not ``answer-lost``, which would count as a crash that the request caused.
    assert targets.released == [("t-0", OutcomeClass.TARGET_ERROR)]


@pytest.mark.parametrize("status", [200, 404, 503])
def test_idempotent_request_is_not_retried_after_an_unsigned_answer(status):
    steps = [answer(status, {}, ran=True), answer(200, SIGNED, ran=True)]
    targets = FakeTargets(steps)
    context = make_request_context(idempotent=True, is_repeatable=True, attempts=2)
    response, _ = run(targets, context)
    assert (response.answer.status, len(targets.sent)) == (200, 2)
    assert response.answer.find_header("X-Citronspan-Backend-Signature") == "s"


@pytest.mark.parametrize("status", [500, 502, 504])
def test_unsigned_failure_that_promises_nothing_is_replaced(status):
    targets = FakeTargets([answer(status, {}, ran=True)])
    context = make_request_context(idempotent=False, is_repeatable=True, attempts=2)
    response, _ = run(targets, context)
    assert response.answer.status == status


def test_request_that_may_run_once_only_is_given_up_early():
    targets = FakeTargets([answer(200, SIGNED, ran=True)], 4.0)
    context = make_request_context(idempotent=False, is_repeatable=True, attempts=2)
    run(targets, context)
    assert targets.allowed_seconds == pytest.approx([DEADLINE_SECONDS], abs=1.0)


@pytest.mark.parametrize(
    ("idempotent", "reuse_seconds"), [(True, math.inf), (False, REUSE_SECONDS)]
)
def test_request_that_may_run_once_only_is_sent_on_an_old_connection(
    idempotent, reuse_seconds
):
    targets = FakeTargets([answer(200, SIGNED, ran=True)])
    context = make_request_context(
        idempotent=idempotent, is_repeatable=True, attempts=2
    )
    run(targets, context)
    assert targets.reuse_seconds == [reuse_seconds]


class WithdrawingTargets(FakeTargets):
    """Targets of which the first ones may not be used once a connection is open."""

    def __init__(self, steps, withdrawn_count):
        super().__init__(steps)
        self.withdrawn_count = withdrawn_count

    def may_use(self, slot, request_id):
        return len(self.queries) > self.withdrawn_count

    def send(self, address, request, caller):
        if request.may_send():
            return super().send(address, request, caller)
        raise AttemptFailedError(
            outcome_class=OutcomeClass.NOT_USED, detail="", is_withdrawn=True
        )


@pytest.mark.parametrize("idempotent", [True, False])
def test_withdrawn_slot_counts_as_an_attempt(idempotent):
    targets = WithdrawingTargets([answer(200, SIGNED, ran=True)], 3)
    context = make_request_context(
        idempotent=idempotent, is_repeatable=True, attempts=1
    )
    attempt_response, _ = run(targets, context)
    assert attempt_response.answer.status == 200
    assert [query.is_retry for query in targets.queries] == [False] * 4
    outcome_classes = [outcome_class for _, outcome_class in targets.released]
    assert outcome_classes == [OutcomeClass.NOT_USED] * 3


def test_withdrawn_slots_keep_a_request_in_a_loop():
    targets = WithdrawingTargets([answer(200, SIGNED, ran=True)], 100)
    context = make_request_context(idempotent=True, is_repeatable=True, attempts=2)
    attempt_response, refusal = run(targets, context)
    assert attempt_response is None
    assert refusal.code.ran is Ran.NOT_RUN or refusal.ran is Ran.NOT_RUN
    assert len(targets.queries) <= 3 + 2


class WithdrawnRetries(WithdrawingTargets):
    """Targets of which only the first one, or the one of a late slot, may be used."""

    def __init__(self, steps, withdrawn_count, *, is_late_slot_usable=False):
        super().__init__(steps, withdrawn_count)
        self.answers = []
        self.is_late_slot_usable = is_late_slot_usable

    def may_use(self, slot, request_id):
        if len(self.queries) > 1 + self.withdrawn_count:
            return self.is_late_slot_usable
        return len(self.queries) == 1

    def acquire(self, query):
        slot = super().acquire(query)
        is_late = len(self.queries) > 1 + self.withdrawn_count
        if is_late and not self.is_late_slot_usable:
            return SlotRefused(code=result_codes.NO_CAPACITY, retry_after_seconds=0.5)
        return slot

    def send(self, address, request, caller):
        self.answers.append(super().send(address, request, caller))
        return self.answers[-1]


@pytest.mark.parametrize("withdrawn_count", [0, 1, 3, 100])
def test_answer_is_lost_when_the_slot_of_its_retry_is_withdrawn(withdrawn_count):
    failed = answer(500, SIGNED, ran=True)
    targets = WithdrawnRetries([failed, failed], withdrawn_count)
    context = make_request_context(idempotent=True, is_repeatable=True, attempts=2)
    attempt_response, refusal = run(targets, context)
    assert refusal is None
    assert attempt_response.answer is targets.answers[0]
    assert attempt_response.is_released
    assert not attempt_response.answer.is_aborted
    outcome_classes = [outcome_class for _, outcome_class in targets.released]
    withdrawn_classes = [OutcomeClass.NOT_USED] * (len(outcome_classes) - 1)
    assert outcome_classes == [OutcomeClass.TARGET_ERROR, *withdrawn_classes]


@pytest.mark.parametrize("withdrawn_count", [0, 1, 3])
def test_answer_of_a_failed_attempt_is_left_open_once_its_retry_is_sent(
    withdrawn_count,
):
    steps = [answer(500, SIGNED, ran=True), answer(200, SIGNED, ran=True)]
    targets = WithdrawnRetries(steps, withdrawn_count, is_late_slot_usable=True)
    context = make_request_context(idempotent=True, is_repeatable=True, attempts=2)
    attempt_response, _ = run(targets, context)
    assert attempt_response.answer.status == 200
    assert [item.is_aborted for item in targets.answers] == [True, False]


def test_answer_of_a_failed_attempt_is_left_open_after_a_failed_connect():
    steps = [
        answer(500, SIGNED, ran=True),
        AttemptStep(failure=OutcomeClass.CONNECT_FAILED),
    ]
    targets = WithdrawnRetries(steps, 0, is_late_slot_usable=True)
    context = make_request_context(idempotent=True, is_repeatable=True, attempts=2)
    attempt_response, refusal = run(targets, context)
    assert attempt_response is None
    assert refusal.ran is Ran.MAY_HAVE_RUN
    assert [item.is_aborted for item in targets.answers] == [True]


class LeavingTargets(FakeTargets):
    """Records what the targets said of themselves, and how it was ordered."""

    def __init__(self, steps):
        super().__init__(steps)
        self.notices = []

    def observe_notice(self, slot, notice, request_id):
        self.notices.append((slot.target, notice.is_leaving, len(self.released)))


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_notice_in_an_answer_is_passed_over_or_taken_after_the_release(status):
    headers = {**SIGNED, "Server-Leaving": "1"}
    targets = LeavingTargets([answer(status, headers, ran=True)])
    run(targets, make_request_context(idempotent=True, is_repeatable=True, attempts=1))
    assert targets.notices == [("t-0", True, 0)]


class PausingTargets(LeavingTargets):
    """Targets of a service of which none may be used for five seconds."""

    def find_pause_seconds(self, service):
        assert self.notices
        return 5.0


@pytest.mark.parametrize("attempts", [1, 2])
def test_caller_is_told_to_come_back_while_all_targets_pause(attempts):
    refusal = answer(503, {**NOT_RUN, "Retry-After": "5"}, ran=False)
    targets = PausingTargets([refusal, AttemptStep(is_slot_refused=True)])
    context = make_request_context(
        idempotent=False, is_repeatable=True, attempts=attempts
    )
    _, refusal = run(targets, context)
    assert refusal.code == result_codes.TARGET_REFUSED
    assert refusal.retry_after_seconds == 5.0


STOP_SECONDS = 10.0


class StoppingTargets(FakeTargets):
    """Targets whose host is told to stop, with time passing at a step of an attempt."""

    def __init__(self, steps, clock, *, slot_seconds=0.0, answer_seconds=0.0):
        super().__init__(steps)
        self.clock = clock
        self.slot_seconds = slot_seconds
        self.answer_seconds = answer_seconds
        self.stop_plan = StopPlan()
        self.stop_plan.begin(STOP_SECONDS)

    def acquire(self, query):
        self.clock.tick(self.slot_seconds)
        return super().acquire(query)

    def send(self, address, request, caller):
        self.clock.tick(self.answer_seconds)
        return super().send(address, request, caller)


@pytest.mark.parametrize(
    ("answer_seconds", "outcome_class"),
    [
        (STOP_SECONDS, OutcomeClass.TIMED_OUT),
        (STOP_SECONDS + GIVE_UP_SECONDS, OutcomeClass.CANCELLED),
    ],
)
def test_target_is_blamed_for_the_end_of_a_stop(answer_seconds, outcome_class):
    hang = AttemptStep(failure=OutcomeClass.TIMED_OUT, ran=True)
    with freezegun.freeze_time("2026-01-01") as clock:
        targets = StoppingTargets([hang], clock, answer_seconds=answer_seconds)
        context = make_request_context(idempotent=False, is_repeatable=True, attempts=1)
        run(targets, context, targets.stop_plan)
    assert targets.released == [("t-0", outcome_class)]


def test_slot_that_is_granted_too_late_in_a_stop_is_kept_or_used():
    with freezegun.freeze_time("2026-01-01") as clock:
        steps = [answer(200, SIGNED, ran=True)]
        targets = StoppingTargets(steps, clock, slot_seconds=0.6 * STOP_SECONDS)
        context = make_request_context(idempotent=False, is_repeatable=True, attempts=1)
        response, refusal = run(targets, context, targets.stop_plan)
    assert response is None
    assert refusal.code == result_codes.ENTRY_STOPPING
    assert targets.sent == []
    assert targets.released == [("t-0", OutcomeClass.NOT_USED)]


@given(
    idempotent=st.booleans(),
    is_repeatable=st.booleans(),
    attempts=st.integers(1, 3),
    is_stopping=st.booleans(),
    has_other_target=st.booleans(),
)
def test_first_attempt_is_given_up_early_though_no_other_may_follow_or_the_reverse(
    idempotent, is_repeatable, attempts, is_stopping, has_other_target
):
    targets = FakeTargets([answer(200, SIGNED, ran=True)], 4.0)
    context = make_request_context(
        idempotent=idempotent, is_repeatable=is_repeatable, attempts=attempts
    )
    run(targets, context, is_stopping=is_stopping, has_other_target=has_other_target)
    may_follow = idempotent and is_repeatable and attempts > 1
    may_follow = may_follow and has_other_target and not is_stopping
    expected = 4.0 if may_follow else DEADLINE_SECONDS
    assert targets.allowed_seconds == pytest.approx([expected], abs=1.0)


class SlowTargets(FakeTargets):
    """Targets that answer after some time, and record the time that they were told."""

    def __init__(self, steps, clock, seconds):
        super().__init__(steps)
        self.clock = clock
        self.seconds = seconds
        self.told_milliseconds = []

    def send(self, address, request, caller):
        told = request.headers["x-citronspan-deadline-ms"]
        self.told_milliseconds.append(int(told))
        self.clock.tick(self.seconds)
        return super().send(address, request, caller)


def test_target_of_a_retry_is_told_the_time_that_the_first_one_had():
    steps = [answer(500, SIGNED, ran=True)] * 2 + [answer(200, SIGNED, ran=True)]
    with freezegun.freeze_time("2026-01-01") as clock:
        targets = SlowTargets(steps, clock, 9.0)
        context = make_request_context(idempotent=True, is_repeatable=True, attempts=3)
        run(targets, context)
    expected = [30_000, 21_000, 12_000]
    assert targets.told_milliseconds == pytest.approx(expected, abs=1)


@given(
    steps=st.lists(ATTEMPT_STEPS, max_size=6),
    idempotent=st.booleans(),
    valid_looks=st.integers(0, 8),
    obstacle=st.sampled_from([KEY_REFUSED, ACCOUNT_REFUSED]),
)
def test_request_is_sent_or_its_result_is_hidden_after_its_key_went(
    steps, idempotent, valid_looks, obstacle
):
    targets = WithdrawingTargets(steps, -1)
    looks = []

    def find_key_obstacle(request_context):
        looks.append(len(targets.sent))
        return None if len(looks) <= valid_looks else obstacle

    context = make_request_context(
        idempotent=idempotent, is_repeatable=True, attempts=4
    )
    attempt_response, refusal = run(
        targets, context, find_key_obstacle=find_key_obstacle
    )
    # Nothing is sent after the look that found the key gone.
    if len(looks) > valid_looks:
        assert len(targets.sent) == looks[valid_looks]
    if refusal is None:
        assert any(step.ran for step in targets.sent)
        return
    ran = refusal.ran or refusal.code.ran
    assert targets.count_runs() == 0 or ran is not Ran.NOT_RUN
    if refusal.code in (
        result_codes.ACCOUNT_KEY_UNKNOWN,
        result_codes.ACCOUNT_CHANGED,
    ):
        assert refusal.code is obstacle.code
        assert (refusal.retry_after_seconds is None) is (obstacle is KEY_REFUSED)
        assert len(looks) > valid_looks
    assert len(targets.released) == targets.granted_count


def test_rank_of_the_account_goes_into_the_slot_request():
    targets = FakeTargets([answer(200, SIGNED, ran=True)])
    context = make_request_context(idempotent=True, is_repeatable=True, attempts=1)
    context = dataclasses.replace(
        context, account="a", account_weight=3.5, account_rank=1
    )
    run(targets, context)
    (query,) = targets.queries
    assert (query.account, query.account_weight, query.worth) == ("a", 3.5, 0.5)
