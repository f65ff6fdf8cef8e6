"""Requests that wait for a slot, the most worthy first, then by deadline."""

from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedKeyList

from citronspan.core.broker_messages import SlotRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingRequest:
    """A request that waits, or would.

    Attributes:
        request: What was asked.
        sender: Peer address of the entry.
        number: Number that grows with each arrival; the earlier goes first where
            all else is equal.
        asked_at: When it was asked, on the broker's clock.
        wait_limit_seconds: Time for which it waits for a target that is not doubted.
    """

    request: SlotRequest
    sender: str
    number: int
    asked_at: float
    wait_limit_seconds: float = 0.0

    @property
    def deadline_at(self) -> float:
        """Deadline of the caller."""
        return self.asked_at + self.request.deadline_seconds


def _find_place(waiting: WaitingRequest):
    return (-waiting.request.worth, waiting.deadline_at, waiting.number)


class SlotQueue:
    """The waiting requests of one shard."""

    def __init__(self):
        self._in_order = SortedKeyList(key=_find_place)
        self._waiting_by_id: dict[int, WaitingRequest] = {}

    def __len__(self):
        """Return the number of requests."""
        return len(self._waiting_by_id)

    def __contains__(self, attempt_id: int):
        """Return whether an attempt waits."""
        return attempt_id in self._waiting_by_id

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate in the order in which the requests are served."""
        return iter(self._in_order)

    def find_queue_position(self, waiting: WaitingRequest) -> int:
        """Return how many requests are before this one, queued or not."""
        return self._in_order.bisect_key_left(_find_place(waiting))

    def find_first(self) -> WaitingRequest | None:
        """Return the request that is served next."""
        return self._in_order[0] if self._in_order else None

    def find_last(self) -> WaitingRequest | None:
        """Return the request that is given up first."""
        return self._in_order[-1] if self._in_order else None

    def list_from(self, place: int) -> list[WaitingRequest]:
        """Return the requests from a place on, in order."""
        return list(self._in_order.islice(place))

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        self._in_order.add(waiting)
        self._waiting_by_id[waiting.request.attempt_id] = waiting

    def remove(self, attempt_id: int) -> WaitingRequest | None:
        """Remove a request.

        Returns:
            The request, or None if it does not wait.
        """
        waiting = self._waiting_by_id.pop(attempt_id, None)
        if waiting is None:
            return None
        self._in_order.remove(waiting)
        return waiting
