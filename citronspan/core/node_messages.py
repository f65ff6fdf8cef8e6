"""Messages between the agent and the entry of one host."""

import msgspec

from citronspan.core.message_base import Message


class NodeInfo(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What every node knows of a node.

    Attributes:
        name: Name of the host.
        incarnation: Incarnation of the agent; larger is newer.
        region: Region of the host.
        data_centre: Data centre of the host.
        agent_peer_address: Where its agent takes messages.
        entry_peer_address: Where its entry takes messages.
        entry_callers_address: Where its entry takes callers.
        api_address: Where its agent serves the resource API and the directory.
        entry_state: State of its entry, by the chart ``entry``.
        entry_incarnation: Incarnation of its entry, 0 before the first report.
        offset: Next offset of the log that the node has not applied.
        entry_busy: Whether its entry carries so much that callers should use more
            entries.
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


class ConfigurationPush(Message, kw_only=True):
    """The configuration in force, or a change to it, from agent to entry.

    Attributes:
        base_offset: Offset that the change builds on, 0 for a whole state.
        offset: Offset after the change.
        changed: Resources in JSON, with their versions.
        removed: Pairs of kind and name.
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
    """The nodes that the agent takes as live, from agent to entry.

    Attributes:
        sequence: Number that grows with each view of this agent.
        nodes: Nodes that a chooser may depend on.
        leaving_targets: Addresses of targets that the host list shows as leaving.
    """

    sequence: int
    nodes: tuple[NodeInfo, ...]
    leaving_targets: tuple[str, ...] = ()


class TargetReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What the broker of a target knows of it.

    Attributes:
        name: Name of the target.
        service: Name of its service.
        state: State by the chart ``target``.
        since_seconds: Time in that state.
        reason: Reason for the state in a short sentence.
        evidence: Evidence against it in nats.
        threshold: Evidence that ejects, in nats.
        usable_slots: Slots that may be used now.
        used_slots: Slots that are granted.
        kept_by_floor: Whether an ejection is ignored for the floor's sake.
        broker: Node whose entry is the broker that says so.
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
    """What the broker of a shard is doing.

    Attributes:
        name: Service, region and number of the shard.
        capacity: Slots that may be used now.
        waiting: Requests that wait.
        grants: Grants so far.
        refusals: Refusals so far.
        floor_slots: Slots that the floor asks for.
        floor_broken_by_leaving: Whether leaving targets alone break the floor.
        targets: The shard's targets.
    """

    name: str
    capacity: int
    waiting: int
    grants: int
    refusals: int
    floor_slots: float = 0.0
    floor_broken_by_leaving: bool = False
    targets: tuple[TargetReport, ...] = ()


class EntryReport(Message, kw_only=True):
    """What the entry is doing, from entry to agent, several times a second.

    Attributes:
        name: Name of the host.
        state: State by the chart ``entry``.
        offset: Offset of the configuration in force at the entry.
        view_sequence: Sequence of the last view taken.
        in_flight: Requests being carried.
        busy: Whether callers should use more entries than this one.
        shards: Shards whose broker this entry is; None where they are not told.
        unhealthy_targets: Targets that other brokers of the region hold as not healthy.
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


NodeMessage = ConfigurationPush | ViewPush | EntryReport
