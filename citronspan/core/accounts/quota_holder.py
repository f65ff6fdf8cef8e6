"""A host's side of the quotas: credit at hand, questions to keepers, and returns.

Load pattern: many accounts with few requests at this host, each of which waits for a
keeper; a few busy ones, whose next requests can be foreseen; one beyond its limit,
whose requests must neither wait nor cost a message each; and keepers that are silent
for seconds, on which few requests may wait.
"""

import math
import time
from collections import Counter, deque
from dataclasses import dataclass

from citronspan.core.accounts.quota_messages import (
    QuotaAnswer,
    QuotaAsk,
    QuotaReturn,
)
from citronspan.core.accounts.quota_seats import QuotaSeats
from citronspan.core.accounts.quota_terms import (
    LEASE_SECONDS,
    SEATS,
    compute_alone_total,
)
from citronspan.core.message_base import Outgoing
from citronspan.core.resources import AccountSpec
from citronspan.core.settings import QuotaRules

DEMAND_SECONDS = 2.0
"""Time constant of the mean rate of an account's requests at this host."""

SILENCE_SECONDS = 1.0
"""Time for which a keeper that did not answer is not asked first."""

ALONE_SECONDS = 1.0
"""Time without any keeper's answer after which this host takes itself to be alone."""

DRY_SECONDS = 0.5
"""Longest time for which a seat that has no credit is not asked again."""

LATE_CREDIT_SECONDS = 1.0
"""Time for which the credit of a late answer may be used, from the question on."""

MINORITY_SHARE = 0.5
"""Part of the fleet in view below which a keeper's refusal says little of the fleet."""

IDLE_SECONDS = 60.0
MAXIMUM_RETRY_AFTER_SECONDS = 5.0
MINIMUM_RETRY_AFTER_SECONDS = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class SeatAsk:
    """A question to be sent to the keeper of a seat.

    Attributes:
        address: Peer address of the keeper.
        region: Region of the keeper.
        message: The question.
    """

    address: str
    region: str
    message: QuotaAsk


@dataclass(kw_only=True, slots=True)
class _OpenAsk:
    account: str
    seat: int
    address: str
    is_own: bool
    asked_at: float
    spec: AccountSpec
    is_awaited: bool
    answer: QuotaAnswer | None = None


class _Account:
    """What this host knows of an account."""

    def __init__(self, now, spec):
        self.spec = spec
        self.credit_by_end: deque[tuple[float, int]] = deque()
        self.demand = 0.0
        self.demand_at = now
        self.dry_until_by_seat: dict[int, float] = {}
        self.new_until_by_seat: dict[int, float] = {}
        self.promised_until = 0.0
        self.asked_ahead_at = -math.inf
        self.alone_at: deque[float] = deque()

    def count_credit(self, now):
        if any(end <= now for end, _ in self.credit_by_end):
            self.credit_by_end = deque(
                item for item in self.credit_by_end if item[0] > now
            )
        return sum(amount for _, amount in self.credit_by_end)

    def take(self, now):
        if not self.count_credit(now):
            return False
        end, amount = self.credit_by_end.popleft()
        if amount > 1:
            self.credit_by_end.appendleft((end, amount - 1))
        return True

    def admit_alone(self, credit, window_seconds):
        """Admit a request if fewer than a number were in the window before it."""
        now = time.monotonic()
        while self.alone_at and self.alone_at[0] < now - window_seconds:
            self.alone_at.popleft()
        if len(self.alone_at) >= credit:
            return False
        self.alone_at.append(now)
        return True

    def count_demand(self, now):
        elapsed = now - self.demand_at
        self.demand = self.demand * math.exp(-elapsed / DEMAND_SECONDS) + 1.0
        self.demand_at = now

    def count_expected(self):
        """Return the requests to expect while credit lasts, after the one counted."""
        expected = max(self.demand - 1.0, 0.0) / DEMAND_SECONDS * LEASE_SECONDS
        return math.floor(expected)


class QuotaHolder:
    """Credit of the accounts in use at one host; not safe for threads.

    Attributes:
        region: Region of the host.
    """

    def __init__(self, *, name: str, region: str, rules: QuotaRules, seats: QuotaSeats):
        """Create a holder without credit.

        Args:
            name: Name of the host.
            region: Region of the host.
            rules: Bounds of the deployment.
            seats: Keepers in the view of this host.
        """
        self.region = region
        self._name = name
        self._rules = rules
        self._seats = seats
        self._account_by_name: dict[str, _Account] = {}
        self._open_ask_by_id: dict[int, _OpenAsk] = {}
        self._silent_until_by_address: dict[str, float] = {}
        self._unanswered_since: float | None = None
        self._next_ask_id = 1
        self._returned_by_seat: Counter[tuple[str, int]] = Counter()
        self._return_number = 0

    def count_accounts(self) -> int:
        """Return the number of accounts in use."""
        return len(self._account_by_name)

    def is_alone(self) -> bool:
        """Return whether no other host has answered for some time."""
        since = self._unanswered_since
        return since is not None and time.monotonic() - since >= ALONE_SECONDS

    def take(self, name: str, spec: AccountSpec) -> bool:
        """Count a request, and charge it to the credit at hand if there is any."""
        now = time.monotonic()
        account = self._find_account(name, spec, now)
        account.count_demand(now)
        return account.take(now)

    def ask_ahead(self, name: str) -> SeatAsk | None:
        """Return a question that nobody waits for, if little credit is left."""
        now = time.monotonic()
        account = self._account_by_name[name]
        expected = account.count_expected()
        wanted = expected - account.count_credit(now)
        if wanted * 2 <= expected or now - account.asked_ahead_at < DRY_SECONDS:
            return None
        account.asked_ahead_at = now
        for seat in self.list_seats(name):
            if not self.is_silent(name, seat):
                return self._ask(name, seat, needed=0, wanted=wanted)
        return None

    def ask(self, name: str, seat: int) -> SeatAsk | None:
        """Return the question for one request, None while no entry serves.

        The answer is kept until ``close_ask``.
        """
        now = time.monotonic()
        account = self._account_by_name[name]
        wanted = max(account.count_expected() - account.count_credit(now), 0)
        is_other_lost = any(
            other != seat
            and (
                self.is_silent(name, other)
                or account.new_until_by_seat.get(other, 0.0) > now
            )
            for other in range(SEATS)
        )
        return self._ask(
            name, seat, needed=1, wanted=wanted, is_other_lost=is_other_lost
        )

    def find_answer(self, ask: SeatAsk) -> QuotaAnswer | None:
        """Return the answer to a question that has not been closed, or None."""
        open_ask = self._open_ask_by_id.get(ask.message.ask_id)
        return None if open_ask is None else open_ask.answer

    def close_ask(self, ask: SeatAsk, *, is_used: bool = False) -> None:
        """End the wait for an answer; credit that is not used is returned."""
        open_ask = self._open_ask_by_id.get(ask.message.ask_id)
        if open_ask is None:
            return
        open_ask.is_awaited = False
        if open_ask.answer is not None:
            del self._open_ask_by_id[ask.message.ask_id]
            if not is_used:
                self._keep_late_credit(open_ask, time.monotonic())

    def receive(self, answer: QuotaAnswer) -> bool:
        """Take an answer; a repeated one, or one too late, has no effect.

        Returns:
            Whether a request waits for it.
        """
        now = time.monotonic()
        open_ask = self._open_ask_by_id.get(answer.ask_id)
        if open_ask is None or open_ask.answer is not None:
            return False
        open_ask.answer = answer
        self._silent_until_by_address.pop(open_ask.address, None)
        if not open_ask.is_own:
            self._unanswered_since = None
        account = self._account_by_name.get(open_ask.account)
        end = open_ask.asked_at + LEASE_SECONDS
        is_valid = account is not None and end > now and account.spec == open_ask.spec
        if is_valid and answer.ahead > 0:
            account.credit_by_end.append((end, answer.ahead))
        if open_ask.is_awaited:
            return True
        del self._open_ask_by_id[answer.ask_id]
        self._keep_late_credit(open_ask, now)
        return False

    def list_seats(self, name: str) -> list[int]:
        """Return the seats that may have credit, in the order in which to ask them."""
        now = time.monotonic()
        dry = self._account_by_name[name].dry_until_by_seat
        seats = self._seats.order_seats(name)
        return [seat for seat in seats if dry.get(seat, 0.0) <= now]

    def is_silent(self, name: str, seat: int) -> bool:
        """Return whether the keeper of a seat lately did not answer in time."""
        address = self.find_address(name, seat)
        return self._silent_until_by_address.get(address, 0.0) > time.monotonic()

    def note_silence(self, ask: SeatAsk) -> None:
        """Record that a keeper did not answer in its time."""
        now = time.monotonic()
        self._silent_until_by_address[ask.address] = now + SILENCE_SECONDS
        open_ask = self._open_ask_by_id.get(ask.message.ask_id)
        if self._unanswered_since is None and open_ask is not None:
            self._unanswered_since = open_ask.asked_at

    def note_refusal(self, name: str, seat: int, answer: QuotaAnswer) -> None:
        """Record that a seat has no credit, and when it promised some."""
        now = time.monotonic()
        account = self._account_by_name[name]
        wait_seconds = max(answer.retry_after_seconds, 0.0)
        account.dry_until_by_seat[seat] = now + min(wait_seconds, DRY_SECONDS)
        if answer.is_new:
            account.new_until_by_seat[seat] = now + SILENCE_SECONDS
        promised = now + wait_seconds
        if account.promised_until > now:
            promised = min(account.promised_until, promised)
        account.promised_until = promised

    def compute_retry_after(self, name: str, spec: AccountSpec) -> float:
        """Return when a refused request may come again, one after the other."""
        now = time.monotonic()
        account = self._find_account(name, spec, now)
        due = max(account.promised_until, now + MINIMUM_RETRY_AFTER_SECONDS)
        account.promised_until = min(
            due + 1.0 / account.spec.requests_per_second,
            now + MAXIMUM_RETRY_AFTER_SECONDS,
        )
        return due - now

    def admit_alone(self, name: str, refusals: int) -> bool:
        """Charge a request to what this host may admit while no keeper answers.

        Args:
            name: Name of the account.
            refusals: Number of seats that have no credit.
        """
        is_minority = self._seats.compute_fleet_share() < MINORITY_SHARE
        may_go_alone = is_minority if refusals else self.is_alone()
        if not may_go_alone:
            return False
        account = self._account_by_name[name]
        total = compute_alone_total(account.spec, self._rules)
        credit = self._seats.divide(total, f"quota-alone/{name}")
        return account.admit_alone(credit, self._rules.window_seconds)

    def give_back(self, name: str) -> None:
        """Return the charge of a request that was refused and has not run."""
        self._returned_by_seat[name, self._seats.order_seats(name)[0]] += 1

    def collect_returns(self) -> list[Outgoing]:
        """Return the messages with the charges to return; call some times a second."""
        outgoing = []
        for (name, seat), returned in self._returned_by_seat.items():
            self._return_number += 1
            message = QuotaReturn(
                number=self._return_number, account=name, seat=seat, returned=returned
            )
            address = self.find_address(name, seat)
            if address:
                outgoing.append(Outgoing(to=address, message=message))
        self._returned_by_seat.clear()
        return outgoing

    def find_address(self, name: str, seat: int) -> str:
        """Return the peer address of the keeper of a seat, or an empty string."""
        keeper = self._seats.find_keeper(name, seat)
        return "" if keeper is None else keeper.entry_peer_address

    def list_keeper_addresses(self, name: str) -> list[str]:
        """Return the peer addresses of an account's keepers."""
        return [self.find_address(name, seat) for seat in range(SEATS)]

    def forget_idle(self) -> None:
        """Forget old questions and accounts out of use; call about each second."""
        now = time.monotonic()
        for ask_id, ask in list(self._open_ask_by_id.items()):
            if not ask.is_awaited and now - ask.asked_at > LEASE_SECONDS:
                del self._open_ask_by_id[ask_id]
        for name, account in list(self._account_by_name.items()):
            if now - account.demand_at > IDLE_SECONDS:
                del self._account_by_name[name]
        for address, until in list(self._silent_until_by_address.items()):
            if until <= now:
                del self._silent_until_by_address[address]

    def _find_account(self, name, spec, now):
        account = self._account_by_name.get(name)
        if account is None:
            account = self._account_by_name[name] = _Account(now, spec)
        if account.spec != spec:
            # A limit that was lowered acts at once.
            account.spec = spec
            account.credit_by_end.clear()
        return account

    def _ask(self, name, seat, *, needed, wanted, is_other_lost=False):
        keeper = self._seats.find_keeper(name, seat)
        if keeper is None:
            return None
        ask_id = self._next_ask_id
        self._next_ask_id += 1
        self._open_ask_by_id[ask_id] = _OpenAsk(
            account=name,
            seat=seat,
            address=keeper.entry_peer_address,
            is_own=keeper.name == self._name,
            asked_at=time.monotonic(),
            spec=self._account_by_name[name].spec,
            is_awaited=needed > 0,
        )
        return SeatAsk(
            address=keeper.entry_peer_address,
            region=keeper.region,
            message=QuotaAsk(
                ask_id=ask_id,
                account=name,
                seat=seat,
                needed=needed,
                wanted=wanted,
                is_other_lost=is_other_lost,
            ),
        )

    def _keep_late_credit(self, open_ask, now):
        """Keep the credit of a late answer for other requests, or return it."""
        granted = open_ask.answer.granted
        if granted <= 0:
            return
        account = self._account_by_name.get(open_ask.account)
        end = open_ask.asked_at + LATE_CREDIT_SECONDS
        if account is not None and end > now and account.spec == open_ask.spec:
            account.credit_by_end.appendleft((end, granted))
            return
        self._returned_by_seat[open_ask.account, open_ask.seat] += granted
