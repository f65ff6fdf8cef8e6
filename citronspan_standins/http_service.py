"""A small HTTP service for the stand-ins, over cheroot's server.

The stand-ins have to misbehave in ways that a WSGI application cannot (cut an
answer short, reset a connection, notice that a caller has gone), so they are
written against cheroot's gateway, which has the connection at hand.
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
STOP_SECONDS = 2
POLL_SECONDS = 0.02
HOUSEKEEPING_SECONDS = 0.1

Handler = Callable[["Exchange"], None]


class Exchange:
    """One request and the answer to it."""

    def __init__(self, *, request):
        self._request = request
        self.method = request.method.decode()
        self.path = request.path.decode("latin-1")
        self.query_by_name = dict(urllib.parse.parse_qsl(request.qs.decode("latin-1")))

    def get_header(self, name: str) -> str:
        """Return a header of the request, or an empty text."""
        return self._request.inheaders.get(name.title().encode(), b"").decode("latin-1")

    def read_body(self) -> Iterator[bytes]:
        """Yield the body of the request in parts.

        Raises:
            ConnectionError: If the body ends before its length or its last chunk.
        """
        declared = int(self.get_header("Content-Length") or 0)
        chunked = self._request.chunked_read
        taken = 0
        while True:
            try:
                part = self._request.rfile.read(READ_BYTES)
            except ValueError as error:
                raise ConnectionResetError(errno.ECONNRESET, str(error)) from error
            if not part:
                break
            taken += len(part)
            yield part
        if not chunked and taken < declared:
            raise ConnectionResetError(errno.ECONNRESET, "the body was cut short")

    def start_answer(
        self, status: int, headers: Iterable[tuple[str, str]], *, length: int | None
    ) -> None:
        """Send the head of an answer.

        Args:
            status: HTTP status.
            headers: Further headers.
            length: Length of the body in bytes, None to send it in chunks.
        """
        request = self._request
        request.status = f"{status} {HTTPStatus(status).phrase}".encode()
        for name, value in headers:
            request.outheaders.append((name.encode(), value.encode()))
        if length is not None:
            request.outheaders.append((b"Content-Length", str(length).encode()))
        request.ensure_headers_sent()

    def write(self, part: bytes) -> None:
        """Send a part of the body of an answer."""
        self._request.write(part)

    def answer(
        self, status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send a whole answer."""
        self.start_answer(status, headers, length=len(body))
        if body and self.method != "HEAD":
            self.write(body)

    def answer_json(self, status: int, value, headers=()) -> None:
        """Send a whole answer with a value in JSON."""
        body = msgspec.json.encode(value)
        self.answer(status, body, [("Content-Type", "application/json"), *headers])

    def cut(self, *, reset: bool = False) -> None:
        """End the connection at once, whatever was sent.

        Args:
            reset: Whether the other side sees a reset instead of an end.

        Raises:
            ConnectionResetError: Always; the server ends the connection on it.
        """
        self._request.conn.reset_on_close = reset
        self._request.sent_headers = True
        raise ConnectionResetError(errno.ECONNRESET, "cut by the stand-in")

    def wait(self, seconds: float) -> bool:
        """Wait unless the caller closes the connection.

        Args:
            seconds: Time to wait.

        Returns:
            Whether the connection is still open.
        """
        connection = self._request.conn.socket
        until = time.monotonic() + seconds
        poll = select.poll()
        poll.register(connection, select.POLLIN | select.POLLRDHUP)
        while (left := until - time.monotonic()) > 0:
            events = poll.poll(left * 1000)
            if not events:
                continue
            if _is_ended(connection):
                return False
            time.sleep(min(left, POLL_SECONDS))
        return True


def _is_ended(connection):
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
        # Without a shutdown before it, a close that does not linger resets.
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def close(self):
        super().close()
        # What a failed write left in the buffer cannot be flushed any more.
        with contextlib.suppress(OSError):
            self.wfile.close()


class Service:
    """A stand-in's HTTP server on one address."""

    def __init__(self, *, address: str, handler: Handler, threads: int):
        class HandlerGateway(Gateway):
            def respond(self):
                handler(Exchange(request=self.req))

        server = HTTPServer(split_address(address), HandlerGateway, minthreads=threads)
        server.ConnectionClass = _Connection
        server.timeout = IDLE_CONNECTION_SECONDS
        server.keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
        server.request_queue_size = LISTEN_BACKLOG
        server.shutdown_timeout = STOP_SECONDS
        server.expiration_interval = HOUSEKEEPING_SECONDS
        self._server = server
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Address where the service listens, with the port that was bound."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the address and serve in a thread of its own.

        Raises:
            OSError: If the address cannot be bound.
        """
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop serving; requests in flight get a short time to end."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join(STOP_SECONDS)


def answer_control(exchange: Exchange, current, replace: Callable) -> None:
    """Show the switches of a stand-in, or change those that a request names.

    Args:
        exchange: A ``GET`` or a ``POST`` with a JSON object of some switches.
        current: The switches in force, a frozen struct.
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
