"""Runs the project's hosts as processes, with stand-ins beside them, for one case.

The hosts are started with the command of ``deploy/system.toml``, on loopback addresses
and the real clock. The store is the project's own stand-in; backends and clients are
written here and do what the users' pages say of them.
"""

import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from dataclasses import dataclass
from pathlib import Path

from citronspan_standins.http_service import Service
from citronspan_standins.store_service import StoreService

ROOT = Path(__file__).resolve().parents[2]

REQUEST_ID = "X-Citronspan-Request-Id"
DEADLINE = "X-Citronspan-Deadline-Ms"
EXPECTED = "X-Citronspan-Expected-Instance"
SIGNATURE = "X-Citronspan-Backend-Signature"
TENANT = "X-Citronspan-Tenant-Id"

HELD = 0
BROKEN = 1
NOT_RUN = 2

FRONT_PORT = 8548
READINESS_PORT = 8542
CONTROL_PORT = 8544
DIRECTORY_PORT = 8546
PEER_PORTS = (7540, 7555)
METRICS_PORT = 9464
STORE_PORT = 8541
BACKEND_PORT = 8200
HOST_PORTS = (
    FRONT_PORT,
    READINESS_PORT,
    CONTROL_PORT,
    DIRECTORY_PORT,
    *range(PEER_PORTS[0], PEER_PORTS[1] + 1),
    METRICS_PORT,
)

START_SECONDS = 40.0
READ_BYTES = 65536


class CannotRunError(Exception):
    """Signals that the case could not be played, which shows nothing."""


class Record:
    """What was sent, answered, run and done, with times since the start."""

    def __init__(self, path: Path):
        """Create the record; the file is written by ``save``."""
        self._path = path
        self._lock = threading.Lock()
        self._lines: list[tuple[float, str]] = []
        self.started_at = time.monotonic()

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line, for now or for an earlier time of ``time.monotonic()``."""
        at = time.monotonic() if at is None else at
        with self._lock:
            self._lines.append((at - self.started_at, text))

    def save(self) -> None:
        """Write all lines, in the order of their times."""
        with self._lock:
            lines = sorted(self._lines)
        text = "".join(f"{at:9.3f} {line}\n" for at, line in lines)
        self._path.write_text(text)


def choose_network() -> str:
    """Return the first three bytes of loopback addresses that nobody uses here."""
    draw = random.Random(os.getpid() * 7919 + time.time_ns())
    for _ in range(50):
        network = f"127.{draw.randint(20, 250)}.{draw.randint(1, 250)}"
        if _is_free(f"{network}.1", HOST_PORTS):
            return network
    raise CannotRunError("no loopback network is free")


def _is_free(ip, ports):
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


@dataclass(kw_only=True)
class Exchange:
    """A request as its client saw it.

    Attributes:
        id: Its id.
        sent_at: When its last byte was sent.
        status: Status of the whole answer, 0 without one.
        end: How it ended, in a word.
        ended_at: When it ended.
        headers: Headers of the answer, with lower-case names.
        body: Body of the answer.
    """

    id: str
    sent_at: float = 0.0
    status: int = 0
    end: str = ""
    ended_at: float = 0.0
    headers: dict[str, str]
    body: bytes = b""


class Connection:
    """A client's connection, which is kept open as long as the answers allow it."""

    def __init__(self, address: tuple[str, int], record: Record):
        """Connect.

        Raises:
            OSError: If the host does not accept the connection.
        """
        self._socket = socket.create_connection(address, 1.0)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = self._socket.makefile("rb")
        self._record = record
        self.is_open = True

    def request(
        self,
        *,
        request_id: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        seconds: float = 6.0,
        headers: str = "",
    ) -> Exchange:
        """Send a request and read its answer; ``headers`` are whole lines."""
        exchange = Exchange(id=request_id, headers={})
        length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
            f"{REQUEST_ID}: {request_id}\r\n{DEADLINE}: {int(seconds * 1000)}\r\n"
            f"{length}{headers}\r\n"
        )
        self._socket.settimeout(seconds + 2.0)
        try:
            self._socket.sendall(head.encode() + body)
            exchange.sent_at = time.monotonic()
            self._read(exchange)
        except TimeoutError:
            exchange.end = "no answer in time"
        except ConnectionError as error:
            exchange.end = f"connection lost: {type(error).__name__}"
        exchange.ended_at = time.monotonic()
        if not exchange.status:
            self.close()
        self._record.add(f"client sends {request_id} {method} {path}", exchange.sent_at)
        self._record.add(
            f"client sees {request_id} end: {exchange.status} {exchange.end}",
            exchange.ended_at,
        )
        return exchange

    def _read(self, exchange):
        status_line = self._reader.readline()
        if not status_line:
            exchange.end = "connection closed without an answer"
            return
        headers = {}
        while (line := self._reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = self._reader.read(length)
        if not line or len(body) < length:
            exchange.end = "connection closed within the answer"
            return
        exchange.status = int(status_line.split()[1])
        exchange.headers = headers
        exchange.body = body
        exchange.end = "answered"
        if headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the connection; a second call does nothing."""
        self.is_open = False
        self._reader.close()
        self._socket.close()


class Backend:
    """A sound backend: it runs a request for a time and signs its answer.

    Attributes:
        name: Its id.
        ran: For each request that it ran: id, start, path, tenant.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: str,
        zone: str,
        record: Record,
        slots: int = 16,
        threads: int = 64,
    ):
        """Listen at once; ``register`` makes it known."""
        self.name = name
        self._service_name = service
        self._address = address
        self._zone = zone
        self._record = record
        self._slots = slots
        self._lock = threading.Lock()
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self.ran: list[dict] = []
        self._service = Service(address=address, handler=self.handle, threads=threads)
        self._service.start()

    def make_entry(self, state: str = "ready") -> dict:
        """Return the entry that it writes next."""
        self._sequence += 1
        return {
            "address": self._address,
            "info": {
                "service": self._service_name,
                "version": "v1",
                "dataCentre": self._zone,
                "slots": self._slots,
            },
            "status": {"state": state, "sequence": self._sequence, "warmUpSeconds": 0},
            "born": self._born,
        }

    def handle(self, exchange) -> None:
        """Run a request, or say that this is another backend."""
        request_id = exchange.get_header(REQUEST_ID)
        body = b"".join(exchange.read_body())
        if exchange.get_header(EXPECTED) not in ("", self.name):
            exchange.answer(421, b"", ((REQUEST_ID, request_id),))
            return
        started_at = time.monotonic()
        run = {
            "id": request_id,
            "at": started_at,
            "path": exchange.path,
            "tenant": exchange.get_header(TENANT),
            "backend": self.name,
            "bytes": len(body),
        }
        with self._lock:
            self.ran.append(run)
        self._record.add(f"{self.name} runs {request_id} {exchange.path}", started_at)
        seconds = float(exchange.query_by_name.get("work", "0.02"))
        if not exchange.wait(seconds):
            run["broken_off_at"] = time.monotonic()
            self._record.add(f"{self.name} loses the connection of {request_id}")
            exchange.abort()
        run["ended_at"] = time.monotonic()
        headers = ((REQUEST_ID, request_id), (SIGNATURE, f"{self.name}.{request_id}"))
        exchange.answer(200, f"done {request_id}\n".encode(), headers)

    def stop(self) -> None:
        """End the backend."""
        self._service.stop()


class Host:
    """One host process."""

    def __init__(self, *, lab: "Lab", number: int, zone: str, seeds: list[int]):
        """Create a host that does not run yet."""
        self.name = f"edge-{zone}-{number}"
        self.number = number
        self.ip = f"{lab.network}.{number}"
        self.zone = zone
        self.settings = lab.make_settings(self, seeds)
        self.log_path = lab.folder / f"{self.name}.log"
        self._lab = lab
        self._path = lab.folder / f"{self.name}.json"
        self._process: subprocess.Popen | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Where clients connect."""
        return self.ip, FRONT_PORT

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "CITRONSPAN_BOOT": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._lab.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._lab.record.add(f"{self.name} is started")

    def write_settings(self) -> None:
        """Put the settings file in place."""
        new_path = self._path.with_suffix(".new")
        new_path.write_text(json.dumps(self.settings))
        new_path.replace(self._path)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._lab.record.add(f"{self.name} gets {number.name}")
        self._process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def wait(self, seconds: float) -> int | None:
        """Return the exit status, None if the process still runs after a time."""
        try:
            return self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is None:
            return
        if self._process.poll() is None:
            self._lab.record.add(f"{self.name} is killed")
            self._process.kill()
        self._process.wait()

    def is_ready(self) -> bool:
        """Return whether the host says that it is ready."""
        request = b"GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        try:
            with socket.create_connection((self.ip, READINESS_PORT), 1.0) as caller:
                caller.settimeout(1.0)
                caller.sendall(request)
                return caller.recv(READ_BYTES).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def look_up(self, zone: str, region: str) -> list[tuple[str, int]]:
        """Ask the host's directory where to connect."""
        request = (
            f"GET /directory?name=shop.example&region={region}&dataCentre={zone} "
            "HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n"
        )
        with socket.create_connection((self.ip, DIRECTORY_PORT), 1.0) as caller:
            caller.settimeout(1.0)
            caller.sendall(request.encode())
            data = b""
            while part := caller.recv(READ_BYTES):
                data += part
        answer = json.loads(data.partition(b"\r\n\r\n")[2])
        addresses = [address.rpartition(":") for address in answer["addresses"]]
        return [(ip, int(port)) for ip, _, port in addresses]


class Lab:
    """The store, the hosts and a temporary folder of one case."""

    def __init__(
        self, *, record: Record, region_by_zone: dict[str, str], **settings_changes
    ):
        """Start the store.

        Args:
            record: Record of the case.
            region_by_zone: The zones, with their regions.
            **settings_changes: Settings of all hosts in place of the usual ones.
        """
        self.record = record
        self.region_by_zone = region_by_zone
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = choose_network()
        self.hosts: list[Host] = []
        self.backends: list[Backend] = []
        self._settings_changes = settings_changes
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = shlex.split(deploy["roles"]["host"]["run"])
        self.store = StoreService()
        self._store_address = f"{self.network}.251:{STORE_PORT}"
        self._store_service = Service(
            address=self._store_address, handler=self.store.handle, threads=64
        )
        self._store_service.start()

    def make_settings(self, host: Host, seeds: list[int]) -> dict:
        """Return the settings of a host, as the deploy file's template gives them."""
        return {
            "place": {
                "name": host.name,
                "region": self.region_by_zone[host.zone],
                "dataCentre": host.zone,
            },
            "address": host.ip,
            "callersAddress": f"{host.ip}:{FRONT_PORT}",
            "readinessAddress": f"{host.ip}:{READINESS_PORT}",
            "directoryAddress": f"{host.ip}:{DIRECTORY_PORT}",
            "apiAddress": f"{host.ip}:{CONTROL_PORT}",
            "peerPorts": list(PEER_PORTS),
            "seedApiAddresses": [f"{self.network}.{n}:{CONTROL_PORT}" for n in seeds],
            "regionByDataCentre": self.region_by_zone,
            "storeAddress": self._store_address,
            "keepSeconds": 5,
            "stopSeconds": 6,
            "serviceRules": {
                "floor": 0.7,
                "retryRatio": 0.2,
                "retrySlack": 58,
                "retryWindowSeconds": 10,
            },
            "quotaRules": {"windowSeconds": None, "excess": None, "slack": None},
            "limits": {"cores": 1, "processorShare": 0.86, "linkMbit": 1000.0},
            **self._settings_changes,
        }

    def add_host(self, zone: str, seeds: list[int]) -> Host:
        """Add a host that does not run yet."""
        host = Host(lab=self, number=len(self.hosts) + 1, zone=zone, seeds=seeds)
        self.hosts.append(host)
        return host

    def add_backend(self, service: str, zone: str, **options) -> Backend:
        """Start a backend and write its first entry into the store."""
        number = len(self.backends)
        backend = Backend(
            name=f"i-{service}-{number}",
            service=service,
            address=f"{self.network}.252:{BACKEND_PORT + number}",
            zone=zone,
            record=self.record,
            **options,
        )
        self.backends.append(backend)
        self.write_entry(backend.name, backend.make_entry())
        return backend

    def write_entry(self, name: str, entry: dict | None) -> float:
        """Write or remove an entry; return when the store acknowledged it."""
        value = b"" if entry is None else json.dumps(entry).encode()
        self.store.put("keyed.servers", name, value)
        acknowledged_at = time.monotonic()
        text = "removed" if entry is None else json.dumps(entry)
        self.record.add(f"store: servers/{name} is {text}", acknowledged_at)
        return acknowledged_at

    def write_configuration(self, configuration: dict) -> float:
        """Write a configuration; return when the store acknowledged it."""
        self.store.put("keyed.op", "config", json.dumps(configuration).encode())
        acknowledged_at = time.monotonic()
        self.record.add(
            f"store: op/config is version {configuration['version']}", acknowledged_at
        )
        return acknowledged_at

    def start_hosts(self) -> None:
        """Start all hosts and wait until each one is ready."""
        for host in self.hosts:
            host.start()
        deadline = time.monotonic() + START_SECONDS
        for host in self.hosts:
            while not host.is_ready():
                if time.monotonic() > deadline or not host.is_running():
                    raise CannotRunError(f"{host.name} does not become ready")
                time.sleep(0.1)
        self.record.add("all hosts are ready")

    def close(self) -> None:
        """End all that was started."""
        for host in self.hosts:
            host.kill()
        for backend in self.backends:
            backend.stop()
        self._store_service.stop()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route of a configuration; its prefix is its name."""
    return {
        "name": f"r-{name}",
        "host": "shop.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutSeconds": 6,
        "latencyGoalSeconds": 3,
        "priority": 1,
        "service": service,
        "maximumAttempts": 2,
        **changes,
    }


def make_configuration(version: int, routes: list[dict], **changes) -> dict:
    """Return a configuration with the services of its routes."""
    services = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "healthPath": "/healthz",
                "maximumConnections": 330,
                "protocol": "h1",
                "tls": False,
            }
            for service in services
        ],
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 67108864,
            "headSeconds": 3,
            "idleSeconds": 15,
        },
        **changes,
    }


def run_case(folder: Path, play) -> int:
    """Play a case and return its exit status.

    Args:
        folder: Folder of the case, which gets ``record.txt``.
        play: Called with the record and whether to cause the disruption; returns
            whether the rule held.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"TROUBLE={int(has_trouble)}")
    try:
        has_held = play(record, has_trouble)
    except Exception as error:
        record.add(f"could not run: {error}")
        record.save()
        traceback.print_exc(file=sys.stderr)
        return NOT_RUN
    record.add("the rule held" if has_held else "the rule was broken")
    record.save()
    return HELD if has_held else BROKEN
