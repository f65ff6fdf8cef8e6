"""Decides which requests wait at a broker, and serves or refuses those that do."""

from collections.abc import Callable

from citronspan.core import result_codes
from citronspan.core.brokering.broker_answers import BrokerAnswers
from citronspan.core.brokering.broker_messages import SlotRequest, SlotWaiting
from citronspan.core.brokering.broker_pool import TargetPool
from citronspan.core.brokering.slot_granter import SlotGranter
from citronspan.core.brokering.slot_queue import SlotQueue
from citronspan.core.brokering.wait_estimates import WaitEstimates
from citronspan.core.brokering.waiting_request import WaitingRequest
from citronspan.core.outcomes import Outcome

SCAN_INTERVAL_SECONDS = 0.05
"""Time between two looks for requests of several accounts that can't be served; their
order takes more work than that of one account."""


class WaitingRequests:
    """The requests that wait for a slot of one shard."""

    def __init__(
        self,
        *,
        pool: TargetPool,
        queue: SlotQueue,
        estimates: WaitEstimates,
        granter: SlotGranter,
        answers: BrokerAnswers,
        may_retry: Callable[[SlotRequest], bool],
    ):
        self._pool = pool
        self._queue = queue
        self._estimates = estimates
        self._granter = granter
        self._answers = answers
        self._may_retry = may_retry
        self._next_scan_at = 0.0

    def queue_or_refuse(self, waiting: WaitingRequest, now: float) -> None:
        """Queue a request for which no acceptable slot is free, or refuse it.

        When the queue is full, the request displaces one of less worth, or one of an
        account that uses more room (``SlotQueue.find_displaced``).
        """
        request = waiting.request
        if request.from_region or not self._pool.has_eligible_target(request, now):
            self._answers.refuse(waiting, result_codes.NO_CAPACITY, now)
            return
        position = self._queue.find_queue_position(waiting)
        if self._estimates.would_miss_deadline(waiting, position, now):
            if not self._grant_any_free_slot(waiting, now):
                code = self._estimates.find_refusal_code(request, position)
                self._answers.refuse(waiting, code, now)
            return
        if len(self._queue) >= self._estimates.compute_queue_limit():
            displaced = self._queue.find_displaced(waiting)
            if displaced is None:
                self._answers.refuse(waiting, result_codes.OVERLOADED, now)
                return
            self._answers.refuse_displaced(displaced, result_codes.OVERLOADED, now)
        self._queue.add(waiting)
        self._answers.send(waiting.sender, SlotWaiting(attempt_id=request.attempt_id))
        self.refuse_unservable(now, position=position + 1)

    def heed_pause(self, sender: str, outcome: Outcome) -> None:
        """Let requests of an entry no longer wait for a target that it may not use."""
        if outcome.pause_seconds > 0:
            self._queue.exclude_target(sender, outcome.target)

    def refuse_unservable(self, now: float, *, position: int = 0) -> None:
        """Refuse queued requests that cannot be served, from a queue position on.

        A request without time left to wait is granted any free slot before it is
        refused. Under overload this scans the queue on each message, so each estimate
        is computed only once per request kind, and the order between accounts not more
        often than each ``SCAN_INTERVAL_SECONDS``.
        """
        if len(self._queue) <= position:
            return
        if self._queue.count_accounts() > 1:
            if now < self._next_scan_at:
                return
            self._next_scan_at = now + SCAN_INTERVAL_SECONDS
            position = 0
        self._pool.read_limits(now)
        slot_interval_seconds = self._estimates.find_slot_interval_seconds()
        hold_seconds_by_kind = {}
        for waiting in self._queue.list_from_position(position):
            request = waiting.request
            hold_seconds = hold_seconds_by_kind.get(request.request_kind)
            if hold_seconds is None:
                hold_seconds = self._estimates.estimate_hold_seconds(request)
                hold_seconds_by_kind[request.request_kind] = hold_seconds
            if not self._pool.has_eligible_target(request, now):
                self._answers.refuse_queued(waiting, result_codes.NO_CAPACITY, now)
                continue
            wait_seconds = (position + 1) * slot_interval_seconds
            if now + wait_seconds + hold_seconds < waiting.deadline_at:
                position += 1
                continue
            if self._grant_any_free_slot(waiting, now):
                continue
            code = self._estimates.find_refusal_code(request, position)
            self._answers.refuse_queued(waiting, code, now)

    def serve(self, now: float) -> None:
        """Grant free slots to queued requests, in the order of the queue."""
        self._queue.advance(now)
        if not self._queue:
            return
        self._pool.read_limits(now)
        free = self._pool.count_free_slots(now)
        if free <= 0:
            return
        for waiting in self._queue.iterate_while_served():
            if not self._serve_one(waiting, now):
                continue
            free -= 1
            if free <= 0:
                return

    def _serve_one(self, waiting, now) -> bool:
        """Grant a slot to a queued request, or refuse it if it waits no longer.

        Returns:
            Whether a slot was granted.
        """
        request = waiting.request
        if now >= waiting.deadline_at:
            self._answers.refuse_queued(waiting, result_codes.NO_CAPACITY, now)
            return False
        if not self._may_retry(request):
            self._answers.refuse_queued(waiting, result_codes.RETRIES_SPENT, now)
            return False
        limit_seconds = waiting.wait_limit_seconds
        usage = self._granter.choose_target(waiting, now, limit_seconds)
        if usage is not None:
            self._queue.remove(request.attempt_id)
            self._granter.grant(waiting, usage, now)
            return True
        if request.has_other_region and now - waiting.received_at >= limit_seconds:
            self._answers.refuse_queued(waiting, result_codes.NO_CAPACITY, now)
        return False

    def _grant_any_free_slot(self, waiting, now) -> bool:
        """Grant any free slot to a request that has no time left to wait.

        The request waited, or would have waited, for a target of acceptable cost. Since
        it cannot wait, only a target that may fail is left, and any is accepted.
        Requests that have another region to ask, or that come from one, are excluded.

        Returns:
            Whether a slot was granted.
        """
        request = waiting.request
        if request.has_other_region or request.from_region:
            return False
        usage = self._granter.choose_target(waiting, now, 0.0)
        if usage is None or not self._may_retry(request):
            return False
        self._queue.remove(request.attempt_id)
        self._granter.grant(waiting, usage, now)
        return True
