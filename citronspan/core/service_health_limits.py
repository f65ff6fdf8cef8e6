"""Limits of all targets of a service, as a function of what is held of each."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from citronspan.core import trial
from citronspan.core.floor import FloorResult, apply_floor
from citronspan.core.health import TargetLimit
from citronspan.core.service_health_record import TargetRecord

# A suspect gets no more than a trickle while the slots in use are at most this share
# of the healthy targets' slots.
SUSPECT_TRICKLE_MAX_UTILIZATION = 0.5
# While slow start or a trickle is under way the limits are computed anew this often.
LIMIT_REFRESH_SECONDS = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitPlan:
    """Limits and what they rest on.

    Attributes:
        limit_by_target: Limit of each target by its name.
        floor: Ejections after the floor.
        due_at: When the limits change by time alone.
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
    """Compute the limits of all targets, the floor applied.

    Args:
        record_by_target: What is held of each target by its name.
        floor: Share of all slots that stays in use, 0 to 1.
        slots_in_use: Estimate of the slots in use.
        now: Present time.

    Returns:
        The limits. Slow start gives way where it would break the floor.
    """
    diverted = _find_diverted(record_by_target, slots_in_use)
    result = _apply_floor(record_by_target, diverted, floor)
    limits = []
    for name, record in record_by_target.items():
        if name in result.ignored:
            limits.append(TargetLimit(target=name, slots=record.known.slots))
            continue
        limits.append(_compute_limit(record, name in diverted, now))
    usable = sum(limit.slots for limit in limits if not limit.trial)
    if usable < result.floor_slots:
        limits = [_end_ramp(limit, record_by_target[limit.target]) for limit in limits]
    due_at = math.inf
    for record in record_by_target.values():
        due_at = min(due_at, _find_due(record, now))
    return LimitPlan(
        limit_by_target={limit.target: limit for limit in limits},
        floor=result,
        due_at=due_at,
    )


def _find_diverted(
    record_by_target: Mapping[str, TargetRecord], slots_in_use: float
) -> frozenset[str]:
    """Return the suspects that others have the spare slots to stand in for.

    A suspect then gets a trickle of idempotent requests only, which decides the test
    and harms no caller, and nothing is lost if it is healthy.
    """
    suspects = []
    spare = 0
    for name, record in record_by_target.items():
        if record.state == "suspect":
            suspects.append(name)
        if record.state == "healthy":
            spare += record.known.slots
    if slots_in_use > SUSPECT_TRICKLE_MAX_UTILIZATION * spare:
        return frozenset()
    return frozenset(suspects)


def _apply_floor(
    record_by_target: Mapping[str, TargetRecord], diverted: frozenset[str], floor: float
) -> FloorResult:
    evidence_by_target = {}
    leaving = set()
    for name, record in record_by_target.items():
        if _is_unable(record):
            leaving.add(name)
        if record.state in ("ejected", "trial") or name in diverted:
            evidence_by_target[name] = record.evidence
    return apply_floor(
        slots_by_target={
            name: record.known.slots for name, record in record_by_target.items()
        },
        evidence_by_target=evidence_by_target,
        leaving=leaving,
        floor=floor,
    )


def _is_unable(record: TargetRecord) -> bool:
    """Return whether a target said itself that it can't take work, or is leaving."""
    if record.state == "draining":
        return True
    if record.state != "trial":
        return False
    return record.starting_seconds > 0 or record.reported_draining


def _compute_limit(record: TargetRecord, diverted: bool, now: float) -> TargetLimit:
    name = record.known.name
    if record.state in ("draining", "ejected"):
        return TargetLimit(target=name, slots=0)
    if record.state == "trial" or diverted:
        if now < record.trial_at:
            return TargetLimit(target=name, slots=0, trial=True)
        # Any request may be used when no idempotent one has come for long.
        idle_since = max(record.idempotent_trial_at, record.since)
        idle = now - idle_since >= trial.IDLE_TRIAL_SECONDS
        return TargetLimit(target=name, slots=1, trial=True, allow_non_idempotent=idle)
    age = now - record.ramp_started_at
    slots = trial.compute_ramped_slots(record.known.slots, age)
    return TargetLimit(target=name, slots=slots)


def _end_ramp(limit: TargetLimit, record: TargetRecord) -> TargetLimit:
    if record.state not in ("healthy", "suspect") or limit.trial:
        return limit
    return TargetLimit(target=limit.target, slots=record.known.slots)


def _find_due(record: TargetRecord, now: float) -> float:
    """Return when the limit of a target changes by time alone."""
    if record.state in ("draining", "ejected") and record.trial_at > now:
        return record.trial_at
    if record.state == "trial" and record.trial_at > now:
        return record.trial_at
    if record.state in ("trial", "suspect"):
        return now + LIMIT_REFRESH_SECONDS
    if now - record.ramp_started_at < trial.RAMP_SECONDS:
        return now + LIMIT_REFRESH_SECONDS
    return math.inf
