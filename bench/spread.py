"""Measures the propagation time of configuration changes and their cost per node.

The propagation time is the time from the acceptance of a change until it is in force at
every agent. A stand-in for the log and the agents run as processes on the loopback
addresses 127.0.50.x, in two regions. Each size has an idle phase, a phase with ten
times the expected rate of changes, and a phase with single changes that are watched at
every agent. Run nothing else on the machine at the same time.

    python -m bench.spread 8 16 32 64 --json spread.json
    python -m bench.spread 8 --resources 20281
"""

import json
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import msgspec
import urllib3
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argv_input import ArgvInput

from citronspan.core.configuration.config_record import ChangeRecord, encode_record
from citronspan.core.resources import Kind, Resource, ServiceSpec
from citronspan.ops.operators.api_client import ApiClient

LOG_ADDRESS = "127.0.50.250:7000"
IDLE_SECONDS = 20.0
BUSY_CHANGES = 10
# Ten times 2,700 changes per day.
BUSY_INTERVAL_SECONDS = 86_400 / 27_000
WATCHED_CHANGES = 20
WATCHED_INTERVAL_SECONDS = 0.5
READY_TIMEOUT_SECONDS = 300.0
SEED_NODES = 3
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, kw_only=True)
class Cost:
    """Resource usage per node in one phase."""

    phase: str
    cpu_percent_mean: float
    cpu_percent_max: float
    sent_bytes_per_second_mean: float
    sent_bytes_per_second_max: float
    sent_messages_per_second_mean: float
    rss_mb_mean: float
    rss_mb_max: float


@dataclass(frozen=True, kw_only=True)
class TimePercentiles:
    """Percentiles and maximum of times in milliseconds."""

    p50: float
    p99: float
    max: float


@dataclass(frozen=True, kw_only=True)
class PropagationTimes:
    """Times until a change is in force at an agent.

    Attributes:
        samples: Number of pairs of a change and an agent.
        from_asked: Times since the change was sent.
        from_accepted: Times since the answer that accepted the change.
    """

    samples: int
    from_asked: TimePercentiles
    from_accepted: TimePercentiles


@dataclass(frozen=True, kw_only=True)
class Result:
    """Results for one number of agents."""

    agents: int
    resources: int
    load_average: float
    ready_seconds: float
    spread: PropagationTimes
    costs: tuple[Cost, ...]


class Fleet:
    """The processes of one run."""

    def __init__(self, *, size: int, directory: Path):
        self.size = size
        self._directory = directory
        self._processes = []
        self.agents = []

    def start_log(self):
        """Start the log stand-in and wait until it answers."""
        self._spawn(["citronspan_standins.main", "log", LOG_ADDRESS], "log")
        wait_until(lambda: is_up(f"http://{LOG_ADDRESS}/records?from=0&limit=1"))

    def start_agents(self):
        """Start the agents and wait until each is ready and lists all of them."""
        for number in range(1, self.size + 1):
            path = self._directory / f"n{number}.json"
            path.write_text(json.dumps(make_settings(number)))
            name = f"n{number}"
            process = self._spawn(["citronspan.scripts.agent", str(path)], name)
            self.agents.append((number, process))
        for number in range(1, self.size + 1):
            wait_until(lambda number=number: is_ready(number, self.size))

    def stop(self):
        """Stop every started process and wait for its end."""
        for process in self._processes:
            process.send_signal(signal.SIGTERM)
        for process in self._processes:
            process.wait(timeout=30)

    def _spawn(self, arguments, name):
        log_file = (self._directory / f"{name}.log").open("w")
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments], stdout=log_file, stderr=log_file
        )
        self._processes.append(process)
        return process


def make_settings(number):
    ip = f"127.0.50.{number}"
    return {
        "place": {
            "name": f"n{number}",
            "region": f"r{number % 2}",
            "dataCentre": f"r{number % 2}-{number % 4}",
        },
        "peerAddress": f"{ip}:7100",
        "apiAddress": f"{ip}:7200",
        "entryPeerAddress": f"{ip}:7300",
        "entryCallersAddress": f"{ip}:8080",
        "metricsAddress": f"{ip}:7400",
        "logUrl": f"http://{LOG_ADDRESS}",
        "seeds": [f"127.0.50.{seed}:7100" for seed in range(1, SEED_NODES + 1)],
    }


def connect(number):
    return ApiClient(address=f"127.0.50.{number}:7200")


def wait_until(condition, seconds=READY_TIMEOUT_SECONDS):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError("the fleet was not ready in time")
        time.sleep(0.1)


def is_up(url):
    try:
        return urllib3.request("GET", url, retries=False, timeout=1.0).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def is_ready(number, size):
    try:
        status = connect(number).find_status()
    except Exception:
        return False
    return status.ready and len(status.nodes) == size


def fill_log(resources):
    """Append services, targets, routes and accounts in the expected proportions."""
    pool = urllib3.PoolManager()
    for number in range(resources):
        kind, spec = make_spec(number, resources)
        record = ChangeRecord(
            change_id=f"fill-{number:08}",
            kind=kind,
            name=f"resource-{number}.example",
            expected_version=-1,
            seen_offset=number,
            spec=msgspec.Raw(json.dumps(spec).encode()),
            author="bench",
            at_seconds=int(time.time()),
        )
        pool.request(
            "POST", f"http://{LOG_ADDRESS}/records", body=encode_record(record)
        )


def make_spec(number, resources):
    position = number / resources
    service = f"resource-{number % 81}.example"
    if number < 81:
        return Kind.SERVICE, {}
    if position < 0.2:
        return Kind.TARGET, {
            "service": service,
            "address": f"10.{number % 250}.{number // 250}.7:9000",
            "region": "r0",
            "dataCentre": "r0-1",
            "slots": 6,
        }
    if position < 0.5:
        return Kind.ROUTE, {
            "host": f"shop-{number}.example",
            "pathPrefix": f"/packs/{number}",
            "service": service,
            "requestKind": "browse",
        }
    return Kind.ACCOUNT, {"region": "r0", "requestsPerSecond": 20}


@dataclass(frozen=True, kw_only=True)
class AgentUsage:
    """Resource counters of one agent at one time."""

    at: float
    cpu_seconds: float
    rss_mb: float
    sent_bytes: float
    sent_messages: float


def read_usage(number, process):
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{process.pid}/status").read_text()
    rss = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    metrics = urllib3.request("GET", f"http://127.0.50.{number}:7400/metrics").data
    value_by_name = {
        line.split()[0]: float(line.split()[1])
        for line in metrics.decode().splitlines()
        if not line.startswith("#")
    }
    return AgentUsage(
        at=time.monotonic(),
        cpu_seconds=(int(fields[11]) + int(fields[12])) / CLOCK_TICKS,
        rss_mb=int(rss.split()[1]) / 1024,
        sent_bytes=value_by_name["citronspan_agent_peer_sent_bytes"],
        sent_messages=value_by_name["citronspan_agent_peer_sent_messages"],
    )


def measure_cost(phase, fleet, run_phase):
    """Run one phase and measure the resource usage of every agent during it."""
    before = [read_usage(number, process) for number, process in fleet.agents]
    run_phase()
    after = [read_usage(number, process) for number, process in fleet.agents]
    pairs = list(zip(before, after, strict=True))
    cpu = [
        100 * (end.cpu_seconds - start.cpu_seconds) / (end.at - start.at)
        for start, end in pairs
    ]
    sent = [
        (end.sent_bytes - start.sent_bytes) / (end.at - start.at)
        for start, end in pairs
    ]
    messages = [
        (end.sent_messages - start.sent_messages) / (end.at - start.at)
        for start, end in pairs
    ]
    rss = [end.rss_mb for end in after]
    return Cost(
        phase=phase,
        cpu_percent_mean=round(statistics.mean(cpu), 2),
        cpu_percent_max=round(max(cpu), 2),
        sent_bytes_per_second_mean=round(statistics.mean(sent)),
        sent_bytes_per_second_max=round(max(sent)),
        sent_messages_per_second_mean=round(statistics.mean(messages), 1),
        rss_mb_mean=round(statistics.mean(rss), 1),
        rss_mb_max=round(max(rss), 1),
    )


def make_change(fleet, number):
    """Make one change at a random agent.

    Returns:
        Version of the change, and the times at which it was sent and accepted.
    """
    asked_at = time.monotonic()
    resource = Resource(kind=Kind.SERVICE, name=f"changed-{number}", spec=ServiceSpec())
    answer = connect(random.randint(1, fleet.size)).put_resource(resource, version=-1)
    return answer.version, asked_at, time.monotonic()


def make_changes(fleet):
    for number in range(BUSY_CHANGES):
        make_change(fleet, number)
        time.sleep(BUSY_INTERVAL_SECONDS)


def measure_spread(fleet):
    """Measure the propagation times over all changes and agents."""
    in_force_at = {}
    threads = []
    last_version = connect(1).find_status().offset + WATCHED_CHANGES - 1
    for number, _ in fleet.agents:
        arguments = [number, last_version, in_force_at]
        thread = threading.Thread(target=watch_changes, args=arguments, daemon=True)
        thread.start()
        threads.append(thread)
    time.sleep(2.0)
    times_by_version = {}
    for number in range(WATCHED_CHANGES):
        version, asked_at, accepted_at = make_change(fleet, 1000 + number)
        times_by_version[version] = asked_at, accepted_at
        time.sleep(WATCHED_INTERVAL_SECONDS)
    for thread in threads:
        thread.join(30)
    samples = [
        (
            in_force_at[number, version] - asked_at,
            in_force_at[number, version] - accepted_at,
        )
        for version, (asked_at, accepted_at) in times_by_version.items()
        for number, _ in fleet.agents
    ]
    return PropagationTimes(
        samples=len(samples),
        from_asked=compute_percentiles([from_asked for from_asked, _ in samples]),
        from_accepted=compute_percentiles(
            [from_accepted for _, from_accepted in samples]
        ),
    )


def compute_percentiles(seconds):
    """Return the percentiles of times in milliseconds.

    A negative time counts as 0: the change was in force before its acceptance was
    reported.
    """
    milliseconds = sorted(max(0.0, 1000 * value) for value in seconds)
    return TimePercentiles(
        p50=round(milliseconds[len(milliseconds) // 2], 1),
        p99=round(milliseconds[int(len(milliseconds) * 0.99)], 1),
        max=round(milliseconds[-1], 1),
    )


def watch_changes(number, last_version, in_force_at):
    client = connect(number)
    for line in client.watch(client.find_status().offset - 1):
        if line.type == "put":
            in_force_at[number, line.version] = time.monotonic()
        if line.version >= last_version:
            return


def run_size(size, resources):
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(size=size, directory=Path(directory))
        try:
            fleet.start_log()
            fill_log(resources)
            began_at = time.monotonic()
            fleet.start_agents()
            ready_seconds = time.monotonic() - began_at
            time.sleep(5.0)
            idle = measure_cost("idle", fleet, lambda: time.sleep(IDLE_SECONDS))
            busy = measure_cost("ten times", fleet, lambda: make_changes(fleet))
            spread = measure_spread(fleet)
        finally:
            fleet.stop()
    return Result(
        agents=size,
        resources=resources,
        load_average=os.getloadavg()[0],
        ready_seconds=round(ready_seconds, 1),
        spread=spread,
        costs=(idle, busy),
    )


class SpreadCommand(Command):
    """Runs the measurement for the given numbers of agents."""

    name = "run"
    description = "Measure the propagation of configuration changes."
    arguments = [argument("sizes", "Numbers of agents.", multiple=True)]
    options = [
        option("json", None, "File for the results.", flag=False),
        option(
            "resources",
            None,
            "Resources in the log before the agents start.",
            flag=False,
            default="0",
        ),
    ]

    def handle(self):
        """Run the measurements, and print and write the results."""
        results = []
        for size in self.argument("sizes"):
            result = run_size(int(size), int(self.option("resources")))
            results.append(asdict(result))
            print(json.dumps(results[-1]), flush=True)
        if self.option("json"):
            Path(self.option("json")).write_text(json.dumps(results, indent=1) + "\n")
        return 0


def main():
    application = Application("spread")
    application.add(SpreadCommand())
    application.run(ArgvInput([sys.argv[0], "run", *sys.argv[1:]]))


if __name__ == "__main__":
    main()
