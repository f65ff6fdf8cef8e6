"""Tests that invalid input of callers is refused, runs nothing and blocks no worker."""

import contextlib
import socket
import time

import pytest
from hypothesis import given, settings, strategies as st

from citronspan.core import result_codes
from citronspan.ops.callers.caller_request import MAXIMUM_BUFFERED_BODY_BYTES
from citronspan.ops.conftest import POLL_SECONDS, TEST_TIMEOUT_SECONDS
from citronspan_standins.raw_caller import read_to_end
from citronspan_standins.scripted_targets import RESET_ON_CLOSE, TargetScript

ANSWER = TargetScript(parts=(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfinal",))
SMUGGLED = b"GET /read/smuggled HTTP/1.1\r\nHost: h\r\n\r\n"

BAD_HEADERS = [
    b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    b"Content-Length: 5\r\nContent-Length: 6\r\n",
    b"Content-Length: 5\r\nContent-length: 5\r\n",
    b"Content-Length: 5, 5\r\n",
    b"Content-Length: -5\r\n",
    b"Content-Length: +5\r\n",
    b"Content-Length: 5_0\r\n",
    b"Content-Length: 0x5\r\n",
    b"Content-Length: five\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Content-Length:\r\n",
    b"Content_Length: 5\r\n",
    b"Transfer_Encoding: chunked\r\n",
    b"Transfer-Encoding: gzip\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Transfer-Encoding: chunked, chunked\r\n",
    b"Transfer-Encoding: xchunked\r\n",
    b"Transfer-Encoding: identity\r\n",
    b"Transfer-Encoding:\r\n",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    b"Transfer-Encoding : chunked\r\n",
    b"Transfer-Encoding:\r\n chunked\r\n",
    b"X-Folded: a\r\n b\r\n",
    b"X-Folded: a\r\n\tTransfer-Encoding: chunked\r\n",
    b" X-First: a\r\n",
    b"X-Bare: a\nX-Line: b\r\n",
    b"X-Bare: a\rX-Line: b\r\n",
    b"X-Nul: a\0b\r\n",
    b"no colon\r\n",
    b": no name\r\n",
    b"X Space: a\r\n",
    b"X-\xe5: a\r\n",
    b"Host: other\r\n",
    b"Idempotency-Key: a.1\r\nIdempotency-Key: a.2\r\n",
    b"Citronspan-Account: a\r\nCitronspan-Account: b\r\n",
    b"Request-Timeout-Seconds: soon\r\n",
    b"Request-Timeout-Seconds: -1\r\n",
    b"Request-Timeout-Seconds: nan\r\n",
    b"X-Long: " + b"a" * 100_000 + b"\r\n",
    b"X-Many: a\r\n" * 5_000,
]

BAD_REQUEST_LINES = [
    b"POST {path} HTTP/2.0",
    b"POST {path} HTTP/1.1 x",
    b"POST {path}",
    b"POST {path} a HTTP/1.1",
    b"post {path} HTTP/1.1",
    b"PO(ST {path} HTTP/1.1",
    b"POST {path}\x01 HTTP/1.1",
    b"POST {path}\xe5 HTTP/1.1",
    b"POST {path}#a HTTP/1.1",
    b"POST http://h{path} HTTP/1.1",
    b"CONNECT h:1 HTTP/1.1",
    b"POST  {path} HTTP/1.1",
    b"POST {path}" + b"a" * 100_000 + b" HTTP/1.1",
    b"{path}",
]


def assert_refused(running, response, path):
    assert response.find_complete_body() is not None, response
    assert 400 <= response.status < 500, response
    assert response.result, response
    assert (
        result_codes.RESULT_CODE_BY_NUMBER[response.result].http_status
        == response.status
    )
    assert response.ran == "not-run", response
    assert not running.targets.find_received(path)
    assert not running.targets.find_received("/read/smuggled")


@pytest.mark.parametrize("headers", BAD_HEADERS)
def test_bad_headers_are_refused_and_nothing_is_run(running, headers):
    path = running.make_path("write")
    running.targets.set_scripts(path, ANSWER)
    running.targets.set_scripts("/read/smuggled", ANSWER)
    head = b"POST %s HTTP/1.1\r\nHost: h\r\n%s\r\n" % (path.encode(), headers)
    response = running.exchange(head + b"0\r\n\r\n" + SMUGGLED)
    assert_refused(running, response, path)


@pytest.mark.parametrize("line", BAD_REQUEST_LINES)
def test_bad_request_lines_are_refused_and_nothing_is_run(running, line):
    path = running.make_path("write")
    running.targets.set_scripts(path, ANSWER)
    running.targets.set_scripts("/read/smuggled", ANSWER)
    line = line.replace(b"{path}", path.encode())
    response = running.exchange(line + b"\r\nHost: h\r\n\r\n" + SMUGGLED)
    assert_refused(running, response, path)


def test_missing_host_and_chunks_in_http_1_0_are_refused(running):
    for head in (
        b"POST %s HTTP/1.1\r\n\r\n",
        b"POST %s HTTP/1.0\r\nTransfer-Encoding: chunked\r\n"
        b"Connection: Keep-Alive\r\n\r\n",
    ):
        path = running.make_path("write")
        running.targets.set_scripts(path, ANSWER)
        running.targets.set_scripts("/read/smuggled", ANSWER)
        response = running.exchange(head % path.encode() + SMUGGLED)
        assert_refused(running, response, path)


def test_repeated_headers_are_joined_for_the_target(running):
    path = running.make_path("write")
    running.targets.set_scripts(path, ANSWER)
    headers = "X-Pack: a\r\nx-pack: b\r\nCookie: a=1\r\nCookie: b=2\r\n"
    assert running.request("POST", path, headers=headers).status == 200
    (received,) = running.targets.find_received(path)
    assert received.header_by_name["x-pack"] == "a, b"
    assert received.header_by_name["cookie"] == "a=1; b=2"


FRAGMENTS = st.sampled_from(
    [
        b"POST /write/fuzz HTTP/1.1\r\n",
        b"GET /write/fuzz HTTP/1.0\r\n",
        b"Host: h\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 0\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"Expect: 100-continue\r\n",
        b"\r\n",
        b"\n",
        b"\r",
        b" ",
        b":",
        b"order",
        b"5\r\norder\r\n",
        b"0\r\n",
        b"\0\xff",
    ]
)


@settings(max_examples=150)
@given(parts=st.lists(FRAGMENTS, max_size=12))
def test_arbitrary_bytes_get_numbered_refusals_or_complete_runs(running, parts):
    path = "/write/fuzz"
    running.targets.set_scripts(path, ANSWER)
    before = len(running.targets.find_received(path))
    response = running.exchange(b"".join(parts), end_sending=True)
    received = running.targets.find_received(path)[before:]
    for request in received:
        assert not request.is_complete or request.body in (b"", b"order", b"orderorder")
    # The answers to pipelined requests follow one another.
    for answer in response.data.split(b"HTTP/1.1 ")[1:]:
        is_ours = b"Citronspan-Target" in answer or b"Citronspan-Result" in answer
        assert is_ours or answer.startswith(b"100 "), answer
    if b"Citronspan-Ran: not-run" in response.data and b" 200 OK" not in response.data:
        assert not any(request.is_complete for request in received)


def test_caller_that_is_still_sending_receives_the_refusal(running):
    body = b"c" * 3_000_000
    for _ in range(5):
        response = running.request("PUT", "/no-such-route", body=body)
        assert (response.status, response.ran) == (404, "not-run"), response


def test_early_answer_does_not_allow_request_smuggling(running):
    """Guards against smuggling by a body that its target had not read when it answered.

    The unread rest of the body must not be handled as the next request.
    """
    running.targets.set_scripts("/read/smuggled", ANSWER)
    early = TargetScript(parts=ANSWER.parts, read_body=False, end="hold")
    # Larger than the entry's buffer; a smaller body is read before a target is used.
    filler = b"c" * (MAXIMUM_BUFFERED_BODY_BYTES + 200_000)
    for framing, start, end in (
        (b"Transfer-Encoding: chunked", b"%x\r\n" % len(filler), b"\r\n0\r\n\r\n"),
        (b"Content-Length: %d" % (2 * len(filler)), b"", b""),
    ):
        path = running.make_path("write")
        running.targets.set_scripts(path, early)
        head = b"PUT %s HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n" % (path.encode(), framing)
        with running.open() as caller, contextlib.suppress(OSError):
            caller.sendall(head + start + filler)
            time.sleep(0.1)
            caller.sendall(end + SMUGGLED)
            response = read_to_end(caller)
            assert response.data.count(b"HTTP/1.1 ") <= 1, response
        assert not running.targets.find_received("/read/smuggled")


def test_request_after_a_buffered_body_is_handled_separately(running):
    """A request after a fully read body is valid, even if the target answered early."""
    running.targets.set_scripts("/read/smuggled", ANSWER)
    path = running.make_path("write")
    early = TargetScript(parts=ANSWER.parts, read_body=False, end="hold")
    running.targets.set_scripts(path, early)
    body = b"c" * 200_000
    head = b"PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    first = head % (path.encode(), len(body)) + body
    response = running.exchange(first + SMUGGLED, end_sending=True)
    assert response.data.count(b"HTTP/1.1 200") == 2, response
    (received,) = running.targets.find_received("/read/smuggled")
    assert received.body == b""


def test_disconnecting_callers_do_not_exhaust_the_entry(running):
    body = b"c" * 2_000_000
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    path = running.make_path("read")
    running.targets.set_scripts(path, TargetScript(parts=(answer,)))
    head = f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
    for _ in range(3 * running.settings.worker_threads):
        with running.open() as caller:
            caller.sendall(head)
            caller.recv(10)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    response = running.request("GET", path)
    assert response.find_complete_body() == body


def test_idle_connections_occupy_no_worker(running):
    path = running.make_path("read")
    running.targets.set_scripts(path, ANSWER)
    with contextlib.ExitStack() as stack:
        for _ in range(2 * running.settings.worker_threads):
            stack.enter_context(running.open())
        assert running.request("GET", path).status == 200


def test_slow_body_is_refused_at_the_deadline(running):
    path = running.make_path("quick")
    running.targets.set_scripts(path, ANSWER)
    deadline = time.monotonic() + TEST_TIMEOUT_SECONDS
    for length in (50_000, 500_000):
        head = f"PUT {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
        with running.open() as caller:
            caller.sendall(head.encode())
            caller.settimeout(POLL_SECONDS)
            while True:
                assert time.monotonic() < deadline, (
                    "the body was still accepted after the deadline"
                )
                with contextlib.suppress(TimeoutError):
                    data = caller.recv(65536)
                    break
                caller.sendall(b"c")
        assert data.split()[1] == b"408", data
        assert b"Citronspan-Ran: not-run" in data or length > 65536
    assert running.targets.count_runs(path) == 0


def test_upload_that_stalls_at_a_target_is_refused_as_not_run(running):
    path = running.make_path("quick")
    running.targets.set_scripts(path, ANSWER)
    head = f"PUT {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {1 << 21}\r\n\r\n"
    with running.open() as caller:
        caller.sendall(head.encode() + b"c" * (MAXIMUM_BUFFERED_BODY_BYTES + 50_000))
        response = read_to_end(caller)
    deadline = time.monotonic() + TEST_TIMEOUT_SECONDS
    while not running.targets.find_received(path):
        assert time.monotonic() < deadline, "no target got a part of the upload"
        time.sleep(POLL_SECONDS)
    assert response.status in (502, 504)
    assert response.ran == "may-have-run"


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"HEAD /nowhere/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        b"HEAD /read/1 HTTP/1.1\r\nHost: h\r\nRequest-Timeout-Seconds: x\r\n\r\n",
        b"HEAD /read/1 HTTP/1.1\r\n\r\n",
        b"HEAD /read/1 HTTP/1.1\r\nHost: h\r\nX Y: a\r\n\r\n",
    ],
)
def test_refusal_of_head_has_a_body(running, request_bytes):
    response = running.exchange(request_bytes)
    assert response.status in (400, 404)
    assert response.result
    assert response.data.endswith(b"\r\n\r\n")


def test_header_with_an_underscore_is_refused_or_merged_with_another(running):
    path = running.make_path("write")
    running.targets.set_scripts(path, ANSWER)
    headers = "X_Shop: 1\r\nX-Shop: 2\r\nx_shop: 3\r\nX-Gone_: 4\r\n_: 5\r\n"
    headers += "Keep_Alive: 6\r\nTrace_Parent: 7\r\nTraceparent_: 8\r\n"
    response = running.request("POST", path, headers=headers, body=b"order")
    assert (response.status, response.find_complete_body()) == (200, b"final")
    (received,) = running.targets.find_received(path)
    found = received.header_by_name
    assert (found["x_shop"], found["x-shop"]) == ("1, 3", "2")
    assert (found["x-gone_"], found["_"]) == ("4", "5")
    assert "keep_alive" not in found and "keep-alive" not in found


@pytest.mark.parametrize(
    "name", ["Content_Length", "Transfer_encoding", "HOST_", "Idempotency_Key", "Host"]
)
def test_header_that_looks_like_a_framing_one_reaches_a_target(running, name):
    path = running.make_path("write")
    running.targets.set_scripts(path, ANSWER)
    response = running.request("POST", path, headers=f"{name}: 5\r\n")
    is_refused = name != "HOST_"
    assert (response.status == 400) is is_refused
    assert running.targets.count_runs(path) == (not is_refused)
