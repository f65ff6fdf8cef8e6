"""The broker of one shard, which grants slots of the shard's targets to entries.

The broker handles messages and returns the messages to send. It grants a slot at once
if one is free, queues the request if a slot is expected before the deadline, and
refuses the request at once otherwise. It grants a slot of a target only if the open
grants of the target then stay within the limit that detection sets.
"""

import time
from collections.abc import Callable

from citronspan.core import result_codes
from citronspan.core.brokering.broker_attempt_cache import (
    ATTEMPT_CACHE_SECONDS,
    AttemptCache,
)
from citronspan.core.brokering.broker_grants import Grant, GrantTable
from citronspan.core.brokering.broker_messages import (
    BrokerHandover,
    SlotCancel,
    SlotGrant,
    SlotRedirect,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWaiting,
)
from citronspan.core.brokering.broker_pool import TargetPool
from citronspan.core.brokering.broker_slot_hold_times import SlotHoldTimeEstimator
from citronspan.core.brokering.broker_status import BrokerStatus, SlotDecision
from citronspan.core.brokering.link_budget import LinkBudget
from citronspan.core.brokering.placement import (
    compute_acceptable_cost,
    compute_wait_limit_seconds,
)
from citronspan.core.brokering.rate_pacer import FULL_RATE_SHARE, RateShare
from citronspan.core.brokering.retry_window import RetryWindow
from citronspan.core.brokering.shards import ShardKey
from citronspan.core.brokering.slot_queue import SlotQueue, WaitingRequest
from citronspan.core.brokering.unserved_share import UnservedShare
from citronspan.core.detection.health import Health, TargetInfo
from citronspan.core.detection.verdicts import Verdict
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.outcomes import OutcomeClass
from citronspan.core.result_codes import ResultCode

LEASE_GRACE_SECONDS = 0.5
"""Time from a request's deadline to the end of its lease."""

MAXIMUM_DEADLINE_SECONDS = 3600.0
"""Longest deadline that a route resource may set."""

MAXIMUM_QUEUED_PER_SLOT = 4
"""Requests that may be queued per usable slot."""

MINIMUM_QUEUE_LIMIT = 8
"""Queue limit that applies however few slots are usable."""

MINIMUM_RETRY_AFTER_SECONDS = 0.15
"""Lower bound of the retry delay that a refusal asks for, before jitter."""

RETRY_AFTER_JITTER = 0.5
"""Largest relative jitter of the retry delay, so that callers don't retry together."""

_CLASSES_WITHOUT_HOLD_TIME = {
    OutcomeClass.SHED,
    OutcomeClass.DRAINING,
    OutcomeClass.STARTING,
    OutcomeClass.CONNECT_FAILED,
    OutcomeClass.NOT_USED,
}


class Broker:
    """Grants, queues and refuses requests for the slots of one shard.

    Attributes:
        key: Key of the shard.
        health: Failure detection for the shard's targets.
        successor: Peer address of the broker that this one handed over to, or empty.
    """

    def __init__(
        self,
        *,
        key: ShardKey,
        health: Health,
        targets: tuple[TargetInfo, ...] = (),
        link_bytes_per_second: float = 0.0,
        retry_window: RetryWindow | None = None,
        floor: float = 0.0,
        count_preceding_targets: Callable[[], int] = lambda: 0,
        holder: str = "",
        find_rate_share: Callable[[], RateShare] = lambda: FULL_RATE_SHARE,
    ):
        """Create a broker.

        Args:
            key: Key of the shard.
            health: Failure detection for the shard's targets.
            targets: The shard's targets.
            link_bytes_per_second: Budget for requests from other regions.
            retry_window: Limit on the retries, None if entries limit them.
            floor: Share of the targets that must get requests at all times, 0 if
                detection ensures it.
            count_preceding_targets: Returns the number of the service's targets in the
                shards before this one.
            holder: Peer address of the entry that runs the broker.
            find_rate_share: Returns this broker's present share of the rates that the
                brokers of the shard share: requests to targets that limit them, and
                bytes between regions.
        """
        self._retry_window = retry_window
        self.key = key
        self.health = health
        self.successor = ""
        self._hold_times = SlotHoldTimeEstimator()
        self._pool = TargetPool(
            health=health,
            targets=targets,
            now=time.monotonic(),
            floor=floor,
            count_preceding_targets=count_preceding_targets,
            holder=holder,
            find_rate_share=find_rate_share,
            estimate_hold_seconds=lambda: self._hold_times.mean_seconds,
        )
        self._queue = SlotQueue()
        self._grant_table = GrantTable()
        self._attempt_cache = AttemptCache()
        self._link_budget = LinkBudget(
            bytes_per_second=link_bytes_per_second,
            initial_seconds=0.0,
            find_share=lambda: find_rate_share().share,
        )
        self._arrival_count = 0
        self._grant_count = 0
        self._reclaimed_count = 0
        self._refusals_by_code: dict[int, int] = {}
        self._outgoing: list[Outgoing] = []
        self._decisions: list[SlotDecision] = []
        self._unserved_share = UnservedShare(now=time.monotonic())

    def drain_decisions(self) -> list[SlotDecision]:
        """Return the decisions since the last call, for logging, and clear them."""
        decisions = self._decisions
        self._decisions = []
        return decisions

    def is_idle(self) -> bool:
        """Return whether there are no queued requests, grants or cached attempts."""
        if len(self._queue) or len(self._grant_table):
            return False
        return self._attempt_cache.is_empty()

    def describe(self) -> BrokerStatus:
        """Return the broker's state and counters."""
        window = self._retry_window
        return BrokerStatus(
            key=self.key,
            granted_by_target={
                usage.target_info.name: usage.granted
                for usage in self._pool.list_target_usages()
            },
            capacity=self._pool.capacity,
            waiting=len(self._queue),
            grants=self._grant_count,
            refusals_by_code=dict(self._refusals_by_code),
            reclaimed=self._reclaimed_count,
            mean_hold_seconds=self._hold_times.mean_seconds,
            link_bytes_by_kind=dict(self._link_budget.spent_bytes_by_kind),
            successor=self.successor,
            counted_requests=window.total_requests if window else 0,
            retries=window.total_retries if window else 0,
        )

    def set_targets(self, targets: tuple[TargetInfo, ...]) -> list[Outgoing]:
        """Replace the shard's targets.

        Args:
            targets: All targets of the shard. A leaving target gets no further grant.

        Returns:
            Messages to send.
        """
        now = time.monotonic()
        self._pool.set_targets(targets, now)
        self._serve_waiting(now)
        self._refuse_unservable(0, now)
        return self._drain_outgoing()

    def handle(self, sender: str, message: Message) -> list[Outgoing]:
        """Handle one message.

        Args:
            sender: Peer address of the sender.
            message: One of the types in ``BrokerMessage``.

        Returns:
            Messages to send.
        """
        now = time.monotonic()
        match message:
            case SlotRequest():
                self._handle_request(sender, message, now)
            case SlotRelease():
                self._handle_release(message, now)
            case SlotCancel():
                self._handle_cancel(message, now)
            case BrokerHandover():
                self._handle_handover(message, now)
        return self._drain_outgoing()

    def advance(self) -> list[Outgoing]:
        """Process expired leases, overdue attempts and the queue.

        The caller runs this several times a second.

        Returns:
            Messages to send.
        """
        now = time.monotonic()
        self._reclaimed_count += self._grant_table.reclaim_expired(now)
        for grant in self._grant_table.pop_overdue(now):
            self.health.record_overdue(grant.usage.target_info.name)
        self._attempt_cache.discard_expired(now)
        self._serve_waiting(now)
        self._refuse_unservable(0, now)
        return self._drain_outgoing()

    def hand_over(
        self, successor: str, verdicts: tuple[Verdict, ...] = ()
    ) -> list[Outgoing]:
        """Hand the shard over to another broker.

        Args:
            successor: Peer address of the new broker.
            verdicts: Detection's verdict on each target.

        Returns:
            The handover, and a redirect for each queued request.
        """
        now = time.monotonic()
        self.successor = successor
        handover = BrokerHandover(
            service=self.key.service,
            region=self.key.region,
            shard=self.key.number,
            grants=self._grant_table.export(now),
            mean_seconds_by_kind=self._hold_times.export(),
            verdicts=verdicts,
        )
        self._send(successor, handover)
        for waiting in self._queue.list_from_position(0):
            self._queue.remove(waiting.request.attempt_id)
            self._redirect(waiting.sender, waiting.request)
        return self._drain_outgoing()

    def resume(self) -> None:
        """Serve the shard again after a handover.

        The usage of its targets by other brokers is unknown from then on.
        """
        if not self.successor:
            return
        self.successor = ""
        now = time.monotonic()
        for usage in self._pool.list_target_usages():
            usage.reset_external_usage(now)

    def _handle_request(self, sender, request, now):
        attempt_id = request.attempt_id
        answer = self._attempt_cache.find_answer(attempt_id)
        if answer is not None:
            self._send(sender, answer)
            return
        if self._grant_table.find(attempt_id) is not None:
            self._repeat_grant(sender, attempt_id, now)
            return
        if attempt_id in self._queue:
            self._send(sender, SlotWaiting(attempt_id=attempt_id))
            return
        self._arrival_count += 1
        waiting = WaitingRequest(
            request=request,
            sender=sender,
            sequence_number=self._arrival_count,
            received_at=now,
            wait_limit_seconds=self._compute_wait_limit_seconds(request),
        )
        if self._attempt_cache.has_ended(attempt_id):
            self._refuse(waiting, result_codes.ATTEMPT_CANCELLED, now)
            return
        if self.successor and not request.force:
            self._redirect(sender, request)
            return
        self._pool.observe_rate_limits(request.rate_limits)
        self._serve_waiting(now)
        self._refuse_unservable(0, now)
        # The conditions are written as negations so that they also catch NaN.
        if not 0 < request.deadline_seconds <= MAXIMUM_DEADLINE_SECONDS:
            self._refuse(waiting, result_codes.DEADLINE_TOO_SHORT, now)
            return
        if not request.worth >= 0:
            self._refuse(waiting, result_codes.REQUEST_INVALID, now)
            return
        self._count_request(request)
        if not self._may_retry(request):
            self._refuse(waiting, result_codes.RETRIES_SPENT, now)
            return
        if request.from_region and not self._spend_link_budget(request):
            self._refuse(waiting, result_codes.LINK_BUDGET_SPENT, now)
            return
        if self._try_grant(waiting, now):
            return
        self._queue_or_refuse(waiting, now)

    def _count_request(self, request):
        """Count a request for the retry window, at its first slot request only."""
        if self._retry_window is None or request.is_retry or request.asked_before:
            return
        self._retry_window.count_request()

    def _may_retry(self, request) -> bool:
        """Return whether the retry window allows a request, if it is a retry."""
        if self._retry_window is None or not request.is_retry:
            return True
        is_fallback = request.force or bool(self.successor)
        return self._retry_window.allows_retry(is_fallback=is_fallback)

    def _spend_link_budget(self, request):
        return self._link_budget.spend(
            request.request_kind, request.worth, request.body_bytes
        )

    def _try_grant(self, waiting, now):
        self._pool.read_limits(now)
        usage = self._choose_target(waiting, now, waiting.wait_limit_seconds)
        if usage is None:
            return False
        self._grant(waiting, usage, now)
        return True

    def _choose_target(self, waiting, now, wait_limit_seconds):
        return self._pool.choose(
            waiting.request,
            now,
            acceptable_cost=compute_acceptable_cost(
                waiting.request, now - waiting.received_at, wait_limit_seconds
            ),
            high_unserved_share=self._unserved_share.is_high(now),
        )

    def _compute_wait_limit_seconds(self, request):
        return compute_wait_limit_seconds(request, self._estimate_hold_seconds(request))

    def _estimate_hold_seconds(self, request):
        """Estimate for how long a request will hold a slot, in seconds.

        Where detection gives failure probabilities, the alternative to waiting is a
        target that may well fail. Waiting is then worthwhile even if an answer in time
        is only as likely as not, so the mean is used. Elsewhere an upper bound is used.
        """
        if self._pool.has_failure_probabilities:
            return self._hold_times.estimate_mean(request.request_kind)
        return self._hold_times.estimate_upper_bound(request.request_kind)

    def _grant(self, waiting, usage, now):
        request = waiting.request
        is_trial = self._pool.is_trial(usage.target_info.name)
        lease_seconds = waiting.deadline_at - now + LEASE_GRACE_SECONDS
        grant = Grant(
            usage=usage,
            request_kind=request.request_kind,
            granted_at=now,
            lease_seconds=lease_seconds,
            crosses_link=bool(request.from_region),
            is_retryable=request.idempotent and not request.is_retry,
        )
        self._grant_table.add(request.attempt_id, grant, now)
        overdue_seconds = self.health.find_overdue_seconds(request.request_kind)
        if overdue_seconds < lease_seconds:
            self._grant_table.schedule_overdue_check(
                request.attempt_id, now + overdue_seconds
            )
        if is_trial:
            self.health.record_trial(usage.target_info.name)
        self._pool.count_request(usage.target_info.name)
        self._grant_count += 1
        if self._retry_window is not None and request.is_retry:
            self._retry_window.count_retry()
        self._record_decision(waiting, now, target=usage.target_info.name)
        answer = SlotGrant(
            attempt_id=request.attempt_id,
            target=usage.target_info.name,
            address=usage.target_info.address,
            lease_seconds=lease_seconds,
            trial=is_trial,
            free_slots=max(0, self._pool.capacity - len(self._grant_table)),
            attempt_seconds=self._find_attempt_seconds(waiting, usage, now),
        )
        self._send_answer(
            waiting.sender, answer, lease_seconds + ATTEMPT_CACHE_SECONDS, now
        )

    def _find_attempt_seconds(self, waiting, usage, now):
        request = waiting.request
        if not request.idempotent:
            return 0.0
        waited_seconds = now - waiting.received_at
        return self.health.find_attempt_seconds(
            usage.target_info.name,
            request.request_kind,
            goal_seconds=max(request.goal_seconds - waited_seconds, 0.0),
            deadline_seconds=waiting.deadline_at - now,
        )

    def _repeat_grant(self, sender, attempt_id, now):
        grant = self._grant_table.find(attempt_id)
        remaining = grant.granted_at + grant.lease_seconds - now
        answer = SlotGrant(
            attempt_id=attempt_id,
            target=grant.usage.target_info.name,
            address=grant.usage.target_info.address,
            lease_seconds=remaining,
        )
        self._send_answer(sender, answer, remaining + ATTEMPT_CACHE_SECONDS, now)

    def _queue_or_refuse(self, waiting, now):
        request = waiting.request
        if request.from_region or not self._pool.has_eligible_target(request, now):
            self._refuse(waiting, result_codes.NO_CAPACITY, now)
            return
        position = self._queue.find_queue_position(waiting)
        if self._would_miss_deadline(waiting, position, now):
            if not self._grant_any_free_slot(waiting, now):
                self._refuse(waiting, self._find_refusal_code(request, position), now)
            return
        if len(self._queue) >= self._compute_queue_limit():
            last = self._queue.find_last()
            if last.request.worth >= request.worth:
                self._refuse(waiting, result_codes.OVERLOADED, now)
                return
            self._refuse_queued(last, result_codes.OVERLOADED, now)
        self._queue.add(waiting)
        self._send(waiting.sender, SlotWaiting(attempt_id=request.attempt_id))
        self._refuse_unservable(position + 1, now)

    def _grant_any_free_slot(self, waiting, now):
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
        usage = self._choose_target(waiting, now, 0.0)
        if usage is None or not self._may_retry(request):
            return False
        self._queue.remove(request.attempt_id)
        self._grant(waiting, usage, now)
        return True

    def _compute_queue_limit(self):
        return max(MINIMUM_QUEUE_LIMIT, MAXIMUM_QUEUED_PER_SLOT * self._pool.capacity)

    def _would_miss_deadline(self, waiting, position, now):
        """Return whether a request at a queue position would miss its deadline."""
        hold_seconds = self._estimate_hold_seconds(waiting.request)
        wait_seconds = (position + 1) * self._find_slot_interval_seconds()
        return now + wait_seconds + hold_seconds >= waiting.deadline_at

    def _find_slot_interval_seconds(self):
        """Return the expected time between two slots becoming free."""
        return self._hold_times.mean_seconds / max(
            1, self._pool.expected_healthy_capacity
        )

    def _find_refusal_code(self, request, position) -> ResultCode:
        first = self._queue.find_first()
        if position == 0 or first is None:
            return result_codes.DEADLINE_TOO_SHORT
        if first.request.worth > request.worth:
            return result_codes.OVERLOADED
        return result_codes.NO_CAPACITY

    def _refuse_unservable(self, position, now):
        """Refuse queued requests that cannot be served, from a queue position on.

        A request without time left to wait is granted any free slot before it is
        refused. Under overload this scans the queue on each message, so each estimate
        is computed only once per request kind.
        """
        if len(self._queue) <= position:
            return
        self._pool.read_limits(now)
        slot_interval_seconds = self._find_slot_interval_seconds()
        hold_seconds_by_kind = {}
        for waiting in self._queue.list_from_position(position):
            request = waiting.request
            hold_seconds = hold_seconds_by_kind.get(request.request_kind)
            if hold_seconds is None:
                hold_seconds = self._estimate_hold_seconds(request)
                hold_seconds_by_kind[request.request_kind] = hold_seconds
            if not self._pool.has_eligible_target(request, now):
                self._refuse_queued(waiting, result_codes.NO_CAPACITY, now)
                continue
            if (
                now + (position + 1) * slot_interval_seconds + hold_seconds
                >= waiting.deadline_at
            ):
                if self._grant_any_free_slot(waiting, now):
                    continue
                self._refuse_queued(
                    waiting, self._find_refusal_code(request, position), now
                )
                continue
            position += 1

    def _serve_waiting(self, now):
        if not self._queue:
            return
        self._pool.read_limits(now)
        free = self._pool.count_free_slots(now)
        if free <= 0:
            return
        for waiting in self._queue.list_from_position(0):
            if now >= waiting.deadline_at:
                self._refuse_queued(waiting, result_codes.NO_CAPACITY, now)
                continue
            if not self._may_retry(waiting.request):
                self._refuse_queued(waiting, result_codes.RETRIES_SPENT, now)
                continue
            usage = self._choose_target(waiting, now, waiting.wait_limit_seconds)
            is_wait_limit_reached = (
                now - waiting.received_at >= waiting.wait_limit_seconds
            )
            if (
                usage is None
                and waiting.request.has_other_region
                and is_wait_limit_reached
            ):
                self._refuse_queued(waiting, result_codes.NO_CAPACITY, now)
            if usage is None:
                continue
            self._queue.remove(waiting.request.attempt_id)
            self._grant(waiting, usage, now)
            free -= 1
            if free <= 0:
                return

    def _handle_release(self, release, now):
        attempt_id = release.attempt_id
        if self._attempt_cache.has_ended(attempt_id):
            return
        grant = self._grant_table.end(attempt_id, now)
        self._attempt_cache.record_attempt_end(attempt_id, now)
        self._record_outcome(release, grant, now)
        if self.successor:
            self._send(self.successor, release)
        self._serve_waiting(now)
        self._refuse_unservable(0, now)

    def _record_outcome(self, release, grant, now):
        outcome = release.outcome
        if outcome.outcome_class is OutcomeClass.NOT_USED:
            return
        if outcome.rate_limit is not None:
            self._pool.observe_rate_limits({outcome.target: outcome.rate_limit})
        self.health.observe(outcome)
        self._update_unserved_share(outcome, grant, now)
        usage = self._pool.find_target_usage(outcome.target)
        load_age_seconds = 0.0
        if grant is not None:
            held_seconds = now - grant.granted_at
            load_age_seconds = held_seconds - outcome.latency_seconds
            if outcome.outcome_class not in _CLASSES_WITHOUT_HOLD_TIME:
                self._hold_times.add(grant.request_kind, held_seconds)
            if grant.crosses_link:
                self._link_budget.reconcile_answer_bytes(
                    grant.request_kind, release.answer_bytes
                )
        if usage is not None:
            usage.apply_outcome(outcome, load_age_seconds, now)

    def _update_unserved_share(self, outcome, grant, now):
        """Count a request as served or unserved.

        A failed attempt that may be retried counts as neither.
        """
        is_unserved = outcome.outcome_class is not OutcomeClass.OK
        if is_unserved and grant is not None and grant.is_retryable:
            return
        self._unserved_share.add(is_unserved, now)

    def _handle_cancel(self, cancel, now):
        attempt_id = cancel.attempt_id
        if self._attempt_cache.has_ended(attempt_id):
            return
        self._attempt_cache.record_attempt_end(attempt_id, now)
        self._queue.remove(attempt_id)
        self._grant_table.end(attempt_id, now)
        if self.successor:
            self._send(self.successor, cancel)
        self._serve_waiting(now)
        self._refuse_unservable(0, now)

    def _handle_handover(self, handover, now):
        self._hold_times.import_means(handover.mean_seconds_by_kind)
        for usage in self._pool.list_target_usages():
            usage.confirm_external_usage()
        for handover_grant in handover.grants:
            usage = self._pool.find_target_usage(handover_grant.target)
            if usage is None or self._attempt_cache.has_ended(
                handover_grant.attempt_id
            ):
                continue
            if self._grant_table.find(handover_grant.attempt_id) is not None:
                continue
            remaining_seconds = (
                handover_grant.lease_seconds - handover_grant.held_seconds
            )
            if (
                not 0
                < remaining_seconds
                <= MAXIMUM_DEADLINE_SECONDS + LEASE_GRACE_SECONDS
            ):
                continue
            grant = Grant(
                usage=usage,
                request_kind=handover_grant.request_kind,
                granted_at=now - handover_grant.held_seconds,
                lease_seconds=handover_grant.lease_seconds,
            )
            self._grant_table.add(handover_grant.attempt_id, grant, now)
        self._serve_waiting(now)
        self._refuse_unservable(0, now)

    def _refuse_queued(self, waiting, code, now):
        self._queue.remove(waiting.request.attempt_id)
        self._refuse(waiting, code, now)

    def _record_decision(self, waiting, now, *, target="", code=0):
        request = waiting.request
        self._decisions.append(
            SlotDecision(
                key=self.key,
                request_id=request.request_id,
                target=target,
                code=code,
                failure_probability=self._pool.find_failure_probability(target),
                waited_seconds=now - waiting.received_at,
                deadline_seconds=request.deadline_seconds,
                waiting=len(self._queue),
                granted=len(self._grant_table),
                capacity=self._pool.capacity,
                is_retry=request.is_retry,
            )
        )

    def _refuse(self, waiting, code, now):
        request = waiting.request
        queue_seconds = len(self._queue) * self._hold_times.mean_seconds
        queue_seconds /= max(1, self._pool.capacity)
        refusal = SlotRefusal(
            attempt_id=request.attempt_id,
            code=code.number,
            retry_after_seconds=_compute_retry_after_seconds(
                request.attempt_id, queue_seconds
            ),
        )
        self._record_decision(waiting, now, code=code.number)
        if not request.has_other_region and not request.from_region:
            self._unserved_share.add(True, now)
        previous_count = self._refusals_by_code.get(code.number, 0)
        self._refusals_by_code[code.number] = previous_count + 1
        self._send_answer(waiting.sender, refusal, ATTEMPT_CACHE_SECONDS, now)

    def _redirect(self, sender, request):
        redirect = SlotRedirect(attempt_id=request.attempt_id, broker=self.successor)
        self._send(sender, redirect)

    def _send_answer(self, sender, answer, seconds, now):
        self._attempt_cache.cache_answer(answer, seconds, now)
        self._send(sender, answer)

    def _send(self, to, message):
        self._outgoing.append(Outgoing(to=to, message=message))

    def _drain_outgoing(self):
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing


def _compute_retry_after_seconds(attempt_id: int, seconds: float) -> float:
    """Return a retry delay of at least the given time, with jitter by attempt ID."""
    jitter_share = attempt_id % 1024 / 1024
    return max(MINIMUM_RETRY_AFTER_SECONDS, seconds) * (
        1 + RETRY_AFTER_JITTER * jitter_share
    )
