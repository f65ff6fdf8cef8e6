"""What an entry tells its agent of the shards that it is the broker of."""

from citronspan.core.broker_status import BrokerStatus
from citronspan.core.health import TargetInfo
from citronspan.core.node_messages import ShardReport, TargetReport
from citronspan.core.service_health_types import HealthStatus
from citronspan.core.verdicts import TimedVerdict


def make_shard_report(
    status: BrokerStatus, health: HealthStatus, *, broker: str
) -> ShardReport:
    """Join what the broker and its detection know of a shard.

    Args:
        status: What the broker is doing.
        health: What detection knows.
        broker: Name of this node.

    Returns:
        The report.
    """
    targets = tuple(
        TargetReport(
            name=target.target,
            service=status.key.service,
            state=target.state,
            broker=broker,
            since_seconds=target.since_seconds,
            reason=target.reason,
            evidence=target.evidence,
            threshold=target.threshold,
            usable_slots=target.slots,
            used_slots=status.granted_by_target.get(target.target, 0),
            kept_by_floor=target.kept_by_floor,
        )
        for target in health.targets
    )
    return ShardReport(
        name=status.key.format(),
        capacity=status.capacity,
        waiting=status.waiting,
        grants=status.grants,
        refusals=sum(status.refusals_by_code.values()),
        floor_slots=health.floor_slots,
        floor_broken_by_leaving=health.floor_broken_by_leaving,
        targets=targets,
    )


def make_received_report(
    held: TimedVerdict, *, service: str, known: TargetInfo, now: float
) -> TargetReport:
    """Return what another broker holds of a target.

    Args:
        held: Its verdict.
        service: Name of the service.
        known: The target.
        now: Time of ``time.monotonic()``.
    """
    return TargetReport(
        name=known.name,
        service=service,
        state=held.verdict.state,
        broker=held.verdict.issuer,
        since_seconds=now - held.entered_at,
        reason=held.verdict.reason,
        evidence=held.verdict.evidence,
    )
