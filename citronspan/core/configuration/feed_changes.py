"""Leaves out of what is sent to peers the records that say nothing new.

Load pattern: hundreds of targets that each register again every second or two, mostly
with the same content, and hundreds of hosts that every record would be sent to. The
offsets are sent all the same, so that peers know that they are up to date.
"""

import msgspec

from citronspan.core.configuration.feeds import Feed, FeedBatch, FeedRecord

REPEAT_SECONDS = 20.0
"""Time after which a record without news is sent again, in case a peer lost it."""


class ChangeFilter:
    """Remembers by key when a record of one feed was last sent to peers."""

    def __init__(self):
        self._sent_at_by_key: dict[str, float] = {}

    def drop_unchanged_records(
        self, batch: FeedBatch, feed: Feed, now: float
    ) -> FeedBatch:
        """Return a batch without the records that peers need not receive.

        Args:
            batch: A batch that is to be applied to the feed next, with at most one
                record of each key.
            feed: The feed.
            now: Present time.

        Returns:
            The batch for the peers. A whole batch keeps all of its records, because a
            key without a record counts as removed.
        """
        records = tuple(
            record
            for record in batch.records
            if batch.whole or self._is_news(record, feed, now)
        )
        for record in records:
            self._sent_at_by_key[record.key] = now
        self._forget_removed_keys(feed, records)
        if len(records) == len(batch.records):
            return batch
        return msgspec.structs.replace(batch, records=records)

    def _is_news(self, record: FeedRecord, feed: Feed, now: float) -> bool:
        if record.data is None or record.lapsed or feed.is_lapsed(record.key):
            return True
        current = feed.record_by_key.get(record.key)
        if current is None or current.data != record.data:
            return True
        sent_at = self._sent_at_by_key.get(record.key)
        return sent_at is None or now >= sent_at + REPEAT_SECONDS

    def _forget_removed_keys(self, feed, records):
        sent = {record.key for record in records}
        for key in self._sent_at_by_key.keys() - feed.record_by_key.keys() - sent:
            del self._sent_at_by_key[key]
