"""Tests that the callers of a soak see what a host does, and when."""

import threading
import time

import pytest

from citronspan_standins.http_service import Service
from citronspan_standins.promises import History, make_answer_body
from citronspan_standins.scripted_targets import find_free_addresses
from citronspan_standins.soak_callers import Caller, LoadPlan
from citronspan_standins.soak_fleet import REQUEST_ID
from citronspan_standins.soak_keys import KeyBook

CALLERS = 8
SECONDS = 4.0
ALLOWED_SECONDS = 0.4


class PromptHost:
    """A host that answers each request as soon as it has read it.

    Attributes:
        name: Name of the host.
        address: Where callers connect.
        stopped_at: Always None; it never stops.
        answered_at_by_id: When it answered each request.
    """

    def __init__(self):
        (address,) = find_free_addresses(1)
        ip, _, port = address.rpartition(":")
        self.name = "host-1"
        self.address = (ip, int(port))
        self.stopped_at = None
        self.answered_at_by_id: dict[str, float] = {}
        self.service = Service(address=address, handler=self.handle, threads=16)
        self.service.start()

    def handle(self, exchange):
        """Answer a request as its target would."""
        request_id = exchange.get_header(REQUEST_ID)
        b"".join(exchange.read_body())
        body = make_answer_body(request_id, int(exchange.query_by_name["size"]))
        self.answered_at_by_id[request_id] = time.monotonic()
        exchange.answer(200, body, ((REQUEST_ID, request_id),))


@pytest.fixture
def host():
    host = PromptHost()
    yield host
    host.service.stop()


def run_callers(host, seed):
    """Run callers for a time and return what they saw."""
    history = History(grace_seconds=6.0)
    is_ended = threading.Event()
    callers = [
        Caller(
            number=number,
            seed=seed,
            plan=LoadPlan(),
            hosts=[host],
            history=history,
            is_ended=is_ended,
            keys=KeyBook(hosts=[host]),
        )
        for number in range(CALLERS)
    ]
    threads = [threading.Thread(target=caller.run) for caller in callers]
    for thread in threads:
        thread.start()
    time.sleep(SECONDS)
    is_ended.set()
    for thread in threads:
        thread.join()
    return history.requests


@pytest.mark.parametrize("seed", [3, 4])
def test_prompt_answer_counts_as_late_as_its_caller_still_sends(host, seed):
    requests = run_callers(host, seed)
    assert {request.status for request in requests} == {200}
    assert {request.is_whole for request in requests} == {True}
    assert [
        (request.request_id, late_seconds)
        for request in requests
        if (late_seconds := find_late_seconds(host, request)) > ALLOWED_SECONDS
    ] == []


def find_late_seconds(host, request):
    """Return the time from the end of both, request and answer, until it was noted."""
    answered_at = host.answered_at_by_id[request.request_id]
    return request.ended_at - answered_at
