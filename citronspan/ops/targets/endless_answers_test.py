"""Tests that an answer without end is cut at a bound and costs no memory."""

import contextlib
import http.client
import time

import pytest

from citronspan.core.requests.attempt_deadline import AttemptDeadline
from citronspan.ops.targets.answer_stream import MAXIMUM_BODY_BYTES, MAXIMUM_HEAD_BYTES
from citronspan.ops.targets.target_answer import AttemptFailedError
from citronspan.ops.targets.target_connection import TargetConnections, TargetRequest
from citronspan_standins.scripted_targets import EMPTY_ANSWER, TargetScript

PART_BYTES = 32 * 1024
NOISE = b"x" * PART_BYTES
IN_TRANSIT_BYTES = 12 << 20
"""Bytes that may be in the buffers of both sockets when the entry closes."""

MAXIMUM_MEMORY_BYTES = 8 << 20
SLOW_CALLERS = 24
"""Callers that read nothing, fewer than the entry has threads for requests."""

SETTLE_SECONDS = 1.0
READ_BYTES = 64 * 1024
DEADLINE_SECONDS = 30.0
HEAD = b"HTTP/1.1 200 OK\r\n"
MAXIMUM_LENGTH = MAXIMUM_BODY_BYTES + 1
CHUNK = b"%x\r\n%s\r\n" % (PART_BYTES, NOISE)

ENDLESS_HEADS = {
    "bytes without a line": (b"", NOISE),
    "one header line": (HEAD + b"X-A: ", NOISE),
    "header lines": (HEAD, b"X-A: %s\r\n" % NOISE),
    "interim answers": (b"", b"HTTP/1.1 103 Early\r\nX-A: %s\r\n\r\n" % NOISE),
    "declared length": (HEAD + b"Content-Length: %d\r\n\r\n" % MAXIMUM_LENGTH, NOISE),
    "chunk size line": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;", NOISE),
}
ENDLESS_BODIES = {
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "one chunk": (HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffffffffffff\r\n", NOISE),
    "declared length": (HEAD + b"Content-Length: 99999999999999\r\n\r\n", NOISE),
    "trailer": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-A: %s\r\n" % NOISE,
    ),
    "trailer after a part": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n%s0\r\n" % CHUNK,
        b"X-A: %s\r\n" % NOISE,
    ),
}


class StubBody:
    """Stands in for the empty body of a request."""

    buffer = b""
    length = 0


def count_lost_answers(running):
    return running.entry.metrics.registry.get_sample_value(
        "citronspan_attempts_total", {"service": "s", "outcome": "answer-lost"}
    )


def send_and_discard(running, path):
    """Send a request and read the answer to its end; return the bytes of its body."""
    with running.open() as caller:
        caller.sendall(f"POST {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        response = http.client.HTTPResponse(caller)
        received_bytes = 0
        try:
            response.begin()
            while data := response.read1(READ_BYTES):
                received_bytes += len(data)
        except (ConnectionResetError, http.client.HTTPException):
            return received_bytes
    return received_bytes


def wait_for_end(targets):
    """Wait until no target sends endless bytes; return their number."""
    deadline = time.monotonic() + DEADLINE_SECONDS
    while True:
        before = targets.endless_bytes
        time.sleep(0.2)
        if targets.endless_bytes == before:
            return before
        assert time.monotonic() < deadline, "the connection was not closed"


@pytest.mark.parametrize("case", ENDLESS_HEADS)
def test_endless_head_is_cut_and_the_request_is_retried(running, peak_memory, case):
    start, endless_part = ENDLESS_HEADS[case]
    path = running.make_path("read")
    running.targets.set_scripts(
        path,
        TargetScript(parts=(start,), endless_part=endless_part),
        TargetScript(parts=(EMPTY_ANSWER,)),
    )
    sent_before = running.targets.endless_bytes
    lost_before = count_lost_answers(running) or 0
    response = running.request("GET", path)
    sent_bytes = wait_for_end(running.targets) - sent_before
    assert response.status == 200
    assert sent_bytes < MAXIMUM_HEAD_BYTES + IN_TRANSIT_BYTES
    assert count_lost_answers(running) == lost_before + 1
    assert peak_memory() < MAXIMUM_MEMORY_BYTES


@pytest.mark.parametrize("case", ENDLESS_BODIES)
def test_endless_body_is_cut_at_the_bound(running, peak_memory, case):
    """The number of bytes ends it, long before the deadline of the route could."""
    start, endless_part = ENDLESS_BODIES[case]
    path = running.make_path("long")
    running.targets.set_scripts(
        path, TargetScript(parts=(start,), endless_part=endless_part)
    )
    sent_before = running.targets.endless_bytes
    lost_before = count_lost_answers(running) or 0
    received_bytes = send_and_discard(running, path)
    sent_bytes = wait_for_end(running.targets) - sent_before
    assert received_bytes <= MAXIMUM_BODY_BYTES + READ_BYTES
    assert sent_bytes < MAXIMUM_BODY_BYTES + IN_TRANSIT_BYTES
    assert count_lost_answers(running) == lost_before + 1
    assert peak_memory() < MAXIMUM_MEMORY_BYTES


@pytest.mark.parametrize("case", ENDLESS_BODIES)
def test_endless_bodies_for_callers_that_read_nothing_fill_the_memory(
    running, peak_memory, case
):
    """Others are served meanwhile, and the answers end with their callers."""
    start, endless_part = ENDLESS_BODIES[case]
    script = TargetScript(parts=(start,), endless_part=endless_part)
    with contextlib.ExitStack() as stack:
        for _ in range(SLOW_CALLERS):
            path = running.make_path("long")
            running.targets.set_scripts(path, script)
            caller = stack.enter_context(running.open())
            caller.sendall(f"POST {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        time.sleep(SETTLE_SECONDS)
        path = running.make_path("write")
        running.targets.set_scripts(path, TargetScript(parts=(EMPTY_ANSWER,)))
        assert running.request("POST", path).status == http.client.OK
        assert peak_memory() < MAXIMUM_MEMORY_BYTES
    wait_for_end(running.targets)
    assert peak_memory() < MAXIMUM_MEMORY_BYTES


def test_declared_length_over_the_bound_is_answered_502(running):
    """It was passed on and cut after 64 MB, which no caller can use."""
    path = running.make_path("write")
    start, endless_part = ENDLESS_HEADS["declared length"]
    running.targets.set_scripts(
        path, TargetScript(parts=(start,), endless_part=endless_part)
    )
    assert running.request("POST", path).status == http.client.BAD_GATEWAY


@pytest.mark.parametrize("framing", [b"Content-Length: 99999999999999\r\n", b""])
def test_endless_answer_to_another_request_is_cut_at_the_bound(
    running, peak_memory, framing
):
    path = running.make_path("read")
    head = HEAD + b"X-Id: another\r\n" + framing + b"\r\n"
    script = TargetScript(parts=(head,), endless_part=NOISE)
    running.targets.set_scripts(path, script)
    sent_before = running.targets.endless_bytes
    connections = TargetConnections(id_header="X-Id")
    request = TargetRequest(
        method="GET",
        uri=path,
        headers={"host": "h"},
        body=StubBody(),
        reuse_seconds=0.0,
        deadline=AttemptDeadline(request_deadline=time.monotonic() + DEADLINE_SECONDS),
        request_id="own",
    )
    address = running.targets.address_by_name["t-1"]
    with pytest.raises(AttemptFailedError):
        connections.send(address, request, None)
    sent_bytes = wait_for_end(running.targets) - sent_before
    assert sent_bytes < MAXIMUM_BODY_BYTES + IN_TRANSIT_BYTES
    assert peak_memory() < MAXIMUM_MEMORY_BYTES
    assert not connections.list_idle_addresses()
