"""Where the request path gets a slot of a target from."""

import random
import threading
from dataclasses import dataclass
from typing import Protocol

from citronspan.core import result_codes
from citronspan.core.health import KnownTarget
from citronspan.core.outcomes import Outcome
from citronspan.core.result_codes import ResultCode

RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotAsk:
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
    """

    service: str
    request_kind: str
    worth: float
    deadline: float
    idempotent: bool
    excluded: tuple[str, ...]
    fingerprint: int
    body_bytes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Slot:
    """A slot that was granted.

    Attributes:
        attempt_id: Identity of the attempt.
        target: Name of the target.
        address: ``IP:PORT`` of the target.
        broker: Peer address of the granting broker, empty for an own choice.
    """

    attempt_id: int
    target: str
    address: str
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

    def acquire(self, ask: SlotAsk) -> Slot | SlotRefused:
        """Return a slot, or at once the reason why there is none."""

    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Give a slot back with the outcome of the attempt."""


class OwnChoice:
    """Chooses between two random targets by what this entry itself has sent."""

    def __init__(self, *, find_targets):
        self._find_targets = find_targets
        self._lock = threading.Lock()
        self._in_use_by_target: dict[str, int] = {}
        self._random = random.Random()

    def acquire(self, ask: SlotAsk) -> Slot | SlotRefused:
        """Return the less used of two random targets."""
        usable = [
            target
            for target in self._find_targets(ask.service)
            if self._is_usable(target, ask)
        ]
        if not usable:
            return SlotRefused(
                code=result_codes.NO_CAPACITY, retry_after_seconds=RETRY_AFTER_SECONDS
            )
        pair = self._random.sample(usable, min(2, len(usable)))
        with self._lock:
            target = min(pair, key=lambda item: self._count(item) / item.slots)
            self._in_use_by_target[target.name] = self._count(target) + 1
        return Slot(
            attempt_id=self._random.getrandbits(63),
            target=target.name,
            address=target.address,
            broker="",
        )

    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Count the slot as free."""
        with self._lock:
            count = self._in_use_by_target.get(slot.target, 1) - 1
            self._in_use_by_target[slot.target] = max(count, 0)

    def _is_usable(self, target: KnownTarget, ask: SlotAsk) -> bool:
        return not target.leaving and target.name not in ask.excluded

    def _count(self, target):
        return self._in_use_by_target.get(target.name, 0)
