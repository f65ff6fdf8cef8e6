"""Tests a host on the platform with stand-ins for the store, targets and callers."""

import json
import os
import threading
import time
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from http.client import HTTPConnection

import msgspec
import pytest

from citronspan.core.host_settings import HostSettings
from citronspan.core.settings import decode_settings
from citronspan.ops.store import feed_source
from citronspan.scripts.host import make_host
from citronspan_standins.http_service import Service
from citronspan_standins.store_service import StoreService, StoreSwitches, wait_until

OPERATOR = "keyed.op"
TARGETS = "keyed.servers"
# Test runs at the same time use different ports, all of them below the system's range
# of ephemeral ports.
FIRST_PORT = 10_000 + os.getpid() % 20 * 1000
REQUEST_ID = "X-Citronspan-Request-Id"
WORK_SECONDS = 1.6
"""More than half of the time that the callers of these tests have."""


def make_registration(address, *, state="ready", sequence=1, born=1_790_000_000_000):
    return json.dumps(
        {
            "address": address,
            "info": {"service": "shop", "version": "v1", "dataCentre": "a", "slots": 4},
            "status": {"state": state, "sequence": sequence, "warmUpSeconds": 0},
            "born": born,
        }
    ).encode()


class PlatformTarget:
    """A target that implements the platform's headers.

    Attributes:
        ran: Ids of the requests that ran.
        deadlines: Their deadline headers.
        mode: Simulated fault: well (none), sheds, stray (wrong request id), unsigned
            (no signature), fails, or works (for ``WORK_SECONDS``).
    """

    def __init__(self, *, name, port):
        self.name = name
        self.ran: list[str] = []
        self.deadlines: list[str] = []
        self.mode = "well"
        self.registrations = 0
        self.service = Service(
            address=f"127.0.0.1:{port}", handler=self.handle, threads=8
        )
        self.service.start()

    def handle(self, exchange):
        request_id = exchange.get_header(REQUEST_ID)
        body = b"".join(exchange.read_body())
        expected = exchange.get_header("X-Citronspan-Expected-Instance")
        id_header = (REQUEST_ID, request_id)
        if expected != self.name:
            exchange.answer(421, b"", (id_header,))
            return
        if self.mode == "sheds":
            exchange.answer(503, b"", (("X-Citronspan-Not-Executed", "1"), id_header))
            return
        self.ran.append(request_id)
        self.deadlines.append(exchange.get_header("X-Citronspan-Deadline-Ms"))
        if self.mode == "works":
            time.sleep(WORK_SECONDS)
        headers = (("X-Citronspan-Backend-Signature", "s"), (REQUEST_ID, request_id))
        if self.mode == "stray":
            headers = ((REQUEST_ID, "another"), headers[0])
        if self.mode == "unsigned":
            headers = headers[1:]
        if self.mode == "fails":
            exchange.answer(500, b"", headers)
            return
        exchange.answer(200, b"done " + body, headers)

    def register(self, store, *, state="ready"):
        self.registrations += 1
        value = make_registration(
            self.service.address, state=state, sequence=self.registrations
        )
        store.put(TARGETS, self.name, value)


def make_configuration(version=1, **changes):
    def route(name, kind):
        return {
            "name": name,
            "host": "shop.example",
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutSeconds": 3,
            "latencyGoalSeconds": 1,
            "priority": 1,
            "service": "shop",
            "maximumAttempts": 2,
            **changes,
        }

    return json.dumps(
        {
            "version": version,
            "routes": [route("read", "idempotent"), route("order", "non_idempotent")],
            "services": [{"name": "shop", "healthPath": "/healthz"}],
            "limits": {"headerBytes": 16384},
        }
    ).encode()


class RunningHost:
    """A running host with its store and two targets."""

    def __init__(self, *, store, targets, settings, host):
        self.store = store
        self.targets = targets
        self.settings = settings
        self.host = host
        self.numbers = iter(range(1_000_000))

    def send(self, path, *, method="GET", body=b""):
        """Send a request as a caller and return its id, status, headers and body."""
        request_id = f"id-{next(self.numbers)}"
        host, _, port = self.settings.callers_address.rpartition(":")
        connection = HTTPConnection(host, int(port), timeout=10)
        headers = {
            "Host": "shop.example",
            REQUEST_ID: request_id,
            "X-Citronspan-Deadline-Ms": "2500",
        }
        connection.request(method, path, body=body or None, headers=headers)
        answer = connection.getresponse()
        result = request_id, answer.status, dict(answer.getheaders()), answer.read()
        connection.close()
        return result

    def is_ready(self):
        try:
            url = f"http://{self.settings.readiness_address}/readiness"
            return urllib.request.urlopen(url, timeout=5).status == 200
        except OSError:
            return False

    def count_runs(self, request_id):
        return sum(target.ran.count(request_id) for target in self.targets)


@contextmanager
def run_host(number, *, configured=True, target_type=PlatformTarget, target_count=2):
    first_port = FIRST_PORT + 100 * number
    store = StoreService()
    store_service = Service(
        address=f"127.0.0.1:{first_port}", handler=store.handle, threads=8
    )
    store_service.start()
    targets = [
        target_type(name=f"i-{number}", port=first_port + 1 + number)
        for number in range(target_count)
    ]
    if configured:
        store.put(OPERATOR, "config", make_configuration())
    for target in targets:
        target.register(store)
    addresses = [f"127.0.0.1:{first_port + 10 + number}" for number in range(4)]
    names = ("callersAddress", "readinessAddress", "directoryAddress", "apiAddress")
    data = {
        "place": {"name": "host-1", "region": "r", "dataCentre": "a"},
        "address": "127.0.0.1",
        "peerPorts": [first_port + 20, first_port + 30],
        "regionByDataCentre": {"a": "r"},
        "storeAddress": store_service.address,
        "stopSeconds": 2.0,
        "serviceRules": {"retrySlack": 20, "retryRatio": 0.2},
        "workerThreads": 8,
        "metricsPort": first_port + 40,
        **dict(zip(names, addresses, strict=True)),
    }
    settings = decode_settings(msgspec.json.encode(data), HostSettings, path="test")
    host = make_host(settings)
    thread = threading.Thread(target=host.run)
    thread.start()
    running = RunningHost(store=store, targets=targets, settings=settings, host=host)
    try:
        if configured:
            assert wait_until(running.is_ready)
        yield running
    finally:
        host.request_stop()
        thread.join(10)
        assert not thread.is_alive()
        for target in targets:
            target.service.stop()
        store_service.stop()


@pytest.fixture(scope="module")
def running():
    with run_host(1) as running:
        yield running


@pytest.fixture(autouse=True)
def reset_target_modes(request):
    yield
    if "running" in request.fixturenames:
        for target in request.getfixturevalue("running").targets:
            target.mode = "well"


def test_request_is_forwarded_with_deadline_and_signature(running):
    request_id, status, headers, body = running.send("/order/1", method="POST")
    assert (status, body) == (200, b"done ")
    assert headers["X-Citronspan-Backend-Signature"] == "s"
    assert running.count_runs(request_id) == 1
    deadline = next(t.deadlines[-1] for t in running.targets if request_id in t.ran)
    assert 1500 < int(deadline) <= 2500


def test_only_idempotent_requests_are_retried_after_an_error(running):
    for target in running.targets:
        target.mode = "fails"
    request_id, status, headers, _ = running.send("/order/1", method="POST", body=b"x")
    assert (status, headers["X-Citronspan-Backend-Signature"]) == (500, "s")
    assert running.count_runs(request_id) == 1
    request_id, status, _, _ = running.send("/read/1")
    assert status == 500
    assert running.count_runs(request_id) == 2


def test_shed_request_is_refused_with_a_fractional_retry_after(running):
    for target in running.targets:
        target.mode = "sheds"
    request_id, status, headers, _ = running.send("/order/1", method="POST")
    assert status == 503
    assert 0 < float(headers["Retry-After"]) < 2.5
    assert running.count_runs(request_id) == 0


def test_answer_to_another_request_is_not_forwarded(running):
    for target in running.targets:
        target.mode = "stray"
    _, status, headers, _ = running.send("/order/1", method="POST")
    assert status in (502, 504)
    assert "X-Citronspan-Backend-Signature" not in headers


def test_success_without_the_targets_signature_is_forwarded(running):
    for target in running.targets:
        target.mode = "unsigned"
    request_id, status, headers, body = running.send("/order/1", method="POST")
    assert (status, b"done" in body) == (502, False)
    assert headers["Citronspan-Ran"] == "may-have-run"
    assert running.count_runs(request_id) == 1
    running.targets[0].mode = "well"
    for _ in range(6):
        _, status, headers, _ = running.send("/read/1")
        assert (status, headers["X-Citronspan-Backend-Signature"]) == (200, "s")


def test_unknown_route_returns_404(running):
    assert running.send("/nowhere/1")[1] == 404


def test_directory_returns_the_entry_address(running):
    query = "name=shop.example&region=r&dataCentre=a"
    url = f"http://{running.settings.directory_address}/directory?{query}"
    answer = json.load(urllib.request.urlopen(url, timeout=5))
    assert answer["addresses"] == [running.settings.callers_address]
    assert answer["keepSeconds"] == running.settings.keep_seconds


def test_api_lists_the_platforms_resources_and_rejects_changes(running):
    url = f"http://{running.settings.api_address}/resources/Route"
    names = [item["name"] for item in json.load(urllib.request.urlopen(url))["items"]]
    assert names == ["order", "read"]
    request = urllib.request.Request(f"{url}/order?version=1", method="DELETE")
    with pytest.raises(urllib.error.HTTPError) as error:
        urllib.request.urlopen(request)
    assert error.value.headers["Citronspan-Result"].startswith("2008")


def test_leaving_target_gets_no_requests_and_invalid_records_are_ignored():
    with run_host(2) as running:
        running.store.put(TARGETS, "i-9", b'{"address": 7}')
        running.store.put(TARGETS, "i-8", b"\xff\x00")
        leaving, other = running.targets
        leaving.register(running.store, state="draining")
        assert wait_until(lambda: _is_target_leaving(running, leaving.name), 2.5)
        for _ in range(20):
            assert running.send("/order/1", method="POST")[1] == 200
        before = len(leaving.ran)
        for _ in range(20):
            assert running.send("/order/1", method="POST")[1] == 200
        assert len(leaving.ran) == before
        assert len(other.ran) >= 20


ODD_RECORDS = [
    b'{"labels":' + b"[" * 4000,
    make_registration("127.0.0.1:9", born=10**20),
    make_registration("127.0.0.1:9", born=1 << 62),
    make_registration("127.0.0.1:65536"),
]


@pytest.mark.parametrize("number", range(len(ODD_RECORDS)))
def test_odd_record_does_not_hide_later_changes_of_targets(number):
    with run_host(8) as running:
        running.store.put(TARGETS, "i-9", ODD_RECORDS[number])
        leaving, _ = running.targets
        leaving.register(running.store, state="draining")
        assert wait_until(lambda: _is_target_leaving(running, leaving.name), 2.5)


def _is_target_leaving(running, name):
    targets = running.host.entry.configuration.targets_by_service["shop"]
    return any(target.leaving for target in targets if target.name == name)


def test_stopping_host_breaks_off_a_read_at_which_its_target_works():
    with run_host(9) as running, ThreadPoolExecutor() as executor:
        for target in running.targets:
            target.mode = "works"
        reads = [executor.submit(running.send, "/read/1") for _ in range(4)]
        assert wait_until(lambda: sum(len(t.ran) for t in running.targets) == 4)
        running.host.request_stop()
        statuses = [read.result()[1] for read in reads]
        assert statuses == [200] * 4
        assert sum(len(target.ran) for target in running.targets) == 4


def test_read_is_given_up_for_another_target_though_there_is_none():
    with run_host(10) as running:
        only, other = running.targets
        other.register(running.store, state="draining")
        assert wait_until(lambda: _is_target_leaving(running, other.name), 2.5)
        only.mode = "works"
        assert running.send("/read/1")[1] == 200
        assert len(only.ran) == 1


def test_configuration_takes_effect_in_time_and_survives_store_outage():
    with run_host(3) as running:
        running.store.put(OPERATOR, "config", make_configuration(2, host="new.example"))
        assert wait_until(lambda: running.send("/order/1", method="POST")[1] == 404, 2)
        running.store.put(OPERATOR, "config", make_configuration(3))
        assert wait_until(lambda: running.send("/order/1", method="POST")[1] == 200, 2)
        running.store.replace_switches(StoreSwitches(down=True))
        time.sleep(2.0)
        assert running.send("/order/1", method="POST")[1] == 200
        running.store.truncate_history()
        running.store.put(OPERATOR, "config", make_configuration(4, host="new.example"))
        running.store.replace_switches(StoreSwitches())
        assert wait_until(lambda: running.send("/order/1", method="POST")[1] == 404, 4)


def test_targets_removed_during_a_store_outage_stay_for_two_seconds():
    with run_host(4) as running:
        running.store.replace_switches(StoreSwitches(busy=True))
        # A read that was in progress at the switch still succeeds.
        time.sleep(
            feed_source.READ_WAIT_SECONDS + feed_source.LONG_OUTAGE_SECONDS + 0.5
        )
        for target in running.targets:
            running.store.put(TARGETS, target.name, b"")
        running.store.replace_switches(StoreSwitches())
        assert wait_until(
            lambda: not running.host.agent.source.read_status.is_unavailable, 3
        )
        assert running.send("/order/1", method="POST")[1] == 200
        running.targets[0].register(running.store)
        assert wait_until(lambda: len(_list_targets(running)) == 1, 4)
        assert [target.name for target in _list_targets(running)] == ["i-0"]


def test_removed_target_stays_where_its_removal_is_gone_from_the_log():
    with run_host(11) as running:
        time.sleep(2.5)
        running.store.put(TARGETS, running.targets[0].name, b"")
        running.store.truncate_history()
        assert wait_until(lambda: len(_list_targets(running)) == 1, 1.5)
        assert [target.name for target in _list_targets(running)] == ["i-1"]


def _list_targets(running):
    return running.host.entry.configuration.targets_by_service.get("shop", ())


def test_requests_are_refused_until_a_configuration_arrives():
    with run_host(5, configured=False) as running:
        assert not running.is_ready()
        _, status, headers, _ = running.send("/order/1", method="POST")
        assert status == 503
        assert float(headers["Retry-After"]) < 1
        running.store.put(OPERATOR, "config", make_configuration())
        assert wait_until(running.is_ready)
        assert running.send("/order/1", method="POST")[1] == 200


def test_configuration_written_after_a_restore_of_the_store_is_not_ignored():
    with run_host(6) as running:
        running.store.save_copy()
        for version in range(2, 6):
            configuration = make_configuration(version, host="new.example")
            running.store.put(OPERATOR, "config", configuration)
        assert wait_until(lambda: running.send("/order/1", method="POST")[1] == 404, 2)
        running.store.replace_switches(StoreSwitches(down=True))
        running.store.restore_copy()
        time.sleep(1.0)
        running.store.replace_switches(StoreSwitches())
        for target in running.targets:
            target.register(running.store)
        running.store.put(OPERATOR, "config", make_configuration(6))
        assert wait_until(lambda: running.send("/order/1", method="POST")[1] == 200, 4)


def test_restore_of_the_store_does_not_bring_an_older_configuration_back():
    with run_host(7) as running:
        running.store.save_copy()
        configuration = make_configuration(2, host="new.example")
        running.store.put(OPERATOR, "config", configuration)
        assert wait_until(lambda: running.send("/order/1", method="POST")[1] == 404, 2)
        running.store.restore_copy()
        until = time.monotonic() + 3.0
        while time.monotonic() < until:
            assert running.send("/order/1", method="POST")[1] == 404
            time.sleep(0.1)
