"""What operators and targets write to the store, as resources of the product.

The names of fields are those of ``deploy/wire.toml`` where that page renames them.
"""

import enum

import msgspec

from citronspan.core.host_settings import ServiceRules
from citronspan.core.resources import (
    Detection,
    Kind,
    Resource,
    RouteSpec,
    ServiceShare,
    ServiceSpec,
    TargetIntent,
    TargetSpec,
    check_spec,
)


class _RouteKind(enum.StrEnum):
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"


class _Wire(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Base of what is read; fields that are not known here are passed over."""


class _Share(_Wire):
    service: str
    weight: float


class _Route(_Wire):
    name: str
    host: str
    path_prefix: str
    kind: _RouteKind
    timeout_seconds: float
    latency_goal_seconds: float = 0.0
    # A rank: 0 is served first.
    priority: int = 0
    service: str = ""
    traffic_split: tuple[_Share, ...] = ()
    maximum_attempts: int = 1


class _Service(_Wire):
    name: str


class _Configuration(_Wire):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]


class _TargetState(enum.StrEnum):
    READY = "ready"
    DRAINING = "draining"


class _Info(_Wire):
    service: str
    data_centre: str
    slots: int


class _Status(_Wire):
    state: _TargetState
    warm_up_seconds: float = 0.0


class _Registration(_Wire):
    address: str
    info: _Info
    status: _Status
    # Unix time of the target's start, in milliseconds.
    born: int = 0


def read_configuration(data: bytes, rules: ServiceRules) -> list[Resource]:
    """Decode a whole configuration.

    Args:
        data: The record's value.
        rules: Rules of every service, which the platform states once for all.

    Returns:
        Its services and routes.

    Raises:
        msgspec.MsgspecError: If it does not decode.
        CitronspanError: If a field is out of range.
    """
    configuration = msgspec.json.decode(data, type=_Configuration)
    resources = [
        Resource(kind=Kind.SERVICE, name=service.name, spec=_make_service(rules))
        for service in configuration.services
    ]
    for route in configuration.routes:
        spec = _make_route(route)
        resources.append(Resource(kind=Kind.ROUTE, name=route.name, spec=spec))
    for resource in resources:
        check_spec(resource.spec)
    return resources


def read_target(
    name: str, data: bytes, region_by_data_centre: dict[str, str]
) -> Resource:
    """Decode what a target says of itself.

    Args:
        name: Name of the target, which is the record's key.
        data: The record's value.
        region_by_data_centre: Region of each data centre.

    Returns:
        The target.

    Raises:
        msgspec.MsgspecError: If it does not decode.
        CitronspanError: If a field is out of range.
    """
    registration = msgspec.json.decode(data, type=_Registration)
    info = registration.info
    is_draining = registration.status.state is _TargetState.DRAINING
    spec = TargetSpec(
        service=info.service,
        address=registration.address,
        region=region_by_data_centre.get(info.data_centre, ""),
        data_centre=info.data_centre,
        slots=info.slots,
        intent=TargetIntent.DRAINING if is_draining else TargetIntent.ACTIVE,
        incarnation=registration.born,
        cold=registration.status.warm_up_seconds > 0,
    )
    check_spec(spec)
    return Resource(kind=Kind.TARGET, name=name, spec=spec)


def _make_service(rules: ServiceRules) -> ServiceSpec:
    return ServiceSpec(
        floor=rules.floor,
        detection=Detection.FAILURE_EPISODES,
        retry_ratio=rules.retry_ratio,
        retry_slack=rules.retry_slack,
        retry_window_seconds=rules.retry_window_seconds,
    )


def _make_route(route: _Route) -> RouteSpec:
    shares = tuple(
        ServiceShare(service=share.service, weight=share.weight)
        for share in route.traffic_split
    )
    heaviest = max(shares, key=lambda share: share.weight, default=None)
    return RouteSpec(
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service if heaviest is None else heaviest.service,
        shares=shares,
        request_kind=route.kind.value,
        worth=1.0 / (1 + max(route.priority, 0)),
        idempotent=route.kind is _RouteKind.IDEMPOTENT,
        deadline_seconds=route.timeout_seconds,
        goal_seconds=route.latency_goal_seconds,
        maximum_attempts=route.maximum_attempts,
    )
