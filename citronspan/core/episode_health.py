"""Detection for services whose targets often fail for some seconds; a ``ShardHealth``.

Nothing is ejected outright: each target has a belief, choosing weighs it against what
else a request would cost elsewhere, and so the floor holds by itself, since a doubted
target is used as soon as the others are full. States are for operators, and for
entries that must choose alone.
"""

import math
import time
from collections import deque

from citronspan.core import failure_episodes
from citronspan.core.failure_episodes import (
    FailureEpisodeModel,
    FailureEstimate,
    LogNormalLatency,
    apply_likelihood_ratio,
)
from citronspan.core.health import TargetInfo, TargetLimit
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import ServiceSpec
from citronspan.core.service_health_record import CHART
from citronspan.core.service_health_types import (
    HealthStatus,
    StateChange,
    TargetStatus,
)
from citronspan.core.verdicts import Verdict, VerdictTable
from citronspan.utils.statecharts import accepts_event, step_chart

SUSPECT_PROBABILITY = 0.5
CLEAR_PROBABILITY = 0.25
LEARN_SECONDS = 0.5
REMEMBERED_FAILURES = 16
REMEMBERED_CHANGES = 256

_FAILURES = frozenset(
    {OutcomeClass.TARGET_ERROR, OutcomeClass.ANSWER_LOST, OutcomeClass.TIMED_OUT}
)


class _Record:
    """What is held of one target."""

    __slots__ = (
        "estimate",
        "failed_at",
        "failures",
        "known",
        "overdue",
        "since",
        "state",
        "used",
        "reason",
    )

    def __init__(self, *, known: TargetInfo, estimate: FailureEstimate):
        self.known = known
        self.estimate = estimate
        self.failed_at = -math.inf
        self.failures: deque[int] = deque(maxlen=REMEMBERED_FAILURES)
        self.overdue = 0
        self.since = estimate.at
        self.state = CHART.initial
        self.used = False
        self.reason = "nothing is held against it"

    @property
    def identity(self):
        """What another start of the target does not share."""
        return self.known.address, self.known.incarnation


class EpisodeHealth:
    """Detection of one shard at the entry that is its broker."""

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
        self._heard: VerdictTable | None = received_verdicts
        self._model = FailureEpisodeModel()
        self._level_by_kind: dict[str, LogNormalLatency] = {}
        self._record_by_target: dict[str, _Record] = {}
        self._changes: deque[StateChange] = deque(maxlen=REMEMBERED_CHANGES)
        self._learned_at = time.monotonic()
        self._sequence = 0

    def set_targets(self, targets: tuple[TargetInfo, ...]) -> None:
        """Take the targets that exist now; evidence on the others is dropped.

        A target under a new address or of another start is a new target. Those of the
        first call count as used before.
        """
        first = not self._record_by_target
        record_by_target = {}
        for known in targets:
            record = self._record_by_target.get(known.name)
            fresh = _Record(known=known, estimate=self._model.make_initial_estimate())
            if record is None or record.identity != fresh.identity:
                record = fresh
                record.used = first
            record.known = known
            record_by_target[known.name] = record
            if known.leaving and accepts_event(CHART, record.state, "drain"):
                self._step(record, "drain", "its list or resource shows it leaving")
            if not known.leaving and record.state == "draining":
                self._step(record, "returned", "it is no longer leaving")
        self._record_by_target = record_by_target
        if self._heard is not None and targets:
            self.import_verdicts(self._heard)
            self._heard = None

    def observe(self, outcome: Outcome) -> None:
        """Take one outcome as evidence; unknown targets are passed over."""
        record = self._record_by_target.get(outcome.target)
        if record is None:
            return
        now = time.monotonic()
        record.used = True
        record.estimate = self._model.decay_to_prior(record.estimate, now)
        outcome_class = outcome.outcome_class
        if outcome_class is OutcomeClass.OK:
            self._take_success(record, outcome, now)
        elif outcome_class in _FAILURES:
            self._take_failure(record, outcome, now)
        elif outcome_class is OutcomeClass.CONNECT_FAILED:
            record.estimate = apply_likelihood_ratio(
                record.estimate, failure_episodes.UNREACHABLE_RATIO
            )
            self._judge(record, "it cannot be connected to")
        elif outcome_class is OutcomeClass.SHED:
            record.estimate = apply_likelihood_ratio(
                record.estimate, failure_episodes.SHED_RATIO
            )
            self._judge(record, "it shed a request")

    def _take_success(self, record, outcome, now):
        overdue_seconds = self.find_overdue_seconds(outcome.request_kind)
        self._find_level(outcome.request_kind).add(outcome.latency_seconds)
        if outcome.latency_seconds > overdue_seconds:
            record.overdue = max(record.overdue - 1, 0)
            return
        # What was sent before the last failure tells nothing of the time after it.
        if now - outcome.latency_seconds < record.failed_at:
            return
        sent = FailureEstimate(
            failure_probability=record.estimate.failure_probability,
            at=now - outcome.latency_seconds,
        )
        record.estimate = self._model.decay_to_prior(
            self._model.update_on_success(sent), now
        )
        self._judge(record, "it answers well")

    def _take_failure(self, record, outcome, now):
        is_timeout = outcome.outcome_class is OutcomeClass.TIMED_OUT
        if is_timeout:
            overdue_seconds = self.find_overdue_seconds(outcome.request_kind)
            if outcome.latency_seconds > overdue_seconds and record.overdue:
                record.overdue -= 1
                return
            if outcome.deadline_seconds < overdue_seconds < math.inf:
                return
        record.failed_at = now
        record.failures.append(outcome.fingerprint)
        if is_timeout:
            record.estimate = apply_likelihood_ratio(
                record.estimate, failure_episodes.OVERDUE_RATIO
            )
        else:
            record.estimate = self._model.update_on_failure(record.estimate)
        self._judge(record, f"a request ended {outcome.outcome_class}")

    def find_overdue_seconds(self, kind: str) -> float:
        """Return the age at which an unanswered attempt is to be noted."""
        level = self._level_by_kind.get(kind)
        return math.inf if level is None else level.find_overdue_seconds()

    def record_overdue(self, target: str) -> None:
        """Take as evidence that an attempt is still unanswered; once an attempt."""
        record = self._record_by_target.get(target)
        if record is None:
            return
        now = time.monotonic()
        record.overdue = min(record.overdue + 1, record.known.slots)
        record.failed_at = now
        estimate = self._model.decay_to_prior(record.estimate, now)
        record.estimate = apply_likelihood_ratio(
            estimate, failure_episodes.OVERDUE_RATIO
        )
        self._judge(record, "an answer is overdue")

    def record_trial(self, target: str) -> None:
        """Do nothing: there are no trials, only doubted targets that are used."""

    def withdraw(self, fingerprint: int) -> None:
        """Take back the evidence that came from a request that crashes targets."""
        for record in self._record_by_target.values():
            if not fingerprint or fingerprint not in record.failures:
                continue
            record.failures = deque(
                (other for other in record.failures if other != fingerprint),
                maxlen=REMEMBERED_FAILURES,
            )
            record.estimate = self._model.make_initial_estimate()
            self._judge(record, "it failed on a request that crashes targets")

    def find_limits(self) -> dict[str, TargetLimit]:
        """Return the limit of each target by its name, with the doubt of it."""
        now = time.monotonic()
        limit_by_target = {}
        for name, record in self._record_by_target.items():
            record.estimate = self._model.decay_to_prior(record.estimate, now)
            slots = 0 if record.known.leaving else record.known.slots
            limit_by_target[name] = TargetLimit(
                target=name,
                slots=slots,
                failure_probability=record.estimate.failure_probability,
                never_used=not record.used,
            )
        self._learn(now)
        return limit_by_target

    def _learn(self, now):
        if now < self._learned_at + LEARN_SECONDS:
            return
        self._learned_at = now
        records = [r for r in self._record_by_target.values() if not r.known.leaving]
        self._model.update_episode_share([record.estimate for record in records], now)
        for record in records:
            self._judge(record, "nothing was held against it for some time")

    def drain_changes(self) -> tuple[StateChange, ...]:
        """Return the changes of state since the last call, for the log."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def list_kept_by_floor(self) -> frozenset[str]:
        """Return none: what is doubted stays in use where it is needed."""
        return frozenset()

    def issue_verdicts(self) -> tuple[Verdict, ...]:
        """Return one verdict of this broker for each target."""
        now = time.monotonic()
        self._sequence += 1
        return tuple(
            Verdict(
                target=name,
                address=record.known.address,
                issuer=self._issuer,
                issuer_incarnation=self._incarnation,
                sequence=self._sequence,
                # Who chooses alone has no beliefs to weigh and leaves it out.
                state="ejected" if record.state == "suspect" else record.state,
                evidence=_find_nats(record.estimate),
                age_seconds=now - record.since,
                reason=record.reason,
            )
            for name, record in self._record_by_target.items()
        )

    def import_verdicts(self, table: VerdictTable) -> None:
        """Begin with what other brokers held; own evidence goes first."""
        now = time.monotonic()
        combined = table.combine(
            {name: r.known.address for name, r in self._record_by_target.items()}
        )
        for name, held in combined.held_by_target.items():
            record = self._record_by_target.get(name)
            if record is None or record.state != CHART.initial:
                continue
            told = FailureEstimate(
                failure_probability=_find_belief(held.verdict.evidence), at=now
            )
            record.estimate = told
            self._judge(record, "the broker before held it as failing")

    def describe(self) -> HealthStatus:
        """Return what operators see."""
        now = time.monotonic()
        limit_by_target = self.find_limits()
        statuses = tuple(
            TargetStatus(
                target=name,
                state=record.state,
                since_seconds=now - record.since,
                evidence=_find_nats(record.estimate),
                threshold=_find_nats(
                    FailureEstimate(failure_probability=SUSPECT_PROBABILITY, at=now)
                ),
                slots=limit_by_target[name].slots,
                kept_by_floor=False,
                reason=record.reason,
            )
            for name, record in self._record_by_target.items()
        )
        slots = sum(r.known.slots for r in self._record_by_target.values())
        in_use = sum(limit.slots for limit in limit_by_target.values())
        return HealthStatus(
            service=self._name,
            targets=statuses,
            slots=slots,
            slots_in_use=in_use,
            floor_slots=self._spec.floor * slots,
            floor_broken_by_leaving=in_use < self._spec.floor * slots,
        )

    def _find_level(self, kind):
        level = self._level_by_kind.get(kind)
        if level is None:
            level = self._level_by_kind[kind] = LogNormalLatency()
        return level

    def _judge(self, record, reason):
        failure_probability = record.estimate.failure_probability
        if failure_probability >= SUSPECT_PROBABILITY and accepts_event(
            CHART, record.state, "suspected"
        ):
            self._step(record, "suspected", reason)
        if failure_probability <= CLEAR_PROBABILITY and accepts_event(
            CHART, record.state, "cleared"
        ):
            self._step(record, "cleared", reason)
        if failure_probability <= CLEAR_PROBABILITY and accepts_event(
            CHART, record.state, "passed"
        ):
            self._step(record, "passed", reason)

    def _step(self, record, event, reason):
        before = record.state
        record.state = step_chart(CHART, before, event)
        record.since = time.monotonic()
        record.reason = reason
        self._changes.append(
            StateChange(
                target=record.known.name,
                before=before,
                after=record.state,
                reason=reason,
            )
        )


def _find_nats(estimate: FailureEstimate) -> float:
    """Return the evidence for the bad state, in nats."""
    failure_probability = min(max(estimate.failure_probability, 1e-6), 1 - 1e-6)
    return math.log(failure_probability / (1 - failure_probability))


def _find_belief(nats: float) -> float:
    return 1 / (1 + math.exp(-min(max(nats, -14.0), 14.0)))
