"""Tests that what one odd message of a peer spoils costs that message alone.

A message may have any values of its types. Its handler may raise, which the link
catches. The timers, what is sent later and the next message must not suffer.
"""

import contextlib
import math
import typing

import freezegun
import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from citronspan.core import messages_test
from citronspan.core.brokering.broker_messages import (
    BrokerMessage,
    SlotGrant,
    SlotRequest,
)
from citronspan.core.configuration.config_messages import ConfigMessage
from citronspan.core.configuration.config_spread import ConfigSpread
from citronspan.core.configuration.feed_messages import (
    FeedMessage,
    FeedOffsets,
    FeedUpdate,
)
from citronspan.core.configuration.feed_spread import FeedSpread
from citronspan.core.configuration.feeds import (
    CONFIGURATION_FEED,
    TARGETS_FEED,
    FeedBatch,
    FeedRecord,
)
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.poison import PoisonNotice
from citronspan.core.detection.verdicts import VerdictPush
from citronspan.core.keys.key_messages import KeyMessage
from citronspan.core.keys.key_protocol import KeyProtocol
from citronspan.core.membership.member_messages import MemberMessage, MemberPing
from citronspan.core.membership.membership import Membership
from citronspan.core.messages import Envelope, encode_envelope
from citronspan.core.node_messages import NodeInfo
from citronspan.core.resources import Detection, ServiceSpec
from citronspan.ops.slots.slot_service import SlotService

NAMES = ("s", "r", "t0", "a", "b", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:9")
FEED_NAMES = (CONFIGURATION_FEED, TARGETS_FEED, "k")
STEPS = 20
STEP_SECONDS = 0.3
FORGET_SECONDS = 1000.0
"""Longer than any lease, quarantine or back-off."""


def make_node(name, number):
    return NodeInfo(
        name=name,
        incarnation=1,
        region="r",
        data_centre="d",
        agent_peer_address=f"1.1.1.1:{number + 10}",
        entry_peer_address=f"1.1.1.1:{number}",
        entry_callers_address=f"1.1.1.1:{number + 20}",
        api_address=f"1.1.1.1:{number + 30}",
        entry_state="serving",
    )


NODES = (make_node("a", 1), make_node("b", 2))
OTHER_ADDRESS = NODES[1].entry_peer_address
TARGET = TargetInfo(
    name="t0", address="1.1.1.1:9", region="r", data_centre="d", slots=2
)


class FakeLink:
    """Encodes what is sent, as the link does, and drops it."""

    address = NODES[0].entry_peer_address
    incarnation = 1

    def send(self, to, message):
        envelope = Envelope(fleet="f", sender="a", incarnation=1, body=message)
        encode_envelope(envelope)
        return True

    def send_all(self, outgoing):
        for item in outgoing:
            self.send("", item.message)

    def is_connected(self, to):
        return True

    def connect(self, to):
        pass

    def replace_connection(self, to):
        return False


def make_odd_messages(monkeypatch, union, names):
    strings = st.one_of(st.sampled_from(names), st.text(max_size=3))
    integers = st.one_of(st.integers(0, 1), messages_test.VALUE_BY_TYPE[int])
    monkeypatch.setitem(messages_test.VALUE_BY_TYPE, str, strings)
    monkeypatch.setitem(messages_test.VALUE_BY_TYPE, int, integers)
    kinds = typing.get_args(union) or (union,)
    return st.one_of([messages_test.make_messages(kind) for kind in kinds])


def make_slots(detection):
    slots = SlotService(name="a", region="r", link=FakeLink(), wait_seconds=0.05)
    slots.set_nodes(NODES[:1])
    spec = ServiceSpec(detection=detection, retry_window_seconds=10.0)
    slots.set_services({"s": spec}, {"s": (TARGET,)}, frozenset())
    return slots


def deliver(slots, message):
    if isinstance(message, PoisonNotice):
        slots.health_gossip.merge_notice(message)
    elif isinstance(message, VerdictPush):
        slots.health_gossip.merge_verdicts(message.verdicts)
    else:
        slots.handle(OTHER_ADDRESS, message)


def run_timers(slots):
    gossip = slots.health_gossip
    slots.advance()
    gossip.write_logs()
    slots._link.send_all(gossip.collect_verdicts())
    slots._link.send_all(gossip.collect_notices())
    gossip.describe()
    gossip.describe_received()


def is_possible(rate_limit):
    rate = rate_limit.requests_per_second
    return rate is None or (0 <= rate < math.inf and rate_limit.age_seconds >= 0)


def address_to_broker(message):
    """Address a message to the only broker, and state no possible rate of its target.

    A target whose rate is next to nothing gets next to nothing.
    """
    fields = {"service": "s", "region": "r", "shard": 0}
    if isinstance(message, SlotRequest):
        fields["rate_limits"] = {
            target: rate_limit
            for target, rate_limit in message.rate_limits.items()
            if not is_possible(rate_limit)
        }
    outcome = getattr(message, "outcome", None)
    if outcome and outcome.rate_limit and is_possible(outcome.rate_limit):
        fields["outcome"] = msgspec.structs.replace(outcome, rate_limit=None)
    return msgspec.structs.replace(message, **fields)


@pytest.mark.parametrize("detection", list(Detection))
@pytest.mark.parametrize(
    "union",
    [BrokerMessage, PoisonNotice, VerdictPush],
    ids=["broker", "poison", "verdicts"],
)
def test_odd_message_ends_the_work_of_a_broker(monkeypatch, union, detection):
    odd_messages = make_odd_messages(monkeypatch, union, NAMES)
    if union is BrokerMessage:
        odd_messages = odd_messages.map(address_to_broker)

    @settings(max_examples=60)
    @given(st.lists(odd_messages, min_size=1, max_size=4))
    def check(messages):
        with freezegun.freeze_time("2026-01-01") as clock:
            slots = make_slots(detection)
            deliver(slots, make_request(1))
            for message in messages:
                with contextlib.suppress(Exception):
                    deliver(slots, message)
                clock.tick(STEP_SECONDS)
                run_timers(slots)
            for number in range(STEPS):
                clock.tick(STEP_SECONDS)
                deliver(slots, make_request(number + 1000))
                run_timers(slots)
            for _ in range(2):
                clock.tick(FORGET_SECONDS)
                run_timers(slots)
            answers = slots.brokers.handle(OTHER_ADDRESS, make_request(2000))
            assert [type(answer.message) for answer in answers] == [SlotGrant]

    check()


def make_request(attempt_id):
    return SlotRequest(
        attempt_id=attempt_id,
        service="s",
        region="r",
        shard=0,
        request_kind="k",
        worth=1.0,
        deadline_seconds=1.0,
        idempotent=True,
    )


def test_odd_message_ends_what_an_agent_learns_of_its_peers(monkeypatch):
    odd_messages = make_odd_messages(monkeypatch, MemberMessage, NAMES)

    @settings(max_examples=100)
    @given(st.lists(odd_messages, min_size=1, max_size=4))
    def check(messages):
        link = FakeLink()
        with freezegun.freeze_time("2026-01-01") as clock:
            members = Membership(own=NODES[0], seeds=("1.1.1.1:12",), seed=1)
            for message in messages:
                with contextlib.suppress(Exception):
                    link.send_all(members.handle("1.1.1.1:12", message))
            for _ in range(STEPS):
                clock.tick(STEP_SECONDS)
                link.send_all(members.tick())
                members.live_nodes()
            other_members = Membership(own=NODES[1], seeds=("1.1.1.1:11",), seed=2)
            for item in other_members.tick():
                if isinstance(item.message, MemberPing):
                    link.send_all(members.handle("1.1.1.1:12", item.message))

    check()


def test_odd_message_ends_what_an_agent_learns_of_the_store(monkeypatch):
    odd_messages = make_odd_messages(monkeypatch, FeedMessage, FEED_NAMES)

    @settings(max_examples=200)
    @given(st.lists(odd_messages, min_size=1, max_size=4))
    def check(messages):
        link = FakeLink()
        with freezegun.freeze_time("2026-01-01") as clock:
            spread = FeedSpread(own=NODES[0], seed=1, is_seed=True)
            spread.set_nodes(NODES)
            for message in messages:
                with contextlib.suppress(Exception):
                    link.send_all(spread.handle_message(message, "1.1.1.1:12").outgoing)
            for _ in range(STEPS):
                clock.tick(STEP_SECONDS)
                link.send_all(spread.tick().outgoing)
                spread.is_due_to_read()
            offset = spread.offsets.targets
            update = FeedUpdate(
                offsets=FeedOffsets(targets=offset + 1),
                age_seconds=0.1,
                batches=(
                    FeedBatch(
                        feed=TARGETS_FEED,
                        from_offset=offset,
                        next_offset=offset + 1,
                        records=(FeedRecord(offset=offset, key="x", data=b"[]"),),
                    ),
                ),
            )
            result = spread.handle_message(update, "1.1.1.1:12")
            link.send_all(result.outgoing)
            assert spread.offsets.targets == offset + 1

    check()


def test_odd_message_ends_what_an_agent_learns_of_the_log(monkeypatch):
    odd_messages = make_odd_messages(monkeypatch, ConfigMessage, NAMES)

    @settings(max_examples=100)
    @given(st.lists(odd_messages, min_size=1, max_size=4))
    def check(messages):
        link = FakeLink()
        with freezegun.freeze_time("2026-01-01") as clock:
            spread = ConfigSpread(own=NODES[0])
            spread.set_nodes(NODES)
            for message in messages:
                with contextlib.suppress(Exception):
                    link.send_all(spread.handle_message(message, "1.1.1.1:12").outgoing)
            for _ in range(STEPS):
                clock.tick(STEP_SECONDS)
                link.send_all(spread.tick().outgoing)

    check()


def test_odd_message_ends_the_timers_of_keys(monkeypatch):
    odd_messages = make_odd_messages(monkeypatch, KeyMessage, NAMES)

    @settings(max_examples=200)
    @given(st.lists(odd_messages, min_size=1, max_size=4))
    def check(messages):
        with freezegun.freeze_time("2026-01-01") as clock:
            protocol = KeyProtocol(
                name="a",
                incarnation=1,
                address=NODES[0].entry_peer_address,
                find_address={node.name: node.entry_peer_address for node in NODES}.get,
            )
            for message in messages:
                with contextlib.suppress(Exception):
                    protocol.handle(OTHER_ADDRESS, message)
            for _ in range(STEPS):
                clock.tick(STEP_SECONDS)
                protocol.advance()

    check()
