"""Decision whether a failed attempt is retried, and the budget for retries.

Each retry spends from a budget per service that first attempts refill, so that a
fault of the whole service cannot multiply its load. Source: Beyer et al., "Site
Reliability Engineering", chapter 21, "Handling Overload".
"""

import enum
from typing import Protocol

from citronspan.core.outcomes import RAN_BY_OUTCOME_CLASS, OutcomeClass
from citronspan.core.result_codes import Ran

BURST_RETRIES = 10
"""Initial and maximum number of retries in a budget."""


class RetryDecision(enum.StrEnum):
    """Result of a retry decision."""

    ALLOWED = "allowed"
    NOT_NEEDED = "not-needed"
    NOT_SAFE = "not-safe"
    NO_TIME = "no-time"
    NO_BUDGET = "no-budget"


class RetryBudget:
    """Retries that one entry may spend on one service."""

    def __init__(self, *, ratio: float):
        self.ratio = ratio
        self._available_retries = float(BURST_RETRIES)

    def count_first_attempt(self) -> None:
        """Refill the budget by ``ratio`` for a first attempt."""
        self._available_retries = min(
            BURST_RETRIES, self._available_retries + self.ratio
        )

    def spend(self) -> bool:
        """Spend one retry.

        Returns:
            Whether the budget contained at least one.
        """
        if self._available_retries < 1:
            return False
        self._available_retries -= 1
        return True

    def refund(self) -> None:
        """Take back a retry that was spent and will not be made."""
        self._available_retries = min(BURST_RETRIES, self._available_retries + 1)


class RetryBudgetProtocol(Protocol):
    """Interface of a retry budget."""

    def count_first_attempt(self) -> None:
        """Refill the budget for a first attempt."""

    def spend(self) -> bool:
        """Spend one retry; return whether one was available."""

    def refund(self) -> None:
        """Take back a retry that was spent and will not be made."""


class BrokerRetryBudget:
    """Placeholder at the entry for the broker's budget, which decides every retry."""

    def count_first_attempt(self) -> None:
        """Do nothing, because the broker counts first attempts."""

    def spend(self) -> bool:
        """Allow the entry to request a retry from the broker."""
        return True

    def refund(self) -> None:
        """Do nothing, because the broker takes back what it did not grant."""


def is_retry_safe(outcome_class: OutcomeClass, *, idempotent: bool) -> bool:
    """Return whether a retry keeps the guarantees of the request.

    Args:
        outcome_class: Outcome class of the last attempt.
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
    """Decide whether to retry, and spend one retry from the budget if so.

    Args:
        budget: Retry budget of the service.
        outcome_class: Outcome class of the last attempt.
        idempotent: Whether the request may run more than once.
        remaining_seconds: Time left until the caller's deadline.
        needed_seconds: Minimum duration of an attempt.

    Returns:
        ``ALLOWED``, or the reason for not retrying.
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
