"""Sends requests to targets over pooled connections and classifies failures.

A failed connect proves that the request was not run. Once the first byte of the
request has been sent, only an answer of the target can prove it. A pooled connection
can fail after the request has been sent, so ``TargetRequest.reuse_seconds`` limits the
idle time of the connections that a request which must not run twice may reuse.
"""

import contextlib
import functools
import http.client
import select
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import urllib3
from urllib3.connection import HTTPConnection

from citronspan.core.errors import CitronspanError
from citronspan.core.outcomes import OutcomeClass
from citronspan.core.requests.attempt_deadline import AttemptDeadline
from citronspan.ops.callers.caller_connection import CallerConnection
from citronspan.ops.callers.caller_request import CallerBody
from citronspan.ops.targets.answer_stream import CheckedResponse
from citronspan.ops.targets.dialect import parse_count
from citronspan.ops.targets.relay_connector import RelayError
from citronspan.ops.targets.target_connector import DirectConnector
from citronspan.ops.targets.target_paths import TargetPaths

MAXIMUM_IDLE_CONNECTIONS_PER_TARGET = 4
POOL_IDLE_SECONDS = 4.0
KEEP_ALIVE_FRACTION = 0.7
"""Share of a target's keep-alive timeout during which a connection is reused."""

CALLER_POLL_INTERVAL_SECONDS = 0.25
SEND_BYTES = 64 * 1024

_BODYLESS_STATUSES = frozenset({204, 304})


class AttemptFailedError(Exception):
    """Signals that an attempt returned no complete answer.

    Attributes:
        outcome_class: Outcome that the failure proves.
        is_withdrawn: Whether nothing was sent because ``TargetRequest.may_send``
            withdrew the permission.
    """

    def __init__(
        self, *, outcome_class: OutcomeClass, detail: str, is_withdrawn: bool = False
    ):
        super().__init__(f"{outcome_class}: {detail}")
        self.outcome_class = outcome_class
        self.is_withdrawn = is_withdrawn


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRequest:
    """Holds a request as it is sent to a target.

    Attributes:
        method: HTTP method.
        uri: Path and query.
        headers: All headers except those that frame the body.
        body: The body.
        request_id: Request id that the answer has to carry, or empty.
        reuse_seconds: Longest idle time of a connection that may be reused.
        deadline: When the attempt is given up.
        may_send: Returns whether the target may get the request; asked once the
            connection is open.
    """

    method: str
    uri: str
    headers: dict[str, str]
    body: CallerBody
    reuse_seconds: float
    deadline: AttemptDeadline
    request_id: str = ""
    may_send: Callable[[], bool] = lambda: True


class TargetAnswer:
    """Holds an answer whose headers have been read and whose body has not."""

    def __init__(self, *, response, connection, release, method, deadline):
        self._response = response
        self._deadline = deadline
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
        """Headers in the order in which the target sent them."""
        return list(self._response.headers.iteritems())

    def find_header(self, name: str) -> str | None:
        """Return the value of a header, or None."""
        return self._response.headers.get(name)

    @property
    def is_bodyless(self) -> bool:
        """Whether the answer has no body by the rules of HTTP."""
        return self._method == "HEAD" or self.status in _BODYLESS_STATUSES

    @property
    def is_framed(self) -> bool:
        """Whether the end of the answer can be distinguished from a truncation."""
        return (
            self.is_bodyless
            or self._response.length_remaining is not None
            or self._response.chunked
        )

    @property
    def length(self) -> int | None:
        """Remaining bytes of the body, None if unknown."""
        return self._response.length_remaining

    def read(self, size: int) -> bytes:
        """Read a part of the body.

        Args:
            size: Maximum number of bytes.

        Returns:
            The bytes, empty only at the verified end of the body.

        Raises:
            AttemptFailedError: If the body is truncated or malformed, or the deadline
                passes.
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

    def lift_limit(self) -> None:
        """Leave the rest of the body all of the request's time."""
        self._deadline.lift_limit()

    def finish(self) -> None:
        """Return the connection to the pool; call this after reading the whole body."""
        self._release(self._connection)

    def abort_response(self) -> None:
        """Close the connection, which cancels the request at the target."""
        # A response that ends with its connection holds its own reference to the
        # socket.
        self._response.close()
        self._connection.close()

    def _fail(self, outcome_class, detail):
        self.abort_response()
        return AttemptFailedError(outcome_class=outcome_class, detail=detail)


@dataclass(frozen=True, kw_only=True, slots=True)
class _IdleConnection:
    connection: HTTPConnection
    idle_since: float
    expires_at: float


class TargetConnections:
    """Pools the connections of one entry to its targets; safe for threads."""

    def __init__(self, *, id_header: str = "", paths: TargetPaths | None = None):
        self._id_header = id_header
        self._paths = paths or TargetPaths(direct=DirectConnector())
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, list[_IdleConnection]] = {}

    def send(
        self, address: str, request: TargetRequest, caller: CallerConnection | None
    ) -> TargetAnswer:
        """Send a request and wait for the status and headers of the answer.

        Args:
            address: ``IP:PORT`` of the target.
            request: The request.
            caller: The caller's connection; the wait ends if the caller disconnects.
                None to skip this check.

        Returns:
            The answer.

        Raises:
            AttemptFailedError: With the outcome that the failure proves.
            CitronspanError: With code 3012 if the caller's body ends early.
        """
        connection = self._take_idle_connection(address, request.reuse_seconds)
        is_reused = connection is not None
        if connection is None:
            connection = self._connect(address, request.deadline.find())
        try:
            _check_permission(request)
            response, is_fully_sent = self._exchange(
                connection, request, caller, is_reused=is_reused
            )
        except BaseException:
            connection.close()
            raise
        self._paths.record_answer(connection)
        # A target that answered before the whole request was sent may read on and
        # would take the next request for the rest of this one, so the connection is
        # not reused.
        keep_alive_seconds = (
            _read_keep_alive_seconds(response) if is_fully_sent else 0.0
        )
        return TargetAnswer(
            response=response,
            connection=connection,
            release=lambda used_connection: self._return_to_pool(
                address, used_connection, keep_alive_seconds
            ),
            method=request.method,
            deadline=request.deadline,
        )

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle = [item for items in self._idle_by_address.values() for item in items]
            self._idle_by_address.clear()
        for item in idle:
            item.connection.close()

    def _connect(self, address, deadline):
        _check_deadline(deadline, "connecting")
        try:
            return self._paths.connect(address, deadline)
        except RelayError as error:
            # The target is not to blame.
            raise AttemptFailedError(
                outcome_class=OutcomeClass.NOT_USED, detail=str(error)
            ) from error
        except (OSError, urllib3.exceptions.HTTPError) as error:
            raise AttemptFailedError(
                outcome_class=OutcomeClass.CONNECT_FAILED, detail=str(error)
            ) from error

    def _exchange(self, connection, request, caller, *, is_reused):
        """Send a request and read the status and headers of its answer.

        Returns:
            The response, and whether the whole request was sent before it arrived.
        """
        _check_deadline(request.deadline.find(), "sending")
        connection.timeout = max(_find_send_end(request) - time.monotonic(), 0.001)
        connection.response_class = functools.partial(
            CheckedResponse,
            deadline=request.deadline,
            id_header=self._id_header,
            expected_id=request.request_id if self._id_header else "",
            is_reused=is_reused,
        )
        send_error, is_fully_sent = self._send_request(connection, request)
        self._wait_for_answer(connection, request.deadline, caller)
        try:
            return connection.getresponse(), is_fully_sent
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
        """Send a request.

        A connection error is returned, not raised, since a target that stops reading
        may have answered already.

        Returns:
            The error that interrupted sending or None, and whether the whole request
            was sent.
        """
        headers = dict(request.headers)
        headers.setdefault("accept-encoding", "identity")
        headers.setdefault("user-agent", "citronspan")
        buffer = request.body.buffer
        if buffer is None:
            return self._send_streamed_request(connection, request, headers)
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

    def _send_streamed_request(self, connection, request, headers):
        """Send a request whose body is forwarded while the caller sends it."""
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

    def _wait_for_answer(self, connection, deadline, caller):
        """Wait until the answer begins; fail early if the caller disconnects."""
        poll = select.poll()
        poll.register(connection.sock, select.POLLIN)
        sent_at = time.monotonic()
        while True:
            remaining_seconds = deadline.find() - time.monotonic()
            if remaining_seconds <= 0:
                if deadline.extend(lambda: bool(poll.poll(0))):
                    continue
                raise AttemptFailedError(
                    outcome_class=OutcomeClass.TIMED_OUT,
                    detail="the target did not answer before the deadline",
                )
            wait_seconds = min(remaining_seconds, CALLER_POLL_INTERVAL_SECONDS)
            if poll.poll(wait_seconds * 1000):
                return
            self._paths.record_wait(connection, sent_at)
            if caller is not None and caller.is_disconnected():
                raise AttemptFailedError(
                    outcome_class=OutcomeClass.CANCELLED,
                    detail="the caller disconnected",
                )

    def _take_idle_connection(self, address, reuse_seconds):
        now = time.monotonic()
        while True:
            with self._lock:
                idle = self._idle_by_address.get(address)
                item = idle.pop() if idle else None
            if item is None:
                return None
            is_usable = item.idle_since > now - reuse_seconds and now < item.expires_at
            is_usable = is_usable and self._paths.is_usable(item.connection)
            if is_usable and item.connection.is_connected:
                return item.connection
            item.connection.close()

    def _return_to_pool(self, address, connection, keep_alive_seconds):
        if connection.sock is None or keep_alive_seconds <= 0:
            connection.close()
            return
        now = time.monotonic()
        item = _IdleConnection(
            connection=connection, idle_since=now, expires_at=now + keep_alive_seconds
        )
        with self._lock:
            idle = self._idle_by_address.setdefault(address, [])
            if len(idle) < MAXIMUM_IDLE_CONNECTIONS_PER_TARGET:
                idle.append(item)
                return
        with contextlib.suppress(OSError):
            connection.close()

    def close_expired(self) -> None:
        """Close the idle connections that no request can use any more.

        The caller runs this about once a second. Without it, those to targets that are
        gone would stay, since nothing asks for their addresses.
        """
        now = time.monotonic()
        for address in list(self._idle_by_address):
            with self._lock:
                idle = self._idle_by_address.get(address, [])
                expired = [
                    item
                    for item in idle
                    if now >= item.expires_at or not item.connection.is_connected
                ]
                kept = [item for item in idle if item not in expired]
                if kept:
                    self._idle_by_address[address] = kept
                else:
                    self._idle_by_address.pop(address, None)
            for item in expired:
                with contextlib.suppress(OSError):
                    item.connection.close()

    def list_idle_addresses(self) -> frozenset[str]:
        """Return the addresses that have an idle connection."""
        now = time.monotonic()
        with self._lock:
            return frozenset(
                address
                for address, idle in self._idle_by_address.items()
                if idle and now < idle[-1].expires_at
            )


def _read_keep_alive_seconds(response) -> float:
    """Return the seconds for which the connection may stay in the pool."""
    if "close" in (response.headers.get("Connection") or "").lower():
        return 0.0
    for part in (response.headers.get("Keep-Alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = parse_count(value)
        if name.lower() == "timeout" and seconds >= 0:
            return seconds * KEEP_ALIVE_FRACTION
    return POOL_IDLE_SECONDS


def _check_deadline(deadline, next_step):
    """Fail if the deadline has passed, as after a pause of the process.

    The slot may be another request's by then, and the caller has given up.
    """
    if time.monotonic() >= deadline:
        raise AttemptFailedError(
            outcome_class=OutcomeClass.NOT_USED,
            detail=f"the deadline passed before {next_step}",
        )


def _find_send_end(request) -> float:
    """Return until when a send may block that nothing interrupts.

    A body that is forwarded while the caller sends it rules out another attempt from
    its first bytes on.
    """
    if request.body.buffer is None:
        return request.deadline.find_last()
    return request.deadline.find()


def _check_permission(request):
    if not request.may_send():
        raise AttemptFailedError(
            outcome_class=OutcomeClass.NOT_USED,
            detail="the target may not be used any more",
            is_withdrawn=True,
        )


def _send_buffer(sock, buffer, deadline) -> bool:
    """Send a buffer until all of it is sent or the target has answered.

    Returns:
        Whether all bytes were sent.

    Raises:
        TimeoutError: If the deadline passes.
        OSError: If the connection fails.
    """
    view = memoryview(buffer)
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLOUT)
    while view:
        remaining_seconds = deadline.find() - time.monotonic()
        if remaining_seconds <= 0:
            if deadline.extend(lambda: _is_readable(sock)):
                continue
            raise TimeoutError("the target did not read the body before the deadline")
        wait_seconds = min(remaining_seconds, CALLER_POLL_INTERVAL_SECONDS)
        events = dict(poll.poll(wait_seconds * 1000)).get(sock.fileno(), 0)
        if events & ~select.POLLOUT:
            return False
        if events:
            view = view[sock.send(view[:SEND_BYTES]) :]
    return True


def _is_readable(sock) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
