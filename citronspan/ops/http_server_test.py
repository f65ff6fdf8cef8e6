"""A server that stops takes nothing new and ends what it carries."""

import http.client
import threading
import time

import pytest

from citronspan.ops.conftest import find_free_addresses
from citronspan.ops.http_server import make_server

BOUND_SECONDS = 5.0


@pytest.fixture
def server():
    (address,) = find_free_addresses(1)
    begun = threading.Event()

    def app(environ, start_response):
        if environ["PATH_INFO"] == "/slow":
            begun.set()
            time.sleep(0.6)
        start_response("200 OK", [("Content-Length", "4")])
        return [b"done"]

    server = make_server(address, app, threads=4)
    server.begun = begun
    thread = threading.Thread(target=server.serve)
    thread.start()
    yield server
    server.stop()
    thread.join(BOUND_SECONDS)
    assert not thread.is_alive()


def connect(server):
    host, port = server.bind_addr[:2]
    return http.client.HTTPConnection(host, port, timeout=BOUND_SECONDS)


def test_a_kept_connection_brings_no_request_after_the_stop(server):
    """Requests came in until the process was killed, and were cut then."""
    kept = connect(server)
    kept.request("GET", "/")
    assert kept.getresponse().read() == b"done"
    slow = connect(server)
    slow.request("GET", "/slow")
    assert server.begun.wait(BOUND_SECONDS)
    server.stop_accepting()
    with pytest.raises((OSError, http.client.HTTPException)):
        kept.request("GET", "/")
        kept.getresponse()
    with pytest.raises(OSError):
        connect(server).request("GET", "/")
    assert slow.getresponse().read() == b"done"
