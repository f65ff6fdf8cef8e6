"""Attempts of one request at targets, and whether another one may follow."""

import dataclasses
import math
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import logbook
from opentelemetry import trace

from citronspan.core import log_events, result_codes
from citronspan.core.outcomes import RAN_BY_OUTCOME_CLASS, Outcome, OutcomeClass
from citronspan.core.resources import RouteSpec, ServiceSpec
from citronspan.core.result_codes import Ran
from citronspan.core.retry_budget import (
    BrokerRetryBudget,
    RetryBudget,
    RetryDecision,
    decide_retry,
)
from citronspan.core.route_table import Route
from citronspan.ops.caller_request import CallerBody, CallerRequest
from citronspan.ops.dialect import Addressee, Dialect
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.ops.refusals import Refusal
from citronspan.ops.slot_source import Slot, SlotAsk, SlotRefused, SlotSource
from citronspan.ops.target_connection import (
    AttemptFailedError,
    TargetAnswer,
    TargetConnections,
    TargetRequest,
)
from citronspan.utils.logs import write_event
from citronspan.utils.traces import inject_context, start_span

# An idempotent attempt may use this share of the time left, so that another one
# still fits in after a slow target.
ATTEMPT_SHARE = 0.5
REFUSED_SECONDS = 0.3
"""Time after which a request that every target refused may find one with room."""

BUFFERED_ANSWER_BYTES = 64 * 1024
_logger = logbook.Logger("attempts")

NOT_ARRIVED_CLASSES = frozenset({OutcomeClass.CONNECT_FAILED, OutcomeClass.NOT_USED})
"""Outcomes of attempts of which the target saw no request."""

# Less time than this is not worth another attempt.
MINIMUM_ATTEMPT_SECONDS = 0.01


@dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """One request with what was found out about it."""

    request: CallerRequest
    body: CallerBody
    route: Route
    service_name: str
    service: ServiceSpec
    deadline: float
    goal: float
    fingerprint: int

    @property
    def spec(self) -> RouteSpec:
        """Specification of the route."""
        return self.route.spec


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """An attempt that brought the head of an answer.

    Attributes:
        slot: The slot that is still held.
        answer: The answer.
        head: Bytes of the body that were read ahead.
        is_whole: Whether the head is the whole body.
        outcome_class: What the head of the answer says.
        started: When the attempt began.
        first_byte: When the head of the answer was here.
        is_released: Whether the slot was given back already.
    """

    slot: Slot
    answer: TargetAnswer
    head: bytes
    is_whole: bool
    outcome_class: OutcomeClass
    started: float
    first_byte: float
    is_released: bool = False


class AttemptRunner:
    """Runs the attempts of requests."""

    def __init__(
        self,
        *,
        slots: SlotSource,
        connections: TargetConnections,
        metrics: EntryMetrics,
        tracer: trace.Tracer,
        dialect: Dialect,
        reuse_seconds: float,
        is_stopping: Callable[[], bool],
    ):
        self._dialect = dialect
        self._is_stopping = is_stopping
        self._reuse_seconds = reuse_seconds
        self._slots = slots
        self._connections = connections
        self._metrics = metrics
        self._tracer = tracer
        self._lock = threading.Lock()
        self._budget_by_service: dict[str, RetryBudget] = {}

    def run(self, work: Work) -> Answered:
        """Try targets until one answers or trying again is not allowed.

        Args:
            work: The request.

        Returns:
            The answer to pass on; its slot is still held.

        Raises:
            Refusal: If no target brought an answer.
            CitronspanError: With code 3012 if the caller cut its body short.
        """
        tried: tuple[str, ...] = ()
        has_run = False
        has_arrived = False
        kept: Answered | None = None
        budget = self._find_budget(work)
        with self._lock:
            budget.count_first_attempt()
        while True:
            slot = self._acquire(work, tried, has_arrived)
            if isinstance(slot, SlotRefused):
                if kept is not None:
                    return self._accept(work, kept, has_run)
                raise _make_slot_refusal(work, slot, has_run)
            if kept is not None:
                kept.answer.abandon()
                kept = None
            tried = (*tried, slot.target)
            answered = None
            try:
                answered = self._attempt(work, slot, is_last=self._is_last(work, tried))
                last_class = answered.outcome_class
            except AttemptFailedError as error:
                last_class = error.outcome_class
            has_run = has_run or RAN_BY_OUTCOME_CLASS[last_class] is not Ran.NOT_RUN
            has_arrived = has_arrived or last_class not in NOT_ARRIVED_CLASSES
            if not self._may_retry(work, budget, last_class, tried):
                break
            if answered is not None:
                # The broker hears of the failure before it chooses again; the
                # answer is kept in case there is no other target.
                self.release(work, answered)
                kept = dataclasses.replace(answered, is_released=True)
            self._metrics.count_retry(work.service_name)
        if answered is None:
            raise _make_refusal(last_class, has_run)
        return self._accept(work, answered, has_run)

    def _accept(self, work, answered, has_run):
        """Return an answer that is passed on, unless it says "not run"."""
        if RAN_BY_OUTCOME_CLASS[answered.outcome_class] is not Ran.NOT_RUN:
            return answered
        answered.answer.abandon()
        self.release(work, answered)
        raise _make_refusal(answered.outcome_class, has_run)

    def _acquire(self, work, tried, has_arrived) -> Slot | SlotRefused:
        ask = SlotAsk(
            service=work.service_name,
            request_kind=work.spec.request_kind,
            worth=work.spec.worth,
            deadline=work.deadline,
            idempotent=work.spec.idempotent,
            excluded=tried,
            fingerprint=work.fingerprint,
            body_bytes=work.body.length or 0,
            is_retry=has_arrived,
            goal=work.goal,
            is_gone=work.request.connection.is_gone,
            request_id=work.request.request_id,
        )
        with start_span(self._tracer, "broker-wait"):
            return self._slots.acquire(ask)

    def _is_last(self, work, tried) -> bool:
        """Return whether no attempt follows, whatever this one comes to."""
        if self._is_stopping() or not work.spec.idempotent:
            return True
        return len(tried) >= work.spec.maximum_attempts or not work.body.is_repeatable

    def _attempt(self, work: Work, slot: Slot, *, is_last: bool) -> Answered:
        started = time.monotonic()
        try:
            with start_span(self._tracer, "dispatch") as span:
                span.set_attribute("citronspan.target", slot.target)
                answer = self._send(work, slot, started, is_last)
                first_byte = time.monotonic()
                head, is_whole = _read_ahead(answer)
                outcome_class = self._dialect.classify(
                    answer.status, answer.find_header
                )
        except AttemptFailedError as error:
            self._release_failed(work, slot, started, error.outcome_class)
            raise
        except BaseException:
            self._release_failed(work, slot, started, OutcomeClass.CANCELLED)
            raise
        return Answered(
            slot=slot,
            answer=answer,
            head=head,
            is_whole=is_whole,
            outcome_class=outcome_class,
            started=started,
            first_byte=first_byte,
        )

    def _send(self, work, slot, started, is_last):
        deadline = work.deadline
        if not is_last:
            deadline = started + (work.deadline - started) * ATTEMPT_SHARE
        headers = dict(work.request.headers)
        addressee = Addressee(target=slot.target, seconds=deadline - started)
        headers.update(self._dialect.make_target_headers(addressee))
        if work.request.key:
            headers["idempotency-key"] = work.request.key
        headers.update(work.request.trace_headers)
        inject_context(self._tracer, headers)
        request = TargetRequest(
            method=work.request.method,
            uri=work.request.uri,
            headers=headers,
            body=work.body,
            reuse_seconds=math.inf if work.spec.idempotent else self._reuse_seconds,
            deadline=deadline,
            request_id=work.request.request_id,
        )
        answer = self._connections.send(slot.address, request, work.request.connection)
        if not answer.is_checkable and not self._dialect.accepts_unframed_answers:
            answer.abandon()
            raise AttemptFailedError(
                outcome_class=OutcomeClass.ANSWER_LOST,
                detail="the answer has neither length nor chunks",
            )
        return answer

    def _find_budget(self, work):
        with self._lock:
            budget = self._budget_by_service.get(work.service_name)
            if work.service.retry_window_seconds:
                return BrokerRetryBudget()
            if budget is None or budget.ratio != work.service.retry_ratio:
                budget = RetryBudget(ratio=work.service.retry_ratio)
                self._budget_by_service[work.service_name] = budget
        return budget

    def _may_retry(self, work, budget, outcome_class, tried) -> bool:
        if len(tried) >= work.spec.maximum_attempts or not work.body.is_repeatable:
            return False
        with self._lock:
            decision = decide_retry(
                budget,
                outcome_class,
                idempotent=work.spec.idempotent,
                remaining_seconds=work.deadline - time.monotonic(),
                needed_seconds=MINIMUM_ATTEMPT_SECONDS,
            )
        return decision is RetryDecision.ALLOWED

    def release(
        self,
        work: Work,
        answered: Answered,
        outcome_class: OutcomeClass | None = None,
        answer_bytes: int = 0,
    ) -> None:
        """Give the slot of an answer back.

        Args:
            work: The request.
            answered: The answer.
            outcome_class: What the attempt came to, where that is worse than the
                head of the answer said.
            answer_bytes: Bytes of the body.
        """
        if answered.is_released:
            return
        outcome = Outcome(
            target=answered.slot.target,
            outcome_class=outcome_class or answered.outcome_class,
            latency_seconds=answered.first_byte - answered.started,
            deadline_seconds=max(work.deadline - answered.started, 0.0),
            request_kind=work.spec.request_kind,
            fingerprint=work.fingerprint,
            load=self._dialect.read_load(answered.answer.find_header),
        )
        self._report(work, answered.slot, outcome, answered.answer.status)
        self._slots.release(answered.slot, outcome, answer_bytes)

    def _report(self, work, slot, outcome, status):
        """Count an attempt, and log one that did not go well."""
        self._metrics.count_attempt(work.service_name, outcome.outcome_class)
        if outcome.outcome_class is OutcomeClass.OK:
            return
        write_event(
            _logger,
            log_events.ATTEMPT_FAILED,
            id=work.request.request_id,
            service=work.service_name,
            target=slot.target,
            broker=slot.broker,
            outcome=outcome.outcome_class,
            status=status,
            seconds=round(outcome.latency_seconds, 4),
            left=round(work.deadline - time.monotonic(), 3),
        )

    def _release_failed(self, work, slot, started, outcome_class):
        outcome = Outcome(
            target=slot.target,
            outcome_class=outcome_class,
            latency_seconds=time.monotonic() - started,
            deadline_seconds=max(work.deadline - started, 0.0),
            request_kind=work.spec.request_kind,
            fingerprint=work.fingerprint,
        )
        self._report(work, slot, outcome, 0)
        self._slots.release(slot, outcome, 0)


def _read_ahead(answer: TargetAnswer) -> tuple[bytes, bool]:
    """Read a small body whole, so that a cut one can still be tried again."""
    if answer.is_bodyless:
        return b"", True
    if answer.length is not None and answer.length > BUFFERED_ANSWER_BYTES:
        return b"", False
    head = b""
    while len(head) < BUFFERED_ANSWER_BYTES:
        data = answer.read(BUFFERED_ANSWER_BYTES - len(head))
        if not data:
            return head, True
        head += data
    return head, answer.length == 0


def _make_slot_refusal(work, refused: SlotRefused, has_run: bool) -> Refusal:
    """Return the refusal for a request that gets no slot."""
    if has_run:
        return _make_refusal(OutcomeClass.ANSWER_LOST, has_run)
    return Refusal(
        code=refused.code,
        detail=f"service {work.service_name!r}",
        retry_after_seconds=refused.retry_after_seconds,
    )


def _make_refusal(outcome_class: OutcomeClass, has_run: bool) -> Refusal:
    """Return the refusal for the last outcome of a request that is given up."""
    ran = Ran.MAY_HAVE_RUN if has_run else Ran.NOT_RUN
    if not has_run:
        code = result_codes.TARGET_REFUSED
    elif outcome_class is OutcomeClass.TIMED_OUT:
        code = result_codes.DEADLINE_PASSED
    else:
        code = result_codes.ANSWER_LOST
    return Refusal(
        code=code,
        detail=f"last attempt: {outcome_class}",
        ran=ran,
        retry_after_seconds=None if has_run else REFUSED_SECONDS,
    )
