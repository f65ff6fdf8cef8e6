"""Tests that an answer without end costs a reader a bound, in memory and in time."""

import time

import pytest
import urllib3

from citronspan.utils.bounded_http import AnswerBounds, BoundedHttpClient
from citronspan_standins.endless_server import EndlessServer

BOUNDS = AnswerBounds(body_bytes=1 << 20, seconds=1.0)
TIMEOUT = urllib3.Timeout(connect=1.0, read=1.0)
MAXIMUM_MEMORY_BYTES = 4 << 20
IN_TRANSIT_BYTES = 12 << 20
"""Bytes that may be in the buffers of both sockets when the client closes."""

MOST_BYTES = 64 << 20
PART_BYTES = 32 * 1024
NOISE = b"x" * PART_BYTES
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

ENDLESS = {
    "bytes without a line": (b"", NOISE),
    "one header line": (HEAD + b"X-A: ", NOISE),
    "header lines": (HEAD, b"X-A: %s\r\n" % NOISE),
    "short header lines": (HEAD, b"X-A: b\r\n" * 1000),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "long interim answers": (b"", b"HTTP/1.1 100 Continue\r\nX-A: %s\r\n\r\n" % NOISE),
    "body without a length": (HEAD + b"\r\n", NOISE),
    "declared length": (HEAD + b"Content-Length: 99999999999999\r\n\r\n", NOISE),
    "chunks": (CHUNKED, b"%x\r\n%s\r\n" % (PART_BYTES, NOISE)),
    "one chunk": (CHUNKED + b"fffffffffffff\r\n", NOISE),
    "chunk size line": (CHUNKED + b"1;", NOISE),
    "trailer": (CHUNKED + b"0\r\n", b"X-A: %s\r\n" % NOISE),
}


def run(server, bounds=BOUNDS):
    client = BoundedHttpClient(bounds=bounds, connections=1)
    try:
        return client.request("GET", f"http://{server.address}/", timeout=TIMEOUT)
    finally:
        server.close()


@pytest.mark.parametrize("case", ENDLESS)
def test_endless_answer_is_kept_in_memory(peak_memory, case):
    start, part = ENDLESS[case]
    server = EndlessServer(start=start, part=part, most_bytes=MOST_BYTES)
    with pytest.raises(urllib3.exceptions.HTTPError):
        run(server)
    assert peak_memory() < MAXIMUM_MEMORY_BYTES
    assert server.sent_bytes < IN_TRANSIT_BYTES


@pytest.mark.parametrize(
    "start", [b"", HEAD, HEAD + b"\r\n", CHUNKED, CHUNKED + b"fff\r\n"]
)
def test_answer_of_one_byte_now_and_then_is_read_for_ever(start):
    server = EndlessServer(start=start, part=b"1", pause_seconds=0.05)
    began_at = time.monotonic()
    with pytest.raises(urllib3.exceptions.HTTPError):
        run(server)
    assert time.monotonic() - began_at < 2 * (TIMEOUT.read_timeout + BOUNDS.seconds)


@pytest.mark.parametrize("size", [0, 1, PART_BYTES, BOUNDS.body_bytes])
def test_answer_within_the_bounds_is_cut(size):
    head = HEAD + b"Content-Length: %d\r\n\r\n" % size
    server = EndlessServer(start=head + b"y" * size, part=b"", most_bytes=0)
    answer = run(server)
    assert (answer.status, answer.data) == (200, b"y" * size)


def test_compressed_answer_is_unpacked_to_any_size():
    """No server is asked for one; what it unpacks to is not known before."""
    head = HEAD + b"Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\n"
    answer = run(EndlessServer(start=head + b"abc", part=b"", most_bytes=0))
    assert answer.data == b"abc"
