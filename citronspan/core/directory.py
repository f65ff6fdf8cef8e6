"""Which entry addresses a caller is given."""

import random

import msgspec

from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import rank_members

MAXIMUM_ADDRESSES = 64
NEAR_ADDRESSES = 4
"""Entries with room that the callers of one place are sent to."""


class DirectoryAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Answer of the address directory.

    Attributes:
        addresses: Addresses of entries, to be tried in this order.
        keep_seconds: How long the answer may be kept.
        key_prefix: Prefix of idempotency keys, or empty.
    """

    addresses: tuple[str, ...]
    keep_seconds: float
    key_prefix: str = ""


def choose_addresses(
    nodes: tuple[NodeInfo, ...], *, region: str, data_centre: str = ""
) -> tuple[str, ...]:
    """Choose the addresses for one caller.

    Serving entries of the caller's data centre go first, then those of its region,
    and entries of another region only where the region has none. Only as many are
    given as it takes to have ``NEAR_ADDRESSES`` that are not busy: callers that share
    few entries share their connections to targets. The same ones are given to all
    callers of a place, in random order.

    Args:
        nodes: Nodes taken as live.
        region: Region whose entries the caller should use.
        data_centre: Data centre of the caller, or empty.

    Returns:
        At most ``MAXIMUM_ADDRESSES`` addresses.
    """
    serving = [node for node in nodes if node.entry_state == "serving"]
    in_region = [node for node in serving if node.region == region]
    near = [node for node in in_region if node.data_centre == data_centre]
    candidates = near if len(near) >= NEAR_ADDRESSES else in_region or serving
    node_by_name = {node.name: node for node in candidates}
    chosen = []
    idle = 0
    for name in rank_members(node_by_name, f"directory {region} {data_centre}"):
        node = node_by_name[name]
        chosen.append(node.entry_callers_address)
        idle += not node.entry_busy
        if idle >= NEAR_ADDRESSES or len(chosen) >= MAXIMUM_ADDRESSES:
            break
    random.shuffle(chosen)
    return tuple(chosen)
