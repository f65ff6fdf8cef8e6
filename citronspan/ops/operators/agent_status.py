"""The answer of ``/status``."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from citronspan.core.configuration.config_state import find_warnings
from citronspan.core.node_messages import EntryReport, NodeInfo, TargetReport
from citronspan.ops.store.active_config import ActiveConfig
from citronspan.ops.store.config_source import LogReadStatus

MAXIMUM_WARNINGS = 20


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A node as seen by the agent that answers.

    Attributes:
        name: Name of the host.
        region: Region of the host.
        data_centre: Data centre of the host.
        entry: State of its entry.
        offset: Next offset that it had not applied as of its last gossiped state.
        behind: Number of offsets by which it lagged in its last message. Only offsets
            count that the answering agent had applied for longer than a change may
            take to propagate.
    """

    name: str
    region: str
    data_centre: str
    entry: str
    offset: int
    behind: int


class TargetStatus(
    msgspec.Struct, frozen=True, kw_only=True, rename="camel", omit_defaults=True
):
    """A target as seen by the nodes that choose targets.

    Attributes:
        name: Name of the target.
        service: Name of its service.
        state: State in the statechart ``target``.
        since_seconds: Time since it entered that state.
        evidence: Short reason for the state.
        by: Node that reports the state.
        slots_in_use: Number of slots in use, -1 if unknown.
        slots: Number of usable slots.
    """

    name: str
    service: str
    state: str
    since_seconds: float = 0.0
    evidence: str = ""
    by: str = ""
    slots_in_use: int = -1
    slots: int = 0


class FleetStatus(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Status of the fleet as seen by one agent.

    Attributes:
        node: Name of the agent's host.
        ready: Whether the agent serves its configuration.
        offset: Next offset that the agent has not applied.
        entry_offset: Offset active at its entry, -1 before the first report.
        log: ``reachable``, ``away`` or ``not-read`` (other nodes read it).
        log_offset: Offset of the log's next append as of the last read, -1 if unknown.
        resources: Number of active resources.
        void_records: Number of records rejected since the agent's start.
        warnings: Warnings about resources, at most ``MAXIMUM_WARNINGS``.
        warnings_left_out: Number of further warnings.
        nodes: The live nodes.
        targets: The targets whose state is known.
        unreachable: Nodes that other nodes can reach and this agent cannot.
        gone: Nodes that are dead or have left.
        configuration_problem: Why the newest configuration that the agent read is
            invalid, empty if it is valid or came from another agent.
    """

    node: str
    ready: bool
    offset: int
    entry_offset: int
    log: str
    log_offset: int
    resources: int
    void_records: int
    warnings: tuple[str, ...]
    warnings_left_out: int
    nodes: tuple[NodeStatus, ...]
    targets: tuple[TargetStatus, ...] = ()
    unreachable: tuple[str, ...] = msgspec.field(default=(), name="unheard")
    gone: tuple[str, ...] = ()
    configuration_problem: str = ""


class FleetView(Protocol):
    """The nodes known to an agent."""

    def live_nodes(self) -> tuple[NodeInfo, ...]:
        """Return the live nodes."""

    def unreachable_nodes(self) -> tuple[NodeInfo, ...]:
        """Return the nodes that other nodes can reach and this one cannot."""

    def departed_nodes(self) -> tuple[NodeInfo, ...]:
        """Return the nodes that are dead or have left."""


def make_status(
    *,
    name: str,
    active_config: ActiveConfig,
    read_status: LogReadStatus,
    view: FleetView,
    entry: EntryReport | None,
    targets: tuple[TargetStatus, ...],
    find_peer_lag: Callable[[str], int],
    configuration_problem: str,
) -> FleetStatus:
    """Build the status of the fleet.

    Args:
        name: Name of the answering agent's host.
        active_config: Its configuration.
        read_status: Result of its last read of the log.
        view: The nodes known to it.
        entry: The last report of its entry, None before the first.
        targets: Status of the known targets.
        find_peer_lag: Returns the lag in offsets of the node with a peer address.
        configuration_problem: Why the newest configuration is invalid, or empty.

    Returns:
        The status.
    """
    state = active_config.state
    warnings = [
        f"{key.kind}/{key.name}: {warning}"
        for key in sorted(state.resource_by_key)
        for warning in find_warnings(state, key)
    ]
    return FleetStatus(
        node=name,
        ready=active_config.ready,
        offset=state.offset,
        entry_offset=-1 if entry is None else entry.offset,
        log=_describe_log(active_config, read_status),
        log_offset=-1 if read_status.next_offset is None else read_status.next_offset,
        resources=len(state.resource_by_key),
        void_records=active_config.void_records,
        warnings=tuple(warnings[:MAXIMUM_WARNINGS]),
        warnings_left_out=max(0, len(warnings) - MAXIMUM_WARNINGS),
        nodes=_make_node_statuses(view.live_nodes(), find_peer_lag),
        targets=targets,
        unreachable=tuple(node.name for node in view.unreachable_nodes()),
        gone=tuple(node.name for node in view.departed_nodes()),
        configuration_problem=configuration_problem,
    )


def make_target_status(target: TargetReport) -> TargetStatus:
    """Convert the report on a target to the status shown to operators.

    Args:
        target: The report of its broker.

    Returns:
        The status.
    """
    evidence = target.reason
    if target.evidence:
        evidence += f" ({target.evidence:.1f} nats"
        evidence += f" of {target.threshold:.1f})" if target.threshold else ")"
    if target.kept_by_floor:
        evidence += "; kept in use by the floor"
    return TargetStatus(
        name=target.name,
        service=target.service,
        state=target.state,
        since_seconds=round(target.since_seconds, 1),
        evidence=evidence,
        by=target.broker,
        slots_in_use=target.used_slots,
        slots=target.usable_slots,
    )


def _describe_log(active_config: ActiveConfig, read_status: LogReadStatus) -> str:
    if read_status.is_unavailable:
        return "away"
    return "reachable" if active_config.plan.is_reader else "not-read"


def _make_node_statuses(nodes, find_peer_lag):
    return tuple(
        NodeStatus(
            name=node.name,
            region=node.region,
            data_centre=node.data_centre,
            entry=node.entry_state,
            offset=node.offset,
            behind=find_peer_lag(node.agent_peer_address),
        )
        for node in nodes
    )
