"""Requests and answers of the resource API."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from citronspan.ops.operators.agent_status import TargetStatus

JSON_TYPE = "application/json"


class SpecBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a PUT.

    Attributes:
        spec: Specification in JSON.
    """

    spec: msgspec.Raw


class ResourceStatus(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The fleet's status of a resource.

    Attributes:
        warnings: Warning sentences about the resource.
        target: Status of a target as reported by its broker, None if unknown.
    """

    warnings: tuple[str, ...] = ()
    target: TargetStatus | None = None


class ResourceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A resource in an answer of the API."""

    kind: str
    name: str
    version: int
    spec: msgspec.Raw
    status: ResourceStatus = ResourceStatus()


class ListAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The resources of one kind and the version to watch from."""

    version: int
    items: tuple[ResourceAnswer, ...]


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Answer to an accepted change."""

    version: int
    change_id: str


class OutcomeAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Outcome of the change with a change id."""

    change_id: str
    verdict: str
    offset: int
    detail: str


class WatchLine(
    msgspec.Struct, frozen=True, kw_only=True, rename="camel", omit_defaults=True
):
    """One line of a watch.

    Attributes:
        type: ``put``, ``delete``, ``at`` (no further change up to the version) or
            ``gone`` (the history is lost: list and watch again).
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
    """Answer to a request that failed."""

    code: int
    name: str
    detail: str


class StoredSpec(msgspec.Struct, frozen=True):
    """The part of a stored resource that answers contain."""

    spec: msgspec.Raw


@dataclass(frozen=True, kw_only=True, slots=True)
class ApiRequest:
    """A request, read from the WSGI environment.

    Attributes:
        method: HTTP method.
        parts: Segments of the path.
        query: Query parameters, the last value of each name.
        body: The whole body.
        change_id: Change id chosen by the client, or empty.
        author: Author as stated by the client.
        caller: IP address from which the request came, or empty.
    """

    method: str
    parts: tuple[str, ...]
    query: dict[str, str]
    body: bytes = b""
    change_id: str = ""
    author: str = ""
    caller: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ApiAnswer:
    """An answer to a request.

    Attributes:
        status: HTTP status.
        body: The body, or an iterator over its chunks.
        headers: Additional headers.
        content_type: Media type of the body.
    """

    status: int
    body: bytes | Iterator[bytes]
    headers: tuple[tuple[str, str], ...] = field(default=())
    content_type: str = JSON_TYPE
