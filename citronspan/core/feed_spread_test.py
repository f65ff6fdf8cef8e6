"""Every node of a small fleet follows the store, whoever may read it."""

import freezegun
import pytest

from citronspan.core.feed_spread import STALE_SECONDS, FeedSpread
from citronspan.core.feeds import CONFIGURATION_FEED, FEEDS, FeedBatch, FeedRecord
from citronspan.core.node_messages import NodeInfo

STEP_SECONDS = 0.1
IN_FORCE_SECONDS = 2.5
"""Bound on a change, from the store's word to the last node."""


class Fleet:
    """Nodes in two regions, a store, and messages that arrive one step later."""

    def __init__(self, clock, *, nodes=24):
        self.clock = clock
        self.log = {feed: [] for feed in FEEDS}
        self.turned_away = set()
        self.down = set()
        self.reads = 0
        infos = [make_node(number, nodes) for number in range(nodes)]
        self.info_by_name = {info.name: info for info in infos}
        self.name_by_address = {info.agent_peer_address: info.name for info in infos}
        self.spread_by_name = {
            info.name: FeedSpread(own=info, seed=number)
            for number, info in enumerate(infos)
        }
        for spread in self.spread_by_name.values():
            spread.set_nodes(tuple(infos))
        self.under_way = []

    def write(self, feed, data):
        self.log[feed].append(data)

    def step(self):
        self.clock.tick(STEP_SECONDS)
        arrived, self.under_way = self.under_way, []
        for sender, item in arrived:
            name = self.name_by_address[item.to]
            if name in self.down:
                continue
            spread = self.spread_by_name[name]
            address = self.info_by_name[sender].agent_peer_address
            self._send(name, spread.handle_message(item.message, address))
        for name, spread in self.spread_by_name.items():
            if name in self.down:
                continue
            self._send(name, spread.tick())
            if spread.is_due_to_read() and name not in self.turned_away:
                for feed in FEEDS:
                    self.reads += 1
                    batch = self._read(spread, feed)
                    self._send(name, spread.apply_store_batch(batch))

    def _read(self, spread, feed):
        start = spread.offsets.find(feed)
        log = self.log[feed]
        records = tuple(
            FeedRecord(offset=offset, key="k", data=log[offset])
            for offset in range(start, len(log))
        )
        return FeedBatch(
            feed=feed, from_offset=start, next_offset=len(log), records=records
        )

    def _send(self, name, result):
        self.under_way.extend((name, item) for item in result.outgoing)

    def find_peer_lag(self):
        return [
            name
            for name, spread in self.spread_by_name.items()
            if name not in self.down
            and spread.offsets.configuration < len(self.log[CONFIGURATION_FEED])
        ]

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()


def make_node(number, nodes):
    region = "east" if number < nodes // 2 else "west"
    return NodeInfo(
        name=f"host-{number:02}",
        incarnation=1,
        region=region,
        data_centre=f"{region}-1",
        agent_peer_address=f"10.0.0.{number}:1",
        entry_peer_address=f"10.0.0.{number}:2",
        entry_callers_address=f"10.0.0.{number}:3",
        api_address=f"10.0.0.{number}:4",
    )


@pytest.fixture
def fleet():
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock)
        fleet.write(CONFIGURATION_FEED, b"[]")
        fleet.run(3.0)
        assert fleet.find_peer_lag() == []
        yield fleet


def test_one_node_reads_in_calm_times(fleet):
    before = fleet.reads
    fleet.run(10.0)
    assert fleet.reads - before == 2 * round(10.0 / STEP_SECONDS)


def test_a_change_is_with_all_in_time(fleet):
    fleet.write(CONFIGURATION_FEED, b"[]")
    fleet.run(0.6)
    assert fleet.find_peer_lag() == []


@pytest.mark.parametrize("lost", [1, 2, 4, 16])
def test_a_change_is_with_all_in_time_after_the_loss_of_readers(fleet, lost):
    """The nodes that read and those that would stand in for them are lost first."""
    ranked = sorted(fleet.spread_by_name, key=lambda name: find_rank(fleet, name))
    fleet.down = set(ranked[:lost])
    fleet.write(CONFIGURATION_FEED, b"[]")
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.find_peer_lag() == []


@pytest.mark.parametrize("served", [1, 3, 12])
def test_a_store_that_turns_most_away_still_reaches_all(fleet, served):
    ranked = sorted(fleet.spread_by_name, key=lambda name: find_rank(fleet, name))
    fleet.turned_away = set(ranked[:-served])
    fleet.write(CONFIGURATION_FEED, b"[]")
    fleet.run(IN_FORCE_SECONDS + 1.0)
    assert fleet.find_peer_lag() == []


def test_without_the_store_all_ask_it_and_none_forgets(fleet):
    fleet.turned_away = set(fleet.spread_by_name)
    fleet.run(STALE_SECONDS + 1.0)
    assert all(spread.is_due_to_read() for spread in fleet.spread_by_name.values())
    assert fleet.find_peer_lag() == []


def find_rank(fleet, name):
    spread = fleet.spread_by_name[name]
    return (not spread.is_reader, spread.plan.rank, name)
