"""Tests the stand-in target and the lost answers of the log stand-in."""

import contextlib
import hashlib
import socket
import threading
import time

import msgspec
import pytest
import urllib3
from freezegun import freeze_time

from citronspan_standins.http_service import Service
from citronspan_standins.log_service import LogService, LogSwitches
from citronspan_standins.target_service import TargetService, make_body
from citronspan_standins.target_state import (
    Refusal,
    RunStatus,
    TargetState,
    TargetSwitches,
)

TIMEOUT_SECONDS = 10.0
HTTP = urllib3.PoolManager(retries=False, timeout=TIMEOUT_SECONDS)


@contextlib.contextmanager
def serve(service):
    server = Service(address="127.0.0.1:0", handler=service.handle, threads=8)
    server.start()
    try:
        yield f"http://{server.address}"
    finally:
        server.stop()


@pytest.fixture
def target():
    return TargetService(name="t-1", switches=TargetSwitches(service_seconds=0.0))


def set_switches(service, **changes):
    switches = msgspec.structs.replace(service.state.switches, **changes)
    service.state.replace_switches(switches)


def list_run_records(service):
    return service.state.list_records(0).ran


def wait_for_status(service, status):
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if any(record.status is status for record in list_run_records(service)):
            return
        time.sleep(0.01)
    raise AssertionError(f"{status} not recorded: {list_run_records(service)}")


def test_upload_is_recorded_with_its_digest(target):
    body = b"castle" * 50_000
    with serve(target) as url:
        answer = HTTP.request(
            "PUT", f"{url}/u", body=body, headers={"Idempotency-Key": "p.1"}
        )
    assert answer.json()["bodyDigest"] == hashlib.sha256(body).hexdigest()
    (record,) = list_run_records(target)
    assert (record.key, record.status) == ("p.1", RunStatus.COMPLETED)
    assert record.body_bytes == len(body)


@pytest.mark.parametrize("chunked", ["0", "1"])
def test_answer_is_complete_unless_truncation_is_switched_on(target, chunked):
    path = f"/a?bytes=40000&chunked={chunked}"
    with serve(target) as url:
        assert HTTP.request("GET", url + path).data == b"".join(make_body("/a", 40000))
        set_switches(target, cut_after_bytes=39_999)
        with pytest.raises(urllib3.exceptions.ProtocolError):
            HTTP.request("GET", url + path)


def test_reset_happens_after_the_request_ran(target):
    set_switches(target, reset_share=1.0)
    connection_error = pytest.raises(urllib3.exceptions.ProtocolError)
    with serve(target) as url, connection_error as caught:
        HTTP.request("GET", f"{url}/a")
    assert isinstance(caught.value.args[1], ConnectionResetError)
    assert [record.status for record in list_run_records(target)] == [
        RunStatus.COMPLETED
    ]


def test_full_target_sheds_and_disconnect_cancels_the_request(target):
    set_switches(target, slots=1, hang=True)
    with serve(target) as url:
        address = urllib3.util.parse_url(url)
        with socket.create_connection((address.host, address.port)) as caller:
            caller.sendall(b"GET /a HTTP/1.1\r\nHost: t\r\n\r\n")
            wait_for_status(target, RunStatus.RUNNING)
            answer = HTTP.request("GET", f"{url}/b")
            assert answer.status == 503
            assert answer.headers["Target-Not-Run"] == Refusal.SHED
            assert answer.headers["Target-Load"] == "1/1"
        wait_for_status(target, RunStatus.CANCELLED)
    assert len(list_run_records(target)) == 1


def test_deadline_cancels_the_request(target):
    set_switches(target, hang=True)
    with serve(target) as url:
        answer = HTTP.request("GET", f"{url}/a", headers={"Deadline-Seconds": "0.01"})
    assert answer.status == 504
    assert [record.status for record in list_run_records(target)] == [
        RunStatus.CANCELLED
    ]


def test_truncated_upload_is_recorded_as_incomplete(target):
    with serve(target) as url:
        address = urllib3.util.parse_url(url)
        with socket.create_connection((address.host, address.port)) as caller:
            caller.sendall(b"PUT /a HTTP/1.1\r\nContent-Length: 5\r\n\r\n1234")
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while (
            not list_run_records(target) or not list_run_records(target)[0].body_bytes
        ):
            assert time.monotonic() < deadline
            time.sleep(0.01)
    assert [record.status for record in list_run_records(target)] == [
        RunStatus.INCOMPLETE
    ]


def test_target_simulates_starting_wrong_load_and_flapping():
    with freeze_time() as clock:
        switches = TargetSwitches(
            error_share=1.0, flap_seconds=10, starting_seconds=3, load_in_use=0
        )
        state = TargetState(name="t-1", switches=switches)
        assert state.acquire_slot() is Refusal.STARTING
        clock.tick(4)
        assert state.acquire_slot() is None
        assert state.get_reported_load().in_use == 0
        assert state.get_actual_load().in_use == 1
        faulty_states = []
        for _ in range(4):
            faulty_states.append(state.is_faulty())
            clock.tick(10)
        assert faulty_states == [True, False, True, False]


def test_unknown_switch_is_rejected(target):
    with serve(target) as url:
        answer = HTTP.request("POST", f"{url}/control", body=b'{"slot": 1}')
        assert answer.status == 400
        assert b"slot" in answer.data
    assert target.state.switches.slots == TargetSwitches().slots


def test_append_with_a_lost_answer_takes_effect_and_wakes_readers():
    log = LogService(switches=LogSwitches(lose_answers=1.0))
    with serve(log) as url:
        answers = []
        reader = threading.Thread(
            target=lambda: answers.append(
                HTTP.request("GET", f"{url}/records?from=0&waitSeconds=10").json()
            )
        )
        reader.start()
        with pytest.raises(urllib3.exceptions.ProtocolError):
            HTTP.request("POST", f"{url}/records", body=b"a")
        reader.join(TIMEOUT_SECONDS)
    assert answers[0]["records"] == [{"offset": 0, "data": "YQ=="}]
