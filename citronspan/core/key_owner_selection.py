"""Choice of the two entries that remember the keys of a directory answer."""

from collections.abc import Iterable

from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import choose_member


def choose_owner_and_witness(
    nodes: Iterable[NodeInfo], *, region: str, key: str, preferred_owner: str = ""
) -> tuple[NodeInfo, NodeInfo] | None:
    """Choose owner and witness for a prefix that is about to be minted.

    The witness is in the owner's region but another data centre where that is
    possible, so that one round trip stays local and no single data centre takes
    both memories. Any choice keeps the promises; a poor one costs time.

    Args:
        nodes: Nodes that a chooser may depend on.
        region: Region of the caller.
        key: What to spread the choice by, such as the account and the minute.
        preferred_owner: Name of the node that the caller will most likely talk
            to: the first address of the directory's answer.

    Returns:
        Owner and witness; the same node twice where only one serves; None where
        none serves.
    """
    serving = {
        node.name: node
        for node in nodes
        if node.entry_state == "serving" and node.entry_incarnation
    }
    if not serving:
        return None
    owner = serving.get(preferred_owner)
    if owner is None:
        local = [name for name, node in serving.items() if node.region == region]
        owner = serving[choose_member(local or serving, key)]
    others = [node for node in serving.values() if node is not owner]
    if not others:
        return owner, owner
    best = max(_compute_distance_rank(owner, node) for node in others)
    names = [n.name for n in others if _compute_distance_rank(owner, n) == best]
    return owner, serving[choose_member(names, key)]


def _compute_distance_rank(owner, node):
    if node.region != owner.region:
        return 0
    if node.data_centre == owner.data_centre:
        return 1
    return 2
