"""The rules of a broker, one by one."""

from dataclasses import dataclass, field

import freezegun
import pytest

from citronspan.core import result_codes
from citronspan.core.broker import (
    MINIMUM_RETRY_AFTER_SECONDS,
    RETRY_AFTER_JITTER,
    Broker,
)
from citronspan.core.broker_messages import (
    BrokerHandover,
    HandoverGrant,
    SlotCancel,
    SlotGrant,
    SlotRedirect,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWaiting,
)
from citronspan.core.health import TargetInfo, TargetLimit
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.retry_window import RATIO_SHARE, SLACK_SHARE, RetryWindow
from citronspan.core.shards import ShardKey

KEY = ShardKey(service="shop", region="svea", number=0)


@dataclass
class FakeHealth:
    limit_by_target: dict = field(default_factory=dict)
    observed: list = field(default_factory=list)
    trials: list = field(default_factory=list)

    def set_targets(self, targets):
        for target in targets:
            limit = TargetLimit(target=target.name, slots=target.slots)
            self.limit_by_target.setdefault(target.name, limit)

    def observe(self, outcome):
        self.observed.append(outcome)

    def find_limits(self):
        return self.limit_by_target

    def find_overdue_seconds(self, kind):
        return float("inf")

    def record_trial(self, target):
        self.trials.append(target)

    def set_limit(self, target, slots, *, trial=False):
        limit = TargetLimit(target=target, slots=slots, trial=trial)
        self.limit_by_target[target] = limit


def make_target(name, *, slots=2, leaving=False):
    return TargetInfo(
        name=name,
        address="127.0.2.1:9000",
        region=KEY.region,
        data_centre="svea-1",
        slots=slots,
        leaving=leaving,
    )


def make_request(attempt_id, **fields):
    fields = {"deadline_seconds": 2.0, "idempotent": True, **fields}
    return SlotRequest(
        attempt_id=attempt_id, service="shop", region="svea", shard=0, **fields
    )


def make_release(attempt_id, target, outcome_class=OutcomeClass.OK, load=-1):
    outcome = Outcome(
        target=target,
        outcome_class=outcome_class,
        latency_seconds=0.05,
        deadline_seconds=2.0,
        load=load,
    )
    return SlotRelease(
        attempt_id=attempt_id, service="shop", region="svea", shard=0, outcome=outcome
    )


def make_cancel(attempt_id):
    return SlotCancel(attempt_id=attempt_id, service="shop", region="svea", shard=0)


@pytest.fixture
def clock():
    with freezegun.freeze_time("2026-01-01") as frozen:
        yield frozen


def make_broker(clock, *targets, health=None, **fields):
    """Make a broker that has served long enough to know all use."""
    broker = Broker(key=KEY, health=health or FakeHealth(), targets=targets, **fields)
    clock.tick(1.0)
    broker.advance()
    return broker


def ask(broker, attempt_id, **fields):
    outgoing = broker.handle("entry-1", make_request(attempt_id, **fields))
    return [item.message for item in outgoing]


def test_slots_are_granted_then_requests_wait_and_are_served_on_release(clock):
    broker = make_broker(clock, make_target("a", slots=1))
    (grant,) = ask(broker, 1)
    assert grant.target == "a"
    assert ask(broker, 2) == [SlotWaiting(attempt_id=2)]
    (sent,) = broker.handle("entry-1", make_release(1, "a"))
    assert sent.message.attempt_id == 2
    assert isinstance(sent.message, SlotGrant)


def test_a_duplicate_gets_the_same_grant_and_no_second_slot(clock):
    broker = make_broker(clock, make_target("a"))
    assert ask(broker, 1) == ask(broker, 1)
    assert broker.describe().granted_by_target == {"a": 1}


def test_a_cancelled_attempt_is_not_granted_when_its_request_comes_late(clock):
    broker = make_broker(clock, make_target("a"))
    broker.handle("entry-1", make_cancel(1))
    (refusal,) = ask(broker, 1)
    assert refusal.code == result_codes.ATTEMPT_CANCELLED.number


def test_more_worth_displaces_the_least_worthy_at_once(clock):
    broker = make_broker(clock, make_target("a", slots=1))
    ask(broker, 1)
    for attempt_id in range(2, 10):
        assert ask(broker, attempt_id, worth=1.0) == [
            SlotWaiting(attempt_id=attempt_id)
        ]
    refusal, waiting = ask(broker, 10, worth=5.0)
    assert waiting == SlotWaiting(attempt_id=10)
    assert (refusal.attempt_id, refusal.code) == (9, result_codes.OVERLOADED.number)
    least = MINIMUM_RETRY_AFTER_SECONDS
    assert least <= refusal.retry_after_seconds <= least * (1 + RETRY_AFTER_JITTER)
    (refusal,) = ask(broker, 11, worth=1.0)
    assert (refusal.attempt_id, refusal.code) == (11, result_codes.OVERLOADED.number)


def test_a_wait_that_the_deadline_does_not_allow_is_refused_at_once(clock):
    broker = make_broker(clock, make_target("a", slots=1))
    ask(broker, 1)
    clock.tick(1.0)
    broker.handle("entry-1", make_release(1, "a"))
    ask(broker, 2)
    (refusal,) = ask(broker, 3, deadline_seconds=1.5)
    assert refusal.code == result_codes.DEADLINE_TOO_SHORT.number
    assert ask(broker, 4, deadline_seconds=2.5) == [SlotWaiting(attempt_id=4)]


def test_a_lost_release_is_made_up_for_after_the_deadline(clock):
    broker = make_broker(clock, make_target("a", slots=1))
    ask(broker, 1, deadline_seconds=1.0)
    ask(broker, 2, deadline_seconds=30.0)
    clock.tick(1.4)
    assert broker.advance() == []
    clock.tick(0.4)
    (sent,) = broker.advance()
    assert sent.message.attempt_id == 2
    assert broker.describe().reclaimed == 1


def test_a_leaving_target_gets_no_grant_although_it_is_free(clock):
    broker = make_broker(clock, make_target("a"))
    broker.set_targets((make_target("a", leaving=True),))
    (refusal,) = ask(broker, 1)
    assert refusal.code == result_codes.NO_CAPACITY.number


def test_a_target_that_answers_draining_gets_no_grant(clock):
    broker = make_broker(clock, make_target("a"))
    ask(broker, 1)
    broker.handle("entry-1", make_release(1, "a", OutcomeClass.DRAINING))
    (refusal,) = ask(broker, 2)
    assert refusal.code == result_codes.NO_CAPACITY.number


def test_a_target_that_shed_is_left_alone_for_a_short_time(clock):
    broker = make_broker(clock, make_target("a"), make_target("b"))
    target = ask(broker, 1)[0].target
    broker.handle("entry-1", make_release(1, target, OutcomeClass.SHED))
    granted = {ask(broker, attempt_id)[0].target for attempt_id in (2, 3)}
    assert target not in granted


def test_a_new_broker_learns_use_by_others_from_load_reports(clock):
    broker = Broker(key=KEY, health=FakeHealth(), targets=(make_target("a", slots=6),))
    ask(broker, 1)
    assert ask(broker, 2) == [SlotWaiting(attempt_id=2)]
    (sent,) = broker.handle("entry-1", make_release(1, "a", load=5))
    assert sent.message.attempt_id == 2
    # Four of the six slots are used by others, so that one is left beside this one.
    assert len(ask(broker, 3)) == 1
    assert ask(broker, 4) == [SlotWaiting(attempt_id=4)]


def test_a_trial_takes_one_idempotent_request_at_a_time(clock):
    health = FakeHealth()
    health.set_limit("a", 3, trial=True)
    broker = make_broker(clock, make_target("a"), make_target("b"), health=health)
    assert ask(broker, 1, idempotent=False)[0].target == "b"
    assert ask(broker, 2)[0].trial
    assert not ask(broker, 3)[0].trial
    assert health.trials == ["a"]


def test_a_request_that_must_not_run_twice_avoids_a_doubtful_target(clock):
    health = FakeHealth()
    health.set_limit("a", 5)
    broker = make_broker(
        clock, make_target("a", slots=6), make_target("b"), health=health
    )
    assert ask(broker, 1, idempotent=False)[0].target == "b"
    assert ask(broker, 2, idempotent=False)[0].target == "b"
    assert ask(broker, 3, idempotent=False)[0].target == "a"


def test_a_handover_passes_grants_and_redirects_who_waits(clock):
    old = make_broker(clock, make_target("a"))
    for attempt_id in (1, 2, 3):
        ask(old, attempt_id)
    handover, redirect = old.hand_over("entry-9")
    assert isinstance(handover.message, BrokerHandover)
    assert redirect.message == SlotRedirect(attempt_id=3, broker="entry-9")
    new = Broker(key=KEY, health=FakeHealth(), targets=(make_target("a"),))
    new.handle("entry-1", handover.message)
    assert ask(new, 3) == [SlotWaiting(attempt_id=3)]
    (forwarded,) = old.handle("entry-1", make_release(1, "a"))
    assert forwarded.to == "entry-9"
    (sent,) = new.handle("old", forwarded.message)
    assert sent.message.attempt_id == 3
    assert new.describe().granted_by_target == {"a": 2}


def test_a_request_of_another_region_spends_the_link_budget(clock):
    broker = make_broker(clock, make_target("a"), link_bytes_per_second=1000)
    (refusal,) = ask(broker, 1, from_region="gota", body_bytes=1001)
    assert refusal.code == result_codes.LINK_BUDGET_SPENT.number
    assert isinstance(ask(broker, 2, from_region="gota", body_bytes=800)[0], SlotGrant)


def test_a_refusal_is_repeated_for_a_duplicate(clock):
    broker = make_broker(clock)
    (first,) = ask(broker, 1)
    assert isinstance(first, SlotRefusal)
    assert ask(broker, 1) == [first]


@pytest.mark.parametrize(
    "fields",
    [
        {"deadline_seconds": float("nan")},
        {"deadline_seconds": float("inf")},
        {"deadline_seconds": -1.0},
        {"worth": float("nan")},
        {"worth": -1.0},
    ],
)
def test_numbers_that_make_no_sense_are_refused_and_lose_nothing(clock, fields):
    broker = make_broker(clock, make_target("a", slots=1))
    (refusal,) = ask(broker, 1, **fields)
    assert isinstance(refusal, SlotRefusal)
    assert broker.describe().granted_by_target == {"a": 0}
    assert isinstance(ask(broker, 2)[0], SlotGrant)


def test_a_handover_with_impossible_times_is_passed_over(clock):
    broker = make_broker(clock, make_target("a"))
    held = [
        HandoverGrant(
            attempt_id=number,
            target="a",
            request_kind="",
            held_seconds=0.0,
            lease_seconds=seconds,
        )
        for number, seconds in enumerate([float("nan"), float("inf"), -1.0, 1.0])
    ]
    handover = BrokerHandover(service="shop", region="svea", shard=0, grants=held)
    broker.handle("entry-9", handover)
    assert broker.describe().granted_by_target == {"a": 1}


def make_retries(ratio=0.5, slack=0.0):
    return RetryWindow(
        ratio=ratio / RATIO_SHARE, slack=slack / SLACK_SHARE, window_seconds=10.0
    )


def test_a_request_that_is_asked_for_three_times_counts_once_for_the_retries(clock):
    target = make_target("a", slots=8)
    broker = make_broker(clock, target, retries=make_retries(ratio=0.5))
    ask(broker, 1)
    ask(broker, 2, asked_before=True)
    ask(broker, 3, asked_before=True)
    (refusal,) = ask(broker, 4, is_retry=True)
    assert refusal.code == result_codes.RETRIES_SPENT.number
    ask(broker, 5)
    (grant,) = ask(broker, 6, is_retry=True)
    assert isinstance(grant, SlotGrant)


def test_a_retry_that_gets_no_slot_spends_nothing(clock):
    broker = make_broker(clock, make_target("a"), retries=make_retries(slack=1.0))
    for attempt_id in range(1, 4):
        (refusal,) = ask(broker, attempt_id, is_retry=True, excluded=("a",))
        assert refusal.code == result_codes.NO_CAPACITY.number
    (grant,) = ask(broker, 4, is_retry=True)
    assert isinstance(grant, SlotGrant)
    (refusal,) = ask(broker, 5, is_retry=True)
    assert refusal.code == result_codes.RETRIES_SPENT.number


def test_retries_that_wait_are_granted_only_within_the_window(clock):
    target = make_target("a", slots=1)
    broker = make_broker(clock, target, retries=make_retries(slack=1.0))
    ask(broker, 1)
    assert ask(broker, 2, is_retry=True) == [SlotWaiting(attempt_id=2)]
    assert ask(broker, 3, is_retry=True) == [SlotWaiting(attempt_id=3)]
    broker.handle("entry-1", make_release(1, "a"))
    sent = broker.handle("entry-1", make_release(2, "a"))
    assert [item.message.code for item in sent] == [result_codes.RETRIES_SPENT.number]
