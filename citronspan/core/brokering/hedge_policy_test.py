"""Tests of the decisions on hedges, and replays of services with slow targets."""

import math
import random

import freezegun
import pytest

from citronspan.core import result_codes
from citronspan.core.brokering.broker_messages import SlotGrant, SlotRefusal
from citronspan.core.brokering.broker_test import (
    make_broker,
    make_release,
    make_request,
    make_target,
)
from citronspan.core.brokering.hedge_policy import HedgeLimits, HedgePolicy
from citronspan.core.detection.health import TargetLimit
from citronspan.core.outcomes import Outcome, OutcomeClass

SHARE = 0.05
LIMITS = HedgeLimits(share=SHARE, minimum_seconds=0.1)
TARGETS = tuple(make_target(f"t-{number}", slots=8) for number in range(20))
DEADLINE_SECONDS = 10.0


@pytest.fixture
def clock():
    with freezegun.freeze_time("2026-01-01") as frozen:
        yield frozen


def make_policy(limits=LIMITS):
    policy = HedgePolicy(find_limits=lambda: limits)
    policy.retain(TARGETS)
    return policy


def make_outcome(target, seconds, outcome_class=OutcomeClass.OK):
    return Outcome(
        target=target,
        outcome_class=outcome_class,
        latency_seconds=seconds,
        deadline_seconds=DEADLINE_SECONDS,
        request_kind="k",
    )


def observe(policy, target, seconds, outcome_class=OutcomeClass.OK):
    policy.observe(make_outcome(target, seconds, outcome_class))


def find_seconds(
    policy, *, target="t-0", goal_seconds=0.0, deadline_seconds=DEADLINE_SECONDS
):
    return policy.find_hedge_seconds(
        target, "k", goal_seconds=goal_seconds, deadline_seconds=deadline_seconds
    )


def warm_up(policy, seconds=0.2, answers=400):
    for number in range(answers):
        policy.count_request()
        spread = 0.5 + number * 7 % 100 / 100
        observe(policy, TARGETS[number % 20].name, seconds * spread)


def test_delay_is_a_high_quantile_and_not_below_the_operators_bound():
    policy = make_policy()
    warm_up(policy)
    assert find_seconds(policy) == pytest.approx(0.2 * 1.45, rel=0.05)
    policy = make_policy(HedgeLimits(share=SHARE, minimum_seconds=0.7))
    warm_up(policy)
    assert find_seconds(policy) == 0.7


def test_no_hedge_without_a_share_or_latencies_or_use_for_the_goal():
    policy = make_policy(HedgeLimits())
    warm_up(policy)
    assert find_seconds(policy) == 0.0
    policy = make_policy()
    assert find_seconds(policy) == 0.0
    warm_up(policy)
    assert find_seconds(policy, goal_seconds=1.0) > 0
    assert find_seconds(policy, goal_seconds=0.47) == pytest.approx(0.27, abs=0.01)
    assert find_seconds(policy, goal_seconds=0.4) == 0.0
    assert find_seconds(policy, deadline_seconds=0.4) == 0.0


def test_slow_target_does_not_move_the_delay_but_a_slow_service_does():
    policy = make_policy()
    warm_up(policy)
    before = find_seconds(policy)
    for _ in range(300):
        observe(policy, "t-3", 3.0)
    assert policy.list_late() == ("t-3",)
    assert find_seconds(policy) <= before * 1.1
    for _ in range(10):
        for target in TARGETS:
            observe(policy, target.name, 3.0)
    assert policy.is_in_common_trouble()
    assert find_seconds(policy) == 0.0
    for _ in range(15):
        for target in TARGETS:
            observe(policy, target.name, 3.0)
    assert policy._find_delay_seconds("k") >= 3.0


def test_ended_attempts_keep_the_slow_answers_in_the_quantile():
    policy = make_policy()
    warm_up(policy)
    before = find_seconds(policy)
    for number in range(500):
        target = TARGETS[number % 20].name
        is_slow = number % 18 == 0
        outcome_class = OutcomeClass.CANCELLED if is_slow else OutcomeClass.OK
        observe(policy, target, 0.5 if is_slow else 0.2, outcome_class)
    assert find_seconds(policy) >= before


def ask_hedge(broker, attempt_id, first, **fields):
    fields = {"is_retry": True, "has_other_region": True, **fields}
    request = make_request(
        attempt_id, is_hedge=True, excluded=(first,), request_kind="k", **fields
    )
    (sent,) = broker.handle("entry-1", request)
    return sent.message


def make_warm_broker(clock, share=SHARE, targets=3, slots=4):
    names = [f"t-{number}" for number in range(targets)]
    broker = make_broker(
        clock,
        *(make_target(name, slots=slots) for name in names),
        find_hedge_limits=lambda: HedgeLimits(share=share, minimum_seconds=0.1),
    )
    for number in range(100):
        request = make_request(1000 + number, request_kind="k")
        grant = broker.handle("entry-1", request)[0].message
        release = make_release(1000 + number, grant.target)
        broker.handle("entry-1", release)
    return broker


def test_grant_of_a_first_attempt_that_may_be_repeated_offers_a_hedge(clock):
    broker = make_warm_broker(clock)
    broker._hedge_policy._latency_by_kind["k"] = broker._hedge_policy._latency_by_kind[
        ""
    ]
    (first,) = broker.handle("e", make_request(1, request_kind="k"))
    (once,) = broker.handle("e", make_request(2, request_kind="k", idempotent=False))
    (retry,) = broker.handle("e", make_request(3, request_kind="k", is_retry=True))
    assert first.message.hedge_seconds == 0.1
    assert once.message.hedge_seconds == retry.message.hedge_seconds == 0.0


def test_hedge_goes_to_another_target_and_spends_what_was_earned(clock):
    broker = make_warm_broker(clock)
    (first,) = broker.handle("e", make_request(1, request_kind="k"))
    granted = 0
    for number in range(20):
        answer = ask_hedge(broker, 10 + number, first.message.target)
        if isinstance(answer, SlotGrant):
            granted += 1
            assert answer.target != first.message.target
            broker.handle("e", make_release(10 + number, answer.target))
            continue
        assert answer.code == result_codes.HEDGES_SPENT.number
    assert granted >= 3


def test_hedge_is_refused_while_all_other_targets_may_fail(clock):
    broker = make_warm_broker(clock)
    for name, probability in (("t-0", 0.0), ("t-1", 0.4), ("t-2", 0.2)):
        broker.health.limit_by_target[name] = TargetLimit(
            target=name, slots=4, failure_probability=probability, never_used=True
        )
    assert ask_hedge(broker, 1, "t-0").target == "t-2"
    answer = ask_hedge(broker, 2, "t-2")
    assert answer.target == "t-0"
    broker.health.limit_by_target["t-2"] = broker.health.limit_by_target["t-1"]
    assert ask_hedge(broker, 3, "t-0").code == result_codes.NO_CAPACITY.number


@pytest.mark.parametrize(
    "fields", [{"idempotent": False}, {"from_region": "elsewhere"}]
)
def test_hedge_that_may_not_run_is_refused(clock, fields):
    broker = make_warm_broker(clock)
    answer = ask_hedge(broker, 1, "t-0", **fields)
    assert answer.code == result_codes.NO_CAPACITY.number


def test_hedge_is_refused_and_not_queued_while_few_slots_are_free(clock):
    broker = make_warm_broker(clock)
    for number in range(10):
        broker.handle("e", make_request(1 + number, request_kind="k"))
    answer = ask_hedge(broker, 20, "t-0")
    assert isinstance(answer, SlotRefusal)
    assert answer.code == result_codes.NO_CAPACITY.number
    (sent,) = broker.handle("e", make_request(30, request_kind="k"))
    assert sent.message.hedge_seconds == 0.0


def test_broker_without_a_share_refuses_a_hedge(clock):
    broker = make_warm_broker(clock, share=0.0)
    assert ask_hedge(broker, 1, "t-0").code == result_codes.HEDGES_SPENT.number


class Replay:
    """A service of 20 targets, one of which may be slow, with and without hedges.

    Attributes:
        latencies: Seconds until the answer of each request.
        extra: Number of hedges sent.
    """

    def __init__(self, *, share, slow_targets, seed=1):
        self._random = random.Random(seed)
        self._slow_targets = slow_targets
        limits = HedgeLimits(share=share, minimum_seconds=0.1)
        self._policy = make_policy(limits)
        self.latencies = []
        self.extra = 0

    def run(self, requests, slow_factor):
        for _ in range(requests):
            self._policy.count_request()
            first, second = self._random.sample(range(20), 2)
            seconds = self._draw_seconds(first, slow_factor)
            delay = find_seconds(self._policy, target=TARGETS[first].name)
            self.latencies.append(
                self._race(first, second, seconds, delay, slow_factor)
            )

    def _race(self, first, second, seconds, delay, slow_factor):
        policy = self._policy
        names = TARGETS[first].name, TARGETS[second].name
        if not delay or seconds <= delay:
            observe(policy, names[0], seconds)
            return seconds
        policy.record_late(names[0])
        if policy.is_in_common_trouble() or policy.is_late(names[1]):
            observe(policy, names[0], seconds)
            return seconds
        policy.budget.count_hedge()
        self.extra += 1
        hedged = delay + self._draw_seconds(second, slow_factor)
        if hedged < seconds:
            observe(policy, names[0], hedged, OutcomeClass.CANCELLED)
            observe(policy, names[1], hedged - delay)
            policy.observe_hedge(names[0], make_outcome(names[1], 0.0))
            return hedged
        observe(policy, names[0], seconds)
        lost = make_outcome(names[1], seconds - delay, OutcomeClass.CANCELLED)
        policy.observe(lost)
        policy.observe_hedge(names[0], lost)
        return seconds

    def _draw_seconds(self, target, slow_factor):
        seconds = 0.05 * math.exp(self._random.gauss(0.0, 0.4))
        return seconds * slow_factor if target < self._slow_targets else seconds

    def find_quantile(self, share):
        return sorted(self.latencies)[math.floor(len(self.latencies) * share)]


def replay(share, slow_targets, *, slow_factor=20.0):
    run = Replay(share=share, slow_targets=slow_targets)
    run.run(2000, 1.0)
    run.latencies.clear()
    run.extra = 0
    run.run(20_000, slow_factor)
    return run


def test_replay_of_one_slow_target_among_twenty():
    plain, hedged = replay(0.0, 1), replay(0.06, 1)
    assert plain.extra == 0
    assert plain.find_quantile(0.99) > 0.9
    assert hedged.find_quantile(0.99) < 0.5 * plain.find_quantile(0.99)
    assert hedged.find_quantile(0.999) < 0.7 * plain.find_quantile(0.999)
    assert hedged.extra <= 0.06 * 20_000 + 5


def test_replay_of_a_slow_service_sends_hardly_any_extra_work():
    plain, hedged = replay(0.0, 20), replay(SHARE, 20)
    assert hedged.find_quantile(0.99) <= 1.1 * plain.find_quantile(0.99)
    assert hedged.extra <= SHARE * 20_000 + 5
    print(hedged.extra)
