"""The floor: which ejections are in force, so that enough capacity stays in use.

Every chooser applies this to whatever it believes, so the floor holds at each of them
whatever verdicts they have heard, in whatever order. Capacity is counted in slots.
"""

from collections.abc import Mapping, Set
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class FloorResult:
    """Ejections after the floor.

    Attributes:
        ejected: Targets whose ejection is in force.
        ignored: Targets that stay in use for the floor's sake, weakest first.
        slots: Slots of all targets.
        slots_in_use: Slots of the targets that may get work.
        floor_slots: Slots that the floor asks for.
    """

    ejected: frozenset[str]
    ignored: tuple[str, ...]
    slots: int
    slots_in_use: int
    floor_slots: float

    @property
    def broken_by_leaving(self) -> bool:
        """Whether leaving targets alone take the capacity below the floor."""
        return self.slots_in_use < self.floor_slots


def apply_floor(
    *,
    slots_by_target: Mapping[str, int],
    evidence_by_target: Mapping[str, float],
    leaving: Set[str],
    floor: float,
) -> FloorResult:
    """Ignore ejections, the weakest evidence first, until the floor is met.

    Args:
        slots_by_target: Slots of every target of the service.
        evidence_by_target: Evidence of each target that is to be ejected, in nats;
            unknown targets are passed over.
        leaving: Targets that can take no work and are never pulled back.
        floor: Share of all slots that stays in use, 0 to 1.

    Returns:
        The ejections in force and what they leave in use.
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
    ignored = []
    for target in sorted(ejected, key=lambda name: (evidence_by_target[name], name)):
        if slots_in_use >= floor_slots:
            break
        ejected.remove(target)
        ignored.append(target)
        slots_in_use += slots_by_target[target]
    return FloorResult(
        ejected=frozenset(ejected),
        ignored=tuple(ignored),
        slots=slots,
        slots_in_use=slots_in_use,
        floor_slots=floor_slots,
    )
