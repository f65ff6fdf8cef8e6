"""Messages between the agent and the entry of one host."""

import msgspec

from citronspan.core.message_base import Message


class HostRoom(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a host can bear by its settings.

    Attributes:
        processor_millicores: Thousandths of a core that its processes may use, 0 if
            not stated.
        link_kbit: Kilobits per second of its link, 0 if not stated.
    """

    processor_millicores: int = 0
    link_kbit: int = 0


class NodeInfo(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Description of a node that all nodes share.

    Attributes:
        name: Name of the host.
        incarnation: Incarnation of the agent; larger is newer.
        region: Region of the host.
        data_centre: Data centre of the host.
        agent_peer_address: Address at which its agent receives messages.
        entry_peer_address: Address at which its entry receives messages.
        entry_callers_address: Address at which its entry accepts callers.
        api_address: Address of the resource API and the directory at its agent.
        entry_state: State of its entry in the statechart ``entry``.
        entry_incarnation: Incarnation of its entry, 0 before the first report.
        offset: First offset of the log that the node has not applied.
        entry_busy: Whether the load of its entry is so high that callers should use
            more entries.
        entry_relay_address: Address at which its entry relays connections to targets
            for peers, empty if it does not.
        room: What its host can bear, None if its settings don't say. A node of an
            earlier version passes the record on without it.
        entry_full: Whether its entry is about to refuse requests.
    """

    name: str
    incarnation: int
    region: str
    data_centre: str
    agent_peer_address: str
    entry_peer_address: str
    entry_callers_address: str
    api_address: str
    entry_state: str = "joining"
    entry_incarnation: int = 0
    offset: int = 0
    entry_busy: bool = False
    entry_relay_address: str = ""
    room: HostRoom | None = None
    entry_full: bool = False


class ConfigurationPush(Message, kw_only=True):
    """The configuration in force, or a change to it, from agent to entry.

    Attributes:
        base_offset: Offset to which the change applies, 0 for a complete state.
        offset: Offset after the change.
        changed: Resources in JSON, with their versions.
        removed: Kind and name of each removed resource.
        part: Number of this part, from 0; see ``push_parts``.
        parts: Number of parts of the push.
    """

    base_offset: int
    offset: int
    changed: tuple[bytes, ...] = ()
    removed: tuple[tuple[str, str], ...] = ()
    part: int = 0
    parts: int = 1


class ViewPush(Message, kw_only=True):
    """The nodes that the agent considers live, from agent to entry.

    Attributes:
        sequence: Sequence number, which grows with each view of this agent.
        nodes: Live nodes, on which the choice of a target may depend.
        leaving_targets: Addresses of targets that the host list shows as leaving.
        awaits_peers: Whether the agent has peers to meet, none of which has told it
            its whole view yet, so that the fleet may have any number of other nodes.
    """

    sequence: int
    nodes: tuple[NodeInfo, ...]
    leaving_targets: tuple[str, ...] = ()
    awaits_peers: bool = False


class TargetReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Status of a target at its broker.

    Attributes:
        name: Name of the target.
        service: Name of its service.
        state: State in the statechart ``target``.
        since_seconds: Time since the target entered the state.
        reason: Reason for the state in a short sentence.
        evidence: Evidence against the target in nats.
        threshold: Evidence at which a target is ejected, in nats.
        usable_slots: Slots that may be used now.
        used_slots: Slots that are granted.
        kept_by_floor: Whether the target stays in use despite ejection because of the
            floor.
        broker: Node whose entry is the reporting broker.
    """

    name: str
    service: str
    state: str
    broker: str
    since_seconds: float = 0.0
    reason: str = msgspec.field(default="", name="why")
    evidence: float = 0.0
    threshold: float = 0.0
    usable_slots: int = 0
    used_slots: int = 0
    kept_by_floor: bool = False


class ShardReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Status of a shard at its broker.

    Attributes:
        name: Service, region and number of the shard.
        capacity: Slots that may be used now.
        waiting: Number of waiting requests.
        grants: Number of grants so far.
        refusals: Number of refusals so far.
        floor_slots: Number of slots that the floor requires.
        floor_broken_by_leaving: Whether leaving targets alone violate the floor.
        targets: The shard's targets.
        counted_requests: Requests that the retry budget has counted so far.
        retries: Retries granted from the budget so far.
        waiting_accounts: Accounts with waiting requests.
        starved_accounts: Those of them that are served much more seldom than all.
        displaced: Waiting requests that gave their place to others so far.
        placed_returns: Refusals so far whose callers come back one behind the other.
        spread_returns: Refusals so far for which there was no place in their time.
    """

    name: str
    capacity: int
    waiting: int
    grants: int
    refusals: int
    floor_slots: float = 0.0
    floor_broken_by_leaving: bool = False
    targets: tuple[TargetReport, ...] = ()
    counted_requests: int = 0
    retries: int = 0
    waiting_accounts: int = 0
    starved_accounts: int = 0
    displaced: int = 0
    placed_returns: int = 0
    spread_returns: int = 0


class EntryReport(Message, kw_only=True):
    """Status of the entry, from entry to agent, several times a second.

    Attributes:
        name: Name of the host.
        state: State in the statechart ``entry``.
        offset: Offset of the configuration in force at the entry.
        view_sequence: Sequence number of the last view that the entry applied.
        in_flight: Number of requests in flight.
        busy: Whether callers should use more entries than this one.
        full: Whether the entry is about to refuse requests.
        shards: Shards whose broker this entry is; None if the report omits them.
        unhealthy_targets: Targets that other brokers of the region report as not
            healthy.
    """

    name: str
    state: str
    offset: int
    view_sequence: int = 0
    in_flight: int = 0
    busy: bool = False
    shards: tuple[ShardReport, ...] | None = None
    unhealthy_targets: tuple[TargetReport, ...] = msgspec.field(
        default=(), name="sick_targets"
    )
    full: bool = False


NodeMessage = ConfigurationPush | ViewPush | EntryReport
