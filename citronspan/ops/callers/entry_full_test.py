"""Tests what callers of an entry get that runs as many requests as it may."""

import threading
import time

import pytest

from citronspan.core import result_codes
from citronspan.ops.conftest import run_entry
from citronspan_standins.scripted_targets import EMPTY_ANSWER, TargetScript

WORKERS = 4
SLOW_SECONDS = 1.0
QUICK_SECONDS = 0.4


@pytest.fixture(scope="module")
def small_entry():
    with run_entry(worker_threads=WORKERS) as running:
        yield running


def fill_entry(running):
    """Start as many slow requests as the entry has room for."""
    path = running.make_path("write")
    script = TargetScript(parts=(EMPTY_ANSWER,), delay_seconds=SLOW_SECONDS)
    running.targets.set_scripts(path, script)
    responses = []
    threads = [
        threading.Thread(
            target=lambda: responses.append(running.request("POST", path, body=b"x"))
        )
        for _ in range(WORKERS)
    ]
    for thread in threads:
        thread.start()
    while running.targets.count_runs(path) < WORKERS:
        time.sleep(0.01)
    return threads, responses


@pytest.mark.parametrize("body", [b"", b"x" * 300_000])
def test_request_beyond_the_maximum_waits_unread_until_its_caller_leaves(
    small_entry, body
):
    threads, responses = fill_entry(small_entry)
    path = small_entry.make_path("write")
    small_entry.targets.set_scripts(path, TargetScript(parts=(EMPTY_ANSWER,)))
    started_at = time.monotonic()
    refused = [small_entry.request("POST", path, body=body) for _ in range(3)]
    assert time.monotonic() - started_at < QUICK_SECONDS
    for response in refused:
        assert response.status == 503
        assert response.result == result_codes.ENTRY_FULL.number
        assert response.ran == "not-run"
        assert float(response.header_by_name["retry-after"]) > 0
        assert not response.reset
    for thread in threads:
        thread.join()
    assert [response.status for response in responses] == [200] * WORKERS
    assert small_entry.request("POST", path, body=body).status == 200
    assert small_entry.targets.count_runs(path) == 1
