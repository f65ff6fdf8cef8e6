"""Order in which the waiting requests of several client accounts are served.

Load pattern: more requests wait for the slots of a shard than can be served, and most
of them are those of one account. By deadline alone that account would get nearly all
slots. Here requests of more worth still go first; within equal worth the next slot goes
to the account that had the least slot time for its weight, as if each slot that is
given out were charged at once (start-time fair queueing). An account alone gets all.

Low worth waits behind all higher worth, without a bound in time, but not without one in
number: of an account that is starved (``AccountShares.is_starved``), the next request
goes before all others, whatever its worth.

The order of n requests of a accounts takes O(n log a); its first k O(a + k log a).
"""

import heapq
from collections.abc import Iterator, Sequence

from citronspan.core.brokering.account_shares import AccountShares
from citronspan.core.brokering.waiting_request import WaitingRequest

LEAST_COST_SECONDS = 0.001
"""Least slot time that a request is charged, so that each one counts."""


def compute_cost_seconds(hold_seconds: float) -> float:
    """Return the slot time that a request is charged for, in seconds.

    Args:
        hold_seconds: Expected hold time, 0 if it is not known yet.
    """
    return max(hold_seconds, LEAST_COST_SECONDS) if hold_seconds else 1.0


def order_fairly(
    requests_by_account: dict[str, Sequence[WaitingRequest]], shares: AccountShares
) -> Iterator[WaitingRequest]:
    """Iterate over waiting requests in the order in which they are served.

    Args:
        requests_by_account: Requests of each account in the account's own order, which
            is by descending worth first.
        shares: What the accounts had so far.
    """
    heap = []
    starved = []
    for number, (name, requests) in enumerate(requests_by_account.items()):
        turns = _Turns(
            number=number,
            # A copy, since requests leave the queue during the iteration.
            requests=iter(list(requests)),
            usage_seconds=shares.find_usage_seconds(name),
            weight=shares.find_weight(name),
        )
        if shares.is_starved(name):
            starved.append((shares.find_served_share(name), number, turns))
            continue
        heap.append(turns.make_place())
    for _, _, turns in sorted(starved):
        yield turns.take_next()
        if turns.next is not None:
            heap.append(turns.make_place())
    heapq.heapify(heap)
    while heap:
        turns = heap[0][-1]
        yield turns.take_next()
        if turns.next is not None:
            heapq.heapreplace(heap, turns.make_place())
        else:
            heapq.heappop(heap)


class _Turns:
    """Requests of one account that are not in the order yet.

    Attributes:
        next: The first of them, None if all are in the order.
    """

    __slots__ = ("_number", "_requests", "_usage_seconds", "_weight", "next")

    def __init__(self, *, number, requests, usage_seconds, weight):
        self._number = number
        self._requests = requests
        self._usage_seconds = usage_seconds
        self._weight = weight
        self.next = next(requests, None)

    def take_next(self) -> WaitingRequest:
        """Return the account's next request and charge the account for it."""
        waiting = self.next
        cost_seconds = compute_cost_seconds(waiting.hold_seconds)
        self._usage_seconds += cost_seconds / self._weight
        self.next = next(self._requests, None)
        return waiting

    def make_place(self) -> tuple:
        """Return the place of the next request among those of others."""
        waiting = self.next
        return (
            -waiting.request.worth,
            self._usage_seconds,
            waiting.deadline_at,
            self._number,
            self,
        )
