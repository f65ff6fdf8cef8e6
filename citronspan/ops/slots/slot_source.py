"""Interface through which the request path acquires and releases slots of targets."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from citronspan.core.brokering.shards import ShardKey
from citronspan.core.detection.target_notices import TargetNotice
from citronspan.core.outcomes import Outcome
from citronspan.core.result_codes import ResultCode


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotQuery:
    """A request's query for a slot.

    Attributes:
        service: Name of the service.
        request_kind: Request kind of the route.
        worth: Worth of the request.
        deadline: Monotonic time of the request's deadline.
        idempotent: Whether the request may run more than once.
        excluded: Names of targets that the request has already tried.
        fingerprint: Hash of the request's content.
        body_bytes: Size of the body in bytes, 0 if unknown.
        is_retry: Whether an earlier attempt was dispatched.
        goal_time: Monotonic time until which an answer has its full worth, 0 if the
            worth does not depend on the time.
        is_disconnected: Returns whether the caller has disconnected.
        request_id: Identity of the request in logs.
        is_too_late: Returns whether a slot would be of no use any more.
        check_seconds: Longest time between two looks at ``is_too_late`` and
            ``is_disconnected`` while a broker has the request queued; infinite if
            looks at the times at which the request is sent again are enough.
        account: Name of the client account, or empty.
        account_weight: Weight of the account among others, 0 if it has none.
    """

    service: str
    request_kind: str
    worth: float
    deadline: float
    idempotent: bool
    excluded: tuple[str, ...]
    fingerprint: int
    body_bytes: int
    is_retry: bool
    goal_time: float = 0.0
    is_disconnected: Callable[[], bool] = lambda: False
    request_id: str = ""
    is_too_late: Callable[[], bool] = lambda: False
    check_seconds: float = math.inf
    account: str = ""
    account_weight: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Slot:
    """A slot that was granted.

    Attributes:
        attempt_id: Identity of the attempt.
        target: Name of the target.
        address: ``IP:PORT`` of the target.
        shard: Shard of the target.
        broker: Peer address of the granting broker, empty if the entry chose the
            target locally.
        attempt_seconds: Time after which an attempt that may be retried is given up, 0
            if the broker left it open.
        incarnation: Incarnation of the target as this entry knows it, 0 if it doesn't.
        hedge_seconds: Time after which a hedge is worth asking for, 0 for never.
    """

    attempt_id: int
    target: str
    address: str
    shard: ShardKey
    broker: str
    attempt_seconds: float = 0.0
    incarnation: int = 0
    hedge_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRefused:
    """A refusal of a slot.

    Attributes:
        code: Result code that gives the reason.
        retry_after_seconds: Time after which the caller may retry, None if a retry
            would not help.
    """

    code: ResultCode
    retry_after_seconds: float | None


class SlotSource(Protocol):
    """Grants slots and receives the outcomes of attempts."""

    def acquire(self, query: SlotQuery) -> Slot | SlotRefused:
        """Return a slot, or a refusal with its reason."""

    def acquire_hedge(self, first: Slot, query: SlotQuery) -> Slot | SlotRefused:
        """Return a slot for a second attempt while the first runs, or a refusal."""

    def may_use(self, slot: Slot, request_id: str) -> bool:
        """Return whether this host may send a request to a slot's target now."""

    def is_usable(self, target: str) -> bool:
        """Return whether this host may use a target now, by its name."""

    def find_pause_seconds(self, service: str) -> float:
        """Return the time until this host may use a target of a service again.

        It is 0 if it may use one now, or if no target of the service pauses.
        """

    def observe_notice(self, slot: Slot, notice: TargetNotice, request_id: str) -> None:
        """Take what a slot's target said of itself in an answer."""

    def release(self, slot: Slot, outcome: Outcome, answer_bytes: int) -> None:
        """Release a slot and record the outcome of the attempt."""
