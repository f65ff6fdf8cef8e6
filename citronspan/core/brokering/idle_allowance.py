"""Decides how many targets of a shard may idle without breaking the service's floor.

Load pattern: a service of many shards, of which some targets fail most requests for
seconds. Each idle target that has to get a request costs a request that may run once
only. The floor is a share of the service's targets, so that shards which each round
their allowance down would send such requests to more targets than it asks for.
"""

import math

IDLE_SHARE = 0.5
"""Share of the targets above the floor that may idle, because users measure the floor
over fewer targets: those that were not disturbed for some time."""


def count_allowed_idle_targets(
    *, floor: float, targets: int, preceding_targets: int
) -> int:
    """Count the targets of one shard that may idle.

    Over all shards of a service these numbers add up to the allowance of the service,
    rounded down.

    Args:
        floor: Share of the service's targets that must get requests at all times.
        targets: Number of usable targets in the shard.
        preceding_targets: Number of usable targets in the shards before it.

    Returns:
        The number of targets.
    """
    share = (1 - floor) * IDLE_SHARE
    carried = share * preceding_targets % 1
    return math.floor(share * targets + carried)
