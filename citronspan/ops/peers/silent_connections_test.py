"""Tests that peers talk again after an open connection between them fell silent."""

import contextlib
import itertools
import os
import queue
import select
import socket
import threading
import time
from types import SimpleNamespace

import pytest

from citronspan.core.node_messages import EntryReport
from citronspan.ops.agent import Agent
from citronspan.ops.peers.peer_link import MINIMUM_CONNECTION_SECONDS, PeerLink
from citronspan.utils.addresses import split_address

REPORT = EntryReport(name="a", state="serving", offset=3)
# Concurrent runs of the suite on one machine need different addresses.
NETWORK = f"127.{64 + os.getpid() % 128}"
DEADLINE_SECONDS = 10.0
SILENCE_SECONDS = 1.0
"""Time within which a message over a working connection arrives."""

_peer_numbers = itertools.count(1)


class Network:
    """Forwards the connections to one address, of which open ones can fall silent."""

    def __init__(self, *, address, destination):
        self._destination = split_address(destination)
        self._silent = set()
        self._open = set()
        self._listener = socket.create_server(split_address(address), backlog=16)
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Lose what is sent over the open connections, without a reset."""
        self._silent |= self._open

    def close(self):
        self._listener.close()
        for sock in list(self._open):
            with contextlib.suppress(OSError):
                sock.close()

    def _accept(self):
        while True:
            try:
                incoming, _ = self._listener.accept()
            except OSError:
                return
            outgoing = socket.create_connection(self._destination)
            self._open |= {incoming, outgoing}
            threading.Thread(
                target=self._forward, args=(incoming, outgoing), daemon=True
            ).start()

    def _forward(self, incoming, outgoing):
        other = {incoming: outgoing, outgoing: incoming}
        with contextlib.suppress(OSError, ValueError):
            while True:
                readable, _, _ = select.select(list(other), [], [], 0.1)
                for sock in readable:
                    data = sock.recv(65536)
                    if not data:
                        return
                    if sock not in self._silent:
                        other[sock].sendall(data)


class Peer:
    """A peer link that answers each report, behind a network."""

    def __init__(self, *, answers=False):
        number = next(_peer_numbers)
        self.public_address = f"{NETWORK}.31.{number}:7901"
        inner_address = f"{NETWORK}.31.{number}:7902"
        self.link = PeerLink(fleet="f", address=inner_address, incarnation=number)
        # Others know the peer by the address of the network in front of it.
        self.link.address = self.public_address
        self.network = Network(address=self.public_address, destination=inner_address)
        self.received = queue.Queue()
        self._answers = answers
        self._thread = threading.Thread(
            target=self.link.receive_forever, args=[self._handle]
        )
        self._thread.start()

    def _handle(self, envelope):
        self.received.put(envelope)
        if self._answers:
            self.link.send(envelope.sender, REPORT)

    def close(self):
        self.link.close()
        self.network.close()
        self._thread.join(DEADLINE_SECONDS)


@pytest.fixture
def asking():
    peer = Peer()
    yield peer
    peer.close()


@pytest.fixture
def answering():
    peer = Peer(answers=True)
    yield peer
    peer.close()


def has_answer(asking, answering):
    """Return whether a report is answered, as over working connections."""
    asking.link.send(answering.public_address, REPORT)
    try:
        asking.received.get(timeout=SILENCE_SECONDS)
    except queue.Empty:
        return False
    return True


def wait_until_answered(asking, answering):
    deadline = time.monotonic() + DEADLINE_SECONDS
    while not has_answer(asking, answering):
        assert time.monotonic() < deadline


@pytest.mark.parametrize("direction", ["to the peer", "from the peer"])
def test_silent_connection_is_used_on_and_on(asking, answering, direction):
    wait_until_answered(asking, answering)
    time.sleep(MINIMUM_CONNECTION_SECONDS)
    silenced = answering if direction == "to the peer" else asking
    silenced.network.silence()
    assert not has_answer(asking, answering)
    assert asking.link.replace_connection(answering.public_address)
    wait_until_answered(asking, answering)


def test_two_peers_replace_their_connections_by_turns(asking, answering):
    wait_until_answered(asking, answering)
    time.sleep(MINIMUM_CONNECTION_SECONDS)
    assert asking.link.replace_connection(answering.public_address)
    wait_until_answered(asking, answering)
    sockets = [
        link._socket_by_address[to]
        for link, to in (
            (asking.link, answering.public_address),
            (answering.link, asking.public_address),
        )
    ]
    for _ in range(20):
        time.sleep(MINIMUM_CONNECTION_SECONDS / 10)
        assert has_answer(asking, answering)
    assert asking.link._socket_by_address[answering.public_address] is sockets[0]
    assert answering.link._socket_by_address[asking.public_address] is sockets[1]


class YoungLink:
    """Stands in for a link whose connections are at first too young to be replaced."""

    def __init__(self):
        self.replaced = []
        self.is_young = True

    def replace_connection(self, to):
        if not self.is_young:
            self.replaced.append(to)
        return not self.is_young


def test_node_that_becomes_unreachable_again_keeps_its_silent_connection():
    node = SimpleNamespace(agent_peer_address="b:1")
    view = SimpleNamespace(unreachable_nodes=lambda: nodes)
    agent = SimpleNamespace(view=view, link=YoungLink(), _replaced_addresses=set())
    nodes = [node]
    Agent._replace_silent_connections(agent)
    agent.link.is_young = False
    Agent._replace_silent_connections(agent)
    Agent._replace_silent_connections(agent)
    assert agent.link.replaced == ["b:1"]
    nodes = []
    Agent._replace_silent_connections(agent)
    nodes = [node]
    Agent._replace_silent_connections(agent)
    assert agent.link.replaced == ["b:1", "b:1"]
