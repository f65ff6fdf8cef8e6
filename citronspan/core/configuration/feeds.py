"""Replicated feeds of platform resources, and their merge into one state.

A feed is a log of keyed records; the newest record of a key is in force. A record
holds resources of the product, already translated, so that only the reader of a feed
depends on the format of the platform. Records merge by offset: a record that is older
than the stored one changes nothing, regardless of its source.
"""

import time
import zlib
from collections.abc import Iterable
from types import MappingProxyType

import logbook
import msgspec

from citronspan.core import log_events
from citronspan.core.configuration.config_state import (
    ConfigState,
    ResourceKey,
    StoredResource,
)
from citronspan.core.configuration.feed_records import FeedBatch, FeedRecord
from citronspan.core.configuration.record_versions import RecordVersions, is_known_older
from citronspan.core.errors import CitronspanError
from citronspan.core.resources import Resource, decode_resource, encode_resource
from citronspan.utils.logs import write_event
from citronspan.utils.validation import DECODING_ERRORS

CONFIGURATION_FEED = "configuration"
TARGETS_FEED = "targets"
FEEDS = (CONFIGURATION_FEED, TARGETS_FEED)

COMPRESSION_THRESHOLD_BYTES = 1024
"""Encoded lists of resources of at least this length are compressed."""

COMPRESSION_LEVEL = 1
# No JSON document begins with this byte.
_COMPRESSION_PREFIX = b"z"

REMOVAL_GRACE_SECONDS = 2.0
"""Time after the store's return for a lapsed key to come back before its removal."""

_logger = logbook.Logger("feeds")


class Feed:
    """The replica of one feed at one node.

    Attributes:
        name: Name of the feed.
        next_offset: Offset after the last one that was applied.
        expired_records: Number of lapsed records that were removed so far.
        record_by_key: The newest record with data of each key.
    """

    def __init__(self, *, name: str):
        self.name = name
        self.next_offset = 0
        self.expired_records = 0
        self.record_by_key: dict[str, FeedRecord] = {}
        self._removal_at_by_key: dict[str, float] = {}
        self._versions = RecordVersions(has_starts=name == TARGETS_FEED)

    def apply(self, batch: FeedBatch) -> bool:
        """Apply a batch.

        Args:
            batch: The batch. It is ignored if it ends at or before the next offset, or
                if it is not whole and begins after the next offset.

        Returns:
            Whether the next offset advanced.
        """
        if batch.next_offset <= self.next_offset:
            return False
        if not batch.whole and batch.from_offset > self.next_offset:
            return False
        if batch.whole:
            self.take_newer_versions(batch)
            self._remove_missing_keys(batch)
        for record in batch.records:
            self._apply_record(record)
        self.next_offset = batch.next_offset
        return True

    def take_newer_versions(self, batch: FeedBatch) -> bool:
        """Take what a peer's whole copy knows better, though at earlier offsets.

        Args:
            batch: The batch. It is ignored if it is not whole.

        Returns:
            Whether any record changed.
        """
        has_changed = False
        for record in batch.records if batch.whole else ():
            current = self.record_by_key.get(record.key)
            if current is None and record.data is None:
                self._remove(record.key, record.version)
                continue
            if current is None or not is_known_older(
                current, record, batch.next_offset
            ):
                continue
            has_changed = True
            if record.data is None:
                self._remove(record.key, record.version)
                continue
            kept = msgspec.structs.replace(record, offset=current.offset, lapsed=False)
            self.record_by_key[record.key] = kept
        return has_changed

    def is_lapsed(self, key: str) -> bool:
        """Return whether a key is about to be removed unless it comes back."""
        return key in self._removal_at_by_key

    def replace_data(self, batch: FeedBatch) -> bool:
        """Take the data of records that are stored with the same offset.

        Args:
            batch: Records that were decoded again, by other rules.

        Returns:
            Whether any data changed.
        """
        has_changed = False
        for record in batch.records:
            current = self.record_by_key.get(record.key)
            if current is None or record.data is None:
                continue
            if current.offset != record.offset or current.data == record.data:
                continue
            self.record_by_key[record.key] = record
            has_changed = True
        return has_changed

    def take_newer_translations(self, batch: FeedBatch) -> bool:
        """Take records that are stored, in the translation of an earlier version.

        Args:
            batch: Records from the store or from a peer.

        Returns:
            Whether any data changed.
        """
        has_changed = False
        for record in batch.records:
            current = self.record_by_key.get(record.key)
            if current is None or record.data is None:
                continue
            if (current.offset, current.version) != (record.offset, record.version):
                continue
            if record.generation <= current.generation:
                continue
            has_changed |= current.data != record.data
            self.record_by_key[record.key] = record
        return has_changed

    def export(self) -> FeedBatch:
        """Return all stored records, and the last removals, as one whole batch."""
        records = [
            msgspec.structs.replace(record, lapsed=key in self._removal_at_by_key)
            for key, record in self.record_by_key.items()
        ]
        records.sort(key=lambda record: record.offset)
        records += self._versions.list_removals(self.record_by_key, self.next_offset)
        return FeedBatch(
            feed=self.name,
            from_offset=0,
            next_offset=self.next_offset,
            records=tuple(records),
            whole=True,
        )

    def expire(self) -> bool:
        """Remove lapsed records whose key did not come back within the grace period.

        Returns:
            Whether any record was removed.
        """
        now = time.monotonic()
        due = [key for key, at in self._removal_at_by_key.items() if now >= at]
        for key in due:
            self._remove(key)
        self.expired_records += len(due)
        return bool(due)

    def _remove_missing_keys(self, batch):
        """Remove or let lapse the stored keys that a whole batch lacks or lets lapse.

        A replica that got no records without news holds older offsets of the same
        keys, so its lapsed records count whatever their offsets. A configuration is
        replaced and never removed: a copy without one holds one that can't be read.
        """
        if self.name == CONFIGURATION_FEED:
            return
        kept = {record.key for record in batch.records if not record.lapsed}
        lapsed = {record.key for record in batch.records if record.lapsed}
        for key in self.record_by_key.keys() - kept:
            # The batch is no snapshot: a record may be later than the batch's end.
            is_later = self.record_by_key[key].offset >= batch.next_offset
            if batch.is_after_outage or key in lapsed or is_later:
                self._schedule_removal(key)
                continue
            self._remove(key)

    def _schedule_removal(self, key):
        removal_at = time.monotonic() + REMOVAL_GRACE_SECONDS
        self._removal_at_by_key.setdefault(key, removal_at)

    def find_version(self, key: str) -> int:
        """Return the newest known version of a key or a removed key, 0 if none."""
        current = self.record_by_key.get(key)
        version = 0 if current is None else current.version
        return max(version, self._versions.find_removed_version(key))

    def _remove(self, key, version=0):
        self._removal_at_by_key.pop(key, None)
        version = max(version, self.find_version(key))
        self.record_by_key.pop(key, None)
        self._versions.remember_removal(key, version)

    def _apply_record(self, record):
        current = self.record_by_key.get(record.key)
        if current is not None and record.offset < current.offset:
            return
        if record.data is not None and self._versions.pass_over(record, current):
            self._removal_at_by_key.pop(record.key, None)
            return
        if record.data is None and not record.lapsed:
            self._remove(record.key, record.version)
            return
        if record.data is not None and not _is_earlier_translation(record, current):
            self.record_by_key[record.key] = record
        if not record.lapsed:
            self._removal_at_by_key.pop(record.key, None)
            return
        if record.key in self.record_by_key:
            self._schedule_removal(record.key)


def _is_earlier_translation(record, current):
    """Return whether a record is the current one as an earlier version reads it."""
    if current is None or record.offset != current.offset:
        return False
    is_same = record.version == current.version
    return is_same and record.generation < current.generation


class FeedMerger:
    """Merges feeds into the configuration that is in force.

    A resource whose specification did not change keeps its version, so that watches
    and pushes to the entry carry changes only.

    Attributes:
        invalid_resources: Number of resources that were dropped as invalid.
    """

    def __init__(self):
        self.invalid_resources = 0
        self._resources_by_key: dict[
            tuple[str, str], tuple[bytes, tuple[Resource, ...]]
        ] = {}
        self._spec_by_key: dict[ResourceKey, bytes] = {}
        self._stored_by_key: dict[ResourceKey, StoredResource] = {}

    def merge_feeds(self, feeds: Iterable[Feed], *, before: ConfigState) -> ConfigState:
        """Merge the records of all feeds into a new state.

        Args:
            feeds: All feeds.
            before: The previous state.

        Returns:
            The new state. Its offset is always greater than that of ``before``.
        """
        feeds = tuple(feeds)
        offset = _compute_offset(feeds, before)
        stored_by_key: dict[ResourceKey, StoredResource] = {}
        for feed in feeds:
            for record in feed.record_by_key.values():
                for resource in self._decode_record(feed.name, record):
                    key = ResourceKey(resource.kind.value, resource.name)
                    stored_by_key[key] = self._make_stored_resource(
                        key, resource, offset
                    )
        self._stored_by_key = stored_by_key
        self._evict_removed(feeds)
        self._spec_by_key = {key: self._spec_by_key[key] for key in stored_by_key}
        return ConfigState(
            offset=offset, resource_by_key=MappingProxyType(stored_by_key)
        )

    def advance_offset(
        self, feeds: Iterable[Feed], *, before: ConfigState
    ) -> ConfigState:
        """Return the state at the offsets of feeds whose records did not change.

        Args:
            feeds: All feeds.
            before: The previous state.
        """
        return ConfigState(
            offset=_compute_offset(feeds, before),
            resource_by_key=before.resource_by_key,
        )

    def _decode_record(self, feed, record) -> tuple[Resource, ...]:
        cached = self._resources_by_key.get((feed, record.key))
        if cached is not None and cached[0] == record.data:
            return cached[1]
        resources = []
        for raw_resource in self._split_record(record):
            try:
                resources.append(decode_resource(bytes(raw_resource)))
            except CitronspanError as error:
                # The reader of the feed has validated the resource, but may run
                # another version of this program that knows other fields.
                self._record_invalid(record, error)
        self._resources_by_key[feed, record.key] = (record.data, tuple(resources))
        return tuple(resources)

    def _split_record(self, record) -> tuple[msgspec.Raw, ...]:
        try:
            return _decode_raw_list(record.data)
        except (zlib.error, *DECODING_ERRORS) as error:
            self._record_invalid(record, error)
            return ()

    def _record_invalid(self, record, error):
        self.invalid_resources += 1
        write_event(
            _logger,
            log_events.RECORD_VOID,
            key=record.key,
            offset=record.offset,
            reason=str(error),
        )

    def _evict_removed(self, feeds):
        current = {(feed.name, key) for feed in feeds for key in feed.record_by_key}
        for key in self._resources_by_key.keys() - current:
            del self._resources_by_key[key]

    def _make_stored_resource(self, key, resource, offset) -> StoredResource:
        spec = msgspec.json.encode(resource.spec)
        current = self._stored_by_key.get(key)
        if current is not None and self._spec_by_key.get(key) == spec:
            return current
        self._spec_by_key[key] = spec
        version = offset - 1
        data = encode_resource(msgspec.structs.replace(resource, version=version))
        return StoredResource(version, data)


def _compute_offset(feeds, before):
    offset = sum(feed.next_offset + feed.expired_records for feed in feeds)
    return max(offset, before.offset + 1)


_RAW_LIST_DECODER = msgspec.json.Decoder(tuple[msgspec.Raw, ...])


def encode_resources(resources: Iterable[Resource]) -> bytes:
    """Encode resources as the data of a feed record.

    A long list is compressed, because each change sends a whole configuration to every
    host.
    """
    data = msgspec.json.encode([msgspec.Raw(encode_resource(r)) for r in resources])
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return data
    return _COMPRESSION_PREFIX + zlib.compress(data, COMPRESSION_LEVEL)


def _decode_raw_list(data: bytes) -> tuple[msgspec.Raw, ...]:
    if data.startswith(_COMPRESSION_PREFIX):
        data = zlib.decompress(data[len(_COMPRESSION_PREFIX) :])
    return _RAW_LIST_DECODER.decode(data)


def drop_superseded_records(batch: FeedBatch) -> FeedBatch:
    """Return the batch without records that a later record of it replaces."""
    newest_by_key = {record.key: record for record in batch.records}
    if len(newest_by_key) == len(batch.records):
        return batch
    records = sorted(newest_by_key.values(), key=lambda record: record.offset)
    return msgspec.structs.replace(batch, records=tuple(records))
