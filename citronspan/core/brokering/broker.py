"""The broker of one shard, which grants slots of the shard's targets to entries.

The broker handles messages and returns the messages to send. It grants a slot at once
if one is free, queues the request if a slot is expected before the deadline, and
refuses the request at once otherwise. It grants a slot of a target only if the open
grants of the target then stay within the limit that detection sets.
"""

import time
from collections.abc import Callable

from citronspan.core import result_codes
from citronspan.core.brokering.account_shares import AccountShares
from citronspan.core.brokering.broker_answers import BrokerAnswers
from citronspan.core.brokering.broker_attempt_cache import AttemptCache
from citronspan.core.brokering.broker_grants import MAXIMUM_DEADLINE_SECONDS, GrantTable
from citronspan.core.brokering.broker_limits import BrokerLimits
from citronspan.core.brokering.broker_messages import (
    BrokerHandover,
    SlotCancel,
    SlotRedirect,
    SlotRelease,
    SlotRequest,
    SlotWaiting,
)
from citronspan.core.brokering.broker_outcomes import OutcomeRecorder
from citronspan.core.brokering.broker_pool import TargetPool
from citronspan.core.brokering.broker_slot_hold_times import SlotHoldTimeEstimator
from citronspan.core.brokering.broker_status import BrokerStatus, SlotDecision
from citronspan.core.brokering.hedge_granter import HedgeGranter
from citronspan.core.brokering.hedge_policy import NO_HEDGES, HedgeLimits, HedgePolicy
from citronspan.core.brokering.link_budget import LinkBudget
from citronspan.core.brokering.rate_pacer import FULL_RATE_SHARE, RateShare
from citronspan.core.brokering.retry_window import RetryWindow
from citronspan.core.brokering.shards import ShardKey
from citronspan.core.brokering.slot_granter import SlotGranter
from citronspan.core.brokering.slot_queue import SlotQueue
from citronspan.core.brokering.unserved_share import UnservedShare
from citronspan.core.brokering.wait_estimates import WaitEstimates
from citronspan.core.brokering.waiting_requests import WaitingRequests
from citronspan.core.detection.health import Health, TargetInfo
from citronspan.core.detection.verdicts import Verdict
from citronspan.core.message_base import Message, Outgoing


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
        find_link_share: Callable[[], float] = lambda: 1.0,
        retry_window: RetryWindow | None = None,
        floor: float = 0.0,
        count_preceding_targets: Callable[[], int] = lambda: 0,
        holder: str = "",
        find_rate_share: Callable[[], RateShare] = lambda: FULL_RATE_SHARE,
        find_hedge_limits: Callable[[], HedgeLimits] = lambda: NO_HEDGES,
    ):
        """Create a broker.

        Args:
            key: Key of the shard.
            health: Failure detection for the shard's targets.
            targets: The shard's targets.
            link_bytes_per_second: Budget for requests from other regions.
            find_link_share: Returns the part of it that the fleet's budget leaves.
            retry_window: Limit on the retries, None if entries limit them.
            floor: Share of the targets that must get requests at all times, 0 if
                detection ensures it.
            count_preceding_targets: Returns the number of the service's targets in the
                shards before this one.
            holder: Peer address of the entry that runs the broker.
            find_rate_share: Returns this broker's present share of the rates that the
                brokers of the shard share: requests to targets that limit them, and
                bytes between regions.
            find_hedge_limits: Returns the operator's present limits on hedges.
        """
        self.key = key
        self.health = health
        self.successor = ""
        self._retry_window = retry_window
        self._hedge_policy = HedgePolicy(find_limits=find_hedge_limits)
        self._hedge_policy.retain(targets)
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
        self._shares = AccountShares()
        self._queue = SlotQueue(self._shares)
        self._grant_table = GrantTable()
        self._attempt_cache = AttemptCache()
        self._link_budget = LinkBudget(
            bytes_per_second=link_bytes_per_second,
            initial_seconds=0.0,
            find_share=lambda: find_rate_share().share * find_link_share(),
        )
        self._arrival_count = 0
        self._reclaimed_count = 0
        self._connect_parts()

    def _connect_parts(self):
        """Create the parts that decide on requests and record what became of them."""
        unserved_share = UnservedShare(now=time.monotonic())
        self._estimates = WaitEstimates(
            pool=self._pool,
            queue=self._queue,
            hold_times=self._hold_times,
            shares=self._shares,
        )
        self._answers = BrokerAnswers(
            key=self.key,
            pool=self._pool,
            queue=self._queue,
            grant_table=self._grant_table,
            attempt_cache=self._attempt_cache,
            estimates=self._estimates,
            unserved_share=unserved_share,
            shares=self._shares,
        )
        self._granter = SlotGranter(
            health=self.health,
            pool=self._pool,
            grant_table=self._grant_table,
            answers=self._answers,
            retry_window=self._retry_window,
            unserved_share=unserved_share,
            hedge_policy=self._hedge_policy,
            queue=self._queue,
            shares=self._shares,
        )
        shared_parts = {
            "pool": self._pool,
            "queue": self._queue,
            "granter": self._granter,
            "answers": self._answers,
            "may_retry": self._may_retry,
        }
        self._hedge_granter = HedgeGranter(
            policy=self._hedge_policy, grant_table=self._grant_table, **shared_parts
        )
        self._waiting = WaitingRequests(estimates=self._estimates, **shared_parts)
        self._outcomes = OutcomeRecorder(
            health=self.health,
            pool=self._pool,
            hold_times=self._hold_times,
            link_budget=self._link_budget,
            unserved_share=unserved_share,
            hedge_policy=self._hedge_policy,
        )

    def drain_decisions(self) -> list[SlotDecision]:
        """Return the decisions since the last call, for logging, and clear them."""
        return self._answers.drain_decisions()

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
            grants=self._granter.grant_count,
            refusals_by_code=dict(self._answers.refusals_by_code),
            reclaimed=self._reclaimed_count,
            mean_hold_seconds=self._hold_times.mean_seconds,
            link_bytes_by_kind=dict(self._link_budget.spent_bytes_by_kind),
            successor=self.successor,
            counted_requests=window.total_requests if window else 0,
            retries=window.total_retries if window else 0,
            waiting_accounts=self._queue.count_accounts(),
            starved_accounts=self._queue.count_starved_accounts(),
            displaced=self._answers.displaced_count,
            placed_returns=self._estimates.return_line.placed_count,
            spread_returns=self._estimates.return_line.spread_count,
        )

    def set_limits(self, limits: BrokerLimits) -> None:
        """Replace the limits; what was granted before counts against the new ones."""
        self._link_budget.set_rate(limits.link_bytes_per_second)
        self._pool.set_floor(limits.floor)
        if self._retry_window is not None:
            self._retry_window.set_limits(limits.retries)

    def set_targets(self, targets: tuple[TargetInfo, ...]) -> list[Outgoing]:
        """Replace the shard's targets.

        Args:
            targets: All targets of the shard. A leaving target gets no further grant.

        Returns:
            Messages to send.
        """
        now = time.monotonic()
        self._pool.set_targets(targets, now)
        self._hedge_policy.retain(targets)
        self._serve_waiting(now)
        return self._answers.drain_outgoing()

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
                self._handle_release(sender, message, now)
            case SlotCancel():
                self._handle_cancel(message, now)
            case BrokerHandover():
                self._handle_handover(message, now)
        return self._answers.drain_outgoing()

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
        return self._answers.drain_outgoing()

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
        self._answers.send(successor, handover)
        for waiting in self._queue.list_from_position(0):
            self._queue.remove(waiting.request.attempt_id)
            self._redirect(waiting.sender, waiting.request)
        return self._answers.drain_outgoing()

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
            self._answers.send(sender, answer)
            return
        if self._grant_table.find(attempt_id) is not None:
            self._granter.repeat_grant(sender, attempt_id, now)
            return
        if attempt_id in self._queue:
            self._answers.send(sender, SlotWaiting(attempt_id=attempt_id))
            return
        self._arrival_count += 1
        waiting = self._estimates.make_waiting(
            request, sender, self._arrival_count, now
        )
        if self._attempt_cache.has_ended(attempt_id):
            self._answers.refuse(waiting, result_codes.ATTEMPT_CANCELLED, now)
            return
        if self.successor and not request.force:
            self._redirect(sender, request)
            return
        self._pool.observe_rate_limits(request.rate_limits)
        self._serve_waiting(now)
        # The conditions are written as negations so that they also catch NaN.
        if not 0 < request.deadline_seconds <= MAXIMUM_DEADLINE_SECONDS:
            self._answers.refuse(waiting, result_codes.DEADLINE_TOO_SHORT, now)
            return
        if not request.worth >= 0:
            self._answers.refuse(waiting, result_codes.REQUEST_INVALID, now)
            return
        if request.is_hedge:
            self._hedge_granter.handle(waiting, now)
            return
        self._count_request(request)
        if not self._may_retry(request):
            self._answers.refuse(waiting, result_codes.RETRIES_SPENT, now)
            return
        body_bytes = request.body_bytes
        if request.from_region and not self._link_budget.spend(
            request.request_kind, request.worth, body_bytes
        ):
            self._answers.refuse(waiting, result_codes.LINK_BUDGET_SPENT, now)
            return
        if self._granter.try_grant(waiting, now):
            return
        if request.from_region:
            self._link_budget.give_back(request.request_kind, body_bytes)
        self._waiting.queue_or_refuse(waiting, now)

    def _count_request(self, request):
        """Count a request for the budgets, at its first slot request only."""
        if request.is_retry or request.asked_before:
            return
        self._hedge_policy.count_request()
        if self._retry_window is not None:
            self._retry_window.count_request()

    def _may_retry(self, request) -> bool:
        """Return whether the retry window allows a request, if it is a retry."""
        if self._retry_window is None or not request.is_retry:
            return True
        is_fallback = request.force or bool(self.successor)
        return self._retry_window.allows_retry(is_fallback=is_fallback)

    def _handle_release(self, sender, release, now):
        attempt_id = release.attempt_id
        if self._attempt_cache.has_ended(attempt_id):
            return
        grant = self._granter.end_grant(release, now)
        self._attempt_cache.record_attempt_end(attempt_id, now)
        self._outcomes.record(release, grant, now)
        self._waiting.heed_pause(sender, release.outcome)
        if self.successor:
            self._answers.send(self.successor, release)
        self._serve_waiting(now)

    def _handle_cancel(self, cancel, now):
        attempt_id = cancel.attempt_id
        if self._attempt_cache.has_ended(attempt_id):
            return
        self._attempt_cache.record_attempt_end(attempt_id, now)
        self._queue.remove(attempt_id)
        self._granter.end_grant(cancel, now)
        if self.successor:
            self._answers.send(self.successor, cancel)
        self._serve_waiting(now)

    def _handle_handover(self, handover, now):
        self._hold_times.import_means(handover.mean_seconds_by_kind)
        for usage in self._pool.list_target_usages():
            usage.confirm_external_usage()
        for handover_grant in handover.grants:
            if self._attempt_cache.has_ended(handover_grant.attempt_id):
                continue
            usage = self._pool.find_target_usage(handover_grant.target)
            self._grant_table.import_grant(handover_grant, usage, now)
        self._serve_waiting(now)

    def _serve_waiting(self, now):
        """Serve the queue after a change, and refuse what can no longer be served."""
        self._waiting.serve(now)
        self._waiting.refuse_unservable(now)

    def _redirect(self, sender, request):
        redirect = SlotRedirect(attempt_id=request.attempt_id, broker=self.successor)
        self._answers.send(sender, redirect)
