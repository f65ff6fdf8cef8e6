"""Reports the end of attempts: to the slots, the metrics and the log."""

import time

import logbook

from citronspan.core import log_events
from citronspan.core.detection.target_notices import TargetNotice
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.rate_limits import RateLimit
from citronspan.core.requests.stop_plan import StopPlan
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.ops.slots.slot_source import Slot, SlotRefused, SlotSource
from citronspan.ops.targets.attempt_context import AttemptResponse, RequestContext
from citronspan.ops.targets.dialect import Dialect
from citronspan.ops.targets.target_answer import TargetAnswer
from citronspan.utils.logs import write_event

_logger = logbook.Logger("attempts")


class AttemptReporter:
    """Releases the slots of attempts with their outcomes."""

    def __init__(
        self,
        *,
        slots: SlotSource,
        metrics: EntryMetrics,
        dialect: Dialect,
        stop_plan: StopPlan,
    ):
        self._slots = slots
        self._metrics = metrics
        self._dialect = dialect
        self._stop_plan = stop_plan

    def release(
        self,
        request_context: RequestContext,
        attempt_response: AttemptResponse,
        outcome_class: OutcomeClass | None = None,
        answer_bytes: int = 0,
    ) -> None:
        """Release the slot of a response, unless it has been released.

        Args:
            request_context: The request.
            attempt_response: The response.
            outcome_class: Final outcome, if it is worse than that of the response's
                status and headers.
            answer_bytes: Bytes of the body.
        """
        if attempt_response.is_released:
            return
        answer = attempt_response.answer
        notice = self._dialect.read_notice(answer.status, answer.find_header)
        outcome = Outcome(
            target=attempt_response.slot.target,
            outcome_class=self._find_blame(
                outcome_class or attempt_response.outcome_class
            ),
            latency_seconds=attempt_response.first_byte_at
            - attempt_response.started_at,
            deadline_seconds=max(
                request_context.deadline - attempt_response.started_at, 0.0
            ),
            request_kind=request_context.spec.request_kind,
            fingerprint=request_context.fingerprint,
            load=self._dialect.read_load(attempt_response.answer.find_header),
            rate_limit=self._read_rate_limit(attempt_response),
            leaving_incarnation=attempt_response.slot.incarnation
            if notice.is_leaving
            else None,
            pause_seconds=notice.pause_seconds,
        )
        self._observe_seconds(request_context, attempt_response.started_at)
        self._record_attempt(
            request_context,
            attempt_response.slot,
            outcome,
            attempt_response.answer.status,
        )
        self._slots.release(attempt_response.slot, outcome, answer_bytes)

    def report_notice(
        self, request_context: RequestContext, slot: Slot, answer: TargetAnswer
    ) -> None:
        """Report what a target said of itself, before the body of its answer is read.

        Args:
            request_context: The request.
            slot: Slot of the attempt.
            answer: The target's answer.
        """
        notice = self._dialect.read_notice(answer.status, answer.find_header)
        if notice != TargetNotice():
            request_id = request_context.request.request_id
            self._slots.observe_notice(slot, notice, request_id)

    def find_pause_seconds(
        self, request_context: RequestContext, attempt_response: AttemptResponse
    ) -> float:
        """Return when a request that a pausing target turned away may come back.

        Returns:
            Time until a target of the service may be used, 0 if the target didn't ask
            for a pause or another one may be used now.
        """
        answer = attempt_response.answer
        notice = self._dialect.read_notice(answer.status, answer.find_header)
        if not notice.pause_seconds:
            return 0.0
        return self._slots.find_pause_seconds(request_context.service_name)

    def report_kept(
        self, request_context: RequestContext, target: str, refused: SlotRefused
    ) -> None:
        """Log that an attempt goes on past its limit, since no retry has a slot.

        Args:
            request_context: The request.
            target: Name of the target that has not answered.
            refused: Why there is no slot for a retry.
        """
        write_event(
            _logger,
            log_events.ATTEMPT_KEPT,
            id=request_context.request.request_id,
            service=request_context.service_name,
            target=target,
            code=refused.code.number,
            left=round(request_context.deadline - time.monotonic(), 3),
        )

    def _observe_seconds(self, request_context, started_at):
        seconds = time.monotonic() - started_at
        self._stop_plan.observe(request_context.work_kind, seconds)

    def _find_blame(self, outcome_class):
        """Return an outcome that leaves out the end of this host as a cause."""
        if outcome_class is OutcomeClass.TIMED_OUT and self._stop_plan.has_ended():
            return OutcomeClass.CANCELLED
        return outcome_class

    def _read_rate_limit(self, attempt_response) -> RateLimit | None:
        if attempt_response.outcome_class is OutcomeClass.DRAINING:
            # The answer may be that of another target with the same address.
            return None
        find_header = attempt_response.answer.find_header
        return RateLimit(
            requests_per_second=self._dialect.read_rate_limit(find_header),
            age_seconds=time.monotonic() - attempt_response.first_byte_at,
        )

    def _record_attempt(self, request_context, slot, outcome, status):
        """Count an attempt, and log it unless its outcome is OK."""
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

    def release_failed(
        self,
        request_context: RequestContext,
        slot: Slot,
        started_at: float,
        outcome_class: OutcomeClass,
    ) -> None:
        """Release the slot of an attempt that returned no response.

        Args:
            request_context: The request.
            slot: Slot of the attempt.
            started_at: Time of ``time.monotonic()`` at which the attempt began.
            outcome_class: Outcome that the failure proves.
        """
        outcome = Outcome(
            target=slot.target,
            outcome_class=self._find_blame(outcome_class),
            latency_seconds=time.monotonic() - started_at,
            deadline_seconds=max(request_context.deadline - started_at, 0.0),
            request_kind=request_context.spec.request_kind,
            fingerprint=request_context.fingerprint,
        )
        if outcome_class is OutcomeClass.TIMED_OUT:
            self._observe_seconds(request_context, started_at)
        self._record_attempt(request_context, slot, outcome, 0)
        self._slots.release(slot, outcome, 0)
