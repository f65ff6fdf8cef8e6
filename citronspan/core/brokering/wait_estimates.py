"""How long requests of a shard will wait for a slot, and hold it.

Where detection gives failure probabilities, only the slots that are expected to be
healthy count, since the alternative to waiting is a target that may well fail.
"""

from citronspan.core import result_codes
from citronspan.core.brokering.account_shares import AccountShares
from citronspan.core.brokering.broker_messages import SlotRequest
from citronspan.core.brokering.broker_pool import TargetPool
from citronspan.core.brokering.broker_slot_hold_times import SlotHoldTimeEstimator
from citronspan.core.brokering.placement import compute_wait_limit_seconds
from citronspan.core.brokering.return_order import ReturnLine
from citronspan.core.brokering.slot_queue import SlotQueue
from citronspan.core.brokering.waiting_request import WaitingRequest
from citronspan.core.result_codes import ResultCode

MAXIMUM_QUEUED_PER_SLOT = 4
"""Requests that may be queued per usable slot."""

MINIMUM_QUEUE_LIMIT = 8
"""Queue limit that applies however few slots are usable."""

MINIMUM_RETRY_AFTER_SECONDS = 0.15
"""Lower bound of the retry delay that a refusal asks for, before jitter."""

ROOM_CODES = frozenset({result_codes.NO_CAPACITY, result_codes.OVERLOADED})
"""Refusals for which there would be room at another time."""

RETRY_AFTER_JITTER = 0.5
"""Largest relative jitter of the retry delay, so that callers don't retry together."""


class WaitEstimates:
    """Estimates for the requests that wait for the slots of one shard.

    Attributes:
        return_line: Times at which refused callers may come back.
    """

    def __init__(
        self,
        *,
        pool: TargetPool,
        queue: SlotQueue,
        hold_times: SlotHoldTimeEstimator,
        shares: AccountShares,
    ):
        self.return_line = ReturnLine()
        self._shares = shares
        self._pool = pool
        self._queue = queue
        self._hold_times = hold_times

    def make_waiting(
        self, request: SlotRequest, sender: str, sequence_number: int, now: float
    ) -> WaitingRequest:
        """Make the waiting request of a slot request that was just received."""
        self._shares.state_weight(request.account, request.account_weight)
        return WaitingRequest(
            request=request,
            sender=sender,
            sequence_number=sequence_number,
            received_at=now,
            wait_limit_seconds=self.compute_wait_limit_seconds(request),
            hold_seconds=self._hold_times.estimate_mean(request.request_kind),
        )

    def estimate_hold_seconds(self, request: SlotRequest) -> float:
        """Estimate for how long a request will hold a slot, in seconds.

        Where detection gives failure probabilities, waiting is worthwhile even if an
        answer in time is only as likely as not, so the mean is used. Elsewhere an upper
        bound is used.
        """
        if self._pool.has_failure_probabilities:
            return self._hold_times.estimate_mean(request.request_kind)
        return self._hold_times.estimate_upper_bound(request.request_kind)

    def compute_wait_limit_seconds(self, request: SlotRequest) -> float:
        """Compute how long a request waits for a target with an acceptable cost."""
        return compute_wait_limit_seconds(request, self.estimate_hold_seconds(request))

    def find_slot_interval_seconds(self) -> float:
        """Return the expected time between two slots becoming free."""
        return self._hold_times.mean_seconds / max(
            1, self._pool.expected_healthy_capacity
        )

    def would_miss_deadline(
        self, waiting: WaitingRequest, position: int, now: float
    ) -> bool:
        """Return whether a request at a queue position would miss its deadline."""
        hold_seconds = self.estimate_hold_seconds(waiting.request)
        wait_seconds = (position + 1) * self.find_slot_interval_seconds()
        return now + wait_seconds + hold_seconds >= waiting.deadline_at

    def compute_queue_limit(self) -> int:
        """Return the number of requests that may be queued."""
        return max(MINIMUM_QUEUE_LIMIT, MAXIMUM_QUEUED_PER_SLOT * self._pool.capacity)

    def find_refusal_code(self, request: SlotRequest, position: int) -> ResultCode:
        """Return why a request at a queue position cannot be served in time."""
        first = self._queue.find_first()
        if position == 0 or first is None:
            return result_codes.DEADLINE_TOO_SHORT
        if first.request.worth > request.worth:
            return result_codes.OVERLOADED
        return result_codes.NO_CAPACITY

    def plan_return_seconds(
        self, waiting: WaitingRequest, code: ResultCode, now: float
    ) -> float:
        """Return when a refused caller may come back.

        If it was refused for lack of room, it has a place in the line of those who
        return. A request that goes on to another region has none.
        """
        request = waiting.request
        earliest_seconds = self._compute_earliest_return_seconds(request.attempt_id)
        is_final = not request.has_other_region and not request.from_region
        if code not in ROOM_CODES or not is_final or self._pool.capacity <= 0:
            return earliest_seconds
        return self.return_line.reserve_seconds(
            account=request.account,
            weight=self._shares.find_weight(request.account),
            earliest_seconds=earliest_seconds,
            slot_interval_seconds=self.find_slot_interval_seconds(),
            remaining_seconds=waiting.deadline_at - now,
            now=now,
        )

    def _compute_earliest_return_seconds(self, attempt_id):
        """Return when a single caller may come back, with jitter by attempt ID.

        By then the requests that wait now have been served.
        """
        queue_seconds = len(self._queue) * self._hold_times.mean_seconds
        queue_seconds /= max(1, self._pool.capacity)
        jitter_share = attempt_id % 1024 / 1024
        return max(MINIMUM_RETRY_AFTER_SECONDS, queue_seconds) * (
            1 + RETRY_AFTER_JITTER * jitter_share
        )
