"""Selection of the entry addresses that the directory returns to a caller."""

import random

import msgspec

from citronspan.core.membership.entry_choice import (
    choose_by_weight,
    differ_in_size,
    leave_out_full,
)
from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import rank_members

MAXIMUM_ADDRESSES = 64
MINIMUM_IDLE_ENTRIES = 4
"""Number of entries that are not busy among the addresses of one answer."""


class DirectoryAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Answer of the address directory.

    Attributes:
        addresses: Addresses of entries, in the order in which to try them.
        keep_seconds: Time for which the caller may cache the answer, in seconds.
        key_prefix: Prefix of idempotency keys, or empty.
    """

    addresses: tuple[str, ...]
    keep_seconds: float
    key_prefix: str = ""


def choose_addresses(
    nodes: tuple[NodeInfo, ...], *, region: str, data_centre: str = "", caller: str = ""
) -> tuple[str, ...]:
    """Choose the addresses for one caller.

    The entries of the caller's data centre are used if at least
    ``MINIMUM_IDLE_ENTRIES`` of them are serving, else those of its region, and those of
    other regions only if the region has none. The answer is just long enough to
    contain ``MINIMUM_IDLE_ENTRIES`` entries that are not busy, because callers that
    share few entries also share their connections to targets. All callers with the
    same region and data centre get the same entries, in random order, unless hosts
    state different limits; see ``choose_by_weight``.

    Args:
        nodes: Nodes considered live.
        region: Region whose entries the caller should use.
        data_centre: Data centre of the caller, or empty.
        caller: Identity of the caller, such as its IP address, or empty.

    Returns:
        At most ``MAXIMUM_ADDRESSES`` addresses.
    """
    serving = [node for node in nodes if node.entry_state == "serving"]
    if differ_in_size(serving):
        in_region = [node for node in serving if node.region == region]
        candidates = _find_candidates(
            leave_out_full(in_region, MINIMUM_IDLE_ENTRIES)
            or leave_out_full(serving, MINIMUM_IDLE_ENTRIES),
            region,
            data_centre,
        )
    else:
        candidates = _find_candidates(serving, region, data_centre)
    key = f"directory {region} {data_centre}"
    if differ_in_size(candidates):
        chosen = choose_by_weight(
            tuple(candidates),
            key=key,
            caller=caller,
            idle_count=MINIMUM_IDLE_ENTRIES,
            maximum=MAXIMUM_ADDRESSES,
        )
    else:
        chosen = _choose_in_equal_parts(candidates, key)
    addresses = [node.entry_callers_address for node in chosen]
    random.shuffle(addresses)
    return tuple(addresses)


def _find_candidates(serving, region, data_centre):
    in_region = [node for node in serving if node.region == region]
    in_data_centre = [node for node in in_region if node.data_centre == data_centre]
    if len(in_data_centre) >= MINIMUM_IDLE_ENTRIES:
        return in_data_centre
    return in_region or serving


def _choose_in_equal_parts(candidates, key):
    node_by_name = {node.name: node for node in candidates}
    chosen = []
    idle_count = 0
    for name in rank_members(node_by_name, key):
        node = node_by_name[name]
        chosen.append(node)
        idle_count += not node.entry_busy
        if idle_count >= MINIMUM_IDLE_ENTRIES or len(chosen) >= MAXIMUM_ADDRESSES:
            break
    return chosen
