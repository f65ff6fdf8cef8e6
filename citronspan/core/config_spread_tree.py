"""Who reads the log in a region, and who passes news on to whom.

Both are pure functions of the set of live nodes, so they need no agreement: nodes
that disagree for a while send something twice, or leave it to the comparison of
offsets to repair.
"""

from dataclasses import dataclass

from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import rank_members

READERS_PER_REGION = 3
TREES = 2
FAN_OUT = 6


@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadPlan:
    """What one node does in spreading, as it sees its region.

    Attributes:
        rank: Place of the node among the readers of its region, from 0; nodes
            that are not to read have ranks from ``READERS_PER_REGION`` on.
        receivers: Peer addresses to which it passes news on.
    """

    rank: int
    receivers: tuple[str, ...]

    @property
    def is_reader(self) -> bool:
        """Whether the node reads the log."""
        return self.rank < READERS_PER_REGION


def make_plan(own: NodeInfo, nodes: tuple[NodeInfo, ...]) -> SpreadPlan:
    """Plan the spreading in the region of a node.

    Each of ``TREES`` trees has another reader at its root and another order of
    the rest, so that the loss of one node cuts nobody off from both.

    Args:
        own: The node.
        nodes: Nodes taken as live.

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
    receivers = set()
    for tree in range(TREES):
        order = _order_tree(ranking, tree)
        place = order.index(own.name)
        children = order[place * FAN_OUT + 1 : place * FAN_OUT + FAN_OUT + 1]
        receivers.update(address_by_name[name] for name in children)
    return SpreadPlan(rank=ranking.index(own.name), receivers=tuple(sorted(receivers)))


def find_readers(nodes: tuple[NodeInfo, ...]) -> list[NodeInfo]:
    """Return the nodes that read the log in each region of some nodes."""
    node_by_name_by_region: dict[str, dict[str, NodeInfo]] = {}
    for node in nodes:
        node_by_name_by_region.setdefault(node.region, {})[node.name] = node
    readers = []
    for region, node_by_name in node_by_name_by_region.items():
        ranking = _rank_readers(node_by_name, region)
        readers.extend(node_by_name[name] for name in ranking[:READERS_PER_REGION])
    return readers


def _rank_readers(names, region):
    return rank_members(names, f"configuration-readers {region}")


def _order_tree(ranking: list[str], tree: int) -> list[str]:
    readers = ranking[:READERS_PER_REGION]
    turn = tree % len(readers)
    others = rank_members(ranking[READERS_PER_REGION:], f"configuration-tree {tree}")
    return readers[turn:] + readers[:turn] + others


def rank_in_fleet(own: NodeInfo, nodes: tuple[NodeInfo, ...]) -> int:
    """Return the place of a node among all nodes that may append snapshots."""
    names = {node.name for node in nodes} | {own.name}
    return rank_members(names, "configuration-snapshots").index(own.name)
