"""One tunnel of a relay: copies bytes between a peer and a target, and how both end.

An end of the target is passed on as an end, a reset as a reset. Whatever else ends a
tunnel, such as a stop or a kill of this process, is a reset for the peer, since an end
completes an answer that has no length. The system sends it: the reset on close is
switched on for as long as the target has not ended.

A target that ends before its system has taken what the peer sent is a reset, too: the
peer's bytes have been taken by this host, so that the peer could not tell that the
target did not take them (see ``answer_end``).
"""

import contextlib
import select
import socket
import struct
import threading
import time

from citronspan.utils.sockets import has_unsent_bytes

IDLE_TIMEOUT_SECONDS = 60.0
QUIET_SECONDS = 0.3
"""Time after the last byte of an answer after which a tunnel counts as idle."""

DELIVERY_SECONDS = 1.0
"""Longest time for the end of an answer to arrive before a reset: some round trips."""

DELIVERY_POLL_SECONDS = 0.05
COPY_BYTES = 64 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
END_ON_CLOSE = struct.pack("ii", 0, 0)


class Tunnel:
    """Copies bytes between a peer and a target until either side ends."""

    def __init__(
        self,
        *,
        peer_socket: socket.socket,
        target_socket: socket.socket,
        peer_ends_idle: bool,
    ):
        """Create a tunnel that copies nothing yet.

        Args:
            peer_socket: Connection of the peer.
            target_socket: Connection to the target.
            peer_ends_idle: Whether the peer ends the tunnel once it is idle and this
                host stops.
        """
        self._peer_ends_idle = peer_ends_idle
        self._peer_socket = peer_socket
        self._target_socket = target_socket
        self._awaits_answer = False
        self._copied_at = time.monotonic()
        self._lock = threading.Lock()
        self._is_cut = False

    def run(self) -> None:
        """Copy until the peer closes or the target's bytes have ended."""
        for sock in (self._peer_socket, self._target_socket):
            sock.settimeout(IDLE_TIMEOUT_SECONDS)
        self._set_close(RESET_ON_CLOSE)
        answers = threading.Thread(target=self._copy_answers, daemon=True)
        answers.start()
        self._copy_requests()
        answers.join()

    def is_idle(self) -> bool:
        """Return whether no request seems to be under way.

        A tunnel that is quiet may be in the middle of an answer. If its peer ends the
        idle ones, it is.
        """
        return (
            not self._peer_ends_idle
            and not self._awaits_answer
            and time.monotonic() - self._copied_at > QUIET_SECONDS
            and not has_unsent_bytes(self._peer_socket)
        )

    def close(self) -> None:
        """End both directions, with a reset for the peer."""
        self._cut_target()
        _shut_down(self._peer_socket, socket.SHUT_RD)

    def _copy_requests(self):
        with contextlib.suppress(OSError):
            while data := self._peer_socket.recv(COPY_BYTES):
                self._awaits_answer = True
                self._copied_at = time.monotonic()
                self._send_to_target(data)
        # A peer that closes its connection cancels its request.
        self._cut_target()

    def _cut_target(self):
        self._is_cut = True
        _shut_down(self._target_socket, socket.SHUT_RDWR)

    def _send_to_target(self, data):
        # The system reports a reset to one of the two threads only. The other one must
        # not take it for an end before the reset is noted.
        with self._lock:
            try:
                self._target_socket.sendall(data)
            except OSError:
                self._is_cut = True
                self._reset_peer()
                raise

    def _copy_answers(self):
        try:
            while data := self._target_socket.recv(COPY_BYTES):
                self._awaits_answer = False
                self._copied_at = time.monotonic()
                self._peer_socket.sendall(data)
        except OSError:
            # Ignored: the peer learns of it by the reset of its own connection.
            self._reset_peer()
            return
        if self._has_untaken_bytes():
            # An answer that shows its end by itself has to arrive before the reset.
            self._wait_for_delivery()
            self._reset_peer()
            return
        with self._lock:
            if self._is_cut:
                self._reset_peer()
                return
            self._set_close(END_ON_CLOSE)
            _shut_down(self._peer_socket, socket.SHUT_WR)

    def _has_untaken_bytes(self):
        """Return whether the target has not taken all that the peer has sent."""
        return has_unsent_bytes(self._target_socket) or _is_readable(self._peer_socket)

    def _wait_for_delivery(self):
        deadline = time.monotonic() + DELIVERY_SECONDS
        while has_unsent_bytes(self._peer_socket) and time.monotonic() < deadline:
            time.sleep(DELIVERY_POLL_SECONDS)

    def _reset_peer(self):
        # It is sent when the connection is closed, once both directions have ended.
        _shut_down(self._peer_socket, socket.SHUT_RD)

    def _set_close(self, linger):
        with contextlib.suppress(OSError):
            self._peer_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _is_readable(sock) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def _shut_down(sock, how):
    with contextlib.suppress(OSError):
        sock.shutdown(how)
