"""Lets request handling end a caller's connection and detect a disconnect."""

import contextlib
import socket
import struct

from citronspan.ops.callers.caller_stream import is_ended

# A linger time of zero makes close() send a reset, which a caller cannot mistake for
# the orderly end of an answer.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerConnection:
    """Gives request handling limited access to the server's connection."""

    def __init__(self, *, request):
        self._request = request

    @property
    def socket(self) -> socket.socket:
        """Socket of the connection."""
        return self._request.conn.socket

    def close_after_answer(self) -> None:
        """Close the connection after the answer, and announce this in its headers."""
        self._request.close_connection = True

    def set_read_deadline(self, deadline: float) -> None:
        """Set the deadline for reading the request.

        Writing the answer may take ``ANSWER_GRACE_SECONDS`` longer.

        Args:
            deadline: Time of ``time.monotonic()``.
        """
        self._request.conn.limits.deadline = deadline
        self._request.conn.limits.refusable_deadline = deadline

    def begin_forwarding(self) -> None:
        """Note that from now on a target may get parts of the request as they come."""
        self._request.conn.limits.refusable_deadline = None

    def abort(self) -> None:
        """Reset the connection, so that a truncated answer cannot look complete."""
        self._request.close_connection = True
        self._request.conn.limits.is_aborted = True
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed the connection."""
        try:
            return is_ended(self.socket)
        except (OSError, ValueError):
            # Ignored: an error on the socket means that the caller has disconnected.
            return True
