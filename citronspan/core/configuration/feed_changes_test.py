"""Tests that peers get each record that says something new, and few others."""

import freezegun
import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from citronspan.core.configuration.feed_changes import (
    REPEAT_SECONDS,
    ChangeFilter,
    state_removed_versions,
)
from citronspan.core.configuration.feed_messages import FeedUpdate
from citronspan.core.configuration.feed_spread_test import Fleet
from citronspan.core.configuration.feeds import (
    TARGETS_FEED,
    Feed,
    FeedBatch,
    FeedRecord,
    drop_superseded_records,
)

KEYS = ("t-1", "t-2", "t-3")
BEAT_SECONDS = 1.5


def make_batch(first_offset, *items, whole=False):
    """Return a batch of pairs of key and data."""
    records = tuple(
        FeedRecord(offset=offset, key=key, data=data, version=offset + 1)
        for offset, (key, data) in enumerate(items, first_offset)
    )
    return FeedBatch(
        feed=TARGETS_FEED,
        from_offset=first_offset,
        next_offset=first_offset + len(records),
        records=records,
        whole=whole,
    )


@pytest.fixture
def clock():
    with freezegun.freeze_time("2026-01-01") as frozen:
        yield frozen


class Reader:
    """A reader's feed, its filter, and the feed of a peer that gets what is left."""

    def __init__(self):
        self.feed = Feed(name=TARGETS_FEED)
        self.peer = Feed(name=TARGETS_FEED)
        self.filter = ChangeFilter()
        self.sent = 0

    def read(self, batch, now=0.0):
        batch = state_removed_versions(batch, self.feed)
        news = self.filter.drop_unchanged_records(batch, self.feed, now)
        self.feed.apply(drop_superseded_records(batch))
        self.peer.apply(news)
        self.sent += len(news.records)
        return news


def list_data(feed):
    return {key: record.data for key, record in feed.record_by_key.items()}


def test_registration_without_news_is_sent_to_every_host(clock):
    reader = Reader()
    for beat in range(10):
        reader.read(make_batch(3 * beat, *((key, b"[]") for key in KEYS)))
    assert reader.sent == len(KEYS)
    assert reader.peer.next_offset == reader.feed.next_offset == 30


def test_peer_that_lost_a_record_never_gets_it_again(clock):
    reader = Reader()
    reader.read(make_batch(0, ("t-1", b"[]")), 0.0)
    assert reader.read(make_batch(1, ("t-1", b"[]")), REPEAT_SECONDS - 1).records == ()
    again = reader.read(make_batch(2, ("t-1", b"[]")), REPEAT_SECONDS)
    assert len(again.records) == 1


@pytest.mark.parametrize("is_after_outage", [False, True])
def test_key_that_came_back_within_its_grace_time_is_removed_at_a_peer(
    clock, is_after_outage
):
    reader = Reader()
    reader.read(make_batch(0, ("t-1", b"[]"), ("t-2", b"[]")))
    whole = make_batch(2, ("t-2", b"[]"), whole=True)
    reader.read(msgspec.structs.replace(whole, is_after_outage=is_after_outage))
    assert ("t-1" in reader.peer.record_by_key) == is_after_outage
    reader.read(make_batch(3, ("t-1", b"[]")))
    clock.tick(60.0)
    for feed in (reader.feed, reader.peer):
        feed.expire()
    assert list_data(reader.peer) == list_data(reader.feed)
    assert "t-1" in reader.peer.record_by_key


def test_change_that_a_peer_read_by_itself_stays_there_after_its_withdrawal(clock):
    reader = Reader()
    reader.read(make_batch(0, ("t-1", b"[]")))
    reader.peer.apply(make_batch(1, ("t-1", b"[1]")))
    reader.read(make_batch(1, ("t-1", b"[1]"), ("t-1", b"[]")))
    assert list_data(reader.peer) == list_data(reader.feed)


def test_peer_that_knows_an_older_copy_alone_never_gets_the_newer_one_back(clock):
    reader = Reader()
    reader.read(make_batch(5, ("t-1", b"[1]"), whole=True))
    older = FeedRecord(offset=6, key="t-1", data=b"[]", version=1)
    batch = msgspec.structs.replace(make_batch(6, ("t-1", b"[]")), records=(older,))
    reader.peer = Feed(name=TARGETS_FEED)
    reader.peer.apply(msgspec.structs.replace(batch, whole=True))
    reader.read(batch)
    reader.read(make_batch(7, ("t-1", b"[1]")))
    assert list_data(reader.feed) == {"t-1": b"[1]"}
    assert list_data(reader.peer) == list_data(reader.feed)


@pytest.mark.parametrize("reads", [1, 2])
@pytest.mark.parametrize("copied", [6, 7, 8])
def test_peer_takes_an_older_copy_of_a_removed_key_for_a_new_one(clock, copied, reads):
    reader = Reader()
    reader.read(make_batch(5, ("t-1", b"[]"), whole=True))
    reader.read(make_batch(6, ("t-1", b"[]")))
    last = make_batch(7, ("t-1", b"[]"))
    removal = FeedRecord(offset=8, key="t-1")
    if reads == 2:
        reader.read(last)
        last = make_batch(8)
    records = (*last.records, removal)
    reader.read(msgspec.structs.replace(last, next_offset=9, records=records))
    older = FeedRecord(offset=9, key="t-1", data=b"[]", version=copied)
    batch = make_batch(9, ("t-1", b"[]"))
    reader.read(msgspec.structs.replace(batch, records=(older,)))
    assert list_data(reader.feed) == list_data(reader.peer) == {}
    reader.read(make_batch(10, ("t-1", b"[]")))
    assert list_data(reader.feed) == list_data(reader.peer) == {"t-1": b"[]"}


@settings(max_examples=200)
@given(
    st.lists(st.sampled_from([b"[]", b"[1]", None]), min_size=1, max_size=12),
    st.data(),
)
def test_peer_that_read_a_part_of_the_log_by_itself_has_other_data(log, data):
    reader = Reader()
    offset = 0
    while offset < len(log):
        end = data.draw(st.integers(offset + 1, len(log)))
        read_ahead = data.draw(st.integers(offset, end))
        items = [("t-1", item) for item in log[offset:end]]
        reader.peer.apply(make_batch(offset, *items[: read_ahead - offset]))
        reader.read(make_batch(offset, *items))
        offset = end
        assert list_data(reader.peer) == list_data(reader.feed)


@settings(max_examples=200)
@given(
    st.lists(
        st.lists(
            st.tuples(st.sampled_from(KEYS), st.sampled_from([b"[]", b"[1]", None])),
            min_size=1,
            max_size=5,
        ),
        min_size=1,
        max_size=12,
    ),
    st.lists(st.floats(0.0, REPEAT_SECONDS), min_size=12, max_size=12),
)
def test_peer_has_other_data_than_the_reader(batches, gaps):
    reader = Reader()
    offset = 0
    now = 0.0
    for items, gap in zip(batches, gaps, strict=False):
        reader.read(make_batch(offset, *items), now)
        offset += len(items)
        now += gap
        assert list_data(reader.peer) == list_data(reader.feed)
        assert reader.peer.next_offset == reader.feed.next_offset


def test_bytes_to_a_fleet_grow_with_its_targets_while_nothing_changes(clock):
    fleet = Fleet(clock, nodes=60)
    fleet.write(TARGETS_FEED, b"[]")
    fleet.run(3.0)
    records = 0
    original = fleet._send

    def count(name, result):
        nonlocal records
        for item in result.outgoing:
            if isinstance(item.message, FeedUpdate):
                records += sum(len(batch.records) for batch in item.message.batches)
        original(name, result)

    fleet._send = count
    for _ in range(8):
        fleet.write(TARGETS_FEED, b"[]")
        fleet.run(BEAT_SECONDS)
    assert records == 0
    newest = len(fleet.log_by_feed[TARGETS_FEED])
    offsets = [spread.offsets.targets for spread in fleet.spread_by_name.values()]
    assert set(offsets) == {newest}
