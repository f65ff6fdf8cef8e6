"""Tests of when a starting host serves what it read from the platform's feeds."""

import time

import freezegun
import msgspec
import pytest

from citronspan.core.configuration.feed_messages import FeedOffsets, FeedUpdate
from citronspan.core.configuration.feed_records import TRANSLATION_GENERATION
from citronspan.core.configuration.feeds import (
    CONFIGURATION_FEED,
    FEEDS,
    TARGETS_FEED,
    FeedBatch,
    FeedRecord,
    encode_resources,
)
from citronspan.core.node_messages import NodeInfo
from citronspan.core.resources import Kind, Resource, ServiceSpec
from citronspan.ops.store.feed_source import (
    PEER_FALLBACK_SECONDS,
    FeedPage,
    FeedSource,
    FeedTruncatedError,
    StoreUnavailableError,
)
from citronspan.utils import clocks

OWN = NodeInfo(
    name="host-1",
    incarnation=1,
    region="r",
    data_centre="r-1",
    agent_peer_address="127.0.0.1:1",
    entry_peer_address="127.0.0.1:2",
    entry_callers_address="127.0.0.1:3",
    api_address="127.0.0.1:4",
)


class PartialStore:
    """A store that answers only reads of some feeds, each with one empty record."""

    unreadable_records = 0
    configuration_problem = ""

    def __init__(self, *, answered_feeds):
        self.answered_feeds = answered_feeds
        self.data = b"[]"
        self.hold_up = lambda: None

    def read_newest(self, feed):
        self.hold_up()
        if feed not in self.answered_feeds:
            raise StoreUnavailableError("status 503")
        record = FeedRecord(offset=0, key="k", data=self.data)
        return FeedBatch(
            feed=feed, from_offset=0, next_offset=1, records=(record,), whole=True
        )

    def raise_truncated(self, feed, from_offset, wait_seconds):
        raise FeedTruncatedError(feed)


class CutStore(PartialStore):
    """A store whose pages hold one record of the first offsets each."""

    end_offset = 5

    def read(self, feed, from_offset, wait_seconds):
        next_offset = min(from_offset + 1, self.end_offset)
        batch = FeedBatch(feed=feed, from_offset=from_offset, next_offset=next_offset)
        return FeedPage(batch=batch, end_offset=self.end_offset)


def make_source(*, store):
    """Return a source that has read each feed once."""
    source = FeedSource(
        own=OWN,
        send_all=lambda items: None,
        store=store,
        is_seed=True,
    )
    for feed in FEEDS:
        source.read_feed(feed)
    return source


def test_host_without_configuration_does_not_serve_its_targets():
    with freezegun.freeze_time("2026-01-01") as clock:
        source = make_source(store=PartialStore(answered_feeds={TARGETS_FEED}))
        clock.tick(PEER_FALLBACK_SECONDS + 0.1)
        source.check_startup_gate((OWN,))
    assert not source.active_config.ready


def test_host_with_configuration_serves_it_while_targets_are_unread():
    with freezegun.freeze_time("2026-01-01") as clock:
        source = make_source(store=PartialStore(answered_feeds={CONFIGURATION_FEED}))
        clock.tick(PEER_FALLBACK_SECONDS + 0.1)
        source.check_startup_gate((OWN,))
    assert source.active_config.ready


def test_reload_applies_records_that_are_decoded_differently_now():
    with freezegun.freeze_time("2026-01-01"):
        store = PartialStore(answered_feeds=set(FEEDS))
        source = make_source(store=store)
        assert not source.active_config.state.resource_by_key
        spec = ServiceSpec(floor=0.9)
        store.data = encode_resources(
            [Resource(kind=Kind.SERVICE, name="s", spec=spec)]
        )
        source.request_reload()
        source.read_feed(CONFIGURATION_FEED)
    assert source.active_config.state.resource_by_key


def test_host_reads_by_itself_what_an_earlier_version_has_translated():
    spec = ServiceSpec(floor=0.9)
    data = encode_resources([Resource(kind=Kind.SERVICE, name="s", spec=spec)])
    told = FeedRecord(offset=1, key="k", data=b"[]")
    batch = FeedBatch(
        feed=CONFIGURATION_FEED, from_offset=1, next_offset=2, records=(told,)
    )
    offsets = FeedOffsets(configuration=2, targets=1)
    update = FeedUpdate(offsets=offsets, age_seconds=0.0, batches=(batch,))
    own = msgspec.structs.replace(told, data=data, generation=TRANSLATION_GENERATION)
    whole = msgspec.structs.replace(batch, from_offset=0, records=(own,), whole=True)
    with freezegun.freeze_time("2026-01-01"):
        store = PartialStore(answered_feeds=set(FEEDS))
        source = make_source(store=store)
        spread = source._spread
        assert not source._needs_translation(CONFIGURATION_FEED)
        source.active_config.run_step(
            lambda: spread.handle_message(update, "127.0.0.1:9")
        )
        assert source._needs_translation(CONFIGURATION_FEED)
        assert not source._needs_translation(TARGETS_FEED)
        store.answered_feeds = set()
        assert not source.read_feed(CONFIGURATION_FEED)
        store.answered_feeds = set(FEEDS)
        store.read_newest = lambda feed: whole
        assert source.read_feed(CONFIGURATION_FEED)
        assert source.active_config.state.resource_by_key
        # What it hears later of the same record changes nothing.
        update = msgspec.structs.replace(
            update, batches=(msgspec.structs.replace(batch, from_offset=0, whole=True),)
        )
        source.active_config.run_step(
            lambda: spread.handle_message(update, "127.0.0.1:9")
        )
        assert source.active_config.state.resource_by_key
        assert not source._needs_translation(CONFIGURATION_FEED)


def test_reload_during_an_outage_of_the_store_is_not_forgotten():
    with freezegun.freeze_time("2026-01-01"):
        store = PartialStore(answered_feeds=set(FEEDS))
        source = make_source(store=store)
        spec = ServiceSpec(floor=0.9)
        store.data = encode_resources(
            [Resource(kind=Kind.SERVICE, name="s", spec=spec)]
        )
        store.answered_feeds = set()
        source.request_reload()
        assert not source.read_feed(CONFIGURATION_FEED)
        store.answered_feeds = set(FEEDS)
        source.read_feed(CONFIGURATION_FEED)
    assert source.active_config.state.resource_by_key


def test_answer_of_the_store_is_fresh_after_a_pause_of_the_process():
    with freezegun.freeze_time("2026-01-01") as clock:
        store = PartialStore(answered_feeds=set(FEEDS))
        pauses = [5.0]
        store.hold_up = lambda: clock.tick(pauses.pop() if pauses else 0.0)
        source = make_source(store=store)
        assert source.age_seconds > 4.0
        source.check_startup_gate((OWN,))
        assert not source.active_config.ready


def test_copy_stays_fresh_while_its_machine_is_suspended(monkeypatch):
    with freezegun.freeze_time("2026-01-01"):
        source = make_source(store=PartialStore(answered_feeds=set(FEEDS)))
        assert source.age_seconds < 0.1
        suspended_seconds = clocks.read_suspended_seconds() + 7.0
        monkeypatch.setattr(clocks, "read_suspended_seconds", lambda: suspended_seconds)
        assert source.age_seconds >= 7.0
        source.check_startup_gate((OWN,))
        assert not source.active_config.ready


def test_copy_is_fresh_though_the_store_cut_what_it_read():
    with freezegun.freeze_time("2026-01-01") as clock:
        source = make_source(store=CutStore(answered_feeds=set(FEEDS)))
        clock.tick(3.0)
        ages = []
        for _ in range(4):
            for feed in FEEDS:
                source.read_feed(feed)
            ages.append(round(source.age_seconds, 1))
    assert ages == [3.0, 3.0, 3.0, 0.0]


def test_copy_never_gets_fresh_while_the_feed_grows_as_fast_as_it_is_read():
    with freezegun.freeze_time("2026-01-01") as clock:
        store = CutStore(answered_feeds=set(FEEDS))
        source = make_source(store=store)
        ages = []
        for _ in range(12):
            clock.tick(0.5)
            store.end_offset += 1
            for feed in FEEDS:
                source.read_feed(feed)
            ages.append(source.age_seconds)
    assert max(ages) < 4.0


def test_host_pauses_between_the_parts_of_a_cut_read():
    class CountingStore(CutStore):
        end_offset = 40
        offsets = []

        def read(self, feed, from_offset, wait_seconds):
            if from_offset == self.end_offset:
                source.stop()
            self.offsets.append(from_offset)
            return super().read(feed, from_offset, wait_seconds)

    store = CountingStore(answered_feeds=set(FEEDS))
    source = make_source(store=store)
    source.read_feed(CONFIGURATION_FEED)
    started_at = time.monotonic()
    dict(source.list_tasks())[f"feed-{TARGETS_FEED}"]()
    assert time.monotonic() - started_at < 4.0
    assert store.offsets[-2:] == [39, 40]


class RemovalStore(PartialStore):
    """A store that removes the only key of each feed after its first answer."""

    def read(self, feed, from_offset, wait_seconds):
        if feed not in self.answered_feeds:
            raise StoreUnavailableError("status 503")
        record = FeedRecord(offset=from_offset, key="k")
        batch = FeedBatch(
            feed=feed,
            from_offset=from_offset,
            next_offset=from_offset + 1,
            records=(record,),
        )
        return FeedPage(batch=batch, end_offset=from_offset + 1)


def play_removal_after_outage(*, told_seconds, failed_seconds):
    """Return whether a removal takes effect as soon as the store answers again.

    Args:
        told_seconds: Time for which only a peer tells that the copy is fresh.
        failed_seconds: Time for which reads fail after that.
    """
    with freezegun.freeze_time("2026-01-01") as clock:
        store = RemovalStore(answered_feeds=set(FEEDS))
        source = make_source(store=store)
        clock.tick(told_seconds)
        if told_seconds:
            update = FeedUpdate(offsets=source._spread.offsets, age_seconds=0.0)
            source._spread.handle_message(update, "127.0.0.1:9")
        store.answered_feeds = set()
        for _ in range(4):
            clock.tick(failed_seconds / 4)
            source.read_feed(TARGETS_FEED)
        store.answered_feeds = set(FEEDS)
        source.read_feed(TARGETS_FEED)
        return not source._spread._feed_by_name[TARGETS_FEED].record_by_key


@pytest.mark.parametrize(
    ("told_seconds", "failed_seconds", "is_removed"),
    [(60.0, 1.6, True), (60.0, 2.4, False), (0.0, 0.8, True), (0.0, 1.2, False)],
)
def test_removal_is_late_at_a_host_whose_rare_read_failed(
    told_seconds, failed_seconds, is_removed
):
    assert is_removed == play_removal_after_outage(
        told_seconds=told_seconds, failed_seconds=failed_seconds
    )


def test_held_up_answer_counts_as_fresher_since_the_store_could_have_waited():
    with freezegun.freeze_time("2026-01-01") as clock:
        store = PartialStore(answered_feeds=set(FEEDS))
        source = make_source(store=store)
        source._spread.set_nodes((OWN,))
        assert source.is_reader
        clock.tick(5.0)
        store.read = store.raise_truncated
        store.hold_up = lambda: clock.tick(0.7)
        for feed in FEEDS:
            source.read_feed(feed)
        assert source.age_seconds >= 1.4
