"""A server that answers each request with bytes without end, for tests of readers."""

import contextlib
import socket
import threading
import time

LISTEN_BACKLOG = 16
REQUEST_BYTES = 64 * 1024


class EndlessServer:
    """Answers each request with a start and then the same part again and again.

    Attributes:
        address: ``IP:PORT``.
        sent_bytes: Bytes of all parts that were sent.
    """

    def __init__(
        self,
        *,
        start: bytes,
        part: bytes,
        most_bytes: int = 1 << 62,
        pause_seconds: float = 0.0,
    ):
        """Listen and serve at once.

        Args:
            start: First bytes of each answer.
            part: What follows, repeated.
            most_bytes: Bytes after which the server gives up and closes, so that a
                reader without a bound ends, too.
            pause_seconds: Pause between two parts.
        """
        self._start = start
        self._part = part
        self._most_bytes = most_bytes
        self._pause_seconds = pause_seconds
        self.sent_bytes = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no more connections."""
        self._most_bytes = 0
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.recv(REQUEST_BYTES)
            connection.sendall(self._start)
            while self.sent_bytes < self._most_bytes:
                connection.sendall(self._part)
                self.sent_bytes += len(self._part)
                time.sleep(self._pause_seconds)
