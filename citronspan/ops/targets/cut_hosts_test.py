"""Tests that hosts which reach no target serve their callers nearly as others do."""

import contextlib
import http.client
import http.server
import itertools
import os
import random
import socket
import threading
import time

import pytest
import urllib3.exceptions

from citronspan.core.node_messages import ConfigurationPush, NodeInfo, ViewPush
from citronspan.core.resources import (
    Detection,
    Kind,
    Resource,
    RouteSpec,
    ServiceSpec,
    TargetSpec,
    encode_resource,
)
from citronspan.core.settings import EntrySettings, NodeIdentity
from citronspan.ops.entry import Entry
from citronspan.ops.peers.peer_link import PeerLink
from citronspan.ops.targets.target_connector import DirectConnector

HOSTS = 36
TARGETS = 6
REGIONS = ("r-1", "r-2")
CALLERS = 24
CALLER_PAUSE_SECONDS = 0.1
DEADLINE_SECONDS = 3.0
WORK_SECONDS = 0.05
REQUESTS_PER_CONNECTION = 3
# The bound as users state it: from some seconds after the cut began, at least this part
# of the share that the other hosts serve.
NOTICE_SECONDS = 4.0
MEASURED_SECONDS = 3.0
LEAST_RELATIVE_SHARE = 2 / 3
SPEC = ServiceSpec(
    detection=Detection.FAILURE_EPISODES,
    floor=0.7,
    retry_ratio=0.2,
    retry_slack=58,
    retry_window_seconds=10.0,
)
# Concurrent runs of the suite on one machine need different addresses.
NETWORK = f"127.{64 + os.getpid() % 128}"


class Partition:
    """Cuts hosts off from all targets, as the network of a site may.

    Attributes:
        mode: What happens to connections: ``hang``, ``end`` (open ones end, new ones
            are refused) or ``keep`` (open ones live on, new ones are refused).
    """

    def __init__(self):
        self.mode = ""
        self._hosts = frozenset()
        self._host_by_address = {}
        self._socket_by_address = {}

    def begin(self, hosts, mode):
        self.mode = mode
        self._hosts = frozenset(hosts)
        if mode != "end":
            return
        for address, sock in list(self._socket_by_address.items()):
            if self._host_by_address.get(address) in self._hosts:
                end_connection(sock)

    def end(self):
        self._hosts = frozenset()

    def is_cut(self, host):
        return host in self._hosts

    def add_connection(self, address, host):
        self._host_by_address[address] = host

    def add_accepted(self, address, sock):
        self._socket_by_address[address] = sock

    def wait_while_silent(self, address):
        """Hold a request that the network would not have delivered."""
        while self.mode == "hang" and self.is_cut(self._host_by_address.get(address)):
            time.sleep(0.05)


class PartitionedConnector(DirectConnector):
    """Connector of one host, whose connects fail while the host is cut off."""

    def __init__(self, *, partition, host):
        self._partition = partition
        self._host = host

    def connect(self, address, timeout_seconds):
        if self._partition.is_cut(self._host):
            if self._partition.mode != "hang":
                raise urllib3.exceptions.NewConnectionError(None, "refused")
            time.sleep(timeout_seconds)
            raise urllib3.exceptions.ConnectTimeoutError(None, "timed out")
        connection = super().connect(address, timeout_seconds)
        self._partition.add_connection(connection.sock.getsockname(), self._host)
        return connection


class TargetHandler(http.server.BaseHTTPRequestHandler):
    """Answers each request with 200 and its path."""

    protocol_version = "HTTP/1.1"
    partition = None

    def setup(self):
        super().setup()
        self.partition.add_accepted(self.client_address, self.connection)

    def do_GET(self):
        self.partition.wait_while_silent(self.client_address)
        time.sleep(WORK_SECONDS)
        body = self.path.encode()
        self.send_response(200)
        if int(self.path.rpartition("/")[2]) % REQUESTS_PER_CONNECTION == 0:
            self.send_header("Connection", "close")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self):
        self.do_GET()

    def log_message(self, *args):
        """Write nothing."""


class QuietServer(http.server.ThreadingHTTPServer):
    """Server whose connections may be reset at any time."""

    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        """Write nothing."""


class EntryFleet:
    """Entries of 36 hosts in two regions, with targets and callers."""

    def __init__(self):
        self.partition = Partition()
        self.servers = [self._start_target() for _ in range(TARGETS)]
        self.settings_by_host = {
            f"h-{number}": make_settings(number) for number in range(HOSTS)
        }
        self.entries = [
            Entry(
                settings=settings,
                connector=PartitionedConnector(partition=self.partition, host=host),
            )
            for host, settings in self.settings_by_host.items()
        ]
        self._threads = [threading.Thread(target=e.run) for e in self.entries]
        for thread in self._threads:
            thread.start()
        self._agent = PeerLink(
            fleet="citronspan", address=f"{NETWORK}.99.1:7000", incarnation=1
        )
        self._results = []
        self._is_ended = threading.Event()
        self._numbers = itertools.count()

    def configure(self):
        """Push view and configuration until all entries serve."""
        nodes = tuple(
            make_node(settings) for settings in self.settings_by_host.values()
        )
        resources = make_resources([server.server_address for server in self.servers])
        push = ConfigurationPush(
            base_offset=0,
            offset=len(resources),
            changed=tuple(encode_resource(resource) for resource in resources),
        )
        deadline = time.monotonic() + 20.0
        while any(entry.state != "serving" for entry in self.entries):
            assert time.monotonic() < deadline
            for settings in self.settings_by_host.values():
                self._agent.send(
                    settings.peer_address, ViewPush(sequence=1, nodes=nodes)
                )
                self._agent.send(settings.peer_address, push)
            time.sleep(0.5)

    def start_callers(self):
        for number in range(CALLERS):
            threading.Thread(target=self._call, args=(number,), daemon=True).start()

    def count_served(self, hosts, since):
        """Return the served and all first tries at some hosts since a time."""
        served = [
            ok for at, host, ok in list(self._results) if host in hosts and at >= since
        ]
        return sum(served), len(served)

    def close(self):
        self._is_ended.set()
        self.partition.end()
        for entry in self.entries:
            entry.request_stop()
        for thread in self._threads:
            thread.join(10.0)
        self._agent.close()
        for server in self.servers:
            server.shutdown()
            server.server_close()

    def _start_target(self):
        handler = type("Handler", (TargetHandler,), {"partition": self.partition})
        server = QuietServer(("127.0.0.1", 0), handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    def _call(self, seed):
        draw = random.Random(seed)
        hosts = list(self.settings_by_host)
        while not self._is_ended.wait(CALLER_PAUSE_SECONDS * draw.random()):
            host = draw.choice(hosts)
            started_at = time.monotonic()
            served = self._send_request(host, draw.choice(["GET", "POST"]))
            self._results.append((started_at, host, served))

    def _send_request(self, host, method):
        """Send a request as a caller; return whether the whole answer came."""
        address = self.settings_by_host[host].callers_address
        path = f"/{'read' if method == 'GET' else 'write'}/{next(self._numbers)}"
        caller = http.client.HTTPConnection(address, timeout=DEADLINE_SECONDS + 1)
        try:
            caller.request(method, path, headers={"Host": "h"})
            answer = caller.getresponse()
            return answer.status == 200 and answer.read() == path.encode()
        except OSError:
            return False
        finally:
            caller.close()


def end_connection(sock):
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def make_settings(number):
    address = f"{NETWORK}.98.{number + 1}"
    return EntrySettings(
        place=NodeIdentity(
            name=f"h-{number}",
            region=REGIONS[number % 2],
            data_centre=f"{REGIONS[number % 2]}-{number // 2 % 2}",
        ),
        callers_address=f"{address}:7001",
        peer_address=f"{address}:7002",
        agent_peer_address=f"{NETWORK}.99.1:7000",
        metrics_address=f"{address}:7003",
        relay_address=f"{address}:7004",
        worker_threads=8,
        leave_seconds=0.0,
        drain_seconds=1.0,
        reuse_seconds=5.0,
        log_level="ERROR",
    )


def make_node(settings):
    return NodeInfo(
        name=settings.place.name,
        incarnation=1,
        region=settings.place.region,
        data_centre=settings.place.data_centre,
        agent_peer_address=settings.agent_peer_address,
        entry_peer_address=settings.peer_address,
        entry_callers_address=settings.callers_address,
        api_address="127.0.0.1:1",
        entry_state="serving",
        offset=1,
        entry_relay_address=settings.relay_address,
    )


def make_resources(target_addresses):
    specs = [(Kind.SERVICE, "s", SPEC)]
    for number, (host, port) in enumerate(target_addresses):
        spec = TargetSpec(
            service="s",
            address=f"{host}:{port}",
            region=REGIONS[number % 2],
            data_centre=f"{REGIONS[number % 2]}-0",
            slots=20,
        )
        specs.append((Kind.TARGET, f"t-{number}", spec))
    for name, idempotent in (("read", True), ("write", False)):
        spec = RouteSpec(
            host="h",
            path_prefix=f"/{name}",
            request_kind=name,
            maximum_attempts=2,
            service="s",
            idempotent=idempotent,
            deadline_seconds=DEADLINE_SECONDS,
        )
        specs.append((Kind.ROUTE, name, spec))
    return [
        Resource(kind=kind, name=name, spec=spec, version=number)
        for number, (kind, name, spec) in enumerate(specs)
    ]


@pytest.fixture(scope="module")
def fleet():
    fleet = EntryFleet()
    try:
        fleet.configure()
        fleet.start_callers()
        time.sleep(2.0)
        yield fleet
    finally:
        fleet.close()


# Twelve hosts of both regions, and all hosts of one data centre but two.
CUTS = {
    "some": [f"h-{number}" for number in range(12)],
    "data centre": [f"h-{number}" for number in range(0, HOSTS, 4)][:-2],
}


@pytest.mark.parametrize("mode", ["hang", "end", "keep"])
@pytest.mark.parametrize("cut", CUTS)
def test_callers_of_hosts_that_reach_no_target_are_not_refused(fleet, cut, mode):
    hosts = set(CUTS[cut])
    others = set(fleet.settings_by_host) - hosts
    time.sleep(1.0)
    fleet.partition.begin(hosts, mode)
    try:
        time.sleep(NOTICE_SECONDS)
        since = time.monotonic()
        time.sleep(MEASURED_SECONDS)
        served, count = fleet.count_served(hosts, since)
        other_served, other_count = fleet.count_served(others, since)
    finally:
        fleet.partition.end()
    assert other_served >= 0.9 * other_count > 0
    assert count > 0
    assert served / count >= LEAST_RELATIVE_SHARE * other_served / other_count
