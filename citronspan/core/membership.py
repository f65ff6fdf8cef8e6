"""Which nodes are live: heartbeats to random members, news carried along.

The cost of a node does not grow with the fleet: it sends one heartbeat a period,
and news ride on heartbeats a bounded number of times. Source: Das, Gupta and
Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", DSN 2002. Records merge by a total order, so order and duplicates don't
matter. Members that are gone are remembered and tried again now and then, so that
regions which lost each other find together without seeds.
"""

import math
import random
import time

import msgspec

from citronspan.core.member_gossip import GossipQueue
from citronspan.core.member_messages import (
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
RELAYS = 3
SUSPICION_TIMEOUT_SECONDS = 3.0
RETRY_GONE_INTERVAL_SECONDS = 5.0
# A node that starts compares all it holds often, then ever more rarely.
INITIAL_SYNC_INTERVAL_SECONDS = 1.0
MAXIMUM_SYNC_INTERVAL_SECONDS = 64.0
JOIN_RETRY_INTERVAL_SECONDS = 1.0
# Part of the comparisons that are made within the region.
SAME_REGION_SYNC_SHARE = 0.9
FORGET_GONE_SECONDS = 6 * 3600.0

_GONE = frozenset({MemberStatus.DEAD, MemberStatus.LEFT})


class _Member:
    """A member with what this node alone knows of it."""

    __slots__ = ("changed_at", "offset", "record", "unheard")

    def __init__(self, *, record: MemberRecord, now: float):
        self.record = record
        self.changed_at = now
        self.offset = record.node.offset
        self.unheard = False


class _Probe:
    """A heartbeat whose answer is awaited."""

    __slots__ = ("asked_relays", "name", "sent_at", "sequence")

    def __init__(self, *, name: str, sequence: int, now: float):
        self.name = name
        self.sequence = sequence
        self.sent_at = now
        self.asked_relays = False


class Membership:
    """The view of one node. It has no sockets and is called under one lock."""

    def __init__(
        self, *, own: NodeInfo, seeds: tuple[str, ...] = (), seed: int | None = None
    ):
        """Begin with this node alone.

        Args:
            own: This node.
            seeds: Peer addresses to ask first.
            seed: Seed of random choices, None for a different one each time.
        """
        self._random = random.Random(seed)
        self._own = own
        self._revision = 0
        self._seeds: tuple[str, ...] = ()
        self.set_seeds(seeds)
        self._member_by_name: dict[str, _Member] = {}
        self._news = GossipQueue()
        self._probe: _Probe | None = None
        self._relay_by_sequence: dict[int, tuple[str, int, float]] = {}
        self._sequence = self._random.getrandbits(32)
        self._round: list[str] = []
        self._period_at = -math.inf
        self._gone_at = -math.inf
        self._sync_interval = INITIAL_SYNC_INTERVAL_SECONDS
        self._sync_at = (
            time.monotonic() + INITIAL_SYNC_INTERVAL_SECONDS * self._random.random()
        )
        self._join_at = -math.inf
        self._is_leaving = False
        self._version = 0
        self._announce()

    @property
    def own(self) -> NodeInfo:
        """This node."""
        return self._own

    def update_own(self, **changes) -> None:
        """Change this node's own word; offsets alone are not spread as news."""
        updated = msgspec.structs.replace(self._own, **changes)
        if updated == self._own:
            return
        is_news = msgspec.structs.replace(updated, offset=self._own.offset) != self._own
        self._own = updated
        if is_news:
            self._announce()

    def announce_to_region(self) -> list[Outgoing]:
        """Tell every live member of the region what this node says of itself."""
        message = MemberSync(records=(self._make_own_record(),), wants_answer=False)
        return [
            Outgoing(to=member.record.node.agent_peer_address, message=message)
            for member in self._member_by_name.values()
            if member.record.status not in _GONE
            and member.record.node.region == self._own.region
        ]

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other seeds."""
        own = self._own.agent_peer_address
        self._seeds = tuple(seed for seed in seeds if seed != own)

    def leave(self) -> list[Outgoing]:
        """Tell some members that this node stops."""
        self._is_leaving = True
        self._announce()
        receivers = self._choose_live(RELAYS)
        return [self._make_sync(node.agent_peer_address, False) for node in receivers]

    @property
    def version(self) -> int:
        """Number that grows with each change of the view, offsets apart."""
        return self._version

    def live_nodes(self) -> tuple[NodeInfo, ...]:
        """Return this node and the live members that it can hear, by name."""
        nodes = [self._own]
        for member in self._member_by_name.values():
            if member.record.status in _GONE or member.unheard:
                continue
            nodes.append(_add_offset(member))
        return tuple(sorted(nodes, key=lambda node: node.name))

    def unreachable_nodes(self) -> tuple[NodeInfo, ...]:
        """Return members that others can hear and this node cannot, by name."""
        nodes = [
            member.record.node
            for member in self._member_by_name.values()
            if member.unheard and member.record.status not in _GONE
        ]
        return tuple(sorted(nodes, key=lambda node: node.name))

    def departed_nodes(self) -> tuple[NodeInfo, ...]:
        """Return members that are dead or have left, by name."""
        nodes = [
            member.record.node
            for member in self._member_by_name.values()
            if member.record.status in _GONE
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
        """Do what is due by time; to be called several times a second.

        Returns:
            Messages to send.
        """
        now = time.monotonic()
        outgoing = self._follow_probe(now)
        self._expire(now)
        if now >= self._period_at:
            self._period_at = now + HEARTBEAT_INTERVAL_SECONDS
            outgoing += self._begin_probe(now)
        outgoing += self._try_gone(now)
        outgoing += self._sync_now_and_then(now)
        return outgoing

    def _announce(self):
        self._revision += 1
        self._version += 1
        self._news.add(self._make_own_record())

    def _make_own_record(self):
        status = MemberStatus.LEFT if self._is_leaving else MemberStatus.ALIVE
        return MemberRecord(node=self._own, revision=self._revision, status=status)

    def _handle_ping(self, sender, ping, now):
        self._merge(ping.records, now)
        self._note_offset(sender, ping.offset)
        return [self._make_ack(sender, ping.sequence, self._own.name, False)]

    def _make_ack(self, to, sequence, name, relayed):
        ack = MemberAck(
            sequence=sequence,
            offset=self._own.offset,
            name=name,
            relayed=relayed,
            records=self._take_news(),
        )
        return Outgoing(to=to, message=ack)

    def _handle_ack(self, sender, ack, now):
        self._merge(ack.records, now)
        relay = self._relay_by_sequence.pop(ack.sequence, None)
        if relay is not None:
            to, sequence, _ = relay
            return [self._make_ack(to, sequence, ack.name, True)]
        member = self._member_by_name.get(ack.name)
        if member is None:
            return []
        if not ack.relayed:
            self._set_unheard(member, False)
            self._note_offset(sender, ack.offset)
        probe = self._probe
        if probe is not None and probe.sequence == ack.sequence:
            self._set_unheard(member, ack.relayed)
            self._probe = None
        return []

    def _set_unheard(self, member, unheard):
        if member.unheard != unheard:
            member.unheard = unheard
            self._version += 1

    def _handle_ping_request(self, sender, request, now):
        sequence = self._next_sequence()
        self._relay_by_sequence[sequence] = (sender, request.sequence, now)
        return [self._make_ping(request.address, sequence, request.name)]

    def _handle_sync(self, sender, sync, now):
        self._merge(sync.records, now)
        return [self._make_sync(sender, False)] if sync.wants_answer else []

    def _make_sync(self, to, wants_answer):
        records = [member.record for member in self._member_by_name.values()]
        records.append(self._make_own_record())
        message = MemberSync(records=tuple(records), wants_answer=wants_answer)
        return Outgoing(to=to, message=message)

    def _merge(self, records, now):
        for record in records:
            if record.node.name == self._own.name:
                self._defend(record)
                continue
            self._merge_record(record, now)

    def _defend(self, record):
        """Answer a word on this node that is not its own."""
        if record.rank <= self._make_own_record().rank:
            return
        if record.node.incarnation > self._own.incarnation:
            # The clock of this host went back between two starts.
            incarnation = record.node.incarnation + 1
            self._own = msgspec.structs.replace(self._own, incarnation=incarnation)
        self._revision = max(self._revision, record.revision)
        self._announce()

    def _merge_record(self, record, now):
        member = self._member_by_name.get(record.node.name)
        if member is None:
            member = _Member(record=record, now=now)
            self._member_by_name[record.node.name] = member
            self._news.add(record)
            self._version += 1
            if self._is_probed(record.node):
                self._insert_in_round(record.node.name)
            return
        if record.rank <= member.record.rank:
            return
        if record.node.incarnation > member.record.node.incarnation:
            member.unheard = False
        member.record = record
        member.changed_at = now
        self._version += 1
        self._news.add(record)

    def _insert_in_round(self, name):
        position = self._random.randint(0, len(self._round))
        self._round.insert(position, name)

    def _note_offset(self, sender, offset):
        for member in self._member_by_name.values():
            if member.record.node.agent_peer_address == sender:
                member.offset = offset
                return

    def _begin_probe(self, now):
        name = self._choose_next()
        if name is None:
            return self._join(now)
        self._probe = _Probe(name=name, sequence=self._next_sequence(), now=now)
        address = self._member_by_name[name].record.node.agent_peer_address
        return [self._make_ping(address, self._probe.sequence, name)]

    def _choose_next(self):
        """Return the next member of a shuffled round of the live ones."""
        for _ in range(2):
            while self._round:
                name = self._round.pop()
                member = self._member_by_name.get(name)
                if member is not None and member.record.status not in _GONE:
                    return name
            self._round = self._list_probed()
            self._random.shuffle(self._round)
        return None

    def _list_probed(self):
        """Return the names of the live members that this node sends heartbeats to."""
        return [
            name
            for name, member in self._member_by_name.items()
            if member.record.status not in _GONE and self._is_probed(member.record.node)
        ]

    def _is_probed(self, node):
        """Return whether this node is to send heartbeats to a member.

        A member of another region gets them from one node of each region only, since
        its own region finds out first and bytes between regions are dear.
        """
        region = self._own.region
        if node.region == region:
            return True
        probers = [
            member.record.node.name
            for member in self._member_by_name.values()
            if member.record.status not in _GONE and member.record.node.region == region
        ]
        own = self._own.name
        return choose_member([*probers, own], f"probe {node.name}") == own

    def _join(self, now):
        if now < self._join_at:
            return []
        self._join_at = now + JOIN_RETRY_INTERVAL_SECONDS
        if not self._seeds:
            return []
        return [self._make_sync(self._random.choice(self._seeds), True)]

    def _make_ping(self, to, sequence, name):
        records = self._take_news()
        member = self._member_by_name.get(name)
        if member is not None and member.record.status is not MemberStatus.ALIVE:
            # A suspected member must hear of it to be able to answer.
            records = (member.record, *records)
        ping = MemberPing(sequence=sequence, offset=self._own.offset, records=records)
        return Outgoing(to=to, message=ping)

    def _take_news(self):
        return self._news.select_records(len(self._member_by_name) + 1)

    def _follow_probe(self, now):
        probe = self._probe
        if probe is None:
            return []
        waited = now - probe.sent_at
        if not probe.asked_relays and waited >= ACK_TIMEOUT_SECONDS:
            probe.asked_relays = True
            return self._ask_relays(probe)
        if waited >= RELAYED_ACK_TIMEOUT_SECONDS:
            self._probe = None
            self._suspect(probe.name, now)
        return []

    def _ask_relays(self, probe):
        member = self._member_by_name.get(probe.name)
        if member is None:
            return []
        request = MemberPingRequest(
            sequence=probe.sequence,
            name=probe.name,
            address=member.record.node.agent_peer_address,
        )
        relays = [
            node for node in self._choose_live(RELAYS + 1) if node.name != probe.name
        ]
        return [
            Outgoing(to=node.agent_peer_address, message=request)
            for node in relays[:RELAYS]
        ]

    def _choose_live(self, count):
        nodes = [
            member.record.node
            for member in self._member_by_name.values()
            if member.record.status not in _GONE
        ]
        return self._random.sample(nodes, min(count, len(nodes)))

    def _suspect(self, name, now):
        member = self._member_by_name.get(name)
        if member is None or member.record.status is not MemberStatus.ALIVE:
            return
        self._set_status(member, MemberStatus.SUSPECT, now)

    def _set_status(self, member, status, now):
        member.record = msgspec.structs.replace(member.record, status=status)
        member.changed_at = now
        self._version += 1
        self._news.add(member.record)

    def _expire(self, now):
        suspicion = SUSPICION_TIMEOUT_SECONDS * max(
            1.0, math.log10(len(self._member_by_name) + 1)
        )
        for name, member in list(self._member_by_name.items()):
            age = now - member.changed_at
            status = member.record.status
            if status is MemberStatus.SUSPECT and age >= suspicion:
                self._set_status(member, MemberStatus.DEAD, now)
            if status in _GONE and age >= FORGET_GONE_SECONDS:
                del self._member_by_name[name]
        for sequence, (_, _, at) in list(self._relay_by_sequence.items()):
            if now - at >= HEARTBEAT_INTERVAL_SECONDS:
                del self._relay_by_sequence[sequence]

    def _try_gone(self, now):
        """Ask one member that is gone, or a seed, whether it is back."""
        if now < self._gone_at:
            return []
        self._gone_at = now + RETRY_GONE_INTERVAL_SECONDS
        live = {node.agent_peer_address for node in self.live_nodes()}
        addresses = {node.agent_peer_address for node in self.departed_nodes()}
        addresses.update(self._seeds)
        candidates = sorted(addresses - live)
        if not candidates:
            return []
        to = self._random.choice(candidates)
        own = MemberSync(records=(self._make_own_record(),), wants_answer=True)
        return [Outgoing(to=to, message=own)]

    def _sync_now_and_then(self, now):
        if now < self._sync_at:
            return []
        self._sync_at = now + self._sync_interval * (0.5 + self._random.random())
        self._sync_interval = min(
            2 * self._sync_interval, MAXIMUM_SYNC_INTERVAL_SECONDS
        )
        return [
            self._make_sync(node.agent_peer_address, True)
            for node in self._choose_to_compare()
        ]

    def _choose_to_compare(self):
        live = self._choose_live(len(self._member_by_name))
        near = [node for node in live if node.region == self._own.region]
        if near and self._random.random() < SAME_REGION_SYNC_SHARE:
            return near[:1]
        return live[:1]

    def _next_sequence(self):
        self._sequence += 1
        return self._sequence


def _add_offset(member):
    node = member.record.node
    if node.offset == member.offset:
        return node
    return msgspec.structs.replace(node, offset=member.offset)
