"""Decodes the records that operators and targets write to the platform's store.

The field names are those of ``deploy/wire.toml`` where it renames a field.

What a configuration may contain that this version does not know:

- Unknown fields are skipped, as are unknown ``protocol`` values of services and others
  that nothing here depends on.
- A route of an unknown kind is served, and its requests run once at most. That is right
  for each kind, while without the route its callers would be refused as unknown.
- A field of a wrong type or out of its range, a missing one that is needed, two
  accounts of one name, or a key of two accounts make the configuration invalid as a
  whole; the previous one stays in force.
"""

import enum
import math
import re
from typing import Annotated

import msgspec
import xxhash

from citronspan.core import result_codes
from citronspan.core.accounts.account_table import compute_key_digest
from citronspan.core.configuration.record_versions import VERSIONS_PER_START
from citronspan.core.errors import CitronspanError
from citronspan.core.host_settings import ServiceRules
from citronspan.core.resources import (
    NAME_PATTERN,
    AccountSpec,
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
from citronspan.utils.validation import DECODING_ERRORS, describe_error

SEQUENCES_PER_START = VERSIONS_PER_START
"""More registrations than a target makes between two starts."""

MAXIMUM_INTEGER = (1 << 63) - 1
"""Largest number that hosts can send each other."""

READABLE_CHARACTERS = 40
"""Characters kept of a name that hosts do not accept."""

_Number = Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_INTEGER)]
# Stricter than ``parse_address``, which must go on to accept what is in the log.
_Address = Annotated[str, msgspec.Meta(pattern=r"\A[^%]*:[0-9]{1,5}\Z")]
_StartTime = Annotated[int, msgspec.Meta(ge=0, lt=(1 << 63) // SEQUENCES_PER_START)]


_IDEMPOTENT_KINDS = frozenset({"idempotent", "download"})
"""Kinds of routes whose requests may run more than once; all others may not."""

MAXIMUM_RANK = 1_000_000
"""Ranks after it count as this one."""


class _WireStruct(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Base of the records that are decoded; unknown fields are ignored."""


class _Share(_WireStruct):
    service: str
    weight: float


class _Route(_WireStruct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_seconds: float
    latency_goal_seconds: float = 0.0
    # A rank: routes of rank 0 are served first.
    priority: int = 0
    service: str = ""
    traffic_split: tuple[_Share, ...] = ()
    maximum_attempts: int = 1
    public: bool = False


class _Account(_WireStruct):
    name: str
    keys: tuple[str, ...] = ()
    # A rank, as that of routes.
    priority: int = 0
    requests_per_second: float | None = None
    burst_requests: float | None = None


class _Service(_WireStruct):
    name: str


class _Configuration(_WireStruct):
    version: _Number
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    accounts: tuple[_Account, ...] = ()


class _TargetState(enum.StrEnum):
    READY = "ready"
    DRAINING = "draining"


# A registration that lacks any of these fields comes from another writer.
class _RegistrationInfo(_WireStruct):
    service: str
    # Version of the target's software.
    version: str
    data_centre: str
    slots: int


class _RegistrationStatus(_WireStruct):
    state: _TargetState
    sequence: _Number
    warm_up_seconds: float


class _Registration(_WireStruct):
    address: _Address
    info: _RegistrationInfo
    status: _RegistrationStatus
    # Unix time of the target's start in milliseconds.
    born: _StartTime


class _ConfigurationVersion(_WireStruct):
    version: _Number = 0


class _StatusVersion(_WireStruct):
    sequence: _Number


class _RegistrationVersion(_WireStruct):
    status: _StatusVersion
    born: _StartTime


def read_configuration(data: bytes, rules: ServiceRules) -> list[Resource]:
    """Decode a configuration.

    Args:
        data: The record's value.
        rules: Rules for every service; the platform has one set for all of them.

    Returns:
        The services, routes and client accounts of the configuration.

    Raises:
        CitronspanError: If the value cannot be decoded or a field is out of range.
    """
    configuration = _decode(data, _Configuration)
    resources = [
        Resource(
            kind=Kind.SERVICE,
            name=make_resource_name(service.name),
            spec=_make_service(rules),
        )
        for service in configuration.services
    ]
    for route in configuration.routes:
        spec = _make_route(route)
        name = make_resource_name(route.name)
        resources.append(Resource(kind=Kind.ROUTE, name=name, spec=spec))
    public_routes = _list_public_routes(configuration.routes)
    resources += _read_accounts(configuration.accounts, public_routes)
    for resource in resources:
        check_spec(resource.spec)
    return resources


def _list_public_routes(routes) -> tuple[str, ...]:
    """Return the names of public routes; of two of one name, the later is in force."""
    public_by_name = {make_resource_name(route.name): route.public for route in routes}
    return tuple(name for name, public in public_by_name.items() if public)


def _read_accounts(accounts, public_routes) -> list[Resource]:
    """Return the accounts; errors name a field and never its key.

    The first one names the public routes. Earlier versions drop accounts with keys and
    would drop the routes, if these said it themselves.
    """
    position_by_name: dict[str, int] = {}
    position_by_digest: dict[str, int] = {}
    resources = []
    for position, account in enumerate(accounts):
        earlier = position_by_name.setdefault(account.name, position)
        if earlier != position:
            raise _make_account_error(position, "name", f"that of accounts[{earlier}]")
        if not account.name:
            raise _make_account_error(position, "name", "is empty")
        spec = _make_account(account, () if position else public_routes)
        for digest in spec.key_digests:
            earlier = position_by_digest.setdefault(digest, position)
            if earlier != position:
                problem = f"one is a key of accounts[{earlier}], too"
                raise _make_account_error(position, "keys", problem)
        name = make_resource_name(account.name)
        resources.append(Resource(kind=Kind.ACCOUNT, name=name, spec=spec))
    return resources


def _make_account_error(position, field, problem):
    return CitronspanError(
        code=result_codes.RESOURCE_INVALID,
        detail=f"$.accounts[{position}].{field}: {problem}",
    )


def _make_account(
    account: _Account, public_routes: tuple[str, ...] = ()
) -> AccountSpec:
    # No caller can send an empty key.
    keys = {key.encode(errors="surrogatepass") for key in account.keys if key}
    is_renamed = make_resource_name(account.name) != account.name
    return AccountSpec(
        requests_per_second=account.requests_per_second or 0.0,
        burst_requests=account.burst_requests or 0.0,
        rank=min(max(account.priority, 0), MAXIMUM_RANK),
        key_digests=tuple(sorted(compute_key_digest(key) for key in keys)),
        title=account.name if is_renamed else msgspec.UNSET,
        public_routes=public_routes or msgspec.UNSET,
    )


def make_resource_name(name: str) -> str:
    """Return the name that a route or service of the platform has among the hosts.

    Hosts, also those of earlier versions, accept only names like those of hosts; the
    platform allows any. Other names get their readable part and a hash.

    Args:
        name: Name in the platform's record.

    Returns:
        The name itself if hosts accept it or it is empty.
    """
    if not name or NAME_PATTERN.fullmatch(name):
        return name
    readable = re.sub(r"[^a-z0-9]+", "-", name.lower())[:READABLE_CHARACTERS]
    digest = xxhash.xxh3_64_hexdigest(name.encode(errors="surrogatepass"))
    return f"{readable.strip('-')}.{digest}".lstrip(".")


def read_target(
    name: str, data: bytes, region_by_data_centre: dict[str, str]
) -> Resource:
    """Decode the registration of a target.

    Args:
        name: Name of the target, the key of the record.
        data: The record's value.
        region_by_data_centre: Region of each data centre.

    Returns:
        The target resource.

    Raises:
        CitronspanError: If the value cannot be decoded or a field is out of range.
    """
    registration = _decode(data, _Registration)
    info = registration.info
    is_draining = registration.status.state is _TargetState.DRAINING
    spec = TargetSpec(
        service=make_resource_name(info.service),
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


def read_configuration_version(data: bytes) -> int:
    """Return the version of a configuration, which each change raises.

    Raises:
        CitronspanError: If the value cannot be decoded.
    """
    return _decode(data, _ConfigurationVersion).version


def read_target_version(data: bytes) -> int:
    """Return a number that a target raises with each registration and each start.

    It is 0 for a target that has registered ``SEQUENCES_PER_START`` times or more.

    Raises:
        CitronspanError: If the value cannot be decoded.
    """
    registration = _decode(data, _RegistrationVersion)
    sequence = registration.status.sequence
    if sequence >= SEQUENCES_PER_START:
        return 0
    return registration.born * SEQUENCES_PER_START + sequence


def _decode(data, record_type):
    try:
        return msgspec.json.decode(data, type=record_type)
    except DECODING_ERRORS as error:
        raise CitronspanError(
            code=result_codes.RESOURCE_INVALID, detail=describe_error(error)
        ) from error


def _make_service(rules: ServiceRules) -> ServiceSpec:
    spec = ServiceSpec(
        floor=rules.floor,
        detection=Detection.FAILURE_EPISODES,
        retry_ratio=rules.retry_ratio,
        retry_slack=math.floor(rules.retry_slack),
        retry_window_seconds=rules.retry_window_seconds,
    )
    if not rules.hedge_share:
        return spec
    return msgspec.structs.replace(
        spec,
        hedge_share=rules.hedge_share,
        hedge_delay_seconds=rules.hedge_delay_seconds,
    )


def _make_route(route: _Route) -> RouteSpec:
    shares = tuple(
        ServiceShare(service=make_resource_name(share.service), weight=share.weight)
        for share in route.traffic_split
    )
    heaviest = max(shares, key=lambda share: share.weight, default=None)
    return RouteSpec(
        host=route.host,
        path_prefix=route.path_prefix,
        service=make_resource_name(
            route.service if heaviest is None else heaviest.service
        ),
        shares=shares,
        request_kind=route.kind,
        worth=1.0 / (1 + max(route.priority, 0)),
        idempotent=route.kind in _IDEMPOTENT_KINDS,
        deadline_seconds=route.timeout_seconds,
        goal_seconds=route.latency_goal_seconds,
        maximum_attempts=route.maximum_attempts,
    )
