"""The broker of one shard: it hands out the slots of the shard's targets.

It takes messages and gives messages. A request gets a slot at once where one is
free, waits where a slot is expected in time, and is refused at once otherwise. The
broker never grants more slots of a target than detection allows, counted with what
it granted before.
"""

import time

from citronspan.core import result_codes
from citronspan.core.broker_attempt_cache import ATTEMPT_CACHE_SECONDS, AttemptCache
from citronspan.core.broker_grants import Grant, GrantTable
from citronspan.core.broker_messages import (
    BrokerHandover,
    SlotCancel,
    SlotGrant,
    SlotRedirect,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWaiting,
)
from citronspan.core.broker_pool import TargetPool
from citronspan.core.broker_slot_hold_times import SlotHoldTimeEstimator
from citronspan.core.broker_status import BrokerStatus, SlotDecision
from citronspan.core.health import Health, TargetInfo
from citronspan.core.link_budget import LinkBudget
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.outcomes import OutcomeClass
from citronspan.core.placement import compute_wait_limit_seconds, find_acceptable_cost
from citronspan.core.result_codes import ResultCode
from citronspan.core.retry_window import RetryWindow
from citronspan.core.shards import ShardKey
from citronspan.core.slot_queue import SlotQueue, WaitingRequest
from citronspan.core.unserved_share import UnservedShare
from citronspan.core.verdicts import Verdict

LEASE_GRACE_SECONDS = 0.5
"""Time after a request's deadline when its slot is taken back."""

MAXIMUM_DEADLINE_SECONDS = 3600.0
"""Longest deadline of a route, as resources allow it."""

MAXIMUM_QUEUED_PER_SLOT = 4
"""Requests that may wait per usable slot."""

MINIMUM_QUEUE_LIMIT = 8
"""Requests that may wait however few slots there are."""

MINIMUM_RETRY_AFTER_SECONDS = 0.15
"""Least time that a refused caller is asked to stay away."""

RETRY_AFTER_JITTER = 0.5
"""Part by which that time differs among callers, so that they don't return at once."""

_UNSAMPLED_CLASSES = {
    OutcomeClass.SHED,
    OutcomeClass.DRAINING,
    OutcomeClass.STARTING,
    OutcomeClass.CONNECT_FAILED,
    OutcomeClass.NOT_USED,
}


class Broker:
    """The broker of one shard.

    Attributes:
        key: The shard.
        health: Detection for the shard.
        successor: Peer address of the broker that this one handed over to, or empty.
    """

    def __init__(
        self,
        *,
        key: ShardKey,
        health: Health,
        targets: tuple[TargetInfo, ...] = (),
        link_bytes_per_second: float = 0.0,
        retries: RetryWindow | None = None,
    ):
        self._retries = retries
        self.key = key
        self.health = health
        self.successor = ""
        self._pool = TargetPool(health=health, targets=targets, now=time.monotonic())
        self._queue = SlotQueue()
        self._book = GrantTable()
        self._memory = AttemptCache()
        self._hold_times = SlotHoldTimeEstimator()
        self._link = LinkBudget(bytes_per_second=link_bytes_per_second)
        self._arrivals = 0
        self._grants = 0
        self._reclaimed = 0
        self._refusals_by_code: dict[int, int] = {}
        self._outgoing: list[Outgoing] = []
        self._decisions: list[SlotDecision] = []
        self._unserved = UnservedShare(now=time.monotonic())

    def drain_decisions(self) -> list[SlotDecision]:
        """Return the decisions since the last call, for the log."""
        decisions = self._decisions
        self._decisions = []
        return decisions

    def is_idle(self) -> bool:
        """Return whether nothing waits, is granted or is remembered."""
        if len(self._queue) or len(self._book):
            return False
        return self._memory.is_empty()

    def describe(self) -> BrokerStatus:
        """Return what the broker is doing."""
        return BrokerStatus(
            key=self.key,
            granted_by_target={
                use.known.name: use.granted for use in self._pool.list_target_usages()
            },
            capacity=self._pool.capacity,
            waiting=len(self._queue),
            grants=self._grants,
            refusals_by_code=dict(self._refusals_by_code),
            reclaimed=self._reclaimed,
            mean_hold_seconds=self._hold_times.mean_seconds,
            link_bytes_by_kind=dict(self._link.spent_bytes_by_kind),
            successor=self.successor,
        )

    def set_targets(self, targets: tuple[TargetInfo, ...]) -> list[Outgoing]:
        """Take the shard's targets as they are now.

        Args:
            targets: All targets of the shard; a leaving one gets no grant from now.

        Returns:
            Messages to send.
        """
        now = time.monotonic()
        self._pool.set_targets(targets, now)
        self._serve_waiting(now)
        self._refuse_hopeless(0, now)
        return self._take_outgoing()

    def handle(self, sender: str, message: Message) -> list[Outgoing]:
        """Handle one message.

        Args:
            sender: Peer address of the sender.
            message: A message of ``BrokerMessage``.

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
        return self._take_outgoing()

    def advance(self) -> list[Outgoing]:
        """Do what is due by time; to be called several times a second.

        Returns:
            Messages to send.
        """
        now = time.monotonic()
        self._reclaimed += self._book.reclaim_due(now)
        for grant in self._book.pop_overdue(now):
            self.health.record_overdue(grant.use.known.name)
        self._memory.discard_expired(now)
        self._serve_waiting(now)
        self._refuse_hopeless(0, now)
        return self._take_outgoing()

    def hand_over(
        self, successor: str, verdicts: tuple[Verdict, ...] = ()
    ) -> list[Outgoing]:
        """Stop serving the shard in favour of another broker.

        Args:
            successor: Peer address of the new broker.
            verdicts: What detection holds of each target.

        Returns:
            The handover, and redirects for the requests that wait.
        """
        now = time.monotonic()
        self.successor = successor
        handover = BrokerHandover(
            service=self.key.service,
            region=self.key.region,
            shard=self.key.number,
            grants=self._book.export(now),
            mean_seconds_by_kind=self._hold_times.export(),
            verdicts=verdicts,
        )
        self._send(successor, handover)
        for waiting in self._queue.list_from(0):
            self._queue.remove(waiting.request.attempt_id)
            self._redirect(waiting.sender, waiting.request)
        return self._take_outgoing()

    def resume(self) -> None:
        """Serve the shard again after a handover; use by others is unknown."""
        if not self.successor:
            return
        self.successor = ""
        now = time.monotonic()
        for use in self._pool.list_target_usages():
            use.reset_external_usage(now)

    def _handle_request(self, sender, request, now):
        attempt_id = request.attempt_id
        answer = self._memory.find_answer(attempt_id)
        if answer is not None:
            self._send(sender, answer)
            return
        if self._book.find(attempt_id) is not None:
            self._repeat_grant(sender, attempt_id, now)
            return
        if attempt_id in self._queue:
            self._send(sender, SlotWaiting(attempt_id=attempt_id))
            return
        self._arrivals += 1
        waiting = WaitingRequest(
            request=request,
            sender=sender,
            number=self._arrivals,
            asked_at=now,
            wait_limit_seconds=self._find_patience(request),
        )
        if self._memory.has_ended(attempt_id):
            self._refuse(waiting, result_codes.ATTEMPT_CANCELLED, now)
            return
        if self.successor and not request.force:
            self._redirect(sender, request)
            return
        self._serve_waiting(now)
        self._refuse_hopeless(0, now)
        # Written so that it holds for what is no number, too.
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
        if request.from_region and not self._spend_link(request):
            self._refuse(waiting, result_codes.LINK_BUDGET_SPENT, now)
            return
        if self._grant_if_free(waiting, now):
            return
        self._queue_or_refuse(waiting, now)

    def _count_request(self, request):
        """Count a request for the window of retries, at its first question only."""
        if self._retries is None or request.is_retry or request.asked_before:
            return
        self._retries.count_request()

    def _may_retry(self, request) -> bool:
        """Return whether a request that was dispatched before may be once more."""
        if self._retries is None or not request.is_retry:
            return True
        return self._retries.has_left()

    def _spend_link(self, request):
        return self._link.spend(request.request_kind, request.worth, request.body_bytes)

    def _grant_if_free(self, waiting, now):
        self._pool.read_limits(now)
        use = self._choose(waiting, now, waiting.wait_limit_seconds)
        if use is None:
            return False
        self._grant(waiting, use, now)
        return True

    def _choose(self, waiting, now, wait_limit_seconds):
        return self._pool.choose(
            waiting.request,
            now,
            acceptable_cost=find_acceptable_cost(
                waiting.request, now - waiting.asked_at, wait_limit_seconds
            ),
            high_unserved_share=self._unserved.is_high(now),
        )

    def _find_patience(self, request):
        return compute_wait_limit_seconds(request, self._estimate_need(request))

    def _estimate_need(self, request):
        """Return the time that a request is taken to need at a target.

        Where targets are doubted the other way is one that may well fail, so that
        even odds of an answer in time are worth a wait.
        """
        if self._pool.has_failure_probabilities:
            return self._hold_times.estimate_mean(request.request_kind)
        return self._hold_times.estimate_upper_bound(request.request_kind)

    def _grant(self, waiting, use, now):
        request = waiting.request
        is_trial = self._pool.is_trial(use.known.name)
        lease_seconds = waiting.deadline_at - now + LEASE_GRACE_SECONDS
        grant = Grant(
            use=use,
            request_kind=request.request_kind,
            granted_at=now,
            lease_seconds=lease_seconds,
            crosses_link=bool(request.from_region),
            is_retryable=request.idempotent and not request.is_retry,
        )
        self._book.add(request.attempt_id, grant, now)
        overdue_seconds = self.health.find_overdue_seconds(request.request_kind)
        if overdue_seconds < lease_seconds:
            self._book.schedule_overdue_check(request.attempt_id, now + overdue_seconds)
        if is_trial:
            self.health.record_trial(use.known.name)
        self._grants += 1
        if self._retries is not None and request.is_retry:
            self._retries.spend()
        self._note_decision(waiting, now, target=use.known.name)
        answer = SlotGrant(
            attempt_id=request.attempt_id,
            target=use.known.name,
            address=use.known.address,
            lease_seconds=lease_seconds,
            trial=is_trial,
            free_slots=max(0, self._pool.capacity - len(self._book)),
        )
        self._answer(waiting.sender, answer, lease_seconds + ATTEMPT_CACHE_SECONDS, now)

    def _repeat_grant(self, sender, attempt_id, now):
        grant = self._book.find(attempt_id)
        remaining = grant.granted_at + grant.lease_seconds - now
        answer = SlotGrant(
            attempt_id=attempt_id,
            target=grant.use.known.name,
            address=grant.use.known.address,
            lease_seconds=remaining,
        )
        self._answer(sender, answer, remaining + ATTEMPT_CACHE_SECONDS, now)

    def _queue_or_refuse(self, waiting, now):
        request = waiting.request
        if request.from_region or not self._pool.has_eligible_target(request, now):
            self._refuse(waiting, result_codes.NO_CAPACITY, now)
            return
        place = self._queue.find_queue_position(waiting)
        if self._is_hopeless(waiting, place, now):
            if not self._grant_doubted(waiting, now):
                self._refuse(waiting, self._find_reason(request, place), now)
            return
        if len(self._queue) >= self._find_queue_bound():
            last = self._queue.find_last()
            if last.request.worth >= request.worth:
                self._refuse(waiting, result_codes.OVERLOADED, now)
                return
            self._give_up(last, result_codes.OVERLOADED, now)
        self._queue.add(waiting)
        self._send(waiting.sender, SlotWaiting(attempt_id=request.attempt_id))
        self._refuse_hopeless(place + 1, now)

    def _grant_doubted(self, waiting, now):
        """Grant any free slot to a request that waited, or would, for a better one.

        It cannot wait, so that a target which may fail is all that is left.

        Returns:
            Whether there was one.
        """
        request = waiting.request
        if request.has_other_region or request.from_region:
            return False
        use = self._choose(waiting, now, 0.0)
        if use is None or not self._may_retry(request):
            return False
        self._queue.remove(request.attempt_id)
        self._grant(waiting, use, now)
        return True

    def _find_queue_bound(self):
        return max(MINIMUM_QUEUE_LIMIT, MAXIMUM_QUEUED_PER_SLOT * self._pool.capacity)

    def _is_hopeless(self, waiting, place, now):
        """Return whether a request at a place of the queue cannot be served."""
        need = self._estimate_need(waiting.request)
        wait = (place + 1) * self._find_turn_seconds()
        return now + wait + need >= waiting.deadline_at

    def _find_turn_seconds(self):
        """Return the mean time from one slot coming free to the next."""
        return self._hold_times.mean_seconds / max(
            1, self._pool.expected_healthy_capacity
        )

    def _find_reason(self, request, place) -> ResultCode:
        first = self._queue.find_first()
        if place == 0 or first is None:
            return result_codes.DEADLINE_TOO_SHORT
        if first.request.worth > request.worth:
            return result_codes.OVERLOADED
        return result_codes.NO_CAPACITY

    def _refuse_hopeless(self, place, now):
        """Refuse who cannot be served, from a place of the queue on.

        This runs over the queue with each message under overload, so that it asks
        for each estimate once.
        """
        if len(self._queue) <= place:
            return
        self._pool.read_limits(now)
        turn_seconds = self._find_turn_seconds()
        need_by_kind = {}
        for waiting in self._queue.list_from(place):
            request = waiting.request
            need = need_by_kind.get(request.request_kind)
            if need is None:
                need = self._estimate_need(request)
                need_by_kind[request.request_kind] = need
            if not self._pool.has_eligible_target(request, now):
                self._give_up(waiting, result_codes.NO_CAPACITY, now)
                continue
            if now + (place + 1) * turn_seconds + need >= waiting.deadline_at:
                if self._grant_doubted(waiting, now):
                    continue
                self._give_up(waiting, self._find_reason(request, place), now)
                continue
            place += 1

    def _serve_waiting(self, now):
        if not self._queue:
            return
        self._pool.read_limits(now)
        free = self._pool.count_free_slots(now)
        if free <= 0:
            return
        for waiting in self._queue.list_from(0):
            if now >= waiting.deadline_at:
                self._give_up(waiting, result_codes.NO_CAPACITY, now)
                continue
            if not self._may_retry(waiting.request):
                self._give_up(waiting, result_codes.RETRIES_SPENT, now)
                continue
            use = self._choose(waiting, now, waiting.wait_limit_seconds)
            is_over = now - waiting.asked_at >= waiting.wait_limit_seconds
            if use is None and waiting.request.has_other_region and is_over:
                self._give_up(waiting, result_codes.NO_CAPACITY, now)
            if use is None:
                continue
            self._queue.remove(waiting.request.attempt_id)
            self._grant(waiting, use, now)
            free -= 1
            if free <= 0:
                return

    def _handle_release(self, release, now):
        attempt_id = release.attempt_id
        if self._memory.has_ended(attempt_id):
            return
        grant = self._book.end(attempt_id, now)
        self._memory.record_attempt_end(attempt_id, now)
        self._learn(release, grant, now)
        if self.successor:
            self._send(self.successor, release)
        self._serve_waiting(now)
        self._refuse_hopeless(0, now)

    def _learn(self, release, grant, now):
        outcome = release.outcome
        if outcome.outcome_class is OutcomeClass.NOT_USED:
            return
        self.health.observe(outcome)
        self._count_served(outcome, grant, now)
        use = self._pool.find_target_usage(outcome.target)
        load_age_seconds = 0.0
        if grant is not None:
            held_seconds = now - grant.granted_at
            load_age_seconds = held_seconds - outcome.latency_seconds
            if outcome.outcome_class not in _UNSAMPLED_CLASSES:
                self._hold_times.add(grant.request_kind, held_seconds)
            if grant.crosses_link:
                self._link.reconcile_answer_bytes(
                    grant.request_kind, release.answer_bytes
                )
        if use is not None:
            use.apply_outcome(outcome, load_age_seconds, now)

    def _count_served(self, outcome, grant, now):
        """Count a request as served or not; one that is tried again is neither yet."""
        is_unserved = outcome.outcome_class is not OutcomeClass.OK
        if is_unserved and grant is not None and grant.is_retryable:
            return
        self._unserved.add(is_unserved, now)

    def _handle_cancel(self, cancel, now):
        attempt_id = cancel.attempt_id
        if self._memory.has_ended(attempt_id):
            return
        self._memory.record_attempt_end(attempt_id, now)
        self._queue.remove(attempt_id)
        self._book.end(attempt_id, now)
        if self.successor:
            self._send(self.successor, cancel)
        self._serve_waiting(now)
        self._refuse_hopeless(0, now)

    def _handle_handover(self, handover, now):
        self._hold_times.import_means(handover.mean_seconds_by_kind)
        for use in self._pool.list_target_usages():
            use.confirm_external_usage()
        for held in handover.grants:
            use = self._pool.find_target_usage(held.target)
            if use is None or self._memory.has_ended(held.attempt_id):
                continue
            if self._book.find(held.attempt_id) is not None:
                continue
            remaining_seconds = held.lease_seconds - held.held_seconds
            if (
                not 0
                < remaining_seconds
                <= MAXIMUM_DEADLINE_SECONDS + LEASE_GRACE_SECONDS
            ):
                continue
            grant = Grant(
                use=use,
                request_kind=held.request_kind,
                granted_at=now - held.held_seconds,
                lease_seconds=held.lease_seconds,
            )
            self._book.add(held.attempt_id, grant, now)
        self._serve_waiting(now)
        self._refuse_hopeless(0, now)

    def _give_up(self, waiting, code, now):
        self._queue.remove(waiting.request.attempt_id)
        self._refuse(waiting, code, now)

    def _note_decision(self, waiting, now, *, target="", code=0):
        request = waiting.request
        self._decisions.append(
            SlotDecision(
                key=self.key,
                request_id=request.request_id,
                target=target,
                code=code,
                failure_probability=self._pool.find_failure_probability(target),
                waited_seconds=now - waiting.asked_at,
                deadline_seconds=request.deadline_seconds,
                waiting=len(self._queue),
                granted=len(self._book),
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
            retry_after_seconds=_spread_seconds(request.attempt_id, queue_seconds),
        )
        self._note_decision(waiting, now, code=code.number)
        if not request.has_other_region and not request.from_region:
            self._unserved.add(True, now)
        before = self._refusals_by_code.get(code.number, 0)
        self._refusals_by_code[code.number] = before + 1
        self._answer(waiting.sender, refusal, ATTEMPT_CACHE_SECONDS, now)

    def _redirect(self, sender, request):
        redirect = SlotRedirect(attempt_id=request.attempt_id, broker=self.successor)
        self._send(sender, redirect)

    def _answer(self, sender, answer, seconds, now):
        self._memory.cache_answer(answer, seconds, now)
        self._send(sender, answer)

    def _send(self, to, message):
        self._outgoing.append(Outgoing(to=to, message=message))

    def _take_outgoing(self):
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing


def _spread_seconds(attempt_id: int, seconds: float) -> float:
    """Return a time to stay away of about so many seconds, by the attempt."""
    share = attempt_id % 1024 / 1024
    return max(MINIMUM_RETRY_AFTER_SECONDS, seconds) * (1 + RETRY_AFTER_JITTER * share)
