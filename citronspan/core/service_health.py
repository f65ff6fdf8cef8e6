"""Detection for the targets of one service or shard: states, limits, verdicts.

The class ties together the sequential test, the floor, trials and slow start, and
steps the chart ``target``. It has no sockets and no threads; the broker that owns it
calls it from one thread.
"""

import math
import time
from collections import deque

from citronspan.core import trial
from citronspan.core.cusum import CusumDetector
from citronspan.core.cusum_counts import VERY_SLOW_FACTOR, OutcomeLabel
from citronspan.core.cusum_evidence import StrongestEvidence
from citronspan.core.health import TargetInfo, TargetLimit
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import ServiceSpec
from citronspan.core.service_health_export import make_status, make_verdicts
from citronspan.core.service_health_limits import plan_limits
from citronspan.core.service_health_record import (
    CHART,
    REMEMBERED_FAILURES,
    TargetRecord,
)
from citronspan.core.service_health_types import (
    HealthStatus,
    StateChange,
)
from citronspan.core.slot_usage import SlotUsageEstimator
from citronspan.core.verdicts import CombinedVerdicts, Verdict, VerdictTable
from citronspan.utils.statecharts import accepts_event, step_chart

IGNORED_CLASSES = (OutcomeClass.NOT_USED, OutcomeClass.SHED)


class ServiceHealth:
    """Detection for the targets of one service or shard, floor included."""

    def __init__(self, *, name: str, spec: ServiceSpec):
        now = time.monotonic()
        self._name = name
        self._spec = spec
        self._test = CusumDetector(costs=spec.costs, now=now)
        self._record_by_target: dict[str, TargetRecord] = {}
        self._due_at = -math.inf
        self._use = SlotUsageEstimator(now=now)
        self._sequence = 0
        self._changes: deque[StateChange] = deque(maxlen=256)
        self._plan = plan_limits(
            record_by_target={}, floor=0.0, slots_in_use=0.0, now=now
        )

    def set_targets(self, targets: tuple[TargetInfo, ...]) -> None:
        """Take the targets that exist now; evidence on the others is dropped.

        A target under a new address is a new target. Those of the first call are
        taken as warm, later ones go through slow start.

        Args:
            targets: The targets of the service or shard.
        """
        now = time.monotonic()
        first = not self._record_by_target
        known_by_name = {known.name: known for known in targets}
        for name, record in list(self._record_by_target.items()):
            known = known_by_name.get(name)
            if known is None or known.address != record.known.address:
                self._step(record, "removed", now, "it is no longer listed")
                del self._record_by_target[name]
        self._test.set_targets(frozenset(self._record_by_target))
        for known in targets:
            record = self._record_by_target.get(known.name)
            if record is None:
                record = TargetRecord(known=known, now=now)
                if not first:
                    record.ramp_started_at = now
                    record.cold_until = now + trial.RAMP_SECONDS
                self._record_by_target[known.name] = record
            self._take_leaving(record, known, now)
        self._test.set_targets(frozenset(self._record_by_target))
        self._due_at = -math.inf

    def _take_leaving(
        self, record: TargetRecord, known: TargetInfo, now: float
    ) -> None:
        was_leaving = record.known.leaving
        record.known = known
        if known.leaving and accepts_event(CHART, record.state, "drain"):
            self._step(record, "drain", now, "its list or resource shows it leaving")
        if was_leaving and not known.leaving and record.state == "draining":
            self._begin_trial(record, "returned", now, 0.0, "it is no longer leaving")

    def observe(self, outcome: Outcome) -> None:
        """Take one outcome as evidence.

        Args:
            outcome: The outcome of one attempt; unknown targets are passed over.
        """
        record = self._record_by_target.get(outcome.target)
        if record is None or record.state == "draining":
            return
        outcome_class = outcome.outcome_class
        if outcome_class in IGNORED_CLASSES:
            return
        now = time.monotonic()
        self._use.add(outcome.latency_seconds, now)
        if outcome_class is OutcomeClass.OK:
            self._take_answer(record, outcome, False, now)
            return
        if outcome_class is OutcomeClass.DRAINING:
            self._take_draining_sign(record, now)
            return
        if outcome_class is OutcomeClass.STARTING:
            self._take_starting_sign(record, now)
            return
        if outcome_class is OutcomeClass.CANCELLED:
            self._take_given_up(record, outcome)
            return
        if not self._is_too_short(outcome):
            self._take_answer(record, outcome, True, now)

    def _take_answer(
        self, record: TargetRecord, outcome: Outcome, failed: bool, now: float
    ) -> None:
        overdue = self._is_known_overdue(record, outcome)
        if record.state not in ("ejected", "trial"):
            self._add_to_test(record, outcome, failed, overdue, now)
            return
        # Requests that were sent before the trial began tell nothing of it.
        if overdue or now - outcome.latency_seconds < record.since:
            return
        record.starting_seconds = 0.0
        bad = failed or self._is_gray_answer(record, outcome)
        self._judge_trial(record, bad, now)

    def _is_too_short(self, outcome: Outcome) -> bool:
        """Return whether the caller gave less time than a good answer may take."""
        if outcome.outcome_class is not OutcomeClass.TIMED_OUT:
            return False
        level = self._test.latency_thresholds.get_threshold(outcome.request_kind)
        return outcome.deadline_seconds < level * VERY_SLOW_FACTOR

    def _take_given_up(self, record: TargetRecord, outcome: Outcome) -> None:
        """Count a cancelled attempt only if even a very slow answer was overdue."""
        overdue_seconds = self.find_overdue_seconds(outcome.request_kind)
        if outcome.latency_seconds <= overdue_seconds:
            return
        if self._is_known_overdue(record, outcome):
            return
        self._count_overdue(record)

    def find_overdue_seconds(self, kind: str) -> float:
        """Return the age at which an unanswered attempt is to be noted.

        Args:
            kind: Request kind.

        Returns:
            The age in seconds, infinite while nothing is known of the kind.
        """
        return self._test.compute_overdue_seconds(kind)

    def record_overdue(self, target: str) -> None:
        """Take as evidence that an attempt is still unanswered; once an attempt.

        Args:
            target: Name of the target.
        """
        record = self._record_by_target.get(target)
        if record is None or record.state == "draining":
            return
        record.overdue = min(record.overdue + 1, record.known.slots)
        self._count_overdue(record)

    def _count_overdue(self, record: TargetRecord) -> None:
        now = time.monotonic()
        if now < record.cold_until:
            return
        if record.state in ("ejected", "trial"):
            self._judge_trial(record, True, now)
            return
        evidence = self._test.add_unanswered(record.known.name, now)
        self._judge(record, evidence, now)

    def _is_known_overdue(self, record: TargetRecord, outcome: Outcome) -> bool:
        """Return whether the wait for an outcome was noted, and count it off."""
        if record.overdue == 0:
            return False
        overdue_seconds = self.find_overdue_seconds(outcome.request_kind)
        if outcome.latency_seconds <= overdue_seconds:
            return False
        record.overdue -= 1
        return True

    def _add_to_test(
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
            evidence = self._test.add_failure(outcome.target, now)
            record.failures.append(outcome.fingerprint)
        else:
            evidence = self._test.add_answer(
                outcome.target,
                outcome.request_kind,
                outcome.latency_seconds,
                now,
                overdue=overdue or now < record.cold_until,
            )
        self._judge(record, evidence, now)

    def _judge(self, record: TargetRecord, evidence: float, now: float) -> None:
        record.evidence = evidence
        suspect = self._test.suspect_threshold
        if evidence >= self._test.threshold:
            self._eject(record, now)
            return
        if record.state == "healthy" and evidence >= suspect:
            reason = self._find_strongest(record).describe()
            self._step(record, "suspected", now, reason)
            record.trial_at = now
            return
        if record.state == "suspect" and evidence < suspect / 2:
            self._step(record, "cleared", now, "the evidence against it has gone")

    def _eject(self, record: TargetRecord, now: float) -> None:
        strongest = self._find_strongest(record)
        record.label = strongest.label
        record.gray_share = strongest.share
        record.back_off_seconds = trial.compute_relapse_back_off(
            record.back_off_seconds, now - record.returned_at
        )
        self._step(record, "convicted", now, strongest.describe())
        self._wait_for_trial(record, now)

    def _find_strongest(self, record: TargetRecord) -> StrongestEvidence:
        return self._test.test_by_target[record.known.name].find_strongest()

    def _wait_for_trial(self, record: TargetRecord, now: float) -> None:
        record.trial_at = now + record.back_off_seconds
        record.trial = self._make_trial(record)

    def _make_trial(self, record: TargetRecord) -> trial.TrialTest:
        baseline_share = self._test.get_baseline_share(record.known.name, record.label)
        return trial.TrialTest(
            baseline_share=baseline_share, gray_share=record.gray_share
        )

    def _judge_trial(self, record: TargetRecord, bad: bool, now: float) -> None:
        """Add one answer to a trial, or to the use that the floor asks for."""
        kept = record.known.name in self._plan.floor.ignored
        if record.state == "ejected" and not kept:
            return
        record.trial.add(bad)
        if record.trial.passed:
            self._return(record, now)
            return
        if not record.trial.failed:
            return
        if record.state == "trial":
            record.back_off_seconds = trial.compute_failed_trial_back_off(
                record.back_off_seconds
            )
            self._step(record, "failed", now, "its trial requests were not answered")
        self._wait_for_trial(record, now)

    def _is_gray_answer(self, record: TargetRecord, outcome: Outcome) -> bool:
        if record.reported_starting:
            return False
        slow, very_slow = self._test.classify_latency(
            outcome.request_kind, outcome.latency_seconds
        )
        return very_slow if record.label != OutcomeLabel.SLOW else slow

    def _return(self, record: TargetRecord, now: float) -> None:
        self._step(record, "passed", now, "it answered its trial requests well")
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
        self._test.test_by_target[record.known.name].reset()

    def _take_draining_sign(self, record: TargetRecord, now: float) -> None:
        if not accepts_event(CHART, record.state, "drain"):
            return
        wait = max(2 * record.draining_seconds, trial.DRAINING_SECONDS)
        record.draining_seconds = min(wait, trial.MAX_DRAINING_SECONDS)
        record.reported_draining = True
        record.trial_at = now + record.draining_seconds
        self._step(record, "drain", now, "it answers that it is draining")

    def _take_starting_sign(self, record: TargetRecord, now: float) -> None:
        if not accepts_event(CHART, record.state, "starting"):
            return
        wait = max(2 * record.starting_seconds, trial.STARTING_SECONDS)
        record.starting_seconds = min(wait, trial.MAX_STARTING_SECONDS)
        record.reported_starting = True
        self._begin_trial(
            record,
            "starting",
            now,
            record.starting_seconds,
            "it answers that it starts",
        )

    def _begin_trial(
        self,
        record: TargetRecord,
        event: str,
        now: float,
        wait_seconds: float,
        reason: str,
    ) -> None:
        self._step(record, event, now, reason)
        record.trial_at = now + wait_seconds
        if record.trial is None:
            record.trial = self._make_trial(record)

    def record_trial(self, target: str) -> None:
        """Note that a trial request was sent to a target."""
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
        """Take back the evidence that came from a request that crashes targets.

        Args:
            fingerprint: Fingerprint of the request.
        """
        if fingerprint == 0:
            return
        now = time.monotonic()
        for name, record in self._record_by_target.items():
            count = record.failures.count(fingerprint)
            if count == 0 or record.state not in ("healthy", "suspect", "ejected"):
                continue
            remaining = [other for other in record.failures if other != fingerprint]
            record.failures = deque(remaining, maxlen=REMEMBERED_FAILURES)
            evidence = self._test.withdraw_failures(name, count)
            if record.state != "ejected":
                self._judge(record, evidence, now)
                continue
            if evidence < self._test.threshold:
                self._return(record, now)
                record.reason = (
                    "what it was ejected for was a request that crashes targets"
                )

    def find_limits(self) -> dict[str, TargetLimit]:
        """Return the limit of each target by its name, the floor applied.

        Returns:
            The limits; the same object until something changes, so callers must not
            change it.
        """
        now = time.monotonic()
        if now >= self._due_at:
            self._recompute(now)
        return self._plan.limit_by_target

    def _recompute(self, now: float) -> None:
        for record in self._record_by_target.values():
            self._take_timers(record, now)
        self._plan = plan_limits(
            record_by_target=self._record_by_target,
            floor=self._spec.floor,
            slots_in_use=self._use.estimate(now),
            now=now,
        )
        self._due_at = self._plan.due_at

    def _take_timers(self, record: TargetRecord, now: float) -> None:
        if record.state == "ejected" and now >= record.trial_at:
            self._begin_trial(record, "trial-due", now, 0.0, record.reason)
        told_only = record.reported_draining and not record.known.leaving
        if record.state == "draining" and told_only and now >= record.trial_at:
            reason = "it has not been seen leaving since it said so"
            self._begin_trial(record, "returned", now, 0.0, reason)

    def _step(self, record: TargetRecord, event: str, now: float, reason: str) -> None:
        before = record.state
        record.state = step_chart(CHART, before, event)
        record.reason = reason
        record.since = now
        self._due_at = -math.inf
        self._changes.append(
            StateChange(
                target=record.known.name,
                before=before,
                after=record.state,
                reason=reason,
            )
        )

    def drain_changes(self) -> tuple[StateChange, ...]:
        """Return the changes of state since the last call, for the log."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def export_verdicts(self, *, issuer: str, incarnation: int) -> tuple[Verdict, ...]:
        """Return what is held of each target, for a successor and for entries.

        Args:
            issuer: Name of the node.
            incarnation: Incarnation of the process.

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
        """Begin with what other brokers held; own evidence goes first.

        Args:
            table: Verdicts that are in force.
        """
        now = time.monotonic()
        address_by_target = {
            name: record.known.address
            for name, record in self._record_by_target.items()
        }
        combined = table.combine(address_by_target)
        for record in self._record_by_target.values():
            if record.state not in ("healthy", "suspect"):
                continue
            self._import(record, combined, now)

    def _import(
        self, record: TargetRecord, combined: CombinedVerdicts, now: float
    ) -> None:
        name = record.known.name
        if name in combined.leaving:
            record.reported_draining = True
            record.draining_seconds = trial.DRAINING_SECONDS
            record.trial_at = now + record.draining_seconds
            self._step(record, "drain", now, "the broker before saw it draining")
            return
        held = combined.held_by_target.get(name)
        if held is None or held.entered_at < record.returned_at:
            return
        record.evidence = held.verdict.evidence
        record.back_off_seconds = max(
            held.verdict.back_off_seconds, trial.FIRST_BACK_OFF_SECONDS
        )
        self._step(record, "convicted", now, "the broker before had ejected it")
        self._wait_for_trial(record, now)

    def describe(self) -> HealthStatus:
        """Return what operators see."""
        self.find_limits()
        return make_status(
            service=self._name,
            record_by_target=self._record_by_target,
            plan=self._plan,
            threshold=self._test.threshold,
            now=time.monotonic(),
        )
