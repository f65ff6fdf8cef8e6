"""The caller's side of a connection: ending it visibly, noticing that it is gone."""

import contextlib
import socket
import struct

from citronspan.ops.caller_stream import is_readable

# Linger for zero seconds: closing sends a reset, which no caller takes for an end.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerConnection:
    """What the request path may do with the server's connection."""

    def __init__(self, *, request):
        self._request = request

    @property
    def socket(self) -> socket.socket:
        """The socket of the connection."""
        return self._request.conn.socket

    def close_after_answer(self) -> None:
        """End the connection after the answer and say so in its headers."""
        self._request.close_connection = True

    def set_read_deadline(self, deadline: float) -> None:
        """Bound the reading of the request, and a little later the answer.

        Args:
            deadline: Time of ``time.monotonic()``.
        """
        self._request.conn.bounds.deadline = deadline

    def abort(self) -> None:
        """Reset the connection, so that no cut answer looks complete."""
        self._request.close_connection = True
        self._request.conn.bounds.is_aborted = True
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed the connection."""
        try:
            if not is_readable(self.socket):
                return False
            return not self.socket.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            # Ignored: a connection that is no more is what was asked for.
            return True
