"""Replays loads of many accounts at one broker, with and without shares of accounts.

Each load has one phase of usual load, and one in which more comes than there is room
for. Without shares the requests name no account, and refusals name the times that they
did before callers had an order of return. Callers come back twice, after the time that
they are told, if that is at most a third of the time that they have left.
"""

import heapq
import random
import time
from dataclasses import dataclass

import freezegun
import pytest

from citronspan.core.brokering.broker import Broker
from citronspan.core.brokering.broker_messages import (
    SlotGrant,
    SlotRefusal,
    SlotRequest,
)
from citronspan.core.brokering.broker_test import (
    KEY,
    FakeHealth,
    make_release,
    make_target,
)
from citronspan.core.brokering.return_order import ReturnLine

ACCOUNTS = 74
HOT_ACCOUNT = 0
TARGETS = 10
TARGET_SLOTS = 4
HOLD_SECONDS = 0.4
USUAL_RATE = 0.75 * TARGETS * TARGET_SLOTS / HOLD_SECONDS
USUAL_SECONDS = 6.0
SHORT_SECONDS = 8.0
GOAL_SECONDS = 1.5
MOST_RETURNS = 2
SLOW_FACTOR = 2.5


@dataclass(frozen=True)
class Load:
    """What comes in the second phase.

    Attributes:
        hot_factor: Load of one account, as a multiple of its usual.
        burst_factor: Load of all accounts, as a multiple of their usual.
        repeats: Whether callers of the hot account come back at once and often.
        slow: Whether half of the targets are slow.
        low_worth: Number of accounts whose requests have less worth.
        herd: Number of calls that come at the same moment.
        deadline_seconds: Time that a caller has for its request.
    """

    hot_factor: float = 1.0
    burst_factor: float = 1.0
    repeats: bool = False
    slow: bool = False
    low_worth: int = 0
    herd: int = 0
    deadline_seconds: float = 6.0


@dataclass
class Call:
    """One request of a caller with all its tries."""

    account: int
    sent_at: float
    tries: int = 0
    served_at: float = 0.0


class Replay:
    """Plays a load at one broker."""

    def __init__(self, load, *, has_shares, clock):
        self.calls = []
        self._load = load
        self._has_shares = has_shares
        self._clock = clock
        self._random = random.Random(3)
        self._weights = [1 / (1 + number) ** 0.8 for number in range(ACCOUNTS)]
        self._events = []
        self._call_by_attempt = {}
        self._attempt_id = 0
        targets = [
            make_target(f"t{number}", slots=TARGET_SLOTS) for number in range(TARGETS)
        ]
        self._broker = Broker(key=KEY, health=FakeHealth(), targets=tuple(targets))
        clock.tick(2.0)
        self._started_at = time.monotonic()

    def run(self):
        self._plan_calls()
        end = USUAL_SECONDS + SHORT_SECONDS + self._load.deadline_seconds
        for number in range(int(end / 0.1)):
            self._push(0.1 * number, self._advance)
        while self._events:
            at, _, run = heapq.heappop(self._events)
            self._clock.tick(max(0.0, self._started_at + at - time.monotonic()))
            self._collect(run())
        return self

    def _plan_calls(self):
        total = sum(self._weights)
        for account, weight in enumerate(self._weights):
            usual_rate = USUAL_RATE * weight / total
            factor = self._load.burst_factor
            if account == HOT_ACCOUNT:
                factor *= self._load.hot_factor
            self._plan_phase(account, usual_rate, 0.0, USUAL_SECONDS)
            self._plan_phase(account, usual_rate * factor, USUAL_SECONDS, SHORT_SECONDS)
        for number in range(self._load.herd):
            self._plan_call(number % ACCOUNTS, USUAL_SECONDS + 0.0001 * number)

    def _plan_phase(self, account, rate, start, seconds):
        at = start + self._random.expovariate(rate)
        while at < start + seconds:
            self._plan_call(account, at)
            at += self._random.expovariate(rate)

    def _plan_call(self, account, at):
        call = Call(account=account, sent_at=at)
        self.calls.append(call)
        self._push(at, lambda: self._request(call))

    def _push(self, at, run):
        heapq.heappush(
            self._events, (at, len(self._events) + self._random.random(), run)
        )

    def _now(self):
        return time.monotonic() - self._started_at

    def _advance(self):
        return self._broker.advance()

    def _request(self, call):
        self._attempt_id += 1
        call.tries += 1
        self._call_by_attempt[self._attempt_id] = call
        waited = self._now() - call.sent_at
        request = SlotRequest(
            attempt_id=self._attempt_id,
            service=KEY.service,
            region=KEY.region,
            shard=KEY.number,
            deadline_seconds=max(self._load.deadline_seconds - waited, 0.01),
            goal_seconds=max(GOAL_SECONDS - waited, 0.0),
            idempotent=True,
            worth=1.0 if call.account < ACCOUNTS - self._load.low_worth else 0.5,
            account=f"a{call.account}" if self._has_shares else "",
        )
        return self._broker.handle("e", request)

    def _collect(self, outgoing):
        for item in outgoing:
            message = item.message
            if isinstance(message, SlotGrant):
                self._run_grant(message)
            if isinstance(message, SlotRefusal):
                self._come_back(message)

    def _run_grant(self, grant):
        call = self._call_by_attempt[grant.attempt_id]
        seconds = HOLD_SECONDS * self._random.uniform(0.5, 1.5)
        is_short = self._now() >= USUAL_SECONDS
        if self._load.slow and is_short and int(grant.target[1:]) % 2:
            seconds *= SLOW_FACTOR
        release = make_release(grant.attempt_id, grant.target)
        at = self._now() + seconds
        if at - call.sent_at <= self._load.deadline_seconds:
            call.served_at = at
        self._push(at, lambda: self._broker.handle("e", release))

    def _come_back(self, refusal):
        call = self._call_by_attempt[refusal.attempt_id]
        left = call.sent_at + self._load.deadline_seconds - self._now()
        is_offender = self._load.repeats and call.account == HOT_ACCOUNT
        if call.tries > (20 if is_offender else MOST_RETURNS) or left <= 0:
            return
        pause = 0.02 if is_offender else min(refusal.retry_after_seconds, left / 3)
        self._push(self._now() + pause, lambda: self._request(call))

    def measure(self, accounts):
        """Return the share of calls of the second phase that were served in time."""
        calls = self._list_short(accounts)
        return sum(call.served_at > 0 for call in calls) / max(1, len(calls))

    def measure_in_goal(self, accounts):
        """Return the share of these calls that were answered within the goal."""
        calls = [
            call
            for call in self.calls
            if call.sent_at >= USUAL_SECONDS and call.account in accounts
        ]
        good = [
            c for c in calls if c.served_at and c.served_at - c.sent_at <= GOAL_SECONDS
        ]
        return len(good) / max(1, len(calls))

    def count_tries(self):
        """Return the number of requests that the calls took."""
        return sum(call.tries for call in self.calls)

    def _list_short(self, accounts):
        """Return the calls of some accounts in the second phase."""
        return [
            call
            for call in self.calls
            if call.sent_at >= USUAL_SECONDS and call.account in accounts
        ]

    def measure_worst_tenth(self, accounts):
        """Return the served share of the worst tenth of the accounts."""
        asking = {call.account for call in self._list_short(accounts)}
        shares = sorted(self.measure({account}) for account in asking)
        count = max(1, len(shares) // 10)
        return sum(shares[:count]) / count


def play(load, *, has_shares, has_line, monkeypatch):
    with freezegun.freeze_time("2026-01-01") as clock, monkeypatch.context() as patch:
        if not has_line:
            patch.setattr(
                ReturnLine,
                "reserve_seconds",
                lambda self, *, earliest_seconds, **_: earliest_seconds,
            )
        return Replay(load, has_shares=has_shares, clock=clock).run()


EVERYONE = frozenset(range(ACCOUNTS))
OTHERS = EVERYONE - {HOT_ACCOUNT}
LOW_WORTH = frozenset(range(ACCOUNTS - 20, ACCOUNTS))


@pytest.fixture
def compare(monkeypatch):
    """Return a function that replays a load without and with shares."""

    def run(load, *, has_shares=True):
        return (
            play(load, has_shares=False, has_line=False, monkeypatch=monkeypatch),
            play(load, has_shares=has_shares, has_line=True, monkeypatch=monkeypatch),
        )

    return run


def check_nobody_is_starved(replay, accounts=EVERYONE):
    served = replay.measure(EVERYONE)
    for account in accounts:
        if sum(call.account == account for call in replay.calls) >= 12:
            assert replay.measure({account}) > served / 4


@pytest.mark.parametrize("slow", [False, True])
def test_others_hardly_notice_a_hot_account(compare, slow):
    before, after = compare(Load(hot_factor=6, slow=slow))
    assert before.measure_in_goal(OTHERS) < (0.2 if slow else 0.5)
    assert after.measure_in_goal(OTHERS) > (0.6 if slow else 0.99)
    assert after.measure(OTHERS) > (0.95 if slow else 0.99)
    assert after.measure_worst_tenth(EVERYONE) > (0.8 if slow else 0.99)
    assert after.measure({HOT_ACCOUNT}) > 0.65
    check_nobody_is_starved(after)


@pytest.mark.parametrize("slow", [False, True])
def test_burst_of_all(compare, slow):
    before, after = compare(Load(burst_factor=2.1, slow=slow))
    assert after.measure_in_goal(EVERYONE) > 2 * before.measure_in_goal(EVERYONE)
    assert after.measure(EVERYONE) > before.measure(EVERYONE) - (0.04 if slow else 0.0)
    assert (
        after.measure_worst_tenth(EVERYONE)
        >= before.measure_worst_tenth(EVERYONE) - 0.02
    )
    check_nobody_is_starved(after)


@pytest.mark.parametrize("slow", [False, True])
def test_repeat_offenders_gain_nothing(compare, slow):
    load = Load(hot_factor=6, burst_factor=1.3, repeats=True, slow=slow)
    before, after = compare(load)
    assert before.measure(OTHERS) < before.measure({HOT_ACCOUNT})
    assert after.measure(OTHERS) > before.measure(OTHERS) + 0.1
    assert after.measure(OTHERS) > after.measure({HOT_ACCOUNT}) + 0.15
    least_share = 0.4 if slow else 0.7
    assert before.measure_worst_tenth(EVERYONE) < least_share
    assert after.measure_worst_tenth(EVERYONE) > least_share
    check_nobody_is_starved(after)


def test_accounts_of_less_worth_are_not_starved(compare):
    before, after = compare(Load(burst_factor=2.1, low_worth=20))
    assert before.measure(LOW_WORTH) < before.measure(EVERYONE) / 4
    assert after.measure(LOW_WORTH) > after.measure(EVERYONE) / 2
    assert after.measure(LOW_WORTH) < after.measure(EVERYONE - LOW_WORTH)
    assert after.measure(EVERYONE) >= before.measure(EVERYONE)


@pytest.mark.parametrize(
    "load",
    [
        Load(herd=900, deadline_seconds=12.0, burst_factor=0.1),
        Load(herd=1200, deadline_seconds=20.0, burst_factor=0.5),
    ],
)
def test_callers_of_a_herd_come_back_when_there_is_room(compare, load):
    before, after = compare(load, has_shares=False)
    assert after.measure(EVERYONE) > before.measure(EVERYONE) + 0.15
    assert after.count_tries() < before.count_tries()
