"""The targets of one shard with their free slots, and the choice among them."""

import math

from citronspan.core.broker_messages import SlotRequest
from citronspan.core.broker_target_usage import TargetUsage
from citronspan.core.health import Health, TargetInfo, TargetLimit
from citronspan.core.placement import (
    Candidate,
    compute_cost,
    rank_by_free_share,
)


class TargetPool:
    """Targets, what detection allows of them, and their use.

    Attributes:
        health: Detection for the shard.
        capacity: Slots that requests other than trials may use, as last read.
        expected_healthy_capacity: The same, each counted by the chance that it is of
            use.
        has_failure_probabilities: Whether detection gives doubts rather than limits.
    """

    def __init__(self, *, health: Health, targets: tuple[TargetInfo, ...], now: float):
        self.health = health
        self.capacity = 0
        self.expected_healthy_capacity = 0.0
        self.has_failure_probabilities = False
        self._use_by_target: dict[str, TargetUsage] = {}
        self._gone_by_target: dict[str, TargetUsage] = {}
        self._limited: list[tuple[TargetUsage, TargetLimit]] = []
        self._limit_by_target: dict[str, TargetLimit] = {}
        self.set_targets(targets, now)

    def set_targets(self, targets: tuple[TargetInfo, ...], now: float) -> None:
        """Take the targets as they are now; those that stay keep their use.

        The use of a new one is unknown, since it may come from another shard. The
        use of one that went is kept while grants are at it, for it may come back.
        """
        self.health.set_targets(targets)
        for use in self._use_by_target.values():
            self._gone_by_target[use.known.name] = use
        self._use_by_target = {}
        for known in targets:
            use = self._gone_by_target.pop(known.name, None)
            if use is None:
                use = TargetUsage(known=known, now=now)
            use.known = known
            self._use_by_target[known.name] = use
        for name, use in list(self._gone_by_target.items()):
            if use.granted == 0:
                del self._gone_by_target[name]
        self.read_limits(now)

    def list_target_usages(self) -> list[TargetUsage]:
        """Return the use of each target."""
        return list(self._use_by_target.values())

    def find_target_usage(self, target: str) -> TargetUsage | None:
        """Return the use of a target, or None if it is not of this shard."""
        return self._use_by_target.get(target)

    def is_trial(self, target: str) -> bool:
        """Return whether a target is being tried, as last read."""
        limit = self._limit_by_target.get(target)
        return limit is not None and limit.trial

    def find_failure_probability(self, target: str) -> float:
        """Return the doubt of a target as last read, 0 where there is none."""
        limit = self._limit_by_target.get(target)
        return 0.0 if limit is None else limit.failure_probability or 0.0

    def read_limits(self, now: float) -> None:
        """Ask detection for the limits of this moment."""
        self._limit_by_target = self.health.find_limits()
        self._limited = []
        capacity = 0
        expected_healthy_capacity = 0.0
        has_failure_probabilities = False
        for name, use in self._use_by_target.items():
            limit = self._limit_by_target.get(name)
            if limit is None:
                continue
            self._limited.append((use, limit))
            has_failure_probabilities = (
                has_failure_probabilities or limit.failure_probability is not None
            )
            if limit.trial:
                continue
            usable = use.compute_usable_slots(limit, now)
            capacity += usable
            expected_healthy_capacity += usable * (
                1 - (limit.failure_probability or 0.0)
            )
        self.capacity = capacity
        self.expected_healthy_capacity = expected_healthy_capacity
        self.has_failure_probabilities = has_failure_probabilities

    def count_free_slots(self, now: float) -> int:
        """Return the free slots of all targets, trials included."""
        return sum(
            max(0, use.compute_free_slots(limit, now)) for use, limit in self._limited
        )

    def has_eligible_target(self, request: SlotRequest, now: float) -> bool:
        """Return whether a slot for the request could ever come free."""
        if self.capacity <= 0 or not request.excluded:
            return self.capacity > 0
        for use, limit in self._limited:
            if limit.trial or use.known.name in request.excluded:
                continue
            if use.compute_usable_slots(limit, now) > 0:
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

        Equal ones take turns.

        Args:
            request: The request.
            now: Present time.
            acceptable_cost: The request rather gets none than one that costs more.
            high_unserved_share: Whether a good part of the shard's requests goes
                unserved.

        Returns:
            The target's use, or None if there is no free slot for the request.
        """
        best = None
        best_rank = None
        count = len(self._use_by_target)
        for index, (use, limit) in enumerate(self._limited):
            if use.known.name in request.excluded:
                continue
            if limit.trial and not _may_try(request, limit):
                continue
            free = use.compute_free_slots(limit, now)
            if free <= 0:
                continue
            idle_seconds = 0.0 if use.granted else now - use.granted_at
            candidate = Candidate(
                use=use, limit=limit, free=free, idle_seconds=idle_seconds
            )
            turn = (index + request.attempt_id) % count
            if limit.failure_probability is None:
                rank = (*rank_by_free_share(request, candidate), turn)
            else:
                cost = compute_cost(
                    request, candidate, high_unserved_share=high_unserved_share
                )
                if cost > acceptable_cost:
                    continue
                rank = (cost, turn)
            if best is not None and rank >= best_rank:
                continue
            best = use
            best_rank = rank
        return best


def _may_try(request: SlotRequest, limit: TargetLimit) -> bool:
    if request.is_retry:
        return False
    return request.idempotent or limit.allow_non_idempotent
