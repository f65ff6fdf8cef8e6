"""Tests the threads of a server, and that it stops without cutting off a request."""

import http.client
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from citronspan.ops.callers import http_server, worker_pool
from citronspan.ops.callers.http_server import make_server
from citronspan_standins.raw_caller import read_to_end
from citronspan_standins.scripted_targets import find_free_addresses

TIMEOUT_SECONDS = 5.0


@pytest.fixture
def server():
    (address,) = find_free_addresses(1)
    request_started = threading.Event()

    def app(environ, start_response):
        if environ["PATH_INFO"] == "/slow":
            request_started.set()
            time.sleep(0.6)
        start_response("200 OK", [("Content-Length", "4")])
        return answer_slowly() if environ["PATH_INFO"] == "/long" else [b"done"]

    server = make_server(address, app, threads=4)
    server.request_started = request_started
    thread = threading.Thread(target=server.serve)
    thread.start()
    yield server
    server.stop()
    thread.join(TIMEOUT_SECONDS)
    assert not thread.is_alive()


def answer_slowly():
    yield b"do"
    time.sleep(0.6)
    yield b"ne"


def make_head(path):
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


def connect(server):
    host, port = server.bind_addr[:2]
    return http.client.HTTPConnection(host, port, timeout=TIMEOUT_SECONDS)


def test_stopping_server_accepts_no_request_on_kept_alive_connection(server):
    """Guards against accepting a request on a kept-alive connection during the stop.

    Such a request was cut off when the process was killed.
    """
    idle_connection = connect(server)
    idle_connection.request("GET", "/")
    assert idle_connection.getresponse().read() == b"done"
    busy_connection = connect(server)
    busy_connection.request("GET", "/slow")
    assert server.request_started.wait(TIMEOUT_SECONDS)
    server.stop_accepting()
    with pytest.raises((OSError, http.client.HTTPException)):
        idle_connection.request("GET", "/")
        idle_connection.getresponse()
    with pytest.raises(OSError):
        connect(server).request("GET", "/")
    assert busy_connection.getresponse().read() == b"done"


def test_requests_that_arrive_with_the_stop_are_cut_off(server, monkeypatch):
    kept = [connect(server) for _ in range(5)]
    for connection in kept:
        connection.request("GET", "/")
        assert connection.getresponse().read() == b"done"
    new = [connect(server) for _ in range(5)]
    stop_selector = server._connections.stop

    def stop_and_send():
        stop_selector()
        for connection in (*kept, *new):
            connection.request("GET", "/slow")

    monkeypatch.setattr(server._connections, "stop", stop_and_send)
    server.stop_accepting()
    for connection in (*kept, *new):
        answer = connection.getresponse()
        assert answer.read() == b"done"
        assert answer.getheader("Connection") == "close"


def test_request_that_arrives_shortly_after_the_stop_is_cut_off(server, monkeypatch):
    connection = connect(server)
    connection.request("GET", "/")
    assert connection.getresponse().read() == b"done"
    # Longer than in the product, so that a busy machine sends the request in time.
    monkeypatch.setattr(http_server, "ARRIVAL_SECONDS", 5.0)
    stop_selector = server._connections.stop

    def stop_and_send_later():
        stop_selector()
        threading.Timer(0.2, connection.request, ("GET", "/slow")).start()

    monkeypatch.setattr(server._connections, "stop", stop_and_send_later)
    server.stop_accepting()
    assert connection.getresponse().read() == b"done"


def test_request_that_arrives_at_the_very_close_is_cut_off(server, monkeypatch):
    connection = connect(server)
    connection.request("GET", "/")
    assert connection.getresponse().read() == b"done"
    # No time is left to wait for requests, so that only the last look can see this one.
    monkeypatch.setattr(http_server, "ARRIVAL_SECONDS", 0.0)
    stop_selector = server._connections.stop

    def stop_and_send():
        stop_selector()
        connection.request("GET", "/slow")

    monkeypatch.setattr(server._connections, "stop", stop_and_send)
    server.stop_accepting()
    answer = connection.getresponse()
    assert answer.read() == b"done"
    assert answer.getheader("Connection") == "close"


def test_request_on_a_connection_that_its_thread_still_holds_is_dropped(
    server, monkeypatch
):
    has_stopped = threading.Event()
    put_back = server.put_conn

    def put_back_late(conn):
        if server.request_started.is_set():
            assert has_stopped.wait(TIMEOUT_SECONDS)
        put_back(conn)

    monkeypatch.setattr(server, "put_conn", put_back_late)
    connection = connect(server)
    connection.request("GET", "/slow")
    assert connection.getresponse().read() == b"done"
    connection.request("GET", "/slow")
    server.stop_accepting()
    has_stopped.set()
    assert connection.getresponse().read() == b"done"


@pytest.mark.parametrize("is_ended", [False, True])
def test_request_behind_an_answer_that_began_before_the_stop_is_dropped(
    server, is_ended
):
    connection = socket.create_connection(server.bind_addr[:2], TIMEOUT_SECONDS)
    connection.sendall(make_head("/long") + make_head("/"))
    assert connection.recv(16).startswith(b"HTTP/1.1 200 OK")
    server.stop_accepting()
    if is_ended:
        server.stop()
    response = read_to_end(connection)
    assert b"Connection: close" in response.data
    assert response.data.endswith(b"done")
    assert response.data.count(b"HTTP/1.1 200 OK\r\n") == 1
    assert not response.reset


def test_answer_in_a_stop_does_not_say_that_its_connection_ends(server):
    connection = connect(server)
    connection.request("GET", "/slow")
    assert server.request_started.wait(TIMEOUT_SECONDS)
    server.stop_accepting()
    answer = connection.getresponse()
    assert answer.read() == b"done"
    assert answer.getheader("Connection") == "close"


def request_slow(server):
    connection = connect(server)
    connection.request("GET", "/slow")
    body = connection.getresponse().read()
    connection.close()
    return body


def wait_for_threads(server, count):
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while server.requests.count_threads() != count:
        assert time.monotonic() < deadline, server.requests.count_threads()
        time.sleep(0.01)


def test_idle_server_holds_as_many_threads_as_a_busy_one(server, monkeypatch):
    monkeypatch.setattr(worker_pool, "IDLE_SECONDS", 0.2)
    wait_for_threads(server, 1)
    for _ in range(2):
        started_at = time.monotonic()
        with ThreadPoolExecutor(max_workers=8) as callers:
            answers = callers.map(request_slow, [server] * 8)
            wait_for_threads(server, 4)
            assert list(answers) == [b"done"] * 8
        # Eight requests of 0.6 s on four threads take two rounds.
        assert time.monotonic() - started_at < 1.7
        wait_for_threads(server, 1)
    assert len(server.stats["Worker Threads"]) == 1
