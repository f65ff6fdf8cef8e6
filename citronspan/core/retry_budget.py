"""Whether a failed attempt may be tried again.

Retries are paid from a budget per service that first attempts fill, so that a
fault of the whole service cannot multiply its load. Source of the scheme: Beyer et
al., "Site Reliability Engineering", chapter 21, "Handling Overload".
"""

import enum
from typing import Protocol

from citronspan.core.outcomes import RAN_BY_OUTCOME_CLASS, OutcomeClass
from citronspan.core.result_codes import Ran

BURST_RETRIES = 10
"""Retries that a budget holds at most, and at its start."""


class RetryDecision(enum.StrEnum):
    """Answer to the question for a retry."""

    ALLOWED = "allowed"
    NOT_NEEDED = "not-needed"
    NOT_SAFE = "not-safe"
    NO_TIME = "no-time"
    NO_BUDGET = "no-budget"


class RetryBudget:
    """The retries that one entry may spend on one service."""

    def __init__(self, *, ratio: float):
        self.ratio = ratio
        self._retries = float(BURST_RETRIES)

    def count_first_attempt(self) -> None:
        """Earn a share of a retry by a first attempt."""
        self._retries = min(BURST_RETRIES, self._retries + self.ratio)

    def spend(self) -> bool:
        """Spend one retry.

        Returns:
            Whether the budget held one.
        """
        if self._retries < 1:
            return False
        self._retries -= 1
        return True


class RetryBudgetProtocol(Protocol):
    """What pays for retries."""

    def count_first_attempt(self) -> None:
        """Earn a share of a retry by a first attempt."""

    def spend(self) -> bool:
        """Spend one retry; return whether there was one."""


class BrokerRetryBudget:
    """Leaves retries to the budget of the broker, which every retry asks."""

    def count_first_attempt(self) -> None:
        """Do nothing: the broker counts."""

    def spend(self) -> bool:
        """Allow the entry to ask."""
        return True


def is_retry_safe(outcome_class: OutcomeClass, *, idempotent: bool) -> bool:
    """Return whether running the request again breaks no promise.

    Args:
        outcome_class: What the last attempt came to.
        idempotent: Whether the request may run more than once.
    """
    return idempotent or RAN_BY_OUTCOME_CLASS[outcome_class] is Ran.NOT_RUN


def decide_retry(
    budget: RetryBudgetProtocol,
    outcome_class: OutcomeClass,
    *,
    idempotent: bool,
    remaining_seconds: float,
    needed_seconds: float,
) -> RetryDecision:
    """Decide on a retry and pay for it if it is allowed.

    Args:
        budget: Budget of the service.
        outcome_class: What the last attempt came to.
        idempotent: Whether the request may run more than once.
        remaining_seconds: Time left until the caller's deadline.
        needed_seconds: Time that an attempt takes at least.

    Returns:
        Whether to try again, or the reason why not.
    """
    if outcome_class in {OutcomeClass.OK, OutcomeClass.CANCELLED}:
        return RetryDecision.NOT_NEEDED
    if not is_retry_safe(outcome_class, idempotent=idempotent):
        return RetryDecision.NOT_SAFE
    if remaining_seconds <= needed_seconds:
        return RetryDecision.NO_TIME
    if not budget.spend():
        return RetryDecision.NO_BUDGET
    return RetryDecision.ALLOWED
