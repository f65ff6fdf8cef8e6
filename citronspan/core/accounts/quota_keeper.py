"""Lends the credit of accounts to hosts, for the seats that this entry keeps.

Load pattern: an account's callers come to many hosts, few to each, at times at several
times the account's rate, while keepers are lost, replaced and parted from some hosts.
The credit that the keepers and all hosts together may still spend never exceeds the
capacity, so lost, late and repeated messages cost credit and never add any.
"""

import math
import time
from collections import deque
from collections.abc import Callable, Iterable

from citronspan.core.accounts.quota_messages import (
    QuotaAnswer,
    QuotaAsk,
    QuotaHandover,
    QuotaReturn,
    SeatLevel,
)
from citronspan.core.accounts.quota_seats import QuotaSeats, make_seat_key
from citronspan.core.accounts.quota_terms import (
    LEASE_SECONDS,
    PROBATION_SECONDS,
    compute_seat_terms,
    has_fleet_quota,
)
from citronspan.core.message_base import Outgoing
from citronspan.core.resources import AccountSpec
from citronspan.core.settings import QuotaRules
from citronspan.utils.token_bucket import TokenBucket

AHEAD_CAPACITY_SHARE = 0.5
"""Share of the capacity that may be lent ahead, and that lending ahead must leave."""

PAUSE_SECONDS = 2.0
"""Time without any call after which others may have taken over."""

START_PROBATION_SECONDS = 0.5
"""Time in which the views of hosts that started together may differ."""

MAXIMUM_RETRY_AFTER_SECONDS = 5.0
MAXIMUM_ASK = 10_000
IDLE_SECONDS = 600.0
HANDOVER_SEATS = 500
"""Seats in one handover message."""


class _Seat:
    """State of a seat: its bucket, what is lent ahead, and promised moments."""

    def __init__(self, since):
        self.level = 0.0
        self.refilled_at = since
        self.probation_end = since + PROBATION_SECONDS
        self.promised_until = 0.0
        self.asked_at = since
        self.stand_in: TokenBucket | None = None
        self.returns: TokenBucket | None = None
        self.ahead = 0
        self._lease_by_end: deque[tuple[float, int]] = deque()

    def lend_ahead(self, amount, now):
        if amount > 0:
            self.level -= amount
            self.add_ahead(amount, now)

    def add_ahead(self, amount, now):
        self.ahead += amount
        self._lease_by_end.append((now + LEASE_SECONDS, amount))

    def refill(self, terms, now):
        while self._lease_by_end and self._lease_by_end[0][0] <= now:
            self.ahead -= self._lease_by_end.popleft()[1]
        new_seconds = max(min(now, self.probation_end) - self.refilled_at, 0.0)
        full_seconds = now - self.refilled_at - new_seconds
        self.level += new_seconds * terms.probation_rate + full_seconds * terms.rate
        self.level = min(self.level, max(terms.capacity - self.ahead, 0.0))
        self.refilled_at = now

    def promise(self, terms, now):
        """Return the time until one more request has credit, after those promised."""
        rate = terms.rate if now >= self.probation_end else terms.probation_rate
        if rate <= 0:
            return MAXIMUM_RETRY_AFTER_SECONDS
        due = now + (1.0 - self.level % 1.0) / rate
        due = max(due, self.promised_until + 1.0 / rate)
        self.promised_until = min(due, now + MAXIMUM_RETRY_AFTER_SECONDS)
        return self.promised_until - now


class QuotaKeeper:
    """Buckets of the seats that this entry keeps; not safe for threads."""

    def __init__(
        self,
        *,
        rules: QuotaRules,
        seats: QuotaSeats,
        find_spec: Callable[[str], AccountSpec | None],
    ):
        """Create a keeper without seats.

        Args:
            rules: Bounds of the deployment.
            seats: Keepers in the view of this host.
            find_spec: Returns the specification of an account in force, or None.
        """
        self._rules = rules
        self._seats = seats
        self._find_spec = find_spec
        self._seat_by_key: dict[tuple[str, int], _Seat] = {}
        self._last_return_by_sender: dict[str, tuple[int, int]] = {}
        self._called_at = time.monotonic()
        self._paused_at = -math.inf
        self._is_stopped = False

    def count_seats(self) -> int:
        """Return the number of seats in use."""
        return len(self._seat_by_key)

    def ask(self, message: QuotaAsk) -> QuotaAnswer:
        """Lend credit to a host, as much as there is."""
        now = self._note_call()
        found = self._find_seat(message.account, message.seat, now)
        if found is None:
            return QuotaAnswer(ask_id=message.ask_id, is_keeper=False)
        seat, terms = found
        seat.asked_at = now
        needed = min(max(message.needed, 0), MAXIMUM_ASK)
        granted = min(needed, math.floor(seat.level))
        seat.level -= granted
        if granted < needed and message.is_other_lost:
            seat.stand_in = terms.update_bucket(seat.stand_in, terms.stand_in)
            while granted < needed and seat.stand_in.take():
                granted += 1
        if granted < needed:
            retry_after_seconds = seat.promise(terms, now)
            return QuotaAnswer(
                ask_id=message.ask_id,
                granted=granted,
                retry_after_seconds=retry_after_seconds,
                is_new=now < seat.probation_end,
            )
        room = terms.capacity * AHEAD_CAPACITY_SHARE
        ahead = min(message.wanted, MAXIMUM_ASK, seat.level - room, room - seat.ahead)
        ahead = max(math.floor(ahead), 0)
        seat.lend_ahead(ahead, now)
        return QuotaAnswer(ask_id=message.ask_id, granted=granted, ahead=ahead)

    def take_back(self, sender: str, incarnation: int, message: QuotaReturn) -> None:
        """Accept credit of requests that were refused, as far as the bounds allow.

        Args:
            sender: Peer address of the host.
            incarnation: Incarnation of its process.
            message: The message; one that came before is ignored.
        """
        now = self._note_call()
        number = (incarnation, message.number)
        if number <= self._last_return_by_sender.get(sender, (-1, -1)):
            return
        self._last_return_by_sender[sender] = number
        found = self._find_seat(message.account, message.seat, now)
        if found is None:
            return
        seat, terms = found
        seat.returns = terms.update_bucket(seat.returns, terms.returns)
        returned = min(max(message.returned, 0), MAXIMUM_ASK)
        room = max(terms.capacity - seat.ahead - seat.level, 0.0)
        seat.level += seat.returns.take_up_to(min(float(returned), room))

    def take_over(self, message: QuotaHandover) -> None:
        """Continue seats of a predecessor that has stopped lending."""
        now = self._note_call()
        for handed in message.levels:
            found = self._find_seat(handed.account, handed.seat, now)
            if found is None or now >= found[0].probation_end:
                continue
            seat, terms = found
            seat.probation_end = now
            seat.add_ahead(min(max(handed.ahead, 0), MAXIMUM_ASK), now)
            level = max(handed.level, 0.0) + seat.level
            seat.level = max(min(level, terms.capacity - seat.ahead), 0.0)

    def move_seats(self) -> list[Outgoing]:
        """Hand over the seats that have another keeper in the view; call at changes."""
        self._note_call()
        return self._hand_over(
            [key for key in self._seat_by_key if not self._seats.is_keeper(*key)]
        )

    def stop(self) -> list[Outgoing]:
        """Lend nothing more and hand over all seats."""
        self._note_call()
        outgoing = self._hand_over(list(self._seat_by_key))
        self._is_stopped = True
        return outgoing

    def note_tick(self) -> None:
        """Notice a pause of the process, after which all begins anew."""
        self._note_call()

    def forget_idle(self) -> None:
        """Forget seats that nobody asks any more; call about each second."""
        now = self._note_call()
        for key, seat in list(self._seat_by_key.items()):
            if now - seat.asked_at > IDLE_SECONDS:
                del self._seat_by_key[key]

    def _hand_over(self, keys: Iterable[tuple[str, int]]) -> list[Outgoing]:
        now = time.monotonic()
        levels_by_address: dict[str, list[SeatLevel]] = {}
        for account, number in keys:
            seat = self._seat_by_key.pop((account, number))
            spec = self._find_spec(account)
            successor = self._seats.find_successor(account, number)
            if successor is None or spec is None or now < seat.probation_end:
                continue
            seat.refill(self._compute_terms(spec, account, number), now)
            levels_by_address.setdefault(successor.entry_peer_address, []).append(
                SeatLevel(
                    account=account, seat=number, level=seat.level, ahead=seat.ahead
                )
            )
        return [
            Outgoing(
                to=address,
                message=QuotaHandover(levels=tuple(levels[at : at + HANDOVER_SEATS])),
            )
            for address, levels in levels_by_address.items()
            for at in range(0, len(levels), HANDOVER_SEATS)
        ]

    def _find_seat(self, account, number, now):
        """Return a seat and its terms, or None if this entry does not keep it."""
        spec = self._find_spec(account)
        if self._is_stopped or spec is None or not has_fleet_quota(spec):
            return None
        if not self._seats.is_keeper(account, number):
            return None
        terms = self._compute_terms(spec, account, number)
        seat = self._seat_by_key.get((account, number))
        if seat is None:
            # Nobody else has lent since, so the bucket may have filled.
            since = max(self._seats.find_keeper_since(account, number), self._paused_at)
            seat = self._seat_by_key[account, number] = _Seat(min(since, now))
            has_paused = self._paused_at > -math.inf
            if not has_paused and self._seats.has_started_with_all():
                seat.probation_end = seat.refilled_at + START_PROBATION_SECONDS
                seat.level = terms.start_credit
        seat.refill(terms, now)
        return seat, terms

    def _compute_terms(self, spec, account, number):
        return compute_seat_terms(
            spec,
            self._rules,
            self._seats.compute_fleet_share(),
            lambda total: self._seats.divide(total, make_seat_key(account, number)),
        )

    def _note_call(self):
        now = time.monotonic()
        if now - self._called_at > PAUSE_SECONDS:
            self._paused_at = now
            self._seat_by_key = {}
        self._called_at = now
        return now
