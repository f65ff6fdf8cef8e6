"""Client of the resource API for operators' tools."""

import contextlib
import getpass
import math
import secrets
from collections.abc import Iterator
from urllib.parse import quote

import msgspec
import urllib3

from citronspan.core import result_codes
from citronspan.core.configuration.config_record import NO_VERSION
from citronspan.core.errors import CitronspanError
from citronspan.core.resources import Resource
from citronspan.core.result_codes import RESULT_CODE_BY_NUMBER
from citronspan.ops.operators.agent_status import FleetStatus
from citronspan.ops.operators.resource_api_types import (
    ChangeAnswer,
    ErrorAnswer,
    ListAnswer,
    ResourceAnswer,
    WatchLine,
)
from citronspan.utils.bounded_http import AnswerBounds, BoundedHttpClient

CONNECT_TIMEOUT_SECONDS = 2.0
# Longer than an agent takes to determine the outcome of an append without an answer.
ANSWER_TIMEOUT_SECONDS = 20.0
# Longer than the interval at which an agent writes a line to an idle watch.
WATCH_IDLE_TIMEOUT_SECONDS = 30.0
ANSWER_BOUNDS = AnswerBounds(body_bytes=64 << 20, seconds=60.0)
WATCH_BOUNDS = AnswerBounds(body_bytes=128 << 20, seconds=math.inf)
"""A watch goes on until one side ends it: some months of changes."""

MAXIMUM_WATCH_LINE_BYTES = 4 << 20
WATCH_READ_BYTES = 4096


class ApiClient:
    """Client of the resource API of one agent."""

    def __init__(self, *, address: str):
        self._address = address
        self._client = BoundedHttpClient(bounds=ANSWER_BOUNDS, connections=1)
        self._timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=ANSWER_TIMEOUT_SECONDS
        )

    def find_resource(self, kind: str, name: str) -> ResourceAnswer | None:
        """Return a resource, or None if it does not exist."""
        try:
            data = self._request("GET", _make_path("resources", kind, name))
        except CitronspanError as error:
            if error.code is result_codes.RESOURCE_UNKNOWN:
                return None
            raise
        return msgspec.json.decode(data, type=ResourceAnswer)

    def list_resources(self, kind: str) -> ListAnswer:
        """Return all resources of a kind."""
        data = self._request("GET", _make_path("resources", kind))
        return msgspec.json.decode(data, type=ListAnswer)

    def put_resource(self, resource: Resource, *, version: int) -> ChangeAnswer:
        """Replace a version of a resource, or create the resource.

        Args:
            resource: The new resource; its version field is ignored.
            version: The version to replace, -1 to create the resource.

        Returns:
            The answer with the new version.

        Raises:
            CitronspanError: With the result code of the agent's answer.
        """
        body = b'{"spec":' + msgspec.json.encode(resource.spec) + b"}"
        path = _make_path("resources", resource.kind.value, resource.name)
        return self._change("PUT", path, version, body)

    def delete_resource(self, kind: str, name: str, *, version: int) -> ChangeAnswer:
        """Delete a version of a resource."""
        return self._change("DELETE", _make_path("resources", kind, name), version)

    def find_status(self) -> FleetStatus:
        """Return the status of the fleet."""
        return msgspec.json.decode(self._request("GET", "/status"), type=FleetStatus)

    def watch(self, version: int) -> Iterator[WatchLine]:
        """Yield the changes after a version until the agent ends the stream."""
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=WATCH_IDLE_TIMEOUT_SECONDS
        )
        client = BoundedHttpClient(bounds=WATCH_BOUNDS, connections=1)
        with self._name_errors():
            answer = client.open(
                "GET", self._make_url(f"/watch?from={version}"), timeout=timeout
            )
        try:
            if answer.status != 200:
                _raise_answered_error(answer.read1(MAXIMUM_WATCH_LINE_BYTES))
            for line in self._read_lines(answer):
                yield msgspec.json.decode(line, type=WatchLine)
        finally:
            answer.close()

    def _read_lines(self, answer) -> Iterator[bytes]:
        pending = b""
        while True:
            with self._name_errors():
                part = answer.read1(WATCH_READ_BYTES, decode_content=False)
            if not part:
                return
            *lines, pending = (pending + part).split(b"\n")
            if len(pending) > MAXIMUM_WATCH_LINE_BYTES:
                raise self._make_error("a line of the watch is too long")
            yield from lines

    def _change(self, method, path, version, body=b""):
        headers = {
            "Change-Id": secrets.token_urlsafe(12),
            "Citronspan-Author": _find_author(),
        }
        data = self._request(
            method, f"{path}?version={version}", body=body, headers=headers
        )
        return msgspec.json.decode(data, type=ChangeAnswer)

    def _request(self, method, path, **arguments) -> bytes:
        answer = self._send(method, path, timeout=self._timeout, **arguments)
        if answer.status != 200:
            _raise_answered_error(answer.data)
        return answer.data

    def _send(self, method, path, **arguments):
        with self._name_errors():
            return self._client.request(method, self._make_url(path), **arguments)

    def _make_url(self, path) -> str:
        return f"http://{self._address}{path}"

    @contextlib.contextmanager
    def _name_errors(self):
        try:
            yield
        except urllib3.exceptions.HTTPError as error:
            raise self._make_error(str(error)) from error

    def _make_error(self, detail) -> CitronspanError:
        return CitronspanError(
            code=result_codes.API_UNREACHABLE, detail=f"{self._address}: {detail}"
        )


def find_version(client: ApiClient, kind: str, name: str) -> int:
    """Return the current version of a resource, -1 if it does not exist."""
    found = client.find_resource(kind, name)
    return NO_VERSION if found is None else found.version


def _make_path(*parts: str) -> str:
    return "/" + "/".join(quote(part, safe="") for part in parts)


def _find_author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # Ignored: the author of a change is optional.
        return ""


def _raise_answered_error(data: bytes) -> None:
    try:
        error = msgspec.json.decode(data, type=ErrorAnswer)
        code = RESULT_CODE_BY_NUMBER[error.code]
    except (msgspec.MsgspecError, KeyError):
        raise CitronspanError(
            code=result_codes.API_UNREACHABLE,
            detail=f"unexpected answer: {data[:200]!r}",
        ) from None
    raise CitronspanError(code=code, detail=error.detail)
