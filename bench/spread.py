"""Time from accepted to in force at every agent, and what control costs a node.

Runs a log stand-in and agents as processes on loopback addresses 127.0.50.x, in two
regions. Per size: an idle phase, a phase at ten times the target's rate of change,
and a phase of single changes that every agent's watch is asked for. Run it alone:

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

from citronspan.core.config_record import ChangeRecord, encode_record
from citronspan.core.resources import Kind, Resource, ServiceSpec
from citronspan.ops.api_client import ApiClient

LOG_ADDRESS = "127.0.50.250:7000"
IDLE_SECONDS = 20.0
BUSY_CHANGES = 10
# 2,700 changes a day, ten times.
BUSY_PAUSE_SECONDS = 86_400 / 27_000
WATCHED_CHANGES = 20
WATCHED_PAUSE_SECONDS = 0.5
READY_SECONDS = 300.0
SEEDS = 3
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, kw_only=True)
class Cost:
    """What one phase cost, per node."""

    phase: str
    cpu_percent_mean: float
    cpu_percent_max: float
    sent_bytes_per_second_mean: float
    sent_bytes_per_second_max: float
    sent_messages_per_second_mean: float
    rss_mb_mean: float
    rss_mb_max: float


@dataclass(frozen=True, kw_only=True)
class Milliseconds:
    """Quantiles."""

    p50: float
    p99: float
    max: float


@dataclass(frozen=True, kw_only=True)
class Spread:
    """Times until a change is in force at an agent, from two beginnings."""

    samples: int
    from_asked: Milliseconds
    from_accepted: Milliseconds


@dataclass(frozen=True, kw_only=True)
class Result:
    """Figures of one size."""

    agents: int
    resources: int
    load_average: float
    ready_seconds: float
    spread: Spread
    costs: tuple[Cost, ...]


class Fleet:
    """The processes of one run."""

    def __init__(self, *, size: int, directory: Path):
        self.size = size
        self._directory = directory
        self._processes = []
        self.agents = []

    def start_log(self):
        """Start the log and wait until it answers."""
        self._spawn(["citronspan_standins.main", "log", LOG_ADDRESS], "log")
        wait_until(lambda: is_up(f"http://{LOG_ADDRESS}/records?from=0&limit=1"))

    def start_agents(self):
        """Start the agents and wait until each knows all of them."""
        for number in range(1, self.size + 1):
            path = self._directory / f"n{number}.json"
            path.write_text(json.dumps(make_settings(number)))
            name = f"n{number}"
            process = self._spawn(["citronspan.scripts.agent", str(path)], name)
            self.agents.append((number, process))
        for number in range(1, self.size + 1):
            wait_until(lambda number=number: is_complete(number, self.size))

    def stop(self):
        """End every process that was started."""
        for process in self._processes:
            process.send_signal(signal.SIGTERM)
        for process in self._processes:
            process.wait(timeout=30)

    def _spawn(self, arguments, name):
        log = (self._directory / f"{name}.log").open("w")
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments], stdout=log, stderr=log
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
        "seeds": [f"127.0.50.{seed}:7100" for seed in range(1, SEEDS + 1)],
    }


def connect(number):
    return ApiClient(address=f"127.0.50.{number}:7200")


def wait_until(condition, seconds=READY_SECONDS):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError("the fleet did not get ready")
        time.sleep(0.1)


def is_up(url):
    try:
        return urllib3.request("GET", url, retries=False, timeout=1.0).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def is_complete(number, size):
    try:
        status = connect(number).find_status()
    except Exception:
        return False
    return status.ready and len(status.nodes) == size


def fill_log(resources):
    """Append services, targets, routes and accounts in the target's proportion."""
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
    share = number / resources
    service = f"resource-{number % 81}.example"
    if number < 81:
        return Kind.SERVICE, {}
    if share < 0.2:
        return Kind.TARGET, {
            "service": service,
            "address": f"10.{number % 250}.{number // 250}.7:9000",
            "region": "r0",
            "dataCentre": "r0-1",
            "slots": 6,
        }
    if share < 0.5:
        return Kind.ROUTE, {
            "host": f"shop-{number}.example",
            "pathPrefix": f"/packs/{number}",
            "service": service,
            "requestKind": "browse",
        }
    return Kind.ACCOUNT, {"region": "r0", "requestsPerSecond": 20}


@dataclass(frozen=True, kw_only=True)
class Reading:
    """Counters of one agent at one time."""

    at: float
    cpu_seconds: float
    rss_mb: float
    sent_bytes: float
    sent_messages: float


def read_agent(number, process):
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{process.pid}/status").read_text()
    rss = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    metrics = urllib3.request("GET", f"http://127.0.50.{number}:7400/metrics").data
    value_by_name = {
        line.split()[0]: float(line.split()[1])
        for line in metrics.decode().splitlines()
        if not line.startswith("#")
    }
    return Reading(
        at=time.monotonic(),
        cpu_seconds=(int(fields[11]) + int(fields[12])) / CLOCK_TICKS,
        rss_mb=int(rss.split()[1]) / 1024,
        sent_bytes=value_by_name["citronspan_agent_peer_sent_bytes"],
        sent_messages=value_by_name["citronspan_agent_peer_sent_messages"],
    )


def measure_cost(phase, fleet, act):
    before = [read_agent(number, process) for number, process in fleet.agents]
    act()
    after = [read_agent(number, process) for number, process in fleet.agents]
    pairs = list(zip(before, after, strict=True))
    cpu = [
        100 * (late.cpu_seconds - early.cpu_seconds) / (late.at - early.at)
        for early, late in pairs
    ]
    sent = [
        (late.sent_bytes - early.sent_bytes) / (late.at - early.at)
        for early, late in pairs
    ]
    messages = [
        (late.sent_messages - early.sent_messages) / (late.at - early.at)
        for early, late in pairs
    ]
    rss = [late.rss_mb for late in after]
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


def change(fleet, number):
    """Accept one change at some agent; return its version, when asked and accepted."""
    asked_at = time.monotonic()
    resource = Resource(kind=Kind.SERVICE, name=f"changed-{number}", spec=ServiceSpec())
    answer = connect(random.randint(1, fleet.size)).put_resource(resource, version=-1)
    return answer.version, asked_at, time.monotonic()


def make_changes(fleet):
    for number in range(BUSY_CHANGES):
        change(fleet, number)
        time.sleep(BUSY_PAUSE_SECONDS)


def measure_spread(fleet):
    """Return times to in force, over all changes and agents."""
    seen_at = {}
    threads = []
    last = connect(1).find_status().offset + WATCHED_CHANGES - 1
    for number, _ in fleet.agents:
        arguments = [number, last, seen_at]
        thread = threading.Thread(target=note_changes, args=arguments, daemon=True)
        thread.start()
        threads.append(thread)
    time.sleep(2.0)
    times_by_version = {}
    for number in range(WATCHED_CHANGES):
        version, asked_at, accepted_at = change(fleet, 1000 + number)
        times_by_version[version] = asked_at, accepted_at
        time.sleep(WATCHED_PAUSE_SECONDS)
    for thread in threads:
        thread.join(30)
    samples = [
        (seen_at[number, version] - asked_at, seen_at[number, version] - accepted_at)
        for version, (asked_at, accepted_at) in times_by_version.items()
        for number, _ in fleet.agents
    ]
    return Spread(
        samples=len(samples),
        from_asked=summarise([asked for asked, _ in samples]),
        from_accepted=summarise([accepted for _, accepted in samples]),
    )


def summarise(seconds):
    """Return milliseconds; what was in force before it was told counts as 0."""
    milliseconds = sorted(max(0.0, 1000 * value) for value in seconds)
    return Milliseconds(
        p50=round(milliseconds[len(milliseconds) // 2], 1),
        p99=round(milliseconds[int(len(milliseconds) * 0.99)], 1),
        max=round(milliseconds[-1], 1),
    )


def note_changes(number, last, seen_at):
    client = connect(number)
    for line in client.watch(client.find_status().offset - 1):
        if line.type == "put":
            seen_at[number, line.version] = time.monotonic()
        if line.version >= last:
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
    """Runs the sizes that are named."""

    name = "run"
    description = "Measure the spreading of the configuration."
    arguments = [argument("sizes", "Numbers of agents.", multiple=True)]
    options = [
        option("json", None, "File for the results.", flag=False),
        option("resources", None, "Resources from the start.", flag=False, default="0"),
    ]

    def handle(self):
        """Run."""
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
