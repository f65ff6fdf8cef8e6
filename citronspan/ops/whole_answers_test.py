"""A caller gets the whole answer to its own request or sees that it failed."""

import time

import pytest
from hypothesis import given, settings, strategies as st

from citronspan.ops.conftest import Script

BODY = b"castle" * 5
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nTarget-Not-Run: shed\r\n\r\n"


def make_answer(body, *, chunked, chunk_bytes=7, status=b"200 OK"):
    head = b"HTTP/1.1 " + status + b"\r\nX-Order: 17\r\n"
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    parts = [head, b"Transfer-Encoding: chunked\r\n\r\n"]
    for start in range(0, len(body), chunk_bytes):
        part = body[start : start + chunk_bytes]
        # Leading zeros are allowed, and a cut in them must not look like the end.
        parts.append(b"0%x\r\n%s\r\n" % (len(part), part))
    return b"".join([*parts, b"0\r\n\r\n"])


def check_seen(running, path, seen, body, status=200):
    """The rules that hold whatever the target does."""
    ran = running.targets.count_ran(path)
    if path.startswith(("/write", "/quick")):
        assert ran <= 1, "a request that may not run twice did"
    if seen.result:
        assert seen.find_whole_body() is not None
        assert "citronspan-target" not in seen.header_by_name
        assert seen.ran in ("not-run", "may-have-run", "ran")
        if seen.ran == "not-run":
            assert ran == 0, "said to be not run, but was"
        if seen.ran == "ran":
            assert ran > 0, "said to have run, but was not"
        return
    found = seen.find_whole_body()
    if found is None:
        return
    assert seen.status == status
    assert seen.header_by_name.get("x-order") == "17"
    assert found == body, "a short or crossed answer looks complete"


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("body", [b"", BODY])
def test_answers_cut_at_every_byte(running, body, chunked, end):
    answer = make_answer(body, chunked=chunked)
    for count in range(len(answer)):
        path = running.make_path("write")
        running.targets.set_scripts(path, Script(parts=(answer[:count],), end=end))
        seen = running.request("POST", path, body=b"order")
        assert seen.result, (count, seen)
        assert seen.ran == "may-have-run", (count, seen)
        check_seen(running, path, seen, body)


def test_cut_answer_is_tried_again_where_that_is_allowed(running):
    answer = make_answer(BODY, chunked=True)
    for count in range(0, len(answer), 5):
        path = running.make_path("read")
        running.targets.set_scripts(
            path, Script(parts=(answer[:count],)), Script(parts=(answer,))
        )
        seen = running.request("GET", path)
        assert seen.find_whole_body() == BODY, (count, seen)


@pytest.mark.parametrize("protocol", ["1.0", "1.1"])
@pytest.mark.parametrize("chunked", [False, True])
def test_long_answers_cut_short_fail_visibly(running, chunked, protocol):
    body = b"c" * 200_000
    answer = make_answer(body, chunked=chunked, chunk_bytes=50_000)
    for count in (100, 70_000, 150_000, len(answer) - 5, len(answer) - 1):
        path = running.make_path("write")
        running.targets.set_scripts(path, Script(parts=(answer[:count],)))
        seen = running.exchange(
            f"POST {path} HTTP/{protocol}\r\nHost: h\r\n\r\n".encode()
        )
        assert seen.result or seen.find_whole_body() is None, (count, seen.data[:300])
        check_seen(running, path, seen, body)
    path = running.make_path("write")
    running.targets.set_scripts(path, Script(parts=(answer,)))
    seen = running.exchange(
        f"POST {path} HTTP/{protocol}\r\nHost: h\r\nConnection: close\r\n\r\n".encode()
    )
    assert seen.find_whole_body() == body


def test_interim_answers_are_not_the_answer(running):
    answer = make_answer(BODY, chunked=False)
    for interim in (b"100 Continue", b"102 Processing", b"103 Early Hints"):
        path = running.make_path("read")
        head = b"HTTP/1.1 " + interim + b"\r\nX-Order: 99\r\n\r\n"
        script = Script(parts=(head, answer), end="keep", pause_seconds=0.05)
        running.targets.set_scripts(path, script)
        seen = running.request("GET", path)
        assert (seen.status, seen.find_whole_body()) == (200, BODY), interim
    path = running.make_path("write")
    switching = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
    running.targets.set_scripts(path, Script(parts=(switching, answer)))
    seen = running.request("POST", path)
    assert seen.ran == "may-have-run", seen


@pytest.mark.parametrize("late", [False, True])
def test_bytes_after_an_answer_are_not_the_next_answer(running, late):
    whole = make_answer(BODY, chunked=False)
    crossed = make_answer(b"not yours", chunked=False)
    parts = (whole, crossed) if late else (whole + crossed[:20], crossed[20:])
    path = running.make_path("read")
    script = Script(parts=parts, end="keep", pause_seconds=0.02)
    running.targets.set_scripts(path, script)
    for _ in range(12):
        seen = running.request("GET", path)
        assert seen.find_whole_body() == BODY, seen
        # What arrives unasked after the connection was given to another request
        # cannot be told from its answer, so it has to be here before.
        time.sleep(0.1 if late else 0.0)


WRONG_HEADS = [
    b"HTTP/1.1 200 OK\r\nX-Order: 17\r\nContent-Length: 3\r\nContent-Length: 30\r\n",
    b"HTTP/1.1 200 OK\r\nX-Order: 17\r\nContent-Length: -1\r\n",
    b"HTTP/1.1 200 OK\r\nX-Order: 17\r\nContent-Length: 3_0\r\n",
    b"HTTP/1.1 200 OK\r\nX-Order: 17\r\nContent-Length: thirty\r\n",
    b"HTTP/1.1 200 OK\r\nX-Order: 17\r\nContent-Length: 31\r\n",
    b"HTTP/1.1 200 OK\r\nX-Order: 17\r\n",
    b"HTTP/1.1 200 OK\r\nX-Order: 17\r\nTransfer-Encoding: gzip\r\n",
    b"HTTP/1.1 200 OK\r\nX-Order: 17\r\nTransfer-Encoding: gzip, chunked\r\n",
    b"HTTP/1.1 2000 OK\r\nX-Order: 17\r\nContent-Length: 30\r\n",
    b"HTTP/1.1 OK\r\nX-Order: 17\r\nContent-Length: 30\r\n",
    b"ICY 200 OK\r\nX-Order: 17\r\nContent-Length: 30\r\n",
    b"\r\nX-Order: 17\r\nContent-Length: 30\r\n",
    b"HTTP/1.1 200 OK\r\n" + b"X-Order: 17\r\n" * 300 + b"Content-Length: 30\r\n",
    b"HTTP/1.1 200 OK\r\nX-Long: " + b"a" * 100_000 + b"\r\nContent-Length: 30\r\n",
]


@pytest.mark.parametrize("head", WRONG_HEADS)
def test_answers_that_cannot_be_trusted_are_refused(running, head):
    path = running.make_path("write")
    running.targets.set_scripts(path, Script(parts=(head + b"\r\n" + BODY,)))
    seen = running.request("POST", path)
    assert seen.result, seen.data[:300]
    assert seen.ran == "may-have-run"


WRONG_CHUNKS = [
    b"-5\r\ncastl\r\n0\r\n\r\n",
    b"0x5\r\ncastl\r\n0\r\n\r\n",
    b"1_0\r\n" + b"c" * 16 + b"\r\n0\r\n\r\n",
    b"+5\r\ncastl\r\n0\r\n\r\n",
    b"5\r\ncastlXX0\r\n\r\n",
    b"\r\ncastl\r\n0\r\n\r\n",
    b"5\ncastl\r\n0\r\n\r\n",
    b"fffffffffffffffffffff\r\ncastl\r\n0\r\n\r\n",
    b"5\r\ncastl\r\n",
    b"5\r\ncastl\r\n0\r\n",
    b"5\r\ncastl\r\n0\r\nX-Trailer: 1\r\n",
]


@pytest.mark.parametrize("chunks", WRONG_CHUNKS)
def test_wrong_chunks_are_refused(running, chunks):
    path = running.make_path("write")
    head = b"HTTP/1.1 200 OK\r\nX-Order: 17\r\nTransfer-Encoding: chunked\r\n\r\n"
    running.targets.set_scripts(path, Script(parts=(head + chunks,)))
    seen = running.request("POST", path)
    assert seen.result, seen
    assert seen.ran == "may-have-run"


def test_answers_after_the_deadline_never_arrive(running):
    answer = make_answer(BODY, chunked=False)
    path = running.make_path("quick")
    running.targets.set_scripts(path, Script(parts=(answer,), delay_seconds=0.8))
    seen = running.request("POST", path)
    assert (seen.status, seen.ran) == (504, "may-have-run")


@pytest.mark.parametrize("at_once", [0, 60])
def test_dripping_answers_end_at_the_deadline(running, at_once):
    # Dripped to its end, the answer would take longer than the caller waits.
    answer = make_answer(BODY * 100, chunked=False)
    drip = tuple(answer[index : index + 1] for index in range(at_once, len(answer)))
    path = running.make_path("quick")
    script = Script(parts=(answer[:at_once], *drip), pause_seconds=0.05)
    running.targets.set_scripts(path, script)
    seen = running.request("POST", path)
    assert (seen.status, seen.ran) == (504, "may-have-run")


PARTS = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 500 Oops\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"X-Order: 17\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 50\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"Target-Not-Run: shed\r\n",
        b" folded\r\n",
        b"\r\n",
        b"\n",
        b"5\r\ncastl\r\n",
        b"castl",
        b"0\r\n\r\n",
    ]
)


@settings(max_examples=200)
@given(
    parts=st.lists(PARTS, max_size=9).map(tuple),
    end=st.sampled_from(["close", "reset"]),
    prefix=st.sampled_from(["read", "write"]),
)
def test_garbled_answers_never_look_like_another_answer(running, parts, end, prefix):
    path = running.make_path(prefix)
    data = b"".join(parts)
    head = data.partition(b"\r\n\r\n")[0]
    proves_not_run = b" 503 " in head and b"\nTarget-Not-Run: " in head
    script = Script(parts=(data,), end=end, runs=not proves_not_run)
    running.targets.set_scripts(path, script)
    method = "GET" if prefix == "read" else "POST"
    seen = running.request(method, path)
    assert seen.status, "no answer at all"
    if seen.result:
        check_seen(running, path, seen, b"")
        return
    # What is passed on must be what an independent reader of the answer finds.
    found = seen.find_whole_body()
    if found is None:
        return
    assert found in (b"", b"castl", b"castlcastl") or found in data
    assert seen.status in (200, 500)


def test_the_last_attempt_has_all_the_time_that_is_left(running):
    """Its target was cut off at half of the time, though none could follow."""
    path = running.make_path("once")
    late = Script(parts=(make_answer(BODY, chunked=False),), delay_seconds=0.7)
    running.targets.set_scripts(path, late)
    seen = running.request("GET", path)
    assert (seen.status, seen.find_whole_body()) == (200, BODY)
