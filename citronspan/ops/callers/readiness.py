"""Server that reports whether an entry is ready to receive callers' requests."""

import http.client
from collections.abc import Callable

from cheroot import wsgi

from citronspan.ops.callers.http_server import make_server

READINESS_THREADS = 2


def make_readiness_server(address: str, is_ready: Callable[[], bool]) -> wsgi.Server:
    """Create the server of ``/readiness``: 200 while the entry is ready, else 503.

    Args:
        address: ``IP:PORT``.
        is_ready: Returns whether the entry is ready.

    Returns:
        The server.
    """

    def app(environ, start_response):
        status = http.client.NOT_FOUND
        if environ["PATH_INFO"] == "/readiness":
            ready = is_ready()
            status = http.client.OK if ready else http.client.SERVICE_UNAVAILABLE
        start_response(f"{int(status)} {status.phrase}", [("Content-Length", "0")])
        return []

    return make_server(address, app, threads=READINESS_THREADS)
