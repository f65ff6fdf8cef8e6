"""Tests that a host heeds what targets say of themselves in their answers.

The oracle is the two rules as the users wrote them, applied to what callers and targets
saw.
"""

import threading
import time
from dataclasses import dataclass

import pytest

from citronspan_standins.platform_test import REQUEST_ID, PlatformTarget, run_host

REQUESTS_PER_SECOND = 30
# Two targets with 4 slots each carry 80 requests of this length a second, one 40.
OVERLOAD_REQUESTS_PER_SECOND = 100
WORK_SECONDS = 0.1
DRAIN_SECONDS = 2.5
PAUSE_SECONDS = 4.0
LONG_WORK_SECONDS = 1.6
"""More than half of the time that the callers have."""

SETTLING_SECONDS = 0.5
MAXIMUM_ARRIVALS = 2


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached a target, by ``time.monotonic()``."""

    at: float
    request_id: str


class TellingTarget(PlatformTarget):
    """A target that can say that it leaves, or that it wants nothing for a while."""

    def __init__(self, *, name, port):
        self.arrivals: list[Arrival] = []
        self.refused_at: list[float] = []
        self.is_leaving = False
        self.pause_seconds = 0.0
        self.work_seconds = 0.0
        super().__init__(name=name, port=port)

    def handle(self, exchange):
        request_id = exchange.get_header(REQUEST_ID)
        b"".join(exchange.read_body())
        self.arrivals.append(Arrival(at=time.monotonic(), request_id=request_id))
        headers = [(REQUEST_ID, request_id)]
        if self.pause_seconds:
            headers += [
                ("X-Citronspan-Not-Executed", "1"),
                ("Retry-After", str(self.pause_seconds)),
            ]
            exchange.answer(503, b"", headers)
            self.refused_at.append(time.monotonic())
            return
        time.sleep(self.work_seconds)
        headers.append(("X-Citronspan-Backend-Signature", f"{self.name}.{request_id}"))
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        exchange.answer(200, b"", headers)


def send_steadily(running, seconds, requests_per_second=REQUESTS_PER_SECOND):
    """Send orders at a steady rate; return when each was sent, and the answers."""
    sent_at_by_id, passed_on_at_by_target = {}, {}
    lock = threading.Lock()

    def send():
        sent_at = time.monotonic()
        request_id, _, headers, _ = running.send("/order/1", method="POST")
        with lock:
            sent_at_by_id[request_id] = sent_at
            if "Server-Leaving" in headers:
                name = headers["X-Citronspan-Backend-Signature"].partition(".")[0]
                passed_on_at_by_target.setdefault(name, time.monotonic())

    threads = []
    for _ in range(int(seconds * requests_per_second)):
        threads.append(threading.Thread(target=send))
        threads[-1].start()
        time.sleep(1 / requests_per_second)
    for thread in threads:
        thread.join()
    return sent_at_by_id, passed_on_at_by_target


def find_busiest(running):
    """Return the target with the most arrivals; some targets get none for seconds."""
    return max(running.targets, key=lambda target: len(target.arrivals))


def find_late_arrivals(target, sent_at_by_id, passed_on_at):
    """DRAIN: requests sent later than the drain time after the host knew."""
    return [
        arrival
        for arrival in target.arrivals
        if sent_at_by_id.get(arrival.request_id, 0.0) > passed_on_at + DRAIN_SECONDS
    ]


def count_most_arrivals_in_a_pause(target):
    """BUDGET: the most arrivals from half a second after a refusal to its end."""
    return max(
        sum(
            refused_at + SETTLING_SECONDS < arrival.at < refused_at + PAUSE_SECONDS
            for arrival in target.arrivals
        )
        for refused_at in target.refused_at
    )


@pytest.mark.parametrize("target_count", [1, 2, 4])
def test_target_that_says_in_its_answers_that_it_leaves_gets_requests(target_count):
    with run_host(11, target_type=TellingTarget, target_count=target_count) as running:
        send_steadily(running, 1.0)
        leaving = find_busiest(running)
        leaving.is_leaving = True
        sent_at_by_id, passed_on_at = send_steadily(running, DRAIN_SECONDS + 2.5)
        assert list(passed_on_at) == [leaving.name]
        known_at = passed_on_at[leaving.name]
        assert find_late_arrivals(leaving, sent_at_by_id, known_at) == []


def test_read_is_given_up_for_a_target_that_has_said_that_it_leaves():
    with run_host(11, target_type=TellingTarget, target_count=2) as running:
        send_steadily(running, 1.0)
        leaving = find_busiest(running)
        leaving.is_leaving = True
        send_steadily(running, 1.0)
        (other,) = [target for target in running.targets if target is not leaving]
        other.work_seconds = LONG_WORK_SECONDS
        request_id, status, _, _ = running.send("/read/1")
        arrivals = [item.request_id for item in other.arrivals]
        assert (status, arrivals.count(request_id)) == (200, 1)


def test_leaving_target_gets_requests_that_waited_for_a_slot():
    with run_host(11, target_type=TellingTarget, target_count=2) as running:
        for target in running.targets:
            target.work_seconds = WORK_SECONDS
        send_steadily(running, 1.0, OVERLOAD_REQUESTS_PER_SECOND)
        leaving = find_busiest(running)
        leaving.is_leaving = True
        sent_at_by_id, passed_on_at = send_steadily(
            running, DRAIN_SECONDS + 2.5, OVERLOAD_REQUESTS_PER_SECOND
        )
        assert list(passed_on_at) == [leaving.name]
        known_at = passed_on_at[leaving.name]
        assert find_late_arrivals(leaving, sent_at_by_id, known_at) == []


def test_pausing_targets_get_requests_that_waited_for_a_slot():
    with run_host(12, target_type=TellingTarget, target_count=2) as running:
        for target in running.targets:
            target.work_seconds = WORK_SECONDS
        send_steadily(running, 1.0, OVERLOAD_REQUESTS_PER_SECOND)
        for target in running.targets:
            target.pause_seconds = PAUSE_SECONDS
        send_steadily(running, PAUSE_SECONDS + 2.0, OVERLOAD_REQUESTS_PER_SECOND)
        for target in running.targets:
            assert target.refused_at
            assert count_most_arrivals_in_a_pause(target) <= MAXIMUM_ARRIVALS


@pytest.mark.parametrize("target_count", [1, 2, 4])
def test_target_that_wants_nothing_for_some_time_gets_requests(target_count):
    with run_host(12, target_type=TellingTarget, target_count=target_count) as running:
        send_steadily(running, 1.0)
        pausing = find_busiest(running)
        pausing.pause_seconds = PAUSE_SECONDS
        send_steadily(running, PAUSE_SECONDS + 2.0)
        assert pausing.refused_at
        assert count_most_arrivals_in_a_pause(pausing) <= MAXIMUM_ARRIVALS
