"""Resources that operators create: services, targets, routes and accounts.

The same types validate requests from operators, records of the log and messages
between nodes, so a resource that is accepted in one place is accepted everywhere.
Field names are in camel case in JSON.
"""

import enum
import ipaddress
import re

import msgspec

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError
from citronspan.utils.validation import DECODING_ERRORS, describe_error

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
TITLE_PATTERN = re.compile(r"[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?")
KEY_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


class Spec(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename="camel",
):
    """Base of all resource specifications."""


class Kind(enum.StrEnum):
    """Kinds of resources."""

    SERVICE = "Service"
    TARGET = "Target"
    ROUTE = "Route"
    ACCOUNT = "Account"


class TargetIntent(enum.StrEnum):
    """State of a target that the operator requests."""

    ACTIVE = "active"
    DRAINING = "draining"


class Detection(enum.StrEnum):
    """Method by which gray targets of a service are detected."""

    SEQUENTIAL_TEST = "sequential-test"
    FAILURE_EPISODES = "spells"


class DetectionCosts(Spec, kw_only=True):
    """Costs of detection errors to the users of a service.

    Attributes:
        late_second: Cost of sending work to a gray target for one second.
        false_ejection: Cost of ejecting one healthy target.
    """

    late_second: float = 1.0
    false_ejection: float = 100.0


class ServiceSpec(Spec, kw_only=True):
    """Specification of a service and of how its targets are used.

    Attributes:
        floor: Share of the service's slots that must stay in use, 0 to 1.
        costs: Costs that determine the thresholds of detection.
        detection: ``sequential-test`` if faults are rare and persist, ``spells`` if
            many targets fail most requests for seconds at a time.
        retry_ratio: Retries allowed per first attempt, 0 to 1.
        retry_slack: Additional retries allowed in each window.
        retry_window_seconds: Length of the window, 0 if each entry keeps its own
            budget without a window.
        shard_size: Number of targets that one broker serves.
        link_bytes_per_second: Byte budget for requests to targets in the other region.
        hedge_share: Hedged requests allowed per request over the whole fleet, 0 to 1.
            Not set, there are none.
        hedge_delay_seconds: Least time after which a request is hedged.
    """

    floor: float = 0.5
    costs: DetectionCosts = DetectionCosts()
    detection: Detection = Detection.SEQUENTIAL_TEST
    retry_ratio: float = 0.1
    retry_slack: int = 0
    retry_window_seconds: float = 0.0
    shard_size: int = 12
    link_bytes_per_second: int = 250_000
    hedge_share: float | msgspec.UnsetType = msgspec.UNSET
    hedge_delay_seconds: float | msgspec.UnsetType = msgspec.UNSET


class TargetSpec(Spec, kw_only=True):
    """One target of a service.

    Attributes:
        service: Name of the service.
        address: ``IP:PORT`` where the target answers HTTP.
        region: Region of the target.
        data_centre: Data centre of the target.
        slots: Number of requests that the target runs concurrently.
        intent: Whether new requests may be sent to the target.
        incarnation: Number of the target's start. After a restart it counts as another
            target.
        cold: Whether the target has just started and is slow.
    """

    service: str
    address: str
    region: str
    data_centre: str
    slots: int
    intent: TargetIntent = TargetIntent.ACTIVE
    incarnation: int = 0
    cold: bool = False


class ServiceShare(Spec, kw_only=True):
    """Share of a route's requests that goes to one service.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the weights of the other services.
    """

    service: str
    weight: float


class RouteSpec(Spec, kw_only=True):
    """One route from callers to a service.

    Attributes:
        host: Host name of the request, or ``*`` for any.
        path_prefix: Prefix of the path; the longest match wins. With a slash at its
            end it matches only paths that have that slash, else whole segments.
        service: Name of the service.
        shares: Services among which the requests are divided, if there are several.
            Requests that one service has no capacity for do not go to the others.
        request_kind: Name under which requests are counted.
        worth: Worth of one request. Requests of the lowest worth are shed first.
        idempotent: Whether a request may run more than once.
        require_key: Whether requests without an idempotency key are refused.
        deadline_seconds: Time limit from receipt to the end of the answer.
        goal_seconds: Time within which an answer has its full worth, 0 if its worth
            does not depend on time.
        maximum_attempts: Maximum number of targets that a request is sent to.
        public: Whether requests need no account key. It is left out of the encoding
            where it is not set, since earlier versions refuse unknown fields.
    """

    host: str = "*"
    path_prefix: str
    service: str
    shares: tuple[ServiceShare, ...] = ()
    request_kind: str
    worth: float = 1.0
    idempotent: bool = False
    require_key: bool = False
    deadline_seconds: float = 10.0
    goal_seconds: float = 0.0
    maximum_attempts: int = 3
    public: bool | msgspec.UnsetType = msgspec.UNSET


class AccountSpec(Spec, kw_only=True):
    """One client account.

    Attributes:
        region: Region whose addresses its callers receive first, or empty.
        requests_per_second: Rate limit over the whole fleet, 0 for none.
        burst_requests: Requests that the account may send beyond its rate at once. With
            it the limit is kept for the whole fleet; without it each entry keeps an
            overcommitted share of the rate.
        rank: Rank of its requests, 0 for the highest; it precedes the worth of routes.
        key_digests: SHA-256 digests of its keys in lower-case hexadecimal.
        title: Name that targets are told, if it is not the name of the resource.
        public_routes: Names of routes whose requests need no account key, besides those
            that say so themselves. Any account may name them, also for the others.

    The last five are left out of the encoding where they are not set, since earlier
    versions refuse unknown fields.
    """

    region: str = ""
    requests_per_second: float = 0.0
    burst_requests: float | msgspec.UnsetType = msgspec.UNSET
    rank: int | msgspec.UnsetType = msgspec.UNSET
    key_digests: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET
    title: str | msgspec.UnsetType = msgspec.UNSET
    public_routes: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET


SPEC_TYPE_BY_KIND = {
    Kind.SERVICE: ServiceSpec,
    Kind.TARGET: TargetSpec,
    Kind.ROUTE: RouteSpec,
    Kind.ACCOUNT: AccountSpec,
}


class Resource(Spec, kw_only=True):
    """Resource with its offset in the log.

    Attributes:
        kind: Kind of the resource.
        name: Name, unique within its kind.
        spec: Validated specification.
        version: Offset of the record that set it, -1 before it is accepted.
    """

    kind: Kind
    name: str
    spec: ServiceSpec | TargetSpec | RouteSpec | AccountSpec
    version: int = -1


class _UndecodedResource(Spec, kw_only=True):
    kind: Kind
    name: str
    spec: msgspec.Raw
    version: int = -1
    status: msgspec.Raw = msgspec.Raw(b"{}")


def parse_address(text: str, *, path: str) -> tuple[str, int]:
    """Parse ``IP:PORT``.

    Args:
        text: Address to parse.
        path: Path of the field, for the error detail.

    Returns:
        IP address without brackets, and port number.

    Raises:
        CitronspanError: With code 1003 if the address is invalid.
    """
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
        number = int(port)
    except ValueError:
        # Ignored: the range check below refuses the port number -1.
        number = -1
    if not 0 < number < 65536:
        raise CitronspanError(
            code=result_codes.ADDRESS_INVALID,
            detail=f"{path}: {text!r} is not of the form IP:PORT",
        )
    return ip.strip("[]"), number


def _make_invalid_error(detail: str) -> CitronspanError:
    return CitronspanError(code=result_codes.RESOURCE_INVALID, detail=detail)


def _check_range(value, low, high, path):
    if not low <= value <= high:
        raise _make_invalid_error(f"$.spec.{path}: {value} is not from {low} to {high}")


def check_spec(spec) -> None:
    """Validate the constraints that the types do not express.

    Args:
        spec: Specification of any kind.

    Raises:
        CitronspanError: If a field is invalid. The detail names the field.
    """
    if isinstance(spec, ServiceSpec):
        _check_range(spec.floor, 0, 1, "floor")
        _check_range(spec.retry_ratio, 0, 1, "retryRatio")
        _check_range(spec.retry_slack, 0, 1e9, "retrySlack")
        _check_range(spec.retry_window_seconds, 0, 3600, "retryWindowSeconds")
        _check_range(spec.shard_size, 1, 256, "shardSize")
        _check_range(spec.costs.late_second, 1e-6, 1e9, "costs.lateSecond")
        _check_range(spec.costs.false_ejection, 1e-6, 1e9, "costs.falseEjection")
        _check_range(spec.link_bytes_per_second, 0, 1 << 40, "linkBytesPerSecond")
        if spec.hedge_share is not msgspec.UNSET:
            _check_range(spec.hedge_share, 0, 1, "hedgeShare")
        if spec.hedge_delay_seconds is not msgspec.UNSET:
            _check_range(spec.hedge_delay_seconds, 0, 3600, "hedgeDelaySeconds")
    if isinstance(spec, TargetSpec):
        parse_address(spec.address, path="$.spec.address")
        _check_range(spec.slots, 1, 100_000, "slots")
    if isinstance(spec, RouteSpec):
        if not spec.path_prefix.startswith("/"):
            raise _make_invalid_error("$.spec.pathPrefix: must start with '/'")
        _check_range(spec.worth, 0, 1e9, "worth")
        _check_range(spec.deadline_seconds, 0.001, 3600, "deadlineSeconds")
        _check_range(spec.goal_seconds, 0, 3600, "goalSeconds")
        _check_range(spec.maximum_attempts, 1, 100, "maximumAttempts")
        for share in spec.shares:
            _check_range(share.weight, 0, 1e9, "shares.weight")
    if isinstance(spec, AccountSpec):
        _check_account(spec)


def _check_account(spec):
    _check_range(spec.requests_per_second, 0, 1e9, "requestsPerSecond")
    if spec.burst_requests is not msgspec.UNSET:
        _check_range(spec.burst_requests, 0, 1e9, "burstRequests")
    if spec.rank is not msgspec.UNSET:
        _check_range(spec.rank, 0, 1e6, "rank")
    for digest in spec.key_digests or ():
        if not KEY_DIGEST_PATTERN.fullmatch(digest):
            raise _make_invalid_error("$.spec.keyDigests: not a SHA-256 digest")
    if spec.title and not TITLE_PATTERN.fullmatch(spec.title):
        raise _make_invalid_error("$.spec.title: no header can have this value")


def decode_resource(data: bytes) -> Resource:
    """Decode and validate a resource in JSON.

    Args:
        data: JSON with the keys ``kind``, ``name`` and ``spec``.

    Returns:
        Validated resource.

    Raises:
        CitronspanError: With code 2001, or 1003 for an invalid address. The detail
            names the field.
    """
    try:
        raw = msgspec.json.decode(data, type=_UndecodedResource)
    except DECODING_ERRORS as error:
        raise _make_invalid_error(describe_error(error)) from error
    try:
        spec = msgspec.json.decode(raw.spec, type=SPEC_TYPE_BY_KIND[raw.kind])
    except DECODING_ERRORS as error:
        raise _make_invalid_error(describe_error(error, root="$.spec")) from error
    if not NAME_PATTERN.fullmatch(raw.name):
        raise _make_invalid_error(
            f"$.name: {raw.name!r} is not a lower-case host-like name"
        )
    check_spec(spec)
    return Resource(kind=raw.kind, name=raw.name, spec=spec, version=raw.version)


def encode_resource(resource: Resource) -> bytes:
    """Encode a resource as JSON that ``decode_resource`` accepts."""
    return msgspec.json.encode(resource)
