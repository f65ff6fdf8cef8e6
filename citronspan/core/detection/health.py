"""Interface of detection: how many slots of each target may be used."""

from dataclasses import dataclass
from typing import Protocol

from citronspan.core.outcomes import Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetInfo:
    """A target as listed in the configuration and the host list.

    Attributes:
        name: Name of the target.
        address: ``IP:PORT`` of the target.
        region: Region of the target.
        data_centre: Data centre of the target.
        slots: Number of requests that it runs at once.
        leaving: Whether it must get no new requests.
        incarnation: Number that identifies its start; with another number it counts
            as a new target.
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
    """Limit on the use of a target.

    Attributes:
        target: Name of the target.
        slots: Requests that may be at the target at once, 0 for none.
        trial: Whether only occasional idempotent requests may be sent as trials.
        allow_non_idempotent: Whether a trial may be any request, because no idempotent
            one was available for a long time.
        failure_probability: Probability that the target is failing, None if detection
            ejects targets instead.
        never_used: Whether no request has been sent to the target yet.
    """

    target: str
    slots: int
    trial: bool = False
    allow_non_idempotent: bool = False
    failure_probability: float | None = None
    never_used: bool = False


class Health(Protocol):
    """Detection for the targets of one service or shard, including the floor."""

    def set_targets(self, targets: tuple[TargetInfo, ...]) -> None:
        """Replace the list of targets and drop the evidence on all others."""

    def observe(self, outcome: Outcome) -> None:
        """Add the outcome of one attempt to the evidence."""

    def find_limits(self) -> dict[str, TargetLimit]:
        """Return the limit of each target by its name, with the floor applied."""

    def record_trial(self, target: str) -> None:
        """Record that a trial request was sent to a target."""

    def find_overdue_seconds(self, kind: str) -> float:
        """Return the age in seconds at which an unanswered attempt is overdue."""

    def record_overdue(self, target: str) -> None:
        """Add an overdue attempt to the evidence, at most once per attempt."""

    def find_attempt_seconds(
        self, target: str, kind: str, *, goal_seconds: float, deadline_seconds: float
    ) -> float:
        """Return the time after which an attempt that may be retried is given up.

        Args:
            target: Name of the target.
            kind: Request kind.
            goal_seconds: Time left in which an answer has its full worth, 0 if that
                is the time until the deadline.
            deadline_seconds: Time until the request's deadline.

        Returns:
            The time in seconds, 0 if the entry has to decide it.
        """
