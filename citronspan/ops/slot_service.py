"""Slots for the request path: this entry's brokers, and the others' by messages.

A worker asks the broker of a shard and waits for its word. A broker that cannot be
reached or stays silent for the small time budget is passed over, and the entry
chooses by itself from what it last knew.
"""

import dataclasses
import random
import threading
import time
from collections.abc import Callable

import logbook
import msgspec

from citronspan.core import log_events, result_codes
from citronspan.core.broker_messages import (
    BrokerMessage,
    EntryMessage,
    SlotCancel,
    SlotGrant,
    SlotRedirect,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWaiting,
)
from citronspan.core.broker_set import BrokerSet
from citronspan.core.episode_health import EpisodeHealth
from citronspan.core.health import TargetInfo
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.node_messages import NodeInfo
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import Detection, ServiceSpec
from citronspan.core.result_codes import RESULT_CODE_BY_NUMBER
from citronspan.core.shard_health import ShardHealth
from citronspan.core.shards import Shard, ShardKey, choose_shard
from citronspan.core.verdicts import VerdictTable
from citronspan.ops.decision_log import log_decisions
from citronspan.ops.health_gossip import HealthGossip
from citronspan.ops.local_chooser import LocalChooser
from citronspan.ops.peer_link import PeerLink
from citronspan.ops.pending_answers import PendingAnswers
from citronspan.ops.quarantine import Quarantine
from citronspan.ops.recent_names import RecentNames
from citronspan.ops.slot_source import Slot, SlotQuery, SlotRefused
from citronspan.utils.logs import write_event

ATTEMPT_BITS = 63
RETRY_AFTER_SECONDS = 0.3
# A waiting request asks again this often, so that a broker that froze is noticed.
SLOT_RETRY_SECONDS = 0.25
MAXIMUM_REDIRECTS = 2
CROSS_REGION_WAIT_SECONDS = 0.15
"""Time more for a broker in another region, for the way there and back."""

BROKER_SKIP_SECONDS = 1.0
"""Time for which a broker that did not answer is passed over."""

UNREACHABLE_SECONDS = 3.0
"""Time for which a target that this entry could not connect to is avoided."""

LARGE_BODY_BYTES = 20_000
"""Bodies of this size cost more between regions than their request is worth."""

QUARANTINED_SECONDS = 300.0

_FINAL_TYPES = (SlotGrant, SlotRefusal, SlotRedirect)
_logger = logbook.Logger("slots")


class _Question:
    """One question to a broker and what came back so far."""

    def __init__(self):
        self.heard_at = float("-inf")


class SlotService:
    """Grants slots through brokers; a ``SlotSource``."""

    def __init__(
        self,
        *,
        name: str,
        region: str,
        link: PeerLink,
        wait_seconds: float,
        data_centre: str = "",
        list_connected: Callable[[], frozenset[str]] = frozenset,
    ):
        self._name = name
        self._region = region
        self._data_centre = data_centre
        self._list_connected = list_connected
        self._unreachable = RecentNames(seconds=UNREACHABLE_SECONDS)
        self._silent = RecentNames(seconds=BROKER_SKIP_SECONDS)
        self._link = link
        self._wait_seconds = wait_seconds
        self._lock = threading.RLock()
        self._random = random.Random()
        self._pending: PendingAnswers[Message] = PendingAnswers()
        self._question_by_id: dict[int, _Question] = {}
        self._free_by_key: dict[ShardKey, int] = {}
        self._spec_by_service: dict[str, ServiceSpec] = {}
        self._targets_by_service: dict[str, tuple[TargetInfo, ...]] = {}
        self._target_by_name: dict[str, tuple[str, TargetInfo]] = {}
        self.received_verdicts = VerdictTable()
        self._quarantine = Quarantine()
        self.local_chooser = LocalChooser(received_verdicts=self.received_verdicts)
        self.brokers = BrokerSet(address=link.address, make_health=self._make_health)
        self.news = HealthGossip(
            name=name,
            lock=self._lock,
            brokers=self.brokers,
            received_verdicts=self.received_verdicts,
            quarantine=self._quarantine,
            find_target=lambda target: self._target_by_name.get(target),
        )

    def acquire(self, ask: SlotQuery) -> Slot | SlotRefused:
        """Return a slot, or at once the reason why there is none.

        Targets in this region go first; those of another region are asked for
        where this one has no free slot in time, within the link's budget.
        """
        with self._lock:
            if self._quarantine.is_quarantined(ask.service, ask.fingerprint):
                return _refuse(result_codes.REQUEST_QUARANTINED, QUARANTINED_SECONDS)
        regions = self._list_regions(ask.service)
        if ask.body_bytes >= LARGE_BODY_BYTES:
            regions = regions[:1]
        # A region that has only doubted targets free is asked again for one of those
        # when no other has a better.
        order = list(regions)
        if len(regions) > 1 and regions[0] == self._region:
            order.append(self._region)
        refused = None
        for number, region in enumerate(order):
            has_other_region = number < len(order) - 1
            answer = self._acquire_in(
                region, ask, has_other_region, asked_before=number > 0
            )
            if isinstance(answer, Slot):
                return answer
            refused = answer
        return refused or _refuse(result_codes.NO_CAPACITY)

    def release(self, slot: Slot, outcome: Outcome, answer_bytes: int) -> None:
        """Tell the shard's broker how the attempt ended."""
        if outcome.outcome_class is OutcomeClass.CONNECT_FAILED:
            self._unreachable.add(outcome.target)
        message = SlotRelease(
            attempt_id=slot.attempt_id,
            service=slot.shard.service,
            region=slot.shard.region,
            shard=slot.shard.number,
            outcome=outcome,
            answer_bytes=answer_bytes,
        )
        self.local_chooser.record_outcome(outcome)
        if not slot.broker:
            self.local_chooser.release(slot.target)
        broker = self._find_release_address(slot)
        if broker:
            self._tell(broker, message)

    def _find_release_address(self, slot: Slot) -> str:
        """Return the broker that granted, or its successor once that one is gone."""
        with self._lock:
            table = self.brokers.table
            if slot.broker and table.has_address(slot.broker):
                return slot.broker
            return table.find_address(slot.shard) or slot.broker

    def handle(self, sender: str, message: BrokerMessage | EntryMessage) -> None:
        """Take a message of a broker or to one from the peer link."""
        if isinstance(message, SlotWaiting):
            self._note_waiting(message)
            return
        if isinstance(message, _FINAL_TYPES):
            self._settle(message)
            return
        with self._lock:
            if isinstance(message, SlotRelease):
                self._quarantine.observe(message.service, message.outcome)
            outgoing = self.brokers.handle(sender, message)
            decisions = self.brokers.drain_decisions()
        self._emit(outgoing)
        log_decisions(decisions)

    def advance(self) -> None:
        """Let time pass; called by the process's tick."""
        with self._lock:
            outgoing = self.brokers.advance()
            decisions = self.brokers.drain_decisions()
            self.received_verdicts.drop_old()
        self._emit(outgoing)
        log_decisions(decisions)

    def set_nodes(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Take a new view; shards that have another broker now are handed over."""
        with self._lock:
            outgoing = self.brokers.set_nodes(nodes)
        self._emit(outgoing)

    def set_services(
        self,
        spec_by_service: dict[str, ServiceSpec],
        targets_by_service: dict[str, tuple[TargetInfo, ...]],
        leaving_addresses: frozenset[str],
    ) -> None:
        """Take services and targets as they are now.

        Args:
            spec_by_service: Rules of each service.
            targets_by_service: Targets of each service.
            leaving_addresses: Addresses that the host list shows as leaving.
        """
        outgoing = []
        with self._lock:
            marked = {
                service: _mark_leaving(targets, leaving_addresses)
                for service, targets in targets_by_service.items()
                if service in spec_by_service
            }
            for service in self._spec_by_service.keys() - spec_by_service.keys():
                outgoing += self.brokers.remove_service(service)
            for service, spec in spec_by_service.items():
                targets = marked.get(service, ())
                if (
                    self._spec_by_service.get(service) == spec
                    and self._targets_by_service.get(service) == targets
                ):
                    continue
                outgoing += self.brokers.set_service(service, spec, targets)
            self._spec_by_service = dict(spec_by_service)
            self._targets_by_service = marked
            self._target_by_name = {
                target.name: (service, target)
                for service, targets in marked.items()
                for target in targets
            }
        self._emit(outgoing)

    def knows_entries(self) -> bool:
        """Return whether any entry is known to serve, and so to be a broker."""
        with self._lock:
            return bool(self.brokers.table.list_nodes())

    def hand_over_all(self) -> None:
        """Hand every brokered shard to the entry that is next, before a stop."""
        with self._lock:
            nodes = self.brokers.table.list_nodes()
            left = tuple(node for node in nodes if node.name != self._name)
            outgoing = self.brokers.set_nodes(left) if left else []
        self._emit(outgoing)

    def _make_health(
        self, key: ShardKey, spec: ServiceSpec
    ) -> ShardHealth | EpisodeHealth:
        make = (
            EpisodeHealth
            if spec.detection is Detection.FAILURE_EPISODES
            else ShardHealth
        )
        return make(
            name=key.format(),
            spec=spec,
            issuer=self._name,
            incarnation=self._link.incarnation,
            received_verdicts=self.received_verdicts,
        )

    def _list_regions(self, service):
        """Return regions with targets of a service, this one first."""
        with self._lock:
            regions = [
                region
                for name, region in self.brokers.shards_by_group
                if name == service
            ]
        return sorted(regions, key=lambda region: (region != self._region, region))

    def _acquire_in(
        self, region, ask, has_other_region, *, asked_before
    ) -> Slot | SlotRefused:
        with self._lock:
            shards = self.brokers.shards_by_group.get((ask.service, region), ())
            shard = choose_shard(shards, self._free_by_key, self._random)
            if shard is None:
                return _refuse(result_codes.NO_CAPACITY)
            broker = self.brokers.table.find_address(shard.key)
        request = self._make_request(shard.key, ask, has_other_region, asked_before)
        for _ in range(1 + MAXIMUM_REDIRECTS):
            if self._silent.is_remembered(broker):
                broker = self._find_stand_in(shard.key)
                request = msgspec.structs.replace(request, force=True)
            if not broker:
                break
            answer = self._ask(broker, request, ask)
            if isinstance(answer, SlotGrant):
                return self._take_grant(answer, shard, broker)
            if isinstance(answer, SlotRefusal):
                return _refuse(
                    RESULT_CODE_BY_NUMBER.get(answer.code, result_codes.NO_CAPACITY),
                    answer.retry_after_seconds,
                )
            if answer is None:
                self._give_up(broker, request)
                if ask.is_disconnected():
                    return _refuse(result_codes.CALLER_GONE)
                self._silent.add(broker)
                continue
            broker = answer.broker
        if region != self._region:
            # Only a broker there keeps the budget of the link.
            return _refuse(result_codes.NO_CAPACITY)
        return self._choose_alone(shard, ask)

    def _find_stand_in(self, key):
        with self._lock:
            return self.brokers.table.find_fallback_broker(
                key, set(self._silent.list_names())
            )

    def _make_request(self, key, ask, has_other_region, asked_before):
        return SlotRequest(
            attempt_id=self._random.getrandbits(ATTEMPT_BITS),
            service=key.service,
            region=key.region,
            shard=key.number,
            deadline_seconds=max(ask.deadline - time.monotonic(), 0.0),
            worth=ask.worth,
            idempotent=ask.idempotent,
            request_kind=ask.request_kind,
            excluded=ask.excluded,
            fingerprint=ask.fingerprint,
            is_retry=ask.is_retry,
            from_region=self._region if key.region != self._region else "",
            body_bytes=ask.body_bytes,
            data_centre=self._data_centre,
            goal_seconds=max(ask.goal_time - time.monotonic(), 0.0)
            if ask.goal_time
            else 0.0,
            connected=self._find_connected(key),
            avoided=self._unreachable.list_names(),
            request_id=ask.request_id,
            has_other_region=has_other_region and key.region == self._region,
            asked_before=asked_before,
        )

    def _find_connected(self, key):
        """Return the shard's targets to which an idle connection stands."""
        addresses = self._list_connected()
        if not addresses:
            return ()
        with self._lock:
            shards = self.brokers.shards_by_group.get((key.service, key.region), ())
        return tuple(
            target.name
            for shard in shards
            if shard.key == key
            for target in shard.targets
            if target.address in addresses
        )

    def _ask(self, broker, request, ask) -> Message | None:
        """Ask a broker; return its final word, or None if it stays silent.

        None, too, if the caller leaves meanwhile or the deadline passes.
        """
        wait_seconds = self._wait_seconds
        if request.from_region:
            wait_seconds += CROSS_REGION_WAIT_SECONDS
        wait_id = request.attempt_id.to_bytes(8, "big")
        waiter = self._pending.open(wait_id)
        question = _Question()
        self._question_by_id[request.attempt_id] = question
        try:
            asked_at = time.monotonic()
            while self._tell(broker, request):
                if waiter.wait(wait_seconds):
                    return waiter.answer
                if question.heard_at < asked_at:
                    return None
                if waiter.wait(SLOT_RETRY_SECONDS):
                    return waiter.answer
                asked_at = time.monotonic()
                if asked_at > ask.deadline or ask.is_disconnected():
                    return None
            return None
        finally:
            self._pending.close(wait_id)
            self._question_by_id.pop(request.attempt_id, None)

    def _take_grant(self, grant, shard, broker):
        with self._lock:
            self._free_by_key[shard.key] = grant.free_slots
        return Slot(
            attempt_id=grant.attempt_id,
            target=grant.target,
            address=grant.address,
            shard=shard.key,
            broker=broker,
        )

    def _give_up(self, broker, request):
        write_event(
            _logger,
            log_events.BROKER_UNREACHABLE,
            id=request.request_id,
            broker=broker,
            service=request.service,
        )
        cancel = SlotCancel(
            attempt_id=request.attempt_id,
            service=request.service,
            region=request.region,
            shard=request.shard,
        )
        self._tell(broker, cancel)

    def _choose_alone(self, shard: Shard, ask: SlotQuery) -> Slot | SlotRefused:
        with self._lock:
            spec = self._spec_by_service[ask.service]
            if ask.is_retry and spec.retry_window_seconds:
                return _refuse(result_codes.RETRIES_SPENT)
            target = self.local_chooser.choose(
                shard, spec.floor, frozenset(ask.excluded)
            )
        if target is None:
            return _refuse(result_codes.NO_CAPACITY)
        return Slot(
            attempt_id=self._random.getrandbits(ATTEMPT_BITS),
            target=target.name,
            address=target.address,
            shard=shard.key,
            broker="",
        )

    def _note_waiting(self, message):
        question = self._question_by_id.get(message.attempt_id)
        if question is not None:
            question.heard_at = time.monotonic()

    def _settle(self, message):
        # A grant that nobody waits for any more is dropped here; the cancel that
        # its worker sent when it gave up gives the slot back.
        self._pending.resolve(message.attempt_id.to_bytes(8, "big"), message)

    def _tell(self, to: str, message: Message) -> bool:
        if to != self._link.address:
            return self._link.send(to, message)
        self.handle(to, message)
        return True

    def _emit(self, outgoing: list[Outgoing]) -> None:
        for item in outgoing:
            self._tell(item.to, item.message)


def _refuse(code, retry_after_seconds=RETRY_AFTER_SECONDS):
    return SlotRefused(code=code, retry_after_seconds=retry_after_seconds)


def _mark_leaving(targets, leaving_addresses):
    if not leaving_addresses:
        return targets
    return tuple(
        dataclasses.replace(target, leaving=True)
        if target.address in leaving_addresses
        else target
        for target in targets
    )
