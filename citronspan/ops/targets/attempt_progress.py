"""What the attempts of one request have come to so far."""

from citronspan.core.requests.retry_budget import RetryBudgetProtocol
from citronspan.ops.slots.slot_source import Slot
from citronspan.ops.targets.fallback_answer import FallbackAnswer


class AttemptProgress:
    """Follows the attempts of one request; used by its thread only.

    Attributes:
        budget: Pays for retries.
        tried: Names of the targets that had an attempt.
        withdrawn: Names of the targets whose slot was given back unused.
        may_have_run: Whether any attempt may have run.
        has_reached_target: Whether any attempt reached its target.
        fallback: Answer of a failed attempt that is forwarded if no retry is sent.
        next_slot: Slot of the next attempt, acquired before the present one is given
            up; None without one.
    """

    def __init__(self, budget: RetryBudgetProtocol):
        """Create the progress of a request that was not sent yet."""
        self.budget = budget
        self.tried: tuple[str, ...] = ()
        self.withdrawn: tuple[str, ...] = ()
        self.may_have_run = False
        self.has_reached_target = False
        self.fallback = FallbackAnswer()
        self.next_slot: Slot | None = None

    @property
    def excluded(self) -> tuple[str, ...]:
        """Names of the targets that get no further attempt."""
        return (*self.tried, *self.withdrawn)

    def take_next_slot(self) -> Slot | None:
        """Return the slot of the next attempt, which the caller then owns."""
        slot, self.next_slot = self.next_slot, None
        return slot
