"""Fixtures: an entry in a thread, targets that follow scripts, and a raw caller."""

import contextlib
import itertools
import socket
import struct
import threading
import time
from dataclasses import dataclass, field

import msgspec
import pytest

from citronspan.core.node_messages import ConfigurationPush, NodeInfo, ViewPush
from citronspan.core.resources import (
    Kind,
    Resource,
    RouteSpec,
    ServiceSpec,
    TargetSpec,
    encode_resource,
)
from citronspan.core.settings import EntrySettings, NodeIdentity
from citronspan.ops.entry import Entry
from citronspan.ops.peer_link import PeerLink

TEST_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.01
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SHORT_DEADLINE_SECONDS = 0.4
DEADLINE_SECONDS = 5.0
TARGETS = ("t-1", "t-2", "t-3")


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
        header_by_name: Headers with lower-case names.
        body: The received part of the body.
        is_complete: Whether the body is complete by its framing.
    """

    target: str
    method: str
    path: str
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
        with self._lock:
            self._scripts_by_path[path] = list(scripts)
            self._run_count_by_path[path] = 0

    def count_runs(self, path):
        with self._lock:
            return self._run_count_by_path.get(path, 0)

    def find_received(self, path):
        with self._lock:
            return [item for item in self.received if item.path == path]

    def close(self):
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
        connection.settimeout(TEST_TIMEOUT_SECONDS)
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
        header_by_name[key.lower()] = value.strip()
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


@dataclass(frozen=True, kw_only=True)
class CallerResponse:
    """Holds what a caller received on one connection.

    Attributes:
        data: All received bytes.
        reset: Whether the connection was reset.
    """

    data: bytes
    reset: bool

    @property
    def status(self) -> int:
        """Status of the answer, 0 if its headers are incomplete."""
        if b"\r\n\r\n" not in self.data:
            return 0
        return int(self.data.split(b" ", 2)[1])

    @property
    def header_by_name(self) -> dict[str, str]:
        """Headers of the answer with lower-case names."""
        head = self.data.partition(b"\r\n\r\n")[0].decode("latin-1")
        pairs = (line.partition(":") for line in head.split("\r\n")[1:])
        return {name.lower(): value.strip() for name, _, value in pairs}

    @property
    def ran(self) -> str:
        """The entry's statement on whether the request was run, or empty."""
        return self.header_by_name.get("citronspan-ran", "")

    @property
    def result(self) -> int:
        """Number of the result code, 0 if there is none."""
        return int(self.header_by_name.get("citronspan-result", "0").split()[0])

    def find_complete_body(self) -> bytes | None:
        """Return the body if the answer looks complete, else None.

        This follows RFC 9112, sections 6.3 and 8: a body without a length or chunks is
        complete if the connection closes without a reset.
        """
        if not self.status:
            return None
        body = self.data.partition(b"\r\n\r\n")[2]
        headers = self.header_by_name
        if headers.get("transfer-encoding") == "chunked":
            return _join_chunks(body)
        if "content-length" in headers:
            return body if len(body) == int(headers["content-length"]) else None
        return None if self.reset else body


def _join_chunks(data):
    parts = []
    while True:
        line, separator, data = data.partition(b"\r\n")
        if not separator:
            return None
        size = int(line, 16)
        if size == 0:
            return b"".join(parts) if data == b"\r\n" else None
        parts.append(data[:size])
        if data[size : size + 2] != b"\r\n":
            return None
        data = data[size + 2 :]


def format_address(sock):
    host, port = sock.getsockname()
    return f"{host}:{port}"


def find_free_addresses(count):
    """Return addresses whose ports were free when this function checked them."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [format_address(item) for item in sockets]


def make_resources(targets):
    def route(prefix, **options):
        spec = RouteSpec(
            path_prefix=f"/{prefix}", service="s", request_kind=prefix, **options
        )
        return Resource(kind=Kind.ROUTE, name=prefix, spec=spec)

    resources = [
        Resource(kind=Kind.SERVICE, name="s", spec=ServiceSpec(retry_ratio=1.0)),
        route("read", idempotent=True, deadline_seconds=DEADLINE_SECONDS),
        route("once", idempotent=True, deadline_seconds=1.0, maximum_attempts=1),
        route("write", deadline_seconds=DEADLINE_SECONDS),
        route("quick", deadline_seconds=SHORT_DEADLINE_SECONDS),
    ]
    for name, address in targets.address_by_name.items():
        spec = TargetSpec(
            service="s", address=address, region="r", data_centre="r-1", slots=64
        )
        resources.append(Resource(kind=Kind.TARGET, name=name, spec=spec))
    return [
        msgspec.structs.replace(resource, version=number)
        for number, resource in enumerate(resources)
    ]


@dataclass(kw_only=True)
class RunningEntry:
    """Holds a running entry, its targets and the link that stands for its agent."""

    settings: EntrySettings
    agent: PeerLink
    targets: ScriptedTargets
    entry: Entry
    numbers: itertools.count = field(default_factory=itertools.count)

    def make_path(self, prefix):
        """Return a path that no other test case uses."""
        return f"/{prefix}/{next(self.numbers)}"

    def open(self):
        """Open a connection as a caller."""
        host, _, port = self.settings.callers_address.rpartition(":")
        return socket.create_connection((host, int(port)), timeout=TEST_TIMEOUT_SECONDS)

    def exchange(self, data, *, end_sending=False) -> CallerResponse:
        """Send bytes as a caller and read until the connection closes."""
        with self.open() as caller:
            with contextlib.suppress(OSError):
                caller.sendall(data)
                if end_sending:
                    caller.shutdown(socket.SHUT_WR)
            return read_to_end(caller)

    def request(self, method, path, *, body=b"", headers=""):
        """Send a well-formed request on a new connection."""
        head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{headers}"
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        return self.exchange(head.encode("latin-1") + b"\r\n" + body)


def read_to_end(caller) -> CallerResponse:
    """Read until the connection is closed or reset."""
    parts = []
    reset = False
    try:
        while part := caller.recv(65536):
            parts.append(part)
    except ConnectionResetError:
        reset = True
    return CallerResponse(data=b"".join(parts), reset=reset)


def push_configuration(agent, settings, targets):
    resources = make_resources(targets)
    push = ConfigurationPush(
        base_offset=0,
        offset=len(resources),
        changed=tuple(encode_resource(resource) for resource in resources),
    )
    node = NodeInfo(
        name=settings.place.name,
        incarnation=1,
        region="r",
        data_centre="r-1",
        agent_peer_address=settings.agent_peer_address,
        entry_peer_address=settings.peer_address,
        entry_callers_address=settings.callers_address,
        api_address="127.0.0.1:1",
        entry_state="serving",
        offset=len(resources),
    )
    agent.send(settings.peer_address, ViewPush(sequence=1, nodes=(node,)))
    agent.send(settings.peer_address, push)


@contextlib.contextmanager
def run_entry(**settings_changes):
    """Run an entry of its own in a thread, with an agent and targets of the test."""
    callers, peer, agent_peer, metrics = find_free_addresses(4)
    settings = EntrySettings(
        place=NodeIdentity(name="host-1", region="r", data_centre="r-1"),
        callers_address=callers,
        peer_address=peer,
        agent_peer_address=agent_peer,
        metrics_address=metrics,
        leave_seconds=0.0,
        drain_seconds=2.0,
        log_level="ERROR",
        **settings_changes,
    )
    targets = ScriptedTargets()
    agent = PeerLink(fleet="citronspan", address=agent_peer, incarnation=1)
    entry = Entry(settings=settings)
    thread = threading.Thread(target=entry.run)
    thread.start()
    running = RunningEntry(settings=settings, agent=agent, targets=targets, entry=entry)
    running.targets.set_scripts("/read/first", TargetScript(parts=(EMPTY_ANSWER,)))
    deadline = time.monotonic() + TEST_TIMEOUT_SECONDS
    while running.request("GET", "/read/first").status != 200:
        assert time.monotonic() < deadline
        push_configuration(agent, settings, targets)
        time.sleep(POLL_SECONDS)
    try:
        yield running
    finally:
        entry.request_stop()
        thread.join(TEST_TIMEOUT_SECONDS)
        agent.close()
        targets.close()


@pytest.fixture(scope="module")
def running():
    with run_entry(worker_threads=32) as running:
        yield running


EMPTY_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
