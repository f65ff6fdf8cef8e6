"""Tests what ``/readiness`` tells an operator of a host that is not ready."""

import threading

import pytest
import urllib3

from citronspan.ops.callers.readiness import describe_readiness, make_readiness_server
from citronspan_standins.scripted_targets import find_free_addresses


@pytest.mark.parametrize(
    ("offset", "problem", "text"),
    [
        (0, "", "entry starting; configuration missing; brokers unknown"),
        (0, "$.x", "configuration missing, the newest is invalid: $.x; brokers"),
        (7, "$.x", "configuration at offset 7, the newest is invalid: $.x; brokers"),
    ],
)
def test_description_hides_what_is_missing(offset, problem, text):
    description = describe_readiness(
        state="starting", offset=offset, problem=problem, has_brokers=False
    )
    assert text in description


def test_host_that_is_not_ready_keeps_the_reason_to_itself():
    (address,) = find_free_addresses(1)
    ready = threading.Event()
    server = make_readiness_server(
        address, is_ready=ready.is_set, describe=lambda: "configuration missing"
    )
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        pool = urllib3.PoolManager()
        answer = pool.request("GET", f"http://{address}/readiness")
        assert (answer.status, answer.data) == (503, b"configuration missing\n")
        ready.set()
        answer = pool.request("GET", f"http://{address}/readiness")
        assert (answer.status, answer.data) == (200, b"")
        assert pool.request("GET", f"http://{address}/x").status == 404
    finally:
        server.stop()
        thread.join()
