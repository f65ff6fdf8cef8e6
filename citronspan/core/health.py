"""What choosing asks of detection: how many slots of each target may be used."""

from dataclasses import dataclass
from typing import Protocol

from citronspan.core.outcomes import Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetInfo:
    """A target as the configuration and the host list show it.

    Attributes:
        name: Name of the target.
        address: ``IP:PORT`` of the target.
        region: Region of the target.
        data_centre: Data centre of the target.
        slots: Requests that it runs at once.
        leaving: Whether it must get no new work.
        incarnation: Number of its start; another one is another target.
        cold: Whether it has just started and is slow.
    """

    name: str
    address: str
    region: str
    data_centre: str
    slots: int
    leaving: bool = False
    incarnation: int = 0
    cold: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLimit:
    """How much of a target may be used now.

    Attributes:
        target: Name of the target.
        slots: Requests that may be at the target at once, 0 for none.
        trial: Whether only a trickle of idempotent requests may be sent.
        allow_non_idempotent: Whether a trial may be any request, because no idempotent
            one has come for long.
        failure_probability: Probability that the target is failing, None where
            detection ejects.
        never_used: Whether the target has had no request yet.
    """

    target: str
    slots: int
    trial: bool = False
    allow_non_idempotent: bool = False
    failure_probability: float | None = None
    never_used: bool = False


class Health(Protocol):
    """Detection for the targets of one service or shard, floor included."""

    def set_targets(self, targets: tuple[TargetInfo, ...]) -> None:
        """Take the targets that exist now; evidence on the others is dropped."""

    def observe(self, outcome: Outcome) -> None:
        """Take one outcome as evidence."""

    def find_limits(self) -> dict[str, TargetLimit]:
        """Return the limit of each target by its name, the floor applied."""

    def record_trial(self, target: str) -> None:
        """Note that a trial request was sent to a target."""

    def find_overdue_seconds(self, kind: str) -> float:
        """Return the age at which an unanswered attempt is to be noted."""

    def record_overdue(self, target: str) -> None:
        """Take as evidence that an attempt is still unanswered; once an attempt."""
