"""What detection shows of its targets: status for operators, changes for the log."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetStatus:
    """What operators see of a target.

    Attributes:
        target: Name of the target.
        state: State by the chart ``target``.
        since_seconds: Time in that state.
        evidence: Evidence against it in nats.
        threshold: Evidence that ejects, in nats.
        slots: Slots that may be used now.
        kept_by_floor: Whether an ejection is ignored for the floor's sake.
        reason: Reason for the state in a short sentence.
    """

    target: str
    state: str
    since_seconds: float
    evidence: float
    threshold: float
    slots: int
    kept_by_floor: bool
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HealthStatus:
    """What operators see of a service at one broker.

    Attributes:
        service: Name of the service.
        targets: Status of each target.
        slots: Slots of all targets.
        slots_in_use: Slots of the targets that may get work.
        floor_slots: Slots that the floor asks for.
        floor_broken_by_leaving: Whether leaving targets alone break the floor.
    """

    service: str
    targets: tuple[TargetStatus, ...]
    slots: int
    slots_in_use: int
    floor_slots: float
    floor_broken_by_leaving: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class StateChange:
    """A change of a target's state, for the log.

    Attributes:
        target: Name of the target.
        before: State before.
        after: State after.
        reason: Reason in a short sentence.
    """

    target: str
    before: str
    after: str
    reason: str
