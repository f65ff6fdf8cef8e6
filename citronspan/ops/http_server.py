"""HTTP servers by cheroot, and the WSGI gateway that shows the connection."""

import contextlib
import http.client
import socket
from collections.abc import Callable

from cheroot import wsgi
from cheroot.server import HTTPConnection
from prometheus_client import CollectorRegistry, make_wsgi_app

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError
from citronspan.ops.caller_connection import CallerConnection
from citronspan.utils.addresses import split_address

MAXIMUM_HEADER_BYTES = 64 * 1024
LISTEN_BACKLOG = 512
METRICS_THREADS = 1


class AbortableConnection(HTTPConnection):
    """A connection that can end with a reset, which no caller takes for an end."""

    is_aborted = False

    def _close_kernel_socket(self):
        # A shutdown would tell the caller of an orderly end before the reset.
        if not self.is_aborted:
            super()._close_kernel_socket()

    def close(self):
        """Close the socket now, not when its writer is collected."""
        super().close()
        # What a failed write left in the buffer cannot be flushed any more.
        with contextlib.suppress(OSError):
            self.wfile.close()


class ConnectionGateway(wsgi.Gateway_10):
    """Adds the caller's connection to the WSGI environment."""

    def get_environ(self):
        """Return the environment with ``citronspan.connection``."""
        environ = super().get_environ()
        environ["citronspan.connection"] = CallerConnection(request=self.req)
        return environ


def make_server(
    address: str, app: Callable, *, threads: int, idle_seconds: float = 30.0
) -> wsgi.Server:
    """Make a server that listens at once and serves when ``serve`` is called.

    Args:
        address: ``IP:PORT``.
        app: The WSGI application.
        threads: Requests carried at once.
        idle_seconds: Bound on waiting for a byte of a request.

    Returns:
        The server.

    Raises:
        CitronspanError: With code 1004 if the address cannot be bound.
    """
    server = wsgi.Server(
        split_address(address),
        app,
        numthreads=threads,
        max=threads,
        timeout=idle_seconds,
        request_queue_size=LISTEN_BACKLOG,
    )
    server.gateway = ConnectionGateway
    server.ConnectionClass = AbortableConnection
    server.max_request_header_size = MAXIMUM_HEADER_BYTES
    server.server_name = "citronspan"
    try:
        server.prepare()
    except OSError as error:
        raise CitronspanError(
            code=result_codes.ADDRESS_IN_USE, detail=f"{address}: {error}"
        ) from error
    # A small answer must not wait for the acknowledgement of its head.
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return server


def make_metrics_server(address: str, registry: CollectorRegistry) -> wsgi.Server:
    """Make the server of ``/metrics``."""
    metrics_app = make_wsgi_app(registry)

    def app(environ, start_response):
        if environ["PATH_INFO"] == "/metrics":
            return metrics_app(environ, start_response)
        status = http.client.NOT_FOUND
        start_response(f"{int(status)} {status.phrase}", [("Content-Length", "0")])
        return []

    return make_server(address, app, threads=METRICS_THREADS)
