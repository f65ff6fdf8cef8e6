"""Rolls hosts from an earlier version to this one and back, under requests.

The earlier version is taken from the history of the repository.
"""

import json
import os
import random
import signal
import subprocess
import sys
import tarfile
import threading
import time
import urllib.request
from contextlib import contextmanager
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import pytest

from citronspan.core import log_events
from citronspan_standins.http_service import Service
from citronspan_standins.platform_test import (
    OPERATOR,
    REQUEST_ID,
    PlatformTarget,
    make_configuration,
)
from citronspan_standins.store_service import StoreService, wait_until

ROOT = Path(__file__).parents[1]
EARLIER_COMMITS = ("170e430", "6e7957e", "d6f77d1")
NETWORK = f"127.{64 + os.getpid() % 128}.41"
TARGET_PORT = 28_000 + os.getpid() % 20 * 100
HOSTS = 3
START_SECONDS = 30.0
STOP_SECONDS = 10.0
SETTLE_SECONDS = 1.0
CALLERS = 3
PAUSE_SECONDS = 0.03


@pytest.fixture(scope="module", params=EARLIER_COMMITS)
def earlier_root(tmp_path_factory, request):
    folder = tmp_path_factory.mktemp("earlier")
    archive = folder / "earlier.tar"
    command = ["git", "archive", "-o", str(archive), request.param, "citronspan"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    if done.returncode:
        pytest.fail(f"The history lacks {request.param}: {done.stderr.strip()}")
    with tarfile.open(archive) as tar:
        tar.extractall(folder, filter="data")
    return folder


class Fleet:
    """Hosts of either version on loopback addresses, and callers of them.

    Attributes:
        statuses: Status of each answer, 0 for a connection that ended without one.
        order_ids: Ids of the requests that may run once only and were answered 200.
    """

    def __init__(self, *, folder, store_address):
        self.statuses: list[int] = []
        self.order_ids: list[str] = []
        self._folder = folder
        self._store_address = store_address
        self._process_by_number: dict[int, subprocess.Popen] = {}
        self._open_numbers: set[int] = set()
        self._is_ended = threading.Event()
        self._lock = threading.Lock()

    def start(self, number, root):
        path = self._folder / f"host-{number}.json"
        path.write_text(json.dumps(self._make_settings(number)))
        log = (self._folder / f"host-{number}.log").open("a")
        self._process_by_number[number] = subprocess.Popen(
            [sys.executable, "-m", "citronspan.scripts.host", str(path)],
            cwd=root,
            env={**os.environ, "PYTHONPATH": str(root)},
            stdout=log,
            stderr=log,
        )
        assert wait_until(lambda: self._is_ready(number), START_SECONDS)
        time.sleep(SETTLE_SECONDS)
        with self._lock:
            self._open_numbers.add(number)

    def stop(self, number):
        # Callers that ask the directory no longer get a host that leaves.
        with self._lock:
            self._open_numbers.discard(number)
        process = self._process_by_number[number]
        process.send_signal(signal.SIGTERM)
        assert process.wait(STOP_SECONDS) == 0

    def end(self):
        self._is_ended.set()
        for process in self._process_by_number.values():
            process.kill()
            process.wait(STOP_SECONDS)

    def call_forever(self, seed):
        draw = random.Random(seed)
        count = 0
        while not self._is_ended.wait(PAUSE_SECONDS):
            with self._lock:
                number = draw.choice(sorted(self._open_numbers))
            count += 1
            self._call(number, f"id-{seed}-{count}", is_order=draw.random() < 0.5)

    def _call(self, number, request_id, *, is_order):
        connection = HTTPConnection(f"{NETWORK}.{number}", 8080, timeout=10)
        headers = {
            "Host": "shop.example",
            REQUEST_ID: request_id,
            "X-Citronspan-Deadline-Ms": "2500",
        }
        method, path = ("POST", "/order/1") if is_order else ("GET", "/read/1")
        status = 0
        try:
            connection.request(method, path, headers=headers)
            answer = connection.getresponse()
            answer.read()
            status = answer.status
        except (OSError, HTTPException) as error:
            print(f"{request_id} at host {number}: {error!r}")
        finally:
            connection.close()
        if self._is_ended.is_set():
            return
        with self._lock:
            self.statuses.append(status)
            if is_order and status == 200:
                self.order_ids.append(request_id)

    def find_log_lines(self, numbers):
        """Return the lines of all hosts whose event has one of the numbers."""
        found = []
        for path in sorted(self._folder.glob("host-*.log")):
            for line in path.read_text().splitlines():
                if line.startswith("{") and json.loads(line).get("number") in numbers:
                    found.append(line)
        return found

    def _is_ready(self, number):
        try:
            url = f"http://{NETWORK}.{number}:8081/readiness"
            return urllib.request.urlopen(url, timeout=5).status == 200
        except OSError:
            return False

    def _make_settings(self, number):
        address = f"{NETWORK}.{number}"
        seeds = [f"{NETWORK}.{other}:8083" for other in range(1, HOSTS + 1)]
        return {
            "place": {"name": f"host-{number}", "region": "r", "dataCentre": "a"},
            "address": address,
            "callersAddress": f"{address}:8080",
            "readinessAddress": f"{address}:8081",
            "directoryAddress": f"{address}:8082",
            "apiAddress": f"{address}:8083",
            "peerPorts": [7540, 7555],
            "metricsPort": 8084,
            "seedApiAddresses": seeds,
            "regionByDataCentre": {"a": "r"},
            "storeAddress": self._store_address,
            "stopSeconds": 3.0,
            "serviceRules": {"retrySlack": 20, "retryRatio": 0.2},
        }


@contextmanager
def run_targets(store):
    targets = [
        PlatformTarget(name=f"i-{number}", port=TARGET_PORT + number)
        for number in range(4)
    ]
    try:
        for target in targets:
            target.register(store)
        yield targets
    finally:
        for target in targets:
            target.service.stop()


def test_callers_notice_that_hosts_of_two_versions_run_together(earlier_root, tmp_path):
    store = StoreService()
    address = f"127.0.0.1:{TARGET_PORT + 50}"
    store_service = Service(address=address, handler=store.handle, threads=16)
    store_service.start()
    store.put(OPERATOR, "config", make_configuration())
    with run_targets(store) as targets:
        fleet = Fleet(folder=tmp_path, store_address=address)
        threads = [
            threading.Thread(target=fleet.call_forever, args=[seed], daemon=True)
            for seed in range(CALLERS)
        ]
        try:
            numbers = range(1, HOSTS + 1)
            for number in numbers:
                fleet.start(number, earlier_root)
            for thread in threads:
                thread.start()
            for root in (ROOT, earlier_root):
                for number in numbers:
                    fleet.stop(number)
                    fleet.start(number, root)
        finally:
            fleet.end()
            for thread in threads:
                thread.join(STOP_SECONDS)
            store_service.stop()
        runs = [request_id for target in targets for request_id in target.ran]
    assert len(fleet.statuses) > 100
    assert set(fleet.statuses) == {200}
    for request_id in fleet.order_ids:
        assert runs.count(request_id) == 1
    not_understood = (log_events.MESSAGE_DROPPED, log_events.BACKGROUND_TASK_FAILED)
    assert fleet.find_log_lines({event.number for event in not_understood}) == []
