"""Where the request path gets a slot of a target from."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from citronspan.core.outcomes import Outcome
from citronspan.core.result_codes import ResultCode
from citronspan.core.shards import ShardKey


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotQuery:
    """What a request needs a slot for.

    Attributes:
        service: Name of the service.
        request_kind: Request kind of the route.
        worth: Worth of the request.
        deadline: Time of ``time.monotonic()`` when the request is given up.
        idempotent: Whether the request may run more than once.
        excluded: Names of targets that were tried.
        fingerprint: Hash of what the request asks.
        body_bytes: Bytes of the body, 0 if unknown.
        is_retry: Whether an earlier attempt was dispatched.
        goal_time: Time of ``time.monotonic()`` until which an answer is worth most, 0
            if all the same.
        is_disconnected: Says whether the caller has left.
        request_id: What identifies the request in logs.
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


@dataclass(frozen=True, kw_only=True, slots=True)
class Slot:
    """A slot that was granted.

    Attributes:
        attempt_id: Identity of the attempt.
        target: Name of the target.
        address: ``IP:PORT`` of the target.
        shard: Shard of the target.
        broker: Peer address of the granting broker, empty for an own choice.
    """

    attempt_id: int
    target: str
    address: str
    shard: ShardKey
    broker: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRefused:
    """A slot that was refused.

    Attributes:
        code: The numbered reason.
        retry_after_seconds: When to come back.
    """

    code: ResultCode
    retry_after_seconds: float


class SlotSource(Protocol):
    """Grants slots and takes the outcomes."""

    def acquire(self, ask: SlotQuery) -> Slot | SlotRefused:
        """Return a slot, or at once the reason why there is none."""

    def release(self, slot: Slot, outcome: Outcome, answer_bytes: int) -> None:
        """Give a slot back with the outcome of the attempt."""
