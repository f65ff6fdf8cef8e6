"""Requests and answers of the resource API."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from citronspan.ops.agent_status import TargetStatus

JSON_TYPE = "application/json"


class SpecBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a PUT.

    Attributes:
        spec: Specification in JSON.
    """

    spec: msgspec.Raw


class ResourceStatus(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What the fleet says of a resource.

    Attributes:
        warnings: What is odd about it.
        target: What its broker says of a target, None where none is known here.
    """

    warnings: tuple[str, ...] = ()
    target: TargetStatus | None = None


class ResourceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A resource as the API gives it."""

    kind: str
    name: str
    version: int
    spec: msgspec.Raw
    status: ResourceStatus = ResourceStatus()


class ListAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Resources of one kind, with the version to watch from."""

    version: int
    items: tuple[ResourceAnswer, ...]


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Answer to an accepted change."""

    version: int
    change_id: str


class OutcomeAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """What became of a change id."""

    change_id: str
    verdict: str
    offset: int
    detail: str


class WatchLine(
    msgspec.Struct, frozen=True, kw_only=True, rename="camel", omit_defaults=True
):
    """One line of a watch.

    Attributes:
        type: ``put``, ``delete``, ``at`` (nothing new up to the version) or
            ``gone`` (list and watch anew).
        version: Version of the change.
        kind: Kind of the resource.
        name: Name of the resource.
        spec: Specification, for ``put``.
    """

    type: str
    version: int
    kind: str = ""
    name: str = ""
    spec: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class ErrorAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A refusal."""

    code: int
    name: str
    detail: str


class StoredSpec(msgspec.Struct, frozen=True):
    """The part of a stored resource that answers carry."""

    spec: msgspec.Raw


@dataclass(frozen=True, kw_only=True, slots=True)
class ApiRequest:
    """One request, read from the WSGI environment.

    Attributes:
        method: HTTP method.
        parts: Parts of the path.
        query: Query parameters, the last of each name.
        body: The whole body.
        change_id: Change id that the client chose, or empty.
        author: Who the client says it is.
    """

    method: str
    parts: tuple[str, ...]
    query: dict[str, str]
    body: bytes = b""
    change_id: str = ""
    author: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ApiAnswer:
    """One answer.

    Attributes:
        status: HTTP status.
        body: The body, or an iterator of its pieces.
        headers: Further headers.
        content_type: Type of the body.
    """

    status: int
    body: bytes | Iterator[bytes]
    headers: tuple[tuple[str, str], ...] = field(default=())
    content_type: str = JSON_TYPE
