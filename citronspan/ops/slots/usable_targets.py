"""Leaves out the targets that this entry may not use."""

import dataclasses
from collections.abc import Collection

from citronspan.core.brokering.shards import Shard
from citronspan.ops.slots.slot_source import SlotQuery


def list_usable(
    shards: tuple[Shard, ...], unusable: Collection[str]
) -> tuple[Shard, ...]:
    """Return the shards that have a target which this entry may use."""
    if not unusable:
        return shards
    return tuple(
        shard
        for shard in shards
        if any(target.name not in unusable for target in shard.targets)
    )


def exclude_unusable(
    query: SlotQuery, shard: Shard, unusable: Collection[str]
) -> SlotQuery:
    """Add the targets of a shard that this entry may not use to the excluded ones."""
    if not unusable:
        return query
    names = tuple(
        target.name
        for target in shard.targets
        if target.name in unusable and target.name not in query.excluded
    )
    return dataclasses.replace(query, excluded=(*query.excluded, *names))
