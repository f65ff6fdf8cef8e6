"""HTTP servers on cheroot with a WSGI gateway that exposes the connection."""

import contextlib
import http.client
import math
import socket
import threading
import time
from collections.abc import Callable

from cheroot import wsgi
from prometheus_client import CollectorRegistry, make_wsgi_app

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError
from citronspan.ops.callers.caller_connection import CallerConnection
from citronspan.ops.callers.caller_stream import CallerStream, FindReadEnd, is_ended
from citronspan.ops.callers.request_head import CheckedRequest
from citronspan.ops.callers.worker_pool import WorkerPool
from citronspan.utils.addresses import split_address

MAXIMUM_HEADER_BYTES = 64 * 1024
LISTEN_BACKLOG = 512
MINIMUM_THREADS = 1
METRICS_THREADS = 1
MAXIMUM_KEEP_ALIVE_CONNECTIONS = 512
ARRIVAL_SECONDS = 0.1
"""Time in which a request arrives whose caller could not see the stop."""

WAKE_TIMEOUT_SECONDS = 0.1
"""Longest time to connect to a server of one's own."""


class ConnectionGateway(wsgi.Gateway_10):
    """Adds the caller's connection to the WSGI environment."""

    def get_environ(self):
        """Return the environment with ``citronspan.connection``.

        Headers whose names have an underscore are in ``citronspan.underscored``, since
        WSGI would merge them with those that have a hyphen there.
        """
        headers = self.req.inheaders
        underscored = [
            (name.decode("latin-1").lower(), headers.pop(name).decode("latin-1"))
            for name in list(headers)
            if b"_" in name
        ]
        environ = super().get_environ()
        environ["citronspan.underscored"] = underscored
        environ["citronspan.connection"] = CallerConnection(request=self.req)
        return environ


class CallerServer(wsgi.Server):
    """A server that hands a connection to a thread only once it has data to read.

    Attributes:
        find_read_end: Returns when requests that are not whole are given up.
    """

    def __init__(self, *arguments, **options):
        """Create a server, see the base class."""
        super().__init__(*arguments, **options)
        self.find_read_end: FindReadEnd = lambda refusable_deadline: math.inf
        self._waker_address: tuple[str, int] | None = None
        self._has_closed_idle = False
        self._idle_lock = threading.Lock()

    def process_conn(self, conn):
        """Hand a connection to a thread, or a new one without data to the selector."""
        if (conn.remote_addr, conn.remote_port) == self._waker_address:
            conn.close()
            return
        if conn.last_used is None and not conn.has_bytes():
            self.put_conn(conn)
            return
        super().process_conn(conn)

    def put_conn(self, conn):
        """Wait for the next request of a connection that its caller may still use.

        Threads bring connections back at any time, also while the server stops. The
        answer began before the stop and could not say that its connection ends, so
        that the caller may send its next request, or has sent it already.
        """
        with self._idle_lock:
            if not self._has_closed_idle:
                self._connections.put(conn)
                return
        # The pool takes no more work: the calling thread may be the last one.
        with contextlib.suppress(OSError, ValueError):
            while _wait_for_request(conn) and conn.communicate():
                continue
        conn.close()

    def _serve_unservicable(self):
        """Return at once: the queue of connections has no limit, so none is left over.

        The base class keeps a thread for such connections.
        """

    def stop_accepting(self) -> None:
        """Accept no further connection or request; requests in progress continue.

        So do those that arrive within ``ARRIVAL_SECONDS``, also on connections that
        wait to be accepted. Connections that are idle by then are closed, other ones
        after their response.
        """
        if not self.ready:
            return
        self.ready = False
        self._stop_loop()
        self._accept_waiting_connections()
        self._connections._selector.unregister(self.socket.fileno())
        self.socket.close()
        self.socket = None
        self._serve_arriving_requests()

    def _stop_loop(self):
        """End the loop that waits for requests; a connection wakes it up at once."""
        self._connections._stop_requested = True
        with socket.socket() as waker:
            waker.settimeout(WAKE_TIMEOUT_SECONDS)
            # Otherwise the loop ends up to half a second later.
            with contextlib.suppress(OSError):
                waker.bind((self.bind_addr[0], 0))
                self._waker_address = waker.getsockname()
                waker.connect(self.bind_addr)
            self._connections.stop()

    def _accept_waiting_connections(self):
        """Accept what the system has accepted; its callers may have sent requests."""
        self.socket.setblocking(False)
        while True:
            conn = self._connections._from_server_socket(self.socket)
            if conn is None:
                return
            self._connections.put(conn)

    def _serve_arriving_requests(self):
        """Hand connections to threads as requests arrive, and close the others."""
        selector = self._connections._selector
        end = time.monotonic() + ARRIVAL_SECONDS
        while len(selector) and (remaining := end - time.monotonic()) > 0:
            for descriptor, conn in selector.select(timeout=remaining):
                selector.unregister(descriptor)
                self.requests.put(conn)
        with self._idle_lock:
            self._has_closed_idle = True
            idle = list(selector.connections)
            for descriptor, _ in idle:
                selector.unregister(descriptor)
        for _, conn in idle:
            if conn.has_bytes():
                self.requests.put(conn)
                continue
            conn.close_at_once()

    def stop(self) -> None:
        """Stop once all requests have ended or the shutdown timeout has passed."""
        with self._idle_lock:
            self._has_closed_idle = True
        if self.ready:
            self._stop_loop()
        # The base class treats a server that is not ready as already stopped.
        self.ready = True
        super().stop()


def _wait_for_request(conn) -> bool:
    """Return whether bytes of a request arrive within ``ARRIVAL_SECONDS``."""
    if conn.rfile.has_data():
        return True
    return conn.await_bytes(ARRIVAL_SECONDS) and not is_ended(conn.socket)


def make_server(
    address: str,
    app: Callable,
    *,
    threads: int,
    idle_seconds: float = 30.0,
    find_read_end: FindReadEnd = lambda refusable_deadline: math.inf,
) -> wsgi.Server:
    """Make a server that listens at once and serves after ``serve`` is called.

    Args:
        address: ``IP:PORT``.
        app: The WSGI application.
        threads: Maximum number of threads, each of which serves one request.
        idle_seconds: Maximum time to wait for the next bytes of a request.
        find_read_end: Returns when requests that are not whole are given up.

    Returns:
        The server.

    Raises:
        CitronspanError: With code 1004 if the address cannot be bound.
    """
    server = CallerServer(
        split_address(address),
        app,
        timeout=idle_seconds,
        request_queue_size=LISTEN_BACKLOG,
    )
    server.requests = WorkerPool(server, minimum=MINIMUM_THREADS, maximum=threads)
    server.find_read_end = find_read_end
    server.gateway = ConnectionGateway
    server.ConnectionClass = CallerStream
    server.ConnectionClass.RequestHandlerClass = CheckedRequest
    server.keep_alive_conn_limit = MAXIMUM_KEEP_ALIVE_CONNECTIONS
    server.max_request_header_size = MAXIMUM_HEADER_BYTES
    server.server_name = "citronspan"
    try:
        server.prepare()
    except OSError as error:
        raise CitronspanError(
            code=result_codes.ADDRESS_IN_USE, detail=f"{address}: {error}"
        ) from error
    # Without Nagle's algorithm, a small response body is not delayed until the
    # acknowledgement of its header.
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return server


def make_metrics_server(address: str, registry: CollectorRegistry) -> wsgi.Server:
    """Make the server of ``/metrics``, which answers 404 to other paths."""
    metrics_app = make_wsgi_app(registry)

    def app(environ, start_response):
        if environ["PATH_INFO"] == "/metrics":
            return metrics_app(environ, start_response)
        status = http.client.NOT_FOUND
        start_response(f"{int(status)} {status.phrase}", [("Content-Length", "0")])
        return []

    return make_server(address, app, threads=METRICS_THREADS)
