"""Queue of requests that wait for a slot, by descending worth, then by deadline."""

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
from sortedcontainers import SortedKeyList

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
    """

    request: SlotRequest
    sender: str
    sequence_number: int
    received_at: float
    wait_limit_seconds: float = 0.0

    @property
    def deadline_at(self) -> float:
        """Deadline of the caller, on the broker's clock."""
        return self.received_at + self.request.deadline_seconds


def _make_sort_key(waiting: WaitingRequest):
    return (-waiting.request.worth, waiting.deadline_at, waiting.sequence_number)


class SlotQueue:
    """Waiting requests of one shard."""

    def __init__(self):
        self._sorted_requests = SortedKeyList(key=_make_sort_key)
        self._waiting_by_id: dict[int, WaitingRequest] = {}

    def __len__(self):
        """Return the number of waiting requests."""
        return len(self._waiting_by_id)

    def __contains__(self, attempt_id: int):
        """Return whether the request of an attempt is in the queue."""
        return attempt_id in self._waiting_by_id

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate in the order in which the requests are served."""
        return iter(self._sorted_requests)

    def find_queue_position(self, waiting: WaitingRequest) -> int:
        """Return the number of queued requests ahead of a request.

        Args:
            waiting: Request, which need not be in the queue itself.
        """
        return self._sorted_requests.bisect_key_left(_make_sort_key(waiting))

    def find_first(self) -> WaitingRequest | None:
        """Return the request that is served next, or None."""
        return self._sorted_requests[0] if self._sorted_requests else None

    def find_last(self) -> WaitingRequest | None:
        """Return the request that is dropped first, or None."""
        return self._sorted_requests[-1] if self._sorted_requests else None

    def list_from_position(self, position: int) -> list[WaitingRequest]:
        """Return the requests from a queue position onward, in order."""
        return list(self._sorted_requests.islice(position))

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        self._sorted_requests.add(waiting)
        self._waiting_by_id[waiting.request.attempt_id] = waiting

    def exclude_target(self, sender: str, target: str) -> None:
        """Add a target to the excluded ones of an entry's requests."""
        for waiting in self.list_from_position(0):
            request = waiting.request
            if waiting.sender != sender or target in request.excluded:
                continue
            self.remove(request.attempt_id)
            excluded = (*request.excluded, target)
            request = msgspec.structs.replace(request, excluded=excluded)
            self.add(dataclasses.replace(waiting, request=request))

    def remove(self, attempt_id: int) -> WaitingRequest | None:
        """Remove a request.

        Returns:
            The removed request, or None if it was not in the queue.
        """
        waiting = self._waiting_by_id.pop(attempt_id, None)
        if waiting is None:
            return None
        self._sorted_requests.remove(waiting)
        return waiting
