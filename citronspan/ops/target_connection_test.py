"""Tests that a process that was paused sends nothing after its time is over."""

import math
import time
from types import SimpleNamespace

import pytest

from citronspan.core.outcomes import OutcomeClass
from citronspan.core.requests.attempt_deadline import AttemptDeadline
from citronspan.ops.conftest import ScriptedTargets, TargetScript
from citronspan.ops.target_connection import (
    AttemptFailedError,
    TargetConnections,
    TargetRequest,
)
from citronspan.ops.target_connector import DirectConnector
from citronspan.ops.target_paths import TargetPaths

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


def make_request(path, seconds):
    return TargetRequest(
        method="POST",
        uri=path,
        headers={"host": "h"},
        body=SimpleNamespace(buffer=b"", length=0),
        reuse_seconds=math.inf,
        deadline=AttemptDeadline(request_deadline=time.monotonic() + seconds),
    )


def check_nothing_is_sent(connections, targets, request):
    (address, *_) = targets.address_by_name.values()
    targets.set_scripts(request.uri, TargetScript(parts=(ANSWER,)))
    with pytest.raises(AttemptFailedError) as caught:
        connections.send(address, request, None)
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
