"""HTTP client whose answers are bounded in size and time.

A server may send bytes without end, in a head or in a body, or one byte now and then.
The standard library keeps what it reads, waits anew with each byte, and skips any
number of interim answers. Here an answer that exceeds a bound is an error like a broken
connection, and costs no more memory than the bound.
"""

import functools
import http.client
import io
import time
from dataclasses import dataclass

import urllib3
from urllib3.connection import HTTPConnection

READ_BYTES = 64 * 1024


class AnswerTooLongError(http.client.HTTPException):
    """Signals an answer that exceeds a bound."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerBounds:
    """Bounds of an answer.

    Attributes:
        head_bytes: Longest head, with the interim answers before it.
        body_bytes: Longest body, with the sizes of its chunks and the trailer.
        seconds: Longest time from the request to the end of the answer, beyond the
            time for which its first byte may be awaited.
    """

    head_bytes: int = 64 * 1024
    body_bytes: int
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpAnswer:
    """A whole answer.

    Attributes:
        status: Status code.
        headers: The headers.
        data: The body, as the server sent it.
    """

    status: int
    headers: urllib3.HTTPHeaderDict
    data: bytes


class BoundedReader(io.RawIOBase):
    """Reads from a connection up to a number of bytes and a time."""

    def __init__(self, *, raw: io.RawIOBase, deadline: float):
        """Create a reader that may not read anything yet.

        Args:
            raw: Where to read.
            deadline: Time of ``time.monotonic()``.
        """
        super().__init__()
        self._raw = raw
        self._deadline = deadline
        self._remaining_bytes = 0

    def allow(self, size: int) -> None:
        """Allow a number of bytes from here on."""
        self._remaining_bytes = size

    def readable(self) -> bool:
        """Return that this is a reader, as the base class requires."""
        return True

    def readinto(self, buffer) -> int | None:
        """Read what is there, at most as much as is allowed.

        Raises:
            AnswerTooLongError: If nothing more is allowed.
        """
        if self._remaining_bytes <= 0:
            raise AnswerTooLongError("the answer has more bytes than allowed")
        if time.monotonic() >= self._deadline:
            raise AnswerTooLongError("the answer takes longer than allowed")
        count = self._raw.readinto(memoryview(buffer)[: self._remaining_bytes])
        self._remaining_bytes -= count or 0
        return count

    def close(self) -> None:
        """Close the reader and what it reads from."""
        self._raw.close()
        super().close()


class BoundedResponse(http.client.HTTPResponse):
    """Reads one answer within its bounds."""

    def __init__(self, sock, *arguments, bounds: AnswerBounds, **options):
        """Create the reader of the next answer of a connection.

        Args:
            sock: The connection, with the longest wait for a byte as its timeout.
            *arguments: Further arguments of ``http.client.HTTPResponse``.
            bounds: Bounds of the answer.
            **options: Further arguments of ``http.client.HTTPResponse``.
        """
        super().__init__(sock, *arguments, **options)
        wait_seconds = sock.gettimeout() or 0.0
        self._bounds = bounds
        self._reader = BoundedReader(
            raw=self.fp.detach(),
            deadline=time.monotonic() + wait_seconds + bounds.seconds,
        )
        self.fp = io.BufferedReader(self._reader)

    def begin(self) -> None:
        """Read the head of the final answer.

        Raises:
            AnswerTooLongError: If the head or the declared length exceeds a bound.
        """
        self._reader.allow(self._bounds.head_bytes)
        super().begin()
        if self.length is not None and self.length > self._bounds.body_bytes:
            raise AnswerTooLongError(f"the answer has {self.length} bytes")
        self._reader.allow(self._bounds.body_bytes)


class BoundedHttpClient:
    """Client of one server, over kept connections; safe for threads."""

    def __init__(self, *, bounds: AnswerBounds, connections: int):
        """Create a client without connections.

        Args:
            bounds: Bounds of each answer.
            connections: Number of connections that are kept.
        """
        self._bounds = bounds
        self._pool = urllib3.PoolManager(maxsize=connections, retries=False)
        self._pool.pool_classes_by_scheme = {"http": self._make_pool}

    def request(
        self, method: str, url: str, *, timeout: urllib3.Timeout | float, **arguments
    ) -> HttpAnswer:
        """Send a request and read the whole answer.

        Args:
            method: HTTP method.
            url: The URL.
            timeout: Longest times for the connect and for each wait for a byte.
            **arguments: Further arguments of ``urllib3.PoolManager.request``.

        Returns:
            The answer, whatever its status.

        Raises:
            urllib3.exceptions.HTTPError: If there is no whole answer within the bounds.
        """
        response = self.open(method, url, timeout=timeout, **arguments)
        try:
            data = self._read_body(response)
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return HttpAnswer(status=response.status, headers=response.headers, data=data)

    def open(
        self, method: str, url: str, *, timeout: urllib3.Timeout | float, **arguments
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and read the head of the answer; see ``request``.

        Its body can be read once, by ``read`` or ``read1`` with a size, which bounds
        what is kept. Close the answer afterwards.
        """
        return self._pool.request(
            method, url, timeout=timeout, preload_content=False, **arguments
        )

    def _read_body(self, response) -> bytes:
        # Read in parts, since the standard library reserves a declared length at once.
        parts = []
        size = 0
        while part := response.read(READ_BYTES, decode_content=False):
            parts.append(part)
            size += len(part)
            if size > self._bounds.body_bytes:
                raise urllib3.exceptions.ProtocolError(
                    "the body is longer than allowed"
                )
        return b"".join(parts)

    def _make_pool(self, *arguments, **options):
        pool = urllib3.HTTPConnectionPool(*arguments, **options)
        pool.ConnectionCls = functools.partial(_make_connection, self._bounds)
        return pool


def _make_connection(bounds, *arguments, **options) -> HTTPConnection:
    connection = HTTPConnection(*arguments, **options)
    connection.response_class = functools.partial(BoundedResponse, bounds=bounds)
    return connection
