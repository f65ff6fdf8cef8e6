"""Messages between the agent and the entry of one host."""

import msgspec

from citronspan.core.message_base import Message


class NodeInfo(msgspec.Struct, frozen=True, kw_only=True):
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


class ConfigurationPush(Message, kw_only=True):
    """The configuration in force, or a change to it, from agent to entry.

    Attributes:
        base_offset: Offset that the change builds on, 0 for a whole state.
        offset: Offset after the change.
        changed: Resources in JSON, with their versions.
        removed: Pairs of kind and name.
    """

    base_offset: int
    offset: int
    changed: tuple[bytes, ...] = ()
    removed: tuple[tuple[str, str], ...] = ()


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


class EntryReport(Message, kw_only=True):
    """What the entry is doing, from entry to agent, several times a second.

    Attributes:
        name: Name of the host.
        state: State by the chart ``entry``.
        offset: Offset of the configuration in force at the entry.
        view_sequence: Sequence of the last view taken.
        in_flight: Requests being carried.
    """

    name: str
    state: str
    offset: int
    view_sequence: int = 0
    in_flight: int = 0


NodeMessage = ConfigurationPush | ViewPush | EntryReport
