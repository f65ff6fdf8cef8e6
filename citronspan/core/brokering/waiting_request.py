"""A request that waits for a slot at a broker."""

import math
from dataclasses import dataclass

from citronspan.core.brokering.broker_messages import SlotRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingRequest:
    """Request for a slot that is queued or may be queued.

    Attributes:
        request: Request for a slot.
        sender: Peer address of the entry that sent the request.
        sequence_number: Sequence number of the arrival. Of requests with equal worth
            and deadline, the earlier one goes first.
        received_at: Time at which the broker received the request, on its own clock.
        wait_limit_seconds: Time that the request waits for a target with an acceptable
            cost.
        hold_seconds: Time for which it is expected to hold a slot, 0 if unknown.
        is_late: Whether it can no longer be answered within its goal. Only requests
            with an account are judged.
    """

    request: SlotRequest
    sender: str
    sequence_number: int
    received_at: float
    wait_limit_seconds: float = 0.0
    hold_seconds: float = 0.0
    is_late: bool = False

    @property
    def deadline_at(self) -> float:
        """Deadline of the caller, on the broker's clock."""
        return self.received_at + self.request.deadline_seconds

    @property
    def on_time_until(self) -> float:
        """Latest time of a grant with which the goal can be met, infinite if none."""
        if not self.request.account or self.request.goal_seconds <= 0:
            return math.inf
        return self.received_at + self.request.goal_seconds - self.hold_seconds


def make_sort_key(waiting: WaitingRequest) -> tuple:
    """Return the sort key of a request among those of its account.

    Requests that can still meet their goal go before those that can only be late.
    """
    return (
        -waiting.request.worth,
        waiting.is_late,
        waiting.deadline_at,
        waiting.sequence_number,
    )
