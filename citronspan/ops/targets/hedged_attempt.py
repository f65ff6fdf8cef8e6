"""Runs the first attempt of a request, and a second one while the first is late.

The thread of the request runs the first attempt. Once it is late, another thread asks
for a slot and runs the hedge, since the first answer must not wait for a broker. The
attempt whose good answer comes first ends the other one, whose own thread then frees
its slot.
"""

import contextvars
import dataclasses
import threading
import time
from collections.abc import Callable

import logbook

from citronspan.core import log_events
from citronspan.core.outcomes import RAN_BY_OUTCOME_CLASS, OutcomeClass
from citronspan.core.requests.hedging import AttemptRole, HedgeRace, may_hedge
from citronspan.core.result_codes import Ran
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.ops.slots.slot_source import Slot, SlotRefused, SlotSource
from citronspan.ops.targets.attempt_context import (
    AttemptResponse,
    RequestContext,
    make_slot_query,
)
from citronspan.ops.targets.attempt_line import AttemptLine
from citronspan.ops.targets.attempt_progress import AttemptProgress
from citronspan.ops.targets.attempt_reporter import AttemptReporter
from citronspan.ops.targets.retry_budgets import RetryBudgets
from citronspan.ops.targets.target_answer import AttemptFailedError
from citronspan.ops.targets.target_connection import CALLER_POLL_INTERVAL_SECONDS
from citronspan.utils.logs import write_event

_logger = logbook.Logger("attempts")


class HedgedAttempts:
    """Makes the attempts that may be hedged."""

    def __init__(
        self,
        *,
        slots: SlotSource,
        metrics: EntryMetrics,
        reporter: AttemptReporter,
        budgets: RetryBudgets,
        attempt: Callable[..., AttemptResponse],
        may_begin: Callable[[RequestContext], bool],
    ):
        """Create a maker.

        Args:
            slots: Grants the slots of hedges.
            metrics: Counts hedges.
            reporter: Releases the slots of attempts.
            budgets: Budgets for retries at this entry.
            attempt: Runs one attempt.
            may_begin: Returns whether an attempt of a request may begin now.
        """
        self.slots = slots
        self.metrics = metrics
        self.reporter = reporter
        self.budgets = budgets
        self.attempt = attempt
        self.may_begin = may_begin

    def prepare(
        self,
        request_context: RequestContext,
        slot: Slot,
        progress: AttemptProgress,
    ) -> "HedgedAttempt | None":
        """Return the attempt at a slot's target, or None if it may not be hedged.

        Args:
            request_context: The request.
            slot: Slot of the attempt.
            progress: Its attempts so far, this one included.
        """
        if not slot.hedge_seconds:
            return None
        may_be_hedged = may_hedge(
            hedge_seconds=slot.hedge_seconds,
            idempotent=request_context.spec.idempotent,
            is_buffered=request_context.body.buffer is not None,
            tried_targets=len(progress.tried),
            maximum_attempts=request_context.spec.maximum_attempts,
        )
        if not may_be_hedged:
            return None
        return HedgedAttempt(
            parts=self, request_context=request_context, slot=slot, progress=progress
        )


class HedgedAttempt:
    """The first attempt of one request and its hedge, if one is sent."""

    def __init__(
        self,
        *,
        parts: HedgedAttempts,
        request_context: RequestContext,
        slot: Slot,
        progress: AttemptProgress,
    ):
        self._is_sent = False
        self._progress = progress
        self._parts = parts
        self._request_context = request_context
        self._first_slot = slot
        self._race = HedgeRace()
        self._first_line = AttemptLine(
            late_at=time.monotonic() + slot.hedge_seconds, on_late=self._begin_hedge
        )
        self._hedge_line = AttemptLine()
        self._lock = threading.Lock()
        self._is_hedge_over = threading.Event()
        self._has_begun = False
        self._is_abandoned = False
        self._hedge_response: AttemptResponse | None = None

    def run(
        self,
        request_context: RequestContext,
        slot: Slot,
        progress: AttemptProgress,
    ) -> AttemptResponse:
        """Run the first attempt, and return the response that counts.

        Raises:
            AttemptFailedError: If neither attempt got an answer, with the outcome of
                the first.
        """
        progress.line = self._first_line
        try:
            response = self._parts.attempt(request_context, slot, progress)
        except AttemptFailedError as error:
            self._let_go(progress)
            hedge_response = self._take_over(error)
            if hedge_response is None:
                raise
            return hedge_response
        except BaseException:
            self._let_go(progress)
            self._abandon_hedge()
            raise
        self._let_go(progress)
        return response if not self._has_begun else self._choose(response)

    def _let_go(self, progress):
        self._first_line.detach()
        progress.line = None

    def _take_over(self, error):
        """Return the hedge's response in the place of a failed first attempt."""
        if not self._has_begun:
            return None
        caller_left = error.outcome_class is OutcomeClass.CANCELLED
        if caller_left and self._race.winner is None:
            self._abandon_hedge()
            return None
        response = self._wait_for_hedge()
        self._log_end()
        if response is not None:
            self._note_run(error.outcome_class)
        return response

    def _choose(self, response):
        """Return the response that counts, if the first attempt has one."""
        is_good = response.outcome_class is OutcomeClass.OK
        if is_good and self._race.claim(AttemptRole.FIRST):
            self._abandon_hedge()
            self._log_end()
            return response
        if not is_good:
            # Its target has done with it, and the broker is to know how it ended.
            self._parts.reporter.release(self._request_context, response)
            response = dataclasses.replace(response, is_released=True)
        hedge_response = self._wait_for_hedge()
        self._log_end()
        if hedge_response is None:
            return response
        if self._race.winner is AttemptRole.HEDGE:
            self._note_run(response.outcome_class)
            self._drop(response)
            return hedge_response
        self._drop(hedge_response)
        return response

    def _begin_hedge(self):
        """Begin to ask for a hedge; called by the first attempt once it is late."""
        request_context = self._request_context
        if not self._parts.may_begin(request_context):
            return
        if request_context.request.connection.is_disconnected():
            return
        if not self._parts.budgets.spend(self._progress.budget):
            return
        self._has_begun = True
        self._progress.is_hedged = True
        context = contextvars.copy_context()
        threading.Thread(
            target=context.run, args=[self._run_hedge], daemon=True, name="hedge"
        ).start()

    def _run_hedge(self):
        response = None
        try:
            response = self._try_hedge()
        except AttemptFailedError as error:
            self._note_run(error.outcome_class)
        except Exception:
            # It may have been sent before.
            self._progress.may_have_run = True
            _logger.exception("hedge raised an exception")
            write_event(_logger, log_events.BACKGROUND_TASK_FAILED, task="hedge")
        finally:
            self._hedge_line.detach()
            self._progress.is_hedged = False
            self._hand_in(response)

    def _hand_in(self, response):
        with self._lock:
            if not self._is_abandoned:
                self._hedge_response, response = response, None
        self._is_hedge_over.set()
        if response is not None:
            self._drop(response)

    def _try_hedge(self) -> AttemptResponse | None:
        """Acquire a slot and send the request to its target.

        Returns:
            The response, None if there is none or it doesn't count.
        """
        request_context = self._request_context
        service = request_context.service_name
        self._parts.metrics.count_hedge(service, "asked")
        query = make_slot_query(
            request_context,
            excluded=(self._first_slot.target,),
            is_retry=True,
            is_too_late=lambda: self._hedge_line.is_ended,
        )
        slot = self._parts.slots.acquire_hedge(self._first_slot, query)
        if isinstance(slot, SlotRefused):
            self._parts.metrics.count_refused_hedge(slot.code)
            self._parts.budgets.refund(self._progress.budget)
            return None
        if self._hedge_line.is_ended or not self._parts.may_begin(request_context):
            self._parts.reporter.release_failed(
                request_context, slot, time.monotonic(), OutcomeClass.NOT_USED
            )
            return None
        self._record_sent(slot)
        progress = AttemptProgress(self._progress.budget)
        progress.tried = (self._first_slot.target, slot.target)
        progress.line = self._hedge_line
        progress.is_hedge = True
        response = self._parts.attempt(request_context, slot, progress)
        self._note_run(response.outcome_class)
        if response.outcome_class is not OutcomeClass.OK:
            return response
        if self._race.claim(AttemptRole.HEDGE):
            self._first_line.end()
            self._parts.metrics.count_hedge(service, "won")
            return response
        self._drop(response)
        return None

    def _record_sent(self, slot):
        self._is_sent = True
        self._progress.tried = (*self._progress.tried, slot.target)
        self._parts.metrics.count_hedge(self._request_context.service_name, "sent")
        write_event(
            _logger,
            log_events.HEDGE_SENT,
            id=self._request_context.request.request_id,
            service=self._request_context.service_name,
            target=slot.target,
            first=self._first_slot.target,
            after=round(self._first_slot.hedge_seconds, 4),
        )

    def _log_end(self):
        if not self._is_sent:
            return
        write_event(
            _logger,
            log_events.HEDGE_ENDED,
            id=self._request_context.request.request_id,
            service=self._request_context.service_name,
            winner=self._race.winner or "none",
        )

    def _note_run(self, outcome_class):
        """Note that an attempt which may not count may have run."""
        if RAN_BY_OUTCOME_CLASS[outcome_class] is not Ran.NOT_RUN:
            self._progress.may_have_run = True

    def _wait_for_hedge(self) -> AttemptResponse | None:
        """Wait for the hedge to end, unless the caller leaves before."""
        connection = self._request_context.request.connection
        while not self._is_hedge_over.wait(CALLER_POLL_INTERVAL_SECONDS):
            if connection.is_disconnected():
                self._abandon_hedge()
                self._log_end()
                raise AttemptFailedError(
                    outcome_class=OutcomeClass.CANCELLED,
                    detail="the caller disconnected",
                )
        with self._lock:
            response, self._hedge_response = self._hedge_response, None
        return response

    def _abandon_hedge(self):
        """End the hedge, whose thread then frees its slot."""
        with self._lock:
            self._is_abandoned = True
            response, self._hedge_response = self._hedge_response, None
        self._hedge_line.end()
        if response is not None:
            self._drop(response)

    def _drop(self, response):
        """Close the connection of a response that doesn't count; free its slot."""
        response.answer.abort_response()
        self._parts.reporter.release(self._request_context, response)
