import os
import queue
import subprocess
import sys
import threading
import time

import pytest

from citronspan.core.message_base import Multicast, Outgoing
from citronspan.core.node_messages import EntryReport
from citronspan.ops.peers.peer_link import PeerLink

REPORT = EntryReport(name="a", state="serving", offset=3)
# Concurrent runs of the suite on one machine need different addresses.
NETWORK = f"127.{64 + os.getpid() % 128}"
DEADLINE_SECONDS = 10.0


def wait_until(condition):
    deadline = time.monotonic() + DEADLINE_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def test_message_is_delivered_and_send_to_closed_peer_fails():
    first = PeerLink(fleet="f", address=f"{NETWORK}.30.1:7901", incarnation=1)
    second = PeerLink(fleet="f", address=f"{NETWORK}.30.2:7901", incarnation=2)
    received = queue.Queue()
    thread = threading.Thread(target=second.receive_forever, args=[received.put])
    thread.start()
    wait_until(lambda: first.is_connected(second.address))
    assert first.send(second.address, REPORT)
    envelope = received.get(timeout=DEADLINE_SECONDS)
    assert envelope.body == REPORT
    assert envelope.sender == first.address
    second.close()
    thread.join(DEADLINE_SECONDS)
    wait_until(lambda: not first.send(second.address, REPORT))
    first.close()


def test_message_that_cannot_be_encoded_does_not_keep_others_from_being_sent():
    link = PeerLink(fleet="f", address=f"{NETWORK}.30.12:7901", incarnation=1)
    peer = PeerLink(fleet="f", address=f"{NETWORK}.30.13:7901", incarnation=1)
    received = queue.Queue()
    thread = threading.Thread(
        target=peer.receive_forever, args=[received.put], daemon=True
    )
    thread.start()
    wait_until(lambda: link.is_connected(peer.address))
    too_large = EntryReport(name="a", state="serving", offset=1 << 70)
    link.send_all(
        [
            Outgoing(to=peer.address, message=too_large),
            Outgoing(to=peer.address, message=REPORT),
        ]
    )
    link.send_multicasts([Multicast(receivers=(peer.address,), message=too_large)])
    assert received.get(timeout=DEADLINE_SECONDS).body == REPORT
    peer.close()
    link.close()
    thread.join(DEADLINE_SECONDS)


def test_first_message_is_accepted_before_connection_is_established():
    first = PeerLink(fleet="f", address=f"{NETWORK}.30.3:7901", incarnation=1)
    second = PeerLink(fleet="f", address=f"{NETWORK}.30.4:7901", incarnation=2)
    received = queue.Queue()
    thread = threading.Thread(target=second.receive_forever, args=[received.put])
    thread.start()
    assert first.send(second.address, REPORT)
    assert received.get(timeout=DEADLINE_SECONDS).body == REPORT
    second.close()
    thread.join(DEADLINE_SECONDS)
    first.close()


def test_link_reconnects_at_once_to_peer_that_sends_again():
    first = PeerLink(fleet="f", address=f"{NETWORK}.30.5:7901", incarnation=1)
    thread = threading.Thread(target=first.receive_forever, args=[lambda _: None])
    thread.start()
    first.connect(f"{NETWORK}.30.6:7901")
    # By then the reconnect interval has grown far above the minimum redial interval.
    time.sleep(3.0)
    second = PeerLink(fleet="f", address=f"{NETWORK}.30.6:7901", incarnation=2)

    def send_until_connected():
        second.send(first.address, REPORT)
        return first.is_connected(second.address)

    wait_until(send_until_connected)
    first.close()
    second.close()
    thread.join(DEADLINE_SECONDS)


def test_link_starts_threads_for_each_core_of_the_machine():
    code = (
        "import os\n"
        "from citronspan.ops.peers.peer_link import PeerLink\n"
        f"link = PeerLink(fleet='f', address='{NETWORK}.30.9:7901', incarnation=1)\n"
        "print(len(os.listdir('/proc/self/task')))\n"
    )
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout
    assert int(output) <= 8


@pytest.mark.parametrize("address", ["", "abc", "127.0.0.1", "\0:1", "x" * 300])
def test_malformed_address_of_one_peer_stops_what_is_sent_to_others(address):
    first = PeerLink(fleet="f", address=f"{NETWORK}.30.10:7901", incarnation=1)
    second = PeerLink(fleet="f", address=f"{NETWORK}.30.11:7901", incarnation=2)
    received = queue.Queue()
    thread = threading.Thread(target=second.receive_forever, args=[received.put])
    thread.start()
    wait_until(lambda: first.is_connected(second.address))
    first.connect(address)
    assert not first.is_connected(address)
    first.send_all(
        [
            Outgoing(to=address, message=REPORT),
            Outgoing(to=second.address, message=REPORT),
        ]
    )
    assert received.get(timeout=DEADLINE_SECONDS).body == REPORT
    first.close()
    second.close()
    thread.join(DEADLINE_SECONDS)
