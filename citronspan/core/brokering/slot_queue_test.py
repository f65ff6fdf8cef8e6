"""Tests of the order of waiting requests, with the queue before accounts as oracle."""

import math

import pytest
from hypothesis import given, settings, strategies as st
from sortedcontainers import SortedKeyList

from citronspan.core.brokering.account_shares import (
    MAXIMUM_ACCOUNTS,
    STARVED_MINIMUM_REQUESTS,
    AccountShares,
)
from citronspan.core.brokering.broker_messages import SlotRequest
from citronspan.core.brokering.slot_queue import SlotQueue
from citronspan.core.brokering.waiting_request import WaitingRequest


def make_waiting(number, *, account="", worth=1.0, deadline=4.0, goal=0.0, at=0.0):
    request = SlotRequest(
        attempt_id=number,
        service="s",
        region="r",
        shard=0,
        deadline_seconds=deadline,
        worth=worth,
        goal_seconds=goal,
        account=account,
    )
    return WaitingRequest(
        request=request,
        sender="e",
        sequence_number=number,
        received_at=at,
        hold_seconds=0.3,
    )


class OldQueue:
    """The queue as it was before there were accounts."""

    def __init__(self):
        self.requests = SortedKeyList(key=self._key)

    @staticmethod
    def _key(waiting):
        return (-waiting.request.worth, waiting.deadline_at, waiting.sequence_number)

    def find_displaced(self, waiting):
        if not self.requests:
            return None
        last = self.requests[-1]
        return last if last.request.worth < waiting.request.worth else None


WORTHS = st.sampled_from([0.5, 1.0, 2.0])
TIMES = st.floats(0.1, 5.0)


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(WORTHS, TIMES, TIMES, st.booleans()), max_size=40))
def test_order_without_accounts_is_as_before(steps):
    new, old = SlotQueue(), OldQueue()
    for number, (worth, deadline, goal, takes) in enumerate(steps):
        now = 0.1 * number
        new.advance(now)
        waiting = make_waiting(
            number, worth=worth, deadline=deadline, goal=goal, at=now
        )
        position = old.requests.bisect_key_left(old._key(waiting))
        assert new.find_queue_position(waiting) == position
        assert new.find_displaced(waiting) == old.find_displaced(waiting)
        new.add(waiting)
        old.requests.add(waiting)
        if takes:
            new.remove(old.requests.pop(0).request.attempt_id)
        assert list(new) == list(old.requests)
        assert new.find_first() == (old.requests[0] if old.requests else None)
        assert new.list_from_position(3) == list(old.requests.islice(3))


@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from("abc"), WORTHS, TIMES), min_size=1, max_size=30)
)
def test_order_holds_every_request_once_and_positions_fit(items):
    queue = SlotQueue()
    for number, (account, worth, deadline) in enumerate(items):
        waiting = make_waiting(number, account=account, worth=worth, deadline=deadline)
        position = queue.find_queue_position(waiting)
        queue.add(waiting)
        assert list(queue)[position] == waiting
    order = list(queue)
    assert len({waiting.request.attempt_id for waiting in order}) == len(items)
    worths = [waiting.request.worth for waiting in order]
    assert worths == sorted(worths, reverse=True)
    for number in range(len(items)):
        queue.remove(number)
    assert not list(queue) and queue.find_first() is None


def test_accounts_take_turns_by_weight():
    shares = AccountShares()
    shares.advance(0.0)
    shares.state_weight("large", 3.0)
    shares.state_weight("small", 1.0)
    queue = SlotQueue(shares)
    for number in range(40):
        account = "large" if number < 20 else "small"
        queue.add(make_waiting(number, account=account))
    first = [waiting.request.account for waiting in queue.list_from_position(0)[:16]]
    assert first.count("large") == pytest.approx(12, abs=1)


def test_account_that_holds_many_slots_goes_behind():
    shares = AccountShares()
    shares.advance(0.0)
    for _ in range(9):
        shares.charge("many", 0.3, is_contended=True)
    shares.charge("few", 0.3, is_contended=True)
    queue = SlotQueue(shares)
    queue.add(make_waiting(1, account="many", deadline=1.0))
    queue.add(make_waiting(2, account="few", deadline=4.0))
    assert queue.find_first().request.account == "few"
    for _ in range(9):
        shares.correct("many", -0.3)
    assert queue.find_first().request.account == "many"


def test_what_can_meet_its_goal_goes_first_within_an_account():
    queue = SlotQueue()
    queue.add(make_waiting(1, account="a", deadline=3.0, goal=1.0))
    queue.add(make_waiting(2, account="a", deadline=4.0, goal=2.0))
    queue.advance(0.5)
    assert queue.find_first().request.attempt_id == 1
    queue.advance(0.75)
    assert [waiting.request.attempt_id for waiting in queue] == [2, 1]
    queue.remove(1)
    queue.advance(9.0)
    queue.remove(2)
    assert len(queue) == 0


def test_full_queue_displaces_the_account_with_most_room():
    queue = SlotQueue()
    for number in range(8):
        queue.add(make_waiting(number, account="hot"))
    newcomer = make_waiting(8, account="calm")
    assert queue.find_displaced(newcomer).request.attempt_id == 7
    assert queue.find_displaced(make_waiting(9, account="hot")) is None
    assert queue.find_displaced(make_waiting(9, account="calm", worth=0.5)) is None
    queue.add(make_waiting(10, account="poor", worth=0.5))
    assert queue.find_displaced(newcomer).request.account == "poor"


def test_starved_account_goes_first_whatever_its_worth():
    shares = AccountShares()
    shares.advance(0.0)
    for _ in range(math.ceil(STARVED_MINIMUM_REQUESTS)):
        shares.record_result("rich", is_served=True)
        shares.record_result("poor", is_served=False)
    queue = SlotQueue(shares)
    queue.add(make_waiting(1, account="rich", worth=2.0))
    queue.add(make_waiting(2, account="poor", worth=1.0))
    queue.add(make_waiting(3, account="poor", worth=1.0))
    assert [waiting.request.attempt_id for waiting in queue] == [2, 1, 3]
    assert queue.find_displaced(make_waiting(4, account="poor", worth=0.5)) is None
    queue.remove(3)
    queue.remove(2)
    queue.add(make_waiting(5, account="rich", worth=2.0))
    queue.add(make_waiting(6, account="rich", worth=2.0))
    displaced = queue.find_displaced(make_waiting(4, account="poor", worth=0.5))
    assert displaced.request.attempt_id == 6


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 200)), max_size=60))
def test_order_of_usage_does_not_change_as_it_is_forgotten(charges):
    shares, now = AccountShares(), 0.0
    expected = {}
    for account, pause in charges:
        now += pause
        shares.advance(now)
        shares.charge(account, 0.3, is_contended=True)
        expected[account] = [*expected.get(account, ()), now]
    for account, times in expected.items():
        usage = sum(0.3 * math.exp((at - now) / 8.0) for at in times)
        assert shares.find_usage_seconds(account) == pytest.approx(usage, abs=1e-6)


def test_number_of_remembered_accounts_is_bounded():
    shares = AccountShares()
    shares.advance(0.0)
    for number in range(3 * MAXIMUM_ACCOUNTS):
        shares.state_weight(f"a{number}", 1.0)
        shares.charge(f"a{number}", 0.3, is_contended=False)
    assert len(shares) <= MAXIMUM_ACCOUNTS
    assert shares.find_weight("unknown") == pytest.approx(1.0)


def test_weight_is_learned_only_while_nothing_waits():
    shares = AccountShares()
    shares.advance(0.0)
    for _ in range(6):
        shares.charge("large", 0.3, is_contended=False)
    for _ in range(2):
        shares.charge("small", 0.3, is_contended=False)
    for _ in range(90):
        shares.charge("small", 0.3, is_contended=True)
    assert shares.find_weight("large") == pytest.approx(1.5)
    assert shares.find_weight("small") == 1.0
    shares.advance(3600.0 * 24 * 30)
    assert shares.find_usage_seconds("small") < 1e-9
