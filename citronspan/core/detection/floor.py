"""The floor: limits ejections so that enough capacity stays in use.

Every broker or entry that chooses targets applies the floor to its own evidence. The
floor therefore holds at each of them, whichever verdicts it has received and in
whichever order. Capacity is counted in slots.
"""

from collections.abc import Mapping, Set
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class FloorResult:
    """Ejections in force after the floor is applied.

    Attributes:
        ejected: Targets whose ejection is in force.
        kept_by_floor: Targets that stay in use because of the floor, those with the
            weakest evidence first.
        slots: Slots of all targets.
        slots_in_use: Slots of the targets that may get requests.
        floor_slots: Slots that the floor requires to be in use.
    """

    ejected: frozenset[str]
    kept_by_floor: tuple[str, ...]
    slots: int
    slots_in_use: int
    floor_slots: float

    @property
    def is_broken_by_leaving(self) -> bool:
        """Whether the leaving targets alone bring the capacity below the floor."""
        return self.slots_in_use < self.floor_slots


def apply_floor(
    *,
    slots_by_target: Mapping[str, int],
    evidence_by_target: Mapping[str, float],
    leaving: Set[str],
    floor: float,
) -> FloorResult:
    """Ignore ejections until the floor is met, those with the weakest evidence first.

    Args:
        slots_by_target: Slots of every target of the service.
        evidence_by_target: Evidence in nats of each target to eject; names that are not
            in ``slots_by_target`` are ignored.
        leaving: Targets that cannot take requests. The floor never puts them back into
            use.
        floor: Share of all slots that must stay in use, 0 to 1.

    Returns:
        The ejections in force and the capacity that remains.
    """
    slots = sum(slots_by_target.values())
    floor_slots = floor * slots
    ejected = set()
    slots_in_use = 0
    for target, target_slots in slots_by_target.items():
        if target in leaving:
            continue
        if target in evidence_by_target:
            ejected.add(target)
            continue
        slots_in_use += target_slots
    kept_by_floor = []
    for target in sorted(ejected, key=lambda name: (evidence_by_target[name], name)):
        if slots_in_use >= floor_slots:
            break
        ejected.remove(target)
        kept_by_floor.append(target)
        slots_in_use += slots_by_target[target]
    return FloorResult(
        ejected=frozenset(ejected),
        kept_by_floor=tuple(kept_by_floor),
        slots=slots,
        slots_in_use=slots_in_use,
        floor_slots=floor_slots,
    )
