"""Choice of the entries that track the keys of a directory answer."""

from collections.abc import Iterable

from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import choose_member


def choose_owner_and_witness(
    nodes: Iterable[NodeInfo], *, region: str, key: str, preferred_owner: str = ""
) -> tuple[NodeInfo, NodeInfo] | None:
    """Choose owner and witness for a key prefix.

    If possible, the witness is in the region of the owner but in another data centre:
    the round trip between them stays local, and the loss of one data centre does not
    lose both records. The choice affects only latency, never the guarantees.

    Args:
        nodes: Candidate nodes.
        region: Region of the caller.
        key: Value that spreads the choice over the nodes, such as the account and the
            minute.
        preferred_owner: Name of the node that the caller will most likely contact: the
            first address of the directory answer.

    Returns:
        Owner and witness, the same node twice if only one is serving, or None if none
        is serving.
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
    best = max(_compute_witness_preference(owner, node) for node in others)
    names = [n.name for n in others if _compute_witness_preference(owner, n) == best]
    return owner, serving[choose_member(names, key)]


def _compute_witness_preference(owner, node):
    """Return the preference of a node as witness, from 0 to 2, the most preferred."""
    if node.region != owner.region:
        return 0
    if node.data_centre == owner.data_centre:
        return 1
    return 2
