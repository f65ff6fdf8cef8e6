"""Decides after which time a request is worth a second attempt, a hedged request.

Load pattern: a few slow answers among many quick ones, because one target of many is
slow for a while or now and then. A second attempt that begins when the first is later
than its like usually are cuts these answers for little extra work. Source: Dean and
Barroso, "The Tail at Scale", CACM 56(2), 2013. When many targets are late at once, the
cause is the load or the requests, and more work would only make it worse.

The usual latency is that of the request kind at the targets that are not late: a slow
target of twenty answers a twentieth of the requests, and would move the quantile that
is to tell it from the others. Attempts that were ended without an answer count as ones
of at least that latency, or the hedges themselves would hide the slow answers.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from citronspan.core.brokering.hedge_budget import HedgeBudget
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.latency_distribution import LatencyDistribution
from citronspan.core.outcomes import Outcome, OutcomeClass

HIGHEST_LATE_SHARE = 0.05
LOWEST_LATE_SHARE = 0.01
"""Bounds on the share of the answers that count as late, whatever share of extra
attempts the operator allows. Recent answers are too few to tell rarer ones."""

EARLY_SHARE = 0.2
"""Share of the answers that take longer than the least delay of a hedge that is sent
before its request counts as late, so that it can still meet the goal."""

TYPICAL_SHARE = 0.5
"""Share of the answers that take longer than what a hedge is expected to take."""

LATE_WEIGHT = 1 / 8
"""Weight of the latest answer in the share of a target's answers that were late."""

LATE_TARGET_SHARE = 0.4
"""Share of late answers from which on a target counts as late: four in a row."""

COMMON_TROUBLE_SHARE = 1 / 3
"""Share of late targets from which on the service as a whole is in trouble."""

WIN_WEIGHT = 1 / 16
"""Weight of the latest hedge in the share of hedges whose answer came first."""

INITIAL_WIN_SHARE = 0.5
MINIMUM_WIN_SHARE = 0.25
"""Share of hedges that must win. Below it, what is late is mostly long requests, and
three of four hedges are work for nothing."""

PROBED_REQUESTS = 10
"""One of so many requests may still be hedged then, to learn when that changes."""

MINIMUM_FREE_SHARE = 0.25
"""Share of the usable slots that must be free for a hedge."""

_ENDED_CLASSES = frozenset({OutcomeClass.CANCELLED, OutcomeClass.TIMED_OUT})


@dataclass(frozen=True, kw_only=True, slots=True)
class HedgeLimits:
    """What the operator allows.

    Attributes:
        share: Hedges per request over the whole fleet, 0 to send none.
        minimum_seconds: Least time after which a hedge is sent.
    """

    share: float = 0.0
    minimum_seconds: float = 0.0


NO_HEDGES = HedgeLimits()


class HedgePolicy:
    """Latencies and lateness at the targets of one shard, and its hedge budget.

    Attributes:
        budget: Hedges that may still be granted.
    """

    def __init__(self, *, find_limits: Callable[[], HedgeLimits]):
        """Create a policy without evidence.

        Args:
            find_limits: Returns what the operator allows now.
        """
        self.budget = HedgeBudget()
        self._find_limits = find_limits
        self._latency_by_kind: dict[str, LatencyDistribution] = {}
        self._late_share_by_target: dict[str, float] = {}
        self._win_share = INITIAL_WIN_SHARE
        self._asked_count = 0

    @property
    def is_on(self) -> bool:
        """Whether the operator allows hedges."""
        return self._find_limits().share > 0

    def retain(self, targets: tuple[TargetInfo, ...]) -> None:
        """Drop the evidence on all other targets, and know these."""
        share_by_target = self._late_share_by_target
        self._late_share_by_target = {
            target.name: share_by_target.get(target.name, 0.0) for target in targets
        }

    def count_request(self) -> None:
        """Count the first attempt of a request."""
        share = self._find_limits().share
        if share > 0:
            self.budget.count_request(share)

    def observe(self, outcome: Outcome) -> None:
        """Add the end of an attempt."""
        if not self.is_on or outcome.target not in self._late_share_by_target:
            return
        seconds = outcome.latency_seconds
        delay_seconds = self._find_delay_seconds(outcome.request_kind)
        has_ended = outcome.outcome_class in _ENDED_CLASSES
        if has_ended and seconds < delay_seconds:
            return
        if not has_ended and outcome.outcome_class is not OutcomeClass.OK:
            return
        is_elsewhere = self.is_late(outcome.target) and not self.is_in_common_trouble()
        if delay_seconds < math.inf:
            self._add_lateness(outcome.target, seconds >= delay_seconds)
        if is_elsewhere:
            return
        latency = self._get_or_create_latency(outcome.request_kind)
        if has_ended:
            latency.add_unanswered(seconds)
        else:
            latency.add(seconds)

    def record_late(self, target: str) -> None:
        """Add an attempt whose entry asks for a hedge because it is late."""
        if target in self._late_share_by_target:
            self._add_lateness(target, True)

    def observe_hedge(self, first_target: str, outcome: Outcome) -> None:
        """Add the end of a hedge: whether its answer came before the first attempt's.

        Args:
            first_target: Name of the first attempt's target. Whether hedges win against
                a late one says nothing about the others.
            outcome: Outcome of the hedge.
        """
        is_known = outcome.outcome_class in (OutcomeClass.OK, OutcomeClass.CANCELLED)
        if not is_known or self.is_late(first_target):
            return
        has_won = outcome.outcome_class is OutcomeClass.OK
        self._win_share += WIN_WEIGHT * (has_won - self._win_share)

    def _add_lateness(self, target, is_late):
        share = self._late_share_by_target[target]
        self._late_share_by_target[target] = share + LATE_WEIGHT * (is_late - share)

    def is_late(self, target: str) -> bool:
        """Return whether many of a target's answers are late."""
        return self._late_share_by_target.get(target, 0.0) > LATE_TARGET_SHARE

    def list_late(self) -> tuple[str, ...]:
        """Return the names of the targets that are late."""
        return tuple(name for name in self._late_share_by_target if self.is_late(name))

    def is_in_common_trouble(self) -> bool:
        """Return whether so many targets are late that no hedge would help."""
        late = len(self.list_late())
        return late > 1 and late > COMMON_TROUBLE_SHARE * len(
            self._late_share_by_target
        )

    def allows_hedge(self, target: str) -> bool:
        """Return whether the budget allows a hedge of an attempt at a target."""
        if not self.is_on:
            return False
        return self.budget.allows_hedge(is_target_late=self.is_late(target))

    def find_hedge_seconds(
        self, target: str, kind: str, *, goal_seconds: float, deadline_seconds: float
    ) -> float:
        """Return the time after which a second attempt is worth asking for.

        Args:
            target: Name of the target of the first attempt.
            kind: Request kind.
            goal_seconds: Time left in which an answer has its full worth, 0 if that is
                the time until the deadline.
            deadline_seconds: Time until the request's deadline.

        Returns:
            The time in seconds, 0 if no hedge is to be sent.
        """
        if not self.allows_hedge(target):
            return 0.0
        if not self._is_promising(target):
            return 0.0
        seconds = self._find_delay_seconds(kind)
        if seconds == math.inf or self.is_in_common_trouble():
            return 0.0
        latency = self._latency_by_kind[kind]
        last_seconds = goal_seconds or deadline_seconds
        last_seconds -= latency.find_seconds(TYPICAL_SHARE)
        least_seconds = max(
            latency.find_seconds(EARLY_SHARE), self._find_limits().minimum_seconds
        )
        seconds = max(min(seconds, last_seconds), least_seconds)
        return seconds if seconds <= last_seconds else 0.0

    def _is_promising(self, target):
        """Return whether a hedge is likely to win, or due to show whether it does."""
        if self._win_share >= MINIMUM_WIN_SHARE or self.is_late(target):
            return True
        self._asked_count += 1
        return self._asked_count % PROBED_REQUESTS == 0

    def _find_delay_seconds(self, kind):
        """Return the latency from which on an answer is late, infinity if unknown."""
        latency = self._latency_by_kind.get(kind)
        if latency is None:
            return math.inf
        limits = self._find_limits()
        share = min(max(limits.share, LOWEST_LATE_SHARE), HIGHEST_LATE_SHARE)
        return max(latency.find_seconds(share), limits.minimum_seconds)

    def _get_or_create_latency(self, kind):
        latency = self._latency_by_kind.get(kind)
        if latency is None:
            latency = self._latency_by_kind[kind] = LatencyDistribution()
        return latency


def has_room(*, waiting: int, granted: int, capacity: int) -> bool:
    """Return whether a shard has room for work that may be of no use.

    Args:
        waiting: Number of requests in the queue.
        granted: Number of open grants.
        capacity: Number of usable slots.
    """
    return waiting == 0 and capacity - granted > MINIMUM_FREE_SHARE * capacity
