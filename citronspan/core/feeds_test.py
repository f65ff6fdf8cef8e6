"""Feeds come to one state, whatever way and in whatever order their batches come."""

import freezegun
from hypothesis import given, strategies as st

from citronspan.core.config_state import ConfigState
from citronspan.core.feeds import (
    REMOVAL_GRACE_SECONDS,
    TARGETS_FEED,
    Feed,
    FeedBatch,
    FeedMerger,
    FeedRecord,
    drop_superseded_records,
    encode_resources,
)
from citronspan.core.resources import Kind, Resource, TargetSpec

KEYS = ("i-1", "i-2", "i-3")


def make_data(name, slots):
    spec = TargetSpec(
        service="s", address="10.0.0.1:80", region="r", data_centre="a", slots=slots
    )
    return encode_resources([Resource(kind=Kind.TARGET, name=name, spec=spec)])


def make_record(offset, key, slots):
    data = None if slots is None else make_data(key, slots)
    return FeedRecord(offset=offset, key=key, data=data)


LOGS = st.lists(
    st.tuples(st.sampled_from(KEYS), st.one_of(st.none(), st.integers(1, 9))),
    max_size=12,
).map(
    lambda items: [
        make_record(offset, key, slots) for offset, (key, slots) in enumerate(items)
    ]
)


def make_batch(log, start, stop):
    return FeedBatch(
        feed=TARGETS_FEED,
        from_offset=start,
        next_offset=stop,
        records=tuple(log[start:stop]),
    )


def make_whole(log, stop):
    newest = {record.key: record for record in log[:stop]}
    records = [record for record in newest.values() if record.data is not None]
    return FeedBatch(
        feed=TARGETS_FEED,
        from_offset=0,
        next_offset=stop,
        records=tuple(records),
        whole=True,
    )


def read_whole(log):
    feed = Feed(name=TARGETS_FEED)
    feed.apply(make_batch(log, 0, len(log)))
    return feed.record_by_key


@given(LOGS, st.data())
def test_batches_in_any_order_with_repeats_and_gaps_never_go_back(log, data):
    with freezegun.freeze_time("2026-01-01") as clock:
        feed = Feed(name=TARGETS_FEED)
        for _ in range(data.draw(st.integers(0, 12))):
            start = data.draw(st.integers(0, len(log)))
            stop = data.draw(st.integers(start, len(log)))
            whole = data.draw(st.booleans())
            before = feed.next_offset
            batch = make_whole(log, stop) if whole else make_batch(log, start, stop)
            feed.apply(batch)
            assert feed.next_offset >= before
            newest = read_whole(log[: feed.next_offset])
            for key, record in newest.items():
                assert feed.record_by_key[key].data == record.data
        feed.apply(make_batch(log, feed.next_offset, len(log)))
        clock.tick(REMOVAL_GRACE_SECONDS + 0.1)
        feed.expire()
        assert feed.next_offset == len(log)
        assert feed.record_by_key == read_whole(log)


def test_what_lapsed_stays_two_seconds_unless_it_comes_back():
    with freezegun.freeze_time("2026-01-01") as clock:
        feed = Feed(name=TARGETS_FEED)
        log = [FeedRecord(offset=n, key=k, data=make_data(k, 1)) for n, k in
               enumerate(KEYS)]  # fmt: skip
        feed.apply(make_batch(log, 0, 3))
        gone = [
            FeedRecord(offset=3 + n, key=key, lapsed=True) for n, key in enumerate(KEYS)
        ]
        feed.apply(
            FeedBatch(
                feed=TARGETS_FEED, from_offset=3, next_offset=6, records=tuple(gone)
            )
        )
        clock.tick(REMOVAL_GRACE_SECONDS / 2)
        assert not feed.expire()
        assert set(feed.record_by_key) == set(KEYS)
        back = FeedRecord(offset=6, key="i-2", data=make_data("i-2", 5))
        feed.apply(
            FeedBatch(feed=TARGETS_FEED, from_offset=6, next_offset=7, records=(back,))
        )
        clock.tick(REMOVAL_GRACE_SECONDS)
        assert feed.expire()
        assert set(feed.record_by_key) == {"i-2"}


def test_a_copy_from_a_peer_lets_lapse_what_had_begun_to():
    with freezegun.freeze_time("2026-01-01") as clock:
        feed, copy = Feed(name=TARGETS_FEED), Feed(name=TARGETS_FEED)
        record = FeedRecord(offset=0, key="i-1", data=make_data("i-1", 1))
        feed.apply(make_batch([record], 0, 1))
        lapsed = FeedRecord(offset=1, key="i-1", lapsed=True)
        feed.apply(make_batch([record, lapsed], 1, 2))
        copy.apply(feed.export())
        assert set(copy.record_by_key) == {"i-1"}
        clock.tick(REMOVAL_GRACE_SECONDS + 0.1)
        copy.expire()
        assert copy.record_by_key == {}


def test_a_long_list_is_compressed_and_read_back():
    """A storm of configurations with 379 routes cost 0.1 of a day's worth in bytes."""
    spec = TargetSpec(
        service="s", address="10.0.0.1:80", region="r", data_centre="a", slots=1
    )
    resources = [
        Resource(kind=Kind.TARGET, name=f"i-{number}", spec=spec)
        for number in range(400)
    ]
    data = encode_resources(resources)
    assert len(data) < sum(len(encode_resources([item])) for item in resources) / 8
    feed = Feed(name=TARGETS_FEED)
    feed.apply(make_batch([FeedRecord(offset=0, key="all", data=data)], 0, 1))
    state = FeedMerger().merge_feeds([feed], before=ConfigState())
    assert len(state.resource_by_key) == 400


@given(LOGS)
def test_what_a_later_record_replaces_need_not_travel(log):
    whole, newest = Feed(name=TARGETS_FEED), Feed(name=TARGETS_FEED)
    batch = make_batch(log, 0, len(log))
    whole.apply(batch)
    short = drop_superseded_records(batch)
    newest.apply(short)
    assert newest.record_by_key == whole.record_by_key
    assert newest.next_offset == whole.next_offset
    assert len({record.key for record in short.records}) == len(short.records)


def test_an_unchanged_resource_keeps_its_version():
    feed, folder = Feed(name=TARGETS_FEED), FeedMerger()
    feed.apply(
        make_batch([FeedRecord(offset=0, key="i-1", data=make_data("i-1", 1))], 0, 1)
    )
    first = folder.merge_feeds([feed], before=ConfigState())
    again = FeedRecord(offset=1, key="i-1", data=make_data("i-1", 1))
    other = FeedRecord(offset=2, key="i-2", data=make_data("i-2", 2))
    feed.apply(
        FeedBatch(
            feed=TARGETS_FEED, from_offset=1, next_offset=3, records=(again, other)
        )
    )
    second = folder.merge_feeds([feed], before=first)
    key = ("Target", "i-1")
    assert second.offset > first.offset
    assert second.resource_by_key[key] == first.resource_by_key[key]
    assert ("Target", "i-2") in second.resource_by_key
