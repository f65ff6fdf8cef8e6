"""Detection for the targets of one service or shard: states, limits, verdicts.

The class combines the sequential test, the floor, trials and slow start, and keeps the
state of each target in the statechart ``target``. It has no sockets and no threads;
the broker that owns it calls it from one thread.
"""

import math
import time
from collections import deque

from citronspan.core.detection import trial
from citronspan.core.detection.cusum import CusumDetector
from citronspan.core.detection.cusum_counts import VERY_SLOW_FACTOR, OutcomeLabel
from citronspan.core.detection.cusum_evidence import StrongestEvidence
from citronspan.core.detection.health import TargetInfo, TargetLimit
from citronspan.core.detection.service_health_export import make_status, make_verdicts
from citronspan.core.detection.service_health_limits import plan_limits
from citronspan.core.detection.service_health_record import (
    CHART,
    MAX_WITHDRAWABLE_FAILURES,
    TargetRecord,
)
from citronspan.core.detection.service_health_types import (
    HealthStatus,
    StateChange,
)
from citronspan.core.detection.slot_usage import SlotUsageEstimator
from citronspan.core.detection.verdicts import CombinedVerdicts, Verdict, VerdictTable
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import ServiceSpec
from citronspan.utils.statecharts import accepts_event, step_chart

IGNORED_CLASSES = (OutcomeClass.NOT_USED, OutcomeClass.SHED)


class ServiceHealth:
    """Detection for the targets of one service or shard, including the floor.

    Args:
        name: Name of the service or shard.
        spec: Specification from the resource of the service.
    """

    def __init__(self, *, name: str, spec: ServiceSpec):
        now = time.monotonic()
        self._name = name
        self._spec = spec
        self._detector = CusumDetector(costs=spec.costs, now=now)
        self._record_by_target: dict[str, TargetRecord] = {}
        self._due_at = -math.inf
        self._slot_usage = SlotUsageEstimator(now=now)
        self._sequence = 0
        self._changes: deque[StateChange] = deque(maxlen=256)
        self._plan = plan_limits(
            record_by_target={}, floor=0.0, slots_in_use=0.0, now=now
        )

    def set_targets(self, targets: tuple[TargetInfo, ...]) -> None:
        """Replace the list of targets and drop the evidence on all others.

        A target with a new address is a new target. Targets that are added while the
        list is empty are warm; others go through slow start.

        Args:
            targets: All targets of the service or shard.
        """
        now = time.monotonic()
        was_empty = not self._record_by_target
        info_by_name = {info.name: info for info in targets}
        for name, record in list(self._record_by_target.items()):
            info = info_by_name.get(name)
            if info is None or info.address != record.info.address:
                self._change_state(record, "removed", now, "it is no longer listed")
                del self._record_by_target[name]
        self._detector.set_targets(frozenset(self._record_by_target))
        for info in targets:
            record = self._record_by_target.get(info.name)
            if record is None:
                record = TargetRecord(info=info, now=now)
                if not was_empty:
                    record.ramp_started_at = now
                    record.cold_until = now + trial.RAMP_SECONDS
                self._record_by_target[info.name] = record
            self._update_leaving(record, info, now)
        self._detector.set_targets(frozenset(self._record_by_target))
        self._due_at = -math.inf

    def _update_leaving(
        self, record: TargetRecord, info: TargetInfo, now: float
    ) -> None:
        was_leaving = record.info.leaving
        record.info = info
        if info.leaving and accepts_event(CHART, record.state, "drain"):
            self._change_state(
                record, "drain", now, "its list or resource shows it leaving"
            )
        if was_leaving and not info.leaving and record.state == "draining":
            self._begin_trial(record, "returned", now, 0.0, "it is no longer leaving")

    def observe(self, outcome: Outcome) -> None:
        """Add the outcome of one attempt to the evidence.

        Args:
            outcome: The outcome; it is ignored if its target is unknown.
        """
        record = self._record_by_target.get(outcome.target)
        if record is None or record.state == "draining":
            return
        outcome_class = outcome.outcome_class
        if outcome_class in IGNORED_CLASSES:
            return
        now = time.monotonic()
        self._slot_usage.add(outcome.latency_seconds, now)
        if outcome_class is OutcomeClass.OK:
            self._process_answer(record, outcome, False, now)
            return
        if outcome_class is OutcomeClass.DRAINING:
            self._process_draining_answer(record, now)
            return
        if outcome_class is OutcomeClass.STARTING:
            self._process_starting_answer(record, now)
            return
        if outcome_class is OutcomeClass.CANCELLED:
            self._process_cancellation(record, outcome)
            return
        if not self._has_short_deadline(outcome):
            self._process_answer(record, outcome, True, now)

    def _process_answer(
        self, record: TargetRecord, outcome: Outcome, failed: bool, now: float
    ) -> None:
        overdue = self._consume_overdue(record, outcome)
        if record.state not in ("ejected", "trial"):
            self._add_to_detector(record, outcome, failed, overdue, now)
            return
        # A request that was sent before the trial began is not part of the trial.
        if overdue or now - outcome.latency_seconds < record.since:
            return
        record.starting_seconds = 0.0
        bad = failed or self._is_gray_answer(record, outcome)
        self._add_trial_answer(record, bad, now)

    def _has_short_deadline(self, outcome: Outcome) -> bool:
        """Return whether a timeout was shorter than a good answer may take."""
        if outcome.outcome_class is not OutcomeClass.TIMED_OUT:
            return False
        slow_seconds = self._detector.latency_thresholds.get_threshold(
            outcome.request_kind
        )
        return outcome.deadline_seconds < slow_seconds * VERY_SLOW_FACTOR

    def _process_cancellation(self, record: TargetRecord, outcome: Outcome) -> None:
        """Add a cancelled attempt only if even a very slow answer was overdue."""
        overdue_seconds = self.find_overdue_seconds(outcome.request_kind)
        if outcome.latency_seconds <= overdue_seconds:
            return
        if self._consume_overdue(record, outcome):
            return
        self._add_overdue_evidence(record)

    def find_overdue_seconds(self, kind: str) -> float:
        """Return the age in seconds at which an unanswered attempt is overdue.

        Args:
            kind: Request kind.

        Returns:
            The age in seconds, infinite until the kind has had an answer.
        """
        return self._detector.compute_overdue_seconds(kind)

    def find_attempt_seconds(
        self, target: str, kind: str, *, goal_seconds: float, deadline_seconds: float
    ) -> float:
        """Return 0, since the entry decides when to give up; see ``Health``."""
        return 0.0

    def record_overdue(self, target: str) -> None:
        """Add an overdue attempt to the evidence.

        The caller must not report an attempt more than once.

        Args:
            target: Name of the target.
        """
        record = self._record_by_target.get(target)
        if record is None or record.state == "draining":
            return
        record.overdue_attempts = min(record.overdue_attempts + 1, record.info.slots)
        self._add_overdue_evidence(record)

    def _add_overdue_evidence(self, record: TargetRecord) -> None:
        now = time.monotonic()
        if now < record.cold_until:
            return
        if record.state in ("ejected", "trial"):
            self._add_trial_answer(record, True, now)
            return
        evidence = self._detector.add_unanswered(record.info.name, now)
        self._apply_evidence(record, evidence, now)

    def _consume_overdue(self, record: TargetRecord, outcome: Outcome) -> bool:
        """Return whether the attempt was already added as overdue.

        If so, subtract it from the overdue attempts of the target.
        """
        if record.overdue_attempts == 0:
            return False
        overdue_seconds = self.find_overdue_seconds(outcome.request_kind)
        if outcome.latency_seconds <= overdue_seconds:
            return False
        record.overdue_attempts -= 1
        return True

    def _add_to_detector(
        self,
        record: TargetRecord,
        outcome: Outcome,
        failed: bool,
        overdue: bool,
        now: float,
    ) -> None:
        if now - outcome.latency_seconds < record.returned_at:
            return
        if failed:
            evidence = self._detector.add_failure(outcome.target, now)
            record.failures.append(outcome.fingerprint)
        else:
            evidence = self._detector.add_answer(
                outcome.target,
                outcome.request_kind,
                outcome.latency_seconds,
                now,
                ignore_latency=overdue or now < record.cold_until,
            )
        self._apply_evidence(record, evidence, now)

    def _apply_evidence(
        self, record: TargetRecord, evidence: float, now: float
    ) -> None:
        record.evidence = evidence
        suspect_threshold = self._detector.suspect_threshold
        if evidence >= self._detector.threshold:
            self._eject(record, now)
            return
        if record.state == "healthy" and evidence >= suspect_threshold:
            reason = self._find_strongest(record).describe()
            self._change_state(record, "suspected", now, reason)
            record.trial_at = now
            return
        if record.state == "suspect" and evidence < suspect_threshold / 2:
            self._change_state(
                record, "cleared", now, "the evidence against it has decreased"
            )

    def _eject(self, record: TargetRecord, now: float) -> None:
        strongest = self._find_strongest(record)
        record.label = strongest.label
        record.gray_share = strongest.share
        record.back_off_seconds = trial.compute_relapse_back_off(
            record.back_off_seconds, now - record.returned_at
        )
        self._change_state(record, "convicted", now, strongest.describe())
        self._schedule_trial(record, now)

    def _find_strongest(self, record: TargetRecord) -> StrongestEvidence:
        return self._detector.charts_by_target[record.info.name].find_strongest()

    def _schedule_trial(self, record: TargetRecord, now: float) -> None:
        record.trial_at = now + record.back_off_seconds
        record.trial = self._make_trial(record)

    def _make_trial(self, record: TargetRecord) -> trial.TrialTest:
        baseline_share = self._detector.get_baseline_share(
            record.info.name, record.label
        )
        return trial.TrialTest(
            baseline_share=baseline_share, gray_share=record.gray_share
        )

    def _add_trial_answer(self, record: TargetRecord, bad: bool, now: float) -> None:
        """Add one answer to the trial of a target.

        Answers of an ejected target count only while the floor keeps it in use.
        """
        kept_by_floor = record.info.name in self._plan.floor.kept_by_floor
        if record.state == "ejected" and not kept_by_floor:
            return
        record.trial.add(bad)
        if record.trial.passed:
            self._reinstate(record, now)
            return
        if not record.trial.failed:
            return
        if record.state == "trial":
            record.back_off_seconds = trial.compute_failed_trial_back_off(
                record.back_off_seconds
            )
            self._change_state(
                record,
                "failed",
                now,
                "too many of its trial requests failed or were slow",
            )
        self._schedule_trial(record, now)

    def _is_gray_answer(self, record: TargetRecord, outcome: Outcome) -> bool:
        if record.reported_starting:
            return False
        slow, very_slow = self._detector.classify_latency(
            outcome.request_kind, outcome.latency_seconds
        )
        return very_slow if record.label != OutcomeLabel.SLOW else slow

    def _reinstate(self, record: TargetRecord, now: float) -> None:
        self._change_state(record, "passed", now, "it answered its trial requests well")
        record.evidence = 0.0
        record.returned_at = now
        record.ramp_started_at = now
        if record.reported_starting:
            record.cold_until = now + trial.RAMP_SECONDS
        record.starting_seconds = 0.0
        record.reported_starting = False
        record.reported_draining = False
        record.trial = None
        record.failures.clear()
        self._detector.charts_by_target[record.info.name].reset()

    def _process_draining_answer(self, record: TargetRecord, now: float) -> None:
        if not accepts_event(CHART, record.state, "drain"):
            return
        wait_seconds = max(2 * record.draining_seconds, trial.DRAINING_RETRY_SECONDS)
        record.draining_seconds = min(wait_seconds, trial.MAX_DRAINING_RETRY_SECONDS)
        record.reported_draining = True
        record.trial_at = now + record.draining_seconds
        self._change_state(record, "drain", now, "it reported that it is draining")

    def _process_starting_answer(self, record: TargetRecord, now: float) -> None:
        if not accepts_event(CHART, record.state, "starting"):
            return
        wait_seconds = max(2 * record.starting_seconds, trial.STARTING_RETRY_SECONDS)
        record.starting_seconds = min(wait_seconds, trial.MAX_STARTING_RETRY_SECONDS)
        record.reported_starting = True
        self._begin_trial(
            record,
            "starting",
            now,
            record.starting_seconds,
            "it reported that it is starting",
        )

    def _begin_trial(
        self,
        record: TargetRecord,
        event: str,
        now: float,
        wait_seconds: float,
        reason: str,
    ) -> None:
        self._change_state(record, event, now, reason)
        record.trial_at = now + wait_seconds
        if record.trial is None:
            record.trial = self._make_trial(record)

    def record_trial(self, target: str) -> None:
        """Record that a trial request was sent to a target.

        Args:
            target: Name of the target.
        """
        record = self._record_by_target.get(target)
        if record is None or record.state not in ("trial", "suspect"):
            return
        spacing = trial.TRIAL_SPACING_SECONDS
        if record.state == "suspect":
            spacing = trial.SUSPECT_SPACING_SECONDS
        now = time.monotonic()
        record.trial_at = now + spacing
        limit = self._plan.limit_by_target.get(target)
        if limit is not None and not limit.allow_non_idempotent:
            record.idempotent_trial_at = now
        self._due_at = -math.inf

    def withdraw(self, fingerprint: int) -> None:
        """Remove the evidence from a request that crashes targets.

        Args:
            fingerprint: Fingerprint of the request; 0 is ignored.
        """
        if fingerprint == 0:
            return
        now = time.monotonic()
        for name, record in self._record_by_target.items():
            count = record.failures.count(fingerprint)
            if count == 0 or record.state not in ("healthy", "suspect", "ejected"):
                continue
            remaining = [other for other in record.failures if other != fingerprint]
            record.failures = deque(remaining, maxlen=MAX_WITHDRAWABLE_FAILURES)
            evidence = self._detector.withdraw_failures(name, count)
            if record.state != "ejected":
                self._apply_evidence(record, evidence, now)
                continue
            if evidence < self._detector.threshold:
                self._reinstate(record, now)
                record.reason = (
                    "it was ejected because of a request that crashes targets"
                )

    def find_limits(self) -> dict[str, TargetLimit]:
        """Return the limit of each target by its name, with the floor applied.

        Returns:
            The limits. The same object is returned until something changes, so callers
            must not modify it.
        """
        now = time.monotonic()
        if now >= self._due_at:
            self._recompute(now)
        return self._plan.limit_by_target

    def _recompute(self, now: float) -> None:
        for record in self._record_by_target.values():
            self._process_timers(record, now)
        self._plan = plan_limits(
            record_by_target=self._record_by_target,
            floor=self._spec.floor,
            slots_in_use=self._slot_usage.estimate(now),
            now=now,
        )
        self._due_at = self._plan.due_at

    def _process_timers(self, record: TargetRecord, now: float) -> None:
        if record.state == "ejected" and now >= record.trial_at:
            self._begin_trial(record, "trial-due", now, 0.0, record.reason)
        only_reported = record.reported_draining and not record.info.leaving
        if record.state == "draining" and only_reported and now >= record.trial_at:
            reason = "no other source shows it leaving since it reported draining"
            self._begin_trial(record, "returned", now, 0.0, reason)

    def _change_state(
        self, record: TargetRecord, event: str, now: float, reason: str
    ) -> None:
        before = record.state
        record.state = step_chart(CHART, before, event)
        record.reason = reason
        record.since = now
        self._due_at = -math.inf
        self._changes.append(
            StateChange(
                target=record.info.name,
                before=before,
                after=record.state,
                reason=reason,
            )
        )

    def drain_changes(self) -> tuple[StateChange, ...]:
        """Return the state changes since the last call, for the log."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def export_verdicts(self, *, issuer: str, incarnation: int) -> tuple[Verdict, ...]:
        """Return a verdict on each target, for a successor and for entries.

        Args:
            issuer: Name of the issuing node.
            incarnation: Incarnation of the issuing process.

        Returns:
            One verdict for each target.
        """
        self.find_limits()
        self._sequence += 1
        return make_verdicts(
            record_by_target=self._record_by_target,
            issuer=issuer,
            incarnation=incarnation,
            sequence=self._sequence,
            now=time.monotonic(),
        )

    def import_verdicts(self, table: VerdictTable) -> None:
        """Apply the verdicts of other brokers.

        Own evidence takes precedence: only healthy and suspect targets are changed, and
        an ejection from before a target last returned from a trial is ignored.

        Args:
            table: Verdicts in force.
        """
        now = time.monotonic()
        address_by_target = {
            name: record.info.address for name, record in self._record_by_target.items()
        }
        combined = table.combine(address_by_target)
        for record in self._record_by_target.values():
            if record.state not in ("healthy", "suspect"):
                continue
            self._import_verdict(record, combined, now)

    def _import_verdict(
        self, record: TargetRecord, combined: CombinedVerdicts, now: float
    ) -> None:
        name = record.info.name
        if name in combined.leaving:
            record.reported_draining = True
            record.draining_seconds = trial.DRAINING_RETRY_SECONDS
            record.trial_at = now + record.draining_seconds
            self._change_state(
                record, "drain", now, "the previous broker saw it draining"
            )
            return
        timed_verdict = combined.verdict_by_target.get(name)
        if timed_verdict is None or timed_verdict.entered_at < record.returned_at:
            return
        record.evidence = timed_verdict.verdict.evidence
        record.back_off_seconds = max(
            timed_verdict.verdict.back_off_seconds, trial.INITIAL_BACK_OFF_SECONDS
        )
        self._change_state(
            record, "convicted", now, "the previous broker had ejected it"
        )
        self._schedule_trial(record, now)

    def describe(self) -> HealthStatus:
        """Return the status for operators."""
        self.find_limits()
        return make_status(
            service=self._name,
            record_by_target=self._record_by_target,
            plan=self._plan,
            threshold=self._detector.threshold,
            now=time.monotonic(),
        )
