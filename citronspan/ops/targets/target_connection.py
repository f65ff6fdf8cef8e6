"""Sends requests to targets over pooled connections and classifies failures.

A failed connect proves that the request was not run. Once the first byte of the
request has been sent, only an answer of the target can prove it. A pooled connection
can fail after the request has been sent, so ``TargetRequest.reuse_seconds`` limits the
idle time of the connections that a request which must not run twice may reuse.
"""

import functools
import http.client
import select
import time
from collections.abc import Callable
from dataclasses import dataclass

import urllib3

from citronspan.core.errors import CitronspanError
from citronspan.core.outcomes import OutcomeClass
from citronspan.core.requests.attempt_deadline import AttemptDeadline
from citronspan.ops.callers.caller_connection import CallerConnection
from citronspan.ops.callers.caller_request import CallerBody
from citronspan.ops.targets.answer_end import SentRequest
from citronspan.ops.targets.answer_stream import CheckedResponse
from citronspan.ops.targets.attempt_line import AttemptLine
from citronspan.ops.targets.idle_connections import (
    IdleConnections,
    read_keep_alive_seconds,
)
from citronspan.ops.targets.relay_connector import RelayError
from citronspan.ops.targets.target_answer import AttemptFailedError, TargetAnswer
from citronspan.ops.targets.target_connector import DirectConnector
from citronspan.ops.targets.target_paths import TargetPaths

CALLER_POLL_INTERVAL_SECONDS = 0.25
SEND_BYTES = 64 * 1024


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
        line: Lets another attempt of the request end this one, None without one.
    """

    method: str
    uri: str
    headers: dict[str, str]
    body: CallerBody
    reuse_seconds: float
    deadline: AttemptDeadline
    request_id: str = ""
    may_send: Callable[[], bool] = lambda: True
    line: AttemptLine | None = None


class TargetConnections:
    """Pools the connections of one entry to its targets; safe for threads."""

    def __init__(self, *, id_header: str = "", paths: TargetPaths | None = None):
        self._id_header = id_header
        self._paths = paths or TargetPaths(direct=DirectConnector())
        self._idle = IdleConnections(
            is_usable=self._paths.is_usable, is_ending=self._paths.is_ending
        )

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
        connection = self._idle.take(address, request.reuse_seconds)
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
        keep_alive_seconds = read_keep_alive_seconds(response) if is_fully_sent else 0.0
        return TargetAnswer(
            response=response,
            connection=connection,
            release=lambda used_connection: self._idle.put(
                address, used_connection, keep_alive_seconds
            ),
            method=request.method,
            deadline=request.deadline,
        )

    def close(self) -> None:
        """Close all idle connections."""
        self._idle.close()

    def close_expired(self) -> None:
        """Close the idle connections that no request can use any more."""
        self._idle.close_expired()

    def list_idle_addresses(self) -> frozenset[str]:
        """Return the addresses that have an idle connection."""
        return self._idle.list_addresses()

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
        sent_request = SentRequest()
        connection.response_class = functools.partial(
            CheckedResponse,
            deadline=request.deadline,
            sent_request=sent_request,
            id_header=self._id_header,
            expected_id=request.request_id if self._id_header else "",
            is_reused=is_reused,
        )
        sent_request.error, sent_request.is_whole = self._send_request(
            connection, request
        )
        self._wait_for_answer(connection, request, caller)
        try:
            return connection.getresponse(), sent_request.is_whole
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
                outcome_class=OutcomeClass.ANSWER_LOST,
                detail=str(sent_request.error or error),
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

    def _wait_for_answer(self, connection, request, caller):
        """Wait until the answer begins; fail early if the caller disconnects."""
        poll = select.poll()
        poll.register(connection.sock, select.POLLIN)
        sent_at = time.monotonic()
        while True:
            remaining_seconds = request.deadline.find() - time.monotonic()
            if remaining_seconds <= 0:
                if request.deadline.extend(lambda: bool(poll.poll(0))):
                    continue
                raise AttemptFailedError(
                    outcome_class=OutcomeClass.TIMED_OUT,
                    detail="the target did not answer before the deadline",
                )
            wait_seconds = min(remaining_seconds, CALLER_POLL_INTERVAL_SECONDS)
            if request.line is not None:
                line_seconds = request.line.advance(connection.sock)
                wait_seconds = min(wait_seconds, line_seconds)
            if poll.poll(wait_seconds * 1000):
                return
            self._paths.record_wait(connection, sent_at)
            if caller is not None and caller.is_disconnected():
                raise AttemptFailedError(
                    outcome_class=OutcomeClass.CANCELLED,
                    detail="the caller disconnected",
                )


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
    if request.line is not None and request.line.is_ended:
        raise AttemptFailedError(
            outcome_class=OutcomeClass.NOT_USED, detail="another attempt has won"
        )
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
