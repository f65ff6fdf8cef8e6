"""Tests of single rules of a broker."""

import dataclasses
from dataclasses import dataclass, field

import freezegun
import msgspec
import pytest

from citronspan.core import result_codes
from citronspan.core.brokering.broker import Broker
from citronspan.core.brokering.broker_messages import (
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
from citronspan.core.brokering.retry_window import RATIO_SHARE, SLACK_SHARE, RetryWindow
from citronspan.core.brokering.shards import ShardKey
from citronspan.core.brokering.wait_estimates import (
    MINIMUM_RETRY_AFTER_SECONDS,
    RETRY_AFTER_JITTER,
)
from citronspan.core.detection.health import TargetInfo, TargetLimit
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.rate_limits import RateLimit

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

    def find_attempt_seconds(self, target, kind, *, goal_seconds, deadline_seconds):
        return 0.0

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


def make_cancel(attempt_id, **fields):
    return SlotCancel(
        attempt_id=attempt_id, service="shop", region="svea", shard=0, **fields
    )


@pytest.fixture
def clock():
    with freezegun.freeze_time("2026-01-01") as frozen:
        yield frozen


def make_broker(clock, *targets, health=None, **fields):
    """Make a broker whose usage ramp is over, so that all slots are usable."""
    broker = Broker(key=KEY, health=health or FakeHealth(), targets=targets, **fields)
    clock.tick(1.0)
    broker.advance()
    return broker


def request_slot(broker, attempt_id, **fields):
    outgoing = broker.handle("entry-1", make_request(attempt_id, **fields))
    return [item.message for item in outgoing]


def test_release_grants_slot_to_queued_request(clock):
    broker = make_broker(clock, make_target("a", slots=1))
    (grant,) = request_slot(broker, 1)
    assert grant.target == "a"
    assert request_slot(broker, 2) == [SlotWaiting(attempt_id=2)]
    (sent,) = broker.handle("entry-1", make_release(1, "a"))
    assert sent.message.attempt_id == 2
    assert isinstance(sent.message, SlotGrant)


def test_duplicate_request_gets_same_grant_without_second_slot(clock):
    broker = make_broker(clock, make_target("a"))
    assert request_slot(broker, 1) == request_slot(broker, 1)
    assert broker.describe().granted_by_target == {"a": 1}


def test_request_that_arrives_after_its_cancel_is_refused(clock):
    broker = make_broker(clock, make_target("a"))
    broker.handle("entry-1", make_cancel(1))
    (refusal,) = request_slot(broker, 1)
    assert refusal.code == result_codes.ATTEMPT_CANCELLED.number


def test_request_of_higher_worth_displaces_last_of_full_queue(clock):
    broker = make_broker(clock, make_target("a", slots=1))
    request_slot(broker, 1)
    for attempt_id in range(2, 10):
        assert request_slot(broker, attempt_id, worth=1.0) == [
            SlotWaiting(attempt_id=attempt_id)
        ]
    refusal, waiting = request_slot(broker, 10, worth=5.0)
    assert waiting == SlotWaiting(attempt_id=10)
    assert (refusal.attempt_id, refusal.code) == (9, result_codes.OVERLOADED.number)
    minimum_seconds = MINIMUM_RETRY_AFTER_SECONDS
    assert (
        minimum_seconds
        <= refusal.retry_after_seconds
        <= minimum_seconds * (1 + RETRY_AFTER_JITTER)
    )
    (refusal,) = request_slot(broker, 11, worth=1.0)
    assert (refusal.attempt_id, refusal.code) == (11, result_codes.OVERLOADED.number)


def test_request_is_refused_at_once_if_wait_exceeds_deadline(clock):
    broker = make_broker(clock, make_target("a", slots=1))
    request_slot(broker, 1)
    clock.tick(1.0)
    broker.handle("entry-1", make_release(1, "a"))
    request_slot(broker, 2)
    (refusal,) = request_slot(broker, 3, deadline_seconds=1.5)
    assert refusal.code == result_codes.DEADLINE_TOO_SHORT.number
    assert request_slot(broker, 4, deadline_seconds=2.5) == [SlotWaiting(attempt_id=4)]


def test_lease_expiry_frees_slot_after_lost_release(clock):
    broker = make_broker(clock, make_target("a", slots=1))
    request_slot(broker, 1, deadline_seconds=1.0)
    request_slot(broker, 2, deadline_seconds=30.0)
    clock.tick(1.4)
    assert broker.advance() == []
    clock.tick(0.4)
    (sent,) = broker.advance()
    assert sent.message.attempt_id == 2
    assert broker.describe().reclaimed == 1


def test_leaving_target_with_free_slots_gets_no_grant(clock):
    broker = make_broker(clock, make_target("a"))
    broker.set_targets((make_target("a", leaving=True),))
    (refusal,) = request_slot(broker, 1)
    assert refusal.code == result_codes.NO_CAPACITY.number


def test_draining_answer_stops_grants_to_target(clock):
    broker = make_broker(clock, make_target("a"))
    request_slot(broker, 1)
    broker.handle("entry-1", make_release(1, "a", OutcomeClass.DRAINING))
    (refusal,) = request_slot(broker, 2)
    assert refusal.code == result_codes.NO_CAPACITY.number


def test_shed_answer_stops_grants_to_target(clock):
    broker = make_broker(clock, make_target("a"), make_target("b"))
    target = request_slot(broker, 1)[0].target
    broker.handle("entry-1", make_release(1, target, OutcomeClass.SHED))
    granted = {request_slot(broker, attempt_id)[0].target for attempt_id in (2, 3)}
    assert target not in granted


def test_new_broker_infers_external_usage_from_load_reports(clock):
    broker = Broker(key=KEY, health=FakeHealth(), targets=(make_target("a", slots=6),))
    request_slot(broker, 1)
    assert request_slot(broker, 2) == [SlotWaiting(attempt_id=2)]
    (sent,) = broker.handle("entry-1", make_release(1, "a", load=5))
    assert sent.message.attempt_id == 2
    # External usage is four of the six slots, so one is left beside this grant.
    assert len(request_slot(broker, 3)) == 1
    assert request_slot(broker, 4) == [SlotWaiting(attempt_id=4)]


def test_trial_target_gets_one_idempotent_request_at_a_time(clock):
    health = FakeHealth()
    health.set_limit("a", 3, trial=True)
    broker = make_broker(clock, make_target("a"), make_target("b"), health=health)
    assert request_slot(broker, 1, idempotent=False)[0].target == "b"
    assert request_slot(broker, 2)[0].trial
    assert not request_slot(broker, 3)[0].trial
    assert health.trials == ["a"]


def test_non_idempotent_request_prefers_target_without_reduced_limit(clock):
    health = FakeHealth()
    health.set_limit("a", 5)
    broker = make_broker(
        clock, make_target("a", slots=6), make_target("b"), health=health
    )
    assert request_slot(broker, 1, idempotent=False)[0].target == "b"
    assert request_slot(broker, 2, idempotent=False)[0].target == "b"
    assert request_slot(broker, 3, idempotent=False)[0].target == "a"


def test_handover_exports_grants_and_redirects_queued_requests(clock):
    old = make_broker(clock, make_target("a"))
    for attempt_id in (1, 2, 3):
        request_slot(old, attempt_id)
    handover, redirect = old.hand_over("entry-9")
    assert isinstance(handover.message, BrokerHandover)
    assert redirect.message == SlotRedirect(attempt_id=3, broker="entry-9")
    new = Broker(key=KEY, health=FakeHealth(), targets=(make_target("a"),))
    new.handle("entry-1", handover.message)
    assert request_slot(new, 3) == [SlotWaiting(attempt_id=3)]
    (forwarded,) = old.handle("entry-1", make_release(1, "a"))
    assert forwarded.to == "entry-9"
    (sent,) = new.handle("old", forwarded.message)
    assert sent.message.attempt_id == 3
    assert new.describe().granted_by_target == {"a": 2}


def test_request_from_other_region_spends_link_budget(clock):
    broker = make_broker(clock, make_target("a"), link_bytes_per_second=1000)
    (refusal,) = request_slot(broker, 1, from_region="gota", body_bytes=1001)
    assert refusal.code == result_codes.LINK_BUDGET_SPENT.number
    assert isinstance(
        request_slot(broker, 2, from_region="gota", body_bytes=800)[0], SlotGrant
    )


def test_duplicate_request_gets_same_refusal(clock):
    broker = make_broker(clock)
    (first,) = request_slot(broker, 1)
    assert isinstance(first, SlotRefusal)
    assert request_slot(broker, 1) == [first]


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
def test_request_with_invalid_number_is_refused_without_using_slot(clock, fields):
    broker = make_broker(clock, make_target("a", slots=1))
    (refusal,) = request_slot(broker, 1, **fields)
    assert isinstance(refusal, SlotRefusal)
    assert broker.describe().granted_by_target == {"a": 0}
    assert isinstance(request_slot(broker, 2)[0], SlotGrant)


def test_handover_grants_with_invalid_lease_are_ignored(clock):
    broker = make_broker(clock, make_target("a"))
    grants = [
        HandoverGrant(
            attempt_id=number,
            target="a",
            request_kind="",
            held_seconds=0.0,
            lease_seconds=seconds,
        )
        for number, seconds in enumerate([float("nan"), float("inf"), -1.0, 1.0])
    ]
    handover = BrokerHandover(service="shop", region="svea", shard=0, grants=grants)
    broker.handle("entry-9", handover)
    assert broker.describe().granted_by_target == {"a": 1}


def make_retry_window(clock, ratio=0.5, slack=0.0):
    """Return a window that is old enough to have its slack."""
    window = RetryWindow(
        ratio=ratio / RATIO_SHARE,
        slack=slack / SLACK_SHARE,
        window_seconds=10.0,
        count_possible_brokers=lambda: 20,
    )
    clock.tick(10.0)
    return window


def test_repeated_slot_requests_count_once_in_retry_window(clock):
    target = make_target("a", slots=8)
    broker = make_broker(
        clock, target, retry_window=make_retry_window(clock, ratio=0.5)
    )
    request_slot(broker, 1)
    request_slot(broker, 2, asked_before=True)
    request_slot(broker, 3, asked_before=True)
    (refusal,) = request_slot(broker, 4, is_retry=True)
    assert refusal.code == result_codes.RETRIES_SPENT.number
    request_slot(broker, 5)
    (grant,) = request_slot(broker, 6, is_retry=True)
    assert isinstance(grant, SlotGrant)


def test_refused_retry_spends_no_retry(clock):
    broker = make_broker(
        clock, make_target("a"), retry_window=make_retry_window(clock, slack=1.0)
    )
    for attempt_id in range(1, 4):
        (refusal,) = request_slot(broker, attempt_id, is_retry=True, excluded=("a",))
        assert refusal.code == result_codes.NO_CAPACITY.number
    (grant,) = request_slot(broker, 4, is_retry=True)
    assert isinstance(grant, SlotGrant)
    (refusal,) = request_slot(broker, 5, is_retry=True)
    assert refusal.code == result_codes.RETRIES_SPENT.number


def test_queued_retries_are_granted_only_within_retry_window(clock):
    target = make_target("a", slots=1)
    broker = make_broker(
        clock, target, retry_window=make_retry_window(clock, slack=1.0)
    )
    request_slot(broker, 1)
    assert request_slot(broker, 2, is_retry=True) == [SlotWaiting(attempt_id=2)]
    assert request_slot(broker, 3, is_retry=True) == [SlotWaiting(attempt_id=3)]
    broker.handle("entry-1", make_release(1, "a"))
    sent = broker.handle("entry-1", make_release(2, "a"))
    assert [item.message.code for item in sent] == [result_codes.RETRIES_SPENT.number]


def test_requests_beyond_the_rate_limits_of_all_targets_are_refused_at_once(clock):
    broker = make_broker(clock, make_target("a", slots=6), make_target("b", slots=6))
    for attempt_id in range(1000, 1050):
        (grant,) = request_slot(broker, attempt_id)
        clock.tick(0.5)
        broker.handle("e", make_release(attempt_id, grant.target))
    rate_limit = RateLimit(requests_per_second=2.0)
    answers = []
    for attempt_id in range(20):
        answers += request_slot(
            broker, attempt_id, rate_limits={"a": rate_limit, "b": rate_limit}
        )
    # 4 requests a second take 0.5 s each; the deadline is in 2 s.
    assert sum(isinstance(answer, SlotRefusal) for answer in answers) >= 12


def tell(release, **notice):
    """Add what a target said of itself to the release of a slot."""
    return msgspec.structs.replace(
        release, outcome=msgspec.structs.replace(release.outcome, **notice)
    )


def set_failure_probabilities(health, *names):
    for name in names:
        health.limit_by_target[name] = TargetLimit(
            target=name, slots=2, failure_probability=0.0
        )


@pytest.mark.parametrize("has_failure_probabilities", [False, True])
def test_target_that_told_one_host_that_it_leaves_is_granted_first(
    clock, has_failure_probabilities
):
    health = FakeHealth()
    leaving = make_target("a")
    broker = make_broker(clock, leaving, make_target("b"), health=health)
    if has_failure_probabilities:
        set_failure_probabilities(health, "a", "b")
    told = tell(make_release(100, "a"), leaving_incarnation=leaving.incarnation)
    broker.handle("entry-2", told)
    granted = [request_slot(broker, number)[0].target for number in range(4)]
    # The claim of one host doesn't empty the service on the others.
    assert granted == ["b", "b", "a", "a"]


def test_target_stays_the_last_choice_after_its_restart(clock):
    leaving, other = make_target("a"), make_target("b")
    broker = make_broker(clock, leaving, other)
    told = tell(make_release(100, "a"), leaving_incarnation=leaving.incarnation)
    broker.handle("entry-2", told)
    broker.set_targets((dataclasses.replace(leaving, incarnation=2), other))
    granted = {request_slot(broker, number)[0].target for number in range(2)}
    assert granted == {"a", "b"}


def test_request_waits_for_a_target_that_pauses_for_its_host(clock):
    broker = make_broker(clock, make_target("a", slots=1))
    (grant,) = request_slot(broker, 1)
    request_slot(broker, 2)
    broker.handle("entry-2", make_request(3))
    release = make_release(grant.attempt_id, "a", OutcomeClass.TARGET_ERROR)
    sent = broker.handle("entry-1", tell(release, pause_seconds=4.0))
    answers = {item.message.attempt_id: item.message for item in sent}
    assert answers[2].code == result_codes.NO_CAPACITY.number
    # The target takes requests of other hosts.
    assert isinstance(answers[3], SlotGrant)


class LandedOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """An outcome as hosts know it that run the build before the notices."""

    target: str
    outcome_class: OutcomeClass
    latency_seconds: float
    deadline_seconds: float
    request_kind: str = ""
    fingerprint: int = 0
    load: int = -1
    rate_limit: RateLimit | None = None


def test_outcome_is_unreadable_for_a_host_with_another_build():
    known = {
        "target": "a",
        "outcome_class": OutcomeClass.OK,
        "latency_seconds": 0.1,
        "deadline_seconds": 2.0,
        "rate_limit": RateLimit(requests_per_second=2.0),
    }
    outcome = Outcome(**known, leaving_incarnation=7, pause_seconds=4.0)
    for codec in (msgspec.msgpack, msgspec.json):
        landed = codec.decode(codec.encode(outcome), type=LandedOutcome)
        assert landed == LandedOutcome(**known)
        decoded = codec.decode(codec.encode(landed), type=Outcome)
        assert decoded == Outcome(**known)
        assert codec.decode(codec.encode(outcome), type=Outcome) == outcome
