"""Builds the reports on shards and targets that an entry sends to its agent."""

from citronspan.core.brokering.broker_status import BrokerStatus
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.service_health_types import HealthStatus
from citronspan.core.detection.verdicts import TimedVerdict
from citronspan.core.node_messages import ShardReport, TargetReport


def make_shard_report(
    status: BrokerStatus, health: HealthStatus, *, broker: str
) -> ShardReport:
    """Combine the status of a shard's broker and of its failure detection.

    Args:
        status: Status of the broker.
        health: Status of failure detection.
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
        counted_requests=status.counted_requests,
        retries=status.retries,
        waiting_accounts=status.waiting_accounts,
        starved_accounts=status.starved_accounts,
        displaced=status.displaced,
        placed_returns=status.placed_returns,
        spread_returns=status.spread_returns,
    )


def make_received_report(
    timed_verdict: TimedVerdict, *, service: str, target: TargetInfo, now: float
) -> TargetReport:
    """Return a report of a target from the verdict of another broker.

    Args:
        timed_verdict: Verdict of the other broker and its times.
        service: Name of the service.
        target: The target.
        now: Present monotonic time.

    Returns:
        The report.
    """
    return TargetReport(
        name=target.name,
        service=service,
        state=timed_verdict.verdict.state,
        broker=timed_verdict.verdict.issuer,
        since_seconds=now - timed_verdict.entered_at,
        reason=timed_verdict.verdict.reason,
        evidence=timed_verdict.verdict.evidence,
    )
