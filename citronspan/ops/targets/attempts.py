"""Sends a request to targets and decides whether a failed attempt is retried."""

import math
import time
from collections.abc import Callable

import logbook
from opentelemetry import trace

from citronspan.core.outcomes import RAN_BY_OUTCOME_CLASS, OutcomeClass
from citronspan.core.requests.attempt_deadline import AttemptDeadline
from citronspan.core.requests.hedging import judge_ended
from citronspan.core.requests.retry_budget import RetryDecision
from citronspan.core.requests.stop_plan import StopPlan
from citronspan.core.result_codes import Ran
from citronspan.ops.callers.open_requests import Stage
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.ops.slots.slot_source import Slot, SlotRefused, SlotSource
from citronspan.ops.targets.attempt_context import AttemptResponse, RequestContext
from citronspan.ops.targets.attempt_progress import AttemptProgress
from citronspan.ops.targets.attempt_refusals import (
    STOP_REFUSED,
    make_refusal,
    make_slot_refusal,
)
from citronspan.ops.targets.attempt_reporter import AttemptReporter
from citronspan.ops.targets.attempt_slots import AttemptSlots
from citronspan.ops.targets.dialect import Dialect, TargetAttempt
from citronspan.ops.targets.hedged_attempt import HedgedAttempts
from citronspan.ops.targets.retry_budgets import RetryBudgets
from citronspan.ops.targets.target_answer import AttemptFailedError, TargetAnswer
from citronspan.ops.targets.target_connection import TargetConnections, TargetRequest
from citronspan.utils.traces import inject_context, start_span

ATTEMPT_DEADLINE_SHARE = 0.5
"""Share of the remaining time that a retryable attempt may use if the broker left it
open, so that there is time for another one after a slow target."""

MAXIMUM_BUFFERED_ANSWER_BYTES = 64 * 1024
_logger = logbook.Logger("attempts")

UNDELIVERED_CLASSES = frozenset({OutcomeClass.CONNECT_FAILED, OutcomeClass.NOT_USED})
"""Outcomes of attempts whose request did not reach the target."""

MAXIMUM_WITHDRAWN_SLOTS = 3
"""Slots of a request that are given back unused because the target may not be used any
more. They don't count as attempts."""

# No retry is made with less time than this before the deadline.
MINIMUM_ATTEMPT_SECONDS = 0.01


class AttemptRunner:
    """Runs the attempts of requests and their retries."""

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
        has_other_target: Callable[[str, tuple[str, ...]], bool],
        stop_plan: StopPlan | None = None,
        find_key_obstacle: Callable[[RequestContext], SlotRefused | None] = (
            lambda _: None
        ),
    ):
        """Create a runner.

        Args:
            slots: Grants the slots of targets.
            connections: Connections to targets.
            metrics: Counts attempts and retries.
            tracer: Makes the spans.
            dialect: Headers of the targets.
            reuse_seconds: Longest idle time of a connection for a request that must
                not run twice.
            is_stopping: Returns whether the host was told to stop.
            has_other_target: Returns whether a service has a target that stays, other
                than the given ones.
            stop_plan: Knows when a stop ends, None for a host that never stops.
            find_key_obstacle: Returns why a request may not be sent by the accounts of
                the configuration in force, or None.
        """
        self._dialect = dialect
        self._find_key_obstacle = find_key_obstacle
        self._is_stopping = is_stopping
        self._has_other_target = has_other_target
        self._reuse_seconds = reuse_seconds
        self._slots = slots
        self._connections = connections
        self._metrics = metrics
        self._tracer = tracer
        self._stop_plan = stop_plan or StopPlan()
        self._reporter = AttemptReporter(
            slots=slots, metrics=metrics, dialect=dialect, stop_plan=self._stop_plan
        )
        self._attempt_slots = AttemptSlots(
            slots=slots,
            reporter=self._reporter,
            tracer=tracer,
            find_obstacle=self._find_obstacle,
        )
        self._budgets = RetryBudgets()
        self._hedged_attempts = HedgedAttempts(
            slots=slots,
            metrics=metrics,
            reporter=self._reporter,
            budgets=self._budgets,
            attempt=self._attempt,
            may_begin=lambda context: (
                not is_stopping() and self._find_obstacle(context) is None
            ),
        )

    def run(self, request_context: RequestContext) -> AttemptResponse:
        """Send the request to targets until one answers or no retry is allowed.

        Args:
            request_context: The request.

        Returns:
            The response to forward. Its slot is held until ``release``, unless
            ``is_released`` is set.

        Raises:
            Refusal: If no target returned an answer that can be forwarded.
            CitronspanError: With code 3012 if the caller's body ended early.
        """
        budget = self._budgets.begin_request(
            request_context.service_name, request_context.service
        )
        progress = AttemptProgress(budget)
        try:
            attempt_response = self._run_attempts(request_context, progress)
        finally:
            self._attempt_slots.return_next(request_context, progress)
        return self._accept_response(
            request_context, attempt_response, progress.may_have_run
        )

    def _run_attempts(self, request_context, progress) -> AttemptResponse:
        while True:
            slot = self._attempt_slots.acquire(request_context, progress)
            if isinstance(slot, SlotRefused):
                attempt_response = progress.fallback.take()
                if attempt_response is not None:
                    return attempt_response
                raise make_slot_refusal(request_context, slot, progress.may_have_run)
            progress.tried = (*progress.tried, slot.target)
            attempt_response = None
            hedged = self._hedged_attempts.prepare(request_context, slot, progress)
            run_attempt = self._attempt if hedged is None else hedged.run
            try:
                attempt_response = run_attempt(request_context, slot, progress)
                last_class = attempt_response.outcome_class
            except AttemptFailedError as error:
                last_class = error.outcome_class
                if (
                    error.is_withdrawn
                    and len(progress.withdrawn) < MAXIMUM_WITHDRAWN_SLOTS
                ):
                    progress.tried = progress.tried[:-1]
                    progress.withdrawn = (*progress.withdrawn, slot.target)
                    continue
                if not error.is_withdrawn:
                    progress.fallback.drop()
            progress.may_have_run = (
                progress.may_have_run
                or RAN_BY_OUTCOME_CLASS[last_class] is not Ran.NOT_RUN
            )
            progress.has_reached_target = (
                progress.has_reached_target or last_class not in UNDELIVERED_CLASSES
            )
            if progress.next_slot is None and not self._may_retry(
                request_context, progress, last_class
            ):
                break
            if attempt_response is not None:
                # Release first, so that the broker has the failed outcome when it
                # chooses the next target.
                self.release(request_context, attempt_response)
                progress.fallback.keep(attempt_response)
            self._metrics.count_retry(request_context.service_name)
        attempt_response = attempt_response or progress.fallback.take()
        if attempt_response is None:
            raise make_refusal(last_class, progress.may_have_run)
        return attempt_response

    def _accept_response(self, request_context, attempt_response, may_have_run):
        """Return the response, or raise a refusal if it must not be forwarded."""
        answer = attempt_response.answer
        has_run = (
            RAN_BY_OUTCOME_CLASS[attempt_response.outcome_class] is not Ran.NOT_RUN
        )
        if has_run and self._dialect.may_forward(answer.status, answer.find_header):
            answer.lift_limit()
            return attempt_response
        answer.abort_response()
        self.release(request_context, attempt_response)
        raise make_refusal(
            attempt_response.outcome_class,
            may_have_run,
            self._reporter.find_pause_seconds(request_context, attempt_response),
        )

    def _prepare_next(self, request_context, progress, has_answer) -> bool:
        """Get a retry all that it needs; see ``AttemptDeadline``.

        Raises:
            AttemptFailedError: If the caller has left, so that nobody awaits the
                attempt nor a retry.
        """
        if progress.is_hedge or progress.is_hedged:
            return progress.is_hedged
        has_slot = self._acquire_next(request_context, progress, has_answer)
        if request_context.request.connection.is_disconnected():
            self._attempt_slots.return_next(request_context, progress)
            raise AttemptFailedError(
                outcome_class=OutcomeClass.CANCELLED, detail="the caller disconnected"
            )
        return has_slot

    def _acquire_next(self, request_context, progress, has_answer) -> bool:
        if not self._may_retry(request_context, progress, OutcomeClass.TIMED_OUT):
            return False
        has_slot = self._attempt_slots.acquire_next(
            request_context,
            progress,
            lambda: has_answer() or self._is_last_attempt(request_context, progress),
        )
        if not has_slot:
            self._budgets.refund(progress.budget)
        return has_slot

    def _find_obstacle(self, request_context) -> SlotRefused | None:
        """Return why the request may not be sent any more, or None."""
        if self.is_too_late(request_context):
            return STOP_REFUSED
        return self._find_key_obstacle(request_context)

    def is_too_late(self, request_context: RequestContext) -> bool:
        """Return whether the host stops before the request could end."""
        return self._stop_plan.is_too_late(
            request_context.work_kind,
            request_context.deadline,
            received_at=request_context.open_request.received_at,
            whole_at=request_context.open_request.whole_at,
        )

    def _is_last_attempt(self, request_context, progress) -> bool:
        """Return whether no retry can follow the attempt, whatever its outcome.

        This may become true while the attempt runs.
        """
        if self._is_stopping() or not request_context.spec.idempotent:
            return True
        return (
            len(progress.tried) >= request_context.spec.maximum_attempts
            or not request_context.body.is_repeatable
            or not self._has_other_target(request_context.service_name, progress.tried)
        )

    def _attempt(
        self,
        request_context: RequestContext,
        slot: Slot,
        progress: AttemptProgress,
    ) -> AttemptResponse:
        started_at = time.monotonic()
        request_context.open_request.stage = Stage.AT_TARGET
        request_context.open_request.sent_at = started_at
        try:
            with start_span(self._tracer, "dispatch") as span:
                span.set_attribute("citronspan.target", slot.target)
                answer = self._send(request_context, slot, started_at, progress)
                first_byte_at = time.monotonic()
                body_start, is_whole = _read_ahead(answer)
                outcome_class = self._dialect.classify(
                    answer.status, answer.find_header
                )
        except AttemptFailedError as error:
            if progress.line is not None:
                error.outcome_class = judge_ended(
                    error.outcome_class, was_ended=progress.line.is_ended
                )
            self._reporter.release_failed(
                request_context, slot, started_at, error.outcome_class
            )
            raise
        except BaseException:
            progress.fallback.drop()
            self._reporter.release_failed(
                request_context, slot, started_at, OutcomeClass.CANCELLED
            )
            raise
        return AttemptResponse(
            slot=slot,
            answer=answer,
            body_start=body_start,
            is_whole=is_whole,
            outcome_class=outcome_class,
            started_at=started_at,
            first_byte_at=first_byte_at,
        )

    def _send(self, request_context, slot, started_at, progress):
        remaining_seconds = request_context.deadline - started_at
        headers = dict(request_context.request.headers)
        # The target may use all of the time: an attempt that is given up before is
        # cancelled by the end of its connection.
        target_attempt = TargetAttempt(
            target=slot.target,
            seconds=remaining_seconds,
            account=request_context.account_title,
        )
        headers.update(self._dialect.make_target_headers(target_attempt))
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
            deadline=self._make_deadline(request_context, slot, started_at, progress),
            request_id=request_context.request.request_id,
            may_send=lambda: self._may_send(request_context, slot, progress),
            line=progress.line,
        )
        answer = self._connections.send(
            slot.address, request, request_context.request.connection
        )
        self._reporter.report_notice(request_context, slot, answer)
        if not answer.is_framed and not self._dialect.accepts_unframed_answers:
            answer.abort_response()
            raise AttemptFailedError(
                outcome_class=OutcomeClass.ANSWER_LOST,
                detail="the answer has no Content-Length and is not chunked",
            )
        return answer

    def _may_send(self, request_context, slot, progress) -> bool:
        """Return whether to send an attempt, whose answer replaces an earlier one.

        If its account or key went, the next look for a slot refuses the request.
        """
        if self._find_key_obstacle(request_context) is not None:
            return False
        if not self._slots.may_use(slot, request_context.request.request_id):
            return False
        progress.fallback.drop()
        return True

    def _make_deadline(self, request_context, slot, started_at, progress):
        attempt_seconds = slot.attempt_seconds or (
            (request_context.deadline - started_at) * ATTEMPT_DEADLINE_SHARE
        )
        return AttemptDeadline(
            request_deadline=request_context.deadline,
            limit=started_at + attempt_seconds,
            may_be_retried=lambda: not self._is_last_attempt(request_context, progress),
            find_end=self._stop_plan.find_end,
            prepare_next=lambda has_answer: self._prepare_next(
                request_context, progress, has_answer
            ),
        )

    def _may_retry(self, request_context, progress, outcome_class) -> bool:
        if (
            len(progress.tried) >= request_context.spec.maximum_attempts
            or not request_context.body.is_repeatable
        ):
            return False
        decision = self._budgets.decide(
            progress.budget,
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
        """Release the slot of a response; see ``AttemptReporter.release``."""
        self._reporter.release(
            request_context, attempt_response, outcome_class, answer_bytes
        )


def _read_ahead(answer: TargetAnswer) -> tuple[bytes, bool]:
    """Read up to the buffer size of the body.

    A truncated small body is detected here, before any of it was forwarded, so that
    the request can still be retried.

    Returns:
        The bytes, and whether they are the whole body.
    """
    if answer.is_bodyless:
        return b"", True
    if answer.length is not None and answer.length > MAXIMUM_BUFFERED_ANSWER_BYTES:
        return b"", False
    body_start = b""
    while len(body_start) < MAXIMUM_BUFFERED_ANSWER_BYTES:
        data = answer.read(MAXIMUM_BUFFERED_ANSWER_BYTES - len(body_start))
        if not data:
            return body_start, True
        body_start += data
    return body_start, answer.length == 0
