"""Measures what one host costs at the state of fleets of several sizes.

Starts one host process with the stand-in of the store, tells it of the members of a
fleet, and reads its threads, descriptors and memory from the system: idle, with as many
requests at work as callers send at once, and idle again. The members exist as records
only. Prints a table, or JSON with ``--json``.

    python -m bench.footprint [SIZE ...] [--json]
"""

import argparse
import http.client
import json
import os
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from dataclasses import dataclass
from pathlib import Path

import msgspec

from citronspan.core.membership.member_messages import (
    MemberRecord,
    MemberStatus,
    MemberSync,
)
from citronspan.core.node_messages import NodeInfo
from citronspan.ops.peers.peer_link import PeerLink
from citronspan_standins.http_service import Service
from citronspan_standins.store_service import StoreService, wait_until

DEFAULT_SIZES = (32, 100, 293, 470)
TARGETS_PER_HOST = 1.64
FIRST_PORT = 17_000
DATA_CENTRES = ("a", "b", "c", "d")
SETTLE_SECONDS = 3.0
BURST_REQUESTS = 80
"""Requests at once; more than the entry's maximum of threads for callers."""

REQUEST_SECONDS = 1.0
IDLE_SECONDS = 7.0
"""Time after a burst by which idle threads have ended."""

IMPORTS = (
    "",
    "msgspec",
    "pynng",
    "cheroot.server",
    "urllib3",
    "logbook",
    "prometheus_client",
    "opentelemetry.sdk.trace",
)
"""Libraries of a host, measured one by one."""

HOST_MODULE = "citronspan.scripts.host"


class Footprint(msgspec.Struct, frozen=True, kw_only=True):
    """What a process holds at one moment.

    Attributes:
        threads: Number of threads.
        descriptors: Number of open file descriptors.
        rss_mb: Resident memory.
        private_mb: Resident memory that it shares with no file, such as a library.
    """

    threads: int
    descriptors: int
    rss_mb: float
    private_mb: float


class FootprintRow(msgspec.Struct, frozen=True, kw_only=True):
    """What one host costs at the state of one size.

    Attributes:
        hosts: Number of members that the host knows.
        targets: Number of targets in its configuration.
        start_seconds: Time from its start until it is ready.
        idle: Without requests.
        busy: With ``BURST_REQUESTS`` requests at work.
        refused: How many of these were refused with 503.
        after: After ``IDLE_SECONDS`` without requests.
    """

    hosts: int
    targets: int
    start_seconds: float
    idle: Footprint
    busy: Footprint
    refused: int
    after: Footprint


class ImportRow(msgspec.Struct, frozen=True, kw_only=True):
    """Memory of a bare process that has imported one module.

    Attributes:
        module: Name of the module, empty for none.
        rss_mb: Resident memory.
    """

    module: str
    rss_mb: float


class FootprintReport(msgspec.Struct, frozen=True, kw_only=True):
    """All results of one run."""

    rows: tuple[FootprintRow, ...]
    imports: tuple[ImportRow, ...]


@dataclass(frozen=True, kw_only=True)
class SlowTarget:
    """A target that takes ``REQUEST_SECONDS`` for each request.

    Attributes:
        name: Its name, which requests state as the expected one.
    """

    name: str

    def handle(self, exchange) -> None:
        """Answer one request after a while."""
        b"".join(exchange.read_body())
        time.sleep(REQUEST_SECONDS)
        request_id = exchange.get_header("X-Citronspan-Request-Id") or ""
        headers = (
            ("X-Citronspan-Backend-Signature", "s"),
            ("X-Citronspan-Request-Id", request_id),
        )
        exchange.answer(200, b"done", headers)


def read_footprint(pid: int) -> Footprint:
    """Return what a process holds now."""
    status = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        key, _, value = line.partition(":")
        status[key] = value.split()
    return Footprint(
        threads=int(status["Threads"][0]),
        descriptors=len(os.listdir(f"/proc/{pid}/fd")),
        rss_mb=round(int(status["VmRSS"][0]) / 1024, 1),
        private_mb=round(int(status["RssAnon"][0]) / 1024, 1),
    )


def make_configuration() -> bytes:
    """Return a configuration of one service and one route."""
    route = {
        "name": "read",
        "host": "shop.example",
        "pathPrefix": "/read/",
        "kind": "idempotent",
        "timeoutSeconds": 5,
        "latencyGoalSeconds": 3,
        "priority": 1,
        "service": "shop",
        "maximumAttempts": 2,
    }
    services = [{"name": "shop", "healthPath": "/healthz"}]
    content = {"version": 1, "routes": [route], "services": services}
    return json.dumps({**content, "limits": {"headerBytes": 16384}}).encode()


def make_registration(number: int, address: str) -> bytes:
    """Return what a target says of itself."""
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    info = {"service": "shop", "version": "v1", "slots": 6, "dataCentre": data_centre}
    status = {"state": "ready", "sequence": 1, "warmUpSeconds": 0}
    content = {"address": address, "info": info, "status": status}
    return json.dumps({**content, "born": 1_790_000_000_000}).encode()


def make_member(number: int) -> MemberRecord:
    """Return the record of a member that serves but cannot be reached."""
    address = f"127.9.{number // 250}.{number % 250 + 1}"
    node = NodeInfo(
        name=f"host-{number:04d}",
        incarnation=int(time.time() * 1000),
        region="r",
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        agent_peer_address=f"{address}:7401",
        entry_peer_address=f"{address}:7400",
        entry_callers_address=f"{address}:8080",
        api_address=f"{address}:8000",
        entry_state="serving",
        entry_incarnation=1,
    )
    return MemberRecord(node=node, revision=1, status=MemberStatus.ALIVE)


def make_settings(port: int, store_address: str) -> dict:
    """Return the settings of the host."""
    names = ("callersAddress", "readinessAddress", "directoryAddress", "apiAddress")
    addresses = [f"127.0.0.1:{port + number}" for number in range(4)]
    return {
        "place": {"name": "host-x", "region": "r", "dataCentre": "a"},
        "address": "127.0.0.1",
        "peerPorts": [port + 10, port + 19],
        "regionByDataCentre": dict.fromkeys(DATA_CENTRES, "r"),
        "storeAddress": store_address,
        "metricsPort": port + 4,
        **dict(zip(names, addresses, strict=True)),
    }


def is_ready(address: str) -> bool:
    """Return whether the host says that it is ready."""
    try:
        return urllib.request.urlopen(f"http://{address}/readiness").status == 200
    except OSError:
        # Ignored: a host that starts does not listen yet.
        return False


def tell_members(agent_address: str, port: int, hosts: int) -> None:
    """Send a host the records of a fleet."""
    link = PeerLink(fleet="citronspan", address=f"127.0.0.1:{port}", incarnation=1)
    records = tuple(make_member(number) for number in range(hosts))
    wait_until(lambda: link.is_connected(agent_address))
    link.send(agent_address, MemberSync(records=records))
    time.sleep(0.5)
    link.close()


def send_request(address: str, number: int, statuses: list[int]) -> None:
    """Send one request and note the status of its answer."""
    connection = http.client.HTTPConnection(address, timeout=20)
    headers = {
        "Host": "shop.example",
        "X-Citronspan-Request-Id": f"id-{number}",
        "X-Citronspan-Deadline-Ms": "10000",
    }
    connection.request("GET", "/read/1", headers=headers)
    statuses.append(connection.getresponse().status)
    connection.close()


def measure_burst(pid: int, address: str) -> tuple[Footprint, int]:
    """Send ``BURST_REQUESTS`` requests at once.

    Returns:
        The largest of several readings, and the number of requests answered with 503.
    """
    statuses: list[int] = []
    threads = [
        threading.Thread(target=send_request, args=(address, number, statuses))
        for number in range(BURST_REQUESTS)
    ]
    for thread in threads:
        thread.start()
    readings = []
    while any(thread.is_alive() for thread in threads):
        readings.append(read_footprint(pid))
        time.sleep(0.1)
    largest = max(readings, key=lambda reading: (reading.threads, reading.rss_mb))
    return largest, statuses.count(503)


def measure_host(hosts: int, port: int, folder: Path) -> FootprintRow:
    """Run one host at the state of a fleet of this size."""
    store = StoreService()
    store_service = Service(
        address=f"127.0.0.1:{port + 30}", handler=store.handle, threads=8
    )
    target = SlowTarget(name="i-0")
    target_service = Service(
        address=f"127.0.0.1:{port + 31}", handler=target.handle, threads=BURST_REQUESTS
    )
    store_service.start()
    target_service.start()
    targets = round(hosts * TARGETS_PER_HOST)
    store.put("keyed.op", "config", make_configuration())
    for number in range(targets):
        store.put(
            "keyed.servers",
            f"i-{number}",
            make_registration(number, target_service.address),
        )
    path = folder / f"settings-{hosts}.json"
    settings = make_settings(port, store_service.address)
    path.write_text(json.dumps(settings))
    log = (folder / f"host-{hosts}.log").open("w")
    started_at = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", HOST_MODULE, str(path)], stdout=log, stderr=log
    )
    try:
        assert wait_until(lambda: is_ready(settings["readinessAddress"]), 20)
        start_seconds = time.monotonic() - started_at
        tell_members(f"127.0.0.1:{port + 11}", port + 32, hosts)
        time.sleep(SETTLE_SECONDS)
        idle = read_footprint(process.pid)
        busy, refused = measure_burst(process.pid, settings["callersAddress"])
        time.sleep(IDLE_SECONDS)
        after = read_footprint(process.pid)
    finally:
        process.terminate()
        process.wait(20)
        log.close()
        target_service.stop()
        store_service.stop()
    return FootprintRow(
        hosts=hosts,
        targets=targets,
        start_seconds=round(start_seconds, 2),
        idle=idle,
        busy=busy,
        refused=refused,
        after=after,
    )


def measure_import(module: str) -> ImportRow:
    """Return the memory of a bare process that has imported a module."""
    code = f"import {module}" if module else ""
    code += "\nprint(open('/proc/self/status').read())"
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout
    line = next(line for line in output.splitlines() if line.startswith("VmRSS"))
    return ImportRow(module=module, rss_mb=round(int(line.split()[1]) / 1024, 1))


def format_report(report: FootprintReport) -> str:
    """Return the report as text."""
    lines = [
        "hosts targets start_s | idle: threads fds rss private | "
        "busy: threads fds rss private refused | after: threads fds rss private"
    ]
    for row in report.rows:
        readings = [
            f"{reading.threads:3d} {reading.descriptors:4d} "
            f"{reading.rss_mb:6.1f} {reading.private_mb:6.1f}"
            for reading in (row.idle, row.busy, row.after)
        ]
        readings[1] += f" {row.refused:3d}"
        head = f"{row.hosts:5d} {row.targets:7d} {row.start_seconds:7.2f}"
        lines.append(" | ".join((head, *readings)))
    for row in report.imports:
        lines.append(f"import {row.module or '(nothing)'}: {row.rss_mb} MB")
    return "\n".join(lines)


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description="Measures what one host costs.")
    parser.add_argument("sizes", nargs="*", type=int, default=list(DEFAULT_SIZES))
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        rows = [
            measure_host(hosts, FIRST_PORT + 100 * number, Path(folder))
            for number, hosts in enumerate(arguments.sizes)
        ]
    imports = [measure_import(module) for module in (*IMPORTS, HOST_MODULE)]
    report = FootprintReport(rows=tuple(rows), imports=tuple(imports))
    if arguments.json:
        print(msgspec.json.format(msgspec.json.encode(report), indent=1).decode())
        return
    print(format_report(report))


if __name__ == "__main__":
    main()
