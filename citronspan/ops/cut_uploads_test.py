"""An upload that its caller cuts short is never passed off as complete."""

import pytest

from citronspan.ops.conftest import Script

ANSWER = Script(parts=(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored",))
BODY = b"castle" * 6


def make_upload(path, body, *, chunked, chunk_bytes=11):
    head = f"PUT {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n".encode()
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    parts = [head, b"Transfer-Encoding: chunked\r\n\r\n"]
    for start in range(0, len(body), chunk_bytes):
        part = body[start : start + chunk_bytes]
        # Leading zeros are allowed, and a cut in them must not look like the end.
        parts.append(b"0%x;a=b\r\n%s\r\n" % (len(part), part))
    return b"".join([*parts, b"0\r\nX-Trailer: 1\r\n\r\n"])


def expect_not_stored(running, path, seen):
    assert not any(taken.whole for taken in running.targets.find_taken(path))
    assert running.targets.count_ran(path) == 0
    if not seen.data:
        return
    assert seen.result, seen
    assert seen.status >= 400
    assert seen.ran != "ran"


@pytest.mark.parametrize("chunked", [False, True])
def test_uploads_cut_at_every_byte(running, chunked):
    whole = make_upload("/write/0000000", BODY, chunked=chunked)
    for count in range(len(whole)):
        path = f"/write/{int(chunked)}{count:06}"
        running.targets.set_scripts(path, ANSWER)
        data = make_upload(path, BODY, chunked=chunked)[:count]
        seen = running.exchange(data, end_sending=True)
        expect_not_stored(running, path, seen)


@pytest.mark.parametrize("chunked", [False, True])
def test_long_uploads_arrive_whole_or_not_at_all(running, chunked):
    body = b"castle" * 50_000
    path = running.make_path("write")
    running.targets.set_scripts(path, ANSWER)
    whole = make_upload(path, body, chunked=chunked, chunk_bytes=100_000)
    seen = running.exchange(whole)
    assert seen.find_whole_body() == b"stored"
    (taken,) = running.targets.find_taken(path)
    assert taken.body == body
    for count in (70_000, 100_200, 200_300, len(whole) - 20, len(whole) - 1):
        path = running.make_path("write")
        running.targets.set_scripts(path, ANSWER)
        data = make_upload(path, body, chunked=chunked, chunk_bytes=100_000)[:count]
        seen = running.exchange(data, end_sending=True)
        expect_not_stored(running, path, seen)


WRONG_CHUNKS = [
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


@pytest.mark.parametrize("chunks", WRONG_CHUNKS)
def test_wrong_chunks_are_refused(running, chunks):
    path = running.make_path("write")
    running.targets.set_scripts(path, ANSWER)
    head = f"PUT {path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    seen = running.exchange(head.encode() + chunks)
    assert seen.result, seen
    expect_not_stored(running, path, seen)
