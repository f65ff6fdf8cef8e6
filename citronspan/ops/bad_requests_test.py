"""Bad input of callers: a clear numbered error, nothing run, no worker held."""

import contextlib
import socket
import time

import pytest
from hypothesis import given, settings, strategies as st

from citronspan.core import result_codes
from citronspan.ops.caller_request import MAXIMUM_BUFFERED_BODY_BYTES
from citronspan.ops.conftest import (
    BOUND_SECONDS,
    LINGER_RESET,
    POLL_SECONDS,
    Script,
    read_to_end,
)

ANSWER = Script(parts=(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfinal",))
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

BAD_LINES = [
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


def expect_refusal(running, seen, path):
    assert seen.find_whole_body() is not None, seen
    assert 400 <= seen.status < 500, seen
    assert seen.result, seen
    assert result_codes.RESULT_CODE_BY_NUMBER[seen.result].http_status == seen.status
    assert seen.ran == "not-run", seen
    assert not running.targets.find_taken(path)
    assert not running.targets.find_taken("/read/smuggled")


@pytest.mark.parametrize("headers", BAD_HEADERS)
def test_bad_headers_are_refused_and_nothing_is_run(running, headers):
    path = running.make_path("write")
    running.targets.set_scripts(path, ANSWER)
    running.targets.set_scripts("/read/smuggled", ANSWER)
    head = b"POST %s HTTP/1.1\r\nHost: h\r\n%s\r\n" % (path.encode(), headers)
    seen = running.exchange(head + b"0\r\n\r\n" + SMUGGLED)
    expect_refusal(running, seen, path)


@pytest.mark.parametrize("line", BAD_LINES)
def test_bad_request_lines_are_refused_and_nothing_is_run(running, line):
    path = running.make_path("write")
    running.targets.set_scripts(path, ANSWER)
    running.targets.set_scripts("/read/smuggled", ANSWER)
    line = line.replace(b"{path}", path.encode())
    seen = running.exchange(line + b"\r\nHost: h\r\n\r\n" + SMUGGLED)
    expect_refusal(running, seen, path)


def test_requests_without_host_or_with_chunks_in_an_old_protocol(running):
    for head in (
        b"POST %s HTTP/1.1\r\n\r\n",
        b"POST %s HTTP/1.0\r\nTransfer-Encoding: chunked\r\n"
        b"Connection: Keep-Alive\r\n\r\n",
    ):
        path = running.make_path("write")
        running.targets.set_scripts(path, ANSWER)
        running.targets.set_scripts("/read/smuggled", ANSWER)
        seen = running.exchange(head % path.encode() + SMUGGLED)
        expect_refusal(running, seen, path)


def test_repeated_headers_reach_the_target_together(running):
    path = running.make_path("write")
    running.targets.set_scripts(path, ANSWER)
    headers = "X-Pack: a\r\nx-pack: b\r\nCookie: a=1\r\nCookie: b=2\r\n"
    assert running.request("POST", path, headers=headers).status == 200
    (taken,) = running.targets.find_taken(path)
    assert taken.header_by_name["x-pack"] == "a, b"
    assert taken.header_by_name["cookie"] == "a=1; b=2"


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
def test_any_bytes_get_numbered_refusals_or_whole_runs(running, parts):
    path = "/write/fuzz"
    running.targets.set_scripts(path, ANSWER)
    before = len(running.targets.find_taken(path))
    seen = running.exchange(b"".join(parts), end_sending=True)
    taken = running.targets.find_taken(path)[before:]
    for request in taken:
        assert not request.whole or request.body in (b"", b"order", b"orderorder")
    # Answers to pipelined requests stand one after another.
    for answer in seen.data.split(b"HTTP/1.1 ")[1:]:
        is_ours = b"Citronspan-Target" in answer or b"Citronspan-Result" in answer
        assert is_ours or answer.startswith(b"100 "), answer
    if b"Citronspan-Ran: not-run" in seen.data and b" 200 OK" not in seen.data:
        assert not any(request.whole for request in taken)


def test_a_refusal_reaches_a_caller_that_is_still_sending(running):
    body = b"c" * 3_000_000
    for _ in range(5):
        seen = running.request("PUT", "/no-such-route", body=body)
        assert (seen.status, seen.ran) == (404, "not-run"), seen


def test_early_answers_leave_nothing_for_a_next_request(running):
    """A target that answers before it has read must not open a way to smuggle."""
    running.targets.set_scripts("/read/smuggled", ANSWER)
    early = Script(parts=ANSWER.parts, read_body=False, end="hold")
    # More than the entry buffers, or it would read all before it asks a target.
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
            seen = read_to_end(caller)
            assert seen.data.count(b"HTTP/1.1 ") <= 1, seen
        assert not running.targets.find_taken("/read/smuggled")


def test_a_request_after_a_buffered_body_is_one_of_its_own(running):
    """A body that was read whole ends where it ends, however the target answered."""
    running.targets.set_scripts("/read/smuggled", ANSWER)
    path = running.make_path("write")
    early = Script(parts=ANSWER.parts, read_body=False, end="hold")
    running.targets.set_scripts(path, early)
    body = b"c" * 200_000
    head = b"PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    first = head % (path.encode(), len(body)) + body
    seen = running.exchange(first + SMUGGLED, end_sending=True)
    assert seen.data.count(b"HTTP/1.1 200") == 2, seen
    (taken,) = running.targets.find_taken("/read/smuggled")
    assert taken.body == b""


def test_callers_that_leave_do_not_wear_out_the_entry(running):
    body = b"c" * 2_000_000
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    path = running.make_path("read")
    running.targets.set_scripts(path, Script(parts=(answer,)))
    head = f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
    for _ in range(3 * running.settings.worker_threads):
        with running.open() as caller:
            caller.sendall(head)
            caller.recv(10)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    seen = running.request("GET", path)
    assert seen.find_whole_body() == body


def test_silent_callers_hold_no_worker(running):
    path = running.make_path("read")
    running.targets.set_scripts(path, ANSWER)
    with contextlib.ExitStack() as stack:
        for _ in range(2 * running.settings.worker_threads):
            stack.enter_context(running.open())
        assert running.request("GET", path).status == 200


def test_slow_bodies_end_at_the_deadline(running):
    path = running.make_path("quick")
    running.targets.set_scripts(path, ANSWER)
    until = time.monotonic() + BOUND_SECONDS
    for length in (50_000, 500_000):
        head = f"PUT {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
        with running.open() as caller:
            caller.sendall(head.encode())
            caller.settimeout(POLL_SECONDS)
            while True:
                assert time.monotonic() < until, "the deadline did not end the body"
                with contextlib.suppress(TimeoutError):
                    data = caller.recv(65536)
                    break
                caller.sendall(b"c")
        assert data.split()[1] == b"408", data
        assert b"Citronspan-Ran: not-run" in data or length > 65536
    assert running.targets.count_ran(path) == 0
