"""What the request path knows of a request and of the response to an attempt."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from citronspan.core.accounts.ranks import compute_worth
from citronspan.core.outcomes import OutcomeClass
from citronspan.core.requests.route_table import Route
from citronspan.core.requests.stop_plan import WorkKind
from citronspan.core.resources import RouteSpec, ServiceSpec
from citronspan.ops.callers.caller_request import (
    MAXIMUM_BUFFERED_BODY_BYTES,
    CallerBody,
    CallerRequest,
)
from citronspan.ops.callers.open_requests import OpenRequest
from citronspan.ops.slots.slot_source import Slot, SlotQuery
from citronspan.ops.targets.target_answer import TargetAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestContext:
    """Holds a request and what the entry resolved for it.

    Attributes:
        request: The caller's request.
        body: The caller's body.
        route: The matching route.
        service_name: Name of the service that the route chose.
        service: Specification of that service.
        deadline: Time of ``time.monotonic()`` at which the request is given up.
        goal_time: Time of ``time.monotonic()`` at which the answer is due by the
            goal of the route, 0 if it has none.
        fingerprint: Hash of the method, host, URI and body (or of the body's length,
            if the body is not buffered).
        open_request: Entry of the request in the register of open requests.
        account: Name of the client account, or empty.
        account_weight: Weight of the account among others, 0 if it has none.
        account_title: Name of the account that targets are told, or empty.
        account_rank: Rank of the account, None if it has none.
        is_screened: Whether accounts with keys were in force when the request came, so
            that its headers have no key.
    """

    request: CallerRequest
    body: CallerBody
    route: Route
    service_name: str
    service: ServiceSpec
    deadline: float
    goal_time: float
    fingerprint: int
    open_request: OpenRequest = field(default_factory=OpenRequest)
    account: str = ""
    account_weight: float = 0.0
    account_title: str = ""
    account_rank: int | None = None
    is_screened: bool = False

    @property
    def worth(self) -> float:
        """Worth of the request by its account's rank and its route."""
        return compute_worth(self.spec.worth, self.account_rank)

    @property
    def work_kind(self) -> WorkKind:
        """What the request has in common with others that take similar times."""
        return WorkKind(
            service=self.service_name,
            request_kind=self.spec.request_kind,
            is_streamed=self.body.length is None
            or self.body.length > MAXIMUM_BUFFERED_BODY_BYTES,
        )

    @property
    def spec(self) -> RouteSpec:
        """Specification of the route."""
        return self.route.spec


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptResponse:
    """Holds the response to an attempt whose status and headers have arrived.

    Attributes:
        slot: Slot of the attempt.
        answer: The target's answer.
        body_start: Bytes of the body that were read ahead.
        is_whole: Whether ``body_start`` is the whole body.
        outcome_class: Outcome according to the status and the headers.
        started_at: Time of ``time.monotonic()`` at which the attempt began.
        first_byte_at: Time of ``time.monotonic()`` at which the status and the headers
            had arrived.
        is_released: Whether the slot has been released.
    """

    slot: Slot
    answer: TargetAnswer
    body_start: bytes
    is_whole: bool
    outcome_class: OutcomeClass
    started_at: float
    first_byte_at: float
    is_released: bool = False


def make_slot_query(
    request_context: RequestContext,
    *,
    excluded: tuple[str, ...],
    is_retry: bool,
    is_too_late: Callable[[], bool],
    check_seconds: float = math.inf,
) -> SlotQuery:
    """Return the query for a slot.

    Args:
        request_context: The request.
        excluded: Targets that it must not be sent to.
        is_retry: Whether it has reached a target before.
        is_too_late: Returns whether a slot would be of no use any more.
        check_seconds: Longest time between two looks at that.
    """
    return SlotQuery(
        service=request_context.service_name,
        request_kind=request_context.spec.request_kind,
        worth=request_context.worth,
        deadline=request_context.deadline,
        idempotent=request_context.spec.idempotent,
        excluded=excluded,
        fingerprint=request_context.fingerprint,
        body_bytes=request_context.body.length or 0,
        is_retry=is_retry,
        goal_time=request_context.goal_time,
        is_disconnected=request_context.request.connection.is_disconnected,
        request_id=request_context.request.request_id,
        is_too_late=is_too_late,
        check_seconds=check_seconds,
        account=request_context.account,
        account_weight=request_context.account_weight,
    )
