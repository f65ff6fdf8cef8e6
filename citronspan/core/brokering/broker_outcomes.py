"""What a broker learns from the end of an attempt."""

from citronspan.core.brokering.broker_grants import Grant
from citronspan.core.brokering.broker_messages import SlotRelease
from citronspan.core.brokering.broker_pool import TargetPool
from citronspan.core.brokering.broker_slot_hold_times import SlotHoldTimeEstimator
from citronspan.core.brokering.hedge_policy import HedgePolicy
from citronspan.core.brokering.link_budget import LinkBudget
from citronspan.core.brokering.unserved_share import UnservedShare
from citronspan.core.detection.health import Health
from citronspan.core.outcomes import OutcomeClass

_CLASSES_WITHOUT_HOLD_TIME = {
    OutcomeClass.SHED,
    OutcomeClass.DRAINING,
    OutcomeClass.STARTING,
    OutcomeClass.CONNECT_FAILED,
    OutcomeClass.NOT_USED,
}

_CLASSES_WITHOUT_ARRIVAL = {
    OutcomeClass.CONNECT_FAILED,
    OutcomeClass.TIMED_OUT,
    OutcomeClass.CANCELLED,
    OutcomeClass.NOT_USED,
}
"""Classes of outcomes that do not show whether the target got the request."""


class OutcomeRecorder:
    """Passes outcomes on to detection and to the estimates of one broker."""

    def __init__(
        self,
        *,
        health: Health,
        pool: TargetPool,
        hold_times: SlotHoldTimeEstimator,
        link_budget: LinkBudget,
        unserved_share: UnservedShare,
        hedge_policy: HedgePolicy,
    ):
        self._health = health
        self._pool = pool
        self._hold_times = hold_times
        self._link_budget = link_budget
        self._unserved_share = unserved_share
        self._hedge_policy = hedge_policy

    def record(self, release: SlotRelease, grant: Grant | None, now: float) -> None:
        """Record the outcome of an attempt.

        Args:
            release: The release of its slot.
            grant: Its grant, None if another broker gave it.
            now: Present time.
        """
        outcome = release.outcome
        if grant is not None:
            has_arrived = outcome.outcome_class not in _CLASSES_WITHOUT_ARRIVAL
            grant.usage.record_arrival(grant.granted_at, has_arrived=has_arrived)
        if outcome.outcome_class is OutcomeClass.NOT_USED:
            return
        if outcome.rate_limit is not None:
            self._pool.observe_rate_limits({outcome.target: outcome.rate_limit})
        self._health.observe(outcome)
        self._hedge_policy.observe(outcome)
        self._count_served(outcome, grant, now)
        usage = self._pool.find_target_usage(outcome.target)
        load_age_seconds = 0.0
        if grant is not None:
            if grant.hedged_target:
                self._hedge_policy.observe_hedge(grant.hedged_target, outcome)
            held_seconds = now - grant.granted_at
            load_age_seconds = held_seconds - outcome.latency_seconds
            if outcome.outcome_class not in _CLASSES_WITHOUT_HOLD_TIME:
                self._hold_times.add(grant.request_kind, held_seconds)
            if grant.crosses_link:
                self._link_budget.reconcile_answer_bytes(
                    grant.request_kind, release.answer_bytes
                )
        if usage is not None:
            if outcome.leaving_incarnation is not None:
                usage.leaving_incarnation = outcome.leaving_incarnation
            usage.apply_outcome(outcome, load_age_seconds, now)

    def _count_served(self, outcome, grant, now):
        """Count a request as served or unserved.

        A failed attempt that may be retried counts as neither.
        """
        is_unserved = outcome.outcome_class is not OutcomeClass.OK
        if is_unserved and grant is not None and grant.is_retryable:
            return
        self._unserved_share.add(is_unserved, now)
