"""The server's connection to a caller: bounded in time, ended so that it shows.

A socket's timeout begins anew with each byte, so that a caller who sends or takes
one byte now and then would hold a thread for hours. Here one deadline bounds all
reading of a request, and all writing of its answer a little later.
"""

import contextlib
import io
import select
import socket
import time

from cheroot.server import HTTPConnection

# A refusal for slowness is sent when the time for the request is over.
ANSWER_GRACE_SECONDS = 1.0
LINGER_SECONDS = 1.0
LINGER_READ_BYTES = 64 * 1024


def is_readable(sock: socket.socket) -> bool:
    """Return whether a socket has bytes or its end to be read now.

    A receive that must not wait would wait all the same on a socket with a
    timeout, and ``select`` takes no descriptor from 1024 on.
    """
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


class StreamBounds:
    """What bounds the reading and writing on one connection.

    Attributes:
        idle_seconds: Longest wait for one byte.
        deadline: Time of ``time.monotonic()`` when a request must be here, or None.
        is_aborted: Whether the connection is to end with a reset.
    """

    def __init__(self, *, idle_seconds: float):
        self.idle_seconds = idle_seconds
        self.deadline: float | None = None
        self.is_aborted = False

    def apply(self, sock: socket.socket, grace_seconds: float) -> None:
        """Set the timeout for one operation.

        Raises:
            TimeoutError: If no time is left.
        """
        if self.deadline is None:
            sock.settimeout(self.idle_seconds)
            return
        left = self.deadline + grace_seconds - time.monotonic()
        if left <= 0:
            # The server tells a timeout by this text.
            raise TimeoutError("timed out")
        sock.settimeout(min(left, self.idle_seconds))


class _BoundedSocketIO(socket.SocketIO):
    def __init__(self, *, sock, bounds):
        super().__init__(sock, "r")
        self._bounded_socket = sock
        self._bounds = bounds
        self.is_paused = False

    def readinto(self, buffer):
        if self.is_paused:
            return None
        self._bounds.apply(self._bounded_socket, 0.0)
        return super().readinto(buffer)


class _Reader(io.BufferedReader):
    """What the server reads a connection with."""

    def __init__(self, *, raw, size):
        super().__init__(raw, size)
        self.bytes_read = 0

    def has_data(self):
        """Return whether bytes were read ahead, without reading more."""
        self.raw.is_paused = True
        try:
            return bool(self.peek(1))
        finally:
            self.raw.is_paused = False


class _Writer:
    """What the server writes a connection with; it holds nothing back."""

    def __init__(self, *, sock, bounds):
        self._socket = sock
        self._bounds = bounds
        self.bytes_written = 0

    def write(self, data):
        """Send all of the bytes."""
        try:
            self._bounds.apply(self._socket, ANSWER_GRACE_SECONDS)
            self._socket.sendall(data)
        except TimeoutError:
            # Part of an answer may be out: its end must not look orderly.
            self._bounds.is_aborted = True
            raise
        return len(data)


class CallerStream(HTTPConnection):
    """One connection of a caller.

    Attributes:
        bounds: What bounds reading and writing.
        has_unread: Whether bytes of a request may still arrive.
    """

    def __init__(self, server, sock, makefile=None):
        self.bounds = StreamBounds(idle_seconds=server.timeout)
        self.has_unread = False
        super().__init__(server, sock, self._make_file)

    def has_bytes(self) -> bool:
        """Return whether something is here to be read, the end included."""
        return is_readable(self.socket)

    def close(self):
        """Close the socket, after what the caller still sends was taken."""
        if self.has_unread and not self.bounds.is_aborted:
            self._linger()
        super().close()

    def _make_file(self, sock, mode, size):
        # The server's own files are written in Python, byte by byte in places.
        if "w" in mode:
            return _Writer(sock=sock, bounds=self.bounds)
        raw = _BoundedSocketIO(sock=sock, bounds=self.bounds)
        return _Reader(raw=raw, size=size)

    def _linger(self):
        """Take what is still sent, for a bounded time.

        A close over unread bytes resets the connection, and the reset can overtake
        the answer (RFC 9112, section 9.6).
        """
        until = time.monotonic() + LINGER_SECONDS
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            while (left := until - time.monotonic()) > 0:
                self.socket.settimeout(left)
                if not self.socket.recv(LINGER_READ_BYTES):
                    return

    def _close_kernel_socket(self):
        # A shutdown would tell the caller of an orderly end before the reset.
        if not self.bounds.is_aborted:
            super()._close_kernel_socket()
