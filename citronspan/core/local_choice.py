"""Choice of a target by an entry alone, while no broker answers.

Two targets are drawn at random and the one that is less used, as far as the entry
knows, is taken. Source: Mitzenmacher, "The power of two choices in randomized load
balancing", IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
"""

import random
from collections.abc import Mapping, Set

from citronspan.core.health import TargetInfo


def choose_locally(
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
        ejected: Names of targets that verdicts keep out, the floor applied.
        excluded: Names of targets that this request must not use.
        in_flight_by_target: The entry's own requests at each target.
        load_by_target: Last reported slots in use of each target.
        draw: Source of random draws.

    Returns:
        The target, or None if there is none that may be used.
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
    pair = usable if len(usable) < 2 else draw.sample(usable, 2)

    def find_use(target):
        own = in_flight_by_target.get(target.name, 0)
        used = max(own, load_by_target.get(target.name, 0))
        return used / target.slots

    return min(pair, key=find_use)
