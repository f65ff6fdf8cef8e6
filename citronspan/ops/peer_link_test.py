import os
import queue
import threading
import time

from citronspan.core.node_messages import EntryReport
from citronspan.ops.peer_link import PeerLink

REPORT = EntryReport(name="a", state="serving", offset=3)
# Two suites may run on one machine at once.
NETWORK = f"127.{64 + os.getpid() % 128}"
DEADLINE_SECONDS = 10.0


def wait_until(condition):
    end = time.monotonic() + DEADLINE_SECONDS
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.005)


def test_a_message_arrives_and_a_closed_peer_is_noticed():
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


def test_the_first_message_to_a_peer_is_not_refused_for_want_of_a_connection():
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


def test_a_peer_that_is_heard_again_is_connected_to_at_once():
    first = PeerLink(fleet="f", address=f"{NETWORK}.30.5:7901", incarnation=1)
    thread = threading.Thread(target=first.receive_forever, args=[lambda _: None])
    thread.start()
    first.connect(f"{NETWORK}.30.6:7901")
    # Long enough for the pauses between two dials to have grown far past the bound.
    time.sleep(3.0)
    second = PeerLink(fleet="f", address=f"{NETWORK}.30.6:7901", incarnation=2)

    def send_until_connected():
        second.send(first.address, REPORT)
        return first.is_connected(second.address)

    wait_until(send_until_connected)
    first.close()
    second.close()
    thread.join(DEADLINE_SECONDS)
