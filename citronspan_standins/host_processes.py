"""Hosts as processes on loopback addresses, with one target and a store beside them."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

from citronspan_standins.http_service import Service
from citronspan_standins.platform_test import (
    OPERATOR,
    REQUEST_ID,
    TARGETS,
    make_configuration,
)
from citronspan_standins.raw_caller import read_to_end
from citronspan_standins.store_service import StoreService, wait_until

ROOT = Path(__file__).parents[1]
NETWORK = f"127.{64 + os.getpid() % 128}.43"
PORT = 31_000 + os.getpid() % 20 * 50
RELAY_PORT = 8092
STOP_SECONDS = 6.0
START_SECONDS = 30.0
SETTLE_SECONDS = 1.0
DEADLINE_SECONDS = 8.0


def make_head(request_id, method, path, length, headers="", deadline_seconds=None):
    """Return the head of a request; ``headers`` are whole lines."""
    deadline_ms = int((deadline_seconds or DEADLINE_SECONDS) * 1000)
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"{REQUEST_ID}: {request_id}\r\nContent-Length: {length}\r\n{headers}"
        f"X-Citronspan-Deadline-Ms: {deadline_ms}\r\n\r\n"
    ).encode()


class WorkingTarget:
    """A target with a number of slots, which works for a fixed time on each request.

    Attributes:
        started_at_by_id: Time at which the work on each request began.
        store: The store in which the target is registered.
    """

    def __init__(self, *, name, port, slots, work_seconds, store):
        self.name = name
        self.store = store
        self.slots = slots
        self.work_seconds = work_seconds
        self.started_at_by_id: dict[str, float] = {}
        self.service = Service(
            address=f"127.0.0.1:{port}", handler=self.handle, threads=32
        )
        self.service.start()

    def handle(self, exchange):
        """Read a request, work on it and answer it."""
        request_id = exchange.get_header(REQUEST_ID)
        b"".join(exchange.read_body())
        self.started_at_by_id[request_id] = time.monotonic()
        time.sleep(self.work_seconds)
        headers = ((REQUEST_ID, request_id), ("X-Citronspan-Backend-Signature", "s"))
        exchange.answer(200, b"done", headers)

    def make_registration(self):
        """Return the entry of the target in the store."""
        status = {"state": "ready", "sequence": 1, "warmUpSeconds": 0}
        info = {
            "service": "shop",
            "version": "v1",
            "dataCentre": "a",
            "slots": self.slots,
        }
        return json.dumps(
            {
                "address": self.service.address,
                "info": info,
                "status": status,
                "born": 1_790_000_000_000,
            }
        ).encode()


REGION_BY_DATA_CENTRE = {"a": "r", "b": "s"}
HOST_PROGRAM = "citronspan.scripts.host"


class HostProcess:
    """One host as a process on loopback addresses."""

    def __init__(
        self,
        *,
        number,
        folder,
        store_address,
        data_centre="a",
        program=HOST_PROGRAM,
    ):
        ip = f"{NETWORK}.{number}"
        name = f"host-{number}"
        self.name = name
        self.address = (ip, 8080)
        settings = {
            "place": {
                "name": name,
                "region": REGION_BY_DATA_CENTRE[data_centre],
                "dataCentre": data_centre,
            },
            "address": ip,
            "callersAddress": f"{ip}:8080",
            "readinessAddress": f"{ip}:8081",
            "directoryAddress": f"{ip}:8082",
            "apiAddress": f"{ip}:8083",
            "peerPorts": [8090, 8095],
            "seedApiAddresses": [f"{NETWORK}.1:8083"],
            "regionByDataCentre": REGION_BY_DATA_CENTRE,
            "storeAddress": store_address,
            "stopSeconds": STOP_SECONDS,
        }
        self._settings = settings
        self._settings_path = folder / f"{name}.json"
        self.change_settings()
        self.log_path = folder / f"{name}.log"
        log = self.log_path.open("a")
        self.process = subprocess.Popen(
            [sys.executable, "-m", program, str(self._settings_path)],
            cwd=ROOT,
            stdout=log,
            stderr=log,
        )

    def is_serving(self):
        """Return whether the host says that it is ready."""
        request = b"GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        try:
            with socket.create_connection((self.address[0], 8081), 1.0) as caller:
                caller.sendall(request)
                return read_to_end(caller).status == 200
        except OSError:
            return False

    def change_settings(self, **changes):
        """Replace the settings file; the process notices by itself."""
        new_path = self._settings_path.with_suffix(".new")
        new_path.write_text(json.dumps({**self._settings, **changes}))
        new_path.rename(self._settings_path)

    def stop(self):
        """Send SIGTERM and note its time."""
        self.process.send_signal(signal.SIGTERM)
        self.stopped_at = time.monotonic()

    def kill_after_grace(self):
        """Kill the process at the end of the grace, as the platform does."""
        remaining_seconds = self.stopped_at + STOP_SECONDS - time.monotonic()
        try:
            self.process.wait(max(remaining_seconds, 0.0))
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def send(
        self,
        request_id,
        *,
        head_at,
        last_byte_at,
        method="POST",
        path="/order/1",
        length=2,
        headers="",
        ends_at=None,
    ):
        """Send a request whose head and last byte leave at set times after SIGTERM.

        Its deadline is at ``ends_at``, or the usual time after its head.
        """
        deadline_seconds = None if ends_at is None else ends_at - head_at
        head = make_head(request_id, method, path, length, headers, deadline_seconds)
        self._sleep_until(head_at)
        with socket.create_connection(self.address, 1.0) as caller:
            caller.settimeout(DEADLINE_SECONDS + 2.0)
            caller.sendall(head + b"x" * (length - 1))
            self._sleep_until(last_byte_at)
            caller.sendall(b"y")
            return request_id, read_to_end(caller)

    def _sleep_until(self, after_stop):
        time.sleep(max(self.stopped_at + after_stop - time.monotonic(), 0.0))


@contextmanager
def run_host_processes(folder, *, count=1, slots, work_seconds):
    """Run a store, a target and hosts that serve; yield the hosts and the target."""
    store = StoreService()
    store_service = Service(
        address=f"127.0.0.1:{PORT}", handler=store.handle, threads=8
    )
    store_service.start()
    target = WorkingTarget(
        name="i-0", port=PORT + 1, slots=slots, work_seconds=work_seconds, store=store
    )
    store.put(OPERATOR, "config", make_configuration(timeoutSeconds=DEADLINE_SECONDS))
    store.put(TARGETS, target.name, target.make_registration())
    hosts = [
        HostProcess(number=number, folder=folder, store_address=store_service.address)
        for number in range(1, count + 1)
    ]
    try:
        for host in hosts:
            assert wait_until(host.is_serving, START_SECONDS)
        time.sleep(SETTLE_SECONDS)
        yield hosts, target
    finally:
        for host in hosts:
            host.process.kill()
            host.process.wait()
        target.service.stop()
        store_service.stop()
