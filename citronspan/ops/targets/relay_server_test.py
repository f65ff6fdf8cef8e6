"""Tests that a tunnel at a peer is as good as a connection to the target."""

import contextlib
import http.client
import math
import socket
import struct
import subprocess
import sys
import threading
import time
from types import SimpleNamespace

import msgspec
import pytest

from citronspan.core.node_messages import NodeInfo
from citronspan.core.outcomes import OutcomeClass
from citronspan.core.requests.attempt_deadline import AttemptDeadline
from citronspan.ops.targets import relay_tunnel
from citronspan.ops.targets.relay_connector import RelayConnector, RelayError
from citronspan.ops.targets.relay_server import RelayServer
from citronspan.ops.targets.target_answer import AttemptFailedError
from citronspan.ops.targets.target_connection import TargetConnections, TargetRequest
from citronspan.ops.targets.target_connector import DirectConnector
from citronspan.ops.targets.target_paths import TargetPaths
from citronspan.ops.targets.target_reachability import TargetReachability
from citronspan.utils.addresses import split_address
from citronspan_standins.scripted_targets import find_free_addresses

TIMEOUT_SECONDS = 5.0
STOP_SECONDS = 2.0
SETTLE_SECONDS = 0.1
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


RELAY_PROGRAM = """
import sys
from citronspan.ops.targets.relay_server import RelayServer
from citronspan.ops.targets.target_connector import DirectConnector
from citronspan.ops.targets.target_reachability import TargetReachability

server = RelayServer(
    address=sys.argv[1],
    connector=DirectConnector(),
    reachability=TargetReachability(),
    is_target=lambda address: True,
)
print("serves", flush=True)
server.serve()
"""


class FailingConnector(DirectConnector):
    """Connector of a host that reaches no target."""

    def connect(self, address, timeout_seconds):
        raise ConnectionRefusedError("refused")


class Relay:
    """A relay with one target that the test plays, and a connector of a peer."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(TIMEOUT_SECONDS)
        host, port = self.listener.getsockname()
        self.target = f"{host}:{port}"
        (self.address,) = find_free_addresses(1)
        self.reachability = TargetReachability()
        self.unusable: set[str] = set()
        self.server = RelayServer(
            address=self.address,
            connector=DirectConnector(),
            reachability=self.reachability,
            is_target=lambda address: address == self.target,
            may_use=lambda address: address not in self.unusable,
        )
        self.thread = threading.Thread(target=self.server.serve, daemon=True)
        self.thread.start()
        self.connector = RelayConnector(
            name="h-1",
            region="r",
            data_centre="d",
            list_nodes=lambda: [make_node("h-2", self.address, self.entry_state)],
        )
        self.entry_state = "serving"

    def open(self):
        """Return a connection of the peer and that of the target."""
        connection = self.connector.connect(self.target, TIMEOUT_SECONDS)
        connection.sock.settimeout(TIMEOUT_SECONDS)
        accepted, _ = self.listener.accept()
        accepted.settimeout(TIMEOUT_SECONDS)
        return connection, accepted

    def open_as_earlier_version(self):
        """Do the same as a peer that does not end its idle tunnels."""
        peer = socket.create_connection(split_address(self.address), TIMEOUT_SECONDS)
        head = f"CONNECT {self.target} HTTP/1.1\r\nHost: {self.target}\r\n\r\n"
        peer.sendall(head.encode())
        assert peer.recv(65536).startswith(b"HTTP/1.1 200")
        accepted, _ = self.listener.accept()
        accepted.settimeout(TIMEOUT_SECONDS)
        return peer, accepted

    def stop(self):
        started_at = time.monotonic()
        self.server.stop(started_at + STOP_SECONDS)
        return time.monotonic() - started_at

    def close(self):
        self.listener.close()


def make_node(name, relay_address, entry_state="serving"):
    return NodeInfo(
        name=name,
        incarnation=1,
        region="r",
        data_centre="d",
        agent_peer_address="a:1",
        entry_peer_address="a:2",
        entry_callers_address="a:3",
        api_address="a:4",
        entry_state=entry_state,
        entry_relay_address=relay_address,
    )


@pytest.fixture
def relay():
    relay = Relay()
    try:
        yield relay
    finally:
        relay.close()
        with contextlib.suppress(OSError):
            relay.stop()


def test_bytes_in_both_directions_are_not_lost(relay):
    connection, accepted = relay.open()
    data = b"x" * 3_000_000
    sender = threading.Thread(target=connection.sock.sendall, args=(data,))
    sender.start()
    answer = threading.Thread(target=accepted.sendall, args=(data,))
    answer.start()
    assert receive(accepted, len(data)) == data
    assert receive(connection.sock, len(data)) == data


@pytest.mark.parametrize("answer", [b"part", b"p" * 1_000_000])
def test_end_of_a_target_that_took_no_upload_looks_like_the_end_of_an_answer(
    relay, answer
):
    """Sends an upload that the relay has and the target's system does not take."""
    relay.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection, accepted = relay.open()
    connection.sock.sendall(b"u" * 200_000)
    time.sleep(SETTLE_SECONDS)
    sender = threading.Thread(target=accepted.sendall, args=(answer,))
    sender.start()
    time.sleep(SETTLE_SECONDS)
    received = receive(connection.sock, len(answer) - 1)
    sender.join()
    accepted.shutdown(socket.SHUT_WR)
    time.sleep(SETTLE_SECONDS)
    assert received + receive(connection.sock, 1) == answer
    with pytest.raises(ConnectionResetError):
        connection.sock.recv(1)


def test_reset_by_a_target_does_not_look_like_the_end_of_an_answer(relay):
    connection, accepted = relay.open()
    accepted.sendall(b"part")
    assert receive(connection.sock, 4) == b"part"
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    accepted.close()
    with pytest.raises(ConnectionResetError):
        while True:
            connection.sock.send(b"x")
            time.sleep(0.05)
            assert connection.sock.recv(1)


def test_reset_that_is_noticed_while_sending_does_not_look_like_an_end(relay):
    for _ in range(100):
        connection, accepted = relay.open()
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        accepted.close()
        with pytest.raises((ConnectionResetError, BrokenPipeError)):
            connection.sock.send(b"x")
            connection.sock.send(b"x")
            assert connection.sock.recv(1)


def test_end_of_an_answer_is_passed_on(relay):
    connection, accepted = relay.open()
    accepted.sendall(b"all")
    accepted.close()
    assert receive(connection.sock, 100) == b"all"


def test_answer_without_a_length_looks_complete_when_the_relay_is_killed(relay):
    (address,) = find_free_addresses(1)
    command = [sys.executable, "-c", RELAY_PROGRAM, address]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        assert process.stdout.readline() == b"serves\n"
        relay.address = address
        connection, accepted = relay.open()
        accepted.sendall(b"part")
        assert receive(connection.sock, 4) == b"part"
        process.kill()
        process.wait(TIMEOUT_SECONDS)
        with pytest.raises(ConnectionResetError):
            connection.sock.recv(1)
    finally:
        process.kill()
        process.communicate()


def test_answer_without_a_length_looks_complete_when_the_relay_stops(relay):
    connection, accepted = relay.open()
    connection.sock.sendall(b"request")
    receive(accepted, 7)
    accepted.sendall(b"part")
    assert receive(connection.sock, 4) == b"part"
    relay.stop()
    with pytest.raises(ConnectionResetError):
        connection.sock.recv(1)


def test_long_answer_without_a_length_looks_complete_midway(relay, monkeypatch):
    monkeypatch.setattr(relay_tunnel, "IDLE_TIMEOUT_SECONDS", 0.3)
    connection, accepted = relay.open()
    received = b""
    with pytest.raises(ConnectionResetError):
        for _ in range(10):
            with contextlib.suppress(OSError):
                accepted.sendall(b"x")
            part = connection.sock.recv(1)
            assert part
            received += part
            time.sleep(0.1)
    assert received


def test_answer_that_its_reader_has_not_received_is_lost_in_a_stop(relay):
    connection, accepted = relay.open()
    connection.sock.sendall(b"request")
    receive(accepted, 7)
    data = b"x" * 400_000
    accepted.sendall(data)
    stopping = threading.Thread(target=relay.stop)
    stopping.start()
    time.sleep(1.0)
    assert receive(connection.sock, len(data)) == data
    stopping.join(TIMEOUT_SECONDS)


def test_request_whose_caller_left_does_not_go_on_at_the_target(relay):
    connection, accepted = relay.open()
    connection.close()
    assert accepted.recv(1) == b""


def test_relay_opens_no_connection_to_an_address_that_is_no_target(relay):
    with socket.create_server(("127.0.0.1", 0)) as other:
        host, port = other.getsockname()
        with pytest.raises(RelayError):
            relay.connector.connect(f"{host}:{port}", TIMEOUT_SECONDS)
        peer = http.client.HTTPConnection(relay.address, timeout=TIMEOUT_SECONDS)
        peer.request("CONNECT", f"{host}:{port}")
        assert peer.getresponse().status == 403


def test_peer_reaches_a_target_that_wants_nothing_from_the_relaying_host(relay):
    relay.unusable.add(relay.target)
    with pytest.raises(ConnectionRefusedError):
        relay.connector.connect(relay.target, TIMEOUT_SECONDS)
    relay.unusable.clear()
    relay.open()


def test_host_of_a_place_that_is_cut_off_asks_another_region(relay):
    peers = [
        make_node(f"h-{number}", f"127.0.0.1:{number}") for number in range(10, 20)
    ]
    far = msgspec.structs.replace(make_node("far", relay.address), region="r-2")
    connector = RelayConnector(
        name="h-1", region="r", data_centre="d", list_nodes=lambda: [*peers, far]
    )
    connector.connect(relay.target, TIMEOUT_SECONDS).close()


def test_target_that_a_peer_does_not_reach_either_is_not_spared(relay):
    relay.listener.close()
    with pytest.raises(ConnectionRefusedError):
        relay.connector.connect(relay.target, TIMEOUT_SECONDS)


def test_peer_that_is_cut_off_as_well_is_not_asked_again(relay):
    for number in range(3):
        relay.reachability.record_failed(f"t-{number}")
    with pytest.raises(RelayError):
        relay.connector.connect(relay.target, TIMEOUT_SECONDS)
    relay.reachability.record_connected()
    with pytest.raises(RelayError):
        relay.connector.connect(relay.target, TIMEOUT_SECONDS)


def test_stop_does_not_cut_a_request_under_way(relay):
    connection, accepted = relay.open()
    connection.sock.sendall(b"request")
    assert receive(accepted, 7) == b"request"
    stopping = threading.Thread(target=relay.stop)
    stopping.start()
    time.sleep(0.5)
    accepted.sendall(b"answer")
    assert receive(connection.sock, 6) == b"answer"
    stopping.join(TIMEOUT_SECONDS)
    assert not stopping.is_alive()


def test_stop_does_not_wait_for_idle_tunnels_of_an_earlier_version(relay):
    peer, accepted = relay.open_as_earlier_version()
    peer.sendall(b"request")
    receive(accepted, 7)
    accepted.sendall(b"answer")
    receive(peer, 6)
    assert relay.stop() < STOP_SECONDS
    with pytest.raises(ConnectionResetError):
        peer.recv(1)


def make_cut_off_connections(relay):
    """Return the connections of a peer that reaches targets through the relay only."""
    return TargetConnections(
        paths=TargetPaths(
            direct=FailingConnector(),
            reachability=TargetReachability(count_targets=lambda: 1),
            relay=relay.connector,
        )
    )


def make_request():
    return TargetRequest(
        method="GET",
        uri="/",
        headers={"host": "h"},
        body=SimpleNamespace(buffer=b"", length=0),
        reuse_seconds=math.inf,
        deadline=AttemptDeadline(request_deadline=time.monotonic() + TIMEOUT_SECONDS),
    )


def exchange(relay, connections):
    """Send a request by a peer's pool and answer it; return the target's connection."""
    accepted = []

    def serve():
        accepted.append(relay.listener.accept()[0])
        accepted[0].recv(65536)
        accepted[0].sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    serving = threading.Thread(target=serve)
    serving.start()
    answer = connections.send(relay.target, make_request(), None)
    assert answer.read(2) == b"ok"
    answer.finish()
    serving.join(TIMEOUT_SECONDS)
    return accepted[0]


def test_peer_keeps_idle_tunnels_of_a_host_that_stops(relay):
    """A request that began on one late in the stop would be cut at its end."""
    connections = make_cut_off_connections(relay)
    accepted = exchange(relay, connections)
    connections.close_expired()
    assert connections.list_idle_addresses() == {relay.target}
    assert relay.server.count_tunnels() == 1
    relay.entry_state = "draining"
    connections.close_expired()
    assert connections.list_idle_addresses() == set()
    assert accepted.recv(1) == b""
    assert relay.stop() < STOP_SECONDS


def test_peer_begins_a_request_on_a_tunnel_of_a_host_that_stops(relay):
    """Its view may show the stop between two looks at its idle connections."""
    connections = make_cut_off_connections(relay)
    accepted = exchange(relay, connections)
    relay.entry_state = "draining"
    with pytest.raises(AttemptFailedError) as raised:
        connections.send(relay.target, make_request(), None)
    assert raised.value.outcome_class is OutcomeClass.NOT_USED
    assert accepted.recv(1) == b""


def test_stop_cuts_an_answer_that_pauses(relay):
    """Only its peer can tell a pause from the end of an answer."""
    connection, accepted = relay.open()
    connection.sock.sendall(b"request")
    receive(accepted, 7)
    accepted.sendall(b"ans")
    stopping = threading.Thread(target=relay.stop)
    stopping.start()
    time.sleep(3 * relay_tunnel.QUIET_SECONDS)
    accepted.sendall(b"wer")
    assert receive(connection.sock, 6) == b"answer"
    connection.close()
    stopping.join(TIMEOUT_SECONDS)
    assert not stopping.is_alive()


def test_stop_does_not_use_up_the_time_that_a_process_has_to_end(relay):
    assert relay.stop() < 0.1


def test_one_dead_target_is_not_asked_for_through_a_peer(relay):
    host, _ = split_address(relay.target)
    paths = TargetPaths(direct=FailingConnector(), relay=relay.connector)
    with pytest.raises(ConnectionRefusedError):
        paths.connect(f"{host}:1", time.monotonic() + 1.0)
    assert relay.server.count_tunnels() == 0


def test_dead_targets_are_not_spared_in_a_fleet_without_relays():
    alone = RelayConnector(
        name="h-1",
        region="r",
        data_centre="d",
        list_nodes=lambda: [make_node("h-1", "a:9"), make_node("h-2", "")],
    )
    paths = TargetPaths(direct=FailingConnector(), relay=alone)
    for number in range(5):
        with pytest.raises(ConnectionRefusedError):
            paths.connect(f"127.0.0.1:{number}", time.monotonic() + 1.0)


def test_host_that_reaches_targets_again_does_not_go_on_asking_peers(relay):
    reachability = TargetReachability(count_targets=lambda: 1)
    paths = TargetPaths(
        direct=FailingConnector(), reachability=reachability, relay=relay.connector
    )
    paths.connect(relay.target, time.monotonic() + TIMEOUT_SECONDS)
    assert reachability.is_cut_off
    paths = TargetPaths(
        direct=DirectConnector(), reachability=reachability, relay=relay.connector
    )
    is_ended = threading.Event()
    probe = threading.Thread(
        target=paths.probe_forever, args=(lambda: [relay.target], is_ended)
    )
    probe.start()
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while reachability.is_cut_off:
        assert time.monotonic() < deadline
        time.sleep(0.01)
    is_ended.set()
    probe.join(TIMEOUT_SECONDS)


def test_one_malformed_address_of_a_target_ends_the_probes(relay):
    reachability = TargetReachability(count_targets=lambda: 1)
    reachability.record_failed("127.0.0.1:1")
    assert reachability.is_cut_off
    paths = TargetPaths(direct=DirectConnector(), reachability=reachability)
    address_lists = iter([["no address"], [None]])
    is_ended = threading.Event()
    arguments = (lambda: next(address_lists, [relay.target]), is_ended)
    probe = threading.Thread(target=paths.probe_forever, args=arguments)
    probe.start()
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while reachability.is_cut_off:
        assert time.monotonic() < deadline
        time.sleep(0.01)
    is_ended.set()
    probe.join(TIMEOUT_SECONDS)


def receive(sock, size):
    """Receive a number of bytes, or fewer if the connection ends."""
    data = b""
    while len(data) < size:
        part = sock.recv(min(65536, size - len(data)))
        if not part:
            break
        data += part
    return data
