"""While both keepers of an account are down, all other hosts admit requests alone."""

import itertools
import json
import random
import sys
import threading
import time
from pathlib import Path

from lab import (
    CannotRunError,
    Connection,
    Lab,
    Record,
    make_configuration,
    make_route,
    run_case,
)

REGION_BY_ZONE = {
    "cant-a": "cantabrico",
    "cant-b": "cantabrico",
    "ebro-a": "ebro",
    "ebro-b": "ebro",
}
HOSTS_PER_ZONE = 4
SEEDS = [1, 2, 3]

WINDOW_SECONDS = 5
EXCESS = 0.1
SLACK = 20
RATE_PER_SECOND = 1
BURST = 2
LIMIT = (RATE_PER_SECOND * WINDOW_SECONDS + BURST) * (1 + EXCESS) + SLACK

TENANT = "casa-norte"
KEY = "rjvz48wuakn2ftimaj3n"
REQUESTS_PER_SECOND = 32.0
"""What the tenant sends, far above its quota, at all times."""

DOWN_SECONDS = 3.5
CALM_SECONDS = 6.0
STEADY_SECONDS = 6.0
CLIENTS_PER_ZONE = 16
KEEP_SECONDS = 5.0
LAST_SECONDS = 3.0


def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the tenant stayed within its quota."""
    lab = Lab(
        record=record,
        region_by_zone=REGION_BY_ZONE,
        quotaRules={"windowSeconds": WINDOW_SECONDS, "excess": EXCESS, "slack": SLACK},
    )
    try:
        return _play(lab, has_trouble)
    finally:
        lab.close()


def _play(lab, has_trouble):
    tenant = {
        "name": TENANT,
        "keys": [KEY],
        "priority": 0,
        "requestsPerSecond": RATE_PER_SECOND,
        "burstRequests": BURST,
    }
    route = make_route("ficha", "idempotent", "fichas", public=False)
    lab.write_configuration(make_configuration(7, [route], accounts=[tenant]))
    for zone in ("cant-a", "ebro-a"):
        lab.add_backend("fichas", zone, slots=32)
    for _ in range(HOSTS_PER_ZONE):
        for zone in REGION_BY_ZONE:
            lab.add_host(zone, SEEDS)
    lab.start_hosts()
    # Hosts that have all just started lend by rules of their own for some seconds.
    time.sleep(CALM_SECONDS)
    clients = Clients(lab)
    clients.start()
    time.sleep(STEADY_SECONDS)
    keepers = _find_keepers(lab)
    lab.record.add(f"keepers of {TENANT}: {', '.join(host.name for host in keepers)}")
    if has_trouble:
        for host in keepers:
            host.kill()
        time.sleep(DOWN_SECONDS)
        for host in keepers:
            host.start()
    else:
        time.sleep(DOWN_SECONDS)
    time.sleep(LAST_SECONDS)
    clients.stop()
    return _judge(lab, clients)


def _find_keepers(lab):
    """Return the keepers that hosts name where they refuse the tenant's requests."""
    host_by_ip = {host.ip: host for host in lab.hosts}
    for host in lab.hosts:
        for line in host.log_path.read_text().splitlines():
            if '"keepers"' not in line:
                continue
            addresses = json.loads(line)["keepers"]
            ips = {address.rpartition(":")[0] for address in addresses}
            return [host_by_ip[ip] for ip in sorted(ips)]
    raise CannotRunError("no host names the keepers")


class Clients:
    """The tenant's clients, some in each zone, which ask the directory where to go.

    Attributes:
        sent_at_by_id: When each request was sent.
    """

    def __init__(self, lab):
        """Create clients that send nothing yet."""
        self.sent_at_by_id: dict[str, float] = {}
        self._lab = lab
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(zone, number))
            for zone in REGION_BY_ZONE
            for number in range(CLIENTS_PER_ZONE)
        ]

    def start(self):
        """Let all clients begin."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Let all clients end."""
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def _run(self, zone, number):
        draw = random.Random(f"{zone}-{number}")
        pause_seconds = len(self._threads) / REQUESTS_PER_SECOND
        next_at = time.monotonic() + draw.random() * pause_seconds
        addresses = []
        asked_at = float("-inf")
        for count in itertools.count():
            if self._is_over.wait(max(next_at - time.monotonic(), 0.0)):
                return
            next_at += pause_seconds
            if time.monotonic() - asked_at > KEEP_SECONDS:
                addresses = self._look_up(zone, draw) or addresses
                asked_at = time.monotonic()
            self._send(f"{zone}-{number}-{count}", addresses, draw)

    def _look_up(self, zone, draw):
        near = [host for host in self._lab.hosts if host.zone == zone]
        for host in draw.sample(near, 3):
            try:
                return host.look_up(zone, REGION_BY_ZONE[zone])
            except (OSError, ValueError, KeyError):
                # Ignored: the next host is asked.
                continue
        return []

    def _send(self, request_id, addresses, draw):
        for address in draw.sample(addresses, len(addresses)):
            try:
                connection = Connection(address, self._lab.record)
            except OSError:
                # Ignored: another address is tried.
                continue
            exchange = connection.request(
                request_id=request_id,
                path="/ficha/1",
                seconds=6.0,
                headers=f"Authorization: Bearer {KEY}\r\n",
            )
            self.sent_at_by_id[request_id] = exchange.sent_at
            connection.close()
            return


def _judge(lab, clients):
    runs = sorted(
        (run["at"], clients.sent_at_by_id[run["id"]])
        for backend in lab.backends
        for run in backend.ran
        if run["id"] in clients.sent_at_by_id
    )
    if not runs:
        raise CannotRunError("no request was run")
    most = 0
    most_at = 0.0
    for end, _ in runs:
        start = end - WINDOW_SECONDS
        count = sum(1 for at, sent_at in runs if sent_at >= start and at <= end)
        if count > most:
            most, most_at = count, start
    lab.record.add(
        f"most requests of {TENANT} sent and run in {WINDOW_SECONDS} s: {most}, from "
        f"{most_at - lab.record.started_at:.2f} s on; the quota allows {LIMIT:.1f}"
    )
    return most <= LIMIT


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
