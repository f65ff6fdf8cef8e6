import dataclasses
import os
import threading
import time

import pytest

from citronspan.core import result_codes
from citronspan.core.broker_messages import SlotRequest
from citronspan.core.health import TargetInfo
from citronspan.core.node_messages import NodeInfo
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import ServiceSpec
from citronspan.ops.peer_link import PeerLink
from citronspan.ops.slot_service import BROKER_SKIP_SECONDS, SlotService
from citronspan.ops.slot_source import Slot, SlotQuery, SlotRefused

# Two suites may run on one machine at once.
NETWORK = f"127.{64 + os.getpid() % 128}"
WAIT_SECONDS = 0.05
# A request must be given a slot or a refusal long before its own deadline.
DEADLINE_SECONDS = 5.0
GIVEN_UP_SECONDS = 2.0
TARGETS = tuple(
    TargetInfo(
        name=f"t{number}",
        address=f"{NETWORK}.31.9:{number + 1}",
        region="r",
        data_centre="d",
        slots=1,
    )
    for number in range(3)
)


class CutLink(PeerLink):
    """A link that loses what is sent while it is cut, as a network does."""

    cut = False

    def send(self, to, message):
        if self.cut:
            return True
        return super().send(to, message)


class Running:
    """An entry's slot service with its link and inbox."""

    def __init__(self, name, ip):
        address = f"{ip}:7950"
        self.link = CutLink(fleet="f", address=address, incarnation=1)
        self.slots = SlotService(
            name=name, region="r", link=self.link, wait_seconds=WAIT_SECONDS
        )
        self.node = NodeInfo(
            name=name,
            incarnation=1,
            region="r",
            data_centre="d",
            agent_peer_address=f"{ip}:1",
            entry_peer_address=address,
            entry_callers_address=f"{ip}:2",
            api_address=f"{ip}:3",
            entry_state="serving",
        )
        thread = threading.Thread(
            target=self.link.receive_forever, args=[self.take], daemon=True
        )
        thread.start()

    def take(self, envelope):
        self.slots.handle(envelope.sender, envelope.body)

    def ask(self, seconds=DEADLINE_SECONDS):
        return self.slots.acquire(
            SlotQuery(
                service="s",
                request_kind="k",
                worth=1.0,
                deadline=time.monotonic() + seconds,
                idempotent=True,
                excluded=(),
                fingerprint=1,
                body_bytes=0,
                is_retry=False,
            )
        )

    def release(self, slot):
        outcome = Outcome(
            target=slot.target,
            outcome_class=OutcomeClass.OK,
            latency_seconds=0.01,
            deadline_seconds=1.0,
        )
        self.slots.release(slot, outcome, 0)


@pytest.fixture
def pair():
    """The broker of the only shard, and an entry that asks it."""
    running = [Running("a", f"{NETWORK}.31.1"), Running("b", f"{NETWORK}.31.2")]
    nodes = tuple(item.node for item in running)
    for item in running:
        item.slots.set_nodes(nodes)
        item.slots.set_services({"s": ServiceSpec()}, {"s": TARGETS}, frozenset())
    shard = running[0].slots.brokers.shards_by_group["s", "r"][0]
    address = running[0].slots.brokers.table.find_address(shard.key)
    broker = next(item for item in running if item.link.address == address)
    asker = next(item for item in running if item is not broker)
    for item in running:
        other = broker if item is asker else asker
        end = time.monotonic() + GIVEN_UP_SECONDS
        while not item.link.is_connected(other.link.address):
            assert time.monotonic() < end
            time.sleep(0.005)
    yield broker, asker
    for item in running:
        item.link.close()


def test_two_entries_never_hold_more_slots_than_there_are(pair):
    broker, asker = pair
    slots = [broker.ask(), asker.ask(), asker.ask()]
    assert {slot.target for slot in slots} == {"t0", "t1", "t2"}
    assert all(slot.broker == broker.link.address for slot in slots)
    waiter = threading.Timer(0.3, lambda: broker.release(slots[0]))
    waiter.start()
    fourth = asker.ask()
    assert isinstance(fourth, Slot)
    assert fourth.target == slots[0].target


@pytest.mark.parametrize("side", ["request", "answer"])
def test_a_cut_in_either_direction_is_answered_by_a_stand_in(pair, side):
    broker, asker = pair
    (asker if side == "request" else broker).link.cut = True
    began = time.monotonic()
    slot = asker.ask()
    assert time.monotonic() - began < GIVEN_UP_SECONDS
    assert isinstance(slot, Slot)
    assert slot.broker == asker.link.address
    asker.release(slot)
    (asker if side == "request" else broker).link.cut = False
    time.sleep(BROKER_SKIP_SECONDS)
    assert asker.ask().broker == broker.link.address


def test_a_broker_that_falls_silent_while_a_request_waits_is_noticed(pair):
    broker, asker = pair
    held = [broker.ask() for _ in TARGETS]
    broker.release(held.pop())
    held.append(broker.ask())
    threading.Timer(0.4, lambda: setattr(broker.link, "cut", True)).start()
    began = time.monotonic()
    answer = asker.ask()
    assert time.monotonic() - began < GIVEN_UP_SECONDS
    assert isinstance(answer, Slot | SlotRefused)
    if isinstance(answer, Slot):
        assert answer.broker == asker.link.address


def test_a_leaving_target_is_given_to_nobody(pair):
    broker, asker = pair
    for item in pair:
        item.slots.set_services(
            {"s": ServiceSpec()}, {"s": TARGETS}, frozenset({TARGETS[0].address})
        )
    targets = {broker.ask().target, asker.ask().target}
    assert targets == {"t1", "t2"}
    asker.link.cut = True
    for _ in range(8):
        slot = asker.ask()
        if isinstance(slot, Slot):
            assert slot.target != "t0"


def test_no_request_crosses_the_link_without_a_broker_that_keeps_its_budget(pair):
    broker, asker = pair
    far = tuple(dataclasses.replace(target, region="far") for target in TARGETS)
    asker.slots.set_services({"s": ServiceSpec()}, {"s": far}, frozenset())
    answer = asker.ask()
    assert isinstance(answer, SlotRefused)
    assert answer.code == result_codes.NO_CAPACITY


def test_only_the_first_question_for_an_attempt_counts_as_a_request(pair):
    broker, _ = pair
    near = tuple(dataclasses.replace(target, slots=0) for target in TARGETS[:1])
    far = tuple(dataclasses.replace(target, region="far") for target in TARGETS[1:])
    broker.slots.set_services({"s": ServiceSpec()}, {"s": near + far}, frozenset())
    asked = []
    handle = broker.slots.handle

    def note(sender, message):
        if isinstance(message, SlotRequest):
            asked.append((message.region, message.asked_before))
        handle(sender, message)

    broker.slots.handle = note
    assert isinstance(broker.ask(), SlotRefused)
    assert asked == [("r", False), ("r", True)]
