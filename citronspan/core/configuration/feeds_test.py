"""Tests that feeds converge to one state in whatever order batches arrive."""

import freezegun
import msgspec
import pytest
from hypothesis import given, strategies as st

from citronspan.core.configuration.config_state import ConfigState
from citronspan.core.configuration.feeds import (
    CONFIGURATION_FEED,
    REMOVAL_GRACE_SECONDS,
    TARGETS_FEED,
    Feed,
    FeedBatch,
    FeedMerger,
    FeedRecord,
    drop_superseded_records,
    encode_resources,
)
from citronspan.core.configuration.record_versions import VERSIONS_PER_START
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


def make_whole_batch(log, stop):
    newest = {record.key: record for record in log[:stop]}
    records = [record for record in newest.values() if record.data is not None]
    return FeedBatch(
        feed=TARGETS_FEED,
        from_offset=0,
        next_offset=stop,
        records=tuple(records),
        whole=True,
    )


def read_newest_records(log):
    feed = Feed(name=TARGETS_FEED)
    feed.apply(make_batch(log, 0, len(log)))
    return feed.record_by_key


@given(LOGS, st.data())
def test_offset_never_decreases_with_reordered_repeated_or_missing_batches(log, data):
    with freezegun.freeze_time("2026-01-01") as clock:
        feed = Feed(name=TARGETS_FEED)
        for _ in range(data.draw(st.integers(0, 12))):
            start = data.draw(st.integers(0, len(log)))
            stop = data.draw(st.integers(start, len(log)))
            whole = data.draw(st.booleans())
            before = feed.next_offset
            batch = (
                make_whole_batch(log, stop) if whole else make_batch(log, start, stop)
            )
            feed.apply(batch)
            assert feed.next_offset >= before
            newest = read_newest_records(log[: feed.next_offset])
            for key, record in newest.items():
                assert feed.record_by_key[key].data == record.data
        feed.apply(make_batch(log, feed.next_offset, len(log)))
        clock.tick(REMOVAL_GRACE_SECONDS + 0.1)
        feed.expire()
        assert feed.next_offset == len(log)
        assert feed.record_by_key == read_newest_records(log)


def test_lapsed_record_is_removed_after_grace_period_unless_restored():
    with freezegun.freeze_time("2026-01-01") as clock:
        feed = Feed(name=TARGETS_FEED)
        log = [FeedRecord(offset=n, key=k, data=make_data(k, 1)) for n, k in
               enumerate(KEYS)]  # fmt: skip
        feed.apply(make_batch(log, 0, 3))
        removals = [
            FeedRecord(offset=3 + n, key=key, lapsed=True) for n, key in enumerate(KEYS)
        ]
        feed.apply(
            FeedBatch(
                feed=TARGETS_FEED, from_offset=3, next_offset=6, records=tuple(removals)
            )
        )
        clock.tick(REMOVAL_GRACE_SECONDS / 2)
        assert not feed.expire()
        assert set(feed.record_by_key) == set(KEYS)
        restored = FeedRecord(offset=6, key="i-2", data=make_data("i-2", 5))
        feed.apply(
            FeedBatch(
                feed=TARGETS_FEED, from_offset=6, next_offset=7, records=(restored,)
            )
        )
        clock.tick(REMOVAL_GRACE_SECONDS)
        assert feed.expire()
        assert set(feed.record_by_key) == {"i-2"}


def test_exported_batch_preserves_pending_removal():
    with freezegun.freeze_time("2026-01-01") as clock:
        feed, replica = Feed(name=TARGETS_FEED), Feed(name=TARGETS_FEED)
        record = FeedRecord(offset=0, key="i-1", data=make_data("i-1", 1))
        feed.apply(make_batch([record], 0, 1))
        lapsed = FeedRecord(offset=1, key="i-1", lapsed=True)
        feed.apply(make_batch([record, lapsed], 1, 2))
        replica.apply(feed.export())
        assert set(replica.record_by_key) == {"i-1"}
        clock.tick(REMOVAL_GRACE_SECONDS + 0.1)
        replica.expire()
        assert replica.record_by_key == {}


def test_removed_key_stays_for_good_at_a_replica_with_a_later_offset_of_it():
    """The peer got no record without news, so that its copy has an older offset."""
    with freezegun.freeze_time("2026-01-01") as clock:
        reader, peer = Feed(name=TARGETS_FEED), Feed(name=TARGETS_FEED)
        log = [make_record(offset, "i-1", 1) for offset in range(3)]
        reader.apply(make_batch(log, 0, 3))
        peer.apply(make_batch(log[:1], 0, 1))
        removal = FeedRecord(offset=3, key="i-1", lapsed=True)
        peer.apply(
            FeedBatch(
                feed=TARGETS_FEED, from_offset=1, next_offset=4, records=(removal,)
            )
        )
        reader.apply(peer.export())
        clock.tick(REMOVAL_GRACE_SECONDS + 0.1)
        for feed in (reader, peer):
            feed.expire()
        assert peer.record_by_key == {}
        assert reader.record_by_key == {}


@pytest.mark.parametrize("is_after_outage", [False, True])
def test_key_that_a_whole_copy_lacks_stays_though_the_store_was_not_away(
    is_after_outage,
):
    with freezegun.freeze_time("2026-01-01") as clock:
        feed = Feed(name=TARGETS_FEED)
        log = [make_record(0, "i-1", 1), make_record(1, "i-2", 1)]
        feed.apply(make_batch(log, 0, 2))
        whole = make_whole_batch([log[1], make_record(2, "i-2", 2)], 3)
        feed.apply(msgspec.structs.replace(whole, is_after_outage=is_after_outage))
        assert ("i-1" in feed.record_by_key) == is_after_outage
        clock.tick(REMOVAL_GRACE_SECONDS + 0.1)
        feed.expire()
        assert set(feed.record_by_key) == {"i-2"}


def test_record_after_the_end_of_a_whole_copy_is_removed_by_it():
    feed = Feed(name=TARGETS_FEED)
    late = make_record(3, "i-1", 1)
    whole = FeedBatch(feed=TARGETS_FEED, from_offset=0, next_offset=1, whole=True)
    feed.apply(msgspec.structs.replace(whole, records=(late,)))
    feed.apply(msgspec.structs.replace(whole, next_offset=2))
    assert set(feed.record_by_key) == {"i-1"}


def test_long_list_is_compressed_and_decoded():
    """Guards against the traffic of uncompressed configurations.

    The bytes of many changes of a configuration with 379 routes cost 0.1 of the worth
    of a day.
    """
    spec = TargetSpec(
        service="s", address="10.0.0.1:80", region="r", data_centre="a", slots=1
    )
    resources = [
        Resource(kind=Kind.TARGET, name=f"i-{number}", spec=spec)
        for number in range(400)
    ]
    data = encode_resources(resources)
    assert (
        len(data) < sum(len(encode_resources([resource])) for resource in resources) / 8
    )
    feed = Feed(name=TARGETS_FEED)
    feed.apply(make_batch([FeedRecord(offset=0, key="all", data=data)], 0, 1))
    state = FeedMerger().merge_feeds([feed], before=ConfigState())
    assert len(state.resource_by_key) == 400


@given(LOGS)
def test_dropping_superseded_records_preserves_result(log):
    whole, newest = Feed(name=TARGETS_FEED), Feed(name=TARGETS_FEED)
    batch = make_batch(log, 0, len(log))
    whole.apply(batch)
    reduced = drop_superseded_records(batch)
    newest.apply(reduced)
    assert newest.record_by_key == whole.record_by_key
    assert newest.next_offset == whole.next_offset
    assert len({record.key for record in reduced.records}) == len(reduced.records)


@pytest.mark.parametrize("data", [b"{", b"z", b"[1", b'["' + b"[" * 4000])
def test_record_of_a_peer_that_cannot_be_decoded_does_not_hide_others(data):
    feed, merger = Feed(name=TARGETS_FEED), FeedMerger()
    records = [
        FeedRecord(offset=0, key="i-1", data=data),
        FeedRecord(offset=1, key="i-2", data=make_data("i-2", 1)),
    ]
    feed.apply(make_batch(records, 0, 2))
    state = merger.merge_feeds([feed], before=ConfigState())
    assert [key.name for key in state.resource_by_key] == ["i-2"]
    assert merger.invalid_resources == 1


def test_unchanged_resource_keeps_version():
    feed, merger = Feed(name=TARGETS_FEED), FeedMerger()
    feed.apply(
        make_batch([FeedRecord(offset=0, key="i-1", data=make_data("i-1", 1))], 0, 1)
    )
    first = merger.merge_feeds([feed], before=ConfigState())
    unchanged_record = FeedRecord(offset=1, key="i-1", data=make_data("i-1", 1))
    other_record = FeedRecord(offset=2, key="i-2", data=make_data("i-2", 2))
    feed.apply(
        FeedBatch(
            feed=TARGETS_FEED,
            from_offset=1,
            next_offset=3,
            records=(unchanged_record, other_record),
        )
    )
    second = merger.merge_feeds([feed], before=first)
    key = ("Target", "i-1")
    assert second.offset > first.offset
    assert second.resource_by_key[key] == first.resource_by_key[key]
    assert ("Target", "i-2") in second.resource_by_key


def test_older_version_at_a_later_offset_does_not_replace_a_newer_one():
    feed = Feed(name=TARGETS_FEED)
    feed.apply(make_versioned_batch(1, offset=0, data=b"old"))
    feed.apply(make_versioned_batch(2, offset=1, data=b"new"))
    feed.apply(make_versioned_batch(1, offset=100, data=b"old"))
    assert feed.record_by_key["k"].data == b"new"
    feed.apply(make_versioned_batch(3, offset=101, data=b"newer"))
    assert feed.record_by_key["k"].data == b"newer"


def test_removed_key_does_not_return_with_an_older_version():
    feed = Feed(name=TARGETS_FEED)
    feed.apply(make_versioned_batch(2, offset=0, data=b"d"))
    feed.apply(make_versioned_batch(0, offset=1, data=None))
    feed.apply(make_versioned_batch(1, offset=100, data=b"d"))
    assert not feed.record_by_key
    feed.apply(make_versioned_batch(2, offset=101, data=b"d"))
    assert not feed.record_by_key
    feed.apply(make_versioned_batch(3, offset=102, data=b"d"))
    assert feed.record_by_key


def make_versioned_batch(version, *, offset, data):
    record = FeedRecord(offset=offset, key="k", data=data, version=version)
    return FeedBatch(
        feed=TARGETS_FEED,
        from_offset=0,
        next_offset=offset + 1,
        records=(record,),
        whole=True,
    )


def make_start_version(start, sequence):
    return start * VERSIONS_PER_START + sequence


@pytest.mark.parametrize("is_removed", [False, True])
def test_target_started_again_by_an_earlier_clock_counts_as_an_older_copy(is_removed):
    feed = Feed(name=TARGETS_FEED)
    written = [(make_start_version(9, 40), b"before")]
    written += [(0, None)] * is_removed
    written += [(make_start_version(8, 0), b"ready")]
    written += [(make_start_version(8, 1), b"ready")]
    written += [(make_start_version(8, 2), b"drains")]
    found = []
    for offset, (version, data) in enumerate(written):
        feed.apply(make_versioned_batch(version, offset=offset, data=data))
        record = feed.record_by_key.get("k")
        found.append(record and record.data)
    assert found[-2:] == [b"ready", b"drains"]


@pytest.mark.parametrize("is_removed", [False, True])
@pytest.mark.parametrize(
    "versions",
    [
        [make_start_version(9, 38), make_start_version(9, 39)],
        [make_start_version(8, 5), make_start_version(8, 5)],
        [make_start_version(8, 5), make_start_version(8, 4), make_start_version(8, 5)],
        [make_start_version(7, 5), make_start_version(8, 5)],
    ],
)
def test_late_records_of_an_earlier_time_count_as_a_new_start(versions, is_removed):
    feed = Feed(name=TARGETS_FEED)
    feed.apply(make_versioned_batch(make_start_version(9, 40), offset=0, data=b"d"))
    if is_removed:
        feed.apply(make_versioned_batch(0, offset=1, data=None))
    for offset, version in enumerate(versions, start=2):
        feed.apply(make_versioned_batch(version, offset=offset, data=b"late"))
    record = feed.record_by_key.get("k")
    assert (record and record.data) == (None if is_removed else b"d")


def test_configuration_with_growing_older_versions_comes_into_force():
    feed = Feed(name=CONFIGURATION_FEED)
    for offset, start in enumerate((9, 7, 8)):
        batch = make_versioned_batch(
            make_start_version(start, 0), offset=offset, data=b"%d" % start
        )
        feed.apply(msgspec.structs.replace(batch, feed=CONFIGURATION_FEED))
    assert feed.record_by_key["k"].data == b"9"


class EarlierRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A record as the version before translations had generations reads it."""

    offset: int
    key: str
    data: bytes | None = None
    lapsed: bool = False
    version: int = 0


def test_earlier_version_reads_records_with_a_generation_and_sends_them_without():
    record = FeedRecord(offset=3, key="k", data=b"[]", version=7, generation=1)
    data = msgspec.msgpack.encode([record, record])
    earlier = msgspec.msgpack.decode(data, type=list[EarlierRecord])
    fields = {"offset": 3, "key": "k", "data": b"[]", "version": 7}
    assert earlier == [EarlierRecord(**fields)] * 2
    data = msgspec.msgpack.encode(earlier)
    later = msgspec.msgpack.decode(data, type=list[FeedRecord])
    assert later == [FeedRecord(**fields, generation=0)] * 2


def make_translated(generation, *, offset=3, is_whole=False, next_offset=4):
    data = b"[]" if generation else b"[ ]"
    record = FeedRecord(offset=offset, key="k", data=data, generation=generation)
    return FeedBatch(
        feed=CONFIGURATION_FEED,
        from_offset=0 if is_whole else offset,
        next_offset=next_offset,
        records=(record,),
        whole=is_whole,
    )


@pytest.mark.parametrize("is_whole", [False, True])
@pytest.mark.parametrize("generations", [(0, 1), (1, 0), (0, 1, 0), (1, 0, 1)])
def test_newer_translation_stays_in_whatever_order_they_arrive(generations, is_whole):
    feed = Feed(name=CONFIGURATION_FEED)
    feed.apply(make_translated(0, offset=0, is_whole=True, next_offset=3))
    for number, generation in enumerate(generations):
        # An earlier version's copy may end later, after a record that can't be read.
        end = 4 + number
        batch = make_translated(generation, is_whole=is_whole, next_offset=end)
        feed.apply(batch)
        feed.take_newer_translations(batch)
    record = feed.record_by_key["k"]
    assert (record.offset, record.generation, record.data) == (3, 1, b"[]")


def test_later_record_counts_whatever_its_translation():
    feed = Feed(name=CONFIGURATION_FEED)
    feed.apply(make_translated(1, offset=0, is_whole=True, next_offset=3))
    later = make_translated(0)
    assert feed.apply(later)
    assert feed.record_by_key["k"] == later.records[0]
    assert not feed.take_newer_translations(make_translated(1, offset=0, next_offset=3))
    assert feed.record_by_key["k"] == later.records[0]
