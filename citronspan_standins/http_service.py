"""A small HTTP server for the stand-ins, based on cheroot.

The stand-ins simulate faults that a WSGI application cannot: truncated answers,
connection resets, and the detection of a caller that has disconnected. They therefore
use cheroot's gateway interface, which gives access to the connection.
"""

import contextlib
import errno
import select
import socket
import struct
import threading
import time
import urllib.parse
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

import msgspec
from cheroot.server import Gateway, HTTPConnection, HTTPServer

from citronspan.utils.addresses import split_address

READ_BYTES = 64 * 1024
IDLE_CONNECTION_SECONDS = 120
KEEP_ALIVE_CONNECTIONS = 2000
LISTEN_BACKLOG = 512
SHUTDOWN_TIMEOUT_SECONDS = 2
POLL_INTERVAL_SECONDS = 0.02
HOUSEKEEPING_INTERVAL_SECONDS = 0.1

Handler = Callable[["Exchange"], None]


class Exchange:
    """One HTTP request and its answer.

    Attributes:
        method: HTTP method.
        path: Path of the request, without the query.
        query_by_name: Query parameters by name.
    """

    def __init__(self, *, request):
        self._request = request
        self.method = request.method.decode()
        self.path = request.path.decode("latin-1")
        self.query_by_name = dict(urllib.parse.parse_qsl(request.qs.decode("latin-1")))

    def get_header(self, name: str) -> str:
        """Return a header of the request, or an empty string if it is missing."""
        return self._request.inheaders.get(name.title().encode(), b"").decode("latin-1")

    def read_body(self) -> Iterator[bytes]:
        """Yield the body of the request in parts.

        Raises:
            ConnectionResetError: The body ends before its declared length or its last
                chunk, or a chunk is malformed.
        """
        declared_bytes = int(self.get_header("Content-Length") or 0)
        chunked = self._request.chunked_read
        received_bytes = 0
        while True:
            try:
                part = self._request.rfile.read(READ_BYTES)
            except ValueError as error:
                raise ConnectionResetError(errno.ECONNRESET, str(error)) from error
            if not part:
                break
            received_bytes += len(part)
            yield part
        if not chunked and received_bytes < declared_bytes:
            raise ConnectionResetError(
                errno.ECONNRESET, "the request body ended before its declared length"
            )

    def start_answer(
        self, status: int, headers: Iterable[tuple[str, str]], *, length: int | None
    ) -> None:
        """Send the status line and the headers of an answer.

        Args:
            status: HTTP status.
            headers: Headers besides the length.
            length: Length of the body in bytes, or None for chunked encoding.
        """
        request = self._request
        request.status = f"{status} {HTTPStatus(status).phrase}".encode()
        for name, value in headers:
            request.outheaders.append((name.encode(), value.encode()))
        if length is not None:
            request.outheaders.append((b"Content-Length", str(length).encode()))
        request.ensure_headers_sent()

    def write(self, part: bytes) -> None:
        """Send a part of the answer's body."""
        self._request.write(part)

    def answer(
        self, status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send a complete answer; a HEAD request gets no body."""
        self.start_answer(status, headers, length=len(body))
        if body and self.method != "HEAD":
            self.write(body)

    def answer_json(self, status: int, value, headers=()) -> None:
        """Send a complete answer whose body is a value encoded as JSON."""
        body = msgspec.json.encode(value)
        self.answer(status, body, [("Content-Type", "application/json"), *headers])

    def abort(self, *, reset: bool = False) -> None:
        """Close the connection at once, even in the middle of an answer.

        Args:
            reset: Whether to close with a TCP reset instead of a FIN.

        Raises:
            ConnectionResetError: Always; the server closes the connection on it.
        """
        self._request.conn.reset_on_close = reset
        self._request.sent_headers = True
        raise ConnectionResetError(
            errno.ECONNRESET, "connection closed by the stand-in"
        )

    def wait(self, seconds: float) -> bool:
        """Wait for a time or until the caller closes the connection.

        Args:
            seconds: Time to wait, in seconds.

        Returns:
            Whether the connection is still open.
        """
        connection = self._request.conn.socket
        deadline = time.monotonic() + seconds
        poll = select.poll()
        poll.register(connection, select.POLLIN | select.POLLRDHUP)
        while (remaining := deadline - time.monotonic()) > 0:
            events = poll.poll(remaining * 1000)
            if not events:
                continue
            if _is_closed_by_peer(connection):
                return False
            time.sleep(min(remaining, POLL_INTERVAL_SECONDS))
        return True


def _is_closed_by_peer(connection):
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


class _Connection(HTTPConnection):
    reset_on_close = False

    def _close_kernel_socket(self):
        if not self.reset_on_close:
            super()._close_kernel_socket()
            return
        # Closing with a linger time of 0 and without a shutdown sends a TCP reset.
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def close(self):
        super().close()
        # Data that a failed write left in the buffer cannot be flushed any more.
        with contextlib.suppress(OSError):
            self.wfile.close()


class Service:
    """An HTTP server of a stand-in on one address."""

    def __init__(self, *, address: str, handler: Handler, threads: int):
        class HandlerGateway(Gateway):
            def respond(self):
                handler(Exchange(request=self.req))

        server = HTTPServer(split_address(address), HandlerGateway, minthreads=threads)
        server.ConnectionClass = _Connection
        server.timeout = IDLE_CONNECTION_SECONDS
        server.keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
        server.request_queue_size = LISTEN_BACKLOG
        server.shutdown_timeout = SHUTDOWN_TIMEOUT_SECONDS
        server.expiration_interval = HOUSEKEEPING_INTERVAL_SECONDS
        self._server = server
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """The bound ``IP:PORT``, with the assigned port if port 0 was requested."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the address and serve in a background thread.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop serving; requests in flight have ``SHUTDOWN_TIMEOUT_SECONDS`` to end."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join(SHUTDOWN_TIMEOUT_SECONDS)


def handle_control(exchange: Exchange, current, replace: Callable) -> None:
    """Answer a ``/control`` request, which reads or changes a stand-in's switches.

    Args:
        exchange: A GET, or a request of another method with a JSON object of the
            switches to change. Invalid switches are answered with 400.
        current: The current switches, a frozen struct.
        replace: Called with the new switches.
    """
    if exchange.method == "GET":
        exchange.answer_json(200, current)
        return
    try:
        changes = msgspec.json.decode(b"".join(exchange.read_body()), type=dict)
        merged = {**msgspec.to_builtins(current), **changes}
        changed = msgspec.convert(merged, type=type(current))
    except msgspec.MsgspecError as error:
        exchange.answer(400, f"{error}\n".encode())
        return
    replace(changed)
    exchange.answer_json(200, changed)
