"""Server that reports whether an entry is ready to receive callers' requests."""

import http.client
from collections.abc import Callable

from cheroot import wsgi

from citronspan.ops.callers.http_server import make_server

READINESS_THREADS = 2


def describe_readiness(
    *, state: str, offset: int, problem: str, has_brokers: bool
) -> str:
    """Return in a line what an entry has and lacks.

    Args:
        state: State of the entry.
        offset: Offset of its configuration, 0 if it has none.
        problem: Why the newest configuration is invalid, or empty.
        has_brokers: Whether it knows a possible broker.
    """
    configuration = f"at offset {offset}" if offset else "missing"
    if problem:
        configuration += f", the newest is invalid: {problem}"
    brokers = "known" if has_brokers else "unknown"
    return f"entry {state}; configuration {configuration}; brokers {brokers}"


def make_readiness_server(
    address: str, *, is_ready: Callable[[], bool], describe: Callable[[], str]
) -> wsgi.Server:
    """Create the server of ``/readiness``: 200 while the entry is ready, else 503.

    An answer with status 503 says what the entry waits for.

    Args:
        address: ``IP:PORT``.
        is_ready: Returns whether the entry is ready.
        describe: Returns why it is not, for an operator.

    Returns:
        The server.
    """

    def app(environ, start_response):
        status = http.client.NOT_FOUND
        body = b""
        if environ["PATH_INFO"] == "/readiness":
            ready = is_ready()
            status = http.client.OK if ready else http.client.SERVICE_UNAVAILABLE
            body = b"" if ready else f"{describe()}\n".encode()
        headers = [("Content-Length", str(len(body)))]
        if body:
            headers.append(("Content-Type", "text/plain; charset=utf-8"))
        start_response(f"{int(status)} {status.phrase}", headers)
        return [body] if body else []

    return make_server(address, app, threads=READINESS_THREADS)
