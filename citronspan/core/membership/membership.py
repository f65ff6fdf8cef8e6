"""Membership protocol: detects which nodes are live and gossips their records.

Nodes send heartbeats to random members and piggyback member records on them. The cost
of a node does not grow with the fleet: it sends one heartbeat per period and each
record a bounded number of times. Source: Das, Gupta and Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002.

Records merge by a total order, so their order and duplicates don't matter. Departed
members are remembered and retried periodically, so that partitioned regions rejoin
without seeds.
"""

import math
import random
import time

import msgspec

from citronspan.core.membership.member_gossip import GossipQueue
from citronspan.core.membership.member_messages import (
    MemberAck,
    MemberMessage,
    MemberPing,
    MemberPingRequest,
    MemberRecord,
    MemberStatus,
    MemberSync,
)
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import choose_member

HEARTBEAT_INTERVAL_SECONDS = 1.0
ACK_TIMEOUT_SECONDS = 0.3
RELAYED_ACK_TIMEOUT_SECONDS = 0.8
RELAY_COUNT = 3
SUSPICION_TIMEOUT_SECONDS = 3.0
RETRY_DEPARTED_INTERVAL_SECONDS = 5.0
# A node that starts compares all records often, and less often with each time.
INITIAL_SYNC_INTERVAL_SECONDS = 1.0
SYNC_INTERVAL_GROWTH = 1.5
MAXIMUM_SYNC_INTERVAL_SECONDS = 64.0
JOIN_RETRY_INTERVAL_SECONDS = 1.0
# Share of these syncs that go to a member of the same region.
SAME_REGION_SYNC_SHARE = 0.9
NEWS_PER_QUESTION = 8
YOUNG_SECONDS = 30.0
DEPARTED_RETENTION_SECONDS = 6 * 3600.0

_DEPARTED = frozenset({MemberStatus.DEAD, MemberStatus.LEFT})


class _Member:
    """A member, with state that is local to this node.

    Attributes:
        record: The record that is in force.
        changed_at: Monotonic time at which the record last changed.
        offset: Last known offset of the configuration at the member.
        unreachable: Whether this node last reached the member through a relay only.
        digest: Digest of the record.
    """

    __slots__ = ("changed_at", "digest", "offset", "record", "unreachable")

    def __init__(self, *, record: MemberRecord, now: float):
        self.record = record
        self.digest = record.compute_digest()
        self.changed_at = now
        self.offset = record.node.offset
        self.unreachable = False

    def set_record(self, record: MemberRecord, now: float) -> None:
        """Replace the record that is in force."""
        self.record = record
        self.digest = record.compute_digest()
        self.changed_at = now


class _Probe:
    """A heartbeat whose acknowledgement is outstanding."""

    __slots__ = ("has_requested_relays", "name", "sent_at", "sequence")

    def __init__(self, *, name: str, sequence: int, now: float):
        self.name = name
        self.sequence = sequence
        self.sent_at = now
        self.has_requested_relays = False


class Membership:
    """The membership view of one node.

    It has no sockets. The caller serializes all calls with one lock.
    """

    def __init__(
        self, *, own: NodeInfo, seeds: tuple[str, ...] = (), seed: int | None = None
    ):
        """Create a view that contains this node only.

        Args:
            own: This node.
            seeds: Peer addresses of the members to join through.
            seed: Seed of random choices, None for an unpredictable one.
        """
        self._random = random.Random(seed)
        self._own = own
        self._revision = 0
        self._seeds: tuple[str, ...] = ()
        self.set_seeds(seeds)
        self._member_by_name: dict[str, _Member] = {}
        self._gossip_queue = GossipQueue()
        self._probe: _Probe | None = None
        self._relay_by_sequence: dict[int, tuple[str, int, float]] = {}
        self._sequence = self._random.getrandbits(32)
        self._probe_round: list[str] = []
        self._started_at = time.monotonic()
        self._next_probe_at = -math.inf
        self._next_departed_retry_at = -math.inf
        self._sync_interval = INITIAL_SYNC_INTERVAL_SECONDS
        self._next_sync_at = (
            time.monotonic() + INITIAL_SYNC_INTERVAL_SECONDS * self._random.random()
        )
        self._next_join_at = -math.inf
        self._is_leaving = False
        self._version = 0
        self._announce_own_record()

    @property
    def own(self) -> NodeInfo:
        """This node."""
        return self._own

    def update_own(self, **changes) -> None:
        """Change fields of this node's record.

        Args:
            **changes: Fields of ``NodeInfo``. A change of the offset alone is not
                gossiped.
        """
        updated = msgspec.structs.replace(self._own, **changes)
        if updated == self._own:
            return
        is_announced = (
            msgspec.structs.replace(updated, offset=self._own.offset) != self._own
        )
        self._own = updated
        if is_announced:
            self._announce_own_record()

    def announce_to_region(self) -> list[Outgoing]:
        """Make messages with this node's record to all live members of its region.

        Returns:
            Messages to send.
        """
        message = MemberSync(records=(self._make_own_record(),), wants_answer=False)
        return [
            Outgoing(to=member.record.node.agent_peer_address, message=message)
            for member in self._member_by_name.values()
            if member.record.status not in _DEPARTED
            and member.record.node.region == self._own.region
        ]

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds; this node's own address is left out."""
        own = self._own.agent_peer_address
        self._seeds = tuple(seed for seed in seeds if seed != own)

    def leave(self) -> list[Outgoing]:
        """Announce to some members that this node leaves.

        Returns:
            Messages to send.
        """
        self._is_leaving = True
        self._announce_own_record()
        receivers = self._sample_live_nodes(RELAY_COUNT)
        return [self._make_farewell(node.agent_peer_address) for node in receivers]

    @property
    def version(self) -> int:
        """Number that grows with each change of the view; offsets are not counted."""
        return self._version

    def live_nodes(self) -> tuple[NodeInfo, ...]:
        """Return this node and the live members that it can reach, sorted by name."""
        nodes = [self._own]
        for member in self._member_by_name.values():
            if member.record.status in _DEPARTED or member.unreachable:
                continue
            nodes.append(_apply_offset(member))
        return tuple(sorted(nodes, key=lambda node: node.name))

    def unreachable_nodes(self) -> tuple[NodeInfo, ...]:
        """Return live members that others can reach and this node cannot, by name."""
        nodes = [
            member.record.node
            for member in self._member_by_name.values()
            if member.unreachable and member.record.status not in _DEPARTED
        ]
        return tuple(sorted(nodes, key=lambda node: node.name))

    def departed_nodes(self) -> tuple[NodeInfo, ...]:
        """Return members that are dead or have left, by name."""
        nodes = [
            member.record.node
            for member in self._member_by_name.values()
            if member.record.status in _DEPARTED
        ]
        return tuple(sorted(nodes, key=lambda node: node.name))

    def handle(self, sender: str, message: MemberMessage) -> list[Outgoing]:
        """Handle one message.

        Args:
            sender: Peer address of the sender.
            message: The message.

        Returns:
            Messages to send.
        """
        now = time.monotonic()
        match message:
            case MemberPing():
                return self._handle_ping(sender, message, now)
            case MemberAck():
                return self._handle_ack(sender, message, now)
            case MemberPingRequest():
                return self._handle_ping_request(sender, message, now)
            case MemberSync():
                return self._handle_sync(sender, message, now)

    def tick(self) -> list[Outgoing]:
        """Do periodic work; the caller runs this several times a second.

        Returns:
            Messages to send.
        """
        now = time.monotonic()
        outgoing = self._check_probe(now)
        self._expire_members_and_relays(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + HEARTBEAT_INTERVAL_SECONDS
            outgoing += self._begin_probe(now)
        outgoing += self._retry_departed(now)
        outgoing += self._sync_if_due(now)
        return outgoing

    def _announce_own_record(self):
        self._revision += 1
        self._version += 1
        self._gossip_queue.add(self._make_own_record())

    def _make_own_record(self):
        status = MemberStatus.LEFT if self._is_leaving else MemberStatus.ALIVE
        return MemberRecord(node=self._own, revision=self._revision, status=status)

    def _handle_ping(self, sender, ping, now):
        self._merge_records(ping.records, now)
        self._record_offset(sender, ping.offset)
        return [self._make_ack(sender, ping.sequence, self._own.name, False)]

    def _make_ack(self, to, sequence, name, relayed):
        ack = MemberAck(
            sequence=sequence,
            offset=self._own.offset,
            name=name,
            relayed=relayed,
            records=self._take_gossip_records(),
        )
        return Outgoing(to=to, message=ack)

    def _handle_ack(self, sender, ack, now):
        self._merge_records(ack.records, now)
        relay = self._relay_by_sequence.pop(ack.sequence, None)
        if relay is not None:
            to, sequence, _ = relay
            return [self._make_ack(to, sequence, ack.name, True)]
        member = self._member_by_name.get(ack.name)
        if member is None:
            return []
        if not ack.relayed:
            self._set_unreachable(member, False)
            self._record_offset(sender, ack.offset)
        probe = self._probe
        if probe is not None and probe.sequence == ack.sequence:
            self._set_unreachable(member, ack.relayed)
            self._probe = None
        return []

    def _set_unreachable(self, member, unreachable):
        if member.unreachable != unreachable:
            member.unreachable = unreachable
            self._version += 1

    def _handle_ping_request(self, sender, request, now):
        sequence = self._next_sequence()
        self._relay_by_sequence[sequence] = (sender, request.sequence, now)
        return [self._make_ping(request.address, sequence, request.name)]

    def _handle_sync(self, sender, sync, now):
        self._merge_synced_records(sender, sync, now)
        record_by_digest = self._map_records()
        if not sync.wants_answer:
            return self._answer_wanted(sender, sync, record_by_digest)
        known = set(sync.known)
        known.update(record.compute_digest() for record in sync.records)
        answer = MemberSync(
            records=_list_records(record_by_digest, record_by_digest.keys() - known),
            wanted=tuple(known - record_by_digest.keys()),
        )
        if not answer.records and not answer.wanted:
            return []
        return [Outgoing(to=sender, message=answer)]

    def _answer_wanted(self, sender, sync, record_by_digest):
        records = _list_records(record_by_digest, set(sync.wanted))
        if not records:
            return []
        return [Outgoing(to=sender, message=MemberSync(records=records))]

    def _map_records(self) -> dict[int, MemberRecord]:
        """Return all records in force, the own one included, by their digests."""
        record_by_digest = {
            member.digest: member.record for member in self._member_by_name.values()
        }
        own = self._make_own_record()
        record_by_digest[own.compute_digest()] = own
        return record_by_digest

    def _make_question(self, to):
        message = MemberSync(
            records=(self._make_own_record(), *self._list_news()),
            wants_answer=True,
            known=tuple(self._map_records()),
        )
        return Outgoing(to=to, message=message)

    def _list_news(self):
        """Return the records that changed last, for a receiver that cannot answer."""
        members = sorted(
            self._member_by_name.values(), key=lambda member: -member.changed_at
        )
        return [member.record for member in members[:NEWS_PER_QUESTION]]

    def _make_farewell(self, to):
        message = MemberSync(records=(self._make_own_record(),))
        return Outgoing(to=to, message=message)

    def _merge_synced_records(self, sender, sync, now):
        """Merge records from a comparison or an announcement.

        To a node that has just started, everything is new, though not to the others. It
        gossips only departures and what a member tells about itself in a question; an
        announcement goes to the whole region anyway.
        """
        is_young = now < self._started_at + YOUNG_SECONDS
        for record in sync.records:
            is_joining = sync.wants_answer and record.node.agent_peer_address == sender
            is_gossiped = not is_young or is_joining or record.status in _DEPARTED
            self._merge_records((record,), now, is_gossiped=is_gossiped)

    def _merge_records(self, records, now, *, is_gossiped=True):
        for record in records:
            if record.node.name == self._own.name:
                self._refute(record)
                continue
            if self._merge_record(record, now) and is_gossiped:
                self._gossip_queue.add(record)

    def _refute(self, record):
        """Refute a record of this node that takes precedence over its own."""
        if record.rank <= self._make_own_record().rank:
            return
        if record.node.incarnation > self._own.incarnation:
            # The clock of this host was set back between two starts.
            incarnation = record.node.incarnation + 1
            self._own = msgspec.structs.replace(self._own, incarnation=incarnation)
        self._revision = max(self._revision, record.revision)
        self._announce_own_record()

    def _merge_record(self, record, now) -> bool:
        """Merge a record of another member; return whether it is now in force."""
        member = self._member_by_name.get(record.node.name)
        if member is None:
            member = _Member(record=record, now=now)
            self._member_by_name[record.node.name] = member
            self._version += 1
            if self._is_prober_of(record.node):
                self._insert_in_probe_round(record.node.name)
            return True
        if record.rank <= member.record.rank:
            return False
        if record.node.incarnation > member.record.node.incarnation:
            member.unreachable = False
        member.set_record(record, now)
        self._version += 1
        return True

    def _insert_in_probe_round(self, name):
        position = self._random.randint(0, len(self._probe_round))
        self._probe_round.insert(position, name)

    def _record_offset(self, sender, offset):
        for member in self._member_by_name.values():
            if member.record.node.agent_peer_address == sender:
                member.offset = offset
                return

    def _begin_probe(self, now):
        name = self._choose_next_probed()
        if name is None:
            return self._join_through_seed(now)
        self._probe = _Probe(name=name, sequence=self._next_sequence(), now=now)
        address = self._member_by_name[name].record.node.agent_peer_address
        return [self._make_ping(address, self._probe.sequence, name)]

    def _choose_next_probed(self):
        """Return the next member to probe, from a shuffled round of live members.

        Returns:
            Name of the member, None if there is none.
        """
        for _ in range(2):
            while self._probe_round:
                name = self._probe_round.pop()
                member = self._member_by_name.get(name)
                if member is not None and member.record.status not in _DEPARTED:
                    return name
            self._probe_round = self._list_probed_members()
            self._random.shuffle(self._probe_round)
        return None

    def _list_probed_members(self):
        """Return the names of the live members that this node probes."""
        return [
            name
            for name, member in self._member_by_name.items()
            if member.record.status not in _DEPARTED
            and self._is_prober_of(member.record.node)
        ]

    def _is_prober_of(self, node):
        """Return whether this node sends heartbeats to a member.

        Only one node of each other region probes a member, because the member's own
        region detects a failure first and traffic between regions is expensive.
        """
        region = self._own.region
        if node.region == region:
            return True
        probers = [
            member.record.node.name
            for member in self._member_by_name.values()
            if member.record.status not in _DEPARTED
            and member.record.node.region == region
        ]
        own = self._own.name
        return choose_member([*probers, own], f"probe {node.name}") == own

    def _join_through_seed(self, now):
        if now < self._next_join_at:
            return []
        self._next_join_at = now + JOIN_RETRY_INTERVAL_SECONDS
        if not self._seeds:
            return []
        return [self._make_question(self._random.choice(self._seeds))]

    def _make_ping(self, to, sequence, name):
        records = self._take_gossip_records()
        member = self._member_by_name.get(name)
        if member is not None and member.record.status is not MemberStatus.ALIVE:
            # A suspected member needs this record to be able to refute it.
            records = (member.record, *records)
        ping = MemberPing(sequence=sequence, offset=self._own.offset, records=records)
        return Outgoing(to=to, message=ping)

    def _take_gossip_records(self):
        return self._gossip_queue.select_records(len(self._member_by_name) + 1)

    def _check_probe(self, now):
        probe = self._probe
        if probe is None:
            return []
        elapsed = now - probe.sent_at
        if not probe.has_requested_relays and elapsed >= ACK_TIMEOUT_SECONDS:
            probe.has_requested_relays = True
            return self._request_relays(probe)
        if elapsed >= RELAYED_ACK_TIMEOUT_SECONDS:
            self._probe = None
            self._mark_suspect(probe.name, now)
        return []

    def _request_relays(self, probe):
        member = self._member_by_name.get(probe.name)
        if member is None:
            return []
        request = MemberPingRequest(
            sequence=probe.sequence,
            name=probe.name,
            address=member.record.node.agent_peer_address,
        )
        relays = [
            node
            for node in self._sample_live_nodes(RELAY_COUNT + 1)
            if node.name != probe.name
        ]
        return [
            Outgoing(to=node.agent_peer_address, message=request)
            for node in relays[:RELAY_COUNT]
        ]

    def _sample_live_nodes(self, count):
        nodes = [
            member.record.node
            for member in self._member_by_name.values()
            if member.record.status not in _DEPARTED
        ]
        return self._random.sample(nodes, min(count, len(nodes)))

    def _mark_suspect(self, name, now):
        member = self._member_by_name.get(name)
        if member is None or member.record.status is not MemberStatus.ALIVE:
            return
        self._set_status(member, MemberStatus.SUSPECT, now)

    def _set_status(self, member, status, now):
        member.set_record(msgspec.structs.replace(member.record, status=status), now)
        self._version += 1
        self._gossip_queue.add(member.record)

    def _expire_members_and_relays(self, now):
        suspicion_timeout = SUSPICION_TIMEOUT_SECONDS * max(
            1.0, math.log10(len(self._member_by_name) + 1)
        )
        for name, member in list(self._member_by_name.items()):
            age = now - member.changed_at
            status = member.record.status
            if status is MemberStatus.SUSPECT and age >= suspicion_timeout:
                self._set_status(member, MemberStatus.DEAD, now)
            if status in _DEPARTED and age >= DEPARTED_RETENTION_SECONDS:
                del self._member_by_name[name]
        for sequence, (_, _, at) in list(self._relay_by_sequence.items()):
            if now - at >= HEARTBEAT_INTERVAL_SECONDS:
                del self._relay_by_sequence[sequence]

    def _retry_departed(self, now):
        """Compare records with one departed member or unknown seed.

        An answer shows that the member is back.
        """
        if now < self._next_departed_retry_at:
            return []
        self._next_departed_retry_at = now + RETRY_DEPARTED_INTERVAL_SECONDS
        live = {node.agent_peer_address for node in self.live_nodes()}
        addresses = {node.agent_peer_address for node in self.departed_nodes()}
        addresses.update(self._seeds)
        candidates = sorted(addresses - live)
        if not candidates:
            return []
        to = self._random.choice(candidates)
        return [self._make_question(to)]

    def _sync_if_due(self, now):
        if now < self._next_sync_at:
            return []
        self._next_sync_at = now + self._sync_interval * (0.5 + self._random.random())
        self._sync_interval = min(
            SYNC_INTERVAL_GROWTH * self._sync_interval, MAXIMUM_SYNC_INTERVAL_SECONDS
        )
        return [
            self._make_question(node.agent_peer_address)
            for node in self._choose_sync_peer()
        ]

    def _choose_sync_peer(self):
        live = self._sample_live_nodes(len(self._member_by_name))
        same_region = [node for node in live if node.region == self._own.region]
        if same_region and self._random.random() < SAME_REGION_SYNC_SHARE:
            return same_region[:1]
        return live[:1]

    def _next_sequence(self):
        self._sequence += 1
        return self._sequence


def _list_records(record_by_digest, digests) -> tuple[MemberRecord, ...]:
    return tuple(
        record for digest, record in record_by_digest.items() if digest in digests
    )


def _apply_offset(member):
    node = member.record.node
    if node.offset == member.offset:
        return node
    return msgspec.structs.replace(node, offset=member.offset)
