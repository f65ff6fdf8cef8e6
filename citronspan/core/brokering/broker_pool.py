"""The targets of one shard, their free slots, and the choice of a target."""

import math
from collections.abc import Callable

from citronspan.core.brokering.broker_messages import SlotRequest
from citronspan.core.brokering.broker_target_usage import TargetUsage
from citronspan.core.brokering.idle_allowance import count_allowed_idle_targets
from citronspan.core.brokering.placement import (
    EXPLORING_SECONDS,
    FAILED_IDLE_SECONDS,
    FLOOR_IDLE_SECONDS,
    IDLE_TARGET_SECONDS,
    LOST_REQUEST_PAUSE_SHARE,
    PRECEDENCE_SECONDS,
    TRUSTED_HOLD_TIMES,
    Candidate,
    compute_cost,
    rank_by_free_share,
)
from citronspan.core.brokering.rate_pacer import FULL_RATE_SHARE, RatePacer, RateShare
from citronspan.core.detection.health import Health, TargetInfo, TargetLimit
from citronspan.core.rate_limits import RateLimit, RateLimitTable


class TargetPool:
    """The targets of a shard with their limits and their usage.

    Attributes:
        health: Failure detection for the shard.
        capacity: Slots usable by requests other than trials, as of the last
            ``read_limits``.
        expected_healthy_capacity: The same slots, each weighted by the probability
            that its target is not failing.
        has_failure_probabilities: Whether detection gives failure probabilities
            instead of ejecting targets.
    """

    def __init__(
        self,
        *,
        health: Health,
        targets: tuple[TargetInfo, ...],
        now: float,
        floor: float = 0.0,
        count_preceding_targets: Callable[[], int] = lambda: 0,
        holder: str = "",
        find_rate_share: Callable[[], RateShare] = lambda: FULL_RATE_SHARE,
        estimate_hold_seconds: Callable[[], float] = lambda: 0.0,
    ):
        """Create a pool.

        Args:
            health: Failure detection for the shard.
            targets: Targets of the shard.
            now: Present time.
            floor: Share of the targets that must get requests at all times, 0 if
                detection keeps the floor.
            count_preceding_targets: Returns the number of the service's targets in the
                shards before this one.
            holder: Peer address of the entry that runs the broker.
            find_rate_share: Returns the broker's present share of the request rates to
                which targets limit the fleet.
            estimate_hold_seconds: Returns the mean time for which a slot is held.
        """
        self.health = health
        self._pacer = RatePacer(holder=holder, rate_limits=RateLimitTable())
        self._find_rate_share = find_rate_share
        self._rate_share = FULL_RATE_SHARE
        self._estimate_hold_seconds = estimate_hold_seconds
        self._floor = floor
        self._count_preceding_targets = count_preceding_targets
        self.capacity = 0
        self.expected_healthy_capacity = 0.0
        self.has_failure_probabilities = False
        self._asked_once_at = -math.inf
        self._usage_by_target: dict[str, TargetUsage] = {}
        self._removed_usage_by_target: dict[str, TargetUsage] = {}
        self._usages_with_limits: list[tuple[TargetUsage, TargetLimit]] = []
        self._limit_by_target: dict[str, TargetLimit] = {}
        self.set_targets(targets, now)

    def set_floor(self, floor: float) -> None:
        """Replace the share of the targets that must get requests at all times."""
        self._floor = floor

    def set_targets(self, targets: tuple[TargetInfo, ...], now: float) -> None:
        """Replace the targets; targets that stay keep their usage.

        The usage of a new target is unknown, since the target may come from another
        shard. The usage of a removed target is kept as long as it has open grants,
        because the target may return.
        """
        self.health.set_targets(targets)
        for usage in self._usage_by_target.values():
            self._removed_usage_by_target[usage.target_info.name] = usage
        self._usage_by_target = {}
        for target_info in targets:
            usage = self._removed_usage_by_target.pop(target_info.name, None)
            if usage is None:
                usage = TargetUsage(target_info=target_info, now=now)
            usage.target_info = target_info
            self._usage_by_target[target_info.name] = usage
        for name, usage in list(self._removed_usage_by_target.items()):
            if usage.granted == 0:
                del self._removed_usage_by_target[name]
        self._pacer.rate_limits.retain(self._usage_by_target.keys())
        self.read_limits(now)

    def observe_rate_limits(self, rate_limit_by_target: dict[str, RateLimit]) -> None:
        """Take what targets stated about their request rate, unless it is known."""
        for target, rate_limit in rate_limit_by_target.items():
            if target in self._usage_by_target:
                self._pacer.rate_limits.observe(target, rate_limit)

    def count_request(self, target: str) -> None:
        """Count a request that is granted a slot of a target against its rate limit."""
        self._pacer.count_request(target)

    def list_target_usages(self) -> list[TargetUsage]:
        """Return the usage of each target."""
        return list(self._usage_by_target.values())

    def find_target_usage(self, target: str) -> TargetUsage | None:
        """Return the usage of a target, or None if it is not in this shard."""
        return self._usage_by_target.get(target)

    def is_trial(self, target: str) -> bool:
        """Return whether only trials may use a target, as of the last read."""
        limit = self._limit_by_target.get(target)
        return limit is not None and limit.trial

    def find_failure_probability(self, target: str) -> float:
        """Return a target's failure probability as of the last read, 0 if unknown."""
        limit = self._limit_by_target.get(target)
        return 0.0 if limit is None else limit.failure_probability or 0.0

    def read_limits(self, now: float) -> None:
        """Read the current limits from detection and update the capacity."""
        self._limit_by_target = self.health.find_limits()
        self._usages_with_limits = []
        self._rate_share = self._find_rate_share()
        capacity = 0
        expected_healthy_capacity = 0.0
        has_failure_probabilities = False
        for name, usage in self._usage_by_target.items():
            limit = self._limit_by_target.get(name)
            if limit is None:
                continue
            self._usages_with_limits.append((usage, limit))
            has_failure_probabilities = (
                has_failure_probabilities or limit.failure_probability is not None
            )
            if limit.trial:
                continue
            usable_slots = usage.compute_usable_slots(limit, now)
            usable_slots = self._apply_rate_limit(name, usable_slots)
            capacity += math.ceil(usable_slots)
            expected_healthy_capacity += usable_slots * (
                1 - (limit.failure_probability or 0.0)
            )
        self.capacity = capacity
        self.expected_healthy_capacity = expected_healthy_capacity
        self.has_failure_probabilities = has_failure_probabilities

    def _apply_rate_limit(self, target, usable_slots):
        """Return how many slots a target fills at the rate that its limit allows."""
        rate = self._pacer.find_rate(target, self._rate_share)
        hold_seconds = self._estimate_hold_seconds()
        if rate is None or not hold_seconds:
            return usable_slots
        return min(usable_slots, rate * hold_seconds)

    def count_free_slots(self, now: float) -> int:
        """Return the number of free slots of all targets, trials included."""
        return sum(
            max(0, self._count_grantable_slots(usage, limit, now))
            for usage, limit in self._usages_with_limits
        )

    def _count_grantable_slots(self, usage, limit, now, *, has_hung_grant=False):
        """Return the free slots of a target, 0 while its rate limit lets it wait.

        The slot of one grant whose request hangs counts as free.
        """
        free_slots = usage.compute_free_slots(limit, now)
        if has_hung_grant and usage.granted:
            free_slots = max(free_slots, min(free_slots + 1, 1))
        if free_slots <= 0:
            return free_slots
        name = usage.target_info.name
        return free_slots if self._pacer.allows_request(name, self._rate_share) else 0

    def has_eligible_target(self, request: SlotRequest, now: float) -> bool:
        """Return whether a target that is not on trial may serve the request.

        Its usable slots count even if none of them is free now.
        """
        if self.capacity <= 0 or not request.excluded:
            return self.capacity > 0
        for usage, limit in self._usages_with_limits:
            if limit.trial or usage.target_info.name in request.excluded:
                continue
            if usage.compute_usable_slots(limit, now) > 0:
                return True
        return False

    def choose(
        self,
        request: SlotRequest,
        now: float,
        *,
        acceptable_cost: float = math.inf,
        high_unserved_share: bool = False,
    ) -> TargetUsage | None:
        """Choose a target with a free slot for a request.

        Targets of equal rank are chosen in rotation by attempt ID. A target that told
        any entry that it leaves is the last choice.

        Args:
            request: The request.
            now: Present time.
            acceptable_cost: Cost above which a target is not chosen. It applies only
                to targets with a failure probability.
            high_unserved_share: Whether a high share of the shard's requests goes
                unserved.

        Returns:
            The target's usage, or None if no free slot is acceptable.
        """
        best = None
        best_rank = None
        count = len(self._usage_by_target)
        due_targets = self._find_targets_due_for_floor(request, now)
        for index, (usage, limit) in enumerate(self._usages_with_limits):
            if usage.target_info.name in request.excluded:
                continue
            if limit.trial and not _may_use_trial(request, limit):
                continue
            is_due = usage.target_info.name in due_targets
            has_hung_grant = due_targets.get(usage.target_info.name, False)
            free_slots = self._count_grantable_slots(
                usage, limit, now, has_hung_grant=has_hung_grant
            )
            if free_slots <= 0:
                continue
            candidate = Candidate(
                usage=usage,
                limit=limit,
                free_slots=free_slots,
                is_preferred=is_due
                or (
                    high_unserved_share
                    and usage.compute_idle_seconds(now) > IDLE_TARGET_SECONDS
                ),
            )
            rotation = (index + request.attempt_id) % count
            if limit.failure_probability is None:
                rank = rank_by_free_share(request, candidate)
            else:
                cost = compute_cost(request, candidate)
                if cost > acceptable_cost:
                    continue
                rank = (cost,)
            rank = (usage.is_said_to_leave, *rank, rotation)
            if best is not None and rank >= best_rank:
                continue
            best = usage
            best_rank = rank
        return best

    def _find_targets_due_for_floor(self, request, now):
        """Return the idle targets if they are more than the floor allows, else none.

        Of each it says whether its last grant hangs by the time that others took. Those
        that the entry failed to reach are left to the requests of others, and all of
        them for some time if it failed to reach any. Those whose last request was lost
        just now are not due again yet. Requests that may run again go to them first.
        """
        if request.is_retry or not self.has_failure_probabilities:
            return {}
        ahead_seconds = self._find_exploring_seconds(request, now)
        hold_seconds = self._estimate_hold_seconds()
        trusted_seconds = max(IDLE_TARGET_SECONDS, TRUSTED_HOLD_TIMES * hold_seconds)
        has_lost_a_path = not self._usage_by_target.keys().isdisjoint(request.avoided)
        least_due_seconds = PRECEDENCE_SECONDS if has_lost_a_path else 0.0
        due_targets = {}
        usable_count = 0
        idle_count = 0
        for usage, limit in self._usages_with_limits:
            is_usable = usage.compute_usable_slots(limit, now) > 0
            if not is_usable or usage.is_said_to_leave:
                continue
            usable_count += 1
            unreached_seconds = usage.compute_unreached_seconds(now, trusted_seconds)
            due_seconds = unreached_seconds - FLOOR_IDLE_SECONDS + ahead_seconds
            if due_seconds <= 0:
                continue
            failed_seconds = now - usage.failed_at + ahead_seconds
            has_just_failed = failed_seconds <= FAILED_IDLE_SECONDS
            idle_count += not has_just_failed
            pause_seconds = min(
                FLOOR_IDLE_SECONDS, LOST_REQUEST_PAUSE_SHARE * unreached_seconds
            )
            granted_seconds = now - usage.granted_at
            due_seconds = min(due_seconds, granted_seconds - pause_seconds)
            is_avoided = usage.target_info.name in request.avoided
            if due_seconds > least_due_seconds and not is_avoided:
                has_hung_grant = granted_seconds < unreached_seconds
                due_targets[usage.target_info.name] = has_hung_grant
        allowed_idle = count_allowed_idle_targets(
            floor=self._floor,
            targets=usable_count,
            preceding_targets=self._count_preceding_targets(),
        )
        return due_targets if idle_count > allowed_idle else {}

    def _find_exploring_seconds(self, request, now):
        """Return by how much sooner targets are due for the floor for a request."""
        if not request.idempotent:
            self._asked_once_at = now
            return 0.0
        is_mixed = now - self._asked_once_at <= FLOOR_IDLE_SECONDS
        return EXPLORING_SECONDS if is_mixed else 0.0


def _may_use_trial(request: SlotRequest, limit: TargetLimit) -> bool:
    if request.is_retry:
        return False
    return request.idempotent or limit.allow_non_idempotent
