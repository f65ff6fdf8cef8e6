"""What ``/status`` answers."""

import msgspec


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """One node as the asked agent sees it.

    Attributes:
        name: Name of the host.
        region: Region of the host.
        data_centre: Data centre of the host.
        entry: State of its entry.
        offset: Next offset that it has not applied.
        behind: Offsets that it is behind the furthest node.
    """

    name: str
    region: str
    data_centre: str
    entry: str
    offset: int
    behind: int


class FleetStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """What the fleet is doing, as one agent sees it.

    Attributes:
        node: Name of the agent's host.
        offset: Next offset that the agent has not applied.
        log: ``reachable`` or ``away``.
        resources: Resources in force.
        void_records: Records without effect since the agent's start.
        nodes: Nodes taken as live.
    """

    node: str
    offset: int
    log: str
    resources: int
    void_records: int
    nodes: tuple[NodeStatus, ...]
