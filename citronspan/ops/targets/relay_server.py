"""Relays connections to targets for peers that reach no target themselves.

A peer asks with CONNECT (RFC 9110, section 9.3.6) for a target that the configuration
names; from then on bytes are copied both ways. The peer speaks to the target as over a
connection of its own (see ``relay_tunnel``).
"""

import contextlib
import http
import http.server
import io
import socket
import threading
import time
from collections.abc import Callable

import logbook
import urllib3.exceptions

from citronspan.core import log_events
from citronspan.ops.targets.relay_connector import ENDS_IDLE_HEADER
from citronspan.ops.targets.relay_tunnel import Tunnel
from citronspan.ops.targets.target_connector import (
    CONNECT_TIMEOUT_SECONDS,
    TargetConnector,
)
from citronspan.ops.targets.target_reachability import TargetReachability
from citronspan.utils.addresses import split_address
from citronspan.utils.bounded_http import AnswerTooLongError, BoundedReader
from citronspan.utils.logs import write_event

MAXIMUM_TUNNELS = 256
MAXIMUM_CONNECTIONS = 320
"""Most connections of peers: the tunnels, and those that do not ask for one yet."""

MAXIMUM_HEAD_BYTES = 8 * 1024
HEAD_TIMEOUT_SECONDS = 5.0
"""Longest time for a head, and for the wait for any byte of it."""

STOP_POLL_SECONDS = 0.05
HEAD_TOO_LARGE = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

_logger = logbook.Logger("relay")


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
        self._tunnels: set[Tunnel] = set()
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
        tunnel = Tunnel(
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
