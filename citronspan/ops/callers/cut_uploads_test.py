"""Tests that an upload that the caller truncates is never handled as complete."""

import pytest

from citronspan_standins.scripted_targets import TargetScript

ANSWER = TargetScript(parts=(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored",))
BODY = b"castle" * 6


def make_upload(path, body, *, chunked, chunk_bytes=11):
    head = f"PUT {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n".encode()
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    parts = [head, b"Transfer-Encoding: chunked\r\n\r\n"]
    for start in range(0, len(body), chunk_bytes):
        part = body[start : start + chunk_bytes]
        # Leading zeros are valid; a truncation after one must not look like the last
        # chunk.
        parts.append(b"0%x;a=b\r\n%s\r\n" % (len(part), part))
    return b"".join([*parts, b"0\r\nX-Trailer: 1\r\n\r\n"])


def assert_not_stored(running, path, response):
    assert not any(
        received.is_complete for received in running.targets.find_received(path)
    )
    assert running.targets.count_runs(path) == 0
    if not response.data:
        return
    assert response.result, response
    assert response.status >= 400
    assert response.ran != "ran"


@pytest.mark.parametrize("chunked", [False, True])
def test_upload_truncated_at_any_byte_is_not_stored(running, chunked):
    complete_upload = make_upload("/write/0000000", BODY, chunked=chunked)
    for count in range(len(complete_upload)):
        path = f"/write/{int(chunked)}{count:06}"
        running.targets.set_scripts(path, ANSWER)
        data = make_upload(path, BODY, chunked=chunked)[:count]
        response = running.exchange(data, end_sending=True)
        assert_not_stored(running, path, response)


@pytest.mark.parametrize("chunked", [False, True])
def test_long_upload_is_stored_only_if_complete(running, chunked):
    body = b"castle" * 50_000
    path = running.make_path("write")
    running.targets.set_scripts(path, ANSWER)
    complete_upload = make_upload(path, body, chunked=chunked, chunk_bytes=100_000)
    response = running.exchange(complete_upload)
    assert response.find_complete_body() == b"stored"
    (received,) = running.targets.find_received(path)
    assert received.body == body
    for count in (
        70_000,
        100_200,
        200_300,
        len(complete_upload) - 20,
        len(complete_upload) - 1,
    ):
        path = running.make_path("write")
        running.targets.set_scripts(path, ANSWER)
        data = make_upload(path, body, chunked=chunked, chunk_bytes=100_000)[:count]
        response = running.exchange(data, end_sending=True)
        assert_not_stored(running, path, response)


MALFORMED_CHUNKS = [
    b"-5\r\ncastl\r\n0\r\n\r\n",
    b"-0\r\n\r\n",
    b"0x5\r\ncastl\r\n0\r\n\r\n",
    b"1_0\r\n" + b"c" * 16 + b"\r\n0\r\n\r\n",
    b"+5\r\ncastl\r\n0\r\n\r\n",
    b"5\r\ncastlXX0\r\n\r\n",
    b"5\r\ncastle\r\n0\r\n\r\n",
    b"\r\ncastl\r\n0\r\n\r\n",
    b"5\ncastl\r\n0\r\n\r\n",
    b"5\r\ncastl\n0\r\n\r\n",
    b"fffffffffffffffffffff\r\ncastl\r\n0\r\n\r\n",
    b"5" + b";a" * 100_000 + b"\r\ncastl\r\n0\r\n\r\n",
    b"5\r\ncastl\r\n0\r\n" + b"X-Trailer: 1\r\n" * 10_000 + b"\r\n",
]


@pytest.mark.parametrize("chunks", MALFORMED_CHUNKS)
def test_malformed_chunks_are_refused(running, chunks):
    path = running.make_path("write")
    running.targets.set_scripts(path, ANSWER)
    head = f"PUT {path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    response = running.exchange(head.encode() + chunks)
    assert response.result, response
    assert_not_stored(running, path, response)
