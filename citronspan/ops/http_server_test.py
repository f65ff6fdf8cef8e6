"""Tests that a stopping server accepts no request and completes those in progress."""

import http.client
import threading
import time

import pytest

from citronspan.ops.conftest import find_free_addresses
from citronspan.ops.http_server import make_server

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
        return [b"done"]

    server = make_server(address, app, threads=4)
    server.request_started = request_started
    thread = threading.Thread(target=server.serve)
    thread.start()
    yield server
    server.stop()
    thread.join(TIMEOUT_SECONDS)
    assert not thread.is_alive()


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
