"""The HTTP API of an agent: resources, watches, status and address directory."""

import secrets
from collections.abc import Callable
from typing import Protocol
from urllib.parse import parse_qs

import msgspec

from citronspan.core import result_codes
from citronspan.core.configuration.config_record import (
    NO_VERSION,
    ChangeRecord,
    check_change_id,
    read_resource,
)
from citronspan.core.configuration.config_state import (
    AppliedChange,
    ConfigState,
    ResourceKey,
    find_warnings,
)
from citronspan.core.errors import CitronspanError
from citronspan.core.resources import Kind
from citronspan.ops.operators.agent_status import TargetStatus
from citronspan.ops.operators.resource_api_types import (
    ApiAnswer,
    ApiRequest,
    ChangeAnswer,
    ErrorAnswer,
    ListAnswer,
    OutcomeAnswer,
    ResourceAnswer,
    ResourceStatus,
    SpecBody,
    StoredSpec,
    WatchLine,
)
from citronspan.ops.store.active_config import ActiveConfig
from citronspan.ops.store.config_tail_writer import (
    AcceptedChange,
    read_unix_seconds,
    submit_change,
)
from citronspan.ops.store.log_client import LogStore
from citronspan.utils.validation import DECODING_ERRORS, describe_error

MAXIMUM_BODY_BYTES = 1 << 20
WATCH_IDLE_SECONDS = 5.0
MAXIMUM_WATCHES = 12
READY_TIMEOUT_SECONDS = 3.0


class FleetAnswers(Protocol):
    """Provides the answers about the fleet that this API returns."""

    def find_status(self) -> msgspec.Struct:
        """Return the status of the fleet."""

    def find_targets(self) -> tuple[TargetStatus, ...]:
        """Return the status of the known targets."""

    def find_directory(
        self, *, region: str, data_centre: str, account: str, caller: str = ""
    ) -> msgspec.Struct:
        """Return the addresses that a caller should use.

        Args:
            region: Region of the caller, or empty.
            data_centre: Data centre of the caller, or empty.
            account: Client account of the caller, or empty.
            caller: Address from which the caller asks, or empty.
        """


class ResourceApi:
    """Answers API requests from the configuration and the fleet's status."""

    def __init__(
        self,
        *,
        active_config: ActiveConfig,
        store: LogStore | None,
        fleet: FleetAnswers,
    ):
        self._active_config = active_config
        self._store = store
        self._fleet = fleet
        self._open_watches = 0

    def answer(self, request: ApiRequest) -> ApiAnswer:
        """Answer a request; an error becomes an answer with its result code."""
        try:
            return self._route(request)
        except CitronspanError as error:
            return make_error_answer(error)

    def _route(self, request):
        if request.parts != ("status",) and not self._active_config.wait_ready(
            READY_TIMEOUT_SECONDS
        ):
            raise CitronspanError(
                code=result_codes.AGENT_STARTING,
                detail="the agent has not loaded the current configuration yet",
            )
        match request.method, request.parts:
            case "GET", ("resources", kind):
                return self._list(kind)
            case "GET", ("resources", kind, name):
                return self._get(kind, name)
            case "PUT", ("resources", kind, name):
                return self._put(request, kind, name)
            case "DELETE", ("resources", kind, name):
                return self._delete(request, kind, name)
            case "GET", ("changes", change_id):
                return self._get_change_outcome(change_id)
            case "GET", ("watch",):
                return self._watch(request)
            case "GET", ("status",):
                return _make_json(self._fleet.find_status())
            case "GET", ("directory",):
                return self._get_directory(request)
        raise _make_invalid_request_error(
            f"there is no {request.method} /{'/'.join(request.parts)}"
        )

    def _list(self, kind):
        _check_kind(kind)
        state = self._active_config.state
        target_by_name = self._find_target_by_name(kind)
        items = [
            _make_resource_answer(state, key, target_by_name.get(key.name))
            for key in sorted(state.resource_by_key)
            if key.kind == kind
        ]
        return _make_json(ListAnswer(version=state.offset - 1, items=tuple(items)))

    def _get(self, kind, name):
        _check_kind(kind)
        state = self._active_config.state
        key = ResourceKey(kind, name)
        if key not in state.resource_by_key:
            raise CitronspanError(
                code=result_codes.RESOURCE_UNKNOWN, detail=f"{kind}/{name}"
            )
        target = self._find_target_by_name(kind).get(name)
        return _make_json(_make_resource_answer(state, key, target))

    def _find_target_by_name(self, kind) -> dict[str, TargetStatus]:
        if kind != Kind.TARGET.value:
            return {}
        return {target.name: target for target in self._fleet.find_targets()}

    def _put(self, request, kind, name):
        try:
            body = msgspec.json.decode(request.body, type=SpecBody)
        except DECODING_ERRORS as error:
            raise CitronspanError(
                code=result_codes.RESOURCE_INVALID, detail=describe_error(error)
            ) from error
        record = self._make_record(request, kind, name, spec=body.spec)
        read_resource(record, version=NO_VERSION)
        return self._submit(record)

    def _delete(self, request, kind, name):
        self._get(kind, name)
        return self._submit(self._make_record(request, kind, name, deleted=True))

    def _make_record(self, request, kind, name, **fields) -> ChangeRecord:
        _check_kind(kind)
        change_id = request.change_id or secrets.token_urlsafe(12)
        check_change_id(change_id)
        return ChangeRecord(
            change_id=change_id,
            kind=Kind(kind),
            name=name,
            expected_version=_read_version(request, "version"),
            seen_offset=self._active_config.state.offset,
            author=request.author,
            at_seconds=read_unix_seconds(),
            **fields,
        )

    def _submit(self, record):
        if self._store is None:
            raise CitronspanError(
                code=result_codes.WRITTEN_ELSEWHERE,
                detail="these resources are written in the platform's store",
            )
        state = self._active_config.state
        if record.change_id not in state.outcome_by_change_id:
            _check_version(record, state)
        accepted: AcceptedChange = submit_change(
            record, active_config=self._active_config, store=self._store
        )
        return _make_json(
            ChangeAnswer(version=accepted.version, change_id=accepted.change_id)
        )

    def _get_change_outcome(self, change_id):
        outcome = self._active_config.state.outcome_by_change_id.get(change_id)
        if outcome is None:
            raise CitronspanError(
                code=result_codes.RESOURCE_UNKNOWN,
                detail=f"change {change_id} is not among the recent changes",
            )
        return _make_json(
            OutcomeAnswer(
                change_id=change_id,
                verdict=outcome.verdict.value,
                offset=outcome.offset,
                detail=outcome.detail,
            )
        )

    def _get_directory(self, request):
        answer = self._fleet.find_directory(
            region=request.query.get("region", ""),
            data_centre=request.query.get("dataCentre", ""),
            account=request.query.get("account", ""),
            caller=request.caller,
        )
        return _make_json(answer)

    def _watch(self, request):
        version = _read_version(request, "from")
        if self._active_config.find_changes(version) is None:
            raise CitronspanError(
                code=result_codes.WATCH_TOO_OLD, detail=f"version {version}"
            )
        if self._open_watches >= MAXIMUM_WATCHES:
            raise CitronspanError(
                code=result_codes.TOO_MANY_WATCHES,
                detail=f"this agent has {MAXIMUM_WATCHES} open watches, the maximum",
            )
        return ApiAnswer(
            status=200,
            body=self._stream_changes(version),
            content_type="application/jsonl",
        )

    def _stream_changes(self, version):
        self._open_watches += 1
        try:
            while not self._active_config.closed:
                changes = self._active_config.find_changes(version)
                if changes is None:
                    yield _encode_line(WatchLine(type="gone", version=version))
                    return
                for change in changes:
                    yield _encode_line(_make_watch_line(change))
                if not changes:
                    yield _encode_line(WatchLine(type="at", version=version))
                version = max(
                    [version, *(change.version for change in changes)],
                )
                self._wait_for_changes(version)
        finally:
            self._open_watches -= 1

    def _wait_for_changes(self, version):
        self._active_config.wait(
            lambda state: self._active_config.find_changes(version) != (),
            WATCH_IDLE_SECONDS,
        )


def make_error_answer(error: CitronspanError) -> ApiAnswer:
    """Return the HTTP answer for an error."""
    code = error.code
    status = code.http_status
    if status < 400:
        status = 400
    headers = [("Citronspan-Result", f"{code.number} {code.name}")]
    if status == 503:
        headers.append(("Retry-After", "1"))
    body = ErrorAnswer(code=code.number, name=code.name, detail=error.detail)
    return ApiAnswer(
        status=status, body=msgspec.json.encode(body), headers=tuple(headers)
    )


def make_application(api: ResourceApi) -> Callable:
    """Return the WSGI application that serves the API.

    Args:
        api: The API that answers the requests.

    Returns:
        A WSGI callable (PEP 3333).
    """

    def application(environ, start_response):
        try:
            answer = api.answer(_read_request(environ))
        except CitronspanError as error:
            answer = make_error_answer(error)
        headers = [("Content-Type", answer.content_type), *answer.headers]
        body = answer.body
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = [body]
        start_response(f"{answer.status} {_PHRASES.get(answer.status, '-')}", headers)
        return body

    return application


_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def _read_request(environ) -> ApiRequest:
    parts = tuple(part for part in environ.get("PATH_INFO", "").split("/") if part)
    query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    return ApiRequest(
        method=environ["REQUEST_METHOD"],
        parts=parts,
        query={name: values[-1] for name, values in query.items()},
        body=_read_body(environ),
        change_id=environ.get("HTTP_CHANGE_ID", ""),
        author=environ.get("HTTP_CITRONSPAN_AUTHOR", "")[:64],
        caller=environ.get("REMOTE_ADDR", ""),
    )


def _read_body(environ) -> bytes:
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdecimal() or int(text) > MAXIMUM_BODY_BYTES:
        raise _make_invalid_request_error(
            f"Content-Length is {text}, the maximum is {MAXIMUM_BODY_BYTES} bytes"
        )
    length = int(text)
    body = environ["wsgi.input"].read(length) if length else b""
    if len(body) != length:
        raise _make_invalid_request_error("the body is shorter than Content-Length")
    return body


def _make_json(answer: msgspec.Struct) -> ApiAnswer:
    return ApiAnswer(status=200, body=msgspec.json.encode(answer))


def _make_invalid_request_error(detail: str) -> CitronspanError:
    return CitronspanError(code=result_codes.API_REQUEST_INVALID, detail=detail)


def _check_kind(kind: str) -> None:
    kinds = [known.value for known in Kind]
    if kind not in kinds:
        raise _make_invalid_request_error(
            f"unknown kind {kind!r}, expected one of {', '.join(kinds)}"
        )


def _read_version(request: ApiRequest, name: str) -> int:
    text = request.query.get(name, "")
    try:
        return int(text)
    except ValueError:
        raise _make_invalid_request_error(
            f"?{name}={text}: not an integer version"
        ) from None


def _check_version(record: ChangeRecord, state: ConfigState) -> None:
    """Reject a change whose expected version is certainly outdated.

    Only the replayed state is used: a version that this agent has not replayed yet is
    left to the log.

    Args:
        record: The change.
        state: The active state.

    Raises:
        CitronspanError: With code 2003 on a version conflict.
    """
    version = state.find_version(record.kind.value, record.name)
    if record.expected_version == version:
        return
    if record.expected_version >= state.offset:
        return
    raise CitronspanError(
        code=result_codes.VERSION_CONFLICT,
        detail=f"{record.kind.value}/{record.name} has version {version}",
    )


def _make_resource_answer(
    state: ConfigState, key: ResourceKey, target: TargetStatus | None
) -> ResourceAnswer:
    stored = state.resource_by_key[key]
    return ResourceAnswer(
        kind=key.kind,
        name=key.name,
        version=stored.version,
        spec=msgspec.json.decode(stored.data, type=StoredSpec).spec,
        status=ResourceStatus(warnings=find_warnings(state, key), target=target),
    )


def _make_watch_line(change: AppliedChange) -> WatchLine:
    if change.data is None:
        return WatchLine(
            type="delete",
            version=change.version,
            kind=change.key.kind,
            name=change.key.name,
        )
    return WatchLine(
        type="put",
        version=change.version,
        kind=change.key.kind,
        name=change.key.name,
        spec=msgspec.json.decode(change.data, type=StoredSpec).spec,
    )


def _encode_line(line: WatchLine) -> bytes:
    return msgspec.json.encode(line) + b"\n"
