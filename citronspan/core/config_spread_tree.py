"""Who reads the log in a region, and who passes news on to whom.

Both are pure functions of the set of live nodes, so they need no agreement: nodes
that disagree for a while send something twice, or leave it to the comparison of
offsets to repair.
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
    """What one node does in spreading, as it sees its region.

    Attributes:
        rank: Place of the node among the readers of its region, from 0; nodes
            that are not to read have ranks from ``READERS_PER_REGION`` on.
        receivers: Peer addresses to which it passes news on.
        compared: Peer addresses with which it compares offsets. They are few, so
            that a node keeps connections to a few peers only, and each node has
            others, so that together they join the whole region.
    """

    rank: int
    receivers: tuple[str, ...]
    compared: tuple[str, ...] = ()

    @property
    def is_reader(self) -> bool:
        """Whether the node reads the log."""
        return self.rank < READERS_PER_REGION


def make_plan(own: NodeInfo, nodes: tuple[NodeInfo, ...]) -> SpreadPlan:
    """Plan the spreading in the region of a node.

    The readers tell each other, and each of ``TREES_PER_REGION`` of them heads a tree
    of the other nodes. The second tree has the order of the first reversed: a node that
    passes news on in one is a leaf in the other, and the trees have different
    heads, so that the loss of one node cuts nobody off.

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
    rank = ranking.index(own.name)
    readers, others = ranking[:READERS_PER_REGION], ranking[READERS_PER_REGION:]
    receivers = set()
    if own.name in readers:
        receivers.update(readers)
    for tree, order in enumerate((others, others[::-1])):
        place = order.index(own.name) if own.name in order else None
        receivers.update(_find_children(order, place, leads=rank == tree))
    receivers.discard(own.name)
    others_ranked = rank_members(
        set(address_by_name) - {own.name}, f"configuration-compared {own.name}"
    )
    return SpreadPlan(
        rank=rank,
        receivers=tuple(sorted(address_by_name[name] for name in receivers)),
        compared=tuple(
            address_by_name[name] for name in others_ranked[:COMPARISON_PEERS]
        ),
    )


class SpreadNeighbours:
    """The live nodes as one node sees them, and its plan among them.

    Attributes:
        nodes: Nodes taken as live, as last told.
        plan: What the node does in spreading.
    """

    def __init__(self, *, own: NodeInfo):
        self._own = own
        self._region: tuple[tuple[str, str], ...] = ()
        self.nodes: tuple[NodeInfo, ...] = (own,)
        self.plan = SpreadPlan(rank=0, receivers=())

    def set_nodes(self, nodes: tuple[NodeInfo, ...]) -> bool:
        """Take the nodes that are live now.

        Returns:
            Whether the plan was made anew, since the region has other nodes.
        """
        self.nodes = nodes
        region = tuple(
            (node.name, node.agent_peer_address)
            for node in nodes
            if node.region == self._own.region
        )
        if region == self._region:
            return False
        self._region = region
        self.plan = make_plan(self._own, nodes)
        return True


def _find_children(order: list[str], place: int | None, *, leads: bool) -> list[str]:
    if leads:
        return order[:FAN_OUT]
    if place is None:
        return []
    first = (place + 1) * FAN_OUT
    return order[first : first + FAN_OUT]


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


def rank_region_nodes(own: NodeInfo, nodes: tuple[NodeInfo, ...]) -> list[NodeInfo]:
    """Return the nodes of a node's region, this one included, readers first."""
    node_by_name = {node.name: node for node in nodes if node.region == own.region}
    node_by_name[own.name] = own
    ranking = _rank_readers(node_by_name, own.region)
    return [node_by_name[name] for name in ranking]


def _rank_readers(names, region):
    return rank_members(names, f"configuration-readers {region}")


def find_fleet_rank(own: NodeInfo, nodes: tuple[NodeInfo, ...]) -> int:
    """Return the place of a node among all nodes that may append snapshots."""
    names = {node.name for node in nodes} | {own.name}
    return rank_members(names, "configuration-snapshots").index(own.name)
