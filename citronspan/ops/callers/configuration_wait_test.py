"""Tests of the wait for the first configuration of an entry."""

import threading
import time

import pytest

from citronspan.core import result_codes
from citronspan.core.requests.entry_configuration import EntryConfiguration
from citronspan.ops.callers.configuration_wait import ConfigurationWait
from citronspan.ops.callers.refusals import Refusal


class Entry:
    def __init__(self):
        self.configuration = EntryConfiguration()
        self.wait = ConfigurationWait(
            find_configuration=lambda: self.configuration,
            is_stopping=lambda: False,
            threads=4,
            name="host-1",
        )

    def configure(self):
        self.configuration = EntryConfiguration(offset=1)
        self.wait.notify()


def test_request_is_served_once_a_configuration_comes():
    entry = Entry()
    timer = threading.Timer(0.1, entry.configure)
    timer.start()
    assert entry.wait.wait(8.0).offset == 1
    timer.join()


def test_request_is_refused_if_none_comes_in_its_part_of_the_time():
    entry = Entry()
    with pytest.raises(Refusal) as raised:
        entry.wait.wait(0.4)
    assert raised.value.code is result_codes.CONFIGURATION_MISSING
    assert raised.value.retry_after_seconds > 0


def test_requests_beyond_half_of_the_threads_are_refused_at_once():
    entry = Entry()
    results = []
    threads = [
        threading.Thread(target=lambda: results.append(entry.wait.wait(8.0)))
        for _ in range(2)
    ]
    for thread in threads:
        thread.start()
    while entry.wait.count_waiting() < 2:
        time.sleep(0.001)
    with pytest.raises(Refusal):
        entry.wait.wait(8.0)
    entry.configure()
    for thread in threads:
        thread.join()
    assert [configuration.offset for configuration in results] == [1, 1]
