"""Connections to targets, and what each failure on them proves.

A failed connect proves that the request was not run; from the first byte of the
request on, only the target's own word does. Requests that may not run twice go
over a fresh connection, because a kept one can fail after the bytes have left.
"""

import contextlib
import functools
import http.client
import select
import threading
import time
from dataclasses import dataclass

import urllib3
from urllib3.connection import HTTPConnection

from citronspan.core.errors import CitronspanError
from citronspan.core.outcomes import OutcomeClass
from citronspan.ops.answer_stream import CheckedResponse
from citronspan.ops.caller_connection import CallerConnection
from citronspan.ops.caller_request import CallerBody
from citronspan.utils.addresses import split_address

CONNECT_TIMEOUT_SECONDS = 0.25
MAXIMUM_IDLE_CONNECTIONS_PER_TARGET = 4
POOL_IDLE_SECONDS = 4.0
KEEP_ALIVE_FRACTION = 0.7
"""Part of the time that a target says it keeps idle connections."""

POLL_CALLER_SECONDS = 0.25
SEND_BYTES = 64 * 1024

_BODYLESS_STATUSES = frozenset({204, 304})


class AttemptFailedError(Exception):
    """An attempt that brought no answer.

    Attributes:
        outcome_class: What the failure proves.
    """

    def __init__(self, *, outcome_class: OutcomeClass, detail: str):
        super().__init__(f"{outcome_class}: {detail}")
        self.outcome_class = outcome_class


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRequest:
    """What is sent to a target.

    Attributes:
        method: HTTP method.
        uri: Path and query.
        headers: All headers but those that frame the body.
        body: The body.
        request_id: What the answer must name, or empty.
        reuse_seconds: Longest idle time of a connection that may be used again.
        deadline: Time of ``time.monotonic()`` when the attempt is given up.
    """

    method: str
    uri: str
    headers: dict[str, str]
    body: CallerBody
    reuse_seconds: float
    deadline: float
    request_id: str = ""


class TargetAnswer:
    """An answer whose headers are here and whose body is still to be read."""

    def __init__(self, *, response, connection, release, method):
        self._response = response
        self._connection = connection
        self._release = release
        self._method = method

    @property
    def status(self) -> int:
        """Status code."""
        return self._response.status

    @property
    def reason(self) -> str:
        """Reason phrase."""
        return self._response.reason or ""

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Headers in the order of the target."""
        return list(self._response.headers.iteritems())

    def find_header(self, name: str) -> str | None:
        """Return the value of a header, or None."""
        return self._response.headers.get(name)

    @property
    def is_bodyless(self) -> bool:
        """Whether HTTP gives this answer no body."""
        return self._method == "HEAD" or self.status in _BODYLESS_STATUSES

    @property
    def is_checkable(self) -> bool:
        """Whether its end can be told from a cut connection."""
        return (
            self.is_bodyless
            or self._response.length_remaining is not None
            or self._response.chunked
        )

    @property
    def length(self) -> int | None:
        """Bytes of the body that are still to come, None if unknown."""
        return self._response.length_remaining

    def read(self, size: int) -> bytes:
        """Read some of the body.

        Args:
            size: Bytes at most.

        Returns:
            The bytes, empty at the checked end.

        Raises:
            AttemptFailedError: If the body is cut or late.
        """
        try:
            return self._response.read(size, decode_content=False)
        except (TimeoutError, urllib3.exceptions.ReadTimeoutError) as error:
            raise self._fail(OutcomeClass.TIMED_OUT, str(error)) from error
        except (
            OSError,
            ValueError,
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
        ) as error:
            raise self._fail(OutcomeClass.ANSWER_LOST, str(error)) from error

    def finish(self) -> None:
        """Keep the connection if it can serve again, after the whole body."""
        self._release(self._connection)

    def abort_response(self) -> None:
        """Close the connection; a target takes this as a cancellation."""
        # A response that ends with its connection holds the socket by itself.
        self._response.close()
        self._connection.close()

    def _fail(self, outcome_class, detail):
        self.abort_response()
        return AttemptFailedError(outcome_class=outcome_class, detail=detail)


@dataclass(frozen=True, kw_only=True, slots=True)
class _KeptConnection:
    connection: HTTPConnection
    since: float
    until: float


class TargetConnections:
    """Connections to all targets of one entry."""

    def __init__(self, *, id_header: str = ""):
        self._id_header = id_header
        self._lock = threading.Lock()
        self._kept_by_address: dict[str, list[_KeptConnection]] = {}

    def send(
        self, address: str, request: TargetRequest, caller: CallerConnection | None
    ) -> TargetAnswer:
        """Send a request and wait for the head of the answer.

        Args:
            address: ``IP:PORT`` of the target.
            request: What to send.
            caller: The caller, watched while waiting; None to watch nobody.

        Returns:
            The answer.

        Raises:
            AttemptFailedError: With the class that the failure proves.
            CitronspanError: With code 3012 if the caller cuts its body short.
        """
        connection = self._take_kept(address, request.reuse_seconds)
        if connection is None:
            connection = self._connect(address, request.deadline)
        try:
            response, is_sent = self._exchange(connection, request, caller)
        except BaseException:
            connection.close()
            raise
        # A target that answered before the whole request was sent may still read
        # on, and would take the next request for the rest of this one.
        seconds = _read_keep_seconds(response) if is_sent else 0.0
        return TargetAnswer(
            response=response,
            connection=connection,
            release=lambda used: self._keep(address, used, seconds),
            method=request.method,
        )

    def close(self) -> None:
        """Close all kept connections."""
        with self._lock:
            kept = [item for items in self._kept_by_address.values() for item in items]
            self._kept_by_address.clear()
        for item in kept:
            item.connection.close()

    def _connect(self, address, deadline):
        host, port = split_address(address)
        left = min(CONNECT_TIMEOUT_SECONDS, deadline - time.monotonic())
        if left <= 0:
            raise AttemptFailedError(
                outcome_class=OutcomeClass.NOT_USED, detail="no time left"
            )
        connection = HTTPConnection(host, port, timeout=left)
        try:
            connection.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            connection.close()
            raise AttemptFailedError(
                outcome_class=OutcomeClass.CONNECT_FAILED, detail=str(error)
            ) from error
        return connection

    def _exchange(self, connection, request, caller):
        """Send a request and read the head of its answer.

        Returns:
            The response, and whether all of the request was sent before it came.
        """
        connection.timeout = max(request.deadline - time.monotonic(), 0.001)
        connection.response_class = functools.partial(
            CheckedResponse,
            deadline=request.deadline,
            id_header=self._id_header,
            expected_id=request.request_id if self._id_header else "",
        )
        send_error, is_sent = self._send_request(connection, request)
        self._await_answer(connection, request.deadline, caller)
        try:
            return connection.getresponse(), is_sent
        except TimeoutError as error:
            raise AttemptFailedError(
                outcome_class=OutcomeClass.TIMED_OUT, detail=str(error)
            ) from error
        except (
            OSError,
            ValueError,
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
        ) as error:
            raise AttemptFailedError(
                outcome_class=OutcomeClass.ANSWER_LOST, detail=str(send_error or error)
            ) from error

    def _send_request(self, connection, request):
        """Send all; a target that stops reading may still have answered.

        Returns:
            The error that ended sending, or None, and whether all was sent.
        """
        headers = dict(request.headers)
        headers.setdefault("accept-encoding", "identity")
        headers.setdefault("user-agent", "citronspan")
        buffer = request.body.buffer
        if buffer is None:
            return self._send_stream(connection, request, headers)
        if buffer or request.method in ("POST", "PUT"):
            headers["content-length"] = str(len(buffer))
        try:
            self._start_request(connection, request, headers, None)
            return None, _send_buffer(connection.sock, buffer, request.deadline)
        except TimeoutError as error:
            raise AttemptFailedError(
                outcome_class=OutcomeClass.TIMED_OUT, detail=str(error)
            ) from error
        except OSError as error:
            return error, False

    def _send_stream(self, connection, request, headers):
        """Send a body while it arrives from the caller."""
        if request.body.length is not None:
            headers["content-length"] = str(request.body.length)
        try:
            self._start_request(connection, request, headers, request.body.iterate())
        except TimeoutError as error:
            raise AttemptFailedError(
                outcome_class=OutcomeClass.TIMED_OUT, detail=str(error)
            ) from error
        except CitronspanError:
            raise
        except OSError as error:
            return error, False
        return None, True

    def _start_request(self, connection, request, headers, body):
        connection.request(
            request.method,
            request.uri,
            body=body,
            headers=headers,
            chunked=body is not None and request.body.length is None,
            preload_content=False,
            decode_content=False,
        )

    def _await_answer(self, connection, deadline, caller):
        """Wait until bytes are here; end early when the caller is gone."""
        poll = select.poll()
        poll.register(connection.sock, select.POLLIN)
        while True:
            left = deadline - time.monotonic()
            if left <= 0:
                raise AttemptFailedError(
                    outcome_class=OutcomeClass.TIMED_OUT, detail="no answer in time"
                )
            wait_seconds = min(left, POLL_CALLER_SECONDS)
            if poll.poll(wait_seconds * 1000):
                return
            if caller is not None and caller.is_disconnected():
                raise AttemptFailedError(
                    outcome_class=OutcomeClass.CANCELLED, detail="the caller is gone"
                )

    def _take_kept(self, address, reuse_seconds):
        now = time.monotonic()
        while True:
            with self._lock:
                kept = self._kept_by_address.get(address)
                item = kept.pop() if kept else None
            if item is None:
                return None
            is_recent = item.since > now - reuse_seconds and now < item.until
            if is_recent and item.connection.is_connected:
                return item.connection
            item.connection.close()

    def _keep(self, address, connection, seconds):
        if connection.sock is None or seconds <= 0:
            connection.close()
            return
        now = time.monotonic()
        item = _KeptConnection(connection=connection, since=now, until=now + seconds)
        with self._lock:
            kept = self._kept_by_address.setdefault(address, [])
            if len(kept) < MAXIMUM_IDLE_CONNECTIONS_PER_TARGET:
                kept.append(item)
                return
        with contextlib.suppress(OSError):
            connection.close()

    def list_idle_addresses(self) -> frozenset[str]:
        """Return the addresses to which an idle connection stands."""
        now = time.monotonic()
        with self._lock:
            return frozenset(
                address
                for address, kept in self._kept_by_address.items()
                if kept and now < kept[-1].until
            )


def _read_keep_seconds(response) -> float:
    """Return how long an idle connection may be kept after an answer."""
    if "close" in (response.headers.get("Connection") or "").lower():
        return 0.0
    for part in (response.headers.get("Keep-Alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return int(value) * KEEP_ALIVE_FRACTION
    return POOL_IDLE_SECONDS


def _send_buffer(sock, buffer, deadline) -> bool:
    """Send bytes until all are sent or the target has answered.

    Returns:
        Whether all were sent.

    Raises:
        TimeoutError: If the deadline passes.
        OSError: If the connection ends.
    """
    view = memoryview(buffer)
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLOUT)
    while view:
        left = deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError("the target does not read the body")
        events = dict(poll.poll(left * 1000)).get(sock.fileno(), 0)
        if events & ~select.POLLOUT:
            return False
        if events:
            view = view[sock.send(view[:SEND_BYTES]) :]
    return True
