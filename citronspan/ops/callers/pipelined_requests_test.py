"""Tests requests that a caller sends before earlier ones on the connection end."""

import contextlib
import socket
import time

import pytest

from citronspan.ops.conftest import POLL_SECONDS, TEST_TIMEOUT_SECONDS, run_entry
from citronspan_standins.raw_caller import read_to_end
from citronspan_standins.scripted_targets import TargetScript

SLOW_SECONDS = 0.6
FILL = b"GET /read/behind HTTP/1.1\r\nHost: h\r\nPad: " + b"x" * 9000
"""The start of a request that is longer than what the server buffers."""
RESET_SECONDS = 0.1
"""Time in which a reset would arrive that follows the end of a connection."""

CANCEL_SECONDS = 0.5
"""Time within which a target's work is cancelled after its caller has left."""


def make_head(path, *, close=False, method="GET", headers=""):
    connection = "close" if close else "keep-alive"
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nConnection: {connection}\r\n"
        f"{headers}\r\n"
    ).encode()


def make_answer(text, *, status="200 OK"):
    body = text.encode()
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def set_answer(running, path, **options):
    script = TargetScript(parts=(make_answer(path),), **options)
    running.targets.set_scripts(path, script)


def split_answers(data):
    """Return the status and the body of each answer on a connection."""
    answers = []
    while data:
        head, _, rest = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        header_by_name = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        length = int(header_by_name["content-length"])
        answers.append((int(lines[0].split()[1]), rest[:length].decode()))
        data = rest[length:]
    return answers


def read_answers(caller):
    """Read to the end of a connection; fail if it was reset, also after its end."""
    response = read_to_end(caller)
    assert not response.reset
    time.sleep(RESET_SECONDS)
    assert caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    return split_answers(response.data)


def wait_until(condition):
    deadline = time.monotonic() + TEST_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(POLL_SECONDS)


@pytest.mark.parametrize("gap_seconds", [0.0, 0.05])
def test_answers_overtake_each_other_on_a_connection(running, gap_seconds):
    paths = [running.make_path("read") for _ in range(4)]
    for number, path in enumerate(paths):
        set_answer(running, path, delay_seconds=0.3 if number % 2 == 0 else 0.0)
    with running.open() as caller:
        for path in paths:
            caller.sendall(make_head(path, close=path == paths[-1]))
            time.sleep(gap_seconds)
        assert read_answers(caller) == [(200, path) for path in paths]
    assert [running.targets.count_runs(path) for path in paths] == [1] * 4


def test_requests_behind_a_refusal_are_run_or_cut_its_answer_short(running):
    paths = [running.make_path("none"), *(running.make_path("read") for _ in range(3))]
    for path in paths[1:]:
        set_answer(running, path)
    with running.open() as caller:
        caller.sendall(make_head(paths[0]))
        for path in paths[1:]:
            caller.sendall(make_head(path) + FILL)
        (answer,) = read_answers(caller)
    assert answer[0] == 404
    assert [running.targets.count_runs(path) for path in paths[1:]] == [0] * 3


def test_request_sent_just_after_a_refusal_resets_the_connection(running):
    path = running.make_path("read")
    set_answer(running, path)
    with running.open() as caller:
        caller.sendall(make_head(running.make_path("none")))
        time.sleep(0.05)
        for _ in range(2):
            caller.sendall(make_head(path) + FILL)
            time.sleep(0.02)
        (answer,) = read_answers(caller)
    assert answer[0] == 404
    assert running.targets.count_runs(path) == 0


@pytest.mark.parametrize("close", [True, False])
def test_refused_caller_that_is_done_holds_a_thread(running, close):
    with running.open() as caller:
        started_at = time.monotonic()
        caller.sendall(make_head(running.make_path("none"), close=close))
        assert read_answers(caller)[0][0] == 404
        assert time.monotonic() - started_at < RESET_SECONDS + 0.1


def test_requests_behind_a_close_are_run_or_cut_its_answer_short(running):
    paths = [running.make_path("read") for _ in range(3)]
    for path in paths:
        set_answer(running, path, delay_seconds=0.1)
    with running.open() as caller:
        caller.sendall(make_head(paths[0], close=True))
        for path in paths[1:]:
            # Each arrives in a packet of its own, behind what the server has buffered.
            time.sleep(0.02)
            caller.sendall(make_head(path))
        time.sleep(0.3)
        assert read_answers(caller) == [(200, paths[0])]
    assert [running.targets.count_runs(path) for path in paths[1:]] == [0] * 2


@pytest.mark.parametrize("how", ["close", "reset", "half-close"])
def test_work_goes_on_for_a_caller_that_left_with_requests_behind(running, how):
    path, behind = running.make_path("read"), running.make_path("read")
    held = TargetScript(parts=(b"",), end="hold")
    running.targets.set_scripts(path, held)
    set_answer(running, behind)
    caller = running.open()
    caller.sendall(make_head(path) + make_head(behind))
    wait_until(lambda: running.targets.find_received(path))
    time.sleep(0.05)
    caller.sendall(make_head(behind))
    if how == "reset":
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    if how == "half-close":
        caller.shutdown(socket.SHUT_WR)
    else:
        caller.close()
    left_at = time.monotonic()
    wait_until(lambda: path in running.targets.ended_holds)
    assert time.monotonic() - left_at < CANCEL_SECONDS
    time.sleep(0.1)
    assert running.targets.count_runs(behind) == 0
    with contextlib.suppress(OSError):
        caller.close()


def test_requests_behind_the_one_in_progress_cut_its_answer_short_at_a_stop():
    with run_entry(worker_threads=8) as running:
        path, behind = running.make_path("read"), running.make_path("read")
        set_answer(running, path, delay_seconds=SLOW_SECONDS)
        set_answer(running, behind)
        with running.open() as caller:
            caller.sendall(make_head(path))
            wait_until(lambda: running.targets.find_received(path))
            caller.sendall(make_head(behind) * 2)
            running.entry.request_stop()
            assert read_answers(caller) == [(200, path)]
        assert running.targets.count_runs(behind) == 0


def test_body_behind_a_request_is_taken_for_a_request(running):
    read, write = running.make_path("read"), running.make_path("write")
    set_answer(running, read, delay_seconds=0.1)
    set_answer(running, write)
    body = make_head(running.make_path("read"))
    head = make_head(
        write, method="POST", headers=f"Content-Length: {len(body)}\r\n", close=True
    )
    response = running.exchange(make_head(read) + head + body)
    assert split_answers(response.data) == [(200, read), (200, write)]
    (received,) = running.targets.find_received(write)
    assert received.body == body


def test_slow_first_request_holds_up_requests_of_other_connections(running):
    slow, quick = running.make_path("read"), running.make_path("read")
    set_answer(running, slow, delay_seconds=SLOW_SECONDS)
    set_answer(running, quick)
    with running.open() as caller:
        caller.sendall(make_head(slow) + make_head(quick))
        wait_until(lambda: running.targets.find_received(slow))
        started_at = time.monotonic()
        assert running.request("GET", quick).status == 200
        assert time.monotonic() - started_at < SLOW_SECONDS / 2
        assert caller.recv(1)
