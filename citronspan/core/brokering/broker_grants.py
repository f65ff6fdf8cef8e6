"""The open grants of a broker: granted, and neither released nor expired."""

from dataclasses import dataclass

from citronspan.core.brokering.broker_expiry import ExpiryWheel
from citronspan.core.brokering.broker_messages import HandoverGrant
from citronspan.core.brokering.broker_target_usage import TargetUsage

MAXIMUM_DEADLINE_SECONDS = 3600.0
"""Longest deadline that a route resource may set."""

LEASE_GRACE_SECONDS = 0.5
"""Time from a request's deadline to the end of its lease."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """A granted slot that is not free yet.

    Attributes:
        usage: Usage of the target, which counts the slot.
        request_kind: Request kind of the route.
        granted_at: Time of the grant on the broker's clock, in seconds.
        lease_seconds: Time from the grant to the end of the lease.
        crosses_link: Whether the grant was charged to the link budget.
        is_retryable: Whether the request may be retried if this attempt fails.
        retry_bucket: Number of the bucket of the retry window that counts the grant,
            None if it isn't counted here.
        hedged_target: Name of the target of the first attempt, if this is its hedge.
        account: Name of the client account, or empty.
        expected_seconds: Time for which the account was charged.
    """

    usage: TargetUsage
    request_kind: str
    granted_at: float
    lease_seconds: float
    crosses_link: bool = False
    is_retryable: bool = False
    retry_bucket: int | None = None
    hedged_target: str = ""
    account: str = ""
    expected_seconds: float = 0.0


class GrantTable:
    """Open grants by attempt ID, each counted in its target's usage."""

    def __init__(self):
        self._grant_by_id: dict[int, Grant] = {}
        self._lease_expiries = ExpiryWheel()
        self._overdue_checks = ExpiryWheel()

    def __len__(self):
        """Return the number of grants."""
        return len(self._grant_by_id)

    def find(self, attempt_id: int) -> Grant | None:
        """Return the open grant of an attempt, or None."""
        return self._grant_by_id.get(attempt_id)

    def add(self, attempt_id: int, grant: Grant, now: float) -> None:
        """Add a grant and count it in its target's usage until it ends."""
        grant.usage.count_grant(now)
        self._grant_by_id[attempt_id] = grant
        self._lease_expiries.add(attempt_id, grant.granted_at + grant.lease_seconds)

    def import_grant(
        self,
        handover_grant: HandoverGrant,
        usage: TargetUsage | None,
        now: float,
    ) -> None:
        """Count a grant of the previous broker, if its lease is valid and open.

        Args:
            handover_grant: The grant.
            usage: Usage of its target, None if the target is not in the shard.
            now: Present time.
        """
        attempt_id = handover_grant.attempt_id
        if usage is None or attempt_id in self._grant_by_id:
            return
        longest_seconds = MAXIMUM_DEADLINE_SECONDS + LEASE_GRACE_SECONDS
        remaining_seconds = handover_grant.lease_seconds - handover_grant.held_seconds
        if not 0 < remaining_seconds <= longest_seconds:
            return
        grant = Grant(
            usage=usage,
            request_kind=handover_grant.request_kind,
            granted_at=now - handover_grant.held_seconds,
            lease_seconds=handover_grant.lease_seconds,
        )
        self.add(attempt_id, grant, now)

    def end(self, attempt_id: int, now: float) -> Grant | None:
        """Free the slot of an attempt.

        Returns:
            The grant that ended, or None if the attempt had no open grant.
        """
        grant = self._grant_by_id.pop(attempt_id, None)
        if grant is None:
            return None
        self._lease_expiries.discard(attempt_id)
        self._overdue_checks.discard(attempt_id)
        grant.usage.count_release(now)
        return grant

    def schedule_overdue_check(self, attempt_id: int, overdue_at: float) -> None:
        """Schedule a grant for ``pop_overdue`` if it is still open at that time."""
        self._overdue_checks.add(attempt_id, overdue_at)

    def pop_overdue(self, now: float) -> list[Grant]:
        """Return the grants that became overdue since the last call."""
        attempt_ids = self._overdue_checks.pop_expired(now)
        return [self._grant_by_id[attempt_id] for attempt_id in attempt_ids]

    def reclaim_expired(self, now: float) -> int:
        """Free the slots whose lease has expired without a release.

        Returns:
            Number of slots freed.
        """
        expired = self._lease_expiries.pop_expired(now)
        for attempt_id in expired:
            grant = self._grant_by_id.pop(attempt_id)
            self._overdue_checks.discard(attempt_id)
            grant.usage.count_release(now)
        return len(expired)

    def export(self, now: float) -> tuple[HandoverGrant, ...]:
        """Return all open grants in the form used in a handover."""
        return tuple(
            HandoverGrant(
                attempt_id=attempt_id,
                target=grant.usage.target_info.name,
                request_kind=grant.request_kind,
                held_seconds=now - grant.granted_at,
                lease_seconds=grant.lease_seconds,
            )
            for attempt_id, grant in self._grant_by_id.items()
        )
