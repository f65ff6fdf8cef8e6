"""Tests that hosts in trouble heed what targets say of themselves in their answers.

The hosts are processes. The oracle is the two rules as the users wrote them, for each
host that takes requests, applied to what callers and targets saw.
"""

import json
import signal
import threading
import time
from contextlib import contextmanager
from http.client import HTTPConnection, HTTPException

import pytest

from citronspan.core import log_events
from citronspan.core.brokering.shards import ShardKey
from citronspan.utils.rendezvous import choose_member
from citronspan_standins.cut_off_host import CUT_SUFFIX
from citronspan_standins.host_processes import (
    HOST_PROGRAM,
    PORT,
    SETTLE_SECONDS,
    START_SECONDS,
    HostProcess,
)
from citronspan_standins.http_service import Service
from citronspan_standins.leaving_targets_test import (
    DRAIN_SECONDS,
    MAXIMUM_ARRIVALS,
    OVERLOAD_REQUESTS_PER_SECOND,
    PAUSE_SECONDS,
    SETTLING_SECONDS,
    WORK_SECONDS,
    TellingTarget,
    find_busiest,
)
from citronspan_standins.platform_test import (
    OPERATOR,
    REQUEST_ID,
    make_configuration,
)
from citronspan_standins.store_service import StoreService, wait_until

CUT_OFF_PROGRAM = "citronspan_standins.cut_off_host"
FIRST_TARGET_PORT = PORT + 20
REQUESTS_PER_SECOND = 60
DEADLINE_SECONDS = 2.5
WARM_SECONDS = 1.5
HOSTS_OF_A_LONE_ONE = 5
"""A host asks up to three brokers before it chooses alone."""

FREEZE_SECONDS = 0.3
SHARD_KEY = ShardKey(service="shop", region="r", number=0)
CUT_SECONDS = 5.0
"""Longest time until a host that is cut off is served by a relay."""


class Fleet:
    """Hosts as processes, targets, and callers that send to some of the hosts.

    Attributes:
        entrances: Hosts that get requests.
        host_by_id: Host that took each request.
        sent_at_by_id: When each request was sent.
        status_by_id: Status of each answer, 0 for none.
        passed_on_at: When each host first passed on that a target leaves.
    """

    def __init__(self, *, targets, hosts):
        self.targets = targets
        self.hosts = hosts
        self.entrances = list(hosts)
        self.host_by_id: dict[str, str] = {}
        self.sent_at_by_id: dict[str, float] = {}
        self.status_by_id: dict[str, int] = {}
        self.passed_on_at: dict[tuple[str, str], float] = {}
        self._lock = threading.Lock()

    def send_steadily(self, seconds, requests_per_second=REQUESTS_PER_SECOND):
        """Send reads and orders at a steady rate, to each entrance in turn."""
        first = len(self.sent_at_by_id)
        threads = []
        started_at = time.monotonic()
        for number in range(int(seconds * requests_per_second)):
            due_at = started_at + number / requests_per_second
            time.sleep(max(due_at - time.monotonic(), 0.0))
            host = self.entrances[number % len(self.entrances)]
            arguments = (host, f"id-{first + number}", number // 3 % 2 == 0)
            threads.append(threading.Thread(target=self._send, args=arguments))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _send(self, host, request_id, is_order):
        connection = HTTPConnection(*host.address, timeout=DEADLINE_SECONDS + 2.0)
        headers = {
            "Host": "shop.example",
            REQUEST_ID: request_id,
            "X-Citronspan-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
        }
        method, path = ("POST", "/order/1") if is_order else ("GET", "/read/1")
        with self._lock:
            self.host_by_id[request_id] = host.name
            self.sent_at_by_id[request_id] = time.monotonic()
        try:
            connection.request(method, path, headers=headers)
            answer = connection.getresponse()
            answer.read()
        except (OSError, HTTPException):
            self.status_by_id[request_id] = 0
            return
        finally:
            connection.close()
        self.status_by_id[request_id] = answer.status
        if answer.getheader("Server-Leaving"):
            name = answer.getheader("X-Citronspan-Backend-Signature").partition(".")[0]
            with self._lock:
                self.passed_on_at.setdefault((host.name, name), time.monotonic())

    def find_late_arrivals(self, target):
        """DRAIN: requests sent later than the drain time after their host knew."""
        late = []
        for arrival in target.arrivals:
            host = self.host_by_id.get(arrival.request_id)
            known_at = self.passed_on_at.get((host, target.name))
            if known_at is None:
                continue
            if self.sent_at_by_id[arrival.request_id] > known_at + DRAIN_SECONDS:
                late.append(arrival)
        return late

    def count_most_arrivals_in_a_pause(self, target):
        """BUDGET: most arrivals from a host after its refusal to the pause's end."""
        counts = [0]
        for host, refused_at in target.refusals:
            counts.append(
                sum(
                    refused_at + SETTLING_SECONDS
                    < arrival.at
                    < refused_at + PAUSE_SECONDS
                    for arrival in target.arrivals
                    if self.host_by_id.get(arrival.request_id) == host
                )
            )
        return max(counts)

    def count_served(self, start, end):
        """Return how many of the requests sent in a time were answered with 200."""
        return sum(
            self.status_by_id.get(request_id) == 200
            for request_id, sent_at in self.sent_at_by_id.items()
            if start <= sent_at < end
        )

    def leave_one(self, requests_per_second):
        """Let the busiest target say that it leaves; send until it must be left."""
        leaving = find_busiest(self)
        leaving.is_leaving = True
        self.send_steadily(DRAIN_SECONDS + 2.5, requests_per_second)
        assert {name for _, name in self.passed_on_at} == {leaving.name}
        assert self.find_late_arrivals(leaving) == []

    def pause_one(self, requests_per_second):
        """Let the busiest target refuse for some time; send until that is over."""
        pausing = find_busiest(self)
        pausing.pause_seconds = PAUSE_SECONDS
        self.send_steadily(PAUSE_SECONDS + 2.0, requests_per_second)
        assert pausing.refusals
        assert self.count_most_arrivals_in_a_pause(pausing) <= MAXIMUM_ARRIVALS


class NotingTarget(TellingTarget):
    """A target that notes which host it has refused, and when.

    Attributes:
        refusals: Name of the host and time of each refusal.
        fleet: Tells which host took a request.
    """

    def __init__(self, *, name, port):
        self.refusals: list[tuple[str, float]] = []
        self.fleet: Fleet | None = None
        super().__init__(name=name, port=port)

    def handle(self, exchange):
        """Answer as the switches say; see ``TellingTarget``."""
        is_refusing = bool(self.pause_seconds)
        super().handle(exchange)
        host = self.fleet.host_by_id.get(exchange.get_header(REQUEST_ID))
        if is_refusing and host:
            self.refusals.append((host, time.monotonic()))


@contextmanager
def run_fleet(folder, *, target_count, data_centres, first_program=HOST_PROGRAM):
    """Run a store, targets in data centre ``a`` and one host in each data centre."""
    store = StoreService()
    store_service = Service(
        address=f"127.0.0.1:{PORT}", handler=store.handle, threads=16
    )
    store_service.start()
    targets = [
        NotingTarget(name=f"i-{number}", port=FIRST_TARGET_PORT + number)
        for number in range(target_count)
    ]
    store.put(OPERATOR, "config", make_configuration())
    for target in targets:
        target.register(store)
    hosts = []
    for number, data_centre in enumerate(data_centres, start=1):
        hosts.append(
            HostProcess(
                number=number,
                folder=folder,
                store_address=store_service.address,
                data_centre=data_centre,
                program=first_program if number == 1 else HOST_PROGRAM,
            )
        )
    try:
        for host in hosts:
            assert wait_until(host.is_serving, START_SECONDS)
        time.sleep(SETTLE_SECONDS)
        fleet = Fleet(targets=targets, hosts=hosts)
        for target in targets:
            target.fleet = fleet
        yield fleet
    finally:
        for host in hosts:
            host.process.kill()
            host.process.wait()
        for target in targets:
            target.service.stop()
        store_service.stop()


def read_log(host):
    """Return the lines of a host's log."""
    texts = host.log_path.read_text().splitlines()
    return [json.loads(text) for text in texts if text.startswith("{")]


def has_logged(host, event):
    """Return whether a host's log has a line of an event."""
    return any(line.get("number") == event.number for line in read_log(host))


def has_chosen_alone(host):
    """Return whether a host has sent a request for which no broker gave a slot."""
    return any(line.get("broker") == "" for line in read_log(host))


def freeze_all_but_one(fleet):
    """Freeze all hosts but the one that is the last to be asked as a broker."""
    names = [host.name for host in fleet.hosts]
    while len(names) > 1:
        names.remove(choose_member(names, SHARD_KEY.format()))
    (lone,) = [host for host in fleet.hosts if host.name in names]
    for host in fleet.hosts:
        if host is not lone:
            host.process.send_signal(signal.SIGSTOP)
    # A grant under way would be the last one that is asked for.
    time.sleep(FREEZE_SECONDS)
    fleet.entrances = [lone]
    return lone


@pytest.mark.parametrize("act", [Fleet.leave_one, Fleet.pause_one])
@pytest.mark.parametrize("target_count", [2, 4])
def test_loaded_hosts_send_requests_to_a_target_that_wants_none(
    tmp_path, act, target_count
):
    data_centres = ("a", "a", "a")
    with run_fleet(
        tmp_path, target_count=target_count, data_centres=data_centres
    ) as fleet:
        for target in fleet.targets:
            target.work_seconds = WORK_SECONDS
        load = OVERLOAD_REQUESTS_PER_SECOND * target_count / 2
        fleet.send_steadily(WARM_SECONDS, load)
        act(fleet, load)


@pytest.mark.parametrize("act", [Fleet.leave_one, Fleet.pause_one])
@pytest.mark.parametrize("target_count", [1, 4])
def test_host_without_brokers_sends_requests_to_a_target_that_wants_none(
    tmp_path, act, target_count
):
    data_centres = ("a",) * HOSTS_OF_A_LONE_ONE
    with run_fleet(
        tmp_path, target_count=target_count, data_centres=data_centres
    ) as fleet:
        fleet.send_steadily(WARM_SECONDS)
        lone = freeze_all_but_one(fleet)
        act(fleet, REQUESTS_PER_SECOND)
        assert has_logged(lone, log_events.BROKER_UNREACHABLE)
        assert has_chosen_alone(lone)


@pytest.mark.parametrize("act", [Fleet.leave_one, Fleet.pause_one])
@pytest.mark.parametrize("target_count", [1, 4])
def test_relayed_requests_reach_a_target_that_wants_none(tmp_path, act, target_count):
    with run_fleet(
        tmp_path,
        target_count=target_count,
        data_centres=("a", "b", "b"),
        first_program=CUT_OFF_PROGRAM,
    ) as fleet:
        fleet.entrances = fleet.hosts[:1]
        fleet.send_steadily(WARM_SECONDS)
        (tmp_path / f"{fleet.hosts[0].name}{CUT_SUFFIX}").touch()
        relayed_at = wait_for_relay(fleet)
        fleet.send_steadily(WARM_SECONDS)
        assert fleet.count_served(relayed_at, time.monotonic())
        act(fleet, REQUESTS_PER_SECOND)


def wait_for_relay(fleet):
    """Send until requests are served in a cut; return the time."""
    until = time.monotonic() + CUT_SECONDS
    while time.monotonic() < until:
        started_at = time.monotonic()
        fleet.send_steadily(0.2)
        served = fleet.count_served(started_at, time.monotonic())
        if served and has_logged(fleet.hosts[0], log_events.TARGETS_UNREACHABLE):
            return time.monotonic()
    pytest.fail("No relay serves the host that is cut off.")
