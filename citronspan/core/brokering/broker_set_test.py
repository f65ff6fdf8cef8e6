"""Tests of broker sets of several entries: routing, handover, conflicting views."""

import freezegun
import pytest

from citronspan.core.brokering.broker_messages import (
    BrokerHandover,
    SlotGrant,
    SlotRedirect,
    SlotRefusal,
    SlotWaiting,
)
from citronspan.core.brokering.broker_set import BrokerSet
from citronspan.core.brokering.broker_test import (
    KEY,
    FakeHealth,
    make_release,
    make_request,
    make_target,
)
from citronspan.core.brokering.shards_test import make_node
from citronspan.core.detection.verdicts import Verdict
from citronspan.core.message_base import Outgoing
from citronspan.core.messages import Envelope, decode_envelope, encode_envelope
from citronspan.core.resources import Detection, ServiceSpec
from citronspan.core.result_codes import LINK_BUDGET_SPENT, RETRIES_SPENT
from citronspan.utils.rendezvous import rank_members

VERDICT = Verdict(
    target="a",
    address="127.0.2.1:9000",
    issuer="n-1",
    issuer_incarnation=1,
    sequence=1,
    state="ejected",
    evidence=5.0,
)
FIRST, SECOND = rank_members(["n-1", "n-2"], KEY.format())


@pytest.fixture
def clock():
    with freezegun.freeze_time("2026-01-01") as frozen:
        yield frozen


class PortableFakeHealth(FakeHealth):
    imported = None

    def issue_verdicts(self):
        return (VERDICT,)

    def import_verdicts(self, table):
        self.imported = [timed.verdict for timed in table.verdict_by_key.values()]


def make_broker_set(name, *, nodes=("n-1", "n-2"), slots=2):
    brokers = BrokerSet(
        address=f"{name}:2", make_health=lambda key, spec: PortableFakeHealth()
    )
    brokers.set_service("shop", ServiceSpec(), [make_target("a", slots=slots)])
    brokers.set_nodes(make_node(node) for node in nodes)
    return brokers


def get_messages(outgoing):
    return [item.message for item in outgoing]


def test_non_broker_redirects_request_unless_forced(clock):
    brokers = make_broker_set(SECOND)
    (answer,) = get_messages(brokers.handle("entry", make_request(1)))
    assert answer == SlotRedirect(attempt_id=1, broker=f"{FIRST}:2")
    (answer,) = get_messages(brokers.handle("entry", make_request(1, force=True)))
    assert isinstance(answer, SlotGrant)


def test_request_for_unknown_shard_is_refused(clock):
    brokers = make_broker_set(FIRST)
    brokers.remove_service("shop")
    (answer,) = get_messages(brokers.handle("entry", make_request(1)))
    assert isinstance(answer, SlotRefusal)


def test_draining_broker_hands_over_and_forwards_releases(clock):
    old = make_broker_set(FIRST)
    new = make_broker_set(SECOND)
    old.handle("entry", make_request(1))
    clock.tick(1)
    for attempt_id in (2, 3):
        old.handle("entry", make_request(attempt_id))
    view = [make_node(FIRST, state="draining"), make_node(SECOND)]
    outgoing = old.set_nodes(view)
    new.set_nodes(view)
    assert outgoing[0].to == f"{SECOND}:2"
    assert isinstance(outgoing[0].message, BrokerHandover)
    assert get_messages(outgoing)[1] == SlotRedirect(attempt_id=3, broker=f"{SECOND}:2")
    new.handle(f"{FIRST}:2", outgoing[0].message)
    assert new.find_health(KEY).imported == [VERDICT]
    (answer,) = get_messages(new.handle("entry", make_request(3)))
    assert answer == SlotWaiting(attempt_id=3)
    forwarded = old.handle("entry", make_release(1, "a"))
    assert [item.to for item in forwarded] == [f"{SECOND}:2"]
    (sent,) = new.handle(f"{FIRST}:2", forwarded[0].message)
    assert (sent.to, sent.message.attempt_id) == ("entry", 3)
    old.handle("entry", make_release(2, "a"))
    clock.tick(10)
    old.advance()
    assert old.describe() == []


def test_replacement_broker_ramps_up_to_all_slots(clock):
    new = make_broker_set(SECOND, slots=4)
    new.set_nodes([make_node(SECOND)])
    answers = [
        get_messages(new.handle("entry", make_request(attempt_id)))
        for attempt_id in range(1, 5)
    ]
    kinds = [type(answer) for (answer,) in answers]
    assert kinds == [SlotGrant, SlotWaiting, SlotWaiting, SlotWaiting]
    clock.tick(0.3)
    assert len(new.advance()) == 3


def test_concurrent_brokers_infer_each_others_usage(clock):
    one = make_broker_set("n-1", nodes=["n-1"], slots=4)
    two = make_broker_set("n-2", nodes=["n-2"], slots=4)
    for brokers in (one, two):
        brokers.handle("entry", make_request(99))
        brokers.handle("entry", make_release(99, "a"))
    clock.tick(1)
    for attempt_id in (1, 2, 3):
        one.handle("entry", make_request(attempt_id))
    two.handle("entry", make_request(4))
    two.handle("entry", make_release(4, "a", load=4))
    ((first,), (second,)) = [
        get_messages(two.handle("entry", make_request(attempt_id)))
        for attempt_id in (5, 6)
    ]
    assert isinstance(first, SlotGrant)
    assert isinstance(second, SlotWaiting)


def test_release_is_not_forwarded_in_a_loop_after_hand_back(clock):
    old = make_broker_set(FIRST)
    stale = make_broker_set(SECOND)
    old.handle("entry", make_request(1))
    outgoing = old.set_nodes([make_node(SECOND)])
    stale.handle(f"{FIRST}:2", outgoing[0].message)
    # In the stale entry's view the old entry is the broker, so it hands back.
    back = stale.set_nodes([make_node(FIRST), make_node(SECOND)])
    old.handle(f"{SECOND}:2", back[0].message)
    pending = [Outgoing(to=f"{FIRST}:2", message=make_release(1, "a"))]
    hops = 0
    while pending:
        item = pending.pop()
        brokers = old if item.to == f"{FIRST}:2" else stale
        pending += brokers.handle("entry", item.message)
        hops += 1
        assert hops < 5


@pytest.mark.parametrize(
    "message",
    [
        make_request(1, excluded=("a",), fingerprint=(1 << 64) - 1),
        make_release((1 << 64) - 1, "a", load=3),
        SlotGrant(attempt_id=1, target="a", address="127.0.0.1:1", lease_seconds=1.0),
        SlotRefusal(attempt_id=1, code=3002, retry_after_seconds=1.5),
        SlotRedirect(attempt_id=1),
        BrokerHandover(service="s", region="r", shard=0, verdicts=(VERDICT,)),
    ],
)
def test_messages_round_trip_through_codec(message):
    envelope = Envelope(fleet="f", sender="s", incarnation=1, body=message)
    assert decode_envelope(encode_envelope(envelope)) == envelope


@pytest.mark.parametrize("earlier_window_seconds", [0.0, 10.0, 20.0])
def test_running_broker_grants_no_retry_once_they_are_switched_off(
    clock, earlier_window_seconds
):
    """A broker that kept its first limits granted retries until it was replaced."""
    brokers = make_broker_set(FIRST, nodes=(FIRST,), slots=20)
    targets = [make_target("a", slots=20)]
    window_seconds = earlier_window_seconds
    brokers.set_service("shop", make_spec(window_seconds=window_seconds), targets)
    clock.tick(30.0)
    granted = brokers.handle("entry", make_request(1, is_retry=True))
    assert isinstance(get_messages(granted)[0], SlotGrant)
    no_retries = make_spec(window_seconds=10.0, ratio=0.0, slack=0.0)
    brokers.set_service("shop", no_retries, targets)
    for attempt_id in range(2, 10):
        brokers.handle("entry", make_request(attempt_id))
        refused = brokers.handle("entry", make_request(-attempt_id, is_retry=True))
        assert get_messages(refused)[0].code == RETRIES_SPENT.number


def test_running_broker_sends_no_bytes_of_a_link_budget_that_was_taken_away(clock):
    brokers = make_broker_set(FIRST, nodes=(FIRST,), slots=20)
    targets = [make_target("a", slots=20)]
    brokers.set_service("shop", ServiceSpec(link_bytes_per_second=1000.0), targets)
    brokers.handle("entry", make_request(1))
    clock.tick(30.0)
    fields = {"from_region": "gota", "body_bytes": 100, "worth": 1.0}
    granted = brokers.handle("entry", make_request(2, **fields))
    assert isinstance(get_messages(granted)[0], SlotGrant)
    brokers.set_service("shop", ServiceSpec(link_bytes_per_second=0.0), targets)
    refused = brokers.handle("entry", make_request(3, **fields))
    assert get_messages(refused)[0].code == LINK_BUDGET_SPENT.number


def test_running_broker_keeps_the_floor_of_the_present_specification(clock):
    brokers = make_broker_set(FIRST, nodes=(FIRST,))
    brokers.handle("entry", make_request(1))
    (broker,) = brokers._broker_by_key.values()
    for floor in (0.25, 0.75):
        spec = ServiceSpec(floor=floor, detection=Detection.FAILURE_EPISODES)
        brokers.set_service("shop", spec, [make_target("a")])
        assert broker._pool._floor == floor


def make_spec(*, window_seconds, ratio=0.2, slack=58.0):
    return ServiceSpec(
        retry_window_seconds=window_seconds, retry_ratio=ratio, retry_slack=slack
    )
