"""Tests that neither side of a tunnel reads a head without end or for ever."""

import contextlib
import socket
import threading
import time

import pytest

from citronspan.ops.targets.relay_connector import RelayConnector, RelayError
from citronspan.ops.targets.relay_server import RelayServer
from citronspan.ops.targets.relay_server_test import make_node
from citronspan.ops.targets.target_connector import DirectConnector
from citronspan.ops.targets.target_reachability import TargetReachability
from citronspan.utils.addresses import split_address
from citronspan_standins.endless_server import EndlessServer
from citronspan_standins.scripted_targets import find_free_addresses

TIMEOUT_SECONDS = 1.0
MOST_SECONDS = 12.0
MOST_BYTES = 16 << 20
MEMORY_BYTES = 1 << 20
LINE = b"X-A: " + b"a" * 60_000 + b"\r\n"

HEADS = {
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000, 0.0),
    "long lines": (b"HTTP/1.1 200 OK\r\n", LINE, 0.0),
    "a byte now and then": (b"HTTP/1.1 200 OK\r\n", b"X-A: a\r\n", 0.6),
}


def make_connector(address):
    node = make_node("h-2", address)
    return RelayConnector(
        name="h-1", region="r", data_centre="d", list_nodes=lambda: [node]
    )


@pytest.mark.parametrize("case", HEADS)
def test_peer_that_answers_without_end_holds_a_request(peak_memory, case):
    start, part, pause_seconds = HEADS[case]
    server = EndlessServer(
        start=start, part=part, most_bytes=MOST_BYTES, pause_seconds=pause_seconds
    )
    began_at = time.monotonic()
    try:
        with pytest.raises(RelayError):
            make_connector(server.address).connect("127.0.0.1:1", TIMEOUT_SECONDS)
    finally:
        server.close()
    assert peak_memory() < MEMORY_BYTES
    assert time.monotonic() - began_at < 3 * TIMEOUT_SECONDS
    assert server.sent_bytes < MOST_BYTES


@pytest.fixture
def relay():
    (address,) = find_free_addresses(1)
    server = RelayServer(
        address=address,
        connector=DirectConnector(),
        reachability=TargetReachability(),
        is_target=lambda address: False,
    )
    threading.Thread(target=server.serve, daemon=True).start()
    try:
        yield address
    finally:
        server.stop(time.monotonic())


def send_until_end(address, start, part, pause_seconds):
    """Send to a relay until it ends the connection; return what it sent."""
    with socket.create_connection(split_address(address), MOST_SECONDS) as sock:
        ends_at = time.monotonic() + MOST_SECONDS
        with contextlib.suppress(ConnectionError):
            sock.sendall(start)
            for _ in range(MOST_BYTES // len(part)):
                assert time.monotonic() < ends_at
                sock.sendall(part)
                time.sleep(pause_seconds)
                sock.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    return sock.recv(65536)
                sock.settimeout(MOST_SECONDS)
            pytest.fail("the relay read all that was sent")
    return b""


@pytest.mark.parametrize(
    ("start", "part", "pause_seconds"),
    [
        (b"CONNECT 127.0.0.1:1 HTTP/1.1\r\n", LINE, 0.01),
        (b"", b"a" * 1000, 0.01),
        (b"CONNECT 127.0.0.1:1 HTTP/1.1\r\n", b"X-A: a\r\n", 1.0),
    ],
)
def test_peer_that_asks_without_end_holds_a_relay(
    relay, peak_memory, start, part, pause_seconds
):
    answer = send_until_end(relay, start, part, pause_seconds)
    assert answer.startswith((b"HTTP/1.1 431", b"HTTP/1.1 408"))
    assert peak_memory() < MEMORY_BYTES


def test_peers_that_ask_nothing_take_threads_without_end(relay):
    threads = threading.active_count()
    with contextlib.ExitStack() as stack:
        connections = []
        for _ in range(500):
            sock = socket.create_connection(split_address(relay), 5.0)
            connections.append(stack.enter_context(sock))
            # More at once than the system queues would be connected later.
            time.sleep(0.002)
        assert connections[-1].recv(100).startswith(b"HTTP/1.1 503")
        assert threading.active_count() - threads <= 320
    ends_at = time.monotonic() + 5.0
    while threading.active_count() > threads:
        assert time.monotonic() < ends_at
        time.sleep(0.05)
    with socket.create_connection(split_address(relay), 5.0) as sock:
        sock.sendall(b"CONNECT 127.0.0.1:1 HTTP/1.1\r\n\r\n")
        assert sock.recv(100).startswith(b"HTTP/1.1 403")
