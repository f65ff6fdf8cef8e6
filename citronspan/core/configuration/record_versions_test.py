"""Tests of what is remembered of removed keys."""

from citronspan.core.configuration.feed_records import FeedRecord
from citronspan.core.configuration.record_versions import (
    MAXIMUM_TOLD_REMOVALS,
    RecordVersions,
    is_known_older,
)


def test_whole_copy_tells_of_all_removals_ever():
    versions = RecordVersions(has_starts=True)
    for number in range(MAXIMUM_TOLD_REMOVALS + 50):
        versions.remember_removal(f"i-{number}", 1)
    versions.remember_removal("i-0", 2)
    removals = versions.list_removals({"i-149"}, next_offset=500)
    assert len(removals) == MAXIMUM_TOLD_REMOVALS
    assert {removal.offset for removal in removals} == {499}
    assert [(item.key, item.version) for item in removals[-2:]] == [
        ("i-148", 1),
        ("i-0", 2),
    ]


def test_peer_that_has_not_read_a_record_yet_brings_back_an_older_one():
    current = FeedRecord(offset=9, key="k", data=b"d", version=5)
    other = FeedRecord(offset=3, key="k", data=b"e", version=6)
    assert not is_known_older(current, other, 9)
    assert is_known_older(current, other, 10)
