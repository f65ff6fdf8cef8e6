"""Host processes, a store and targets for a soak, on loopback addresses of its own."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from citronspan_standins.cut_off_host import CUT_SUFFIX
from citronspan_standins.http_service import Service
from citronspan_standins.promises import (
    ANSWERED,
    BROKEN_OFF,
    DIED,
    Arrival,
    History,
    Span,
    digest_request,
    make_answer_body,
)
from citronspan_standins.raw_caller import read_to_end
from citronspan_standins.store_service import StoreService

ROOT = Path(__file__).parents[1]
HOST_PROGRAM = "citronspan.scripts.host"
CUT_OFF_PROGRAM = "citronspan_standins.cut_off_host"
GRACE_SECONDS = 6.0
REQUEST_ID = "X-Citronspan-Request-Id"
CALLERS_PORT = 8080
STORE_PORT = 7000
FIRST_TARGET_PORT = 7001
REGION_BY_DATA_CENTRE = {"a": "r", "b": "s"}
BORN = 1_790_000_000_000
POLL_SECONDS = 0.05
CHUNK_BYTES = 20_000
CHUNK_PAUSE_SECONDS = 0.05


def make_network(number: int) -> str:
    """Return the first three bytes of addresses that other test runs don't use."""
    return f"127.{64 + os.getpid() % 128}.{200 + number % 50}"


class SoakTarget:
    """A target that works for as long as the request says, and that can die."""

    def __init__(self, *, name: str, address: str, slots: int, history: History):
        """Listen at once.

        Args:
            name: Name of the target.
            address: ``IP:PORT``.
            slots: Number of requests that it runs at the same time.
            history: Where its arrivals are noted.
        """
        self.name = name
        self._slots = slots
        self._history = history
        self._lock = threading.Lock()
        self._running = 0
        self._is_dead = False
        self._sequence = 0
        self._service = Service(address=address, handler=self._handle, threads=24)
        self._service.start()

    def register(self, store: StoreService, state: str = "ready") -> float:
        """Write the registration; return when the store acknowledged it."""
        self._sequence += 1
        info = {"service": "shop", "version": "v1", "dataCentre": "a"}
        record = {
            "address": self._service.address,
            "info": {**info, "slots": self._slots},
            "status": {"state": state, "sequence": self._sequence, "warmUpSeconds": 0},
            "born": BORN,
        }
        store.put("keyed.servers", self.name, json.dumps(record).encode())
        return time.monotonic()

    def die(self) -> None:
        """Reset all connections and accept no others."""
        self._is_dead = True
        threading.Thread(target=self._service.stop, daemon=True).start()

    def _handle(self, exchange):
        if self._is_dead:
            exchange.abort(reset=True)
        if exchange.path == "/healthz":
            exchange.answer(200, b"", (("X-Citronspan-Instance-Id", self.name),))
            return
        request_id = exchange.get_header(REQUEST_ID)
        body = b"".join(exchange.read_body())
        with self._lock:
            is_full = self._running >= self._slots
            self._running += not is_full
        if is_full:
            headers = (("X-Citronspan-Not-Executed", "1"), (REQUEST_ID, request_id))
            exchange.answer(503, b"", headers)
            return
        try:
            self._run(exchange, request_id, body)
        finally:
            with self._lock:
                self._running -= 1

    def _run(self, exchange, request_id, body):
        query = exchange.query_by_name
        text = "&".join(f"{name}={value}" for name, value in query.items())
        arrival = Arrival(
            request_id=request_id,
            target=self.name,
            digest=digest_request(exchange.method, f"{exchange.path}?{text}", body),
            at=time.monotonic(),
        )
        self._history.arrivals.append(arrival)
        try:
            self._work(exchange, float(query["work"]))
            self._answer(exchange, request_id, int(query["size"]))
            arrival.outcome = ANSWERED
        except BaseException:
            arrival.outcome = DIED if self._is_dead else BROKEN_OFF
            raise
        finally:
            arrival.ended_at = time.monotonic()

    def _work(self, exchange, seconds):
        ends_at = time.monotonic() + seconds
        while (remaining := ends_at - time.monotonic()) > 0:
            if not exchange.wait(min(remaining, POLL_SECONDS)) or self._is_dead:
                exchange.abort(reset=self._is_dead)

    def _answer(self, exchange, request_id, size):
        body = make_answer_body(request_id, size)
        headers = [
            (REQUEST_ID, request_id),
            ("X-Citronspan-Backend-Signature", f"{self.name}.{request_id}"),
        ]
        length = size if size < CHUNK_BYTES or size % 2 else None
        exchange.start_answer(200, headers, length=length)
        for start in range(0, size, CHUNK_BYTES):
            if self._is_dead:
                exchange.abort(reset=True)
            exchange.write(body[start : start + CHUNK_BYTES])
            if size > CHUNK_BYTES:
                time.sleep(CHUNK_PAUSE_SECONDS)


class SoakHost:
    """One host as a process, which is started again after each stop.

    Attributes:
        name: Name of the host.
        address: Where callers connect.
        stopped_at: When it got SIGTERM, None unless it is stopping.
        ends: Descriptions of ends that nobody asked for.
    """

    def __init__(
        self,
        *,
        number: int,
        network: str,
        folder: Path,
        history: History,
        data_centre: str = "a",
        program: str = HOST_PROGRAM,
    ):
        """Create a host that does not run yet."""
        self._program = program
        self.name = f"host-{number}"
        self.address = (f"{network}.{number}", CALLERS_PORT)
        self.stopped_at: float | None = None
        self.ends: list[str] = []
        self._history = history
        self._path = folder / f"{self.name}.json"
        self._log = (folder / f"{self.name}.log").open("a")
        self._process: subprocess.Popen | None = None
        self._started_at = 0.0
        ip = self.address[0]
        self._settings = {
            "place": {
                "name": self.name,
                "region": REGION_BY_DATA_CENTRE[data_centre],
                "dataCentre": data_centre,
            },
            "address": ip,
            "callersAddress": f"{ip}:{CALLERS_PORT}",
            "readinessAddress": f"{ip}:8081",
            "directoryAddress": f"{ip}:8082",
            "apiAddress": f"{ip}:8083",
            "peerPorts": [8090, 8095],
            "seedApiAddresses": [f"{network}.1:8083"],
            "regionByDataCentre": REGION_BY_DATA_CENTRE,
            "storeAddress": f"{network}.100:{STORE_PORT}",
            "stopSeconds": GRACE_SECONDS,
        }

    def start(self) -> None:
        """Start the process; requests may come before it is ready."""
        self._write_settings()
        self._started_at = time.monotonic()
        self._process = subprocess.Popen(
            [sys.executable, "-m", self._program, str(self._path)],
            cwd=ROOT,
            stdout=self._log,
            stderr=self._log,
        )
        self.stopped_at = None

    def is_ready(self) -> bool:
        """Return whether the host says that it is ready."""
        request = b"GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        try:
            with socket.create_connection((self.address[0], 8081), 1.0) as caller:
                caller.sendall(request)
                return read_to_end(caller).status == 200
        except OSError:
            return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal; one that ends the process is noted by ``stop``."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def stop(self, again: signal.Signals | None, again_after_seconds: float) -> None:
        """Send SIGTERM, kill the process at the end of the grace, start another.

        Args:
            again: A further signal for the same process, None for none.
            again_after_seconds: Time between the two.
        """
        self._check_runs()
        # One that does not listen yet has nothing to lose.
        has_listened = self._is_listening()
        self.stopped_at = time.monotonic()
        self.send_signal(signal.SIGTERM)
        if again is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                self._process.wait(again_after_seconds)
            self.send_signal(again)
        remaining_seconds = self.stopped_at + GRACE_SECONDS - time.monotonic()
        try:
            status = self._process.wait(remaining_seconds)
            if status and has_listened:
                self.ends.append(f"{self.name} ended with {status} after SIGTERM")
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        now = time.monotonic()
        span = Span(name=self.name, start=self.stopped_at, end=now)
        self._history.stops.append(span)
        self.start()

    def freeze(self, seconds: float) -> None:
        """Suspend the process for a time."""
        started_at = time.monotonic()
        self.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        self.send_signal(signal.SIGCONT)
        span = Span(name=self.name, start=started_at, end=time.monotonic())
        self._history.disruptions.append(span)

    def cut_off(self, seconds: float) -> None:
        """End the connections of the host to targets, and refuse new ones for a time.

        Its peers relay connections for it meanwhile.
        """
        started_at = time.monotonic()
        cut_file = self._path.with_suffix(CUT_SUFFIX)
        cut_file.touch()
        time.sleep(seconds)
        cut_file.unlink()
        span = Span(name=self.name, start=started_at, end=time.monotonic())
        self._history.disruptions.append(span)

    def change_settings(self, keep_seconds: float) -> None:
        """Change the settings file and send SIGHUP."""
        self._settings["keepSeconds"] = keep_seconds
        self._write_settings()
        self.send_signal(signal.SIGHUP)

    def end(self) -> None:
        """Kill the process at the end of the soak."""
        if self._process is not None:
            self._check_runs()
            self._process.kill()
            self._process.wait()
        self._log.close()

    def _is_listening(self):
        try:
            socket.create_connection(self.address, 1.0).close()
        except OSError:
            return False
        return True

    def _check_runs(self):
        if self._process.poll() is not None:
            self.ends.append(f"{self.name} ended with {self._process.returncode}")

    def _write_settings(self):
        text = json.dumps(self._settings)
        path = self._path.with_suffix(".new")
        path.write_text(text)
        path.replace(self._path)
