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
from citronspan.core.membership.member_table import DEPARTED_STATUSES, MemberTable
from citronspan.core.membership.probe_round import Probe, ProbeRound
from citronspan.core.membership.record_comparison import RecordComparison
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo

HEARTBEAT_INTERVAL_SECONDS = 1.0
ACK_TIMEOUT_SECONDS = 0.3
RELAYED_ACK_TIMEOUT_SECONDS = 0.8
RELAY_COUNT = 3
SUSPICION_TIMEOUT_SECONDS = 3.0
RETRY_DEPARTED_INTERVAL_SECONDS = 5.0
JOIN_RETRY_INTERVAL_SECONDS = 1.0
YOUNG_SECONDS = 30.0
DEPARTED_RETENTION_SECONDS = 6 * 3600.0


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
        self._members = MemberTable()
        self._gossip_queue = GossipQueue()
        self._probe: Probe | None = None
        self._relay_by_sequence: dict[int, tuple[str, int, float]] = {}
        self._sequence = self._random.getrandbits(32)
        self._probe_round = ProbeRound(
            own=own, members=self._members, draw=self._random
        )
        self._started_at = time.monotonic()
        self._next_probe_at = -math.inf
        self._next_departed_retry_at = -math.inf
        self._comparison = RecordComparison(
            members=self._members,
            make_own_record=self._make_own_record,
            draw=self._random,
        )
        self._next_join_at = -math.inf
        self._asked_addresses: set[str] = set()
        self._has_compared = False
        self._is_leaving = False
        self._own_version = 0
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
            Outgoing(to=node.agent_peer_address, message=message)
            for node in self._members.list_live_in_region(self._own.region)
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
        return self._own_version + self._members.version

    @property
    def awaits_peers(self) -> bool:
        """Whether there are peers to meet and none has told its whole view yet.

        Heartbeats of a peer that knows this node from before tell only some records.
        """
        return bool(self._seeds) and not self._has_compared

    def live_nodes(self) -> tuple[NodeInfo, ...]:
        """Return this node and the live members that it can reach, sorted by name."""
        nodes = [m.make_node() for m in self._members.list_live() if not m.unreachable]
        return _sort_by_name([self._own, *nodes])

    def unreachable_nodes(self) -> tuple[NodeInfo, ...]:
        """Return live members that others can reach and this node cannot, by name."""
        members = [member for member in self._members.list_live() if member.unreachable]
        return _sort_by_name([member.record.node for member in members])

    def departed_nodes(self) -> tuple[NodeInfo, ...]:
        """Return members that are dead or have left, by name."""
        departed = self._members.list_departed()
        return _sort_by_name([member.record.node for member in departed])

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
        questions = self._comparison.ask_if_due(self._own.region, now)
        if not self._has_compared:
            self._asked_addresses.update(question.to for question in questions)
        return outgoing + questions

    def _announce_own_record(self):
        self._revision += 1
        self._own_version += 1
        self._gossip_queue.add(self._make_own_record())

    def _make_own_record(self):
        status = MemberStatus.LEFT if self._is_leaving else MemberStatus.ALIVE
        return MemberRecord(node=self._own, revision=self._revision, status=status)

    def _handle_ping(self, sender, ping, now):
        self._merge_records(ping.records, now)
        self._members.record_offset(sender, ping.offset)
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
        member = self._members.find(ack.name)
        if member is None:
            return []
        if not ack.relayed:
            self._members.set_unreachable(member, False)
            self._members.record_offset(sender, ack.offset)
        probe = self._probe
        if probe is not None and probe.sequence == ack.sequence:
            self._members.set_unreachable(member, ack.relayed)
            self._probe = None
        return []

    def _handle_ping_request(self, sender, request, now):
        sequence = self._next_sequence()
        self._relay_by_sequence[sequence] = (sender, request.sequence, now)
        return [self._make_ping(request.address, sequence, request.name)]

    def _handle_sync(self, sender, sync, now):
        self._merge_synced_records(sender, sync, now)
        if not sync.wants_answer and sender in self._asked_addresses:
            self._note_comparison()
        return self._comparison.answer(sender, sync)

    def _note_comparison(self):
        self._has_compared = True
        self._asked_addresses.clear()
        self._own_version += 1

    def _ask(self, address):
        """Return a question for all records of a peer."""
        if not self._has_compared:
            self._asked_addresses.add(address)
        return self._comparison.make_question(address)

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
            is_gossiped = (
                not is_young or is_joining or record.status in DEPARTED_STATUSES
            )
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
        is_new = self._members.find(record.node.name) is None
        is_in_force = self._members.merge(record, now)
        if is_new:
            self._probe_round.insert(record.node)
        return is_in_force

    def _begin_probe(self, now):
        name = self._probe_round.choose_next()
        if name is None:
            return self._join_through_seed(now)
        self._probe = Probe(name=name, sequence=self._next_sequence(), now=now)
        address = self._members.find(name).record.node.agent_peer_address
        return [self._make_ping(address, self._probe.sequence, name)]

    def _join_through_seed(self, now):
        if now < self._next_join_at:
            return []
        self._next_join_at = now + JOIN_RETRY_INTERVAL_SECONDS
        if not self._seeds:
            return []
        return [self._ask(self._random.choice(self._seeds))]

    def _make_ping(self, to, sequence, name):
        records = self._take_gossip_records()
        member = self._members.find(name)
        if member is not None and member.record.status is not MemberStatus.ALIVE:
            # A suspected member needs this record to be able to refute it.
            records = (member.record, *records)
        ping = MemberPing(sequence=sequence, offset=self._own.offset, records=records)
        return Outgoing(to=to, message=ping)

    def _take_gossip_records(self):
        return self._gossip_queue.select_records(len(self._members) + 1)

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
        member = self._members.find(probe.name)
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
        nodes = [member.record.node for member in self._members.list_live()]
        return self._random.sample(nodes, min(count, len(nodes)))

    def _mark_suspect(self, name, now):
        member = self._members.find(name)
        if member is None or member.record.status is not MemberStatus.ALIVE:
            return
        self._set_status(member, MemberStatus.SUSPECT, now)

    def _set_status(self, member, status, now):
        self._members.set_status(member, status, now)
        self._gossip_queue.add(member.record)

    def _expire_members_and_relays(self, now):
        suspicion_timeout = SUSPICION_TIMEOUT_SECONDS * max(
            1.0, math.log10(len(self._members) + 1)
        )
        for member in self._members.list_all():
            age = now - member.changed_at
            was_departed = member.is_departed
            is_suspect = member.record.status is MemberStatus.SUSPECT
            if is_suspect and age >= suspicion_timeout:
                self._set_status(member, MemberStatus.DEAD, now)
            if was_departed and age >= DEPARTED_RETENTION_SECONDS:
                self._members.remove(member.record.node.name)
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
        return [self._ask(self._random.choice(candidates))]

    def _next_sequence(self):
        self._sequence += 1
        return self._sequence


def _sort_by_name(nodes) -> tuple[NodeInfo, ...]:
    return tuple(sorted(nodes, key=lambda node: node.name))
