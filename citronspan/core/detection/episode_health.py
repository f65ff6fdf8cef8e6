"""Detection for services whose targets often fail for some seconds at a time.

``EpisodeHealth`` can replace a ``ShardHealth``. It ejects no target, but estimates the
failure probability of each one, and the choice of a target weighs this probability
against the costs of the other targets. The broker keeps the floor: at least the floor
share of the targets gets requests at all times. The states are for operators and for
entries that have to choose without a broker.
"""

import math
import time
from collections import deque

from citronspan.core.detection import failure_episodes
from citronspan.core.detection.attempt_limit import compute_attempt_seconds
from citronspan.core.detection.failure_episodes import (
    FailureEpisodeModel,
    FailureEstimate,
    apply_likelihood_ratio,
)
from citronspan.core.detection.health import TargetInfo, TargetLimit
from citronspan.core.detection.latency_distribution import LatencyDistribution
from citronspan.core.detection.service_health_record import CHART
from citronspan.core.detection.service_health_types import (
    HealthStatus,
    StateChange,
    TargetStatus,
)
from citronspan.core.detection.silence import compute_silence_ratio
from citronspan.core.detection.verdicts import Verdict, VerdictTable
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import ServiceSpec
from citronspan.utils.statecharts import accepts_event, step_chart

SUSPECT_PROBABILITY = 0.5
CLEAR_PROBABILITY = 0.25
EPISODE_SHARE_UPDATE_SECONDS = 0.5
MAX_WITHDRAWABLE_FAILURES = 16
MAX_QUEUED_CHANGES = 256

FAILURE_SILENCE_RATIO = 6.0
"""Likelihood ratio from which an attempt without an answer counts as a failure."""

_FAILURE_CLASSES = frozenset({OutcomeClass.TARGET_ERROR, OutcomeClass.ANSWER_LOST})
_SILENCE_CLASSES = frozenset({OutcomeClass.TIMED_OUT, OutcomeClass.CANCELLED})


class _TargetRecord:
    """Evidence on one target and its state."""

    __slots__ = (
        "estimate",
        "failed_at",
        "failed_fingerprints",
        "info",
        "overdue_attempts",
        "since",
        "state",
        "used",
        "reason",
    )

    def __init__(self, *, info: TargetInfo, estimate: FailureEstimate):
        self.info = info
        self.estimate = estimate
        self.failed_at = -math.inf
        self.failed_fingerprints: deque[int] = deque(maxlen=MAX_WITHDRAWABLE_FAILURES)
        self.overdue_attempts = 0
        self.since = estimate.at
        self.state = CHART.initial
        self.used = False
        self.reason = "there is no evidence against it"

    @property
    def identity(self):
        """Address and incarnation; a change of either makes it a new target."""
        return self.info.address, self.info.incarnation


class EpisodeHealth:
    """Detection for one shard at the entry that is its broker.

    Args:
        name: Name of the shard.
        spec: Specification from the resource of the service.
        issuer: Name of the node, for the verdicts that it issues.
        incarnation: Incarnation of the process.
        received_verdicts: Verdicts that the entry received before it became broker.
    """

    def __init__(
        self,
        *,
        name: str,
        spec: ServiceSpec,
        issuer: str,
        incarnation: int,
        received_verdicts: VerdictTable,
    ):
        self._name = name
        self._spec = spec
        self._issuer = issuer
        self._incarnation = incarnation
        self._received_verdicts: VerdictTable | None = received_verdicts
        self._model = FailureEpisodeModel()
        self._latency_by_kind: dict[str, LatencyDistribution] = {}
        self._record_by_target: dict[str, _TargetRecord] = {}
        self._changes: deque[StateChange] = deque(maxlen=MAX_QUEUED_CHANGES)
        self._episode_share_updated_at = time.monotonic()
        self._sequence = 0

    def set_targets(self, targets: tuple[TargetInfo, ...]) -> None:
        """Replace the list of targets and drop the evidence on all others.

        A target with a new address or incarnation is a new target. Targets of the first
        call count as used before.

        Args:
            targets: All targets of the shard.
        """
        is_first_call = not self._record_by_target
        record_by_target = {}
        for info in targets:
            record = self._record_by_target.get(info.name)
            new_record = _TargetRecord(
                info=info, estimate=self._model.make_initial_estimate()
            )
            if record is None or record.identity != new_record.identity:
                record = new_record
                record.used = is_first_call
            record.info = info
            record_by_target[info.name] = record
            if info.leaving and accepts_event(CHART, record.state, "drain"):
                self._change_state(
                    record, "drain", "its list or resource shows it leaving"
                )
            if not info.leaving and record.state == "draining":
                self._change_state(record, "returned", "it is no longer leaving")
        self._record_by_target = record_by_target
        if self._received_verdicts is not None and targets:
            self.import_verdicts(self._received_verdicts)
            self._received_verdicts = None

    def observe(self, outcome: Outcome) -> None:
        """Add the outcome of one attempt to the evidence.

        Args:
            outcome: The outcome; it is ignored if its target is not in the list.
        """
        record = self._record_by_target.get(outcome.target)
        if record is None:
            return
        now = time.monotonic()
        record.used = True
        record.estimate = self._model.decay_to_prior(record.estimate, now)
        outcome_class = outcome.outcome_class
        if outcome_class is OutcomeClass.OK:
            self._process_success(record, outcome, now)
        elif outcome_class in _FAILURE_CLASSES:
            self._process_failure(record, outcome, now)
        elif outcome_class in _SILENCE_CLASSES:
            self._process_silence(record, outcome, now)
        elif outcome_class is OutcomeClass.CONNECT_FAILED:
            record.estimate = apply_likelihood_ratio(
                record.estimate, failure_episodes.UNREACHABLE_LIKELIHOOD_RATIO
            )
            self._update_state(record, "connecting to it failed")
        elif outcome_class is OutcomeClass.SHED:
            record.estimate = apply_likelihood_ratio(
                record.estimate, failure_episodes.SHED_LIKELIHOOD_RATIO
            )
            self._update_state(record, "it shed a request")

    def _process_success(self, record, outcome, now):
        overdue_seconds = self.find_overdue_seconds(outcome.request_kind)
        self._get_or_create_latency(outcome.request_kind).add(outcome.latency_seconds)
        if outcome.latency_seconds > overdue_seconds:
            record.overdue_attempts = max(record.overdue_attempts - 1, 0)
            return
        # A request sent before the last failure is no evidence on the time after it.
        if now - outcome.latency_seconds < record.failed_at:
            return
        estimate_at_dispatch = FailureEstimate(
            failure_probability=record.estimate.failure_probability,
            at=now - outcome.latency_seconds,
        )
        record.estimate = self._model.decay_to_prior(
            self._model.update_on_success(estimate_at_dispatch), now
        )
        self._update_state(record, "it answers requests successfully")

    def _process_failure(self, record, outcome, now):
        record.failed_at = now
        record.failed_fingerprints.append(outcome.fingerprint)
        record.estimate = self._model.update_on_failure(record.estimate)
        self._update_state(record, f"a request failed with {outcome.outcome_class}")

    def _process_silence(self, record, outcome, now):
        """Add an attempt that ended without an answer."""
        overdue_seconds = self.find_overdue_seconds(outcome.request_kind)
        if outcome.latency_seconds > overdue_seconds and record.overdue_attempts:
            record.overdue_attempts -= 1
            return
        latency = self._get_or_create_latency(outcome.request_kind)
        ratio = compute_silence_ratio(latency, outcome.latency_seconds)
        is_timeout = outcome.outcome_class is OutcomeClass.TIMED_OUT
        if is_timeout and not latency.is_known:
            ratio = failure_episodes.OVERDUE_LIKELIHOOD_RATIO
        # At a target that seems healthy, a long run is likelier than a hang. How long
        # the answer to a caller that left would have taken is unknown.
        if is_timeout and record.estimate.failure_probability < SUSPECT_PROBABILITY:
            latency.add_unanswered(outcome.latency_seconds)
        record.estimate = apply_likelihood_ratio(record.estimate, ratio)
        if ratio >= FAILURE_SILENCE_RATIO:
            record.failed_at = now
            record.failed_fingerprints.append(outcome.fingerprint)
        self._update_state(record, "a request was not answered")

    def find_attempt_seconds(
        self, target: str, kind: str, *, goal_seconds: float, deadline_seconds: float
    ) -> float:
        """Return when to give up an attempt; see ``Health``."""
        record = self._record_by_target.get(target)
        latency = self._latency_by_kind.get(kind)
        if record is None or latency is None or not latency.is_known:
            return 0.0
        return compute_attempt_seconds(
            latency,
            record.estimate.failure_probability,
            goal_seconds=goal_seconds,
            deadline_seconds=deadline_seconds,
        )

    def find_overdue_seconds(self, kind: str) -> float:
        """Return the age in seconds at which an unanswered attempt is overdue."""
        latency = self._latency_by_kind.get(kind)
        return math.inf if latency is None else latency.find_overdue_seconds()

    def record_overdue(self, target: str) -> None:
        """Add an overdue attempt to the evidence, at most once per attempt."""
        record = self._record_by_target.get(target)
        if record is None:
            return
        now = time.monotonic()
        record.overdue_attempts = min(record.overdue_attempts + 1, record.info.slots)
        record.failed_at = now
        estimate = self._model.decay_to_prior(record.estimate, now)
        record.estimate = apply_likelihood_ratio(
            estimate, failure_episodes.OVERDUE_LIKELIHOOD_RATIO
        )
        self._update_state(record, "an answer is overdue")

    def record_trial(self, target: str) -> None:
        """Do nothing, because every target stays in use without trials."""

    def withdraw(self, fingerprint: int) -> None:
        """Withdraw the evidence of failures that a crashing request caused.

        Args:
            fingerprint: Fingerprint of the request, 0 for none.
        """
        for record in self._record_by_target.values():
            if not fingerprint or fingerprint not in record.failed_fingerprints:
                continue
            record.failed_fingerprints = deque(
                (other for other in record.failed_fingerprints if other != fingerprint),
                maxlen=MAX_WITHDRAWABLE_FAILURES,
            )
            record.estimate = self._model.make_initial_estimate()
            self._update_state(
                record, "it failed because of a request that crashes targets"
            )

    def find_limits(self) -> dict[str, TargetLimit]:
        """Return the limit and failure probability of each target by its name."""
        now = time.monotonic()
        limit_by_target = {}
        for name, record in self._record_by_target.items():
            record.estimate = self._model.decay_to_prior(record.estimate, now)
            slots = 0 if record.info.leaving else record.info.slots
            limit_by_target[name] = TargetLimit(
                target=name,
                slots=slots,
                failure_probability=record.estimate.failure_probability,
                never_used=not record.used,
            )
        self._update_episode_share(now)
        return limit_by_target

    def _update_episode_share(self, now):
        if now < self._episode_share_updated_at + EPISODE_SHARE_UPDATE_SECONDS:
            return
        self._episode_share_updated_at = now
        records = [r for r in self._record_by_target.values() if not r.info.leaving]
        self._model.update_episode_share([record.estimate for record in records], now)
        for record in records:
            self._update_state(record, "there was no evidence against it for some time")

    def drain_changes(self) -> tuple[StateChange, ...]:
        """Return the state changes since the last call and clear them."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def list_kept_by_floor(self) -> frozenset[str]:
        """Return no target, because this detection ejects none."""
        return frozenset()

    def issue_verdicts(self) -> tuple[Verdict, ...]:
        """Return one verdict of this broker for each target."""
        now = time.monotonic()
        self._sequence += 1
        return tuple(
            Verdict(
                target=name,
                address=record.info.address,
                issuer=self._issuer,
                issuer_incarnation=self._incarnation,
                sequence=self._sequence,
                # An entry without a broker has no failure probabilities to weigh and
                # must leave the target out.
                state="ejected" if record.state == "suspect" else record.state,
                evidence=_compute_log_odds(record.estimate),
                age_seconds=now - record.since,
                reason=record.reason,
            )
            for name, record in self._record_by_target.items()
        )

    def import_verdicts(self, table: VerdictTable) -> None:
        """Apply the verdicts of other brokers.

        Own evidence takes precedence: only targets in the initial state are changed.

        Args:
            table: Verdicts in force.
        """
        now = time.monotonic()
        combined = table.combine(
            {name: r.info.address for name, r in self._record_by_target.items()}
        )
        for name, timed_verdict in combined.verdict_by_target.items():
            record = self._record_by_target.get(name)
            if record is None or record.state != CHART.initial:
                continue
            imported = FailureEstimate(
                failure_probability=_compute_probability(
                    timed_verdict.verdict.evidence
                ),
                at=now,
            )
            record.estimate = imported
            self._update_state(record, "the previous broker found it failing")

    def describe(self) -> HealthStatus:
        """Return the status for operators."""
        now = time.monotonic()
        limit_by_target = self.find_limits()
        statuses = tuple(
            TargetStatus(
                target=name,
                state=record.state,
                since_seconds=now - record.since,
                evidence=_compute_log_odds(record.estimate),
                threshold=_compute_log_odds(
                    FailureEstimate(failure_probability=SUSPECT_PROBABILITY, at=now)
                ),
                slots=limit_by_target[name].slots,
                kept_by_floor=False,
                reason=record.reason,
            )
            for name, record in self._record_by_target.items()
        )
        slots = sum(r.info.slots for r in self._record_by_target.values())
        in_use = sum(limit.slots for limit in limit_by_target.values())
        return HealthStatus(
            service=self._name,
            targets=statuses,
            slots=slots,
            slots_in_use=in_use,
            floor_slots=self._spec.floor * slots,
            floor_broken_by_leaving=in_use < self._spec.floor * slots,
        )

    def _get_or_create_latency(self, kind):
        latency = self._latency_by_kind.get(kind)
        if latency is None:
            latency = self._latency_by_kind[kind] = LatencyDistribution()
        return latency

    def _update_state(self, record, reason):
        failure_probability = record.estimate.failure_probability
        if failure_probability >= SUSPECT_PROBABILITY and accepts_event(
            CHART, record.state, "suspected"
        ):
            self._change_state(record, "suspected", reason)
        if failure_probability <= CLEAR_PROBABILITY and accepts_event(
            CHART, record.state, "cleared"
        ):
            self._change_state(record, "cleared", reason)
        if failure_probability <= CLEAR_PROBABILITY and accepts_event(
            CHART, record.state, "passed"
        ):
            self._change_state(record, "passed", reason)

    def _change_state(self, record, event, reason):
        before = record.state
        record.state = step_chart(CHART, before, event)
        record.since = time.monotonic()
        record.reason = reason
        self._changes.append(
            StateChange(
                target=record.info.name,
                before=before,
                after=record.state,
                reason=reason,
            )
        )


def _compute_log_odds(estimate: FailureEstimate) -> float:
    """Return the log odds of the failing state, in nats."""
    failure_probability = min(max(estimate.failure_probability, 1e-6), 1 - 1e-6)
    return math.log(failure_probability / (1 - failure_probability))


def _compute_probability(nats: float) -> float:
    """Return the probability that belongs to log odds in nats."""
    return 1 / (1 + math.exp(-min(max(nats, -14.0), 14.0)))
