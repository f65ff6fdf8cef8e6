"""Tests of when a host asks its peers for the way to targets."""

import contextlib
import math
import threading
import time
from types import SimpleNamespace

import pytest
import urllib3.exceptions

from citronspan.core.requests.attempt_deadline import AttemptDeadline
from citronspan.ops.targets.target_answer import AttemptFailedError
from citronspan.ops.targets.target_connection import TargetConnections, TargetRequest
from citronspan.ops.targets.target_connector import DirectConnector
from citronspan.ops.targets.target_paths import TargetPaths
from citronspan.ops.targets.target_reachability import TargetReachability
from citronspan_standins.scripted_targets import ScriptedTargets, TargetScript

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
KEPT = TargetScript(parts=(ANSWER,), end="keep")
SILENT = TargetScript(parts=(), end="hold")
NOTICE_SECONDS = 4.0
"""Time after which the callers of a host that is cut off are served again."""


class CuttableConnector(DirectConnector):
    """Connects until the host is cut off."""

    is_cut = False
    connects = 0

    def connect(self, address, timeout_seconds):
        if self.is_cut:
            time.sleep(timeout_seconds)
            raise urllib3.exceptions.ConnectTimeoutError(None, "timed out")
        self.connects += 1
        return super().connect(address, timeout_seconds)


@pytest.fixture
def targets():
    scripted = ScriptedTargets()
    yield scripted
    scripted.close()


@pytest.fixture
def host(targets):
    connector = CuttableConnector()
    reachability = TargetReachability()
    paths = TargetPaths(direct=connector, reachability=reachability)
    is_ended = threading.Event()
    probe = threading.Thread(
        target=paths.probe_forever,
        args=(lambda: list(targets.address_by_name.values()), is_ended),
    )
    probe.start()
    yield SimpleNamespace(
        connector=connector,
        reachability=reachability,
        connections=TargetConnections(paths=paths),
    )
    is_ended.set()
    probe.join()


def send(host, targets, path, seconds):
    (address, *_) = targets.address_by_name.values()
    request = TargetRequest(
        method="POST",
        uri=path,
        headers={"host": "h"},
        body=SimpleNamespace(buffer=b"", length=0),
        reuse_seconds=math.inf,
        deadline=AttemptDeadline(request_deadline=time.monotonic() + seconds),
    )
    answer = host.connections.send(address, request, None)
    assert answer.read(2) == b"ok"
    answer.finish()


def test_cut_is_not_noticed_while_kept_connections_are_silent(host, targets):
    targets.set_scripts("/first", KEPT)
    targets.set_scripts("/silent", SILENT)
    send(host, targets, "/first", 1.0)
    host.connector.is_cut = True
    with pytest.raises(AttemptFailedError):
        send(host, targets, "/silent", NOTICE_SECONDS)
    assert host.reachability.is_cut_off


def test_one_silent_target_is_taken_for_a_cut_or_costs_many_connects(host, targets):
    targets.set_scripts("/silent", SILENT)
    with contextlib.suppress(AttemptFailedError):
        send(host, targets, "/silent", NOTICE_SECONDS)
    assert not host.reachability.is_cut_off
    assert host.connector.connects == 2
