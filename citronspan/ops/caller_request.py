"""A caller's request as the entry's code sees it, read from a WSGI environment."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError

BUFFERED_BODY_BYTES = 64 * 1024
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


def _parse_timeout(environ):
    text = environ.get("HTTP_REQUEST_TIMEOUT_SECONDS")
    if text is None:
        return math.inf
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not (math.isfinite(seconds) and seconds > 0):
        raise _invalid(f"Request-Timeout-Seconds: {text!r} is not a positive number")
    return seconds


def _collect_headers(environ):
    headers = []
    for name, value in environ.items():
        if not name.startswith("HTTP_"):
            continue
        header = name[5:].replace("_", "-").lower()
        if header in DROPPED_HEADERS:
            continue
        headers.append((header, value))
    if environ.get("CONTENT_TYPE"):
        headers.append(("content-type", environ["CONTENT_TYPE"]))
    return tuple(headers)


def _collect_trace_headers(environ):
    names = {"HTTP_TRACEPARENT": "traceparent", "HTTP_TRACESTATE": "tracestate"}
    return {key: environ[name] for name, key in names.items() if name in environ}


def read_caller_request(environ: dict) -> CallerRequest:
    """Read a request from a WSGI environment.

    Args:
        environ: The environment that the server made.

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
        headers=_collect_headers(environ),
        body=environ["wsgi.input"],
        length=_parse_length(environ),
        key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        account=environ.get("HTTP_CITRONSPAN_ACCOUNT", ""),
        timeout_seconds=_parse_timeout(environ),
        trace_headers=_collect_trace_headers(environ),
        connection=environ.get("citronspan.connection"),
    )


class CallerBody:
    """The body of a request, buffered if it is small, else read once.

    A small body can be sent again for another attempt; a large one only as long
    as none of it was read.
    """

    def __init__(self, *, request: CallerRequest):
        self._request = request
        self._buffer: bytes | None = None
        self._started = False
        if request.length is not None and request.length <= BUFFERED_BODY_BYTES:
            self._buffer = self._read_exactly(request.length)

    @property
    def length(self) -> int | None:
        """Bytes of the body, None if it comes in chunks."""
        return self._request.length

    @property
    def buffer(self) -> bytes | None:
        """The whole body if it is buffered."""
        return self._buffer

    @property
    def is_repeatable(self) -> bool:
        """Whether the whole body can still be sent."""
        return self._buffer is not None or not self._started

    def iterate(self) -> Iterator[bytes]:
        """Yield the body.

        Raises:
            CitronspanError: With code 3012 if the caller ends it too early, 3070
                if it is not here before the deadline.
        """
        if self._buffer is not None:
            if self._buffer:
                yield self._buffer
            return
        self._started = True
        if self.length is None:
            yield from self._iterate_chunked()
            return
        left = self.length
        while left > 0:
            data = self._read(min(READ_BYTES, left))
            if not data:
                raise self._cut_short()
            left -= len(data)
            yield data

    def _iterate_chunked(self):
        while data := self._read(READ_BYTES):
            yield data

    def _read_exactly(self, length):
        parts = []
        left = length
        while left > 0:
            data = self._read(left)
            if not data:
                raise self._cut_short()
            parts.append(data)
            left -= len(data)
        return b"".join(parts)

    def _read(self, size):
        try:
            return self._request.body.read(size)
        except TimeoutError as error:
            raise CitronspanError(
                code=result_codes.CALLER_TOO_SLOW, detail="the body is late"
            ) from error
        except (OSError, ValueError, EOFError) as error:
            raise self._cut_short() from error

    def _cut_short(self):
        return CitronspanError(
            code=result_codes.UPLOAD_CUT_SHORT,
            detail="the body ended before its length",
        )
