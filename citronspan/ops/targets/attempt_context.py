"""What the request path knows of a request and of the response to an attempt."""

from dataclasses import dataclass, field

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
from citronspan.ops.slots.slot_source import Slot
from citronspan.ops.targets.target_connection import TargetAnswer


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
