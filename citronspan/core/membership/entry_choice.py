"""Choice of the entries that callers are told where hosts differ in size.

Load pattern: hosts of a tenth of the others' link or a fifth of their cores among the
entries of a data centre, whose callers pick one of the told addresses with equal
chance. Equal parts fill the small ones long before the large ones. Here larger entries
are told first and to more callers, and an entry that is about to refuse is left out.

A caller's draw depends on its own address and on the entries alone, so that it keeps
its answer until one of its entries goes, and a change concerns few callers.
"""

import math
import statistics
from collections.abc import Iterable

from citronspan.core.node_messages import HostRoom, NodeInfo
from citronspan.utils.rendezvous import compute_score, rank_members

MAXIMUM_WEIGHT = 4
"""Weight of the largest entries; the least is 1. With a larger one, the callers that
don't use a large entry would spread over so many small ones that these share no
connections to targets."""

USABLE_MILLICORES = 1000
"""Thousandths of a core that one process uses at most, by the runtime's lock."""

BUSY_WEIGHT_SHARE = 0.4
"""Share of its weight that a busy entry keeps; its signal ends at that part of the load
at which it is raised."""

SURE_PLACE_SHARE = 0.5
"""Share of the places of an answer that go to the largest entries for all callers."""

_SCORES = 2.0**64


def differ_in_size(nodes: Iterable[NodeInfo]) -> bool:
    """Return whether hosts state limits that are not the same for all that state any.

    Args:
        nodes: Nodes with serving entries.
    """
    return len({node.room for node in nodes if node.room is not None}) > 1


def compute_weights(nodes: tuple[NodeInfo, ...]) -> dict[str, float]:
    """Compute the weight of each node's entry by what its host can bear.

    The weight is that of the scarcer of processor and link, in proportion to the
    largest host and rounded, so that hosts that are nearly alike count as alike. A
    host that states neither counts as a middling one.

    Args:
        nodes: Nodes with serving entries.

    Returns:
        Weight by name, from 1 to ``MAXIMUM_WEIGHT``.
    """
    rooms = [node.room for node in nodes if node.room is not None]
    largest = HostRoom(
        processor_millicores=max(map(_find_millicores, rooms), default=0),
        link_kbit=max((room.link_kbit for room in rooms), default=0),
    )
    weight_by_name = {
        node.name: _compute_weight(node.room, largest)
        for node in nodes
        if node.room is not None
    }
    middle = statistics.median(weight_by_name.values()) if weight_by_name else 1
    for node in nodes:
        weight_by_name.setdefault(node.name, middle)
    return weight_by_name


def leave_out_full(nodes: list[NodeInfo], minimum_count: int) -> list[NodeInfo]:
    """Return the nodes whose entries are not about to refuse, or all if these are few.

    Args:
        nodes: Nodes with serving entries.
        minimum_count: Number of entries that an answer should contain.
    """
    roomy = [node for node in nodes if not node.entry_full]
    return roomy if len(roomy) >= minimum_count else nodes


def choose_by_weight(
    nodes: tuple[NodeInfo, ...], *, key: str, caller: str, idle_count: int, maximum: int
) -> list[NodeInfo]:
    """Choose the entries for one caller among entries of different sizes.

    Args:
        nodes: Nodes with serving entries, at least one.
        key: Key of the ranking, the same for all callers of a place.
        caller: Identity of the caller, which decides among the smaller entries.
        idle_count: Number of entries that are not busy in the answer.
        maximum: Largest number of entries in the answer.
    """
    weight_by_name = compute_weights(nodes)
    node_by_name = {node.name: node for node in nodes}
    ranked = rank_members(node_by_name, key)
    ranked.sort(key=lambda name: -weight_by_name[name])
    shared = _take_shared(ranked, node_by_name, weight_by_name, idle_count)
    sure_count = math.floor(idle_count * SURE_PLACE_SHARE)
    largest = weight_by_name[ranked[0]]
    sure = [
        name
        for name in shared
        if weight_by_name[name] == largest and not node_by_name[name].entry_busy
    ][:sure_count]
    others = sorted(
        set(shared) - set(sure),
        key=lambda name: _draw(name, node_by_name, weight_by_name, key, caller),
    )
    chosen = []
    idle = 0
    for name in (*sure, *others):
        chosen.append(node_by_name[name])
        idle += not node_by_name[name].entry_busy
        if idle >= idle_count or len(chosen) >= maximum:
            break
    return chosen


def _take_shared(ranked, node_by_name, weight_by_name, idle_count) -> list[str]:
    """Return the first entries with the room of ``idle_count`` of the largest ones."""
    needed = idle_count * weight_by_name[ranked[0]]
    shared = []
    weight = 0.0
    for name in ranked:
        shared.append(name)
        if not node_by_name[name].entry_busy:
            weight += weight_by_name[name]
        if weight >= needed:
            break
    return shared


def _draw(name, node_by_name, weight_by_name, key, caller) -> float:
    """Return a caller's draw of an entry; the smallest ones are told.

    Source: Efraimidis and Spirakis, "Weighted random sampling with a reservoir",
    Information Processing Letters 97(5), 2006, with hashes in place of chance.
    """
    weight = weight_by_name[name]
    if node_by_name[name].entry_busy:
        weight *= BUSY_WEIGHT_SHARE
    chance = (compute_score(name, f"{key} {caller}") + 1) / (_SCORES + 1)
    return -math.log(chance) / weight


def _compute_weight(room, largest) -> int:
    shares = [1.0]
    if room.processor_millicores:
        shares.append(_find_millicores(room) / largest.processor_millicores)
    if room.link_kbit:
        shares.append(room.link_kbit / largest.link_kbit)
    return max(round(MAXIMUM_WEIGHT * min(shares)), 1)


def _find_millicores(room) -> int:
    return min(room.processor_millicores, USABLE_MILLICORES)
