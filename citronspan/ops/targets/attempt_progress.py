"""What the attempts of one request have come to so far."""

from citronspan.core.requests.retry_budget import RetryBudgetProtocol
from citronspan.ops.slots.slot_source import Slot
from citronspan.ops.targets.attempt_line import AttemptLine
from citronspan.ops.targets.fallback_answer import FallbackAnswer


class AttemptProgress:
    """Follows the attempts of one request.

    It is used by the request's thread only, but for what that of a hedge sets: the
    target that it adds to those tried, whether the hedge runs, and whether it may have
    run. The hedge follows its own attempt with a progress of its own.

    Attributes:
        budget: Pays for retries.
        tried: Names of the targets that had an attempt.
        withdrawn: Names of the targets whose slot was given back unused.
        may_have_run: Whether any attempt may have run.
        has_reached_target: Whether any attempt reached its target.
        fallback: Answer of a failed attempt that is forwarded if no retry is sent.
        next_slot: Slot of the next attempt, acquired before the present one is given
            up; None without one.
        line: Lets the other attempt of a hedged request end this one, else None.
        is_hedge: Whether the attempt is the hedge, which has no successor.
        is_hedged: Whether a hedge runs or is asked for, which then is the successor of
            the attempt.
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
        self.line: AttemptLine | None = None
        self.is_hedge = False
        self.is_hedged = False

    @property
    def excluded(self) -> tuple[str, ...]:
        """Names of the targets that get no further attempt."""
        return (*self.tried, *self.withdrawn)

    def take_next_slot(self) -> Slot | None:
        """Return the slot of the next attempt, which the caller then owns."""
        slot, self.next_slot = self.next_slot, None
        return slot
