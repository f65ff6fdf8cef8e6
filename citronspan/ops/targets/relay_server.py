"""Relays connections to targets for peers that reach no target themselves.

A peer asks with CONNECT (RFC 9110, section 9.3.6) for a target that the configuration
names; from then on bytes are copied both ways. The peer speaks to the target as over a
connection of its own: an end of the target is passed on as an end, a reset as a reset.

Whatever else ends a tunnel, such as a stop or a kill of this process, is a reset for
the peer, since an end completes an answer that has no length. The system sends it: the
reset on close is switched on for as long as the target has not ended.

A target that ends before its system has taken what the peer sent is a reset, too: the
peer's bytes have been taken by this host, so that the peer could not tell that the
target did not take them (see ``answer_end``).
"""

import contextlib
import http
import http.server
import io
import select
import socket
import struct
import threading
import time
from collections.abc import Callable

import logbook
import urllib3.exceptions

from citronspan.core import log_events
from citronspan.ops.targets.relay_connector import ENDS_IDLE_HEADER
from citronspan.ops.targets.target_connector import (
    CONNECT_TIMEOUT_SECONDS,
    TargetConnector,
)
from citronspan.ops.targets.target_reachability import TargetReachability
from citronspan.utils.addresses import split_address
from citronspan.utils.bounded_http import AnswerTooLongError, BoundedReader
from citronspan.utils.logs import write_event
from citronspan.utils.sockets import has_unsent_bytes

MAXIMUM_TUNNELS = 256
MAXIMUM_CONNECTIONS = 320
"""Most connections of peers: the tunnels, and those that do not ask for one yet."""

MAXIMUM_HEAD_BYTES = 8 * 1024
HEAD_TIMEOUT_SECONDS = 5.0
"""Longest time for a head, and for the wait for any byte of it."""

IDLE_TIMEOUT_SECONDS = 60.0
QUIET_SECONDS = 0.3
"""Time after the last byte of an answer after which a tunnel counts as idle."""

STOP_POLL_SECONDS = 0.05
DELIVERY_SECONDS = 1.0
"""Longest time for the end of an answer to arrive before a reset: some round trips."""

COPY_BYTES = 64 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
END_ON_CLOSE = struct.pack("ii", 0, 0)
HEAD_TOO_LARGE = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

_logger = logbook.Logger("relay")


class _Tunnel:
    """Copies bytes between a peer and a target until either side ends."""

    def __init__(
        self,
        *,
        peer_socket: socket.socket,
        target_socket: socket.socket,
        peer_ends_idle: bool,
    ):
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
            time.sleep(STOP_POLL_SECONDS)

    def _reset_peer(self):
        # It is sent when the connection is closed, once both directions have ended.
        _shut_down(self._peer_socket, socket.SHUT_RD)

    def _set_close(self, linger):
        with contextlib.suppress(OSError):
            self._peer_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class _TunnelHandler(http.server.BaseHTTPRequestHandler):
    """Answers one CONNECT request."""

    protocol_version = "HTTP/1.1"
    timeout = HEAD_TIMEOUT_SECONDS
    relay: "RelayServer"

    def setup(self):
        """Bound what is read of the head."""
        super().setup()
        reader = BoundedReader(
            raw=self.rfile.detach(), deadline=time.monotonic() + HEAD_TIMEOUT_SECONDS
        )
        reader.allow(MAXIMUM_HEAD_BYTES)
        self.rfile = io.BufferedReader(reader)

    def handle(self):
        """Answer the request, also one whose first line has no end."""
        try:
            super().handle()
        except AnswerTooLongError:
            # Ignored: the peer is told, and writes what became of its request.
            self.wfile.write(_make_refusal(HEAD_TOO_LARGE))

    def do_CONNECT(self):  # noqa: N802
        """Open a tunnel to the target that the request names."""
        self.close_connection = True
        status, connection = self.relay.connect(self.path)
        self.send_response_only(status)
        self.end_headers()
        if connection is None:
            return
        try:
            self.relay.run_tunnel(
                self.connection,
                connection.sock,
                peer_ends_idle=self.headers.get(ENDS_IDLE_HEADER) is not None,
            )
        finally:
            connection.close()

    def log_message(self, *args):
        """Write nothing; refusals are told to the peer."""


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def __init__(self, *arguments):
        self._free_connections = threading.BoundedSemaphore(MAXIMUM_CONNECTIONS)
        super().__init__(*arguments)

    def process_request(self, request, client_address):
        """Serve a connection in a thread of its own if there is room for it."""
        if self._free_connections.acquire(blocking=False):
            try:
                super().process_request(request, client_address)
            except RuntimeError:
                # There is no thread for it.
                self._free_connections.release()
                raise
            return
        with contextlib.suppress(OSError):
            request.send(_make_refusal(http.HTTPStatus.SERVICE_UNAVAILABLE))
        self.shutdown_request(request)

    def process_request_thread(self, request, client_address):
        """Serve a connection to its end."""
        try:
            super().process_request_thread(request, client_address)
        finally:
            self._free_connections.release()

    def shutdown_request(self, request):
        """Close a connection without a shutdown, which would hide a reset."""
        self.close_request(request)

    def handle_error(self, request, client_address):
        """Close the connection; the peer asks another host."""


class RelayServer:
    """Serves tunnels to the targets of the configuration."""

    def __init__(
        self,
        *,
        address: str,
        connector: TargetConnector,
        reachability: TargetReachability,
        is_target: Callable[[str], bool],
        may_use: Callable[[str], bool] = lambda address: True,
    ):
        """Create a server that listens at once.

        Args:
            address: ``IP:PORT`` for peers.
            connector: Connects to targets directly.
            reachability: Whether this host reaches targets.
            is_target: Returns whether an address is that of a known target.
            may_use: Returns whether this host may use the target at an address now.
        """
        self._connector = connector
        self._reachability = reachability
        self._is_target = is_target
        self._may_use = may_use
        self._lock = threading.Lock()
        self._tunnels: set[_Tunnel] = set()
        self._is_stopping = False
        handler = type("Handler", (_TunnelHandler,), {"relay": self})
        self._server = _Server(split_address(address), handler)

    def serve(self) -> None:
        """Serve until ``stop``."""
        self._server.serve_forever()

    def count_tunnels(self) -> int:
        """Return the number of open tunnels."""
        return len(self._tunnels)

    def connect(self, address: str):
        """Connect to a target for a peer.

        Args:
            address: ``IP:PORT`` that the peer asked for.

        Returns:
            The status for the peer, and the connection, None unless it is 200: 403 for
            an unknown target, 502 if it can't be reached or wants nothing from this
            host, 503 if this host relays nothing now.
        """
        if not self._is_target(address):
            return http.HTTPStatus.FORBIDDEN, None
        if self._is_refusing():
            return http.HTTPStatus.SERVICE_UNAVAILABLE, None
        if not self._may_use(address):
            return http.HTTPStatus.BAD_GATEWAY, None
        try:
            connection = self._connector.connect(address, CONNECT_TIMEOUT_SECONDS)
        except (OSError, urllib3.exceptions.HTTPError) as error:
            self._reachability.record_failed(address)
            write_event(
                _logger, log_events.RELAY_FAILED, address=address, detail=str(error)
            )
            if self._is_refusing():
                return http.HTTPStatus.SERVICE_UNAVAILABLE, None
            return http.HTTPStatus.BAD_GATEWAY, None
        self._reachability.record_connected()
        return http.HTTPStatus.OK, connection

    def run_tunnel(
        self,
        peer_socket: socket.socket,
        target_socket: socket.socket,
        *,
        peer_ends_idle: bool,
    ) -> None:
        """Copy bytes between a peer and a target until either side ends.

        Args:
            peer_socket: Connection of the peer.
            target_socket: Connection to the target.
            peer_ends_idle: Whether the peer ends the tunnel once it is idle and this
                host stops.
        """
        tunnel = _Tunnel(
            peer_socket=peer_socket,
            target_socket=target_socket,
            peer_ends_idle=peer_ends_idle,
        )
        with self._lock:
            self._tunnels.add(tunnel)
        try:
            tunnel.run()
        finally:
            with self._lock:
                self._tunnels.discard(tunnel)

    def stop(self, deadline: float) -> None:
        """Accept no more tunnels, and end the open ones once they are idle.

        Peers end their idle ones; those of an earlier version leave it to this host.

        Args:
            deadline: Time of ``time.monotonic()`` at which all are ended.
        """
        self._is_stopping = True
        while time.monotonic() < deadline and not self._close_idle():
            time.sleep(STOP_POLL_SECONDS)
        for tunnel in self._list_tunnels():
            tunnel.close()
        # The loop of the server ends within its poll interval, for which a stopping
        # process has no time.
        threading.Thread(target=self._end_server, daemon=True).start()

    def _end_server(self):
        self._server.shutdown()
        self._server.server_close()

    def _close_idle(self):
        """End the idle tunnels; return whether no other is left."""
        tunnels = self._list_tunnels()
        idle = [tunnel for tunnel in tunnels if tunnel.is_idle()]
        for tunnel in idle:
            tunnel.close()
        return len(idle) == len(tunnels)

    def _list_tunnels(self):
        with self._lock:
            return list(self._tunnels)

    def _is_refusing(self):
        return (
            self._is_stopping
            or self._reachability.is_cut_off
            or len(self._tunnels) >= MAXIMUM_TUNNELS
        )


def _make_refusal(status: http.HTTPStatus) -> bytes:
    return f"HTTP/1.1 {status.value} {status.phrase}\r\n\r\n".encode()


def _is_readable(sock) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def _shut_down(sock, how):
    with contextlib.suppress(OSError):
        sock.shutdown(how)
