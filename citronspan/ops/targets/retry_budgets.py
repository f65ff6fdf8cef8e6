"""Keeps the retry budgets of the services at one entry."""

import threading

from citronspan.core.outcomes import OutcomeClass
from citronspan.core.requests.retry_budget import (
    BrokerRetryBudget,
    RetryBudget,
    RetryBudgetProtocol,
    RetryDecision,
    decide_retry,
)
from citronspan.core.resources import ServiceSpec


class RetryBudgets:
    """Retry budgets by service; safe for threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._budget_by_service: dict[str, RetryBudget] = {}

    def begin_request(self, service: str, spec: ServiceSpec) -> RetryBudgetProtocol:
        """Return the budget of a service, and count the first attempt of a request."""
        if spec.retry_window_seconds:
            return BrokerRetryBudget()
        with self._lock:
            budget = self._budget_by_service.get(service)
            if budget is None or budget.ratio != spec.retry_ratio:
                budget = RetryBudget(ratio=spec.retry_ratio)
                self._budget_by_service[service] = budget
            budget.count_first_attempt()
        return budget

    def spend(self, budget: RetryBudgetProtocol) -> bool:
        """Spend one retry; return whether one was available."""
        with self._lock:
            return budget.spend()

    def refund(self, budget: RetryBudgetProtocol) -> None:
        """Take back a retry that was spent and will not be made."""
        with self._lock:
            budget.refund()

    def decide(
        self,
        budget: RetryBudgetProtocol,
        outcome_class: OutcomeClass,
        *,
        idempotent: bool,
        remaining_seconds: float,
        needed_seconds: float,
    ) -> RetryDecision:
        """Decide whether to retry; see ``decide_retry``."""
        with self._lock:
            return decide_retry(
                budget,
                outcome_class,
                idempotent=idempotent,
                remaining_seconds=remaining_seconds,
                needed_seconds=needed_seconds,
            )
