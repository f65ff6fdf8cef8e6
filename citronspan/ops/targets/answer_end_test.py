"""Tests that a part of an answer is never taken for the whole of it."""

import functools
import socket
import struct
import threading
import time
from types import SimpleNamespace

import pytest

from citronspan.core.outcomes import OutcomeClass
from citronspan.core.requests.attempt_deadline import AttemptDeadline
from citronspan.ops.targets.dialect import DefaultDialect
from citronspan.ops.targets.relay_server_test import Relay
from citronspan.ops.targets.target_answer import AttemptFailedError
from citronspan.ops.targets.target_connection import TargetConnections, TargetRequest
from citronspan.ops.targets.target_paths import TargetPaths
from citronspan.ops.targets.target_reachability import TargetReachability
from citronspan_standins.scripted_targets import TargetScript

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ARRIVAL_SECONDS = 0.1
"""Time within which bytes and ends of a connection arrive."""

TIMEOUT_SECONDS = 5.0
PART = b"p" * 600
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n" + PART
CLOSING = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + PART
KEPT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
INTERIM = {
    "none": b"",
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "103": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
}
UPLOADS = ["64 KB", "400 KB", "4 MB streamed", "4 MB chunked"]


def make_body(upload):
    """Return a body as ``CallerBody`` presents it."""
    size, unit, *kind = upload.split()
    data = b"u" * (int(size) * {"B": 1, "KB": 1024, "MB": 1 << 20}[unit])
    if not kind:
        return SimpleNamespace(buffer=data, length=len(data))
    return SimpleNamespace(
        buffer=None,
        length=len(data) if kind == ["streamed"] else None,
        iterate=lambda: (data[at : at + 65536] for at in range(0, len(data), 65536)),
    )


class BreakingTarget:
    """A target that answers when it is told to, whatever it has received by then."""

    def __init__(self, listener):
        self._listener = listener
        self._connection = None

    def accept(self):
        if self._connection is None:
            self._connection, _ = self._listener.accept()
            self._connection.settimeout(TIMEOUT_SECONDS)

    def answer_kept(self):
        """Answer a first request, so that its connection is used again."""
        self.accept()
        while b"\r\n\r\n" not in self._connection.recv(65536):
            continue
        self._connection.sendall(KEPT)

    def answer(self, data, end):
        """Send an answer and reset or end the connection, or only its own side."""
        self.accept()
        self._connection.sendall(data)
        if end == "reset":
            # What was sent must arrive before the reset.
            time.sleep(ARRIVAL_SECONDS / 2)
            self._connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        if end == "end of its side":
            self._connection.shutdown(socket.SHUT_WR)
            return
        self._connection.close()

    def read_upload(self, length):
        """Read a request with a body of that length, or a chunked one to its end."""
        self.accept()
        received = b""
        while b"\r\n\r\n" not in received:
            received += self._connection.recv(65536)
        received = received.partition(b"\r\n\r\n")[2]
        count = len(received)
        while count < length if length else not received.endswith(b"\r\n0\r\n\r\n"):
            data = self._connection.recv(1 << 20)
            count += len(data)
            received = received[-16:] + data

    def drain(self):
        """Read until the other side closes."""
        while self._connection.recv(1 << 20):
            continue

    def close(self):
        if self._connection is not None:
            self._connection.close()


@pytest.fixture(params=["directly", "over a relay"])
def world(request):
    """A target, its address and connections to it."""
    relay = Relay()
    target = BreakingTarget(relay.listener)
    connections = TargetConnections()
    if request.param == "over a relay":
        paths = TargetPaths(direct=None, reachability=CutOff(), relay=relay.connector)
        connections = TargetConnections(paths=paths)
    yield SimpleNamespace(target=target, address=relay.target, connections=connections)
    target.close()
    connections.close()
    relay.close()
    relay.server.stop(time.monotonic())


class CutOff(TargetReachability):
    """The reach of a host without direct paths."""

    is_cut_off = True


def make_request(body, *, method="POST", may_send=lambda: True):
    return TargetRequest(
        method=method,
        uri="/a",
        headers={"host": "h"},
        body=body,
        reuse_seconds=TIMEOUT_SECONDS,
        deadline=AttemptDeadline(request_deadline=time.monotonic() + TIMEOUT_SECONDS),
        may_send=may_send,
    )


def keep_connection(world):
    """Leave an idle connection to the target."""
    thread = threading.Thread(target=world.target.answer_kept)
    thread.start()
    empty = SimpleNamespace(buffer=b"", length=0)
    answer = world.connections.send(world.address, make_request(empty), None)
    assert answer.read(9) + answer.read(9) == b"ok"
    answer.finish()
    thread.join()


def read_whole(world, request):
    """Return the status and body of an answer that is taken for a whole one."""
    answer = world.connections.send(world.address, request, None)
    body = b""
    if not answer.is_bodyless:
        while data := answer.read(65536):
            body += data
    return answer.status, body


def exchange_early(world, data, end, upload, *, method="POST"):
    """Let the target answer and break off before it has read anything."""

    def answer_first():
        world.target.answer(data, end)
        time.sleep(ARRIVAL_SECONDS)
        return True

    request = make_request(make_body(upload), method=method, may_send=answer_first)
    return read_whole(world, request)


def check_lost(function):
    with pytest.raises(AttemptFailedError) as caught:
        function()
    assert caught.value.outcome_class is OutcomeClass.ANSWER_LOST


@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("interim", INTERIM)
@pytest.mark.parametrize("is_kept", [False, True])
def test_reset_that_the_upload_meets_ends_a_whole_answer(
    world, upload, interim, is_kept
):
    if is_kept:
        keep_connection(world)
    data = INTERIM[interim] + UNFRAMED
    check_lost(lambda: exchange_early(world, data, "reset", upload))


@pytest.mark.parametrize("data", [CLOSING, CLOSING.replace(b"1.1", b"1.0")])
def test_reset_ends_a_whole_answer_whose_target_said_that_it_closes(world, data):
    check_lost(lambda: exchange_early(world, data, "reset", "400 KB"))


@pytest.mark.parametrize("upload", UPLOADS)
def test_reset_between_two_writes_ends_a_whole_answer(world, upload):
    body = make_body(upload)

    def run():
        world.target.accept()
        time.sleep(ARRIVAL_SECONDS)
        world.target.answer(UNFRAMED, "reset")

    thread = threading.Thread(target=run)
    thread.start()
    check_lost(lambda: read_whole(world, make_request(body)))
    thread.join()


def test_plain_end_before_the_end_of_the_upload_ends_a_whole_answer(world):
    check_lost(lambda: exchange_early(world, UNFRAMED, "end of its side", "400 KB"))


@pytest.mark.parametrize("upload", UPLOADS)
def test_connection_closed_before_the_upload_ends_a_whole_answer(world, upload):
    check_lost(lambda: exchange_early(world, UNFRAMED, "close", upload))


@pytest.mark.parametrize(
    "head",
    [b"HTTP/1.1 200 OK\r\nConnection: x, Close\r\n\r\n", b"HTTP/1.0 200 OK\r\n\r\n"],
)
def test_early_answer_of_a_target_that_said_that_it_closes_is_lost(world, head):
    """It ends its side and reads on, as for a refusal of a long body."""
    result = exchange_early(world, head + PART, "end of its side", "400 KB")
    assert result == (200, PART)


@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("end", ["reset", "close", "end of its side"])
@pytest.mark.parametrize("is_kept", [False, True])
def test_end_after_the_whole_upload(world, upload, end, is_kept):
    if is_kept:
        keep_connection(world)
    body = make_body(upload)

    def run():
        world.target.read_upload(body.length)
        world.target.answer(UNFRAMED, end)

    thread = threading.Thread(target=run)
    thread.start()
    exchange = functools.partial(read_whole, world, make_request(body))
    if end == "reset":
        check_lost(exchange)
    else:
        assert exchange() == (200, PART)
    thread.join()


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WHOLE_BY_ITSELF = {
    "length": (b"HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\n" + PART, 200, PART),
    "last chunk": (CHUNKED + b"258\r\n" + PART + b"\r\n0\r\n\r\n", 200, PART),
    "204": (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b""),
    "304": (b"HTTP/1.1 304 Not Modified\r\n\r\n", 304, b""),
    "HEAD": (b"HTTP/1.1 200 OK\r\n\r\n", 200, b""),
}


@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("case", WHOLE_BY_ITSELF)
def test_reset_after_an_answer_that_shows_its_end_loses_it(world, case, upload):
    data, *expected = WHOLE_BY_ITSELF[case]
    method = "HEAD" if case == "HEAD" else "POST"
    result = exchange_early(world, data, "reset", upload, method=method)
    assert result == tuple(expected)


@pytest.mark.parametrize("end", ["reset", "close"])
@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 601\r\n\r\n" + PART,
        CHUNKED + b"258\r\n" + PART,
        CHUNKED + b"258\r\n" + PART + b"\r\n",
        CHUNKED + b"258\r\n" + PART + b"\r\n0\r\n",
        CHUNKED + b"2g8\r\n" + PART + b"\r\n0\r\n\r\n",
        CHUNKED + b"-258\r\n" + PART + b"\r\n0\r\n\r\n",
        CHUNKED + b"257\r\n" + PART + b"\r\n0\r\n\r\n",
    ],
)
def test_framed_answer_that_is_cut_or_spoiled_looks_whole(world, data, end):
    check_lost(lambda: exchange_early(world, data, end, "400 KB"))


INVALID_STATUS_LINES = [
    b"HTTP/1.1 000 X",
    b"HTTP/1.1 099 X",
    b"HTTP/1.1 600 X",
    b"HTTP/1.1 700 X",
    b"HTTP/1.1 999 X",
    b"HTTP/1.1 1000 X",
    b"HTTP/1.1 2000 X",
    b"HTTP/1.1 -1 X",
    b"HTTP/1.1 +200 X",
    b"HTTP/1.1 0200 X",
    b"HTTP/1.1 2_00 X",
    b"HTTP/1.1 20 X",
    b"HTTP/1.1 2OO X",
    b"HTTP/1.1 2e2 X",
    b"HTTP/1.1  200 X",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1",
    b"HTTP/0.9 200 X",
    b"HTTP/2.0 200 X",
    b"HTTP/1.10 200 X",
    b"http/1.1 200 X",
    b"<html>",
]


@pytest.mark.parametrize("interim", INTERIM)
@pytest.mark.parametrize("line", INVALID_STATUS_LINES)
def test_status_out_of_range_is_taken_for_an_answer(world, line, interim):
    data = INTERIM[interim] + line + b"\r\nContent-Length: 600\r\n\r\n" + PART
    check_lost(lambda: exchange_early(world, data, "close", "1 B"))


@pytest.mark.parametrize(
    "line", [b"HTTP/1.1 200", b"HTTP/1.1 200 ", b"HTTP/1.0 200 OK", b"HTTP/1.1 599 X"]
)
def test_status_line_that_the_protocol_allows_is_refused(world, line):
    data = line + b"\r\nContent-Length: 600\r\n\r\n" + PART
    result = exchange_early(world, data, "end of its side", "1 B")
    assert result == (int(line.split()[1]), PART)


@pytest.mark.parametrize("upload", [300_000, 3_000_000])
@pytest.mark.parametrize("body_bytes", [600, 200_000])
@pytest.mark.parametrize("status", [b"200 OK", b"500 Oops"])
def test_caller_gets_a_part_of_an_answer_as_a_whole(
    running, monkeypatch, upload, body_bytes, status
):
    monkeypatch.setattr(DefaultDialect, "accepts_unframed_answers", True)
    lost_before = count_lost(running)
    for _ in range(5):
        path = running.make_path("write")
        data = b"HTTP/1.1 %b\r\n\r\n%b" % (status, b"p" * body_bytes)
        script = TargetScript(parts=(data,), end="reset", read_body=False)
        running.targets.set_scripts(path, script)
        response = running.request("POST", path, body=b"u" * upload)
        if response.result:
            assert (response.status, response.ran) == (502, "may-have-run")
        else:
            assert response.find_complete_body() is None
    assert count_lost(running) == lost_before + 5


@pytest.mark.parametrize("line", [b"000 X", b"099 X", b"700 X", b"1000 X", b"-1 X"])
def test_caller_gets_an_answer_with_a_status_out_of_range(running, line):
    lost_before = count_lost(running)
    path = running.make_path("write")
    data = b"HTTP/1.1 " + line + b"\r\nContent-Length: 2\r\n\r\nok"
    running.targets.set_scripts(path, TargetScript(parts=(data,)))
    response = running.request("POST", path, body=b"order")
    assert (response.status, response.ran) == (502, "may-have-run")
    assert count_lost(running) == lost_before + 1


def count_lost(running):
    value = running.entry.metrics.registry.get_sample_value(
        "citronspan_attempts_total", {"service": "s", "outcome": "answer-lost"}
    )
    return value or 0
