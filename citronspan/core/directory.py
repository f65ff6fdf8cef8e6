"""Which entry addresses a caller is given."""

import random

import msgspec

from citronspan.core.node_messages import NodeInfo

MAXIMUM_ADDRESSES = 16
NEAR_ADDRESSES = 3
"""Entries of a data centre that its callers are sent to without others."""


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

    Serving entries of the caller's data centre are given, in random order so that
    callers spread; where there are fewer than ``NEAR_ADDRESSES``, those of the region
    go with them, and entries of another region only where the region has none.

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
    chosen = near if len(near) >= NEAR_ADDRESSES else in_region or serving
    random.shuffle(chosen)
    return tuple(node.entry_callers_address for node in chosen[:MAXIMUM_ADDRESSES])
