import contextlib
import dataclasses
import os
import threading
import time

import logbook
import msgspec
import pytest

from citronspan.core import log_events, result_codes
from citronspan.core.brokering.broker_messages import SlotCancel, SlotRequest
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.poison import (
    SUSPECT_SECONDS,
    CrashReport,
    PoisonNotice,
)
from citronspan.core.detection.target_notices import TargetNotice
from citronspan.core.node_messages import NodeInfo
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import ServiceSpec
from citronspan.ops.peers.peer_link import MINIMUM_CONNECTION_SECONDS, PeerLink
from citronspan.ops.slots.region_slots import BROKER_SKIP_SECONDS
from citronspan.ops.slots.slot_service import SlotService
from citronspan.ops.slots.slot_source import Slot, SlotQuery, SlotRefused

# Concurrent runs of the suite on one machine need different addresses.
NETWORK = f"127.{64 + os.getpid() % 128}"
WAIT_SECONDS = 0.05
# A request must receive a slot or a refusal long before its own deadline.
DEADLINE_SECONDS = 5.0
MAXIMUM_ACQUIRE_SECONDS = 2.0
QUARANTINE_KNOWN_SECONDS = 5.0
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


class LossyLink(PeerLink):
    """Peer link that drops sent messages while it is cut, like a network partition.

    Attributes:
        cut: Whether all messages are dropped.
        silent_sockets: Sockets over whose open connections messages are dropped.
    """

    cut = False
    silent_sockets = frozenset()

    def silence(self):
        self.silent_sockets = frozenset(self._socket_by_address.values())

    def send(self, to, message):
        if self.cut or self._find_socket(to) in self.silent_sockets:
            return True
        return super().send(to, message)


class RunningEntry:
    """Slot service of an entry with its link and a receiving thread."""

    def __init__(self, name, ip, region="r", wait_seconds=WAIT_SECONDS):
        address = f"{ip}:7950"
        self.link = LossyLink(fleet="f", address=address, incarnation=1)
        self.slots = SlotService(
            name=name, region=region, link=self.link, wait_seconds=wait_seconds
        )
        self.node = NodeInfo(
            name=name,
            incarnation=1,
            region=region,
            data_centre="d",
            agent_peer_address=f"{ip}:1",
            entry_peer_address=address,
            entry_callers_address=f"{ip}:2",
            api_address=f"{ip}:3",
            entry_state="serving",
        )
        thread = threading.Thread(
            target=self.link.receive_forever, args=[self.handle_envelope], daemon=True
        )
        thread.start()

    def handle_envelope(self, envelope):
        if isinstance(envelope.body, PoisonNotice):
            self.slots.health_gossip.merge_notice(envelope.body)
            return
        self.slots.handle(envelope.sender, envelope.body)

    def acquire(
        self, seconds=DEADLINE_SECONDS, excluded=(), goal_seconds=0.0, **fields
    ):
        return self.slots.acquire(
            SlotQuery(
                service="s",
                request_kind="k",
                worth=1.0,
                deadline=time.monotonic() + seconds,
                idempotent=True,
                excluded=excluded,
                fingerprint=1,
                body_bytes=0,
                is_retry=False,
                goal_time=time.monotonic() + goal_seconds if goal_seconds else 0.0,
                **fields,
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
def pair(request):
    """The entry that is the broker of the only shard, and another entry."""
    wait_seconds = getattr(request, "param", WAIT_SECONDS)
    running = [
        RunningEntry("a", f"{NETWORK}.31.1", wait_seconds=wait_seconds),
        RunningEntry("b", f"{NETWORK}.31.2", wait_seconds=wait_seconds),
    ]
    nodes = tuple(item.node for item in running)
    for item in running:
        item.slots.set_nodes(nodes)
        item.slots.set_services({"s": ServiceSpec()}, {"s": TARGETS}, frozenset())
    shard = running[0].slots.brokers.shards_by_group["s", "r"][0]
    address = running[0].slots.brokers.table.find_address(shard.key)
    broker = next(item for item in running if item.link.address == address)
    requester = next(item for item in running if item is not broker)
    for item in running:
        other = broker if item is requester else requester
        deadline = time.monotonic() + MAXIMUM_ACQUIRE_SECONDS
        while not item.link.is_connected(other.link.address):
            assert time.monotonic() < deadline
            time.sleep(0.005)
    yield broker, requester
    for item in running:
        item.link.close()


def test_two_entries_share_slots_without_overcommitting(pair):
    broker, requester = pair
    slots = [broker.acquire(), requester.acquire(), requester.acquire()]
    assert {slot.target for slot in slots} == {"t0", "t1", "t2"}
    assert all(slot.broker == broker.link.address for slot in slots)
    release_timer = threading.Timer(0.3, lambda: broker.release(slots[0]))
    release_timer.start()
    fourth = requester.acquire()
    assert isinstance(fourth, Slot)
    assert fourth.target == slots[0].target


@pytest.mark.parametrize("side", ["request", "answer"])
def test_fallback_broker_grants_slot_when_either_direction_is_cut(pair, side):
    broker, requester = pair
    (requester if side == "request" else broker).link.cut = True
    started_at = time.monotonic()
    slot = requester.acquire()
    assert time.monotonic() - started_at < MAXIMUM_ACQUIRE_SECONDS
    assert isinstance(slot, Slot)
    assert slot.broker == requester.link.address
    requester.release(slot)
    (requester if side == "request" else broker).link.cut = False
    time.sleep(BROKER_SKIP_SECONDS)
    assert requester.acquire().broker == broker.link.address


@pytest.mark.parametrize("side", ["request", "answer"])
def test_silent_connection_to_a_broker_is_used_for_good(pair, side):
    broker, requester = pair
    time.sleep(MINIMUM_CONNECTION_SECONDS)
    (requester if side == "request" else broker).link.silence()
    deadline = time.monotonic() + 2 * DEADLINE_SECONDS
    while (slot := requester.acquire()).broker != broker.link.address:
        assert time.monotonic() < deadline
        requester.release(slot)
        time.sleep(0.1)


STALL_SECONDS = 0.6


@pytest.mark.parametrize("pair", [STALL_SECONDS / 2], indirect=True)
@pytest.mark.parametrize(("goal_seconds", "is_patient"), [(0.0, True), (1.8, False)])
def test_broker_that_stalls_for_a_moment_is_taken_for_lost(
    pair, goal_seconds, is_patient
):
    broker, requester = pair
    handle = broker.slots.handle

    def stall(sender, message):
        time.sleep(STALL_SECONDS)
        handle(sender, message)

    broker.slots.handle = stall
    slot = requester.acquire(seconds=20 * STALL_SECONDS, goal_seconds=goal_seconds)
    granted_by = broker if is_patient else requester
    assert slot.broker == granted_by.link.address


def test_failure_of_broker_is_detected_while_request_is_queued(pair):
    broker, requester = pair
    slots = [broker.acquire() for _ in TARGETS]
    broker.release(slots.pop())
    slots.append(broker.acquire())
    threading.Timer(0.4, lambda: setattr(broker.link, "cut", True)).start()
    started_at = time.monotonic()
    answer = requester.acquire()
    assert time.monotonic() - started_at < MAXIMUM_ACQUIRE_SECONDS
    assert isinstance(answer, Slot | SlotRefused)
    if isinstance(answer, Slot):
        assert answer.broker == requester.link.address


def test_request_waits_for_a_slot_after_its_caller_has_left(pair):
    broker, requester = pair
    slots = [broker.acquire() for _ in TARGETS]
    broker.release(slots.pop())
    slots.append(broker.acquire())
    started_at = time.monotonic()
    refused = requester.acquire(is_disconnected=lambda: True)
    assert refused.code is result_codes.CALLER_GONE
    assert time.monotonic() - started_at < MAXIMUM_ACQUIRE_SECONDS
    # Its place in the queue is free, and its broker still counts as one that responds.
    broker.release(slots.pop())
    assert requester.acquire().broker == broker.link.address


@pytest.mark.parametrize(
    "end",
    [
        {"is_disconnected": lambda: True},
        {"is_too_late": lambda: True},
        {"seconds": 0.2},
    ],
)
def test_broker_is_called_unreachable_since_a_request_has_ended(pair, end):
    broker, requester = pair
    for _ in TARGETS:
        broker.acquire()
    with logbook.TestHandler() as handler:
        assert isinstance(requester.acquire(**end), SlotRefused)
        names = [record.message for record in handler.records]
    assert log_events.BROKER_UNREACHABLE.name not in " ".join(names)


def test_leaving_target_is_never_granted(pair):
    broker, requester = pair
    for item in pair:
        item.slots.set_services(
            {"s": ServiceSpec()}, {"s": TARGETS}, frozenset({TARGETS[0].address})
        )
    targets = {broker.acquire().target, requester.acquire().target}
    assert targets == {"t1", "t2"}
    requester.link.cut = True
    for _ in range(8):
        slot = requester.acquire()
        if isinstance(slot, Slot):
            assert slot.target != "t0"


def test_request_stays_in_region_without_broker_that_enforces_link_budget(pair):
    broker, requester = pair
    far = tuple(dataclasses.replace(target, region="far") for target in TARGETS)
    requester.slots.set_services({"s": ServiceSpec()}, {"s": far}, frozenset())
    answer = requester.acquire()
    assert isinstance(answer, SlotRefused)
    assert answer.code == result_codes.NO_CAPACITY


@pytest.fixture
def far_entries():
    """Two entries of the only region that has targets, and one of another region."""
    far = tuple(dataclasses.replace(target, region="far") for target in TARGETS)
    running = [
        RunningEntry("a", f"{NETWORK}.31.3"),
        RunningEntry("b", f"{NETWORK}.31.4", region="far"),
        RunningEntry("c", f"{NETWORK}.31.5", region="far"),
    ]
    for item in running:
        item.slots.set_nodes(tuple(other.node for other in running))
        item.slots.set_services({"s": ServiceSpec()}, {"s": far}, frozenset())
    requester = running[0]
    shard = requester.slots.brokers.shards_by_group["s", "far"][0]
    address = requester.slots.brokers.table.find_address(shard.key)
    broker = next(item for item in running if item.link.address == address)
    other = next(item for item in running[1:] if item is not broker)
    yield requester, broker, other
    for item in running:
        item.link.close()


def wait_until_granted(requester):
    deadline = time.monotonic() + MAXIMUM_ACQUIRE_SECONDS
    while not isinstance(slot := requester.acquire(), Slot):
        assert time.monotonic() < deadline
        time.sleep(0.01)
    return slot


def test_entry_of_another_region_makes_fallback_brokers_that_know_nothing(far_entries):
    requester, broker, other = far_entries
    requester.release(wait_until_granted(requester))
    broker.link.cut = True
    for _ in range(3):
        assert isinstance(requester.acquire(), SlotRefused)
    assert other.slots.brokers.describe() == []


def test_request_waits_for_a_connection_to_another_region(far_entries, monkeypatch):
    requester, broker, _ = far_entries
    requester.release(wait_until_granted(requester))
    messages = []
    record_slot_requests(broker.slots, messages)
    monkeypatch.setattr(requester.link, "is_connected", lambda to: False)
    assert isinstance(requester.acquire(), SlotRefused)
    assert messages == []


def record_slot_requests(slots, messages, kind=SlotRequest):
    handle = slots.handle

    def record(sender, message):
        if isinstance(message, kind):
            messages.append(message)
        handle(sender, message)

    slots.handle = record


def test_second_slot_request_for_an_attempt_sets_asked_before(pair):
    broker, _ = pair
    near = tuple(dataclasses.replace(target, slots=0) for target in TARGETS[:1])
    far = tuple(dataclasses.replace(target, region="far") for target in TARGETS[1:])
    broker.slots.set_services({"s": ServiceSpec()}, {"s": near + far}, frozenset())
    messages = []
    record_slot_requests(broker.slots, messages)
    assert isinstance(broker.acquire(), SlotRefused)
    requests = [(message.region, message.asked_before) for message in messages]
    assert requests == [("r", False), ("r", True)]


def test_slot_request_to_fallback_broker_is_not_counted_again(pair):
    broker, requester = pair
    messages = []
    record_slot_requests(broker.slots, messages)
    record_slot_requests(requester.slots, messages)
    broker.link.cut = True
    requester.release(requester.acquire())
    assert [message.asked_before for message in messages] == [False, True]


def test_slot_request_after_failed_connect_is_not_counted_again(pair):
    broker, _ = pair
    messages = []
    record_slot_requests(broker.slots, messages)
    broker.acquire(excluded=("t0",))
    assert [message.asked_before for message in messages] == [True]


LEAVES = TargetNotice(is_leaving=True)


def acquire_pairs(entry):
    """Acquire two slots at a time; return the names of all their targets."""
    names = set()
    for _ in range(8):
        slots = [entry.acquire(), entry.acquire()]
        names |= {slot.target for slot in slots}
        for slot in slots:
            entry.release(slot)
    return names


def mark_leaving(targets):
    return tuple(dataclasses.replace(target, leaving=True) for target in targets)


def test_broker_with_an_older_view_grants_a_target_that_leaves(pair):
    _, requester = pair
    targets = (*mark_leaving(TARGETS[:1]), *TARGETS[1:])
    requester.slots.set_services({"s": ServiceSpec()}, {"s": targets}, frozenset())
    assert acquire_pairs(requester) == {"t1", "t2"}


def test_broker_with_an_older_view_grants_a_target_that_was_removed(pair):
    broker, requester = pair
    requester.slots.set_services({"s": ServiceSpec()}, {"s": TARGETS[1:]}, frozenset())
    assert acquire_pairs(requester) == {"t1", "t2"}
    # The slots that were given back are free.
    assert {broker.acquire().target for _ in TARGETS} == {"t0", "t1", "t2"}


def wait_for_cancels(messages):
    deadline = time.monotonic() + MAXIMUM_ACQUIRE_SECONDS
    while not messages and time.monotonic() < deadline:
        time.sleep(0.005)
    return [message.is_abandoned for message in messages]


def test_broker_is_not_told_that_a_slot_was_never_used(pair):
    broker, requester = pair
    messages = []
    record_slot_requests(broker.slots, messages, SlotCancel)
    requester.slots.set_services({"s": ServiceSpec()}, {"s": TARGETS[1:]}, frozenset())
    acquire_pairs(requester)
    assert set(wait_for_cancels(messages)) == {True}


def test_broker_is_not_told_that_a_caller_left_while_it_waited(pair):
    broker, requester = pair
    for _ in TARGETS:
        broker.acquire()
    messages = []
    record_slot_requests(broker.slots, messages, SlotCancel)
    refused = requester.acquire(is_disconnected=lambda: True)
    assert refused.code == result_codes.CALLER_GONE
    assert wait_for_cancels(messages) == [True]


def test_broker_takes_an_attempt_that_goes_on_elsewhere_for_an_unused_one(pair):
    broker, requester = pair
    messages = []
    record_slot_requests(broker.slots, messages, SlotCancel)
    broker.link.cut = True
    assert requester.acquire().broker == requester.link.address
    assert wait_for_cancels(messages) == [False]


def test_broker_with_a_newer_view_is_not_believed(pair):
    broker, requester = pair
    new = dataclasses.replace(TARGETS[0], name="t9", address=f"{NETWORK}.31.9:9")
    targets = (*TARGETS, new)
    broker.slots.set_services({"s": ServiceSpec()}, {"s": targets}, frozenset())
    slots = [requester.acquire() for _ in targets]
    assert {slot.target for slot in slots} == {"t0", "t1", "t2", "t9"}


def test_target_that_said_that_it_leaves_is_granted(pair):
    broker, requester = pair
    slots = {slot.target: slot for slot in (requester.acquire() for _ in TARGETS)}
    requester.slots.observe_notice(slots["t0"], LEAVES, "r-1")
    for slot in slots.values():
        requester.release(slot)
    assert acquire_pairs(requester) == {"t1", "t2"}
    usable = [requester.slots.is_address_usable(info.address) for info in TARGETS]
    assert usable == [False, True, True]
    # Another host has not been told.
    assert {broker.acquire().target for _ in TARGETS} == {"t0", "t1", "t2"}


def test_notice_does_not_reach_a_request_that_waits_for_a_slot(pair):
    _, requester = pair
    slots = {slot.target: slot for slot in (requester.acquire() for _ in TARGETS)}
    granted = []
    waiting = threading.Thread(target=lambda: granted.append(requester.acquire()))
    waiting.start()
    time.sleep(0.1)
    requester.slots.observe_notice(slots["t0"], LEAVES, "r-1")
    requester.release(slots["t0"])
    time.sleep(0.1)
    requester.release(slots["t1"])
    waiting.join(DEADLINE_SECONDS)
    assert [slot.target for slot in granted] == ["t1"]


def test_host_without_a_broker_chooses_a_target_that_said_that_it_leaves(pair):
    _, requester = pair
    slots = {slot.target: slot for slot in (requester.acquire() for _ in TARGETS)}
    for name in ("t0", "t1"):
        requester.slots.observe_notice(slots[name], LEAVES, "r-1")
    requester.link.cut = True
    requester.slots.set_nodes(())
    assert requester.acquire().target == "t2"


def test_unused_slot_of_a_host_without_a_broker_stays_taken(pair, monkeypatch):
    _, requester = pair
    chooser = requester.slots.local_chooser
    choose = chooser.choose
    chosen = []

    def choose_and_notice(*arguments):
        target = choose(*arguments)
        if not chosen:
            requester.slots.notices.table.record_leaving(target.name, 0)
        chosen.append(target)
        return target

    monkeypatch.setattr(chooser, "choose", choose_and_notice)
    requester.link.cut = True
    requester.slots.set_nodes(())
    slot = requester.acquire()
    assert (slot.broker, slot.target) == ("", chosen[1].name)
    requester.release(slot)
    restarted = tuple(dataclasses.replace(item, incarnation=2) for item in TARGETS)
    requester.slots.set_services({"s": ServiceSpec()}, {"s": restarted}, frozenset())
    slots = [requester.acquire() for _ in TARGETS]
    assert all(isinstance(slot, Slot) for slot in slots)
    assert {slot.target for slot in slots} == {"t0", "t1", "t2"}


def test_notice_survives_neither_removal_nor_an_older_copy_of_the_store(pair):
    _, requester = pair
    slots = {slot.target: slot for slot in (requester.acquire() for _ in TARGETS)}
    requester.slots.observe_notice(slots["t0"], LEAVES, "r-1")
    for slot in slots.values():
        requester.release(slot)
    for targets in (TARGETS[1:], TARGETS):
        requester.slots.set_services({"s": ServiceSpec()}, {"s": targets}, frozenset())
    assert acquire_pairs(requester) == {"t1", "t2"}
    restarted = (dataclasses.replace(TARGETS[0], incarnation=2), *TARGETS[1:])
    requester.slots.set_services({"s": ServiceSpec()}, {"s": restarted}, frozenset())
    assert {requester.acquire().target for _ in TARGETS} == {"t0", "t1", "t2"}


def test_broker_is_asked_although_all_targets_said_that_they_leave(pair):
    broker, requester = pair
    for slot in [requester.acquire() for _ in TARGETS]:
        requester.slots.observe_notice(slot, LEAVES, "r-1")
        requester.release(slot)
    messages = []
    record_slot_requests(broker.slots, messages)
    refused = requester.acquire()
    assert isinstance(refused, SlotRefused)
    assert refused.code == result_codes.NO_CAPACITY
    assert messages == []


def test_first_slot_request_is_not_counted_beside_a_leaving_target(pair):
    broker, requester = pair
    slot = requester.acquire()
    requester.slots.observe_notice(slot, LEAVES, "r-1")
    requester.release(slot)
    messages = []
    record_slot_requests(broker.slots, messages)
    requester.release(requester.acquire())
    seen = [(message.excluded, message.asked_before) for message in messages]
    assert seen == [((slot.target,), False)]


PAUSES = TargetNotice(pause_seconds=60.0)


def test_target_that_wants_nothing_for_some_time_is_granted(pair):
    broker, requester = pair
    slots = {slot.target: slot for slot in (requester.acquire() for _ in TARGETS)}
    requester.slots.observe_notice(slots["t0"], PAUSES, "r-1")
    for slot in slots.values():
        requester.release(slot)
    assert acquire_pairs(requester) == {"t1", "t2"}
    assert {broker.acquire().target for _ in TARGETS} == {"t0", "t1", "t2"}


def test_pause_keeps_a_target_unused_after_its_end(pair):
    _, requester = pair
    slots = [requester.acquire() for _ in TARGETS]
    for slot in slots:
        requester.slots.observe_notice(slot, TargetNotice(pause_seconds=0.2), "r-1")
        requester.release(slot)
    assert isinstance(requester.acquire(), SlotRefused)
    time.sleep(0.2)
    assert isinstance(requester.acquire(), Slot)


def test_caller_is_told_to_come_back_while_all_targets_pause_or_leave(pair):
    broker, requester = pair
    slots = [requester.acquire() for _ in TARGETS]
    messages = []
    record_slot_requests(broker.slots, messages)
    for slot, seconds in zip(slots[1:], (50.0, 60.0), strict=True):
        notice = TargetNotice(pause_seconds=seconds)
        requester.slots.observe_notice(slot, notice, "r-1")
    requester.slots.observe_notice(slots[0], LEAVES, "r-1")
    refused = requester.acquire()
    assert refused.code == result_codes.NO_CAPACITY
    assert 49.0 < refused.retry_after_seconds <= 50.0
    assert messages == []


def test_request_that_waits_for_a_pausing_target_is_told_to_come_back_early(pair):
    _, requester = pair
    slots = [requester.acquire() for _ in TARGETS]
    answers = []
    waiting = threading.Thread(target=lambda: answers.append(requester.acquire()))
    waiting.start()
    time.sleep(0.1)
    for slot in slots:
        requester.slots.observe_notice(slot, PAUSES, "r-1")
        requester.release(slot)
    waiting.join(DEADLINE_SECONDS)
    assert [answer.code for answer in answers] == [result_codes.NO_CAPACITY]
    assert answers[0].retry_after_seconds > 55.0


@pytest.mark.parametrize("age_seconds", [0.5, SUSPECT_SECONDS - 0.5])
def test_entry_that_was_started_again_passes_on_a_quarantined_request(
    pair, age_seconds
):
    broker, requester = pair
    crashes = tuple(
        CrashReport(target=target, nats=9.0, age_seconds=age_seconds)
        for target in ("t0", "t1")
    )
    notice = PoisonNotice(service="s", fingerprint=1, crashes=crashes)
    broker.slots.health_gossip.merge_notice(notice)
    broker.link.send_all(broker.slots.health_gossip.collect_notices())
    # The evidence of one of the two cases is too old by now.
    time.sleep(1.0)
    requester.link.close()
    ip = requester.link.address.partition(":")[0]
    again = RunningEntry(requester.node.name, ip)
    node = msgspec.structs.replace(again.node, entry_incarnation=2)
    deadline = time.monotonic() + QUARANTINE_KNOWN_SECONDS
    with contextlib.closing(again.link):
        for item in (broker, again):
            item.slots.set_nodes((broker.node, node))
        # Without services, all other requests are refused for want of capacity.
        while again.acquire().code != result_codes.REQUEST_QUARANTINED:
            assert time.monotonic() < deadline, "the new entry passes the request on"
            broker.link.send_all(broker.slots.health_gossip.collect_notices())
            time.sleep(0.1)


HEDGING = ServiceSpec(hedge_share=1.0, hedge_delay_seconds=0.0)


def acquire_hedge(running, first):
    query = SlotQuery(
        service="s",
        request_kind="k",
        worth=1.0,
        deadline=time.monotonic() + DEADLINE_SECONDS,
        idempotent=True,
        excluded=(first.target,),
        fingerprint=1,
        body_bytes=0,
        is_retry=True,
    )
    return running.slots.acquire_hedge(first, query)


@pytest.mark.parametrize("spec", [HEDGING, ServiceSpec()])
def test_hedge_gets_another_target_from_the_broker_of_the_first_attempt(pair, spec):
    broker, requester = pair
    for item in pair:
        item.slots.set_services({"s": spec}, {"s": TARGETS}, frozenset())
    for _ in range(3):
        requester.release(requester.acquire())
    first = requester.acquire()
    hedge = acquire_hedge(requester, first)
    if spec is not HEDGING:
        assert hedge.code is result_codes.HEDGES_SPENT
        return
    assert hedge.broker == broker.link.address
    assert hedge.target != first.target


def test_hedge_that_an_older_broker_queues_is_taken_back(pair):
    broker, requester = pair
    handle = broker.slots.handle

    def handle_as_before(sender, message):
        if isinstance(message, SlotRequest):
            message = msgspec.structs.replace(message, is_hedge=False)
        handle(sender, message)

    broker.slots.handle = handle_as_before
    slots = [requester.acquire() for _ in TARGETS]
    begun_at = time.monotonic()
    assert isinstance(acquire_hedge(requester, slots[0]), SlotRefused)
    assert time.monotonic() - begun_at < MAXIMUM_ACQUIRE_SECONDS
    for slot in slots:
        requester.release(slot)
    assert {requester.acquire().target for _ in TARGETS} == {"t0", "t1", "t2"}
