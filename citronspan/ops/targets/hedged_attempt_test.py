"""Tests of hedged requests with a running entry and scripted targets on loopback."""

import threading
import time

import pytest

from citronspan.core.resources import ServiceSpec
from citronspan.ops.conftest import run_entry
from citronspan_standins.scripted_targets import EMPTY_ANSWER, TargetScript

HEDGE_SECONDS = 0.1
SLOW_SECONDS = 0.6
TEST_TIMEOUT_SECONDS = 5.0
WARM_UP_REQUESTS = 40
QUICK = TargetScript(parts=(EMPTY_ANSWER,))
HANGING = TargetScript(parts=(), end="hold")
ERROR_ANSWER = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


def make_script(body, **fields):
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    return TargetScript(parts=(answer,), **fields)


def warm_up(running):
    for prefix in ("read", "write"):
        path = running.make_path(prefix)
        running.targets.set_scripts(path, QUICK)
        for _ in range(WARM_UP_REQUESTS):
            assert running.request("GET", path).status == 200


def count(running, name, **labels):
    value = running.entry.metrics.registry.get_sample_value(name, labels)
    return value or 0


def count_steps(running):
    return {
        step: count(running, "citronspan_hedges_total", service="s", step=step)
        for step in ("asked", "sent", "won")
    }


def find_granted(running):
    statuses = running.entry.slots.brokers.describe()
    return sum(sum(status.granted_by_target.values()) for status in statuses)


def wait_until(condition):
    deadline = time.monotonic() + TEST_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


@pytest.fixture
def hedging():
    """An entry of each test's own, since failures count against targets for long."""
    service = ServiceSpec(
        retry_ratio=1.0, hedge_share=1.0, hedge_delay_seconds=HEDGE_SECONDS
    )
    with run_entry(worker_threads=32, service=service) as running:
        yield running


@pytest.fixture
def steps(hedging):
    """Count the steps of hedges since the test began, after a warm-up."""
    warm_up(hedging)
    before = count_steps(hedging)
    return lambda: {
        step: value - before[step] for step, value in count_steps(hedging).items()
    }


def request(running, *scripts, prefix="read", method="GET", **fields):
    path = running.make_path(prefix)
    running.targets.set_scripts(path, *scripts)
    begun_at = time.monotonic()
    response = running.request(method, path, **fields)
    return path, response, time.monotonic() - begun_at


def test_hedge_wins_and_the_first_attempt_ends_at_once(hedging, steps):
    path, response, seconds = request(hedging, HANGING, make_script(b"hedge"))
    assert response.find_complete_body() == b"hedge"
    assert seconds < SLOW_SECONDS
    first, second = hedging.targets.find_received(path)
    assert first.target != second.target
    assert response.header_by_name["citronspan-target"] == second.target
    assert steps() == {"asked": 1, "sent": 1, "won": 1}
    wait_until(lambda: path in hedging.targets.ended_holds)
    wait_until(lambda: find_granted(hedging) == 0)


def test_first_attempt_wins_and_the_hedge_ends_at_once(hedging, steps):
    late = make_script(b"first", delay_seconds=2.5 * HEDGE_SECONDS)
    path, response, seconds = request(hedging, late, HANGING)
    assert response.find_complete_body() == b"first"
    assert seconds < SLOW_SECONDS
    assert steps() == {"asked": 1, "sent": 1, "won": 0}
    wait_until(lambda: path in hedging.targets.ended_holds)
    wait_until(lambda: find_granted(hedging) == 0)


def test_body_that_stalls_does_not_count_as_an_answer(hedging, steps):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfi"
    stalled = TargetScript(parts=(head,), delay_seconds=2 * HEDGE_SECONDS, end="hold")
    late = make_script(b"hedge", delay_seconds=2 * HEDGE_SECONDS)
    path, response, _ = request(hedging, stalled, late)
    assert response.find_complete_body() == b"hedge"
    assert steps()["won"] == 1
    wait_until(lambda: path in hedging.targets.ended_holds)
    wait_until(lambda: find_granted(hedging) == 0)


@pytest.mark.parametrize("failed", [0, 1])
def test_failure_of_one_attempt_waits_for_the_other(hedging, steps, failed):
    scripts = [make_script(b"whole", delay_seconds=4 * HEDGE_SECONDS)]
    scripts.insert(
        failed, TargetScript(parts=(b"HTTP/1.1 2",), delay_seconds=2 * HEDGE_SECONDS)
    )
    _, response, _ = request(hedging, *scripts)
    assert response.find_complete_body() == b"whole"
    assert steps()["sent"] == 1
    wait_until(lambda: find_granted(hedging) == 0)


def test_error_answer_stands_only_if_the_hedge_fails_too(hedging, steps):
    error = TargetScript(parts=(ERROR_ANSWER,), delay_seconds=2 * HEDGE_SECONDS)
    late = make_script(b"whole", delay_seconds=4 * HEDGE_SECONDS)
    _, response, _ = request(hedging, error, late)
    assert response.find_complete_body() == b"whole"
    path, response, _ = request(hedging, error)
    assert response.status == 500
    assert len(hedging.targets.find_received(path)) == 3
    wait_until(lambda: find_granted(hedging) == 0)


def test_request_whose_attempts_both_fail_is_retried_once_more(hedging, steps):
    # Two broken answers would be taken for a request that crashes targets.
    broken = TargetScript(parts=(b"HTTP/1.1 2",), delay_seconds=2 * HEDGE_SECONDS)
    error = TargetScript(parts=(ERROR_ANSWER,), delay_seconds=2 * HEDGE_SECONDS)
    path, response, _ = request(hedging, broken, error, make_script(b"third"))
    assert response.find_complete_body() == b"third"
    assert len({item.target for item in hedging.targets.find_received(path)}) == 3
    wait_until(lambda: find_granted(hedging) == 0)


def test_large_answer_of_a_hedge_is_streamed(hedging, steps):
    body = b"s" * 300_000
    _, response, _ = request(hedging, HANGING, make_script(body))
    assert response.find_complete_body() == body
    assert steps()["won"] == 1
    wait_until(lambda: find_granted(hedging) == 0)


def test_request_that_may_run_once_has_no_hedge(hedging, steps):
    late = make_script(b"x", delay_seconds=2.5 * HEDGE_SECONDS)
    for prefix in ("write", "once"):
        path, _, _ = request(hedging, late, prefix=prefix)
        assert len(hedging.targets.find_received(path)) == 1
    assert steps()["asked"] == 0


def test_caller_that_leaves_ends_both_attempts(hedging, steps):
    path = hedging.make_path("read")
    hedging.targets.set_scripts(path, HANGING)
    with hedging.open() as caller:
        head = f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n"
        caller.sendall(head.encode())
        wait_until(lambda: len(hedging.targets.find_received(path)) == 2)
    wait_until(lambda: hedging.targets.ended_holds.count(path) == 2)
    wait_until(lambda: find_granted(hedging) == 0)


def test_no_hedge_and_no_thread_while_off(running, monkeypatch):
    warm_up(running)
    started = []
    start = threading.Thread.start
    monkeypatch.setattr(
        threading.Thread, "start", lambda self: (started.append(self.name), start(self))
    )
    late = make_script(b"x", delay_seconds=2.5 * HEDGE_SECONDS)
    path, response, _ = request(running, late)
    assert response.find_complete_body() == b"x"
    assert len(running.targets.find_received(path)) == 1
    assert "hedge" not in started
    assert count_steps(running)["asked"] == 0
