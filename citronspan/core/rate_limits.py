"""The request rates to which targets limit the whole fleet.

A target in need states in its answers how many requests a second it takes from all
entries together. The statement holds until an answer has another one or none. An entry
passes on what its targets stated with each slot request and each release, with its age,
so that every holder of a copy keeps the newest statement.
"""

import math
import threading
import time
from collections.abc import Iterable, Set
from dataclasses import dataclass

import msgspec


class RateLimit(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a target stated about its request rate in one answer.

    Attributes:
        requests_per_second: Requests that it takes from all entries together, None if
            it states no limit.
        age_seconds: Time since the answer arrived.
    """

    requests_per_second: float | None
    age_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimitChange:
    """A change of a target's limit.

    Attributes:
        target: Name of the target.
        before: Limit before the change in requests per second, None for no limit.
        after: Limit after it.
    """

    target: str
    before: float | None
    after: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Statement:
    requests_per_second: float | None
    stated_at: float


class RateLimitTable:
    """The newest statement of each target; safe for threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._statement_by_target: dict[str, _Statement] = {}

    def observe(self, target: str, rate_limit: RateLimit) -> RateLimitChange | None:
        """Take a target's statement unless a newer one is known.

        Args:
            target: Name of the target.
            rate_limit: The statement, perhaps passed on by a peer. One with a rate
                that no target can state is ignored, a negative age counts as none.

        Returns:
            The change of the limit, or None if it stays.
        """
        rate = rate_limit.requests_per_second
        # The condition is written as a negation so that it also catches NaN.
        if rate is not None and not 0 <= rate < math.inf:
            return None
        # In this order the larger of NaN and 0 is 0.
        age_seconds = max(0.0, rate_limit.age_seconds)
        statement = _Statement(
            requests_per_second=rate, stated_at=time.monotonic() - age_seconds
        )
        with self._lock:
            known = self._statement_by_target.get(target)
            if known is not None and known.stated_at >= statement.stated_at:
                return None
            self._statement_by_target[target] = statement
        before = known.requests_per_second if known is not None else None
        if before == statement.requests_per_second:
            return None
        return RateLimitChange(
            target=target, before=before, after=statement.requests_per_second
        )

    def find(self, target: str) -> float | None:
        """Return a target's limit in requests per second, None if it has none."""
        statement = self._statement_by_target.get(target)
        return None if statement is None else statement.requests_per_second

    def export(self, targets: Iterable[str]) -> dict[str, RateLimit]:
        """Return the limits of those among some targets that have one."""
        now = time.monotonic()
        limit_by_target = {}
        with self._lock:
            if not self._statement_by_target:
                return {}
            for target in targets:
                statement = self._statement_by_target.get(target)
                if statement is None or statement.requests_per_second is None:
                    continue
                limit_by_target[target] = RateLimit(
                    requests_per_second=statement.requests_per_second,
                    age_seconds=now - statement.stated_at,
                )
        return limit_by_target

    def count_limited(self) -> int:
        """Return the number of targets with a limit."""
        with self._lock:
            return sum(
                statement.requests_per_second is not None
                for statement in self._statement_by_target.values()
            )

    def retain(self, targets: Set[str]) -> None:
        """Drop the statements of all other targets."""
        with self._lock:
            for target in self._statement_by_target.keys() - targets:
                del self._statement_by_target[target]
