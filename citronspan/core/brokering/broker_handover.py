"""Takes over the open grants of a shard's previous broker."""

from citronspan.core.brokering.broker_attempt_cache import AttemptCache
from citronspan.core.brokering.broker_grants import (
    LEASE_GRACE_SECONDS,
    MAXIMUM_DEADLINE_SECONDS,
    Grant,
    GrantTable,
)
from citronspan.core.brokering.broker_messages import HandoverGrant
from citronspan.core.brokering.broker_pool import TargetPool


def import_grants(
    grants: tuple[HandoverGrant, ...],
    now: float,
    *,
    pool: TargetPool,
    grant_table: GrantTable,
    attempt_cache: AttemptCache,
) -> None:
    """Count the grants of the previous broker whose lease is valid and open."""
    for handover_grant in grants:
        attempt_id = handover_grant.attempt_id
        usage = pool.find_target_usage(handover_grant.target)
        if usage is None or attempt_cache.has_ended(attempt_id):
            continue
        if grant_table.find(attempt_id) is not None:
            continue
        longest_seconds = MAXIMUM_DEADLINE_SECONDS + LEASE_GRACE_SECONDS
        remaining_seconds = handover_grant.lease_seconds - handover_grant.held_seconds
        if not 0 < remaining_seconds <= longest_seconds:
            continue
        grant = Grant(
            usage=usage,
            request_kind=handover_grant.request_kind,
            granted_at=now - handover_grant.held_seconds,
            lease_seconds=handover_grant.lease_seconds,
        )
        grant_table.add(attempt_id, grant, now)
