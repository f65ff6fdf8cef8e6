"""Tests which peers an entry keeps connections to."""

import time

import msgspec

from citronspan.core.node_messages import ViewPush
from citronspan.ops.conftest import POLL_SECONDS, TEST_TIMEOUT_SECONDS, run_entry
from citronspan_standins.scripted_targets import find_free_addresses

PEERS = 100


def test_entry_connects_to_every_host_of_a_large_fleet(monkeypatch):
    with run_entry(worker_threads=4) as running:
        entry = running.entry
        connected = set()
        monkeypatch.setattr(entry.link, "connect", connected.add)
        own = entry.view.nodes[0]
        peers = [
            msgspec.structs.replace(own, name=f"peer-{number}", entry_peer_address=to)
            for number, to in enumerate(find_free_addresses(PEERS))
        ]
        view = ViewPush(sequence=9, nodes=(own, *peers))
        running.agent.send(running.settings.peer_address, view)
        deadline = time.monotonic() + TEST_TIMEOUT_SECONDS
        while len(entry.view.nodes) <= PEERS:
            assert time.monotonic() < deadline
            time.sleep(POLL_SECONDS)
        # The only service has three targets, hence one shard and one broker.
        brokers = entry.slots.list_broker_addresses()
        assert len(brokers) == 1
        assert connected <= brokers
