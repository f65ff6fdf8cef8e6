"""The server's connection to a caller, with deadlines and a reset on failure.

A socket's timeout restarts with each byte, so a caller that sends or reads one byte
now and then could occupy a thread for hours. This module applies one deadline to all
reads of a request, and the same deadline plus a grace period to all writes of its
answer. A connection whose answer was truncated is reset.
"""

import contextlib
import io
import select
import socket
import time
from collections.abc import Callable

from cheroot.server import HTTPConnection

# A refusal for slowness is sent after the request's deadline, so writes need more time.
ANSWER_GRACE_SECONDS = 1.0
READ_POLL_SECONDS = 0.1
LINGER_SECONDS = 1.0
LINGER_READ_BYTES = 64 * 1024
LINGER_QUIET_SECONDS = 0.2
"""Time in which a caller that would have kept the connection sends its next request, or
closes as well; some round trips to another region."""

FindReadEnd = Callable[[float | None], float]
"""Returns when a request that is not whole is given up, by ``time.monotonic()``.

It gets the deadline of one of which nothing has been passed on, else None."""


def is_readable(sock: socket.socket, wait_seconds: float = 0.0) -> bool:
    """Return whether a read from the socket returns at once, with data or end of file.

    A non-blocking receive still blocks on a socket that has a timeout, and ``select``
    does not accept descriptors from 1024 on.

    Args:
        sock: The socket.
        wait_seconds: Time to wait until it becomes so.
    """
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(wait_seconds * 1000))


def is_ended(sock: socket.socket) -> bool:
    """Return whether the peer has ended or reset the connection, without waiting.

    The end is seen also behind data that was not read, such as further requests that a
    caller sent before it left.

    Raises:
        OSError: If the connection was reset.
    """
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLRDHUP)
    events = dict(poll.poll(0)).get(sock.fileno(), 0)
    if not events:
        return False
    if events & ~select.POLLIN:
        return True
    return not sock.recv(1, socket.MSG_PEEK)


class StopTimeoutError(TimeoutError):
    """Signals that the process stops before a request is whole."""


class StreamLimits:
    """Holds the time limits of one connection and how it is closed.

    Attributes:
        idle_seconds: Maximum time of one read or write.
        deadline: Time of ``time.monotonic()`` by which the request must have been
            read, or None.
        refusable_deadline: Deadline of a request that is read before any of it is
            passed on, or None.
        is_aborted: Whether the connection is closed with a reset.
    """

    def __init__(self, *, idle_seconds: float, find_read_end: FindReadEnd):
        self.idle_seconds = idle_seconds
        self._find_read_end = find_read_end
        self.deadline: float | None = None
        self.refusable_deadline: float | None = None
        self.is_aborted = False

    def await_bytes(self, sock: socket.socket) -> None:
        """Wait until a read from a socket returns at once.

        Raises:
            TimeoutError: If the deadline passes or if no byte comes in the idle time.
            StopTimeoutError: If the process gives up what is not whole.
        """
        limit = time.monotonic() + self.idle_seconds
        if self.deadline is not None:
            limit = min(limit, self.deadline)
        while True:
            # Asked again, since the process may be told to stop meanwhile.
            read_end = self._find_read_end(self.refusable_deadline)
            wait_seconds = min(limit, read_end) - time.monotonic()
            if wait_seconds <= 0:
                error_type = StopTimeoutError if read_end < limit else TimeoutError
                # The server recognises a timeout by this text.
                raise error_type("timed out")
            if is_readable(sock, min(wait_seconds, READ_POLL_SECONDS)):
                return

    def apply(self, sock: socket.socket, grace_seconds: float) -> None:
        """Set the socket's timeout for one read or write.

        Args:
            sock: The socket.
            grace_seconds: Time allowed after the deadline.

        Raises:
            TimeoutError: If the deadline and the grace period have passed.
        """
        if self.deadline is None:
            sock.settimeout(self.idle_seconds)
            return
        remaining_seconds = self.deadline + grace_seconds - time.monotonic()
        if remaining_seconds <= 0:
            # The server recognises a timeout by this text.
            raise TimeoutError("timed out")
        sock.settimeout(min(remaining_seconds, self.idle_seconds))


class _DeadlineSocketIO(socket.SocketIO):
    def __init__(self, *, sock, limits):
        super().__init__(sock, "r")
        self._limited_socket = sock
        self._limits = limits
        self.is_paused = False

    def readinto(self, buffer):
        if self.is_paused:
            return None
        self._limits.await_bytes(self._limited_socket)
        self._limits.apply(self._limited_socket, 0.0)
        return super().readinto(buffer)


class _Reader(io.BufferedReader):
    """Buffered reader that the server uses for a connection."""

    def __init__(self, *, raw, size):
        super().__init__(raw, size)
        self.bytes_read = 0

    def has_data(self):
        """Return whether the buffer holds bytes, without reading from the socket."""
        self.raw.is_paused = True
        try:
            return bool(self.peek(1))
        finally:
            self.raw.is_paused = False


class _Writer:
    """Unbuffered writer that the server uses for a connection."""

    def __init__(self, *, sock, limits):
        self._socket = sock
        self._limits = limits
        self.bytes_written = 0

    def write(self, data):
        """Send all of the bytes."""
        try:
            self._limits.apply(self._socket, ANSWER_GRACE_SECONDS)
            self._socket.sendall(data)
        except TimeoutError:
            # A part of the answer may have been sent: reset the connection, so that the
            # answer cannot look complete.
            self._limits.is_aborted = True
            raise
        return len(data)


class CallerStream(HTTPConnection):
    """Connection of a caller.

    Attributes:
        limits: Time limits for reads and writes.
        has_unread_data: Whether more bytes of a request may arrive.
        may_send_more: Whether the caller may send further requests, since only the
            answer tells it that the connection ends.
    """

    def __init__(self, server, sock, makefile=None):
        self.limits = StreamLimits(
            idle_seconds=server.timeout, find_read_end=server.find_read_end
        )
        self.has_unread_data = False
        self.may_send_more = False
        super().__init__(server, sock, self._make_file)

    def has_bytes(self) -> bool:
        """Return whether data or the end of the stream can be read without waiting."""
        return is_readable(self.socket)

    def await_bytes(self, wait_seconds: float) -> bool:
        """Return whether data or the end of the stream arrives within a time."""
        return is_readable(self.socket, wait_seconds)

    def close(self):
        """Close the socket, after reading what the caller is still sending."""
        if not self.limits.is_aborted:
            if self._has_unread_bytes():
                self._linger(LINGER_SECONDS)
            elif self.may_send_more:
                self._linger(LINGER_QUIET_SECONDS)
        super().close()

    def close_at_once(self):
        """Close the socket of a connection on which no answer is on its way."""
        super().close()

    def _has_unread_bytes(self):
        """Return whether a close would reset the connection."""
        if self.has_unread_data:
            return True
        try:
            return is_readable(self.socket) and not is_ended(self.socket)
        except (OSError, ValueError):
            # Ignored: the connection was reset or closed.
            return False

    def _make_file(self, sock, mode, size):
        # The server's own file objects are implemented in Python and process some data
        # byte by byte.
        if "w" in mode:
            return _Writer(sock=sock, limits=self.limits)
        raw = _DeadlineSocketIO(sock=sock, limits=self.limits)
        return _Reader(raw=raw, size=size)

    def _linger(self, quiet_seconds):
        """Read and discard incoming data until the caller stops or time runs out.

        Closing a socket with unread bytes resets the connection, as do bytes that come
        after the close. The reset can reach the caller before the answer (RFC 9112,
        section 9.6).

        Args:
            quiet_seconds: Time without data after which the caller is taken to have
                stopped.
        """
        linger_deadline = time.monotonic() + LINGER_SECONDS
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            while (remaining_seconds := linger_deadline - time.monotonic()) > 0:
                self.socket.settimeout(min(remaining_seconds, quiet_seconds))
                if not self.socket.recv(LINGER_READ_BYTES):
                    return

    def _close_kernel_socket(self):
        # A shutdown would signal an orderly end to the caller before the reset.
        if not self.limits.is_aborted:
            super()._close_kernel_socket()
