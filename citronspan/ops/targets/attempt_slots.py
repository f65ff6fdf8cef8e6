"""Acquires the slots of one request's attempts, the next one's also in advance."""

import math
import time
from collections.abc import Callable

from opentelemetry import trace

from citronspan.core.outcomes import OutcomeClass
from citronspan.ops.callers.open_requests import Stage
from citronspan.ops.slots.slot_source import Slot, SlotRefused, SlotSource
from citronspan.ops.targets.attempt_context import RequestContext, make_slot_query
from citronspan.ops.targets.attempt_progress import AttemptProgress
from citronspan.ops.targets.attempt_refusals import STOP_REFUSED
from citronspan.ops.targets.attempt_reporter import AttemptReporter
from citronspan.utils.traces import start_span

ANSWER_CHECK_SECONDS = 0.025
"""Time between two looks whether an attempt is answered while its successor waits for
a slot: what the answer may reach its caller late by."""


class AttemptSlots:
    """Acquires slots for attempts, and gives back those that are of no use."""

    def __init__(
        self,
        *,
        slots: SlotSource,
        reporter: AttemptReporter,
        tracer: trace.Tracer,
        find_obstacle: Callable[[RequestContext], SlotRefused | None],
    ):
        """Create an object without slots.

        Args:
            slots: Grants the slots of targets.
            reporter: Releases the slots that are not used.
            tracer: Makes the spans.
            find_obstacle: Returns why a request may not be sent any more, or None.
        """
        self._slots = slots
        self._reporter = reporter
        self._tracer = tracer
        self._find_obstacle = find_obstacle

    def acquire(
        self, request_context: RequestContext, progress: AttemptProgress
    ) -> Slot | SlotRefused:
        """Return the slot of the next attempt, or a refusal."""
        return progress.take_next_slot() or self._acquire(
            request_context,
            progress,
            is_retry=progress.has_reached_target,
            is_needless=lambda: False,
            check_seconds=math.inf,
        )

    def acquire_next(
        self,
        request_context: RequestContext,
        progress: AttemptProgress,
        is_needless: Callable[[], bool],
    ) -> bool:
        """Acquire the slot of the next attempt while the present one goes on.

        The present one holds its slot meanwhile, since its target is at work.

        Args:
            request_context: The request.
            progress: Gets the slot.
            is_needless: Returns whether no other attempt is to follow any more.

        Returns:
            Whether there is a slot.
        """
        result = self._acquire(
            request_context,
            progress,
            is_retry=True,
            is_needless=is_needless,
            check_seconds=ANSWER_CHECK_SECONDS,
        )
        request_context.open_request.stage = Stage.AT_TARGET
        if isinstance(result, Slot):
            progress.next_slot = result
            return True
        if not is_needless():
            self._reporter.report_kept(request_context, progress.tried[-1], result)
        return False

    def return_next(
        self, request_context: RequestContext, progress: AttemptProgress
    ) -> None:
        """Give back the slot of an attempt that is not made, if there is one."""
        slot = progress.take_next_slot()
        if slot is not None:
            self._return(request_context, slot)

    def _acquire(
        self, request_context, progress, *, is_retry, is_needless, check_seconds
    ) -> Slot | SlotRefused:
        request_context.open_request.stage = Stage.WAITING

        def find_obstacle():
            obstacle = self._find_obstacle(request_context)
            return obstacle or (STOP_REFUSED if is_needless() else None)

        query = make_slot_query(
            request_context,
            excluded=progress.excluded,
            is_retry=is_retry,
            is_too_late=lambda: find_obstacle() is not None,
            check_seconds=check_seconds,
        )
        obstacle = find_obstacle()
        if obstacle is not None:
            return obstacle
        with start_span(self._tracer, "broker-wait"):
            slot = self._slots.acquire(query)
        obstacle = find_obstacle()
        if obstacle is None:
            return slot
        if isinstance(slot, Slot):
            self._return(request_context, slot)
        return obstacle

    def _return(self, request_context, slot):
        self._reporter.release_failed(
            request_context, slot, time.monotonic(), OutcomeClass.NOT_USED
        )
