"""Tests what callers get whose answers the host's link cannot carry in time."""

import pytest

from citronspan.core import result_codes
from citronspan.core.settings import HostLimits
from citronspan.ops.conftest import run_entry
from citronspan_standins.scripted_targets import EMPTY_ANSWER, TargetScript

ANSWER_BYTES = 1_000_000
LARGE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES


@pytest.fixture(scope="module")
def slow_entry():
    with run_entry(limits=HostLimits(link_mbit=0.008)) as running:
        yield running


def test_large_answer_is_late_or_a_small_one_refused(slow_entry):
    path = slow_entry.make_path("read")
    script = TargetScript(parts=(LARGE_ANSWER, b"x" * ANSWER_BYTES))
    slow_entry.targets.set_scripts(path, script)
    assert slow_entry.request("GET", path).status == 200
    refused = slow_entry.request("GET", path)
    assert refused.status == 503
    assert refused.result == result_codes.ENTRY_LINK_FULL.number
    assert refused.ran == "not-run"
    assert slow_entry.targets.count_runs(path) == 1
    small_path = slow_entry.make_path("write")
    small_script = TargetScript(parts=(EMPTY_ANSWER,))
    slow_entry.targets.set_scripts(small_path, small_script)
    assert slow_entry.request("POST", small_path, body=b"x").status == 200
