"""The grants of a broker that are not released yet."""

from dataclasses import dataclass

from citronspan.core.broker_expiry import ExpiryWheel
from citronspan.core.broker_messages import HandoverGrant
from citronspan.core.broker_target_usage import TargetUsage


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """A slot that is granted and not yet free.

    Attributes:
        use: The target's use, where the slot is counted.
        request_kind: Request kind of the route.
        granted_at: When it was granted.
        lease_seconds: Time after which it is taken back.
        crosses_link: Whether the link budget was spent on it.
        is_retryable: Whether another attempt may follow if this one fails.
    """

    use: TargetUsage
    request_kind: str
    granted_at: float
    lease_seconds: float
    crosses_link: bool = False
    is_retryable: bool = False


class GrantTable:
    """Grants by attempt, counted at their targets."""

    def __init__(self):
        self._grant_by_id: dict[int, Grant] = {}
        self._reclaims = ExpiryWheel()
        self._overdue = ExpiryWheel()

    def __len__(self):
        """Return the number of grants."""
        return len(self._grant_by_id)

    def find(self, attempt_id: int) -> Grant | None:
        """Return the grant of an attempt, if it holds a slot."""
        return self._grant_by_id.get(attempt_id)

    def add(self, attempt_id: int, grant: Grant, now: float) -> None:
        """Count a grant at its target until it ends."""
        grant.use.count_grant(now)
        self._grant_by_id[attempt_id] = grant
        self._reclaims.add(attempt_id, grant.granted_at + grant.lease_seconds)

    def end(self, attempt_id: int, now: float) -> Grant | None:
        """Free the slot of an attempt.

        Returns:
            The grant that ended, or None if the attempt held none.
        """
        grant = self._grant_by_id.pop(attempt_id, None)
        if grant is None:
            return None
        self._reclaims.discard(attempt_id)
        self._overdue.discard(attempt_id)
        grant.use.count_release(now)
        return grant

    def schedule_overdue_check(self, attempt_id: int, overdue_at: float) -> None:
        """Have a grant named by ``pop_overdue`` if it still stands then."""
        self._overdue.add(attempt_id, overdue_at)

    def pop_overdue(self, now: float) -> list[Grant]:
        """Return the grants that became overdue; each once."""
        due = self._overdue.pop_due(now)
        return [self._grant_by_id[attempt_id] for attempt_id in due]

    def reclaim_due(self, now: float) -> int:
        """Free the slots whose release did not come in time.

        Returns:
            How many there were.
        """
        due = self._reclaims.pop_due(now)
        for attempt_id in due:
            grant = self._grant_by_id.pop(attempt_id)
            self._overdue.discard(attempt_id)
            grant.use.count_release(now)
        return len(due)

    def export(self, now: float) -> tuple[HandoverGrant, ...]:
        """Return all grants as they go into a handover."""
        return tuple(
            HandoverGrant(
                attempt_id=attempt_id,
                target=grant.use.known.name,
                request_kind=grant.request_kind,
                held_seconds=now - grant.granted_at,
                lease_seconds=grant.lease_seconds,
            )
            for attempt_id, grant in self._grant_by_id.items()
        )
