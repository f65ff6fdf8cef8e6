"""A whole entry in threads, raw targets that do what a test says, a raw caller."""

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

BOUND_SECONDS = 10.0
POLL_SECONDS = 0.01
LINGER_RESET = struct.pack("ii", 1, 0)
SHORT_DEADLINE_SECONDS = 0.4
DEADLINE_SECONDS = 5.0
TARGETS = ("t-1", "t-2", "t-3")


@dataclass(frozen=True, kw_only=True)
class Script:
    """What a target does with one request.

    Attributes:
        parts: Bytes to send, with a short pause between two of them.
        end: ``close``, ``reset`` or ``hold`` the connection, or ``keep`` it for
            the next request.
        read_body: Whether the request is read whole before the answer.
        runs: Whether the request counts as run.
        pause_seconds: Time before each part but the first.
        delay_seconds: Time before the first part.
    """

    parts: tuple[bytes, ...]
    end: str = "close"
    read_body: bool = True
    runs: bool = True
    pause_seconds: float = 0.0
    delay_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Taken:
    """A request as a target saw it.

    Attributes:
        target: Name of the target.
        method: HTTP method.
        path: Path of the request.
        header_by_name: Headers with lower-case names.
        body: The body that arrived.
        whole: Whether it ended as its framing says.
    """

    target: str
    method: str
    path: str
    header_by_name: dict[str, str]
    body: bytes
    whole: bool


class RawTargets:
    """Targets that answer each path by the scripts that a test gave for it."""

    def __init__(self):
        self.taken: list[Taken] = []
        self._scripts_by_path: dict[str, list[Script]] = {}
        self._ran_by_path: dict[str, int] = {}
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
            self._ran_by_path[path] = 0

    def count_ran(self, path):
        with self._lock:
            return self._ran_by_path.get(path, 0)

    def find_taken(self, path):
        with self._lock:
            return [item for item in self.taken if item.path == path]

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
        connection.settimeout(BOUND_SECONDS)
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
        body, whole = b"", False
        if script.read_body:
            body, whole = _read_request_body(reader, header_by_name)
        taken = Taken(
            target=name,
            method=method,
            path=plain_path,
            header_by_name=header_by_name,
            body=body,
            whole=whole,
        )
        with self._lock:
            self.taken.append(taken)
            if script.read_body and not whole:
                return False
            self._ran_by_path[plain_path] += script.runs
        time.sleep(script.delay_seconds)
        for number, part in enumerate(script.parts):
            if number:
                time.sleep(script.pause_seconds)
            connection.sendall(part)
        if script.end == "hold":
            connection.recv(1)
        if script.end == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
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
class Seen:
    """What a caller saw.

    Attributes:
        data: All bytes.
        reset: Whether the connection ended with a reset.
    """

    data: bytes
    reset: bool

    @property
    def status(self) -> int:
        """Status of the answer, 0 if its head is not whole."""
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
        """What the entry says of whether the request was run."""
        return self.header_by_name.get("citronspan-ran", "")

    @property
    def result(self) -> int:
        """Number of the result code, 0 if there is none."""
        return int(self.header_by_name.get("citronspan-result", "0").split()[0])

    def find_whole_body(self) -> bytes | None:
        """Return the body if the answer looks complete, else None.

        The rules are those of RFC 9112, section 6.3, and 8: a body without length
        or chunks is complete when the connection ends without a reset.
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


def format_address(bound):
    host, port = bound.getsockname()
    return f"{host}:{port}"


def find_free_addresses(count):
    """Return addresses whose ports were free a moment ago."""
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
    """An entry in threads, with its targets and a stand-in for its agent."""

    settings: EntrySettings
    targets: RawTargets
    entry: Entry
    numbers: itertools.count = field(default_factory=itertools.count)

    def make_path(self, prefix):
        """Return a path that no other request uses."""
        return f"/{prefix}/{next(self.numbers)}"

    def open(self):
        """Connect as a caller."""
        host, _, port = self.settings.callers_address.rpartition(":")
        return socket.create_connection((host, int(port)), timeout=BOUND_SECONDS)

    def exchange(self, data, *, end_sending=False) -> Seen:
        """Send bytes as a caller and read until the connection ends."""
        with self.open() as caller:
            with contextlib.suppress(OSError):
                caller.sendall(data)
                if end_sending:
                    caller.shutdown(socket.SHUT_WR)
            return read_to_end(caller)

    def request(self, method, path, *, body=b"", headers=""):
        """Send a well-formed request on a connection of its own."""
        head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{headers}"
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        return self.exchange(head.encode("latin-1") + b"\r\n" + body)


def read_to_end(caller) -> Seen:
    """Read until the connection ends."""
    parts = []
    reset = False
    try:
        while part := caller.recv(65536):
            parts.append(part)
    except ConnectionResetError:
        reset = True
    return Seen(data=b"".join(parts), reset=reset)


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


@pytest.fixture(scope="module")
def running():
    callers, peer, agent_peer, metrics = find_free_addresses(4)
    settings = EntrySettings(
        place=NodeIdentity(name="host-1", region="r", data_centre="r-1"),
        callers_address=callers,
        peer_address=peer,
        agent_peer_address=agent_peer,
        metrics_address=metrics,
        worker_threads=32,
        leave_seconds=0.0,
        drain_seconds=2.0,
        log_level="ERROR",
    )
    targets = RawTargets()
    agent = PeerLink(fleet="citronspan", address=agent_peer, incarnation=1)
    entry = Entry(settings=settings)
    thread = threading.Thread(target=entry.run)
    thread.start()
    running = RunningEntry(settings=settings, targets=targets, entry=entry)
    running.targets.set_scripts("/read/first", Script(parts=(ANSWER_FIRST,)))
    until = time.monotonic() + BOUND_SECONDS
    while running.request("GET", "/read/first").status != 200:
        assert time.monotonic() < until
        push_configuration(agent, settings, targets)
        time.sleep(POLL_SECONDS)
    try:
        yield running
    finally:
        entry.request_stop()
        thread.join(BOUND_SECONDS)
        agent.close()
        targets.close()


ANSWER_FIRST = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
