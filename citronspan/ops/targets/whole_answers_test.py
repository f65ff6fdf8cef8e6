"""Tests that a caller gets the complete answer to its own request or an error."""

import time

import pytest
from hypothesis import given, settings, strategies as st

from citronspan.ops.conftest import DEADLINE_SECONDS
from citronspan_standins.scripted_targets import TargetScript

BODY = b"castle" * 5
LATE_SECONDS = 0.6 * DEADLINE_SECONDS
"""More than the time of an attempt, less than that of its request."""


def make_answer(body, *, chunked, chunk_bytes=7, status=b"200 OK"):
    head = b"HTTP/1.1 " + status + b"\r\nX-Order: 17\r\n"
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    parts = [head, b"Transfer-Encoding: chunked\r\n\r\n"]
    for start in range(0, len(body), chunk_bytes):
        part = body[start : start + chunk_bytes]
        # Leading zeros are valid; a truncation after one must not look like the last
        # chunk.
        parts.append(b"0%x\r\n%s\r\n" % (len(part), part))
    return b"".join([*parts, b"0\r\n\r\n"])


def check_response(running, path, response, body, status=200):
    """Check the guarantees that hold whatever the target does."""
    run_count = running.targets.count_runs(path)
    if path.startswith(("/write", "/quick")):
        assert run_count <= 1, "a request that must not run twice ran twice"
    if response.result:
        assert response.find_complete_body() is not None
        assert "citronspan-target" not in response.header_by_name
        assert response.ran in ("not-run", "may-have-run", "ran")
        if response.ran == "not-run":
            assert run_count == 0, "reported as not run, but a target ran it"
        if response.ran == "ran":
            assert run_count > 0, "reported as run, but no target ran it"
        return
    received_body = response.find_complete_body()
    if received_body is None:
        return
    assert response.status == status
    assert response.header_by_name.get("x-order") == "17"
    assert received_body == body, "a truncated or wrong answer looks complete"


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("body", [b"", BODY])
def test_answer_truncated_at_any_byte_is_refused(running, body, chunked, end):
    answer = make_answer(body, chunked=chunked)
    for count in range(len(answer)):
        path = running.make_path("write")
        running.targets.set_scripts(
            path, TargetScript(parts=(answer[:count],), end=end)
        )
        response = running.request("POST", path, body=b"order")
        assert response.result, (count, response)
        assert response.ran == "may-have-run", (count, response)
        check_response(running, path, response, body)


def test_truncated_answer_to_idempotent_request_is_retried(running):
    answer = make_answer(BODY, chunked=True)
    for count in range(0, len(answer), 5):
        path = running.make_path("read")
        running.targets.set_scripts(
            path, TargetScript(parts=(answer[:count],)), TargetScript(parts=(answer,))
        )
        response = running.request("GET", path)
        assert response.find_complete_body() == BODY, (count, response)


@pytest.mark.parametrize("protocol", ["1.0", "1.1"])
@pytest.mark.parametrize("chunked", [False, True])
def test_truncated_long_answer_does_not_look_complete(running, chunked, protocol):
    body = b"c" * 200_000
    answer = make_answer(body, chunked=chunked, chunk_bytes=50_000)
    for count in (100, 70_000, 150_000, len(answer) - 5, len(answer) - 1):
        path = running.make_path("write")
        running.targets.set_scripts(path, TargetScript(parts=(answer[:count],)))
        response = running.exchange(
            f"POST {path} HTTP/{protocol}\r\nHost: h\r\n\r\n".encode()
        )
        assert response.result or response.find_complete_body() is None, (
            count,
            response.data[:300],
        )
        check_response(running, path, response, body)
    path = running.make_path("write")
    running.targets.set_scripts(path, TargetScript(parts=(answer,)))
    response = running.exchange(
        f"POST {path} HTTP/{protocol}\r\nHost: h\r\nConnection: close\r\n\r\n".encode()
    )
    assert response.find_complete_body() == body


def test_interim_answers_are_skipped(running):
    answer = make_answer(BODY, chunked=False)
    for interim in (b"100 Continue", b"102 Processing", b"103 Early Hints"):
        path = running.make_path("read")
        head = b"HTTP/1.1 " + interim + b"\r\nX-Order: 99\r\n\r\n"
        script = TargetScript(parts=(head, answer), end="keep", pause_seconds=0.05)
        running.targets.set_scripts(path, script)
        response = running.request("GET", path)
        assert (response.status, response.find_complete_body()) == (200, BODY), interim
    path = running.make_path("write")
    switching = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
    running.targets.set_scripts(path, TargetScript(parts=(switching, answer)))
    response = running.request("POST", path)
    assert response.ran == "may-have-run", response


@pytest.mark.parametrize("is_delayed", [False, True])
def test_bytes_after_an_answer_are_not_used_as_the_next_answer(running, is_delayed):
    answer = make_answer(BODY, chunked=False)
    unsolicited = make_answer(b"not yours", chunked=False)
    parts = (
        (answer, unsolicited)
        if is_delayed
        else (answer + unsolicited[:20], unsolicited[20:])
    )
    path = running.make_path("read")
    script = TargetScript(parts=parts, end="keep", pause_seconds=0.02)
    running.targets.set_scripts(path, script)
    for _ in range(12):
        response = running.request("GET", path)
        assert response.find_complete_body() == BODY, response
        # Unsolicited bytes that arrive after the connection was assigned to another
        # request cannot be distinguished from its answer, so wait for them here.
        time.sleep(0.1 if is_delayed else 0.0)


def test_refusal_written_once_more_is_taken_for_the_refusal_of_the_next_request(
    running,
):
    refusal = make_answer(b"", chunked=False, status=b"503 Busy").replace(
        b"\r\n", b"\r\nTarget-Not-Run: shed\r\n", 1
    )
    twice = TargetScript(
        parts=(refusal, refusal), end="keep", pause_seconds=0.05, runs=False
    )
    whole = TargetScript(
        parts=(make_answer(BODY, chunked=False),), end="keep", delay_seconds=0.1
    )
    path = running.make_path("write")
    for _ in range(6):
        running.targets.set_scripts(path, twice)
        assert running.request("POST", path).status == 503
        running.targets.set_scripts(path, whole)
        response = running.request("POST", path)
        assert (response.status, running.targets.count_runs(path)) == (200, 1)


INVALID_HEADS = [
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


@pytest.mark.parametrize("head", INVALID_HEADS)
def test_answers_with_invalid_heads_are_refused(running, head):
    path = running.make_path("write")
    running.targets.set_scripts(path, TargetScript(parts=(head + b"\r\n" + BODY,)))
    response = running.request("POST", path)
    assert response.result, response.data[:300]
    assert response.ran == "may-have-run"


@pytest.mark.parametrize("lengths", [b"5", b"5, 5", b"11"])
def test_answer_that_two_readers_frame_differently_is_forwarded(running, lengths):
    path = running.make_path("write")
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: %b\r\n"
    body = b"5\r\nfinal\r\n0\r\n\r\n"
    script = TargetScript(parts=(head % lengths + b"\r\n" + body,))
    running.targets.set_scripts(path, script)
    response = running.request("POST", path)
    assert response.result, response.data[:300]
    assert response.ran == "may-have-run"


@pytest.mark.parametrize(
    "header", [b"Keep-Alive: timeout=%b", b"Target-Load: %b/6", b"Retry-After: %b"]
)
@pytest.mark.parametrize("digits", [25, 400, 5000])
def test_number_too_large_in_a_header_does_not_spoil_the_answer(
    running, header, digits
):
    path = running.make_path("write")
    head = b"HTTP/1.1 200 OK\r\n" + header % (b"9" * digits) + b"\r\n"
    answer = head + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
    running.targets.set_scripts(path, TargetScript(parts=(answer,), end="keep"))
    response = running.request("POST", path)
    assert (response.status, response.find_complete_body()) == (200, BODY)


MALFORMED_CHUNKS = [
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


@pytest.mark.parametrize("chunks", MALFORMED_CHUNKS)
def test_malformed_chunks_are_refused(running, chunks):
    path = running.make_path("write")
    head = b"HTTP/1.1 200 OK\r\nX-Order: 17\r\nTransfer-Encoding: chunked\r\n\r\n"
    running.targets.set_scripts(path, TargetScript(parts=(head + chunks,)))
    response = running.request("POST", path)
    assert response.result, response
    assert response.ran == "may-have-run"


def test_answer_after_the_deadline_is_not_forwarded(running):
    answer = make_answer(BODY, chunked=False)
    path = running.make_path("quick")
    running.targets.set_scripts(path, TargetScript(parts=(answer,), delay_seconds=0.8))
    response = running.request("POST", path)
    assert (response.status, response.ran) == (504, "may-have-run")


@pytest.mark.parametrize("immediate_bytes", [0, 60])
def test_slowly_sent_answer_ends_at_the_deadline(running, immediate_bytes):
    # Sent byte by byte, the whole answer would take longer than the deadline.
    answer = make_answer(BODY * 100, chunked=False)
    single_bytes = tuple(
        answer[index : index + 1] for index in range(immediate_bytes, len(answer))
    )
    path = running.make_path("quick")
    script = TargetScript(
        parts=(answer[:immediate_bytes], *single_bytes), pause_seconds=0.05
    )
    running.targets.set_scripts(path, script)
    response = running.request("POST", path)
    assert (response.status, response.ran) == (504, "may-have-run")


ANSWER_PARTS = st.sampled_from(
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
    parts=st.lists(ANSWER_PARTS, max_size=9).map(tuple),
    end=st.sampled_from(["close", "reset"]),
    prefix=st.sampled_from(["read", "write"]),
)
def test_malformed_answers_are_never_forwarded_as_other_answers(
    running, parts, end, prefix
):
    path = running.make_path(prefix)
    data = b"".join(parts)
    head = data.partition(b"\r\n\r\n")[0]
    proves_not_run = b" 503 " in head and b"\nTarget-Not-Run: " in head
    script = TargetScript(parts=(data,), end=end, runs=not proves_not_run)
    running.targets.set_scripts(path, script)
    method = "GET" if prefix == "read" else "POST"
    response = running.request(method, path)
    assert response.status, "the caller received no answer"
    if response.result:
        check_response(running, path, response, b"")
        return
    # The forwarded body must be one that an independent reader finds in the answer.
    received_body = response.find_complete_body()
    if received_body is None:
        return
    assert received_body in (b"", b"castl", b"castlcastl") or received_body in data
    assert response.status in (200, 500)


def test_answer_is_broken_off_at_the_time_of_an_attempt_while_it_is_forwarded(running):
    path = running.make_path("read")
    body = b"c" * 200_000
    answer = make_answer(body, chunked=False)
    late = TargetScript(
        parts=(answer[:100_000], answer[100_000:]), pause_seconds=LATE_SECONDS
    )
    running.targets.set_scripts(path, late)
    response = running.request("GET", path)
    assert (response.status, response.find_complete_body()) == (200, body)


def test_last_attempt_may_use_all_remaining_time(running):
    """Guards against a last attempt that is given up at half of the remaining time.

    The share that leaves time for a retry was applied though no retry could follow.
    """
    path = running.make_path("once")
    late = TargetScript(parts=(make_answer(BODY, chunked=False),), delay_seconds=0.7)
    running.targets.set_scripts(path, late)
    response = running.request("GET", path)
    assert (response.status, response.find_complete_body()) == (200, BODY)
