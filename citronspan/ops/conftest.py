"""Fixtures: an entry in a thread, with targets that follow scripts."""

import contextlib
import itertools
import socket
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
from citronspan.ops.peers.peer_link import PeerLink
from citronspan_standins.raw_caller import CallerResponse, read_to_end
from citronspan_standins.scripted_targets import (
    EMPTY_ANSWER,
    ScriptedTargets,
    TargetScript,
    find_free_addresses,
)

TEST_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.01
SHORT_DEADLINE_SECONDS = 0.4
DEADLINE_SECONDS = 5.0
LONG_DEADLINE_SECONDS = 60.0
DEFAULT_SERVICE = ServiceSpec(retry_ratio=1.0)


def make_resources(targets, service=DEFAULT_SERVICE):
    def route(prefix, **options):
        spec = RouteSpec(
            path_prefix=f"/{prefix}", service="s", request_kind=prefix, **options
        )
        return Resource(kind=Kind.ROUTE, name=prefix, spec=spec)

    resources = [
        Resource(kind=Kind.SERVICE, name="s", spec=service),
        route("read", idempotent=True, deadline_seconds=DEADLINE_SECONDS),
        route("once", idempotent=True, deadline_seconds=1.0, maximum_attempts=1),
        route("write", deadline_seconds=DEADLINE_SECONDS),
        route("quick", deadline_seconds=SHORT_DEADLINE_SECONDS),
        route("long", deadline_seconds=LONG_DEADLINE_SECONDS),
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
    """Holds a running entry, its targets and the link that stands for its agent."""

    settings: EntrySettings
    agent: PeerLink
    targets: ScriptedTargets
    entry: Entry
    numbers: itertools.count = field(default_factory=itertools.count)

    def make_path(self, prefix):
        """Return a path that no other test case uses."""
        return f"/{prefix}/{next(self.numbers)}"

    def open(self):
        """Open a connection as a caller."""
        host, _, port = self.settings.callers_address.rpartition(":")
        return socket.create_connection((host, int(port)), timeout=TEST_TIMEOUT_SECONDS)

    def exchange(self, data, *, end_sending=False) -> CallerResponse:
        """Send bytes as a caller and read until the connection closes."""
        with self.open() as caller:
            with contextlib.suppress(OSError):
                caller.sendall(data)
                if end_sending:
                    caller.shutdown(socket.SHUT_WR)
            return read_to_end(caller)

    def request(self, method, path, *, body=b"", headers=""):
        """Send a well-formed request on a new connection."""
        head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{headers}"
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        return self.exchange(head.encode("latin-1") + b"\r\n" + body)


def push_configuration(agent, settings, targets, service=DEFAULT_SERVICE):
    resources = make_resources(targets, service)
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


@contextlib.contextmanager
def run_entry(*, service=DEFAULT_SERVICE, **settings_changes):
    """Run an entry of its own in a thread, with an agent and targets of the test."""
    callers, peer, agent_peer, metrics = find_free_addresses(4)
    settings = EntrySettings(
        place=NodeIdentity(name="host-1", region="r", data_centre="r-1"),
        callers_address=callers,
        peer_address=peer,
        agent_peer_address=agent_peer,
        metrics_address=metrics,
        leave_seconds=0.0,
        drain_seconds=2.0,
        log_level="ERROR",
        **settings_changes,
    )
    targets = ScriptedTargets()
    agent = PeerLink(fleet="citronspan", address=agent_peer, incarnation=1)
    entry = Entry(settings=settings)
    thread = threading.Thread(target=entry.run)
    thread.start()
    running = RunningEntry(settings=settings, agent=agent, targets=targets, entry=entry)
    running.targets.set_scripts("/read/first", TargetScript(parts=(EMPTY_ANSWER,)))
    deadline = time.monotonic() + TEST_TIMEOUT_SECONDS
    while running.request("GET", "/read/first").status != 200:
        assert time.monotonic() < deadline
        push_configuration(agent, settings, targets, service)
        time.sleep(POLL_SECONDS)
    try:
        yield running
    finally:
        entry.request_stop()
        thread.join(TEST_TIMEOUT_SECONDS)
        agent.close()
        targets.close()


@pytest.fixture(scope="module")
def running():
    with run_entry(worker_threads=32) as running:
        yield running
