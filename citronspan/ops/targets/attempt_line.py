"""Lets the winner of two attempts end the other one, which waits in another thread."""

import contextlib
import math
import socket
import threading
import time
from collections.abc import Callable


class AttemptLine:
    """The connection of an attempt, as far as the other attempt may end it.

    It holds a duplicate of the socket, so that it never touches a number that belongs
    to another connection by then. To shut the connection down wakes the thread that
    waits for it, in whichever step it is.
    """

    def __init__(
        self, *, late_at: float = 0.0, on_late: Callable[[], None] = lambda: None
    ):
        """Create a line without a connection.

        Args:
            late_at: Time of ``time.monotonic()`` from which the attempt may be ended,
                0 for its whole wait.
            on_late: Called once at that time, if there is no answer yet.
        """
        self._late_at = late_at
        self._on_late = on_late
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._is_ended = False

    @property
    def is_ended(self) -> bool:
        """Whether the other attempt has won."""
        return self._is_ended

    def advance(self, sock: socket.socket) -> float:
        """Do what is due while the attempt waits for its answer.

        Args:
            sock: Socket of the attempt.

        Returns:
            Seconds until this is to be called again, infinity if it is not.
        """
        remaining_seconds = self._late_at - time.monotonic()
        if remaining_seconds > 0:
            return remaining_seconds
        if self._late_at < 0:
            return math.inf
        self._late_at = -1.0
        self._attach(sock)
        self._on_late()
        return math.inf

    def _attach(self, sock):
        with self._lock:
            self._socket = sock.dup()
            if self._is_ended:
                self._shut_down()

    def end(self) -> None:
        """End the attempt; one that was not sent yet is not sent."""
        with self._lock:
            self._is_ended = True
            self._shut_down()

    def detach(self) -> None:
        """Let go of the connection, whose attempt is over."""
        with self._lock:
            if self._socket is not None:
                self._socket.close()
                self._socket = None

    def _shut_down(self):
        if self._socket is None:
            return
        with contextlib.suppress(OSError):
            # Ignored: the target may have ended the connection before.
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        self._socket = None
