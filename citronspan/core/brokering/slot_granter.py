"""Grants slots of a shard's targets to requests."""

from citronspan.core.brokering.account_shares import AccountShares
from citronspan.core.brokering.broker_answers import BrokerAnswers
from citronspan.core.brokering.broker_attempt_cache import ATTEMPT_CACHE_SECONDS
from citronspan.core.brokering.broker_grants import (
    LEASE_GRACE_SECONDS,
    Grant,
    GrantTable,
)
from citronspan.core.brokering.broker_messages import SlotCancel, SlotGrant, SlotRelease
from citronspan.core.brokering.broker_pool import TargetPool
from citronspan.core.brokering.broker_target_usage import TargetUsage
from citronspan.core.brokering.fair_order import compute_cost_seconds
from citronspan.core.brokering.hedge_policy import HedgePolicy, has_room
from citronspan.core.brokering.placement import compute_acceptable_cost
from citronspan.core.brokering.retry_window import RetryWindow
from citronspan.core.brokering.slot_queue import SlotQueue
from citronspan.core.brokering.unserved_share import UnservedShare
from citronspan.core.brokering.waiting_request import WaitingRequest
from citronspan.core.detection.health import Health
from citronspan.core.outcomes import OutcomeClass


class SlotGranter:
    """Chooses targets for the requests of one broker and grants their slots.

    Attributes:
        grant_count: Number of grants so far.
    """

    def __init__(
        self,
        *,
        health: Health,
        pool: TargetPool,
        grant_table: GrantTable,
        answers: BrokerAnswers,
        retry_window: RetryWindow | None,
        unserved_share: UnservedShare,
        hedge_policy: HedgePolicy,
        queue: SlotQueue,
        shares: AccountShares,
    ):
        self.grant_count = 0
        self._shares = shares
        self._health = health
        self._pool = pool
        self._grant_table = grant_table
        self._answers = answers
        self._retry_window = retry_window
        self._unserved_share = unserved_share
        self._hedge_policy = hedge_policy
        self._queue = queue

    def try_grant(self, waiting: WaitingRequest, now: float) -> bool:
        """Grant a slot of an acceptable target, if one is free.

        Returns:
            Whether a slot was granted.
        """
        self._pool.read_limits(now)
        usage = self.choose_target(waiting, now, waiting.wait_limit_seconds)
        if usage is None:
            return False
        self.grant(waiting, usage, now)
        return True

    def choose_target(
        self, waiting: WaitingRequest, now: float, wait_limit_seconds: float
    ) -> TargetUsage | None:
        """Choose a target with a free slot, by the limits that were read last.

        Args:
            waiting: The request.
            now: Present time.
            wait_limit_seconds: Time that it waits for a target of acceptable cost; with
                0 any target is acceptable.

        Returns:
            Usage of the target, or None.
        """
        return self._pool.choose(
            waiting.request,
            now,
            acceptable_cost=compute_acceptable_cost(
                waiting.request, now - waiting.received_at, wait_limit_seconds
            ),
            high_unserved_share=self._unserved_share.is_high(now),
        )

    def grant(self, waiting: WaitingRequest, usage: TargetUsage, now: float) -> None:
        """Grant a free slot of a target to a request that is not queued."""
        request = waiting.request
        is_trial = self._pool.is_trial(usage.target_info.name)
        lease_seconds = waiting.deadline_at - now + LEASE_GRACE_SECONDS
        grant = Grant(
            usage=usage,
            request_kind=request.request_kind,
            granted_at=now,
            lease_seconds=lease_seconds,
            crosses_link=bool(request.from_region),
            is_retryable=request.idempotent
            and (request.is_hedge or not request.is_retry),
            retry_bucket=self._count_retry(request),
            hedged_target=request.excluded[0] if request.is_hedge else "",
            account=request.account,
            expected_seconds=compute_cost_seconds(waiting.hold_seconds),
        )
        self._charge(waiting, grant, now)
        self._add_grant(request.attempt_id, grant, now)
        if is_trial:
            self._health.record_trial(usage.target_info.name)
        self._pool.count_request(usage.target_info.name)
        self.grant_count += 1
        self._answers.record_decision(waiting, now, target=usage.target_info.name)
        answer = SlotGrant(
            attempt_id=request.attempt_id,
            target=usage.target_info.name,
            address=usage.target_info.address,
            lease_seconds=lease_seconds,
            trial=is_trial,
            free_slots=max(0, self._pool.capacity - len(self._grant_table)),
            attempt_seconds=self._find_attempt_seconds(waiting, usage, now),
            hedge_seconds=0.0
            if is_trial
            else self._find_hedge_seconds(waiting, usage, now),
        )
        self._answers.send_final(
            waiting.sender, answer, lease_seconds + ATTEMPT_CACHE_SECONDS, now
        )

    def end_grant(self, message: SlotRelease | SlotCancel, now: float) -> Grant | None:
        """Free the slot of an attempt that has ended.

        Returns:
            Its grant, or None if it had no open grant.
        """
        grant = self._grant_table.end(message.attempt_id, now)
        if grant is not None:
            overrun_seconds = now - grant.granted_at - grant.expected_seconds
            self._shares.correct(grant.account, overrun_seconds)
        if grant is None or grant.retry_bucket is None or not _is_unused(message):
            return grant
        self._retry_window.discount_retry(grant.retry_bucket)
        return grant

    def repeat_grant(self, sender: str, attempt_id: int, now: float) -> None:
        """Tell an entry of an open grant that the previous broker gave."""
        grant = self._grant_table.find(attempt_id)
        remaining = grant.granted_at + grant.lease_seconds - now
        answer = SlotGrant(
            attempt_id=attempt_id,
            target=grant.usage.target_info.name,
            address=grant.usage.target_info.address,
            lease_seconds=remaining,
        )
        self._answers.send_final(sender, answer, remaining + ATTEMPT_CACHE_SECONDS, now)

    def _charge(self, waiting, grant, now):
        """Charge a grant to its account."""
        request = waiting.request
        is_contended = now > waiting.received_at or len(self._queue) > 0
        self._shares.charge(
            request.account, grant.expected_seconds, is_contended=is_contended
        )
        if not request.is_retry:
            self._shares.record_result(request.account, is_served=True)

    def _count_retry(self, request):
        if self._retry_window is None or not request.is_retry:
            return None
        return self._retry_window.count_retry()

    def _add_grant(self, attempt_id, grant, now):
        self._grant_table.add(attempt_id, grant, now)
        overdue_seconds = self._health.find_overdue_seconds(grant.request_kind)
        if overdue_seconds < grant.lease_seconds:
            self._grant_table.schedule_overdue_check(attempt_id, now + overdue_seconds)

    def _find_attempt_seconds(self, waiting, usage, now):
        request = waiting.request
        if not request.idempotent:
            return 0.0
        waited_seconds = now - waiting.received_at
        return self._health.find_attempt_seconds(
            usage.target_info.name,
            request.request_kind,
            goal_seconds=max(request.goal_seconds - waited_seconds, 0.0),
            deadline_seconds=waiting.deadline_at - now,
        )

    def _find_hedge_seconds(self, waiting, usage, now):
        """Return when to ask for a hedge of a first attempt, 0 for never."""
        request = waiting.request
        is_first = not request.is_retry and not request.from_region
        if not request.idempotent or not is_first or not self._hedge_policy.is_on:
            return 0.0
        room = has_room(
            waiting=len(self._queue),
            granted=len(self._grant_table),
            capacity=self._pool.capacity,
        )
        if not room:
            return 0.0
        waited_seconds = now - waiting.received_at
        goal_seconds = request.goal_seconds
        if goal_seconds and goal_seconds <= waited_seconds:
            return 0.0
        return self._hedge_policy.find_hedge_seconds(
            usage.target_info.name,
            request.request_kind,
            goal_seconds=max(goal_seconds - waited_seconds, 0.0),
            deadline_seconds=waiting.deadline_at - now,
        )


def _is_unused(message):
    """Return whether the attempt that a message ends never reached a target."""
    if isinstance(message, SlotCancel):
        return message.is_abandoned
    return message.outcome.outcome_class is OutcomeClass.NOT_USED
