"""Targets that answer each path by the scripts that a test set for it."""

import contextlib
import random
import socket
import struct
import threading
import time
from dataclasses import dataclass

TARGETS = ("t-1", "t-2", "t-3")
CONNECTION_TIMEOUT_SECONDS = 10.0
TEST_PORTS = range(10_240, 28_000)
"""Ports below those that the system gives to connections."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
EMPTY_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@dataclass(frozen=True, kw_only=True)
class TargetScript:
    """Tells a target how to handle one request.

    Attributes:
        parts: Bytes to send, with a pause between the parts.
        end: What to do with the connection after the last part: ``close`` it,
            ``reset`` it, ``hold`` it until the entry sends or closes, or ``keep`` it
            for the next request.
        read_body: Whether the whole request is read before the answer.
        runs: Whether the request counts as run.
        pause_seconds: Pause before each part except the first.
        delay_seconds: Delay before the first part.
        endless_part: Bytes to send again and again after the last part, until the
            entry closes the connection.
    """

    parts: tuple[bytes, ...]
    end: str = "close"
    read_body: bool = True
    runs: bool = True
    pause_seconds: float = 0.0
    delay_seconds: float = 0.0
    endless_part: bytes = b""


@dataclass(frozen=True, kw_only=True)
class ReceivedRequest:
    """Holds a request as a target received it.

    Attributes:
        target: Name of the target.
        method: HTTP method.
        path: Path of the request.
        uri: Path and query, as they were received.
        header_by_name: Headers with lower-case names.
        body: The received part of the body.
        is_complete: Whether the body is complete by its framing.
    """

    target: str
    method: str
    path: str
    uri: str
    header_by_name: dict[str, str]
    body: bytes
    is_complete: bool


class ScriptedTargets:
    """Runs targets that answer each path by the scripts that a test set for it.

    Attributes:
        received: Requests that the targets received.
        endless_bytes: Bytes sent so far as endless parts.
        ended_holds: Paths of the requests whose held connection the entry closed.
        address_by_name: Address of each target.
    """

    def __init__(self):
        self.received: list[ReceivedRequest] = []
        self.endless_bytes = 0
        self.ended_holds: list[str] = []
        self._scripts_by_path: dict[str, list[TargetScript]] = {}
        self._run_count_by_path: dict[str, int] = {}
        self._lock = threading.Lock()
        self._stopped = False
        self.address_by_name: dict[str, str] = {}
        self._listeners = []
        for name in TARGETS:
            listener = socket.create_server(("127.0.0.1", 0), backlog=64)
            self._listeners.append(listener)
            self.address_by_name[name] = format_address(listener)
            threading.Thread(
                target=self._accept, args=(name, listener), daemon=True
            ).start()

    def set_scripts(self, path, *scripts):
        """Set the scripts for a path in their order; the last one is repeated."""
        with self._lock:
            self._scripts_by_path[path] = list(scripts)
            self._run_count_by_path[path] = 0

    def count_runs(self, path):
        """Return how many requests to a path were run."""
        with self._lock:
            return self._run_count_by_path.get(path, 0)

    def find_received(self, path):
        """Return the requests to a path that the targets received."""
        with self._lock:
            return [item for item in self.received if item.path == path]

    def close(self):
        """Accept no more connections."""
        self._stopped = True
        for listener in self._listeners:
            listener.close()

    def _accept(self, name, listener):
        while not self._stopped:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(name, connection), daemon=True
            ).start()

    def _serve(self, name, connection):
        connection.settimeout(CONNECTION_TIMEOUT_SECONDS)
        reader = connection.makefile("rb")
        with contextlib.suppress(OSError), connection, reader:
            while self._serve_one(name, connection, reader):
                pass

    def _serve_one(self, name, connection, reader):
        head = _read_head(reader)
        if head is None:
            return False
        method, path, header_by_name = head
        plain_path = path.partition("?")[0]
        with self._lock:
            scripts = self._scripts_by_path.get(plain_path, [])
            script = scripts.pop(0) if len(scripts) > 1 else scripts[0]
        body, is_complete = b"", False
        if script.read_body:
            body, is_complete = _read_request_body(reader, header_by_name)
        received = ReceivedRequest(
            target=name,
            method=method,
            path=plain_path,
            uri=path,
            header_by_name=header_by_name,
            body=body,
            is_complete=is_complete,
        )
        with self._lock:
            self.received.append(received)
            if script.read_body and not is_complete:
                return False
            self._run_count_by_path[plain_path] += script.runs
        time.sleep(script.delay_seconds)
        for number, part in enumerate(script.parts):
            if number:
                time.sleep(script.pause_seconds)
            connection.sendall(part)
        while script.endless_part:
            connection.sendall(script.endless_part)
            self.endless_bytes += len(script.endless_part)
        if script.end == "hold":
            connection.recv(1)
            self.ended_holds.append(plain_path)
        if script.end == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return script.end == "keep"


def _read_head(reader):
    line = reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    method, path, _ = line.decode("latin-1").split(" ")
    header_by_name = {}
    while (line := reader.readline()) != b"\r\n":
        if not line.endswith(b"\r\n"):
            return None
        key, _, value = line.decode("latin-1").partition(":")
        header_by_name[key.lower()] = value.strip(" \t\r\n")
    return method, path, header_by_name


def _read_request_body(reader, header_by_name):
    if header_by_name.get("transfer-encoding") != "chunked":
        length = int(header_by_name.get("content-length", "0"))
        body = reader.read(length)
        return body, len(body) == length
    parts = []
    while True:
        line = reader.readline()
        if not line.endswith(b"\r\n"):
            return b"".join(parts), False
        size = int(line, 16)
        part = reader.read(size)
        parts.append(part)
        ended = reader.read(2) == b"\r\n"
        if not ended or not size:
            return b"".join(parts), ended


def format_address(sock):
    """Return the address of a listening socket as ``IP:PORT``."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def find_free_addresses(count):
    """Return addresses whose ports were free when this function checked them.

    They are below the ports that the system gives to connections of other programs,
    one of which could be taken before the caller listens.
    """
    draw = random.SystemRandom()
    with contextlib.ExitStack() as stack:
        sockets = []
        while len(sockets) < count:
            item = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                item.bind(("127.0.0.1", draw.choice(TEST_PORTS)))
                sockets.append(item)
        return [format_address(item) for item in sockets]
