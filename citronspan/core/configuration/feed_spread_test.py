"""Tests that every node receives the feeds, whichever nodes can read the store."""

import dataclasses
from collections import Counter

import freezegun
import msgspec
import pytest

from citronspan.core.configuration.copy_check import MAXIMUM_QUESTIONS
from citronspan.core.configuration.feed_messages import FeedPull, FeedUpdate
from citronspan.core.configuration.feed_spread import STALE_SECONDS, FeedSpread
from citronspan.core.configuration.feeds import (
    CONFIGURATION_FEED,
    FEEDS,
    TARGETS_FEED,
    FeedBatch,
    FeedRecord,
)
from citronspan.core.configuration.record_versions import VERSIONS_PER_START
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo

STEP_SECONDS = 0.1
PROPAGATION_LIMIT_SECONDS = 2.5
"""Maximum time from a write to the store until the last node has the change."""


class Fleet:
    """Nodes in two regions, a store, and messages that are delivered one step later."""

    def __init__(self, clock, *, nodes=24, seeds=24):
        self.clock = clock
        self.log_by_feed = {feed: [] for feed in FEEDS}
        self.rejected_by_store = set()
        self.stopped = set()
        self.has_truncated_log = False
        self.reads = 0
        infos = [make_node(number, nodes) for number in range(nodes)]
        self.info_by_name = {info.name: info for info in infos}
        self.name_by_address = {info.agent_peer_address: info.name for info in infos}
        self.spread_by_name = {
            info.name: FeedSpread(own=info, seed=number, is_seed=number < seeds)
            for number, info in enumerate(infos)
        }
        for spread in self.spread_by_name.values():
            spread.set_nodes(tuple(infos))
        self.in_flight = []
        self.held_up_name = ""
        self.held_up = []
        self.version_by_offset = {}

    def start_again(self, name):
        """Start a node that holds nothing."""
        self.stopped.discard(name)
        infos = tuple(self.info_by_name.values())
        spread = FeedSpread(own=self.info_by_name[name], seed=1)
        spread.set_nodes(infos)
        self.spread_by_name[name] = spread

    def get_target_data(self, name):
        feed = self.spread_by_name[name]._feed_by_name[TARGETS_FEED]
        record = feed.record_by_key.get("k")
        return None if record is None else record.data

    def write(self, feed, data):
        self.log_by_feed[feed].append(data)

    def step(self):
        self.clock.tick(STEP_SECONDS)
        delivered, self.in_flight = self.in_flight, []
        for sender, item in delivered:
            name = self.name_by_address[item.to]
            if name in self.stopped:
                continue
            if name == self.held_up_name:
                self.held_up.append((sender, item))
                continue
            spread = self.spread_by_name[name]
            address = self.info_by_name[sender].agent_peer_address
            self._send(name, spread.handle_message(item.message, address))
        for name, spread in self.spread_by_name.items():
            if name in self.stopped:
                continue
            self._send(name, spread.tick())
            if spread.is_due_to_read() and name not in self.rejected_by_store:
                for feed in FEEDS:
                    self.reads += 1
                    batch = self._read(spread, feed)
                    self._send(name, spread.apply_store_batch(batch))

    def _read(self, spread, feed, start=None):
        start = spread.offsets.get_offset(feed) if start is None else start
        log = self.log_by_feed[feed]
        if self.has_truncated_log and start < len(log):
            newest = self._make_record(feed, len(log) - 1)
            return FeedBatch(
                feed=feed,
                from_offset=0,
                next_offset=len(log),
                records=() if newest.data is None else (newest,),
                whole=True,
            )
        records = tuple(
            self._make_record(feed, offset) for offset in range(start, len(log))
        )
        return FeedBatch(
            feed=feed, from_offset=start, next_offset=len(log), records=records
        )

    def _make_record(self, feed, offset):
        version = self.version_by_offset.get(offset, 0) if feed == TARGETS_FEED else 0
        data = self.log_by_feed[feed][offset]
        return FeedRecord(offset=offset, key="k", data=data, version=version)

    def _send(self, name, result):
        self.in_flight.extend((name, item) for item in result.outgoing)

    def list_lagging_nodes(self):
        return [
            name
            for name, spread in self.spread_by_name.items()
            if name not in self.stopped
            and spread.offsets.configuration < len(self.log_by_feed[CONFIGURATION_FEED])
        ]

    def list_nodes_with_targets(self):
        return [
            name
            for name, spread in self.spread_by_name.items()
            if name not in self.stopped
            and spread._feed_by_name[TARGETS_FEED].record_by_key
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
        assert fleet.list_lagging_nodes() == []
        yield fleet


def test_exactly_one_node_reads_store_in_steady_state(fleet):
    reads_before = fleet.reads
    fleet.run(10.0)
    assert fleet.reads - reads_before == 2 * round(10.0 / STEP_SECONDS)


def test_change_reaches_all_nodes_within_600_ms(fleet):
    fleet.write(CONFIGURATION_FEED, b"[]")
    fleet.run(0.6)
    assert fleet.list_lagging_nodes() == []


@pytest.mark.parametrize("stopped_count", [1, 2, 4, 16])
def test_change_reaches_all_nodes_within_limit_after_loss_of_readers(
    fleet, stopped_count
):
    """Stops the node that reads the store and the nodes that would replace it."""
    ranked = sorted(
        fleet.spread_by_name, key=lambda name: get_reading_order(fleet, name)
    )
    fleet.stopped = set(ranked[:stopped_count])
    fleet.write(CONFIGURATION_FEED, b"[]")
    fleet.run(PROPAGATION_LIMIT_SECONDS)
    assert fleet.list_lagging_nodes() == []


@pytest.mark.parametrize("has_truncated_log", [False, True])
@pytest.mark.parametrize("stopped_count", [0, 1, 2, 16])
def test_removed_target_stays_where_a_whole_copy_comes_in_place_of_records(
    fleet, stopped_count, has_truncated_log
):
    """The records are gone from the log, so that the newest of each key is read."""
    fleet.write(TARGETS_FEED, b"[]")
    fleet.run(1.0)
    ranked = sorted(
        fleet.spread_by_name, key=lambda name: get_reading_order(fleet, name)
    )
    fleet.stopped = set(ranked[:stopped_count])
    fleet.has_truncated_log = has_truncated_log
    fleet.write(TARGETS_FEED, None)
    fleet.run(PROPAGATION_LIMIT_SECONDS)
    assert fleet.list_nodes_with_targets() == []


@pytest.mark.parametrize("gap_seconds", [1.0, 1.5])
def test_target_is_gone_for_a_moment_after_an_outage_of_the_store(fleet, gap_seconds):
    fleet.write(TARGETS_FEED, b"[]")
    fleet.run(1.0)
    fleet.rejected_by_store = set(fleet.spread_by_name)
    fleet.run(4.0)
    fleet.write(TARGETS_FEED, None)
    fleet.has_truncated_log = True
    fleet.rejected_by_store = set()
    for _ in range(round(gap_seconds / STEP_SECONDS)):
        fleet.step()
        assert len(fleet.list_nodes_with_targets()) == len(fleet.spread_by_name)
    fleet.write(TARGETS_FEED, b"[]")
    fleet.run(0.8)
    assert len(fleet.list_nodes_with_targets()) == len(fleet.spread_by_name)
    fleet.run(PROPAGATION_LIMIT_SECONDS)
    assert len(fleet.list_nodes_with_targets()) == len(fleet.spread_by_name)


@pytest.mark.parametrize("accepted_count", [1, 3, 12])
def test_change_reaches_all_nodes_when_store_rejects_most(fleet, accepted_count):
    ranked = sorted(
        fleet.spread_by_name, key=lambda name: get_reading_order(fleet, name)
    )
    fleet.rejected_by_store = set(ranked[:-accepted_count])
    fleet.write(CONFIGURATION_FEED, b"[]")
    fleet.run(PROPAGATION_LIMIT_SECONDS + 1.0)
    assert fleet.list_lagging_nodes() == []


def test_all_nodes_try_to_read_and_keep_state_without_store(fleet):
    fleet.rejected_by_store = set(fleet.spread_by_name)
    fleet.run(STALE_SECONDS + 1.0)
    assert all(spread.is_due_to_read() for spread in fleet.spread_by_name.values())
    assert fleet.list_lagging_nodes() == []


def test_update_held_up_on_its_way_does_not_make_a_copy_fresh(fleet):
    reader = next(name for name, s in fleet.spread_by_name.items() if s.is_reader)
    name = next(name for name in fleet.spread_by_name if name != reader)
    fleet.rejected_by_store = {name}
    fleet.held_up_name = name
    fleet.run(1.0)
    held_up, fleet.held_up = fleet.held_up, []
    fleet.run(5.0)
    spread = fleet.spread_by_name[name]
    assert spread.age_seconds > 5.0
    for sender, item in held_up:
        address = fleet.info_by_name[sender].agent_peer_address
        spread.handle_message(item.message, address)
    assert spread.age_seconds > 4.0


def get_reading_order(fleet, name):
    spread = fleet.spread_by_name[name]
    return (not spread.is_reader, spread.plan.rank, name)


def count_sent_records(fleet):
    """Count the records that nodes send to each other from now on; see ``total``."""
    counts = {"total": 0}
    send = fleet._send

    def count(name, result):
        for item in result.outgoing:
            for batch in getattr(item.message, "batches", ()):
                counts["total"] += len(batch.records)
        send(name, result)

    fleet._send = count
    return counts


def test_start_of_all_nodes_makes_many_read_the_store_and_send_what_they_read():
    nodes, seeds, steps = 60, 3, 10
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock, nodes=nodes, seeds=seeds)
        everyone = tuple(fleet.info_by_name.values())
        # At first a node knows itself, the seeds and one more.
        for number, spread in enumerate(fleet.spread_by_name.values()):
            known = {everyone[number], everyone[-number], *everyone[:seeds]}
            spread.set_nodes(tuple(known))
        counts = count_sent_records(fleet)
        fleet.write(CONFIGURATION_FEED, b"[]")
        fleet.run(steps * STEP_SECONDS)
        assert fleet.list_lagging_nodes() == []
        # Each node reads both feeds once, and the seeds go on.
        assert fleet.reads <= 2 * (nodes + seeds * steps)
        assert counts["total"] <= 1.25 * nodes


def test_pulled_records_are_sent_on_to_nodes_that_do_not_ask_for_them(fleet):
    counts = count_sent_records(fleet)
    reader = next(name for name, s in fleet.spread_by_name.items() if s.is_reader)
    fleet.rejected_by_store = {reader}
    fleet.write(CONFIGURATION_FEED, b"[]")
    fleet.run(PROPAGATION_LIMIT_SECONDS + 1.0)
    assert fleet.list_lagging_nodes() == []
    assert counts["total"] <= 2 * len(fleet.spread_by_name)


@pytest.mark.parametrize("newest_data", [b"new", None])
@pytest.mark.parametrize("seed", range(3))
def test_started_node_keeps_an_older_record_that_its_peers_do_not(newest_data, seed):
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock, nodes=6)
        name = f"host-{seed:02}"
        fleet.stopped.add(name)
        for feed in FEEDS:
            fleet.write(feed, b"[]")
        fleet.run(3.0)
        for version, data in ((7, b"old"), (8, newest_data), (7, b"old")):
            fleet.version_by_offset[len(fleet.log_by_feed[TARGETS_FEED])] = version
            fleet.write(TARGETS_FEED, data)
            fleet.run(1.0)
        fleet.start_again(name)
        fleet.has_truncated_log = True
        fleet.run(0.1)
        fleet.has_truncated_log = False
        assert fleet.get_target_data(name) == b"old"
        fleet.run(2.0)
        found = {fleet.get_target_data(node) for node in fleet.spread_by_name}
    assert found == {newest_data}


@pytest.mark.parametrize("written_feeds", [FEEDS, (CONFIGURATION_FEED,)])
def test_many_started_nodes_ask_for_whole_copies_for_ever(written_feeds):
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock)
        for feed in written_feeds:
            fleet.write(feed, b"[]")
        askers = Counter()
        for _ in range(100):
            fleet.step()
            askers.update(
                sender
                for sender, item in fleet.in_flight
                if isinstance(item.message, FeedPull)
            )
    # A node that is behind asks, too, for what it lacks.
    assert max(askers.values(), default=0) <= MAXIMUM_QUESTIONS + 2


def test_peers_pass_over_what_the_reader_took_for_a_new_start(fleet):
    written = [
        (9, 40, b"before"),
        (8, 0, b"ready"),
        (8, 1, b"ready"),
        (8, 2, b"drains"),
    ]
    for start, sequence, data in written:
        offset = len(fleet.log_by_feed[TARGETS_FEED])
        fleet.version_by_offset[offset] = start * VERSIONS_PER_START + sequence
        fleet.write(TARGETS_FEED, data)
        fleet.run(1.5)
    found = {fleet.get_target_data(name) for name in fleet.spread_by_name}
    assert found == {b"drains"}


class MixedFleet(Fleet):
    """A fleet some of whose nodes are of a version with an earlier translation."""

    earlier_names = frozenset()

    def step(self):
        for name in self.spread_by_name.keys() - self.earlier_names:
            spread = self.spread_by_name[name]
            if spread.needs_translation and name not in self.rejected_by_store:
                self.reads += 1
                batch = self._read(spread, CONFIGURATION_FEED, start=0)
                self._send(name, spread.apply_store_batch(batch))
        super().step()

    def _read(self, spread, feed, start=None):
        batch = super()._read(spread, feed, start)
        if spread._own.name in self.earlier_names or feed != CONFIGURATION_FEED:
            return batch
        records = tuple(
            msgspec.structs.replace(record, data=b"[ ]", generation=1)
            for record in batch.records
        )
        return msgspec.structs.replace(batch, records=records)

    def _send(self, name, result):
        if name in self.earlier_names:
            outgoing = tuple(strip_generations(item) for item in result.outgoing)
            result = dataclasses.replace(result, outgoing=outgoing)
        super()._send(name, result)

    def count_translated(self):
        """Return the number of nodes that hold the later translation."""
        return sum(
            record.generation
            for name in self.spread_by_name.keys() - self.earlier_names
            for record in self.spread_by_name[name]
            ._feed_by_name[CONFIGURATION_FEED]
            .record_by_key.values()
        )


def strip_generations(item):
    """Return a message as a node of the earlier version sends it."""
    if not isinstance(item.message, FeedUpdate):
        return item
    batches = tuple(
        msgspec.structs.replace(
            batch,
            records=tuple(
                msgspec.structs.replace(record, generation=0)
                for record in batch.records
            ),
        )
        for batch in item.message.batches
    )
    message = msgspec.structs.replace(item.message, batches=batches)
    return Outgoing(to=item.to, message=message)


@pytest.mark.parametrize(("readers", "seconds"), [(6, 1.0), (1, 15.0)])
def test_nodes_replace_what_an_earlier_version_has_translated(readers, seconds):
    """Some of the later nodes can read the store, and the others ask their peers."""
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = MixedFleet(clock, nodes=12)
        ranked = sorted(
            fleet.spread_by_name, key=lambda name: get_reading_order(fleet, name)
        )
        fleet.earlier_names = frozenset(ranked[:6])
        fleet.rejected_by_store = set(ranked[6 : 12 - readers])
        for _ in range(2):
            fleet.write(CONFIGURATION_FEED, b"[]")
            fleet.run(seconds)
            assert fleet.list_lagging_nodes() == []
            assert fleet.count_translated() == 6
        reads_before = fleet.reads
        fleet.run(5.0)
        assert fleet.count_translated() == 6
        assert not any(
            fleet.spread_by_name[name].needs_translation for name in ranked[6:]
        )
        # Only the reader goes on.
        assert fleet.reads - reads_before <= 2 * round(5.0 / STEP_SECONDS) * (
            1 + len(fleet.rejected_by_store)
        )
