"""Export of detection: verdicts for brokers and entries, status for operators."""

from collections.abc import Mapping

from citronspan.core.detection.service_health_limits import LimitPlan
from citronspan.core.detection.service_health_record import TargetRecord
from citronspan.core.detection.service_health_types import HealthStatus, TargetStatus
from citronspan.core.detection.verdicts import Verdict


def make_verdicts(
    *,
    record_by_target: Mapping[str, TargetRecord],
    issuer: str,
    incarnation: int,
    sequence: int,
    now: float,
) -> tuple[Verdict, ...]:
    """Make one verdict for each target.

    Args:
        record_by_target: Record of each target by its name.
        issuer: Name of the node.
        incarnation: Incarnation of the process.
        sequence: Sequence number of these verdicts.
        now: Present time.

    Returns:
        The verdicts.
    """
    verdicts = []
    for name, record in record_by_target.items():
        verdicts.append(
            Verdict(
                target=name,
                address=record.info.address,
                issuer=issuer,
                issuer_incarnation=incarnation,
                sequence=sequence,
                state=record.state,
                evidence=record.evidence,
                age_seconds=now - record.since,
                back_off_seconds=record.back_off_seconds,
            )
        )
    return tuple(verdicts)


def make_status(
    *,
    service: str,
    record_by_target: Mapping[str, TargetRecord],
    plan: LimitPlan,
    threshold: float,
    now: float,
) -> HealthStatus:
    """Make the status of a service at one broker for operators.

    Args:
        service: Name of the service.
        record_by_target: Record of each target by its name.
        plan: Limits in force.
        threshold: Evidence that ejects a target, in nats.
        now: Present time.

    Returns:
        The status.
    """
    statuses = []
    for name, record in record_by_target.items():
        statuses.append(
            TargetStatus(
                target=name,
                state=record.state,
                since_seconds=now - record.since,
                evidence=record.evidence,
                threshold=threshold,
                slots=plan.limit_by_target[name].slots,
                kept_by_floor=name in plan.floor.kept_by_floor,
                reason=record.reason,
            )
        )
    return HealthStatus(
        service=service,
        targets=tuple(statuses),
        slots=plan.floor.slots,
        slots_in_use=plan.floor.slots_in_use,
        floor_slots=plan.floor.floor_slots,
        floor_broken_by_leaving=plan.floor.is_broken_by_leaving,
    )
