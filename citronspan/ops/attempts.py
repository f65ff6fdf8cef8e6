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
from citronspan.ops.dialect import Dialect, TargetAttempt
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.ops.refusals import Refusal
from citronspan.ops.slot_source import Slot, SlotQuery, SlotRefused, SlotSource
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
REFUSED_RETRY_AFTER_SECONDS = 0.3
"""Time after which a request that every target refused may find one with room."""

BUFFERED_ANSWER_BYTES = 64 * 1024
_logger = logbook.Logger("attempts")

NOT_ARRIVED_CLASSES = frozenset({OutcomeClass.CONNECT_FAILED, OutcomeClass.NOT_USED})
"""Outcomes of attempts of which the target saw no request."""

# Less time than this is not worth another attempt.
MINIMUM_ATTEMPT_SECONDS = 0.01


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestContext:
    """One request with what was found out about it."""

    request: CallerRequest
    body: CallerBody
    route: Route
    service_name: str
    service: ServiceSpec
    deadline: float
    goal_time: float
    fingerprint: int

    @property
    def spec(self) -> RouteSpec:
        """Specification of the route."""
        return self.route.spec


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptResponse:
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

    def run(self, request_context: RequestContext) -> AttemptResponse:
        """Try targets until one answers or trying again is not allowed.

        Args:
            request_context: The request.

        Returns:
            The answer to pass on; its slot is still held.

        Raises:
            Refusal: If no target brought an answer.
            CitronspanError: With code 3012 if the caller cut its body short.
        """
        tried: tuple[str, ...] = ()
        has_run = False
        has_arrived = False
        kept: AttemptResponse | None = None
        budget = self._find_budget(request_context)
        with self._lock:
            budget.count_first_attempt()
        while True:
            slot = self._acquire(request_context, tried, has_arrived)
            if isinstance(slot, SlotRefused):
                if kept is not None:
                    return self._accept(request_context, kept, has_run)
                raise _make_slot_refusal(request_context, slot, has_run)
            if kept is not None:
                kept.answer.abort_response()
                kept = None
            tried = (*tried, slot.target)
            attempt_response = None
            try:
                attempt_response = self._attempt(
                    request_context, slot, is_last=self._is_last(request_context, tried)
                )
                last_class = attempt_response.outcome_class
            except AttemptFailedError as error:
                last_class = error.outcome_class
            has_run = has_run or RAN_BY_OUTCOME_CLASS[last_class] is not Ran.NOT_RUN
            has_arrived = has_arrived or last_class not in NOT_ARRIVED_CLASSES
            if not self._may_retry(request_context, budget, last_class, tried):
                break
            if attempt_response is not None:
                # The broker hears of the failure before it chooses again; the
                # answer is kept in case there is no other target.
                self.release(request_context, attempt_response)
                kept = dataclasses.replace(attempt_response, is_released=True)
            self._metrics.count_retry(request_context.service_name)
        if attempt_response is None:
            raise _make_refusal(last_class, has_run)
        return self._accept(request_context, attempt_response, has_run)

    def _accept(self, request_context, attempt_response, has_run):
        """Return an answer that is passed on, unless it says "not run"."""
        if RAN_BY_OUTCOME_CLASS[attempt_response.outcome_class] is not Ran.NOT_RUN:
            return attempt_response
        attempt_response.answer.abort_response()
        self.release(request_context, attempt_response)
        raise _make_refusal(attempt_response.outcome_class, has_run)

    def _acquire(self, request_context, tried, has_arrived) -> Slot | SlotRefused:
        ask = SlotQuery(
            service=request_context.service_name,
            request_kind=request_context.spec.request_kind,
            worth=request_context.spec.worth,
            deadline=request_context.deadline,
            idempotent=request_context.spec.idempotent,
            excluded=tried,
            fingerprint=request_context.fingerprint,
            body_bytes=request_context.body.length or 0,
            is_retry=has_arrived,
            goal_time=request_context.goal_time,
            is_disconnected=request_context.request.connection.is_disconnected,
            request_id=request_context.request.request_id,
        )
        with start_span(self._tracer, "broker-wait"):
            return self._slots.acquire(ask)

    def _is_last(self, request_context, tried) -> bool:
        """Return whether no attempt follows, whatever this one comes to."""
        if self._is_stopping() or not request_context.spec.idempotent:
            return True
        return (
            len(tried) >= request_context.spec.maximum_attempts
            or not request_context.body.is_repeatable
        )

    def _attempt(
        self, request_context: RequestContext, slot: Slot, *, is_last: bool
    ) -> AttemptResponse:
        started = time.monotonic()
        try:
            with start_span(self._tracer, "dispatch") as span:
                span.set_attribute("citronspan.target", slot.target)
                answer = self._send(request_context, slot, started, is_last)
                first_byte = time.monotonic()
                head, is_whole = _read_ahead(answer)
                outcome_class = self._dialect.classify(
                    answer.status, answer.find_header
                )
        except AttemptFailedError as error:
            self._release_failed(request_context, slot, started, error.outcome_class)
            raise
        except BaseException:
            self._release_failed(request_context, slot, started, OutcomeClass.CANCELLED)
            raise
        return AttemptResponse(
            slot=slot,
            answer=answer,
            head=head,
            is_whole=is_whole,
            outcome_class=outcome_class,
            started=started,
            first_byte=first_byte,
        )

    def _send(self, request_context, slot, started, is_last):
        deadline = request_context.deadline
        if not is_last:
            deadline = started + (request_context.deadline - started) * ATTEMPT_SHARE
        headers = dict(request_context.request.headers)
        addressee = TargetAttempt(target=slot.target, seconds=deadline - started)
        headers.update(self._dialect.make_target_headers(addressee))
        if request_context.request.key:
            headers["idempotency-key"] = request_context.request.key
        headers.update(request_context.request.trace_headers)
        inject_context(self._tracer, headers)
        request = TargetRequest(
            method=request_context.request.method,
            uri=request_context.request.uri,
            headers=headers,
            body=request_context.body,
            reuse_seconds=math.inf
            if request_context.spec.idempotent
            else self._reuse_seconds,
            deadline=deadline,
            request_id=request_context.request.request_id,
        )
        answer = self._connections.send(
            slot.address, request, request_context.request.connection
        )
        if not answer.is_checkable and not self._dialect.accepts_unframed_answers:
            answer.abort_response()
            raise AttemptFailedError(
                outcome_class=OutcomeClass.ANSWER_LOST,
                detail="the answer has neither length nor chunks",
            )
        return answer

    def _find_budget(self, request_context):
        with self._lock:
            budget = self._budget_by_service.get(request_context.service_name)
            if request_context.service.retry_window_seconds:
                return BrokerRetryBudget()
            if budget is None or budget.ratio != request_context.service.retry_ratio:
                budget = RetryBudget(ratio=request_context.service.retry_ratio)
                self._budget_by_service[request_context.service_name] = budget
        return budget

    def _may_retry(self, request_context, budget, outcome_class, tried) -> bool:
        if (
            len(tried) >= request_context.spec.maximum_attempts
            or not request_context.body.is_repeatable
        ):
            return False
        with self._lock:
            decision = decide_retry(
                budget,
                outcome_class,
                idempotent=request_context.spec.idempotent,
                remaining_seconds=request_context.deadline - time.monotonic(),
                needed_seconds=MINIMUM_ATTEMPT_SECONDS,
            )
        return decision is RetryDecision.ALLOWED

    def release(
        self,
        request_context: RequestContext,
        attempt_response: AttemptResponse,
        outcome_class: OutcomeClass | None = None,
        answer_bytes: int = 0,
    ) -> None:
        """Give the slot of an answer back.

        Args:
            request_context: The request.
            attempt_response: The answer.
            outcome_class: What the attempt came to, where that is worse than the
                head of the answer said.
            answer_bytes: Bytes of the body.
        """
        if attempt_response.is_released:
            return
        outcome = Outcome(
            target=attempt_response.slot.target,
            outcome_class=outcome_class or attempt_response.outcome_class,
            latency_seconds=attempt_response.first_byte - attempt_response.started,
            deadline_seconds=max(
                request_context.deadline - attempt_response.started, 0.0
            ),
            request_kind=request_context.spec.request_kind,
            fingerprint=request_context.fingerprint,
            load=self._dialect.read_load(attempt_response.answer.find_header),
        )
        self._report(
            request_context,
            attempt_response.slot,
            outcome,
            attempt_response.answer.status,
        )
        self._slots.release(attempt_response.slot, outcome, answer_bytes)

    def _report(self, request_context, slot, outcome, status):
        """Count an attempt, and log one that did not go well."""
        self._metrics.count_attempt(request_context.service_name, outcome.outcome_class)
        if outcome.outcome_class is OutcomeClass.OK:
            return
        write_event(
            _logger,
            log_events.ATTEMPT_FAILED,
            id=request_context.request.request_id,
            service=request_context.service_name,
            target=slot.target,
            broker=slot.broker,
            outcome=outcome.outcome_class,
            status=status,
            seconds=round(outcome.latency_seconds, 4),
            left=round(request_context.deadline - time.monotonic(), 3),
        )

    def _release_failed(self, request_context, slot, started, outcome_class):
        outcome = Outcome(
            target=slot.target,
            outcome_class=outcome_class,
            latency_seconds=time.monotonic() - started,
            deadline_seconds=max(request_context.deadline - started, 0.0),
            request_kind=request_context.spec.request_kind,
            fingerprint=request_context.fingerprint,
        )
        self._report(request_context, slot, outcome, 0)
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


def _make_slot_refusal(request_context, refused: SlotRefused, has_run: bool) -> Refusal:
    """Return the refusal for a request that gets no slot."""
    if has_run:
        return _make_refusal(OutcomeClass.ANSWER_LOST, has_run)
    return Refusal(
        code=refused.code,
        detail=f"service {request_context.service_name!r}",
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
        retry_after_seconds=None if has_run else REFUSED_RETRY_AFTER_SECONDS,
    )
