"""Choice of a target by an entry while no broker answers.

Two targets are drawn at random, and the one with the lower utilization known to the
entry is chosen. Source: Mitzenmacher, "The power of two choices in randomized load
balancing", IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
"""

import random
from collections.abc import Mapping, Set

from citronspan.core.detection.health import TargetInfo


def choose_target_without_broker(
    targets: tuple[TargetInfo, ...],
    *,
    ejected: Set[str],
    excluded: Set[str],
    in_flight_by_target: Mapping[str, int],
    load_by_target: Mapping[str, int],
    draw: random.Random,
) -> TargetInfo | None:
    """Choose a target without a broker.

    Args:
        targets: Targets of the shard.
        ejected: Names of targets that verdicts eject, after the floor is applied.
        excluded: Names of targets that this request must not use.
        in_flight_by_target: Number of the entry's own requests at each target.
        load_by_target: Last reported number of slots in use at each target.
        draw: Random number generator.

    Returns:
        The chosen target, or None if no target is usable.
    """
    usable = []
    for target in targets:
        if target.leaving or target.name in ejected or target.name in excluded:
            continue
        if in_flight_by_target.get(target.name, 0) >= target.slots:
            continue
        usable.append(target)
    if not usable:
        return None
    drawn = usable if len(usable) < 2 else draw.sample(usable, 2)

    def compute_utilization(target):
        own_requests = in_flight_by_target.get(target.name, 0)
        used_slots = max(own_requests, load_by_target.get(target.name, 0))
        return used_slots / target.slots

    return min(drawn, key=compute_utilization)
