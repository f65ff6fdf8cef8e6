"""A caller's request as the entry's code sees it, read from a WSGI environment."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError
from citronspan.ops.dialect import Dialect

BUFFERED_BODY_BYTES = 512 * 1024
"""Bodies up to this size are read whole before a target is asked for, so that a slow
caller holds no slot, and can be sent again where that is safe."""

READ_BYTES = 64 * 1024

# Headers that belong to one connection (RFC 9110, section 7.6.1) or to the fleet.
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
    """One request.

    Attributes:
        method: HTTP method.
        host: Host header.
        path: Decoded path, for routing.
        uri: Path and query as the caller sent them.
        headers: Headers to pass on, with lower-case names.
        body: Reader of the body.
        length: Bytes of the body, None if it comes in chunks.
        key: Idempotency key, or empty.
        account: Name of the account, or empty.
        request_id: What identifies the request in logs and answers, or empty.
        timeout_seconds: Time that the caller gives, infinity if it names none.
        trace_headers: The caller's trace context.
        connection: The server's connection, to end it visibly.
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


def _invalid(detail):
    return CitronspanError(code=result_codes.REQUEST_INVALID, detail=detail)


def _parse_length(environ):
    if environ.get("HTTP_TRANSFER_ENCODING"):
        return None
    text = environ.get("CONTENT_LENGTH") or "0"
    if not (text.isascii() and text.isdigit()):
        raise _invalid(f"Content-Length: {text!r} is not a number")
    return int(text)


def find_environ_key(header: str) -> str:
    """Return where a WSGI environment holds a header."""
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
    if environ.get("CONTENT_TYPE"):
        headers.append(("content-type", environ["CONTENT_TYPE"]))
    return tuple(headers)


def _list_connection_headers(environ):
    """Return the headers that ``Connection`` names (RFC 9110, section 7.6.1)."""
    names = environ.get("HTTP_CONNECTION", "").lower().split(",")
    return {name.strip() for name in names}


def _collect_trace_headers(environ):
    names = {"HTTP_TRACEPARENT": "traceparent", "HTTP_TRACESTATE": "tracestate"}
    return {key: environ[name] for name, key in names.items() if name in environ}


def read_caller_request(environ: dict, dialect: Dialect) -> CallerRequest:
    """Read a request from a WSGI environment.

    Args:
        environ: The environment that the server made.
        dialect: What callers say in headers.

    Returns:
        The request; its body is not read yet.

    Raises:
        CitronspanError: With code 3008 if a header is not well formed.
    """
    return CallerRequest(
        method=environ["REQUEST_METHOD"],
        host=environ.get("HTTP_HOST", ""),
        path=environ.get("PATH_INFO", "/"),
        uri=environ["REQUEST_URI"],
        headers=_collect_headers(environ, dialect),
        body=environ["wsgi.input"],
        length=_parse_length(environ),
        key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        account=environ.get("HTTP_CITRONSPAN_ACCOUNT", ""),
        timeout_seconds=dialect.read_timeout_seconds(
            environ.get(find_environ_key(dialect.timeout_header))
        ),
        request_id=environ.get(find_environ_key(dialect.id_header), ""),
        trace_headers=_collect_trace_headers(environ),
        connection=environ.get("citronspan.connection"),
    )


class CallerBody:
    """The body of a request, buffered if it is small, else read once.

    A small body can be sent again for another attempt; a large one only as long
    as none of it was read past the buffer.
    """

    def __init__(self, *, request: CallerRequest):
        self._request = request
        self._head = b""
        self._is_whole = False
        self._started = False
        if request.length is None or request.length <= BUFFERED_BODY_BYTES:
            self._read_ahead()

    @property
    def length(self) -> int | None:
        """Bytes of the body, None if it comes in chunks and is long."""
        return len(self._head) if self._is_whole else self._request.length

    @property
    def buffer(self) -> bytes | None:
        """The whole body if it is buffered."""
        return self._head if self._is_whole else None

    @property
    def is_repeatable(self) -> bool:
        """Whether the whole body can still be sent."""
        return self._is_whole or not self._started

    def iterate(self) -> Iterator[bytes]:
        """Yield the body.

        Raises:
            CitronspanError: With code 3012 if the caller ends it too early, 3070
                if it is not here before the deadline.
        """
        if self._head:
            yield self._head
        if self._is_whole:
            return
        self._started = True
        if self._request.length is None:
            while data := self._read(READ_BYTES):
                yield data
            return
        left = self._request.length - len(self._head)
        while left > 0:
            data = self._read(min(READ_BYTES, left))
            if not data:
                raise self._cut_short()
            left -= len(data)
            yield data

    def _read_ahead(self):
        """Read the body up to the size of the buffer."""
        length = self._request.length
        wanted = BUFFERED_BODY_BYTES if length is None else length
        parts = []
        while wanted > 0:
            data = self._read(wanted)
            if not data:
                break
            parts.append(data)
            wanted -= len(data)
        self._head = b"".join(parts)
        if length is None:
            self._is_whole = wanted > 0
            return
        if wanted > 0:
            raise self._cut_short()
        self._is_whole = True

    def _read(self, size):
        try:
            return self._request.body.read(size)
        except TimeoutError as error:
            code = result_codes.CALLER_TOO_SLOW
            if self._started:
                # A target has some of it, so that "not run" is no longer sure.
                code = result_codes.UPLOAD_LATE
            raise CitronspanError(code=code, detail="the body is late") from error
        except (OSError, ValueError, EOFError) as error:
            raise self._cut_short() from error

    def _cut_short(self):
        return CitronspanError(
            code=result_codes.UPLOAD_CUT_SHORT,
            detail="the body ended before its length",
        )
