"""Tests that a process that was paused sends nothing after its time is over."""

import dataclasses
import math
import time
from types import SimpleNamespace

import freezegun
import pytest

from citronspan.core.outcomes import OutcomeClass
from citronspan.core.requests.attempt_deadline import AttemptDeadline
from citronspan.ops.targets.idle_connections import POOL_IDLE_SECONDS
from citronspan.ops.targets.target_answer import AttemptFailedError
from citronspan.ops.targets.target_connection import TargetConnections, TargetRequest
from citronspan.ops.targets.target_connector import DirectConnector
from citronspan.ops.targets.target_paths import TargetPaths
from citronspan_standins.scripted_targets import ScriptedTargets, TargetScript

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
RUN_SECONDS = 0.1
"""Time within which a target would receive a request that was sent."""


class PausedConnector(DirectConnector):
    """Connects, and returns only after a pause of the process."""

    def connect(self, address, timeout_seconds):
        connection = super().connect(address, timeout_seconds)
        time.sleep(RUN_SECONDS)
        return connection


@pytest.fixture
def targets():
    scripted = ScriptedTargets()
    yield scripted
    scripted.close()


def make_request(path, seconds, request_id=""):
    return TargetRequest(
        method="POST",
        uri=path,
        headers={"host": "h"},
        body=SimpleNamespace(buffer=b"", length=0),
        reuse_seconds=math.inf,
        deadline=AttemptDeadline(request_deadline=time.monotonic() + seconds),
        request_id=request_id,
    )


def check_nothing_is_sent(connections, targets, request, caller=None):
    (address, *_) = targets.address_by_name.values()
    targets.set_scripts(request.uri, TargetScript(parts=(ANSWER,)))
    with pytest.raises(AttemptFailedError) as caught:
        connections.send(address, request, caller)
    assert caught.value.outcome_class is OutcomeClass.NOT_USED
    time.sleep(RUN_SECONDS)
    assert targets.find_received(request.uri) == []


def test_request_is_sent_on_a_kept_connection_after_its_deadline(targets):
    (address, *_) = targets.address_by_name.values()
    targets.set_scripts("/first", TargetScript(parts=(ANSWER,), end="keep"))
    connections = TargetConnections()
    answer = connections.send(address, make_request("/first", 5.0), None)
    assert answer.read(2) == b"ok"
    answer.finish()
    check_nothing_is_sent(connections, targets, make_request("/late", 0.0))


def test_request_is_sent_after_a_pause_while_connecting(targets):
    connections = TargetConnections(paths=TargetPaths(direct=PausedConnector()))
    check_nothing_is_sent(connections, targets, make_request("/late", RUN_SECONDS / 2))


def test_request_is_sent_although_its_target_may_not_be_used_any_more(targets):
    request = make_request("/late", 5.0)
    request = dataclasses.replace(request, may_send=lambda: False)
    check_nothing_is_sent(TargetConnections(), targets, request)
    (address, *_) = targets.address_by_name.values()
    kept = open_kept_connection(targets, address)
    check_nothing_is_sent(kept, targets, request)


def test_request_is_sent_whose_caller_left_while_connecting(targets):
    """Its target would work for nobody."""
    connections = TargetConnections(paths=TargetPaths(direct=PausedConnector()))
    left_at = time.monotonic() + RUN_SECONDS / 2
    caller = SimpleNamespace(is_disconnected=lambda: time.monotonic() > left_at)
    check_nothing_is_sent(connections, targets, make_request("/left", 5.0), caller)


REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n%bContent-Length: 0\r\n\r\n"
RESULT = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: 2\r\n\r\nok"


def open_kept_connection(targets, address):
    """Return connections with one that has carried the answer to request a."""
    targets.set_scripts("/a", TargetScript(parts=(RESULT % b"a",), end="keep"))
    connections = TargetConnections(id_header="X-Id")
    answer = connections.send(address, make_request("/a", 5.0, "a"), None)
    assert answer.read(2) == b"ok"
    answer.finish()
    assert connections.list_idle_addresses() == {address}
    return connections


def test_refusal_of_an_earlier_request_written_again_is_taken_for_a_new_one(targets):
    (address, *_) = targets.address_by_name.values()
    connections = open_kept_connection(targets, address)
    again = REFUSAL % b"X-Id: a\r\n"
    targets.set_scripts("/b", TargetScript(parts=(again + RESULT % b"b",), end="keep"))
    answer = connections.send(address, make_request("/b", 5.0, "b"), None)
    assert (answer.status, answer.read(2)) == (200, b"ok")


@pytest.mark.parametrize("stray", [REFUSAL % b"", ANSWER])
def test_answer_of_no_request_on_a_kept_connection_is_taken_for_the_next(
    targets, stray
):
    (address, *_) = targets.address_by_name.values()
    connections = open_kept_connection(targets, address)
    targets.set_scripts("/b", TargetScript(parts=(stray + RESULT % b"b",), end="keep"))
    with pytest.raises(AttemptFailedError) as caught:
        connections.send(address, make_request("/b", 5.0, "b"), None)
    assert caught.value.outcome_class is OutcomeClass.ANSWER_LOST


def test_refusal_without_an_id_on_a_new_connection_is_taken_for_a_lost_answer(targets):
    (address, *_) = targets.address_by_name.values()
    targets.set_scripts("/b", TargetScript(parts=(REFUSAL % b"",)))
    connections = TargetConnections(id_header="X-Id")
    answer = connections.send(address, make_request("/b", 5.0, "b"), None)
    assert answer.status == 503


LARGE_BODY = b"b" * (64 << 20)
"""More than the system holds for a target that doesn't read."""


def test_connection_is_kept_though_its_target_answered_before_the_body_was_sent(
    targets,
):
    (address, *_) = targets.address_by_name.values()
    early = TargetScript(parts=(RESULT % b"a",), end="hold", read_body=False)
    targets.set_scripts("/early", early)
    connections = TargetConnections(id_header="X-Id")
    request = dataclasses.replace(
        make_request("/early", 5.0, "a"),
        body=SimpleNamespace(buffer=LARGE_BODY, length=len(LARGE_BODY)),
    )
    answer = connections.send(address, request, None)
    assert answer.read(2) == b"ok"
    answer.finish()
    assert connections.list_idle_addresses() == frozenset()


def count_connects(connections):
    """Return a list that grows with each new connection."""
    opened = []
    connect = connections._connect
    connections._connect = lambda *arguments: opened.append(1) or connect(*arguments)
    return opened


@pytest.mark.parametrize("reuse_seconds", [0.0, 5.0])
def test_request_that_may_run_once_is_sent_on_a_connection_that_was_idle_too_long(
    targets, reuse_seconds
):
    (address, *_) = targets.address_by_name.values()
    connections = open_kept_connection(targets, address)
    time.sleep(RUN_SECONDS)
    targets.set_scripts("/b", TargetScript(parts=(RESULT % b"b",), end="keep"))
    request = dataclasses.replace(
        make_request("/b", 5.0, "b"), reuse_seconds=reuse_seconds
    )
    opened = count_connects(connections)
    assert connections.send(address, request, None).read(2) == b"ok"
    assert bool(opened) == (reuse_seconds == 0.0)


def test_connection_is_used_again_whose_target_sent_more_than_its_answer(targets):
    (address, *_) = targets.address_by_name.values()
    targets.set_scripts("/a", TargetScript(parts=(ANSWER + b"x",), end="keep"))
    targets.set_scripts("/b", TargetScript(parts=(ANSWER,), end="keep"))
    connections = TargetConnections()
    answer = connections.send(address, make_request("/a", 5.0), None)
    assert (answer.read(2), answer.read(2)) == (b"ok", b"")
    answer.finish()
    opened = count_connects(connections)
    assert connections.send(address, make_request("/b", 5.0), None).read(2) == b"ok"
    assert opened


KEPT = b"HTTP/1.1 200 OK\r\n%b\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize(
    ("header", "is_kept"),
    [
        (b"Connection: close", False),
        (b"Connection: Close, x-a", False),
        (b"Keep-Alive: timeout=0", False),
        (b"Keep-Alive: max=5, timeout=1", False),
        (b"Keep-Alive: timeout=9", True),
        (b"Keep-Alive: timeout=" + b"9" * 5000, True),
        (b"X-A: b", True),
    ],
)
def test_connection_is_used_longer_than_its_target_keeps_it(targets, header, is_kept):
    (address, *_) = targets.address_by_name.values()
    script = TargetScript(parts=(KEPT % header,), end="hold")
    targets.set_scripts("/a", script)
    connections = TargetConnections()
    answer = connections.send(address, make_request("/a", 5.0), None)
    assert (answer.read(2), answer.read(2)) == (b"ok", b"")
    with freezegun.freeze_time("2026-01-01") as clock:
        answer.finish()
        clock.tick(0.8)
        assert bool(connections.list_idle_addresses()) == is_kept


@pytest.mark.parametrize("end", ["close", "reset"])
def test_answer_without_a_length_looks_complete_after_a_reset(targets, end):
    (address, *_) = targets.address_by_name.values()
    parts = (b"HTTP/1.1 200 OK\r\n\r\n", b"ok")
    script = TargetScript(parts=parts, end=end, pause_seconds=RUN_SECONDS)
    targets.set_scripts("/a", script)
    answer = TargetConnections().send(address, make_request("/a", 5.0), None)
    assert not answer.is_framed
    if end == "close":
        assert answer.read(9) + answer.read(9) + answer.read(9) == b"ok"
        return
    with pytest.raises(AttemptFailedError) as caught:
        while answer.read(9):
            continue
    assert caught.value.outcome_class is OutcomeClass.ANSWER_LOST


HEAD = b"HTTP/1.1 200 OK\r\nX-Id: b\r\nX-Signature: s\r\n\r\n"


@pytest.mark.parametrize("cut", range(1, len(HEAD)))
def test_answer_that_stops_in_its_head_is_taken_for_a_whole_one(targets, cut):
    # Without a length the body would be what comes until the end of the connection.
    (address, *_) = targets.address_by_name.values()
    targets.set_scripts("/b", TargetScript(parts=(HEAD[:cut],)))
    connections = TargetConnections(id_header="X-Id")
    with pytest.raises(AttemptFailedError) as caught:
        connections.send(address, make_request("/b", 5.0, "b"), None)
    assert caught.value.outcome_class is OutcomeClass.ANSWER_LOST


def keep_connections(targets, connections, *, keep_alive, end):
    """Leave one idle connection to each target; return their sockets."""
    answer = ANSWER.replace(b"\r\n", b"\r\n" + keep_alive, 1)
    sockets = []
    for address in targets.address_by_name.values():
        targets.set_scripts("/kept", TargetScript(parts=(answer,), end=end))
        answer_of_target = connections.send(address, make_request("/kept", 5.0), None)
        assert answer_of_target.read(2) == b"ok"
        sockets.append(answer_of_target._connection.sock)
        answer_of_target.finish()
    return sockets


def test_connections_to_targets_that_are_gone_stay_open(targets):
    connections = TargetConnections()
    sockets = keep_connections(
        targets, connections, keep_alive=b"Keep-Alive: timeout=1\r\n", end="keep"
    )
    connections.close_expired()
    assert all(item.fileno() >= 0 for item in sockets)
    assert connections.list_idle_addresses() == set(targets.address_by_name.values())
    time.sleep(1.0)
    connections.close_expired()
    assert all(item.fileno() < 0 for item in sockets)


def test_connections_that_targets_closed_stay_open_until_they_expire(targets):
    connections = TargetConnections()
    sockets = keep_connections(
        targets, connections, keep_alive=b"Keep-Alive: timeout=900\r\n", end="close"
    )
    time.sleep(RUN_SECONDS)
    connections.close_expired()
    assert all(item.fileno() < 0 for item in sockets)


def test_entry_keeps_connections_to_targets_that_it_no_longer_asks(running):
    for _ in range(8):
        path = running.make_path("read")
        running.targets.set_scripts(path, TargetScript(parts=(ANSWER,), end="keep"))
        assert running.request("GET", path).status == 200
    connections = running.entry._connections
    assert connections._idle._idle_by_address
    deadline = time.monotonic() + POOL_IDLE_SECONDS + 3.0
    while connections._idle._idle_by_address:
        assert time.monotonic() < deadline
        time.sleep(0.1)
