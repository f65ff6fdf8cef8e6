"""Measures the latency that one entry adds, and the costs of idle processes.

Starts the fleet of the demonstration (four hosts, three targets) on loopback and sends
``GET`` requests in an open loop over persistent connections. In one run, blocks of
requests sent directly to a target alternate with blocks sent through the entry of host
1. The latency of a request counts from its scheduled time, so that it includes stalls.
Prints a table, or JSON with ``--json``.

    python -m bench.hop [--json] [--seconds 20] [--idle-seconds 20]
"""

import contextlib
import http.client
import math
import os
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
import urllib3
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput

from citronspan.core.settings import Exporter, Tracing
from citronspan_standins import fleet as fleets
from citronspan_standins.demo_checks import (
    Demo,
    check_apply,
    check_directory,
    check_in_force,
    check_ready,
)
from citronspan_standins.fleet import Fleet
from citronspan_standins.fleet_processes import FleetProcesses

RATES_PER_SECOND = (83, 150, 300)
BLOCK_SECONDS = 1.0
CLIENT_THREADS = 24
TARGET_SWITCHES = '{"slots": 64, "serviceSeconds": 0.002, "serviceSigma": 0.2}'
WARM_UP_REQUESTS = 300
REQUEST_TIMEOUT_SECONDS = 5.0
PATH = "/packs/42?bytes=2000"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ProcessUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Resource usage of one process.

    Attributes:
        cpu_seconds: Processor time since the start of the process.
        rss_bytes: Current resident memory.
    """

    cpu_seconds: float
    rss_bytes: int


class HopRow(msgspec.Struct, frozen=True, kw_only=True):
    """Results at one rate.

    Attributes:
        tracing: Whether the entries export spans.
        rate_per_second: Rate of requests, directly and through the entry.
        requests: Number of requests through the entry.
        failed: Number of these that got no complete answer with status 200.
        bare_p50_ms: Median latency of requests sent directly to the target.
        bare_p99_ms: Their 99th percentile.
        entry_p50_ms: Median latency of requests sent through the entry.
        entry_p99_ms: Their 99th percentile.
        added_p50_ms: Difference of the two medians.
        added_p99_ms: Difference of the two 99th percentiles.
        entry_cpu_ms_per_request: Processor time of the entry per request.
        entry_core_share: Processor time of the entry as a share of one core.
        entry_rss_mb: Resident memory of the entry.
        agent_rss_mb: Resident memory of the agent.
    """

    tracing: bool
    rate_per_second: int
    requests: int
    failed: int
    bare_p50_ms: float
    bare_p99_ms: float
    entry_p50_ms: float
    entry_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    entry_cpu_ms_per_request: float
    entry_core_share: float
    entry_rss_mb: float
    agent_rss_mb: float


class IdleRow(msgspec.Struct, frozen=True, kw_only=True):
    """Resource usage of one process without requests.

    Attributes:
        process: Name of the process.
        core_share: Processor time as a share of one core.
        rss_mb: Resident memory.
        peer_bytes_per_second: Bytes exchanged with other processes of the fleet.
    """

    process: str
    core_share: float
    rss_mb: float
    peer_bytes_per_second: float


class HopReport(msgspec.Struct, frozen=True, kw_only=True):
    """All results of one run."""

    rows: tuple[HopRow, ...]
    idle: tuple[IdleRow, ...]


@dataclass(frozen=True, kw_only=True)
class RunningFleet:
    """A fleet and its running processes."""

    fleet: Fleet
    processes: FleetProcesses


@contextlib.contextmanager
def run_fleet(*, tracing: bool):
    """Run the fleet of the demonstration.

    Args:
        tracing: Whether entries record every span and export it to the console.

    Yields:
        The running fleet with its configuration in force.
    """
    with tempfile.TemporaryDirectory(prefix="citronspan-bench-") as directory:
        fleet = fleets.find_free_fleet(Path(directory))
        fleets.write_files(fleet)
        for host in fleet.hosts:
            write_entry_settings(fleet, host, tracing=tracing)
        processes = FleetProcesses(
            fleet=fleet, processes=fleets.list_processes(fleet, TARGET_SWITCHES)
        )
        try:
            processes.start_all()
            demo = Demo(fleet=fleet)
            for check in (check_ready, check_apply, check_in_force, check_directory):
                check(demo)
            yield RunningFleet(fleet=fleet, processes=processes)
        finally:
            processes.end_all()


def write_entry_settings(fleet, host, *, tracing):
    settings = fleets.make_entry_settings(host)
    exporter = Exporter.CONSOLE if tracing else Exporter.NONE
    settings = msgspec.structs.replace(settings, tracing=Tracing(exporter=exporter))
    path = fleet.directory / f"{host.name}-entry.json"
    path.write_bytes(msgspec.json.encode(settings))


class OpenLoop:
    """Sends requests at scheduled times, over one persistent connection per thread."""

    def __init__(self, *, address: str):
        self._address = address
        self._lock = threading.Lock()
        self._local = threading.local()
        self._latencies: list[float] = []
        self._failed = 0
        self._next_number = 0

    def run_block(self, *, count: int, rate: float) -> tuple[list[float], int]:
        """Send a block of requests.

        Args:
            count: Number of requests.
            rate: Requests per second.

        Returns:
            Latencies in seconds of the requests that got a complete answer with status
            200, and the number of the other requests.
        """
        self._latencies, self._failed, self._next_number = [], 0, 0
        begin = time.monotonic() + 0.02
        threads = [
            threading.Thread(target=self._send_requests, args=(begin, count, rate))
            for _ in range(CLIENT_THREADS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self._latencies, self._failed

    def _send_requests(self, begin, count, rate):
        connection = http.client.HTTPConnection(
            self._address, timeout=REQUEST_TIMEOUT_SECONDS
        )
        with contextlib.closing(connection):
            while True:
                with self._lock:
                    number = self._next_number
                    self._next_number += 1
                if number >= count:
                    return
                due_at = begin + number / rate
                time.sleep(max(due_at - time.monotonic(), 0.0))
                self._send(connection, due_at)

    def _send(self, connection, due_at):
        try:
            connection.request("GET", PATH)
            answer = connection.getresponse()
            is_complete = answer.status == 200 and len(answer.read()) == 2000
        except (OSError, http.client.HTTPException):
            connection.close()
            is_complete = False
        seconds = time.monotonic() - due_at
        with self._lock:
            if is_complete:
                self._latencies.append(seconds)
            else:
                self._failed += 1


def read_usage(running: RunningFleet, name: str) -> ProcessUsage:
    """Read the resource usage of a process from /proc."""
    pid = running.processes.find_process_id(name)
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessUsage(
        cpu_seconds=(int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND,
        rss_bytes=pages * PAGE_BYTES,
    )


def read_peer_bytes(running: RunningFleet, name: str) -> float:
    """Read the bytes that a process exchanged with peers from its metrics."""
    host_name, _, role = name.rpartition("-")
    host = next(host for host in running.fleet.hosts if host.name == host_name)
    port = fleets.ENTRY_METRICS_PORT if role == "entry" else fleets.AGENT_METRICS_PORT
    text = urllib3.request("GET", f"http://{host.get_address(port)}/metrics").data
    total = 0.0
    for line in text.decode().splitlines():
        metric, _, value = line.partition(" ")
        if metric.endswith(("peer_sent_bytes", "peer_received_bytes")):
            total += float(value)
    return total


def compute_percentile(values: list[float], share: float) -> float:
    """Return a percentile of latencies in milliseconds.

    Args:
        values: Latencies in seconds.
        share: The percentile, from 0 to 1.

    Returns:
        The percentile, NaN if there are no values.
    """
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)] * 1000


def measure_rate(running, *, rate, seconds, tracing) -> HopRow:
    """Measure one rate in alternating blocks without and with the entry.

    Args:
        running: The running fleet.
        rate: Requests per second.
        seconds: Total length of the blocks of each kind.
        tracing: Whether the entries of the fleet trace.

    Returns:
        The results.
    """
    fleet = running.fleet
    bare = OpenLoop(address=fleet.target_address_by_name["shop-1"])
    entry_address = fleet.hosts[0].get_address(fleets.CALLERS_PORT)
    entry = OpenLoop(address=entry_address)
    entry.run_block(count=WARM_UP_REQUESTS, rate=rate)
    bare_seconds: list[float] = []
    entry_seconds: list[float] = []
    failed = 0
    cpu_seconds = 0.0
    count = int(rate * BLOCK_SECONDS)
    for _ in range(int(seconds / BLOCK_SECONDS)):
        bare_seconds += bare.run_block(count=count, rate=rate)[0]
        before = read_usage(running, "host-1-entry")
        block_seconds, block_failed = entry.run_block(count=count, rate=rate)
        after = read_usage(running, "host-1-entry")
        entry_seconds += block_seconds
        failed += block_failed
        cpu_seconds += after.cpu_seconds - before.cpu_seconds
    requests = len(entry_seconds) + failed
    bare_p50, entry_p50 = (
        compute_percentile(v, 0.5) for v in (bare_seconds, entry_seconds)
    )
    bare_p99, entry_p99 = (
        compute_percentile(v, 0.99) for v in (bare_seconds, entry_seconds)
    )
    return HopRow(
        tracing=tracing,
        rate_per_second=rate,
        requests=requests,
        failed=failed,
        bare_p50_ms=bare_p50,
        bare_p99_ms=bare_p99,
        entry_p50_ms=entry_p50,
        entry_p99_ms=entry_p99,
        added_p50_ms=entry_p50 - bare_p50,
        added_p99_ms=entry_p99 - bare_p99,
        entry_cpu_ms_per_request=cpu_seconds / requests * 1000,
        entry_core_share=cpu_seconds / seconds,
        entry_rss_mb=read_usage(running, "host-1-entry").rss_bytes / 1e6,
        agent_rss_mb=read_usage(running, "host-1-agent").rss_bytes / 1e6,
    )


def measure_idle(running, seconds) -> list[IdleRow]:
    """Measure the entry and the agent of host 1 without requests."""
    names = ("host-1-entry", "host-1-agent")
    first_usage_by_name = {name: read_usage(running, name) for name in names}
    peer_bytes_by_name = {name: read_peer_bytes(running, name) for name in names}
    time.sleep(seconds)
    rows = []
    for name, first_usage in first_usage_by_name.items():
        last_usage = read_usage(running, name)
        peer_bytes = read_peer_bytes(running, name) - peer_bytes_by_name[name]
        rows.append(
            IdleRow(
                process=name,
                core_share=(last_usage.cpu_seconds - first_usage.cpu_seconds) / seconds,
                rss_mb=last_usage.rss_bytes / 1e6,
                peer_bytes_per_second=peer_bytes / seconds,
            )
        )
    return rows


def measure(*, seconds: float, idle_seconds: float) -> HopReport:
    """Run all measurements, with tracing off and on."""
    rows: list[HopRow] = []
    idle: list[IdleRow] = []
    for tracing in (False, True):
        with run_fleet(tracing=tracing) as running:
            if not tracing:
                idle = measure_idle(running, idle_seconds)
            for rate in RATES_PER_SECOND:
                row = measure_rate(running, rate=rate, seconds=seconds, tracing=tracing)
                rows.append(row)
    return HopReport(rows=tuple(rows), idle=tuple(idle))


def format_table(items) -> str:
    """Return structs of one type as a table."""
    names = items[0].__struct_fields__
    lines = [" | ".join(names)]
    for item in items:
        values = [getattr(item, name) for name in names]
        texts = [f"{v:.3f}" if isinstance(v, float) else str(v) for v in values]
        lines.append(" | ".join(texts))
    return "\n".join(lines)


class HopCommand(Command):
    """Runs the measurement."""

    name = "hop"
    description = (
        "Measure the latency that an entry adds and the costs of idle processes."
    )
    options = [
        option("json", None, "Print JSON instead of tables."),
        option(
            "seconds", None, "Seconds for each rate and path.", flag=False, default="20"
        ),
        option(
            "idle-seconds", None, "Seconds without requests.", flag=False, default="20"
        ),
    ]

    def handle(self) -> int:
        """Run the measurements and print the report."""
        report = measure(
            seconds=float(self.option("seconds")),
            idle_seconds=float(self.option("idle-seconds")),
        )
        if self.option("json"):
            print(msgspec.json.encode(report).decode())
            return 0
        print(format_table(report.idle))
        print(format_table(report.rows))
        return 0


def main() -> int:
    application = Application("hop", "0.1.0")
    application.add(HopCommand())
    return application.run(ArgvInput([sys.argv[0], HopCommand.name, *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
