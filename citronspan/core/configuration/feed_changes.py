"""Leaves out of what is sent to peers the records that say nothing new.

Load pattern: hundreds of targets that each register again every second or two, mostly
with the same content, and hundreds of hosts that every record would be sent to. The
offsets are sent all the same, so that peers know that they are up to date.
"""

import msgspec

from citronspan.core.configuration.feeds import (
    Feed,
    FeedBatch,
    FeedRecord,
    drop_superseded_records,
)

REPEAT_SECONDS = 20.0
"""Time after which a record without news is sent again, in case a peer lost it."""


def state_removed_versions(batch: FeedBatch, feed: Feed) -> FeedBatch:
    """Return a batch whose removals have the newest version that they removed.

    Peers hold older versions, since they don't get records without news.

    Args:
        batch: A batch that is to be applied to the feed next.
        feed: The feed.
    """
    version_by_key: dict[str, int] = {}
    records = []
    for record in batch.records:
        version = version_by_key.get(record.key) or feed.find_version(record.key)
        version_by_key[record.key] = max(version, record.version)
        if record.data is None:
            record = msgspec.structs.replace(record, version=version)
        records.append(record)
    return msgspec.structs.replace(batch, records=tuple(records))


class ChangeFilter:
    """Remembers by key what record of one feed was last sent to peers, and when.

    A peer may have read any part of the log by itself, and may know less of the past.
    So a record is news if it differs from any record since the last one that was sent,
    also from one that the own feed passed over as older.
    """

    def __init__(self):
        self._sent_by_key: dict[str, tuple[bytes | None, float]] = {}

    def drop_unchanged_records(
        self, batch: FeedBatch, feed: Feed, now: float
    ) -> FeedBatch:
        """Return a batch without the records that peers need not receive.

        Args:
            batch: A batch that is to be applied to the feed next.
            feed: The feed.
            now: Present time.

        Returns:
            The batch for the peers, with at most one record of each key. A whole batch
            keeps the newest of each, because a key without a record counts as removed.
        """
        news = {
            record.key
            for record in batch.records
            if batch.whole or self._is_news(record, feed, now)
        }
        newest = drop_superseded_records(batch)
        records = tuple(record for record in newest.records if record.key in news)
        for record in records:
            self._sent_by_key[record.key] = (record.data, now)
        self._forget_removed_keys(feed, records)
        if len(records) == len(newest.records):
            return newest
        return msgspec.structs.replace(newest, records=records)

    def _is_news(self, record: FeedRecord, feed: Feed, now: float) -> bool:
        if record.data is None or record.lapsed or feed.is_lapsed(record.key):
            return True
        current = feed.record_by_key.get(record.key)
        if current is None or current.data != record.data:
            return True
        sent = self._sent_by_key.get(record.key)
        if sent is None:
            return True
        data, sent_at = sent
        return data != record.data or now >= sent_at + REPEAT_SECONDS

    def _forget_removed_keys(self, feed, records):
        sent = {record.key for record in records}
        for key in self._sent_by_key.keys() - feed.record_by_key.keys() - sent:
            del self._sent_by_key[key]
