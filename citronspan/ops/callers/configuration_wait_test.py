"""Tests of the wait for the first configuration of an entry."""

import contextlib
import threading
import time

import pytest

from citronspan.core import result_codes
from citronspan.core.requests.entry_configuration import EntryConfiguration
from citronspan.core.requests.start_wait import MAXIMUM_WAIT_SECONDS
from citronspan.core.result_codes import Ran
from citronspan.ops.callers.configuration_wait import ConfigurationWait
from citronspan.ops.callers.refusals import Refusal
from citronspan.ops.conftest import SHORT_DEADLINE_SECONDS, run_entry
from citronspan_standins.scripted_targets import EMPTY_ANSWER, TargetScript


class Entry:
    def __init__(self):
        self.configuration = EntryConfiguration()
        self.is_stopping = False
        self.wait = ConfigurationWait(
            find_configuration=lambda: self.configuration,
            is_stopping=lambda: self.is_stopping,
            threads=4,
            name="host-1",
        )

    def request(self, seconds, has_left=False):
        return self.wait.wait(seconds, lambda: has_left)

    def stop(self):
        self.is_stopping = True
        self.wait.notify()

    def configure(self):
        self.configuration = EntryConfiguration(offset=1)
        self.wait.notify()


def test_request_is_served_once_a_configuration_comes():
    entry = Entry()
    timer = threading.Timer(0.1, entry.configure)
    timer.start()
    assert entry.request(8.0).offset == 1
    timer.join()


def test_request_is_refused_if_none_comes_in_its_part_of_the_time():
    entry = Entry()
    with pytest.raises(Refusal) as raised:
        entry.request(0.4)
    assert raised.value.code is result_codes.CONFIGURATION_MISSING
    assert raised.value.retry_after_seconds > 0


def test_requests_beyond_half_of_the_threads_are_refused_at_once():
    entry = Entry()
    results = []
    threads = [
        threading.Thread(target=lambda: results.append(entry.request(8.0)))
        for _ in range(2)
    ]
    for thread in threads:
        thread.start()
    while entry.wait.count_waiting() < 2:
        time.sleep(0.001)
    with pytest.raises(Refusal):
        entry.request(8.0)
    entry.configure()
    for thread in threads:
        thread.join()
    assert [configuration.offset for configuration in results] == [1, 1]


def test_caller_that_left_while_it_waited_is_served():
    entry = Entry()
    timer = threading.Timer(0.1, entry.configure)
    timer.start()
    with pytest.raises(Refusal) as raised:
        entry.request(8.0, has_left=True)
    timer.join()
    assert raised.value.code is result_codes.CALLER_GONE


def test_entry_that_stops_lets_requests_wait_on():
    entry = Entry()
    timer = threading.Timer(0.1, entry.stop)
    begun_at = time.monotonic()
    timer.start()
    with pytest.raises(Refusal) as raised:
        entry.request(8.0)
    assert time.monotonic() - begun_at < MAXIMUM_WAIT_SECONDS / 2
    assert raised.value.code is result_codes.ENTRY_STOPPING


def test_request_outlasts_its_route_since_it_waited():
    wait = Entry().wait
    wait.check_deadline(time.monotonic() + 1.0)
    with pytest.raises(Refusal) as raised:
        wait.check_deadline(time.monotonic())
    assert raised.value.code.http_status == 503
    assert raised.value.code.ran is Ran.NOT_RUN
    assert raised.value.retry_after_seconds > 0


@contextlib.contextmanager
def forget_configuration(entry, forget_seconds):
    """Leave an entry without its configuration for a while."""
    known = entry.configuration
    entry.configuration = EntryConfiguration()

    def restore():
        entry.configuration = known
        entry._configuration_wait.notify()

    timer = threading.Timer(forget_seconds, restore)
    timer.start()
    yield
    timer.join()


def test_caller_is_called_slow_after_a_wait_past_the_time_of_its_route():
    with run_entry(worker_threads=32) as running:
        script = TargetScript(parts=(EMPTY_ANSWER,))
        path = running.make_path("quick")
        running.targets.set_scripts(path, script)
        with forget_configuration(running.entry, SHORT_DEADLINE_SECONDS + 0.1):
            answer = running.request("PUT", path, body=bytes(20000))
        assert answer.status == 503
        assert answer.header_by_name["citronspan-result"].startswith("3004")
        assert running.targets.count_runs(path) == 0


def test_stop_of_an_entry_leaves_requests_waiting():
    with run_entry(worker_threads=32) as running:
        with forget_configuration(running.entry, 1.0):
            timer = threading.Timer(0.1, running.entry.request_stop)
            begun_at = time.monotonic()
            timer.start()
            answer = running.request("GET", "/read/stop")
            seconds = time.monotonic() - begun_at
            timer.join()
        assert answer.status == 503
        assert seconds < MAXIMUM_WAIT_SECONDS / 2
