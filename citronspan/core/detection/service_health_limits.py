"""Limits of all targets of a service, computed from their records."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from citronspan.core.detection import trial
from citronspan.core.detection.floor import FloorResult, apply_floor
from citronspan.core.detection.health import TargetLimit
from citronspan.core.detection.service_health_record import TargetRecord

# While the slots in use are at most this share of the slots of the healthy targets, a
# suspect gets trial requests only.
SUSPECT_TRICKLE_MAX_UTILIZATION = 0.5
# Interval at which the limits are computed during slow start, trials and suspicion.
LIMIT_REFRESH_SECONDS = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitPlan:
    """Limits of all targets, with the result of the floor.

    Attributes:
        limit_by_target: Limit of each target by its name.
        floor: Ejections in force, ejections that the floor ignores, and capacity.
        due_at: When the limits next change without a new outcome.
    """

    limit_by_target: dict[str, TargetLimit]
    floor: FloorResult
    due_at: float


def plan_limits(
    *,
    record_by_target: Mapping[str, TargetRecord],
    floor: float,
    slots_in_use: float,
    now: float,
) -> LimitPlan:
    """Compute the limits of all targets with the floor applied.

    Args:
        record_by_target: Record of each target by its name.
        floor: Share of all slots that must stay in use, 0 to 1.
        slots_in_use: Estimated number of slots in use.
        now: Present time.

    Returns:
        The limits. Slow start ends early if it would break the floor.
    """
    replaceable_suspects = _find_replaceable_suspects(record_by_target, slots_in_use)
    result = _apply_floor(record_by_target, replaceable_suspects, floor)
    limits = []
    for name, record in record_by_target.items():
        if name in result.kept_by_floor:
            limits.append(TargetLimit(target=name, slots=record.info.slots))
            continue
        limits.append(_compute_limit(record, name in replaceable_suspects, now))
    usable = sum(limit.slots for limit in limits if not limit.trial)
    if usable < result.floor_slots:
        limits = [_end_ramp(limit, record_by_target[limit.target]) for limit in limits]
    due_at = math.inf
    for record in record_by_target.values():
        due_at = min(due_at, _compute_due_at(record, now))
    return LimitPlan(
        limit_by_target={limit.target: limit for limit in limits},
        floor=result,
        due_at=due_at,
    )


def _find_replaceable_suspects(
    record_by_target: Mapping[str, TargetRecord], slots_in_use: float
) -> frozenset[str]:
    """Return the suspects that healthy targets have enough spare slots to replace.

    Such a suspect gets occasional idempotent requests only. They decide the test
    without harm to callers, and no capacity is missing if the suspect is healthy.
    """
    suspects = []
    spare = 0
    for name, record in record_by_target.items():
        if record.state == "suspect":
            suspects.append(name)
        if record.state == "healthy":
            spare += record.info.slots
    if slots_in_use > SUSPECT_TRICKLE_MAX_UTILIZATION * spare:
        return frozenset()
    return frozenset(suspects)


def _apply_floor(
    record_by_target: Mapping[str, TargetRecord],
    replaceable_suspects: frozenset[str],
    floor: float,
) -> FloorResult:
    evidence_by_target = {}
    leaving = set()
    for name, record in record_by_target.items():
        if _is_unavailable(record):
            leaving.add(name)
        if record.state in ("ejected", "trial") or name in replaceable_suspects:
            evidence_by_target[name] = record.evidence
    return apply_floor(
        slots_by_target={
            name: record.info.slots for name, record in record_by_target.items()
        },
        evidence_by_target=evidence_by_target,
        leaving=leaving,
        floor=floor,
    )


def _is_unavailable(record: TargetRecord) -> bool:
    """Return whether a target is draining or reported that it cannot take requests."""
    if record.state == "draining":
        return True
    if record.state != "trial":
        return False
    return record.starting_seconds > 0 or record.reported_draining


def _compute_limit(record: TargetRecord, replaceable: bool, now: float) -> TargetLimit:
    name = record.info.name
    if record.state in ("draining", "ejected"):
        return TargetLimit(target=name, slots=0)
    if record.state == "trial" or replaceable:
        if now < record.trial_at:
            return TargetLimit(target=name, slots=0, trial=True)
        # Any request may be used if no idempotent one was available for long.
        idle_since = max(record.idempotent_trial_at, record.since)
        idle = now - idle_since >= trial.IDLE_TRIAL_SECONDS
        return TargetLimit(target=name, slots=1, trial=True, allow_non_idempotent=idle)
    age = now - record.ramp_started_at
    slots = trial.compute_ramped_slots(record.info.slots, age)
    return TargetLimit(target=name, slots=slots)


def _end_ramp(limit: TargetLimit, record: TargetRecord) -> TargetLimit:
    """Return the limit of a target without slow start."""
    if record.state not in ("healthy", "suspect") or limit.trial:
        return limit
    return TargetLimit(target=limit.target, slots=record.info.slots)


def _compute_due_at(record: TargetRecord, now: float) -> float:
    """Return when the limit of a target next changes without a new outcome."""
    if record.state in ("draining", "ejected") and record.trial_at > now:
        return record.trial_at
    if record.state == "trial" and record.trial_at > now:
        return record.trial_at
    if record.state in ("trial", "suspect"):
        return now + LIMIT_REFRESH_SECONDS
    if now - record.ramp_started_at < trial.RAMP_SECONDS:
        return now + LIMIT_REFRESH_SECONDS
    return math.inf
