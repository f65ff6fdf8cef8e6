"""Types that detection exports: status for operators, state changes for the log."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetStatus:
    """Status of a target for operators.

    Attributes:
        target: Name of the target.
        state: State in the statechart ``target``.
        since_seconds: Time in that state, in seconds.
        evidence: Evidence against the target in nats.
        threshold: Evidence that ejects a target, in nats.
        slots: Slots that may be used now.
        kept_by_floor: Whether the floor keeps an ejected target in use.
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
    """Status of a service at one broker for operators.

    Attributes:
        service: Name of the service.
        targets: Status of each target.
        slots: Slots of all targets.
        slots_in_use: Slots of the targets that may get requests.
        floor_slots: Slots that the floor requires to be in use.
        floor_broken_by_leaving: Whether the leaving targets alone bring the capacity
            below the floor.
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
        before: Previous state.
        after: New state.
        reason: Reason for the change in a short sentence.
    """

    target: str
    before: str
    after: str
    reason: str
