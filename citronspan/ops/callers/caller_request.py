"""Reads a caller's request from a WSGI environment."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from citronspan.core import result_codes
from citronspan.core.accounts.account_table import read_key_digest
from citronspan.core.errors import CitronspanError
from citronspan.ops.callers.caller_stream import StopTimeoutError
from citronspan.ops.targets.dialect import Dialect

MAXIMUM_BUFFERED_BODY_BYTES = 512 * 1024
"""Bodies up to this size are read completely before a slot is requested, so that a slow
caller holds no slot, and can be resent in a retry where that is safe."""

READ_BYTES = 64 * 1024

# Headers that are not forwarded, since they apply to one connection (RFC 9110, section
# 7.6.1) or belong to the fleet.
DROPPED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
        "request-timeout-seconds",
        "deadline-seconds",
        "traceparent",
        "tracestate",
    }
)


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """Holds a caller's request.

    Attributes:
        method: HTTP method.
        host: Host header.
        path: Decoded path, for routing.
        uri: Path and query as the caller sent them.
        headers: Headers to forward, with lower-case names.
        body: Reader of the body.
        length: Bytes of the body, None if it is chunked.
        key: Idempotency key, or empty.
        account: Name of the client account, or empty.
        request_id: Id of the request in logs and answers, or empty.
        timeout_seconds: The caller's timeout, infinity if it sent none.
        trace_headers: Headers of the caller's trace context.
        connection: The server's connection, which can be reset.
        account_key_digest: Digest of the account key in ``Authorization``, or empty.
    """

    method: str
    host: str
    path: str
    uri: str
    headers: tuple[tuple[str, str], ...]
    body: Any
    length: int | None
    key: str
    account: str
    request_id: str
    timeout_seconds: float
    trace_headers: dict[str, str]
    connection: Any
    account_key_digest: str = ""


def _make_invalid_error(detail):
    return CitronspanError(code=result_codes.REQUEST_INVALID, detail=detail)


def _parse_content_length(environ):
    if environ.get("HTTP_TRANSFER_ENCODING"):
        return None
    text = environ.get("CONTENT_LENGTH") or "0"
    if not (text.isascii() and text.isdigit()):
        raise _make_invalid_error(f"Content-Length: {text!r} is not a number")
    return int(text)


def find_environ_key(header: str) -> str:
    """Return the key of a header in a WSGI environment."""
    return f"HTTP_{header.upper().replace('-', '_')}"


def _collect_headers(environ, dialect):
    dropped = DROPPED_HEADERS | {dialect.timeout_header.lower()}
    dropped |= _list_connection_headers(environ)
    headers = []
    for name, value in environ.items():
        if not name.startswith("HTTP_"):
            continue
        header = name[5:].replace("_", "-").lower()
        if header in dropped:
            continue
        headers.append((header, value))
    for header, value in environ.get("citronspan.underscored", ()):
        if header not in dropped and header.replace("_", "-") not in dropped:
            headers.append((header, value))
    if environ.get("CONTENT_TYPE"):
        headers.append(("content-type", environ["CONTENT_TYPE"]))
    return tuple(headers)


def _list_connection_headers(environ):
    """Return the names listed in ``Connection`` (RFC 9110, section 7.6.1)."""
    names = environ.get("HTTP_CONNECTION", "").lower().split(",")
    return {name.strip() for name in names}


def _collect_trace_headers(environ):
    names = {"HTTP_TRACEPARENT": "traceparent", "HTTP_TRACESTATE": "tracestate"}
    return {key: environ[name] for name, key in names.items() if name in environ}


def read_caller_request(environ: dict, dialect: Dialect) -> CallerRequest:
    """Read a request from a WSGI environment.

    Args:
        environ: WSGI environment of the request.
        dialect: Reads the callers' headers.

    Returns:
        The request; its body has not been read.

    Raises:
        CitronspanError: With code 3008 if a header is malformed.
    """
    return CallerRequest(
        method=environ["REQUEST_METHOD"],
        host=environ.get("HTTP_HOST", ""),
        path=environ.get("PATH_INFO", "/"),
        uri=environ["REQUEST_URI"],
        headers=_collect_headers(environ, dialect),
        body=environ["wsgi.input"],
        length=_parse_content_length(environ),
        key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        account=environ.get("HTTP_CITRONSPAN_ACCOUNT", ""),
        timeout_seconds=dialect.read_timeout_seconds(
            environ.get(find_environ_key(dialect.timeout_header))
        ),
        request_id=environ.get(find_environ_key(dialect.id_header), ""),
        trace_headers=_collect_trace_headers(environ),
        connection=environ.get("citronspan.connection"),
        account_key_digest=read_key_digest(environ.get("HTTP_AUTHORIZATION", "")),
    )


class CallerBody:
    """Reads the body of a request; a small one is buffered, a large one is streamed.

    A buffered body can be resent in a retry. A streamed body can be resent only until
    its first byte past the buffer is read.
    """

    def __init__(self, *, request: CallerRequest):
        self._request = request
        self._buffered = b""
        self._is_whole = False
        self._is_streaming = False
        if request.length is None or request.length <= MAXIMUM_BUFFERED_BODY_BYTES:
            self._read_ahead()

    @property
    def length(self) -> int | None:
        """Bytes of the body, None if it is chunked and exceeds the buffer."""
        return len(self._buffered) if self._is_whole else self._request.length

    @property
    def buffer(self) -> bytes | None:
        """The whole body if it is buffered, else None."""
        return self._buffered if self._is_whole else None

    @property
    def is_repeatable(self) -> bool:
        """Whether the whole body can be sent in a further attempt."""
        return self._is_whole or not self._is_streaming

    def iterate(self) -> Iterator[bytes]:
        """Yield the body.

        Raises:
            CitronspanError: With code 3012 if the body ends early, 3070 if it has not
                arrived by the deadline.
        """
        if self._buffered:
            yield self._buffered
        if self._is_whole:
            return
        self._is_streaming = True
        if self._request.length is None:
            while data := self._read(READ_BYTES):
                yield data
            return
        remaining_bytes = self._request.length - len(self._buffered)
        while remaining_bytes > 0:
            data = self._read(min(READ_BYTES, remaining_bytes))
            if not data:
                raise self._make_cut_short_error()
            remaining_bytes -= len(data)
            yield data

    def _read_ahead(self):
        """Read a small or chunked body into the buffer, up to the buffer's size."""
        length = self._request.length
        remaining_bytes = MAXIMUM_BUFFERED_BODY_BYTES if length is None else length
        parts = []
        while remaining_bytes > 0:
            data = self._read(remaining_bytes)
            if not data:
                break
            parts.append(data)
            remaining_bytes -= len(data)
        self._buffered = b"".join(parts)
        if length is None:
            self._is_whole = remaining_bytes > 0
            return
        if remaining_bytes > 0:
            raise self._make_cut_short_error()
        self._is_whole = True

    def _read(self, size):
        try:
            return self._request.body.read(size)
        except TimeoutError as error:
            raise CitronspanError(
                code=self._find_timeout_code(error),
                detail="the body did not arrive before the deadline",
            ) from error
        except (OSError, ValueError, EOFError) as error:
            raise self._make_cut_short_error() from error

    def _find_timeout_code(self, error):
        if self._is_streaming:
            # A target has received a part of the body and may have run the request.
            return result_codes.UPLOAD_LATE
        if isinstance(error, StopTimeoutError):
            return result_codes.ENTRY_STOPPING
        return result_codes.CALLER_TOO_SLOW

    def _make_cut_short_error(self):
        return CitronspanError(
            code=result_codes.UPLOAD_CUT_SHORT,
            detail="the body ended before its declared length",
        )
