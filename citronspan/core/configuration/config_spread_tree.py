"""Chooses the readers of the log in each region and the trees that forward records.

Both are pure functions of the set of live nodes, so they need no consensus. Nodes
whose views differ for a while send some messages twice or not at all; the comparison
of offsets repairs what was not sent.
"""

from dataclasses import dataclass

from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import rank_members

READERS_PER_REGION = 3
TREES_PER_REGION = 2
FAN_OUT = 6
COMPARISON_PEERS = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadPlan:
    """Role of one node in replication, computed from its view of the region.

    Attributes:
        rank: Rank of the node among the nodes of its region, from 0. The first
            ``READERS_PER_REGION`` ranks read the log.
        receivers: Peer addresses to which the node forwards records.
        comparison_peers: Peer addresses with which the node compares offsets. They are
            few, so that a node keeps connections to few peers, and they differ between
            nodes, so that the comparisons connect the whole region.
    """

    rank: int
    receivers: tuple[str, ...]
    comparison_peers: tuple[str, ...] = ()

    @property
    def is_reader(self) -> bool:
        """Whether the node reads the log."""
        return self.rank < READERS_PER_REGION


def make_plan(own: NodeInfo, nodes: tuple[NodeInfo, ...]) -> SpreadPlan:
    """Compute the role of a node in replication within its region.

    The readers forward to each other, and ``TREES_PER_REGION`` of them are each the
    root of a tree of the other nodes. The second tree has the reverse order of the
    first, so that an inner node of one is a leaf of the other, and the roots differ.
    The failure of one node therefore cuts off no other node.

    Args:
        own: The node.
        nodes: The nodes that are considered live.

    Returns:
        The plan of the node.
    """
    address_by_name = {
        node.name: node.agent_peer_address
        for node in nodes
        if node.region == own.region
    }
    address_by_name[own.name] = own.agent_peer_address
    ranking = _rank_readers(address_by_name, own.region)
    rank = ranking.index(own.name)
    readers, non_readers = ranking[:READERS_PER_REGION], ranking[READERS_PER_REGION:]
    receivers = set()
    if own.name in readers:
        receivers.update(readers)
    for tree, order in enumerate((non_readers, non_readers[::-1])):
        position = order.index(own.name) if own.name in order else None
        receivers.update(_list_tree_children(order, position, is_root=rank == tree))
    receivers.discard(own.name)
    ranked_peers = rank_members(
        set(address_by_name) - {own.name}, f"configuration-compared {own.name}"
    )
    return SpreadPlan(
        rank=rank,
        receivers=tuple(sorted(address_by_name[name] for name in receivers)),
        comparison_peers=tuple(
            address_by_name[name] for name in ranked_peers[:COMPARISON_PEERS]
        ),
    )


class SpreadNeighbours:
    """One node's view of the live nodes and its plan for replication.

    Attributes:
        nodes: The nodes that are considered live, as last set.
        plan: The node's plan, computed from the nodes of its region.
    """

    def __init__(self, *, own: NodeInfo):
        self._own = own
        self._region_members: tuple[tuple[str, str], ...] = ()
        self.nodes: tuple[NodeInfo, ...] = (own,)
        self.plan = SpreadPlan(rank=0, receivers=())

    def set_nodes(self, nodes: tuple[NodeInfo, ...]) -> bool:
        """Set the live nodes.

        Returns:
            Whether the nodes of the region changed and the plan was recomputed.
        """
        self.nodes = nodes
        region_members = tuple(
            (node.name, node.agent_peer_address)
            for node in nodes
            if node.region == self._own.region
        )
        if region_members == self._region_members:
            return False
        self._region_members = region_members
        self.plan = make_plan(self._own, nodes)
        return True


def _list_tree_children(
    order: list[str], position: int | None, *, is_root: bool
) -> list[str]:
    if is_root:
        return order[:FAN_OUT]
    if position is None:
        return []
    first = (position + 1) * FAN_OUT
    return order[first : first + FAN_OUT]


def find_readers(nodes: tuple[NodeInfo, ...]) -> list[NodeInfo]:
    """Return the nodes that read the log in each region of the given nodes."""
    node_by_name_by_region: dict[str, dict[str, NodeInfo]] = {}
    for node in nodes:
        node_by_name_by_region.setdefault(node.region, {})[node.name] = node
    readers = []
    for region, node_by_name in node_by_name_by_region.items():
        ranking = _rank_readers(node_by_name, region)
        readers.extend(node_by_name[name] for name in ranking[:READERS_PER_REGION])
    return readers


def rank_region_nodes(own: NodeInfo, nodes: tuple[NodeInfo, ...]) -> list[NodeInfo]:
    """Return the nodes of ``own``'s region, including ``own``, with readers first."""
    node_by_name = {node.name: node for node in nodes if node.region == own.region}
    node_by_name[own.name] = own
    ranking = _rank_readers(node_by_name, own.region)
    return [node_by_name[name] for name in ranking]


def _rank_readers(names, region):
    return rank_members(names, f"configuration-readers {region}")


def find_snapshot_rank(own: NodeInfo, nodes: tuple[NodeInfo, ...]) -> int:
    """Return the rank of a node, from 0, among the nodes that may append snapshots."""
    names = {node.name for node in nodes} | {own.name}
    return rank_members(names, "configuration-snapshots").index(own.name)
