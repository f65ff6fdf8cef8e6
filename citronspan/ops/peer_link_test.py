import queue
import threading
import time

from citronspan.core.node_messages import EntryReport
from citronspan.ops.peer_link import PeerLink

REPORT = EntryReport(name="a", state="serving", offset=3)
DEADLINE_SECONDS = 10.0


def wait_until(condition):
    end = time.monotonic() + DEADLINE_SECONDS
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.005)


def test_a_message_arrives_and_a_closed_peer_is_noticed():
    first = PeerLink(fleet="f", address="127.0.30.1:7901", incarnation=1)
    second = PeerLink(fleet="f", address="127.0.30.2:7901", incarnation=2)
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
