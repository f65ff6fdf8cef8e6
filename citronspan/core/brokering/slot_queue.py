"""Queue of requests that wait for a slot, and the room that each account has in it.

Without accounts the order is by descending worth, then by deadline. ``fair_order`` says
what it is between accounts.
"""

import dataclasses
from collections.abc import Iterable, Iterator
from itertools import islice

import msgspec
from sortedcontainers import SortedKeyList, SortedList

from citronspan.core.brokering.account_shares import AccountShares
from citronspan.core.brokering.fair_order import order_fairly
from citronspan.core.brokering.waiting_request import WaitingRequest, make_sort_key


class SlotQueue:
    """Waiting requests of one shard."""

    def __init__(self, shares: AccountShares | None = None):
        self._shares = AccountShares() if shares is None else shares
        self._requests_by_account: dict[str, SortedKeyList] = {}
        self._waiting_by_id: dict[int, WaitingRequest] = {}
        self._on_time_limits = SortedList()

    def __len__(self):
        """Return the number of waiting requests."""
        return len(self._waiting_by_id)

    def __contains__(self, attempt_id: int):
        """Return whether the request of an attempt is in the queue."""
        return attempt_id in self._waiting_by_id

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate in the order in which the requests are served."""
        return iter(self.list_from_position(0))

    def advance(self, now: float) -> None:
        """Set the present time: put back what can no longer meet its goal."""
        self._shares.advance(now)
        while self._on_time_limits and self._on_time_limits[0][0] <= now:
            attempt_id = self._on_time_limits[0][1]
            waiting = self.remove(attempt_id)
            self.add(dataclasses.replace(waiting, is_late=True))

    def find_queue_position(self, waiting: WaitingRequest) -> int:
        """Return the number of queued requests ahead of a request.

        Args:
            waiting: Request, which is not in the queue itself.
        """
        own_requests = self._requests_by_account.get(waiting.request.account)
        if own_requests is None and not self._requests_by_account:
            return 0
        if own_requests is not None and len(self._requests_by_account) == 1:
            return own_requests.bisect_key_left(make_sort_key(waiting))
        self.add(waiting)
        position = 0
        for other in self._iterate():
            if other is waiting:
                break
            position += 1
        self.remove(waiting.request.attempt_id)
        return position

    def find_first(self) -> WaitingRequest | None:
        """Return the request that is served next, or None."""
        return next(iter(self._iterate()), None)

    def find_displaced(self, waiting: WaitingRequest) -> WaitingRequest | None:
        """Return the request that gives its place to another in a full queue, or None.

        The last of the requests of least worth, if that is less than the other's; of
        several accounts with such requests, that which uses the most room for its
        weight. At equal worth it is the last of the account that uses the most room for
        its weight, if that is more than the other's account would use. A request of a
        starved account takes such a place whatever its worth.

        Args:
            waiting: The other request, which is not in the queue.
        """
        if not self._requests_by_account:
            return None
        name = waiting.request.account
        lasts = {name: queued[-1] for name, queued in self._requests_by_account.items()}
        least_worth = min(last.request.worth for last in lasts.values())
        if least_worth < waiting.request.worth:
            names = [
                other
                for other, last in lasts.items()
                if last.request.worth == least_worth
            ]
            return lasts[max(names, key=self._measure_room)]
        is_starved = self._shares.is_starved(name)
        names = [
            other
            for other, last in lasts.items()
            if other != name
            and (is_starved or last.request.worth == waiting.request.worth)
        ]
        if not names:
            return None
        greediest = max(names, key=self._measure_room)
        if self._measure_room(greediest) <= self._measure_room(name, added=1):
            return None
        return lasts[greediest]

    def count_account(self, account: str) -> int:
        """Return the number of waiting requests of an account."""
        return len(self._requests_by_account.get(account, ()))

    def count_accounts(self) -> int:
        """Return the number of accounts with waiting requests, those without as one."""
        return len(self._requests_by_account)

    def count_starved_accounts(self) -> int:
        """Return the number of accounts with waiting requests that are starved."""
        return sum(map(self._shares.is_starved, self._requests_by_account))

    def iterate_while_served(self) -> Iterator[WaitingRequest]:
        """Iterate in order over the present requests, of which some are removed."""
        if len(self._requests_by_account) == 1:
            return iter(self.list_from_position(0))
        return iter(self._iterate())

    def list_from_position(self, position: int) -> list[WaitingRequest]:
        """Return the requests from a queue position onward, in order."""
        return list(islice(self._iterate(), position, None))

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        account = waiting.request.account
        own_requests = self._requests_by_account.get(account)
        if own_requests is None:
            own_requests = SortedKeyList(key=make_sort_key)
            self._requests_by_account[account] = own_requests
        own_requests.add(waiting)
        attempt_id = waiting.request.attempt_id
        self._waiting_by_id[attempt_id] = waiting
        if account and not waiting.is_late:
            self._on_time_limits.add((waiting.on_time_until, attempt_id))

    def exclude_target(self, sender: str, target: str) -> None:
        """Add a target to the excluded ones of an entry's requests."""
        for waiting in list(self._waiting_by_id.values()):
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
        account = waiting.request.account
        own_requests = self._requests_by_account[account]
        own_requests.remove(waiting)
        if not own_requests:
            del self._requests_by_account[account]
        if account and not waiting.is_late:
            self._on_time_limits.remove((waiting.on_time_until, attempt_id))
        return waiting

    def _iterate(self) -> Iterable[WaitingRequest]:
        if len(self._requests_by_account) > 1:
            return order_fairly(self._requests_by_account, self._shares)
        for own_requests in self._requests_by_account.values():
            return own_requests
        return ()

    def _measure_room(self, account, added=0):
        """Return the places that an account uses, per unit of its weight."""
        return (self.count_account(account) + added) / self._shares.find_weight(account)
